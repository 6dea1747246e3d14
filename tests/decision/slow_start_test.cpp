/// @file
/// Slow start of endpoints.
#include <gtest/gtest.h>

#include <string>

#include "decision/policy_driver.hpp"

namespace meadowyard::testing {
namespace {

TEST(SlowStart, StartedEndpointGetsOnlyItsPart) {
  Settings s = MakeSettings();
  PolicyDriver g(s);
  g.now = 100000;
  g.Snapshot({MakeEndpoint("s0"), MakeEndpoint("s1"), MakeEndpoint("new", "0", g.now)});
  auto taken = g.Serve(200, 10);  // 2 s
  EXPECT_GE(taken["new"], 1);
  // By now it surely has 0.36 of its capacity; a warm endpoint took about half of all.
  EXPECT_LT(taken["new"], 0.36 * taken["s0"] + 1);
}

TEST(SlowStart, EndpointThatWasUnreachableWarmsUpWhenItAnswersAgain) {
  PolicyDriver g;
  g.now = 100000;
  g.ListEndpoints(3);
  g.Serve(90, 10);
  int failed = 0;
  g.now += 1100;
  for (int i = 0; i < 100 && failed < 2; ++i) {
    const std::string id = "f" + std::to_string(i);
    const std::string server = PolicyDriver::SentTo(g.Arrive(id, "pay"));
    g.now += 10;
    if (server == "s0") ++failed;
    g.EndAttempt(id, server, server == "s0" ? AttemptResult::kConnectFailed : AttemptResult::kServed, 10);
  }
  g.now += 1000;
  auto taken = g.Serve(300, 10);
  EXPECT_GE(taken["s0"], 1);
  EXPECT_LT(taken["s0"], 75);  // a quarter of all: far from the third that it would take warm
}

TEST(SlowStart, FailedConnectionsOfAnEndpointThatJustAnsweredDoNotRestartIt) {
  PolicyDriver g;
  g.now = 100000;
  g.ListEndpoints(3);
  g.Serve(90, 10);
  int taken = 0, failed = 0;
  for (int i = 0; i < 600; ++i) {
    const std::string id = "r" + std::to_string(i);
    const std::string server = PolicyDriver::SentTo(g.Arrive(id));
    g.now += 10;
    if (i >= 300) taken += server == "s0";
    if (server == "s0" && failed < 2) {
      ++failed;
      const std::string next =
          PolicyDriver::SentTo(g.EndAttempt(id, server, AttemptResult::kConnectFailed, 10));
      if (!next.empty()) g.EndAttempt(id, next, AttemptResult::kServed, 10, 1);
    } else if (!server.empty()) {
      g.EndAttempt(id, server, AttemptResult::kServed, 10);
    }
  }
  EXPECT_EQ(failed, 2);
  EXPECT_GT(taken, 75);
}

TEST(SlowStart, HundredsOfGatewaysTogetherDoNotOverloadIt) {
  Settings s = MakeSettings();  // 0.2 of its capacity at first, all after 10 s
  s.gateway_count = 200;
  int cold = 0, all = 0, later = 0;
  for (s.gateway_index = 0; s.gateway_index < s.gateway_count; ++s.gateway_index) {
    PolicyDriver g(s, s.gateway_index);
    g.now = 100000;
    auto fleet = MakeEndpoints(20);
    g.Snapshot(fleet);
    g.Serve(50, 200);
    fleet.push_back(MakeEndpoint("new", "0", g.now));
    g.Snapshot(fleet);
    const auto first = g.Serve(10, 200);  // the 2 s after its start, and 6 s more
    for (const auto& [id, n] : first) (id == "new" ? cold : all) += n;
    const auto then = g.Serve(30, 200);
    if (then.contains("new")) later += then.at("new");
  }
  // A request from each gateway would be 60 and more; a warm endpoint gets about 100 in that time.
  EXPECT_LT(cold, 0.3 * all / 20);
  EXPECT_GT(later, cold);
}

}  // namespace
}  // namespace meadowyard::testing
