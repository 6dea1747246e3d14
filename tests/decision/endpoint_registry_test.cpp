/// @file
/// Endpoint lists, polls of service discovery, and maintenance.
#include <gtest/gtest.h>

#include <string>

#include "decision/policy_driver.hpp"

namespace meadowyard::testing {
namespace {

// Draining, removed and unlisted endpoints reject new requests or can't be reached.
TEST(EndpointRegistry, NothingNewGoesToDrainingRemovedOrUnlistedEndpoints) {
  PolicyDriver driver;
  driver.ListEndpoints(3);
  Endpoint draining = MakeEndpoint("s0");
  draining.state = EndpointState::kDraining;
  driver.Handle(EndpointUpdate{EndpointUpdate::Kind::kDelta, {draining}});
  for (int i = 0; i < 6; ++i) EXPECT_NE(PolicyDriver::SentTo(driver.Arrive("a" + std::to_string(i))), "s0");
  driver.Snapshot({MakeEndpoint("s2")});
  for (int i = 0; i < 4; ++i) {
    const std::string target = PolicyDriver::SentTo(driver.Arrive("b" + std::to_string(i)));
    EXPECT_TRUE(target.empty() || target == "s2");
  }
}

// Guards against repeated polls that overload a failing service discovery even more: one poll follows each
// failure.
TEST(PollSchedule, FailedPollIsRepeatedExactlyOnce) {
  Settings settings = MakeSettings();
  settings.polls_endpoints = true;
  PolicyDriver driver(settings);
  int first_polls =
      PolicyDriver::Count<PollEndpoints>(driver.Handle(EndpointUpdate{EndpointUpdate::Kind::kSnapshot, {}}));
  EXPECT_EQ(first_polls, 1);
  for (int i = 0; i < 6; ++i) {
    driver.Handle(EndpointUpdate{EndpointUpdate::Kind::kFailed, {}});
    const int polls = PolicyDriver::Count<PollEndpoints>(driver.Advance(5000));
    EXPECT_EQ(polls, 1);
  }
}

// Guards against a backoff that delays a poll beyond kMaxPollBackoff after repeated failures, whether
// Settings::max_poll_interval is long or short: changes of the endpoint list would come too late.
TEST(PollSchedule, PollIsRepeatedWithinTheMaxBackoffAfterAnyNumberOfFailures) {
  for (const Millis max_poll_interval_ms : {10000.0, 60000.0}) {
    Settings settings = MakeSettings();
    settings.polls_endpoints = true, settings.max_poll_interval = max_poll_interval_ms;
    PolicyDriver driver(settings);
    driver.Snapshot({});
    for (int i = 0; i < 40; ++i) {
      driver.Handle(EndpointUpdate{EndpointUpdate::Kind::kFailed, {}});
      EXPECT_EQ(PolicyDriver::Count<PollEndpoints>(driver.Advance(kMaxPollBackoff + 10)), 1) << i;
    }
  }
}

// Guards against an update of the endpoint list that ends an operator's maintenance, and against an endpoint
// that gets a full share of the requests when maintenance ends: it may have been restarted.
TEST(Maintenance, EndpointGetsNoRequestsUntilMaintenanceEndsAndThenWarmsUp) {
  PolicyDriver driver;
  driver.ListEndpoints(2);
  driver.Serve(200);
  EXPECT_EQ(PolicyDriver::Count<Log>(driver.Handle(MaintenanceStarted{"s0"})), 1);
  driver.Handle(MaintenanceStarted{"s0"});
  driver.Handle(MaintenanceStarted{"s9"});
  EXPECT_TRUE(driver.policy.IsKnown("s0"));
  EXPECT_FALSE(driver.policy.IsKnown("s9"));
  EXPECT_FALSE(driver.policy.IsEligible("s0"));
  EXPECT_EQ(driver.policy.CollectStats().endpoints, 2);
  EXPECT_EQ(driver.policy.CollectStats().unavailable, 1);
  driver.ListEndpoints(2);  // listed as up
  EXPECT_EQ(driver.Serve(40)["s0"], 0);
  driver.Snapshot({MakeEndpoint("s1")});  // unlisted for a while
  EXPECT_EQ(driver.policy.CollectStats().unavailable, 0);
  driver.Snapshot(
      {MakeEndpoint("s0", "0", driver.now), MakeEndpoint("s1")});  // listed again as a new process
  EXPECT_EQ(driver.Serve(40)["s0"], 0);
  driver.Handle(MaintenanceEnded{"s0"});
  EXPECT_TRUE(driver.policy.IsEligible("s0"));
  const int sent_while_warming = driver.Serve(100)["s0"];  // 5 s of the 10 s of slow start
  EXPECT_GT(sent_while_warming, 0);
  EXPECT_LT(sent_while_warming, 50);
}

}  // namespace
}  // namespace meadowyard::testing
