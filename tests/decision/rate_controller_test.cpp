/// @file
/// The rate controller: when the dispatch rate is reduced, and when not.
#include <gtest/gtest.h>

#include <deque>
#include <string>
#include <utility>

#include "decision/policy_driver.hpp"

namespace meadowyard::testing {
namespace {

// What the first reduction of the rate leaves, 0 if there is none, while `out` requests are out over four
// endpoints, 200 a second are sent, and every third one ends in `result`.
int RateAfterReduction(std::size_t out, AttemptResult result) {
  PolicyDriver g;
  g.ListEndpoints(4);
  std::deque<std::pair<std::string, std::string>> sent;
  for (int i = 0; i < 200; ++i) {
    const std::string id = "r" + std::to_string(i);
    const std::string server = PolicyDriver::SentTo(g.Arrive(id, "pay"));
    if (!server.empty()) sent.emplace_back(id, server);
    g.now += 5;
    if (sent.size() <= out) continue;
    const auto [first, at] = sent.front();
    sent.pop_front();
    for (const Action& a : g.EndAttempt(first, at, i % 3 == 2 ? result : AttemptResult::kServed,
                                        5.0 * static_cast<double>(out))) {
      const auto* log = std::get_if<Log>(&a);
      if (log != nullptr && log->event == Log::Event::kDispatchRateReduced) return log->rate_per_s;
    }
  }
  return 0;
}

TEST(RateController, FailuresSpreadOverEndpointsReduceTheRate) {
  EXPECT_GT(RateAfterReduction(20, AttemptResult::kError), 0);
}

// Guards against reductions for what no congestion can have caused: most slots are free.
TEST(RateController, FailuresOfIdleEndpointsDoNotReduceTheRate) {
  EXPECT_EQ(RateAfterReduction(2, AttemptResult::kError), 0);
}

// Guards against a first reduction far below what is sent: the average over a second is not full yet.
TEST(RateController, FirstReductionFollowsWhatWasSentSoFar) {
  EXPECT_GT(RateAfterReduction(20, AttemptResult::kError), 120);
  EXPECT_LT(RateAfterReduction(20, AttemptResult::kError), 220);
}

// Guards against reductions for one endpoint's fullness: it rests, and that is answer enough.
TEST(RateController, RejectionsDoNotReduceTheRate) {
  EXPECT_EQ(RateAfterReduction(20, AttemptResult::kRejected), 0);
}

// Guards against a rate that is reduced for connections that break, which are no sign of congestion: the
// fewer are sent, the longer connections idle, and the more of them break.
TEST(RateController, ResetsDoNotReduceTheRate) {
  EXPECT_EQ(RateAfterReduction(20, AttemptResult::kReset), 0);
}

}  // namespace
}  // namespace meadowyard::testing
