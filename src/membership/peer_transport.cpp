#include "membership/peer_transport.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

#include "core/clock.hpp"
#include "log/log.hpp"

namespace meadowyard::membership {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using udp = asio::ip::udp;

std::vector<std::string> Names(const PeersConfig& config) {
  std::vector<std::string> names;
  for (const PeerAddress& peer : config.peers) names.push_back(peer.name);
  return names;
}

// A life: the platform's seed may be the same after a restart.
std::uint64_t Draw() {
  std::random_device device;
  return static_cast<std::uint64_t>(device()) << 32 | device();
}

}  // namespace

PeerLink::PeerLink(asio::io_context& io, PeersConfig config, Handlers handlers)
    : config_(std::move(config)),
      handlers_(std::move(handlers)),
      view_(Names(config_), config_.self, {config_.suspect_timeout, config_.dead_timeout}, Draw(),
            core::Now()),
      socket_(io),
      timer_(io),
      random_(Draw()) {
  Beats();
}

void PeerLink::Open() {
  error_code ec;
  socket_.open(config_.listen.protocol(), ec);
  if (!ec) socket_.bind(config_.listen, ec);
  if (!ec) socket_.non_blocking(true, ec);
  if (!ec) return Read();
  if (!std::exchange(told_taken_, true)) {
    log::Write(log::Level::kWarn, "peers_not_heard",
               {{"address", ToText(config_.listen)}, {"why", ec.message()}, {"text", "trying again"}});
  }
  socket_.close(ec);
}

void PeerLink::Read() {
  socket_.async_receive_from(asio::buffer(buffer_), from_, [this](error_code ec, std::size_t size) {
    if (ec == asio::error::operation_aborted) return;
    if (!ec) Got(size);
    Read();  // an error here is an ICMP message for what was sent
  });
}

void PeerLink::Got(std::size_t size) {
  const auto beat = DecodeHeartbeat({buffer_.data(), size});
  const auto duty = beat ? std::nullopt : coordination::DecodeMessage(buffer_.data(), size);
  const std::string from = beat ? beat->sender : duty ? duty->sender : "";
  const auto peer = std::find_if(config_.peers.begin(), config_.peers.end(),
                                 [&](const PeerAddress& p) { return p.name == from; });
  if (peer == config_.peers.end() || peer->address != from_) {
    ++strange_;
    return;
  }
  if (duty) {
    handlers_.duty(static_cast<int>(peer - config_.peers.begin()), duty->role, duty->message);
    return;
  }
  const Millis now = core::Now();
  if (!view_.OnHeartbeat(now, *beat)) return;
  ++heard_;
  if (beat->zone_load) handlers_.seen(static_cast<int>(peer - config_.peers.begin()), *beat->zone_load);
  if (beat->started.empty() && beat->recovered.empty()) return;  // the rest can wait for the next beat
  Gossip gossip;
  for (const Heartbeat::EndpointStart& s : beat->started) gossip.started.push_back({s.endpoint, now - s.age});
  gossip.recovered = beat->recovered;
  Tell(std::move(gossip));
}

void PeerLink::Send(int to, coordination::LeaseRole duty, const coordination::CoordinationMessage& word) {
  if (!socket_.is_open()) return;
  error_code ignored;
  socket_.send_to(asio::buffer(coordination::ToBytes(config_.peers[config_.self].name, duty, word)),
                  config_.peers[static_cast<std::size_t>(to)].address, 0, ignored);
  ++sent_;
}

void PeerLink::Tell(Gossip gossip) {
  const MembershipView::Snapshot look = view_.TakeSnapshot(core::Now());
  handlers_.news({look.configured, look.present, look.rank, look.quorum_until, std::move(gossip)});
}

void PeerLink::Beats() {
  if (!socket_.is_open()) Open();
  const Millis now = core::Now();
  Heartbeat beat = view_.NextHeartbeat(now);
  const Gossip gossip = handlers_.gossip();
  for (const Gossip::Start& s : gossip.started)
    beat.started.push_back({s.endpoint, std::max(0.0, now - s.started_at)});
  beat.recovered = gossip.recovered;
  beat.zone_load = handlers_.sights();
  const auto bytes = EncodeHeartbeat(beat);
  for (std::size_t i = 0; socket_.is_open() && i < config_.peers.size(); ++i) {
    if (i == config_.self) continue;
    error_code ignored;  // what can't be sent is as lost as what gets lost
    socket_.send_to(asio::buffer(bytes), config_.peers[i].address, 0, ignored);
    ++sent_;
  }
  Tell({});
  handlers_.beat(static_cast<double>(random_() >> 11) / 9007199254740992.0);
  timer_.expires_after(core::ToDuration(config_.heartbeat_interval));
  timer_.async_wait([this](error_code ec) {
    if (!ec) Beats();
  });
}

nlohmann::json PeerLink::Status() const {
  const Millis now = core::Now();
  const MembershipView::Snapshot look = view_.TakeSnapshot(now);
  nlohmann::json peers = nlohmann::json::array();
  for (std::size_t i = 0; i < view_.members().size(); ++i) {
    const MembershipView::Member& p = view_.members()[i];
    if (i == config_.self) continue;
    nlohmann::json entry = {{"name", p.name}, {"address", ToText(config_.peers[i].address)}};
    if (p.configured > 0) {
      entry["heard_ms_ago"] = static_cast<std::int64_t>(now - p.received_at);
      entry["hears_this"] = now - p.acknowledged_at < config_.suspect_timeout;
      entry["same_list"] = p.list_hash == view_.list_hash();
    }
    peers.push_back(std::move(entry));
  }
  return {{"name", config_.peers[config_.self].name},
          {"listed", look.configured},
          {"present", look.present},
          {"place", look.rank},
          {"in_touch", now < look.quorum_until},
          {"subset", config_.subset_size},
          {"beats", {{"sent", sent_}, {"heard", heard_}, {"old", view_.dropped()}, {"strange", strange_}}},
          {"peers", std::move(peers)}};
}

}  // namespace meadowyard::membership
