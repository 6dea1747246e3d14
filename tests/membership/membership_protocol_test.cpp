/// @file
/// Tests of gateways that exchange heartbeats and coordination messages over UDP on the loopback interface.
#include "membership/membership_protocol.hpp"

#include <gtest/gtest.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/clock.hpp"
#include "membership/heartbeat_codec.hpp"

namespace meadowyard::testing {
namespace {

using membership::EncodeHeartbeat;
using membership::Heartbeat;
using membership::MembershipProtocol;
using membership::PeerAddress;
using membership::PeersConfig;
using Udp = boost::asio::ip::udp;

Udp::endpoint Loopback(std::uint16_t port) { return {boost::asio::ip::address_v4::loopback(), port}; }

// Records the reports of its protocol.
class RecordingDelegate : public MembershipProtocol::Delegate {
 public:
  Gossip CollectGossip() override { return gossip; }
  std::optional<ZoneLoadReport> CollectZoneLoad() override { return zone_load; }
  void OnMembershipUpdate(MembershipUpdate update) override {
    if (!update.gossip.recovered.empty()) received_gossip = update.gossip;
    last_update = std::move(update);
  }
  void OnZoneLoad(int member, const ZoneLoadReport& report) override {
    zone_load_sender = member;
    received_zone_load = report;
  }
  void OnCoordinationMessage(int member, coordination::LeaseRole /*role*/,
                             const coordination::CoordinationMessage& /*message*/) override {
    message_sender = member;
  }
  void OnHeartbeatSent(double jitter) override { jitters.push_back(jitter); }

  [[nodiscard]] bool HasQuorum() const { return core::Now() < last_update.quorum_until; }

  Gossip gossip;
  std::optional<ZoneLoadReport> zone_load;
  MembershipUpdate last_update;
  Gossip received_gossip;
  std::optional<int> zone_load_sender;
  ZoneLoadReport received_zone_load;
  std::optional<int> message_sender;
  std::vector<double> jitters;
};

class MembershipProtocolTest : public ::testing::Test {
 protected:
  static constexpr std::size_t kGateways = 3;

  MembershipProtocolTest() {
    std::vector<Udp::socket> sockets;  // open at the same time, so that the ports differ
    for (std::size_t i = 0; i < kGateways; ++i) {
      sockets.emplace_back(io_, Loopback(0));
      peers_.push_back({.name = "g" + std::to_string(i), .address = sockets.back().local_endpoint()});
    }
    protocols_.resize(kGateways);
  }

  void Start(std::size_t gateway) {
    PeersConfig config;
    config.peers = peers_;
    config.self = gateway;
    config.listen = peers_[gateway].address;
    config.heartbeat_interval = 20;
    protocols_[gateway] = std::make_unique<MembershipProtocol>(io_, config, delegates_[gateway]);
  }

  // Runs the event loop until `is_done` returns true. Returns false after 10 seconds.
  template <typename Predicate>
  bool RunUntil(Predicate is_done) {
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!is_done()) {
      if (std::chrono::steady_clock::now() > deadline) return false;
      io_.run_one_for(std::chrono::milliseconds(20));
    }
    return true;
  }

  nlohmann::json Heartbeats(std::size_t gateway) const { return protocols_[gateway]->Status()["beats"]; }

