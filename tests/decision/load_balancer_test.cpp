/// @file
/// The load balancer: power of two choices, key affinity.
#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>

#include "decision/policy_driver.hpp"

namespace meadowyard::testing {
namespace {

TEST(LoadBalancer, PrefersTheFasterEndpoint) {
  PolicyDriver g;
  g.ListEndpoints(2);
  std::map<std::string, int> taken;
  for (int i = 0; i < 200; ++i) {
    const std::string id = "r" + std::to_string(i);
    const std::string server = PolicyDriver::SentTo(g.Arrive(id));
    const Millis latency = server == "s0" ? 20 : 200;
    taken[server]++;
    g.now += latency;
    g.EndAttempt(id, server, AttemptResult::kServed, latency);
  }
  EXPECT_GT(taken["s0"], 5 * taken["s1"]);
}

TEST(LoadBalancer, FastErrorsDoNotLookFast) {
  Settings s = MakeSettings();
  PolicyDriver g(s);
  g.ListEndpoints(3);
  g.Serve(60);
  int bad = 0;
  for (int i = 0; i < 100; ++i) {
    const std::string id = "r" + std::to_string(i);
    const std::string server = PolicyDriver::SentTo(g.Arrive(id, "pay"));
    bad += server == "s1";
    g.now += server == "s1" ? 1 : 50;
    g.EndAttempt(id, server, server == "s1" ? AttemptResult::kError : AttemptResult::kServed,
                 server == "s1" ? 1 : 50);
  }
  EXPECT_LT(bad, 10);
}

TEST(KeyAffinity, SameKeyKeepsToTheSameEndpointsAtEveryGateway) {
  Settings s = MakeSettings();
  s.key_affinity = true;
  std::map<std::string, std::set<std::string>> homes;
  for (int seed = 0; seed < 8; ++seed) {
    PolicyDriver g(s, seed);
    g.ListEndpoints(8);
    for (int i = 0; i < 40; ++i) {
      Request r;
      r.id = "r" + std::to_string(i), r.class_name = "view", r.key = "key" + std::to_string(i % 10),
      r.time_left = 2000;
      const std::string server = PolicyDriver::SentTo(g.Handle(r));
      homes[r.key].insert(server);
      g.now += 20;
      g.EndAttempt(r.id, server, AttemptResult::kServed, 20);
    }
  }
  for (const auto& [key, servers] : homes) EXPECT_LE(servers.size(), 2u) << key;
}

TEST(LoadBalancer, HardlyMeasuredEndpointCountsAsItsKindWhereManyGatewaysShareIt) {
  const auto taken = [](int gateways) {
    int sent = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
      Settings s = MakeSettings();
      s.gateway_count = gateways;
      PolicyDriver g(s, seed);
      auto fleet = MakeEndpoints(5);
      fleet[4].kind = "slow";
      g.Snapshot(fleet);
      const auto serve = [&](const std::string& id) {
        const std::string to = PolicyDriver::SentTo(g.Arrive(id));
        g.Advance(100);
        if (!to.empty()) g.EndAttempt(id, to, AttemptResult::kServed, to < "s4" ? 20 : 100);
        return to;
      };
      for (int i = 0; i < 40; ++i) serve("w" + std::to_string(i));
      fleet.push_back(MakeEndpoint("s5"));
      fleet[5].kind = "slow";
      g.Snapshot(fleet);
      for (int i = 0; i < 3; ++i) sent += serve("r" + std::to_string(i)) == "s5";
    }
    return sent;
  };
  EXPECT_GT(taken(1), 15);  // as fast as the median until it shows otherwise
  EXPECT_LT(taken(20), 12);
}

}  // namespace
}  // namespace meadowyard::testing
