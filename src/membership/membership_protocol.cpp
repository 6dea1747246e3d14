#include "membership/membership_protocol.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "core/clock.hpp"
#include "membership/heartbeat_codec.hpp"

namespace meadowyard::membership {
namespace {

using boost::system::error_code;

std::vector<std::string> MemberNames(const PeersConfig& config) {
  std::vector<std::string> names;
  for (const PeerAddress& peer : config.peers) names.push_back(peer.name);
  return names;
}

// Returns 64 bits from the random device, so that no earlier process has used the same number. The configured
// seed of the gateway can't provide that: it may be the same after a restart.
std::uint64_t ReadRandomDevice() {
  std::random_device device;
  return static_cast<std::uint64_t>(device()) << 32 | device();
}

// Uniformly distributed from 0 (included) to 1 (excluded).
double UniformFraction(std::mt19937_64& random) {
  constexpr double fraction_count = 9007199254740992.0;  // 2^53
  return static_cast<double>(random() >> 11) / fraction_count;
}

}  // namespace

MembershipProtocol::MembershipProtocol(boost::asio::io_context& io, PeersConfig config, Delegate& delegate)
    : config_(std::move(config)),
      delegate_(delegate),
      view_(MemberNames(config_), config_.self,
            {.suspect_timeout = config_.suspect_timeout, .dead_timeout = config_.dead_timeout},
            ReadRandomDevice(), core::Now()),
      transport_(io, config_.listen,
                 [this](const PeerTransport::Endpoint& sender, std::span<const std::uint8_t> datagram) {
                   OnDatagram(sender, datagram);
                 }),
      heartbeat_timer_(io),
      random_(ReadRandomDevice()) {
  SendHeartbeats();
}

std::optional<int> MembershipProtocol::FindMember(const std::string& name,
                                                  const PeerTransport::Endpoint& address) const {
  const auto peer_entry = std::find_if(config_.peers.begin(), config_.peers.end(),
                                       [&](const PeerAddress& peer) { return peer.name == name; });
  if (peer_entry == config_.peers.end() || peer_entry->address != address) return std::nullopt;
  return static_cast<int>(peer_entry - config_.peers.begin());
}

void MembershipProtocol::OnDatagram(const PeerTransport::Endpoint& sender,
                                    std::span<const std::uint8_t> datagram) {
  if (const auto heartbeat = DecodeHeartbeat(datagram)) {
    if (const auto member = FindMember(heartbeat->sender, sender)) {
      OnHeartbeat(*member, *heartbeat);
      return;
    }
  } else if (const auto decoded = coordination::DecodeMessage(datagram.data(), datagram.size())) {
    if (const auto member = FindMember(decoded->sender, sender)) {
      delegate_.OnCoordinationMessage(*member, decoded->role, decoded->message);
      return;
    }
  }
  ++rejected_datagrams_;
}

void MembershipProtocol::OnHeartbeat(int member, const Heartbeat& heartbeat) {
  const Millis now = core::Now();
  if (!view_.OnHeartbeat(now, heartbeat)) return;
  ++received_heartbeats_;
  if (heartbeat.zone_load) delegate_.OnZoneLoad(member, *heartbeat.zone_load);
  // Only gossip is reported at once. Without it, the update is reported with this gateway's next heartbeat.
  if (heartbeat.started.empty() && heartbeat.recovered.empty()) return;
  Gossip gossip;
  for (const Heartbeat::EndpointStart& start : heartbeat.started) {
    gossip.started.push_back({.endpoint = start.endpoint, .started_at = now - start.age});
  }
  gossip.recovered = heartbeat.recovered;
  ReportMembership(std::move(gossip));
}

void MembershipProtocol::SendCoordinationMessage(int member, coordination::LeaseRole role,
                                                 const coordination::CoordinationMessage& message) {
  if (!transport_.is_open()) return;
  transport_.Send(config_.peers[static_cast<std::size_t>(member)].address,
                  coordination::ToBytes(config_.peers[config_.self].name, role, message));
}

void MembershipProtocol::ReportMembership(Gossip gossip) {
  const MembershipView::Snapshot snapshot = view_.TakeSnapshot(core::Now());
  delegate_.OnMembershipUpdate({.configured = snapshot.configured,
                                .present = snapshot.present,
                                .rank = snapshot.rank,
                                .quorum_until = snapshot.quorum_until,
                                .gossip = std::move(gossip)});
}

void MembershipProtocol::SendHeartbeats() {
  transport_.OpenIfClosed();
  const Millis now = core::Now();
  Heartbeat heartbeat = view_.NextHeartbeat(now);
  const Gossip gossip = delegate_.CollectGossip();
  for (const Gossip::Start& start : gossip.started) {
    heartbeat.started.push_back({.endpoint = start.endpoint, .age = std::max(0.0, now - start.started_at)});
  }
  heartbeat.recovered = gossip.recovered;
  heartbeat.zone_load = delegate_.CollectZoneLoad();
  const std::vector<std::uint8_t> datagram = EncodeHeartbeat(heartbeat);
  for (std::size_t i = 0; i < config_.peers.size(); ++i) {
    if (i != config_.self) transport_.Send(config_.peers[i].address, datagram);
  }
  ReportMembership({});
  delegate_.OnHeartbeatSent(UniformFraction(random_));
  ScheduleHeartbeats();
}

void MembershipProtocol::ScheduleHeartbeats() {
  heartbeat_timer_.expires_after(core::ToDuration(config_.heartbeat_interval));
  heartbeat_timer_.async_wait([this](error_code ec) {
    if (!ec) SendHeartbeats();
  });
}

nlohmann::json MembershipProtocol::MemberStatus(std::size_t index, Millis now) const {
  const MembershipView::Member& member = view_.members()[index];
  nlohmann::json status = {{"name", member.name}, {"address", ToText(config_.peers[index].address)}};
  if (member.configured > 0) {
    status["heard_ms_ago"] = static_cast<std::int64_t>(now - member.received_at);
    status["hears_this"] = now - member.acknowledged_at < config_.suspect_timeout;
    status["same_list"] = member.list_hash == view_.list_hash();
  }
  return status;
}

nlohmann::json MembershipProtocol::Status() const {
  const Millis now = core::Now();
  const MembershipView::Snapshot snapshot = view_.TakeSnapshot(now);
  nlohmann::json peers = nlohmann::json::array();
  for (std::size_t i = 0; i < config_.peers.size(); ++i) {
    if (i != config_.self) peers.push_back(MemberStatus(i, now));
  }
  return {{"name", config_.peers[config_.self].name},
          {"listed", snapshot.configured},
          {"present", snapshot.present},
          {"place", snapshot.rank},
          {"in_touch", now < snapshot.quorum_until},
          {"subset", config_.subset_size},
          {"beats",
           {{"sent", transport_.sent()},
            {"heard", received_heartbeats_},
            {"old", view_.dropped()},
            {"strange", rejected_datagrams_}}},
          {"peers", std::move(peers)}};
}

}  // namespace meadowyard::membership
