/// @file
/// Tests of the membership views of several gateways while links fail and processes stop and restart.
#include "membership/membership_view.hpp"

#include <gtest/gtest.h>

#include <cstddef>
#include <functional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "membership/simulated_network.hpp"

namespace meadowyard::testing {
namespace {

using membership::Heartbeat;

// Returns a link function with which gateways reach each other only if `side` gives the same value for both.
SimulatedNetwork::Link SplitBy(std::function<bool(std::size_t gateway)> side) {
  return [side = std::move(side)](std::size_t sender, std::size_t receiver) {
    return side(sender) == side(receiver);
  };
}

// Guards against two sides of a partition that both have a quorum, and against a majority that loses it.
TEST(MembershipView, OnlyTheMajorityKeepsItsQuorum) {
  struct Case {
    std::string name;
    std::size_t gateways;
    SimulatedNetwork::Link link;
    std::set<std::size_t> with_quorum;
    std::vector<int> present;  // number of present gateways as seen by each gateway with a quorum
  };
  const std::vector<Case> cases = {
      {"all connected", 3, [](std::size_t, std::size_t) { return true; }, {0, 1, 2}, {3, 3, 3}},
      {"one of three cut off", 3, SplitBy([](std::size_t i) { return i == 0; }), {1, 2}, {2, 2}},
      {"two gateways disconnected: neither has a majority",
       2,
       SplitBy([](std::size_t i) { return i == 0; }),
       {},
       {}},
      {"two halves: no majority", 4, SplitBy([](std::size_t i) { return i < 2; }), {}, {}},
      {"two of five cut off", 5, SplitBy([](std::size_t i) { return i < 2; }), {2, 3, 4}, {3, 3, 3}},
      {"heartbeats of the first gateway are lost",
       3,
       [](std::size_t from, std::size_t) { return from != 0; },
       {1, 2},
       {2, 2}},
      {"heartbeats to the first gateway are lost",
       3,
       [](std::size_t, std::size_t to) { return to != 0; },
       {1, 2},
       {2, 2}},
      {"one link is down",
       3,
       [](std::size_t from, std::size_t to) { return from + to != 1; },
       {0, 1, 2},
       {2, 2, 3}},
      {"a single gateway", 1, [](std::size_t, std::size_t) { return true; }, {0}, {1}},
  };
  for (const Case& test_case : cases) {
    SCOPED_TRACE(test_case.name);
    SimulatedNetwork network(test_case.gateways);
    network.Run(2000);
    for (std::size_t i = 0; i < test_case.gateways; ++i) EXPECT_TRUE(network.HasQuorum(i)) << "gateway " << i;
    network.SetLink(test_case.link);
    network.Run(5000);
    std::vector<int> present;
    for (std::size_t i = 0; i < test_case.gateways; ++i) {
      EXPECT_EQ(network.HasQuorum(i), test_case.with_quorum.contains(i)) << "gateway " << i;
      if (test_case.with_quorum.contains(i)) present.push_back(network.SnapshotOf(i).present);
    }
    EXPECT_EQ(present, test_case.present);
    network.ConnectAll();
    network.Run(1000);
    for (std::size_t i = 0; i < test_case.gateways; ++i) {
      EXPECT_TRUE(network.HasQuorum(i)) << "gateway " << i;
      EXPECT_EQ(network.SnapshotOf(i).present, static_cast<int>(test_case.gateways)) << "gateway " << i;
      EXPECT_EQ(network.SnapshotOf(i).rank, static_cast<int>(i)) << "gateway " << i;
    }
  }
}

// Heartbeats that were queued while a process was suspended are out of date when it resumes. Guards against a
// resumed process that takes them for contact with the other gateways.
TEST(MembershipView, QueuedHeartbeatsGiveNoQuorumToAResumedProcess) {
  SimulatedNetwork network(3);
  network.Run(2000);
  network.SetRunning([](std::size_t gateway) { return gateway != 2; });
  network.Run(4000);
  network.DeliverQueuedHeartbeats(2);
  EXPECT_FALSE(network.HasQuorum(2));
  EXPECT_EQ(network.SnapshotOf(0).present, 2);
  network.ResumeAll();
  network.Run(500);
  EXPECT_TRUE(network.HasQuorum(2));
  EXPECT_EQ(network.SnapshotOf(0).present, 3);
}

// A gateway that was disconnected can't tell which gateways stopped in the meantime: those that it has not
// received from yet may be present. Guards against treating them as absent at once.
TEST(MembershipView, GatewayThatRegainsItsQuorumTreatsNoneAsAbsentAtOnce) {
  SimulatedNetwork network(4);
  network.Run(2000);
  network.SetLink(SplitBy([](std::size_t gateway) { return gateway == 0; }));
  network.Run(5000);
  EXPECT_FALSE(network.HasQuorum(0));
  network.SetLink([](std::size_t from, std::size_t to) { return from + to != 3 || (from != 0 && to != 0); });
  network.Run(300);
  EXPECT_TRUE(network.HasQuorum(0));
  EXPECT_EQ(network.SnapshotOf(0).present, 4) << "heartbeats of gateway 3 may still be on their way";
  network.Run(5000);
  EXPECT_EQ(network.SnapshotOf(0).present, 3) << "gateway 3 is absent at the end";
}

// A changed rank changes the subset of endpoints. Guards against an absent gateway that changes many subsets.
TEST(MembershipView, AbsentGatewayChangesAtMostOneOtherRank) {
  constexpr std::size_t kGateways = 6;
  for (std::size_t absent = 0; absent < kGateways; ++absent) {
    SimulatedNetwork network(kGateways);
    network.SetRunning([&](std::size_t gateway) { return gateway != absent; });
    network.Run(5000);
    std::set<int> ranks;
    int changed_rank_count = 0;
    for (std::size_t i = 0; i < kGateways; ++i) {
      if (i == absent) continue;
      ranks.insert(network.SnapshotOf(i).rank);
      if (network.SnapshotOf(i).rank != static_cast<int>(i)) ++changed_rank_count;
    }
    EXPECT_EQ(ranks, (std::set<int>{0, 1, 2, 3, 4})) << absent;
    EXPECT_EQ(changed_rank_count, absent == kGateways - 1 ? 0 : 1) << absent;
  }
}

// Guards against stale, duplicated or forged heartbeats that replace newer ones, and against a restarted
// process that is never accepted again.
TEST(MembershipView, DropsHeartbeatsOfUnknownSendersAndStaleOnes) {
  SimulatedNetwork network(3);
  network.Run(1000);
  Heartbeat stale_heartbeat = network.view(1).NextHeartbeat(network.now());
  EXPECT_TRUE(network.view(0).OnHeartbeat(network.now(), network.view(1).NextHeartbeat(network.now())));
  EXPECT_FALSE(network.view(0).OnHeartbeat(network.now(), stale_heartbeat)) << "an older sequence number";
  stale_heartbeat.incarnation = 7;
  stale_heartbeat.sequence = 1000;
  EXPECT_FALSE(network.view(0).OnHeartbeat(network.now(), stale_heartbeat))
      << "another incarnation while the last one still sends";
  stale_heartbeat.sender = "g9";
  EXPECT_FALSE(network.view(0).OnHeartbeat(network.now(), stale_heartbeat))
      << "a sender that is not in the peers file";
  stale_heartbeat.sender = "g0";
  EXPECT_FALSE(network.view(0).OnHeartbeat(network.now(), stale_heartbeat))
      << "a heartbeat in the receiver's own name";
  network.SetRunning([](std::size_t gateway) { return gateway != 1; });
  network.Run(1500);
  network.Start(1, network.names());  // a new incarnation, as after a crash
  network.ResumeAll();
  network.Run(1000);
  EXPECT_TRUE(network.HasQuorum(1));
  EXPECT_EQ(network.SnapshotOf(0).present, 3);
}

// One gateway is added to the peers file: gateways with the old file must count it as soon as another gateway
// reports the longer file.
TEST(MembershipView, LongestPeersFileIsInForceForAllGateways) {
  SimulatedNetwork network(3);
  network.Run(1000);
  std::vector<std::string> longer_list = network.names();
  longer_list.emplace_back("g3");
  network.Start(0, longer_list);
  network.Start(1, longer_list);
  network.Run(3000);
  EXPECT_EQ(network.SnapshotOf(2).configured, 4) << "gateway 2 still has the old file";
  EXPECT_EQ(network.SnapshotOf(2).present, 4);
  EXPECT_EQ(network.SnapshotOf(0).configured, 4);
  EXPECT_TRUE(network.HasQuorum(0));
  network.Start(3, longer_list);
  network.Start(2, longer_list);
  network.Run(3000);
  for (std::size_t i = 0; i < 4; ++i) EXPECT_EQ(network.SnapshotOf(i).present, 4) << i;
}

}  // namespace
}  // namespace meadowyard::testing
