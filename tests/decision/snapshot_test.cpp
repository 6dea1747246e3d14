/// @file
/// What a successor takes over.
#include <gtest/gtest.h>

#include <map>
#include <string>

#include "decision/policy_driver.hpp"

namespace meadowyard::testing {
namespace {

// Guards a hot restart: the next Policy leaves out what was in maintenance, and knows who is slow and who is
// warming up.
TEST(Snapshot, IsWhatTheSuccessorBeginsWith) {
  PolicyDriver old;
  old.Snapshot(
      {MakeEndpoint("cold", "0", 990), MakeEndpoint("fast"), MakeEndpoint("slow"), MakeEndpoint("out")});
  for (int i = 0; i < 400; ++i) {
    const std::string id = "q" + std::to_string(i);
    const std::string at = PolicyDriver::SentTo(old.Arrive(id));
    old.now += 5;
    if (!at.empty()) old.EndAttempt(id, at, AttemptResult::kServed, at == "slow" ? 400 : 20);
  }
  old.Handle(MaintenanceStarted{"out"});
  PolicyDriver next;
  next.now = old.now;
  next.Snapshot({MakeEndpoint("cold"), MakeEndpoint("fast"), MakeEndpoint("slow"), MakeEndpoint("out")});
  next.Handle(old.policy.Snapshot());
  EXPECT_FALSE(next.policy.IsEligible("out"));
  std::map<std::string, int> sent;
  for (int i = 0; i < 60; ++i) {
    const std::string id = "n" + std::to_string(i);
    const std::string at = PolicyDriver::SentTo(next.Arrive(id));
    ++sent[at];
    next.now += 20;
    if (!at.empty()) next.EndAttempt(id, at, AttemptResult::kServed, at == "slow" ? 400 : 20);
  }
  EXPECT_EQ(sent["out"], 0);
  EXPECT_GT(sent["fast"], sent["cold"] + sent["slow"]);
  next.Handle(MaintenanceEnded{"out"});
  EXPECT_TRUE(next.policy.IsEligible("out"));
}

}  // namespace
}  // namespace meadowyard::testing
