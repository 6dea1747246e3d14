/// @file
/// Subsets of endpoints.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>

#include "decision/policy_driver.hpp"

namespace meadowyard::testing {
namespace {

TEST(SubsetSelector, HundredsOfGatewaysSpreadEvenlyOverFewEndpointsEach) {
  std::map<std::string, int> users;
  std::size_t most = 0;
  Settings s = MakeSettings();
  s.gateway_count = 300;
  for (s.gateway_index = 0; s.gateway_index < s.gateway_count; ++s.gateway_index) {
    PolicyDriver g(s, s.gateway_index);
    g.Snapshot(MakeEndpoints(60));
    const auto taken = g.Serve(60, 200);
    for (const auto& [id, n] : taken) ++users[id];
    most = std::max(most, taken.size());
  }
  EXPECT_LE(most, 9u);
  ASSERT_EQ(users.size(), 60u);
  for (const auto& [id, n] : users) EXPECT_TRUE(n >= 20 && n <= 50) << id << " " << n;
}

TEST(SubsetSelector, IsHalfAsLargeWhereConnectionsStayOpen) {
  Settings s = MakeSettings();
  s.gateway_count = 100;
  s.gateway_index = 7;
  PolicyDriver one(s);
  one.Snapshot(MakeEndpoints(30));
  s.streams_per_connection = 100;
  PolicyDriver held(s);
  held.Snapshot(MakeEndpoints(30));
  EXPECT_EQ(one.Serve(100, 200).size(), 2 * held.Serve(100, 200).size());
}

}  // namespace
}  // namespace meadowyard::testing
