/// @file
/// Outlier detection: ejection, health probes, restoration.
#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <string>
#include <utility>

#include "decision/policy_driver.hpp"

namespace meadowyard::testing {
namespace {

// The hang test's fleet: three endpoints of settled latency, then s0 stays silent.
// Eight requests each 20 ms; s0 answers nothing, so what it has times out after 100 ms. Returns how
// many it was sent in the last second, and whether the rate was reduction.
std::pair<int, bool> SentToHungEndpoint(int servers) {
  PolicyDriver g;
  g.ListEndpoints(servers);
  g.Serve(50 * servers);
  bool reduced = false;
  int last = 0;
  std::deque<std::pair<Millis, std::string>> stuck;
  for (int round = 0; round < 150; ++round) {
    std::map<std::string, std::string> sent;
    for (int i = 0; i < 8; ++i) {
      const std::string id = "r" + std::to_string(round) + "." + std::to_string(i);
      if (const std::string to = PolicyDriver::SentTo(g.Arrive(id, "pay")); !to.empty()) sent[id] = to;
    }
    reduced |= PolicyDriver::Logged(g.Advance(20), Log::Event::kDispatchRateReduced);
    for (const auto& [id, to] : sent) {
      if (to == "s0") {
        stuck.emplace_back(g.now + 80, id);
        last += round >= 100;
      } else {
        reduced |= PolicyDriver::Logged(g.EndAttempt(id, to, AttemptResult::kServed, 20),
                                        Log::Event::kDispatchRateReduced);
      }
    }
    for (; !stuck.empty() && stuck.front().first <= g.now; stuck.pop_front()) {
      reduced |= PolicyDriver::Logged(g.EndAttempt(stuck.front().second, "s0", AttemptResult::kTimedOut, 100),
                                      Log::Event::kDispatchRateReduced);
    }
  }
  return {last, reduced};
}

TEST(OutlierDetector, EndpointWhoseRequestsTimeOutIsEjected) { EXPECT_LE(SentToHungEndpoint(3).first, 2); }

TEST(OutlierDetector, OneHungEndpointDoesNotReduceTheRate) { EXPECT_FALSE(SentToHungEndpoint(4).second); }

TEST(OutlierDetector, ProbeThatAFullEndpointRejectsIsNotRepeatedAtOnce) {
  PolicyDriver g;
  g.ListEndpoints(3);
  g.Serve(60);
  int hung = 0;
  for (int i = 0; i < 400; ++i) {
    const std::string id = "r" + std::to_string(i);
    const std::string to = PolicyDriver::SentTo(g.Arrive(id));
    g.Advance(10);
    if (to == "s0") {  // silent at first, then full
      const bool silent = ++hung < 4;
      if (silent) g.now += 200;
      g.EndAttempt(id, to, silent ? AttemptResult::kTimedOut : AttemptResult::kRejected, silent ? 200 : 1);
    } else if (!to.empty()) {
      g.EndAttempt(id, to, AttemptResult::kServed, 10);
    }
  }
  EXPECT_LT(hung, 15);
}

// Guards the other side of holding a endpoint against the rest: where all fail now and then, the one that
// fails every time is still ejected, and the rest are not.
TEST(OutlierDetector, EjectsTheEndpointThatFailsMoreThanTheRest) {
  PolicyDriver g;
  g.ListEndpoints(4);
  std::map<std::string, int> taken, late;
  for (int i = 0; i < 400; ++i) {
    const std::string id = "r" + std::to_string(i);
    const std::string server = PolicyDriver::SentTo(g.Arrive(id, "pay"));
    ASSERT_NE(server, "");
    const int n = ++taken[server];
    if (i >= 200) ++late[server];
    g.now += 30;
    g.EndAttempt(id, server,
                 (i >= 100 && server == "s2") || n % 4 == 0 ? AttemptResult::kReset : AttemptResult::kServed,
                 30);
  }
  EXPECT_EQ(late["s2"], 0);
  for (const char* id : {"s0", "s1", "s3"}) EXPECT_GT(late[id], 30);
}

// Asks for a while with most of the listed endpoints gone (they reject connections, or reject everything), as
// one of many gateways; returns how many of the last 100 requests were served.
int ServedWithMostEndpointsRemoved(AttemptResult how) {
  Settings settings = MakeSettings();
  settings.gateway_count = 48;
  settings.max_attempts = 4;
  PolicyDriver g(settings);
  g.ListEndpoints(24);
  g.Serve(100, 20);
  g.Advance(1500);
  int served = 0;
  for (int i = 0; i < 400; ++i) {
    const std::string id = "q" + std::to_string(i);
    std::string at = PolicyDriver::SentTo(g.Arrive(id));
    for (int attempt = 0; !at.empty(); ++attempt) {
      const bool gone = at > "s14";  // s15 ... s23 and s2 ... s9
      g.now += gone ? 1 : 20;
      const auto next = g.EndAttempt(id, at, gone ? how : AttemptResult::kServed, gone ? 1 : 20, attempt);
      if (!gone && i >= 300) ++served;
      at = gone ? PolicyDriver::SentTo(next) : "";
    }
    g.Advance(100);
  }
  return served;
}

// Guards gateways whose list is out of date for long, since many of them overload service discovery: each
// endpoint that has gone is ejected for itself, though most others fail like it, and the rate does not fall
// for it.
TEST(OutlierDetector, EjectsRemovedEndpointsThoughTheListKeepsThem) {
  EXPECT_GE(ServedWithMostEndpointsRemoved(AttemptResult::kConnectFailed), 80);
  EXPECT_GE(ServedWithMostEndpointsRemoved(AttemptResult::kRejected), 50);
}

}  // namespace
}  // namespace meadowyard::testing
