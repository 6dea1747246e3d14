/// @file
/// The load balancer: power of two random choices, and key affinity.
#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>

#include "decision/policy_driver.hpp"

namespace meadowyard::testing {
namespace {

TEST(LoadBalancer, PrefersTheFasterEndpoint) {
  PolicyDriver driver;
  driver.ListEndpoints(2);
  std::map<std::string, int> requests_sent;
  for (int i = 0; i < 200; ++i) {
    const std::string id = "r" + std::to_string(i);
    const std::string endpoint = PolicyDriver::SentTo(driver.Arrive(id));
    const Millis latency = endpoint == "s0" ? 20 : 200;
    requests_sent[endpoint]++;
    driver.now += latency;
    driver.EndAttempt(id, endpoint, AttemptResult::kServed, latency);
  }
  EXPECT_GT(requests_sent["s0"], 5 * requests_sent["s1"]);
}

// Attempts at an endpoint that fails at once are short. If their latency counted, it would get most requests.
TEST(LoadBalancer, FastErrorsDoNotAttractRequests) {
  Settings settings = MakeSettings();
  PolicyDriver driver(settings);
  driver.ListEndpoints(3);
  driver.Serve(60);
  int sent_to_failing = 0;
  for (int i = 0; i < 100; ++i) {
    const std::string id = "r" + std::to_string(i);
    const std::string endpoint = PolicyDriver::SentTo(driver.Arrive(id, "pay"));
    sent_to_failing += endpoint == "s1";
    driver.now += endpoint == "s1" ? 1 : 50;
    driver.EndAttempt(id, endpoint, endpoint == "s1" ? AttemptResult::kError : AttemptResult::kServed,
                      endpoint == "s1" ? 1 : 50);
  }
  EXPECT_LT(sent_to_failing, 10);
}

// An endpoint does less work for a key that it served recently. This is lost if gateways send a key to
// different endpoints.
TEST(KeyAffinity, AllGatewaysSendAKeyToTheSameTwoEndpoints) {
  Settings settings = MakeSettings();
  settings.key_affinity = true;
  std::map<std::string, std::set<std::string>> endpoints_by_key;
  for (int seed = 0; seed < 8; ++seed) {
    PolicyDriver driver(settings, seed);
    driver.ListEndpoints(8);
    for (int i = 0; i < 40; ++i) {
      Request request;
      request.id = "r" + std::to_string(i), request.class_name = "view",
      request.key = "key" + std::to_string(i % 10), request.time_left = 2000;
      const std::string endpoint = PolicyDriver::SentTo(driver.Handle(request));
      endpoints_by_key[request.key].insert(endpoint);
      driver.now += 20;
      driver.EndAttempt(request.id, endpoint, AttemptResult::kServed, 20);
    }
  }
  for (const auto& [key, endpoints] : endpoints_by_key) EXPECT_LE(endpoints.size(), 2u) << key;
}

// With many gateways, each has only a few samples of an endpoint's latency. Guards against gateways that all
// prefer a new endpoint of a slow kind until each of them has measured it.
TEST(LoadBalancer, EndpointWithFewSamplesHasTheLatencyOfItsKindWhereManyGatewaysShareIt) {
  const auto requests_sent = [](int gateways) {
    int sent = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
      Settings settings = MakeSettings();
      settings.gateway_count = gateways;
      PolicyDriver driver(settings, seed);
      auto listed_endpoints = MakeEndpoints(5);
      listed_endpoints[4].kind = "slow";
      driver.Snapshot(listed_endpoints);
      const auto serve = [&](const std::string& id) {
        const std::string target = PolicyDriver::SentTo(driver.Arrive(id));
        driver.Advance(100);
        if (!target.empty()) driver.EndAttempt(id, target, AttemptResult::kServed, target < "s4" ? 20 : 100);
        return target;
      };
      for (int i = 0; i < 40; ++i) serve("w" + std::to_string(i));
      listed_endpoints.push_back(MakeEndpoint("s5"));
      listed_endpoints[5].kind = "slow";
      driver.Snapshot(listed_endpoints);
      for (int i = 0; i < 3; ++i) sent += serve("r" + std::to_string(i)) == "s5";
    }
    return sent;
  };
  EXPECT_GT(requests_sent(1), 15);  // has the median latency until it is measured
  EXPECT_LT(requests_sent(20), 12);
}

}  // namespace
}  // namespace meadowyard::testing
