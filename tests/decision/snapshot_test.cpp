/// @file
/// The state that a Policy hands over to the Policy of the next process.
#include <gtest/gtest.h>

#include <map>
#include <string>

#include "decision/policy_driver.hpp"

namespace meadowyard::testing {
namespace {

// Guards a hot restart: without the state of the old process the new one would send requests to an endpoint
// in maintenance, as many to a slow endpoint as to a fast one, and too many to one that is still in slow
// start.
TEST(Snapshot, SuccessorKeepsEstimatesSlowStartAndMaintenance) {
  PolicyDriver old_driver;
  old_driver.Snapshot(
      {MakeEndpoint("cold", "0", 990), MakeEndpoint("fast"), MakeEndpoint("slow"), MakeEndpoint("out")});
  for (int i = 0; i < 400; ++i) {
    const std::string id = "q" + std::to_string(i);
    const std::string endpoint_id = PolicyDriver::SentTo(old_driver.Arrive(id));
    old_driver.now += 5;
    if (!endpoint_id.empty())
      old_driver.EndAttempt(id, endpoint_id, AttemptResult::kServed, endpoint_id == "slow" ? 400 : 20);
  }
  old_driver.Handle(MaintenanceStarted{"out"});
  PolicyDriver new_driver;
  new_driver.now = old_driver.now;
  new_driver.Snapshot(
      {MakeEndpoint("cold"), MakeEndpoint("fast"), MakeEndpoint("slow"), MakeEndpoint("out")});
  new_driver.Handle(old_driver.policy.Snapshot());
  EXPECT_FALSE(new_driver.policy.IsEligible("out"));
  std::map<std::string, int> requests_by_endpoint;
  for (int i = 0; i < 60; ++i) {
    const std::string id = "n" + std::to_string(i);
    const std::string endpoint_id = PolicyDriver::SentTo(new_driver.Arrive(id));
    ++requests_by_endpoint[endpoint_id];
    new_driver.now += 20;
    if (!endpoint_id.empty())
      new_driver.EndAttempt(id, endpoint_id, AttemptResult::kServed, endpoint_id == "slow" ? 400 : 20);
  }
  EXPECT_EQ(requests_by_endpoint["out"], 0);
  EXPECT_GT(requests_by_endpoint["fast"], requests_by_endpoint["cold"] + requests_by_endpoint["slow"]);
  new_driver.Handle(MaintenanceEnded{"out"});
  EXPECT_TRUE(new_driver.policy.IsEligible("out"));
}

}  // namespace
}  // namespace meadowyard::testing
