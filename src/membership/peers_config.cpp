#include "membership/peers_config.hpp"

#include <algorithm>
#include <fstream>
#include <sstream>

#include "edge/table_reader.hpp"

namespace meadowyard::membership {
namespace {

constexpr std::size_t kMostPeers = 128;  // each hears all others: the work grows with their square
constexpr std::size_t kMostName = 64;

boost::asio::ip::udp::endpoint Datagrams(const boost::asio::ip::tcp::endpoint& at) {
  return {at.address(), at.port()};
}

}  // namespace

PeersConfig ParsePeers(const std::string& path, const std::string& text,
                       const std::optional<std::string>& name) {
  PeersConfig config;
  config.path = path;
  toml::table file;
  try {
    file = toml::parse(text, path);
  } catch (const toml::parse_error& error) {
    throw EdgeError(path + ":" + std::to_string(error.source().begin.line) + ": " +
                    std::string(error.description()));
  }
  TableReader in(file, path, "");
  in.Tables("peer", [&](TableReader& each) {
    PeerAddress peer{each.Text("name"), Datagrams(each.Address("address"))};
    if (peer.name.empty() || peer.name.size() > kMostName) each.Fail("name", "must have 1 to 64 characters");
    for (const PeerAddress& other : config.all) {
      if (other.name == peer.name) each.Fail("name", "'" + peer.name + "' is there twice");
      if (other.address == peer.address) each.Fail("address", "is that of '" + other.name + "' too");
    }
    config.all.push_back(std::move(peer));
  });
  if (config.all.empty()) in.Fail("peer", "missing: list each gateway, this one too, under [[peer]]");
  if (config.all.size() > kMostPeers) in.Fail("peer", "more than 128 gateways");
  auto peers = in.Table("peers");
  if (!peers) in.Fail("peers", "missing");
  const std::string own = peers->Text("name", name.value_or(config.all.front().name));
  const auto self = std::find_if(config.all.begin(), config.all.end(),
                                 [&](const PeerAddress& peer) { return peer.name == own; });
  if (self == config.all.end()) {
    peers->Fail("name", own.empty() ? "missing, and NODE_NAME is not set"
                                    : "no [[peer]] is named '" + own + "', as this gateway is");
  }
  config.self = static_cast<std::size_t>(self - config.all.begin());
  config.listen = peers->Has("listen") ? Datagrams(peers->Address("listen")) : self->address;
  config.subset = static_cast<int>(peers->Count("subset", 0, 0, 1e6));
  config.beat = peers->Number("beat_ms", config.beat, 20, 10000);
  config.silent = peers->Number("silent_ms", std::max(config.silent, 3 * config.beat), 50, 60000);
  if (config.silent < 2 * config.beat) peers->Fail("silent_ms", "must be two beats at the least");
  config.gone = peers->Number("gone_ms", std::max(config.gone, 2 * config.silent), 50, 600000);
  if (config.gone < config.silent) peers->Fail("gone_ms", "must not be below silent_ms");
  config.share_list = peers->Flag("share_list", false);
  config.lease = peers->Number("lease_ms", config.lease, 100, 600000);
  if (config.lease < 4 * config.beat) peers->Fail("lease_ms", "must be four beats at the least");
  peers->Finish();
  if (auto zones = in.Table("zones")) {
    ZoneRoutingSettings& l = config.locality;
    l.enabled = true;
    l.overprovisioning = zones->Number("spare", l.overprovisioning, 1, 100);
    l.panic_threshold = zones->Number("panic", l.panic_threshold, 0, 1);
    l.max_overflow = zones->Number("most_extra", l.max_overflow, 0, 100);
    config.zones.hold = zones->Number("hold_ms", config.zones.hold, 100, 300000);
    config.zones.fresh = config.silent;
    config.zones.spare = l.overprovisioning;
    zones->Finish();
  }
  int region = 0;
  in.Tables("region", [&](TableReader& each) {
    if (!config.locality.enabled) each.Fail("zones", "there is no [zones]");
    for (const std::string& zone : each.Texts("zones")) {
      if (!config.locality.regions.emplace(zone, region).second)
        each.Fail("zones", "'" + zone + "' is in two regions");
    }
    ++region;
  });
  in.Finish();
  return config;
}

bool IsPeersFile(const std::string& path) {
  try {
    const toml::table file = toml::parse_file(path);
    return file.contains("peers") || file.contains("peer");
  } catch (const toml::parse_error&) {
    return false;
  }
}

PeersConfig LoadPeers(const std::string& path, const std::optional<std::string>& name) {
  std::ifstream stream(path);
  std::ostringstream text;
  if (!stream || !(text << stream.rdbuf())) throw EdgeError(path + ": can't be read");
  return ParsePeers(path, text.str(), name);
}

}  // namespace meadowyard::membership
