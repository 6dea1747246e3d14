/// @file
/// Quotas of tenants: which requests are within them, and that those are served first.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "decision/policy_driver.hpp"

namespace meadowyard::testing {
namespace {

TEST(TenantQuotas, TrafficWithinQuotaIsServedFirst) {
  Settings settings = MakeSettings();
  settings.tenants = {{"small", 10}, {"big", 10}};
  PolicyDriver driver(settings);
  for (int i = 0; i < 20; ++i) driver.Arrive("big" + std::to_string(i), "view", 2000, "big");
  driver.now += 150;
  driver.Arrive("small", "view", 2000, "small");
  driver.ListEndpoints(1);
  // Expected order: big's requests within its quota, small's request, big's requests over its quota.
  ASSERT_FALSE(driver.sent.empty());
  std::vector<std::string> served_ids;
  for (std::size_t i = 0; i < driver.sent.size(); ++i) {
    served_ids.push_back(driver.sent[i].request);
    driver.EndAttempt(driver.sent[i].request, "s0", AttemptResult::kServed, 20);
  }
  const auto position = std::find(served_ids.begin(), served_ids.end(), "small") - served_ids.begin();
  EXPECT_LE(position, 12);
  EXPECT_EQ(served_ids.size(), 21u);
}

TEST(TenantQuotas, UnknownTenantIsOverQuotaAndIsStillServed) {
  Settings settings = MakeSettings();
  settings.tenants = {{"known", 100}};
  PolicyDriver driver(settings);
  driver.Arrive("of unknown tenant", "view", 2000, "unknown");
  driver.Arrive("of known tenant", "view", 2000, "known");
  driver.ListEndpoints(1);
  driver.Advance(10);
  ASSERT_EQ(driver.sent.size(), 2u);
  EXPECT_EQ(driver.sent[0].request, "of known tenant");
}

// Guards against a bucket that holds less than one token where a small quota is divided among many gateways.
TEST(TenantQuotas, SmallShareOfAQuotaStillAdmitsShortBursts) {
  Settings settings = MakeSettings();
  settings.gateway_count = 300;
  settings.tenants = {{"t", 30}};  // 0.1 requests per second for this gateway
  PolicyDriver driver(settings);
  driver.ListEndpoints(3);
  // Failures of another tenant's requests, so that requests over quota are queued.
  for (int i = 0; i < 20; ++i) {
    const std::string id = "f" + std::to_string(i);
    if (const std::string endpoint = PolicyDriver::SentTo(driver.Arrive(id, "pay", 2000, "other"));
        !endpoint.empty()) {
      driver.now += 50;
      driver.EndAttempt(id, endpoint, AttemptResult::kError, 50);
    }
  }
  driver.now += 20000;
  EXPECT_EQ(PolicyDriver::Count<StartAttempt>(driver.Arrive("a", "view", 2000, "t")), 1);
  EXPECT_EQ(PolicyDriver::Count<StartAttempt>(driver.Arrive("b", "view", 2000, "t")), 1);
  EXPECT_EQ(PolicyDriver::Count<StartAttempt>(driver.Arrive("over quota", "view", 2000, "other")), 0);
}

// Guards against a tenant that exceeds its quota only because its clients retry rejected requests.
TEST(TenantQuotas, RetriesDoNotConsumeTheQuota) {
  Settings settings = MakeSettings();
  settings.tenants = {{"t", 10}};
  settings.clients_mark_retries = true;
  settings.max_attempts_in_flight = 1;
  PolicyDriver driver(settings);
  driver.ListEndpoints(1);
  driver.Advance(2000);
  for (int i = 0; i < 100; ++i) {
    Request arrival;
    arrival.id = "retry" + std::to_string(i);
    arrival.class_name = "view";
    arrival.tenant = "t";
    arrival.time_left = 15;  // too little: rejected at once
    arrival.is_retry = true;
    EXPECT_EQ(PolicyDriver::Count<Reject>(driver.Handle(arrival)), 1);
  }
  driver.Arrive("in flight");
  driver.Arrive("over quota", "view", 2000, "unknown");
  driver.Arrive("first", "view", 2000, "t");
  ASSERT_EQ(driver.sent.size(), 1u);
  driver.EndAttempt("in flight", "s0", AttemptResult::kServed, 20);
  ASSERT_EQ(driver.sent.size(), 2u);
  EXPECT_EQ(driver.sent[1].request, "first");
}

}  // namespace
}  // namespace meadowyard::testing