  boost::asio::io_context io_;
  std::vector<PeerAddress> peers_;
  std::vector<RecordingDelegate> delegates_ = std::vector<RecordingDelegate>(kGateways);
  std::vector<std::unique_ptr<MembershipProtocol>> protocols_;  // destroyed before their delegates
};

// Guards against gossip, zone load or membership that is lost between the protocol and the delegate.
TEST_F(MembershipProtocolTest, GatewaysGainQuorumAndExchangeGossipAndZoneLoad) {
  delegates_[0].gossip.recovered = {"h-1"};
  delegates_[0].gossip.started = {{.endpoint = "h-2", .started_at = core::Now() - 500}};
  delegates_[0].zone_load =
      ZoneLoadReport{.zone = "a", .arrival_rate = 7, .zones = {{.zone = "a", .capacity = 3}}};
  for (std::size_t i = 0; i < kGateways; ++i) Start(i);
  ASSERT_TRUE(RunUntil([&] {
    return delegates_[0].HasQuorum() && delegates_[1].HasQuorum() && delegates_[2].HasQuorum() &&
           !delegates_[1].received_gossip.recovered.empty();
  }));
  for (std::size_t i = 0; i < kGateways; ++i) {
    EXPECT_EQ(delegates_[i].last_update.configured, 3);
    EXPECT_EQ(delegates_[i].last_update.present, 3);
    EXPECT_EQ(delegates_[i].last_update.rank, static_cast<int>(i));
    for (const double jitter : delegates_[i].jitters) EXPECT_TRUE(jitter >= 0 && jitter < 1) << jitter;
  }
  EXPECT_EQ(delegates_[1].received_gossip.recovered, std::vector<std::string>{"h-1"});
  ASSERT_EQ(delegates_[1].received_gossip.started.size(), 1U);
  EXPECT_EQ(delegates_[1].received_gossip.started[0].endpoint, "h-2");
  EXPECT_NEAR(delegates_[1].received_gossip.started[0].started_at, delegates_[0].gossip.started[0].started_at,
              5000);
  EXPECT_EQ(delegates_[1].zone_load_sender, 0);
  EXPECT_EQ(delegates_[1].received_zone_load.arrival_rate, 7);
}

// Guards against messages of lease-held roles being delivered to the wrong member.
TEST_F(MembershipProtocolTest, CoordinationMessageIsDeliveredOnlyToItsMember) {
  for (std::size_t i = 0; i < kGateways; ++i) Start(i);
  protocols_[0]->SendCoordinationMessage(2, coordination::LeaseRole::kZoneState,
                                         coordination::ZoneStateVote{.token = 1, .version = 2});
  ASSERT_TRUE(RunUntil([&] { return delegates_[2].message_sender.has_value(); }));
  EXPECT_EQ(delegates_[2].message_sender, 0);
  EXPECT_FALSE(delegates_[1].message_sender.has_value());
}

// Guards against forged heartbeats: a sender that is not at the address in the peers file must not be
// accepted.
TEST_F(MembershipProtocolTest, DatagramsFromUnknownAddressesAreCountedAndIgnored) {
  Start(0);
  Heartbeat heartbeat;
  heartbeat.sender = "g1";
  heartbeat.configured = 3;
  Udp::socket unknown_sender(io_, Loopback(0));  // not the address of g1
  unknown_sender.send_to(boost::asio::buffer(EncodeHeartbeat(heartbeat)), peers_[0].address);
  unknown_sender.send_to(boost::asio::buffer(std::string("no message")), peers_[0].address);
  ASSERT_TRUE(RunUntil([&] { return Heartbeats(0)["strange"] == 2; }));
  EXPECT_EQ(Heartbeats(0)["heard"], 0);
  EXPECT_FALSE(delegates_[0].HasQuorum());
}

// Guards against a gateway that stays without membership after a hot restart, because the predecessor still
// had the address bound when it started.
TEST_F(MembershipProtocolTest, BindingAnAddressInUseIsRetriedUntilItIsFree) {
  std::optional<Udp::socket> predecessor(std::in_place, io_, peers_[0].address);
  Start(0);
  Start(1);
  ASSERT_TRUE(RunUntil([&] { return delegates_[0].jitters.size() >= 3; }));
  EXPECT_EQ(Heartbeats(0)["sent"], 0);
  predecessor.reset();
  EXPECT_TRUE(RunUntil([&] { return delegates_[0].HasQuorum() && delegates_[1].HasQuorum(); }));
}

// Guards against renamed or missing fields in the reply that operators' tools parse.
TEST_F(MembershipProtocolTest, StatusHasTheFieldsThatOperatorsUse) {
  Start(0);
  Start(1);
  ASSERT_TRUE(RunUntil([&] { return delegates_[0].HasQuorum(); }));
  const nlohmann::json status = protocols_[0]->Status();
  EXPECT_EQ(status["name"], "g0");
  EXPECT_EQ(status["listed"], 3);
  EXPECT_EQ(status["place"], 0);
  EXPECT_EQ(status["in_touch"], true);
  EXPECT_EQ(status["subset"], 0);
  ASSERT_EQ(status["peers"].size(), 2U);
  EXPECT_EQ(status["peers"][0]["name"], "g1");
  EXPECT_EQ(status["peers"][0]["hears_this"], true);
  EXPECT_EQ(status["peers"][0]["same_list"], true);
  EXPECT_GE(status["peers"][0]["heard_ms_ago"], 0);
  EXPECT_EQ(status["peers"][1]["name"], "g2");
  EXPECT_FALSE(status["peers"][1].contains("heard_ms_ago")) << "no heartbeat was received from g2";
}

}  // namespace
}  // namespace meadowyard::testing
