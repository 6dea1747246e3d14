/// @file
/// The rate controller: which failures reduce the dispatch rate and which don't.
#include <gtest/gtest.h>

#include <deque>
#include <string>
#include <utility>

#include "decision/policy_driver.hpp"

namespace meadowyard::testing {
namespace {

// Sends 200 requests per second to four endpoints, keeps `max_in_flight` of them in flight and ends every
// third one with `result`. Returns the rate after its first reduction, in requests per second; 0 if it is not
// reduced.
int RateAfterFirstReduction(std::size_t max_in_flight, AttemptResult result) {
  PolicyDriver driver;
  driver.ListEndpoints(4);
  std::deque<std::pair<std::string, std::string>> sent;
  for (int i = 0; i < 200; ++i) {
    const std::string id = "r" + std::to_string(i);
    const std::string endpoint = PolicyDriver::SentTo(driver.Arrive(id, "pay"));
    if (!endpoint.empty()) sent.emplace_back(id, endpoint);
    driver.now += 5;
    if (sent.size() <= max_in_flight) continue;
    const auto [oldest_request, oldest_endpoint] = sent.front();
    sent.pop_front();
    for (const Action& action :
         driver.EndAttempt(oldest_request, oldest_endpoint, i % 3 == 2 ? result : AttemptResult::kServed,
                           5.0 * static_cast<double>(max_in_flight))) {
      const auto* log = std::get_if<Log>(&action);
      if (log != nullptr && log->event == Log::Event::kDispatchRateReduced) return log->rate_per_s;
    }
  }
  return 0;
}

TEST(RateController, FailuresSpreadOverEndpointsReduceTheRate) {
  EXPECT_GT(RateAfterFirstReduction(20, AttemptResult::kError), 0);
}

// Guards against reductions for failures that congestion can't have caused, because most of the concurrency
// limits are unused.
TEST(RateController, FailuresWithFewRequestsInFlightDoNotReduceTheRate) {
  EXPECT_EQ(RateAfterFirstReduction(2, AttemptResult::kError), 0);
}

// Guards against a first reduction to far below the real dispatch rate: the average over one second starts at
// 0 and is still too low in the first second.
TEST(RateController, FirstReductionStartsFromTheDispatchRate) {
  EXPECT_GT(RateAfterFirstReduction(20, AttemptResult::kError), 120);
  EXPECT_LT(RateAfterFirstReduction(20, AttemptResult::kError), 220);
}

// Guards against reductions for an endpoint that is at its capacity: pausing that endpoint is sufficient.
TEST(RateController, RejectionsDoNotReduceTheRate) {
  EXPECT_EQ(RateAfterFirstReduction(20, AttemptResult::kRejected), 0);
}

// Guards against reductions for connections that were closed while idle, which are no sign of congestion: at
// a lower rate connections are idle for longer, and more of them are closed.
TEST(RateController, ResetsDoNotReduceTheRate) {
  EXPECT_EQ(RateAfterFirstReduction(20, AttemptResult::kReset), 0);
}

}  // namespace
}  // namespace meadowyard::testing
