// Which gateways are present, as each of several sees it, while links fail and processes stop and restart.
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

// Gateways that reach each other only on the same side.
SimulatedNetwork::Link SplitBy(std::function<bool(std::size_t gateway)> side) {
  return [side = std::move(side)](std::size_t sender, std::size_t receiver) {
    return side(sender) == side(receiver);
  };
}

TEST(MembershipView, MajorityKeepsItsQuorumAndTheRestDoNot) {
  struct Case {
    std::string name;
    std::size_t gateways;
    SimulatedNetwork::Link link;
    std::set<std::size_t> with_quorum;
    std::vector<int> present;  // as each gateway with a quorum sees it, in their order
  };
  const std::vector<Case> cases = {
      {"all connected", 3, [](std::size_t, std::size_t) { return true; }, {0, 1, 2}, {3, 3, 3}},
      {"one of three cut off", 3, SplitBy([](std::size_t i) { return i == 0; }), {1, 2}, {2, 2}},
      {"two apart: each might be the only one", 2, SplitBy([](std::size_t i) { return i == 0; }), {}, {}},
      {"two halves: no majority", 4, SplitBy([](std::size_t i) { return i < 2; }), {}, {}},
      {"two of five cut off", 5, SplitBy([](std::size_t i) { return i < 2; }), {2, 3, 4}, {3, 3, 3}},
      {"the first is not received", 3, [](std::size_t a, std::size_t) { return a != 0; }, {1, 2}, {2, 2}},
      {"the first receives nothing", 3, [](std::size_t, std::size_t b) { return b != 0; }, {1, 2}, {2, 2}},
      {"one link is down", 3, [](std::size_t a, std::size_t b) { return a + b != 1; }, {0, 1, 2}, {2, 2, 3}},
      {"a single gateway", 1, [](std::size_t, std::size_t) { return true; }, {0}, {1}},
  };
  for (const Case& each : cases) {
    SCOPED_TRACE(each.name);
    SimulatedNetwork network(each.gateways);
    network.Run(2000);
    for (std::size_t i = 0; i < each.gateways; ++i) EXPECT_TRUE(network.HasQuorum(i)) << "gateway " << i;
    network.SetLink(each.link);
    network.Run(5000);
    std::vector<int> present;
    for (std::size_t i = 0; i < each.gateways; ++i) {
      EXPECT_EQ(network.HasQuorum(i), each.with_quorum.contains(i)) << "gateway " << i;
      if (each.with_quorum.contains(i)) present.push_back(network.At(i).present);
    }
    EXPECT_EQ(present, each.present);
    network.ConnectAll();
    network.Run(1000);
    for (std::size_t i = 0; i < each.gateways; ++i) {
      EXPECT_TRUE(network.HasQuorum(i)) << "gateway " << i;
      EXPECT_EQ(network.At(i).present, static_cast<int>(each.gateways)) << "gateway " << i;
      EXPECT_EQ(network.At(i).rank, static_cast<int>(i)) << "gateway " << i;
    }
  }
}

// Heartbeats that lay unread while a process was stopped are out of date when it resumes.
TEST(MembershipView, OldHeartbeatsGiveAResumedProcessNoQuorum) {
  SimulatedNetwork network(3);
  network.Run(2000);
  network.SetRunning([](std::size_t gateway) { return gateway != 2; });
  network.Run(4000);
  network.DeliverWaiting(2);
  EXPECT_FALSE(network.HasQuorum(2));
  EXPECT_EQ(network.At(0).present, 2);
  network.RunAll();
  network.Run(500);
  EXPECT_TRUE(network.HasQuorum(2));
  EXPECT_EQ(network.At(0).present, 3);
}

// A gateway that was cut off does not know who stopped meanwhile: those that it has not received from yet may
// be present.
TEST(MembershipView, AGatewayThatRegainsItsQuorumTakesNoneForAbsentAtOnce) {
  SimulatedNetwork network(4);
  network.Run(2000);
  network.SetLink(SplitBy([](std::size_t gateway) { return gateway == 0; }));
  network.Run(5000);
  EXPECT_FALSE(network.HasQuorum(0));
  network.SetLink([](std::size_t a, std::size_t b) { return a + b != 3 || (a != 0 && b != 0); });
  network.Run(300);
  EXPECT_TRUE(network.HasQuorum(0));
  EXPECT_EQ(network.At(0).present, 4) << "the last one's heartbeat may still be on its way";
  network.Run(5000);
  EXPECT_EQ(network.At(0).present, 3) << "but it is absent in the end";
}

TEST(MembershipView, AnAbsentGatewayChangesTheRankOfOneOtherAtTheMost) {
  constexpr std::size_t kGateways = 6;
  for (std::size_t absent = 0; absent < kGateways; ++absent) {
    SimulatedNetwork network(kGateways);
    network.SetRunning([&](std::size_t gateway) { return gateway != absent; });
    network.Run(5000);
    std::set<int> ranks;
    int changed = 0;
    for (std::size_t i = 0; i < kGateways; ++i) {
      if (i == absent) continue;
      ranks.insert(network.At(i).rank);
      if (network.At(i).rank != static_cast<int>(i)) ++changed;
    }
    EXPECT_EQ(ranks, (std::set<int>{0, 1, 2, 3, 4})) << absent;
    EXPECT_EQ(changed, absent == kGateways - 1 ? 0 : 1) << absent;
  }
}

TEST(MembershipView, DropsHeartbeatsOfUnknownSendersAndOldOnes) {
  SimulatedNetwork network(3);
  network.Run(1000);
  Heartbeat old = network.view(1).NextHeartbeat(network.now());
  EXPECT_TRUE(network.view(0).OnHeartbeat(network.now(), network.view(1).NextHeartbeat(network.now())));
  EXPECT_FALSE(network.view(0).OnHeartbeat(network.now(), old)) << "a sequence number that is behind";
  old.incarnation = 7;
  old.sequence = 1000;
  EXPECT_FALSE(network.view(0).OnHeartbeat(network.now(), old)) << "while another incarnation still sends";
  old.sender = "g9";
  EXPECT_FALSE(network.view(0).OnHeartbeat(network.now(), old)) << "not in the peers file";
  old.sender = "g0";
  EXPECT_FALSE(network.view(0).OnHeartbeat(network.now(), old)) << "its own name";
  network.SetRunning([](std::size_t gateway) { return gateway != 1; });
  network.Run(1500);
  network.Start(1, network.names());  // as after a kill
  network.RunAll();
  network.Run(1000);
  EXPECT_TRUE(network.HasQuorum(1));
  EXPECT_EQ(network.At(0).present, 3);
}

// The peers file grows by one gateway: those that still have the old one count it as soon as another names
// it.
TEST(MembershipView, TheLongestPeersFileHoldsForAll) {
  SimulatedNetwork network(3);
  network.Run(1000);
  std::vector<std::string> longer = network.names();
  longer.emplace_back("g3");
  network.Start(0, longer);
  network.Start(1, longer);
  network.Run(3000);
  EXPECT_EQ(network.At(2).configured, 4) << "it has the old file";
  EXPECT_EQ(network.At(2).present, 4);
  EXPECT_EQ(network.At(0).configured, 4);
  EXPECT_TRUE(network.HasQuorum(0));
  network.Start(3, longer);
  network.Start(2, longer);
  network.Run(3000);
  for (std::size_t i = 0; i < 4; ++i) EXPECT_EQ(network.At(i).present, 4) << i;
}

}  // namespace
}  // namespace meadowyard::testing
