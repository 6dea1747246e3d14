#include "membership/peers_config.hpp"

#include <algorithm>
#include <utility>

#include "config_file/table_reader.hpp"
#include "config_file/toml_file.hpp"

namespace meadowyard::membership {
namespace {

using config_file::TableReader;

// Every gateway sends heartbeats to all others, so the traffic grows with the square of the number of
// gateways.
constexpr std::size_t kMaxPeers = 128;
constexpr std::size_t kMaxNameLength = 64;  // characters

// TableReader reads addresses as TCP endpoints; UDP endpoints have the same form.
boost::asio::ip::udp::endpoint ToUdp(const boost::asio::ip::tcp::endpoint& endpoint) {
  return {endpoint.address(), endpoint.port()};
}

void ReadPeer(TableReader& table, std::vector<PeerAddress>& peers) {
  PeerAddress peer{.name = table.ReadString("name"), .address = ToUdp(table.ReadAddress("address"))};
  if (peer.name.empty() || peer.name.size() > kMaxNameLength) {
    table.Fail("name", "must have 1 to 64 characters");
  }
  for (const PeerAddress& other : peers) {
    if (other.name == peer.name) table.Fail("name", "'" + peer.name + "' is there twice");
    if (other.address == peer.address) table.Fail("address", "is that of '" + other.name + "' too");
  }
  peers.push_back(std::move(peer));
}

void ReadPeerList(TableReader& file, std::vector<PeerAddress>& peers) {
  file.ReadTables("peer", [&](TableReader& table) { ReadPeer(table, peers); });
  if (peers.empty()) file.Fail("peer", "missing: list each gateway, this one too, under [[peer]]");
  if (peers.size() > kMaxPeers) file.Fail("peer", "more than 128 gateways");
}

// Reads the name of this gateway and returns its index in `peers`.
std::size_t ReadSelf(TableReader& table, const std::vector<PeerAddress>& peers,
                     const std::optional<std::string>& name) {
  const std::string own_name = table.ReadString("name", name.value_or(peers.front().name));
  const auto self = std::find_if(peers.begin(), peers.end(),
                                 [&](const PeerAddress& peer) { return peer.name == own_name; });
  if (self == peers.end()) {
    table.Fail("name", own_name.empty() ? "missing, and NODE_NAME is not set"
                                        : "no [[peer]] is named '" + own_name + "', as this gateway is");
  }
  return static_cast<std::size_t>(self - peers.begin());
}

void ReadTimeouts(TableReader& table, PeersConfig& config) {
  config.heartbeat_interval =
      table.ReadNumber("beat_ms", config.heartbeat_interval, {.min = 20, .max = 10000});
  const Millis default_suspect_timeout = std::max(config.suspect_timeout, 3 * config.heartbeat_interval);
  config.suspect_timeout = table.ReadNumber("silent_ms", default_suspect_timeout, {.min = 50, .max = 60000});
  if (config.suspect_timeout < 2 * config.heartbeat_interval) {
    table.Fail("silent_ms", "must be two beats at the least");
  }
  const Millis default_dead_timeout = std::max(config.dead_timeout, 2 * config.suspect_timeout);
  config.dead_timeout = table.ReadNumber("gone_ms", default_dead_timeout, {.min = 50, .max = 600000});
  if (config.dead_timeout < config.suspect_timeout) table.Fail("gone_ms", "must not be below silent_ms");
}

void ReadPeers(TableReader& table, PeersConfig& config, const std::optional<std::string>& name) {
  config.self = ReadSelf(table, config.peers, name);
  config.listen =
      table.Has("listen") ? ToUdp(table.ReadAddress("listen")) : config.peers[config.self].address;
  config.subset_size = static_cast<int>(table.ReadCount("subset", 0, {.min = 0, .max = 1e6}));
  ReadTimeouts(table, config);
  config.shares_endpoint_list = table.ReadBool("share_list", false);
  config.lease_term = table.ReadNumber("lease_ms", config.lease_term, {.min = 100, .max = 600000});
  if (config.lease_term < 4 * config.heartbeat_interval) {
    table.Fail("lease_ms", "must be four beats at the least");
  }
  table.Finish();
}

void ReadZones(TableReader& table, PeersConfig& config) {
  ZoneRoutingSettings& routing = config.zone_routing;
  routing.enabled = true;
  routing.overprovisioning = table.ReadNumber("spare", routing.overprovisioning, {.min = 1, .max = 100});
  routing.panic_threshold = table.ReadNumber("panic", routing.panic_threshold, {.min = 0, .max = 1});
  routing.max_overflow = table.ReadNumber("most_extra", routing.max_overflow, {.min = 0, .max = 100});
  config.zone_health.hold_down =
      table.ReadNumber("hold_ms", config.zone_health.hold_down, {.min = 100, .max = 300000});
  config.zone_health.max_report_age = config.suspect_timeout;
  config.zone_health.overprovisioning_factor = routing.overprovisioning;
  table.Finish();
}

void ReadRegions(TableReader& file, ZoneRoutingSettings& routing) {
  int region = 0;
  file.ReadTables("region", [&](TableReader& table) {
    if (!routing.enabled) table.Fail("zones", "there is no [zones]");
    for (const std::string& zone : table.ReadStrings("zones")) {
      const bool added = routing.regions.emplace(zone, region).second;
      if (!added) table.Fail("zones", "'" + zone + "' is in two regions");
    }
    ++region;
  });
}

}  // namespace

PeersConfig ParsePeers(const std::string& path, const std::string& text,
                       const std::optional<std::string>& name) {
  const toml::table root = config_file::ParseToml(text, path);
  TableReader file(root, path, "");
  PeersConfig config;
  config.path = path;
  config.text = text;
  ReadPeerList(file, config.peers);
  auto peers = file.ReadTable("peers");
  if (!peers) file.Fail("peers", "missing");
  ReadPeers(*peers, config, name);
  if (auto zones = file.ReadTable("zones")) ReadZones(*zones, config);
  ReadRegions(file, config.zone_routing);
  file.Finish();
  return config;
}

PeersConfig LoadPeers(const std::string& path, const std::optional<std::string>& name) {
  return ParsePeers(path, config_file::ReadText(path), name);
}

bool IsPeersFile(const std::string& path) {
  try {
    const toml::table file = toml::parse_file(path);
    return file.contains("peers") || file.contains("peer");
  } catch (const toml::parse_error&) {
    return false;
  }
}

}  // namespace meadowyard::membership
