/// @file
/// Endpoint lists, polls for them, and maintenance.
#include <gtest/gtest.h>

#include <string>

#include "decision/policy_driver.hpp"

namespace meadowyard::testing {
namespace {

TEST(EndpointRegistry, NothingNewGoesToDrainingRemovedOrUnlistedEndpoints) {
  PolicyDriver g;
  g.ListEndpoints(3);
  Endpoint draining = MakeEndpoint("s0");
  draining.state = EndpointState::kDraining;
  g.Handle(EndpointUpdate{EndpointUpdate::Kind::kDelta, {draining}});
  for (int i = 0; i < 6; ++i) EXPECT_NE(PolicyDriver::SentTo(g.Arrive("a" + std::to_string(i))), "s0");
  g.Snapshot({MakeEndpoint("s2")});
  for (int i = 0; i < 4; ++i) {
    const std::string to = PolicyDriver::SentTo(g.Arrive("b" + std::to_string(i)));
    EXPECT_TRUE(to.empty() || to == "s2");
  }
}

TEST(PollSchedule, FailedPollIsRepeatedWithoutAStampede) {
  Settings s = MakeSettings();
  s.polls_endpoints = true;
  PolicyDriver g(s);
  int watches =
      PolicyDriver::Count<PollEndpoints>(g.Handle(EndpointUpdate{EndpointUpdate::Kind::kSnapshot, {}}));
  EXPECT_EQ(watches, 1);
  for (int i = 0; i < 6; ++i) {
    g.Handle(EndpointUpdate{EndpointUpdate::Kind::kFailed, {}});
    const int asked = PolicyDriver::Count<PollEndpoints>(g.Advance(5000));
    EXPECT_EQ(asked, 1);
  }
}

// Guards what discovery has against being asked for too late: however often it failed, and however long the
// settings let a gateway go without asking.
TEST(PollSchedule, PollIsRepeatedInTimeHoweverOftenItFailed) {
  for (const Millis ask_within : {10000.0, 60000.0}) {
    Settings s = MakeSettings();
    s.polls_endpoints = true, s.max_poll_interval = ask_within;
    PolicyDriver g(s);
    g.Snapshot({});
    for (int i = 0; i < 40; ++i) {
      g.Handle(EndpointUpdate{EndpointUpdate::Kind::kFailed, {}});
      EXPECT_EQ(PolicyDriver::Count<PollEndpoints>(g.Advance(kMaxPollBackoff + 10)), 1) << i;
    }
  }
}

// Guards a endpoint that an operator works on: no list brings it back before the operator does, and then it
// is given no more than a endpoint that was started just now.
TEST(Maintenance, EndpointInMaintenanceStaysOutUntilItEndsAndWarmsUpThen) {
  PolicyDriver g;
  g.ListEndpoints(2);
  g.Serve(200);
  EXPECT_EQ(PolicyDriver::Count<Log>(g.Handle(MaintenanceStarted{"s0"})), 1);
  g.Handle(MaintenanceStarted{"s0"});
  g.Handle(MaintenanceStarted{"s9"});
  EXPECT_TRUE(g.policy.IsKnown("s0"));
  EXPECT_FALSE(g.policy.IsKnown("s9"));
  EXPECT_FALSE(g.policy.IsEligible("s0"));
  EXPECT_EQ(g.policy.CollectStats().endpoints, 2);
  EXPECT_EQ(g.policy.CollectStats().unavailable, 1);
  g.ListEndpoints(2);  // listed as up
  EXPECT_EQ(g.Serve(40)["s0"], 0);
  g.Snapshot({MakeEndpoint("s1")});  // gone for a while
  EXPECT_EQ(g.policy.CollectStats().unavailable, 0);
  g.Snapshot({MakeEndpoint("s0", "0", g.now), MakeEndpoint("s1")});  // and back as a new process
  EXPECT_EQ(g.Serve(40)["s0"], 0);
  g.Handle(MaintenanceEnded{"s0"});
  EXPECT_TRUE(g.policy.IsEligible("s0"));
  const int cold = g.Serve(100)["s0"];  // 5 s of the 10 that it takes to warm up
  EXPECT_GT(cold, 0);
  EXPECT_LT(cold, 50);
}

}  // namespace
}  // namespace meadowyard::testing
