/// @file
/// Tests of the size of the subsets and of how evenly they cover the endpoints.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>

#include "decision/policy_driver.hpp"

namespace meadowyard::testing {
namespace {

// Guards against endpoints that are used by many more or fewer gateways than others: 300 gateways, each with
// a few of 60 endpoints, choose their subsets independently of each other.
TEST(SubsetSelector, EachOfManyGatewaysUsesFewEndpointsAndEndpointsAreUsedEvenly) {
  std::map<std::string, int> gateways_by_endpoint;
  std::size_t largest_subset = 0;
  Settings settings = MakeSettings();
  settings.gateway_count = 300;
  for (settings.gateway_index = 0; settings.gateway_index < settings.gateway_count;
       ++settings.gateway_index) {
    PolicyDriver gateway(settings, settings.gateway_index);
    gateway.Snapshot(MakeEndpoints(60));
    const auto requests_by_endpoint = gateway.Serve(60, 200);
    for (const auto& [id, count] : requests_by_endpoint) ++gateways_by_endpoint[id];
    largest_subset = std::max(largest_subset, requests_by_endpoint.size());
  }
  EXPECT_LE(largest_subset, 9u);
  ASSERT_EQ(gateways_by_endpoint.size(), 60u);
  for (const auto& [id, count] : gateways_by_endpoint)
    EXPECT_TRUE(count >= 20 && count <= 50) << id << " " << count;
}

// Multiplexed connections stay open, so a full-size subset would fill the connection tables of the endpoints.
TEST(SubsetSelector, SubsetIsHalvedForMultiplexedConnections) {
  Settings settings = MakeSettings();
  settings.gateway_count = 100;
  settings.gateway_index = 7;
  PolicyDriver single_stream(settings);
  single_stream.Snapshot(MakeEndpoints(30));
  settings.streams_per_connection = 100;
  PolicyDriver multiplexed(settings);
  multiplexed.Snapshot(MakeEndpoints(30));
  EXPECT_EQ(single_stream.Serve(100, 200).size(), 2 * multiplexed.Serve(100, 200).size());
}

}  // namespace
}  // namespace meadowyard::testing
