/// @file
/// Quotas of tenants.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "decision/policy_driver.hpp"

namespace meadowyard::testing {
namespace {

TEST(TenantQuotas, TrafficWithinQuotaIsServedFirst) {
  Settings s = MakeSettings();
  s.tenants = {{"small", 10}, {"big", 10}};
  PolicyDriver g(s);
  for (int i = 0; i < 20; ++i) g.Arrive("big" + std::to_string(i), "view", 2000, "big");
  g.now += 150;
  g.Arrive("small", "view", 2000, "small");
  g.ListEndpoints(1);
  // Big's own share is in front, small comes before what big sent beyond it.
  ASSERT_FALSE(g.sent.empty());
  std::vector<std::string> order;
  for (std::size_t i = 0; i < g.sent.size(); ++i) {
    order.push_back(g.sent[i].request);
    g.EndAttempt(g.sent[i].request, "s0", AttemptResult::kServed, 20);
  }
  const auto at = std::find(order.begin(), order.end(), "small") - order.begin();
  EXPECT_LE(at, 12);
  EXPECT_EQ(order.size(), 21u);
}

TEST(TenantQuotas, UnknownTenantCountsAsOverQuotaAndIsStillServed) {
  Settings s = MakeSettings();
  s.tenants = {{"known", 100}};
  PolicyDriver g(s);
  g.Arrive("stranger", "view", 2000, "nobody");
  g.Arrive("guest", "view", 2000, "known");
  g.ListEndpoints(1);
  g.Advance(10);
  ASSERT_EQ(g.sent.size(), 2u);
  EXPECT_EQ(g.sent[0].request, "guest");
}

TEST(TenantQuotas, SmallQuotaOfOneGatewayOfManyBearsChance) {
  Settings s = MakeSettings();
  s.gateway_count = 300;
  s.tenants = {{"t", 30}};  // 0.1 a second here
  PolicyDriver g(s);
  g.ListEndpoints(3);
  // Failures of another tenant make all that is beyond a share wait.
  for (int i = 0; i < 20; ++i) {
    const std::string id = "f" + std::to_string(i);
    if (const std::string to = PolicyDriver::SentTo(g.Arrive(id, "pay", 2000, "other")); !to.empty()) {
      g.now += 50;
      g.EndAttempt(id, to, AttemptResult::kError, 50);
    }
  }
  g.now += 20000;
  EXPECT_EQ(PolicyDriver::Count<StartAttempt>(g.Arrive("a", "view", 2000, "t")), 1);
  EXPECT_EQ(PolicyDriver::Count<StartAttempt>(g.Arrive("b", "view", 2000, "t")), 1);
  EXPECT_EQ(PolicyDriver::Count<StartAttempt>(g.Arrive("spare", "view", 2000, "other")), 0);
}

// Guards a tenant within its quota: its clients' retries must not use the quota up.
TEST(TenantQuotas, RetriesTakeNothingOfAQuota) {
  Settings s = MakeSettings();
  s.tenants = {{"t", 10}};
  s.clients_mark_retries = true;
  s.max_attempts_in_flight = 1;
  PolicyDriver g(s);
  g.ListEndpoints(1);
  g.Advance(2000);
  for (int i = 0; i < 100; ++i) {
    Request r;
    r.id = "retry" + std::to_string(i);
    r.class_name = "view";
    r.tenant = "t";
    r.time_left = 15;  // refused at once
    r.is_retry = true;
    EXPECT_EQ(PolicyDriver::Count<Reject>(g.Handle(r)), 1);
  }
  g.Arrive("out");
  g.Arrive("spare", "view", 2000, "nobody");  // beyond any share
  g.Arrive("first", "view", 2000, "t");
  ASSERT_EQ(g.sent.size(), 1u);
  g.EndAttempt("out", "s0", AttemptResult::kServed, 20);
  ASSERT_EQ(g.sent.size(), 2u);
  EXPECT_EQ(g.sent[1].request, "first");
}

}  // namespace
}  // namespace meadowyard::testing
