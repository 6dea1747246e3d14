/// @file
/// The operators' file of the gateways in front of the same endpoints: who they are, and how many endpoints
/// each uses. The same file serves all of them; docs/peers.md explains each key.
#ifndef MEADOWYARD_MEMBERSHIP_PEERS_CONFIG_HPP_
#define MEADOWYARD_MEMBERSHIP_PEERS_CONFIG_HPP_

#include <boost/asio/ip/udp.hpp>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "coordination/zone_health_evaluator.hpp"
#include "meadowyard/policy.hpp"
#include "membership/peer_address.hpp"

namespace meadowyard::membership {

struct PeersConfig {
  std::string path;                       ///< Of the file.
  std::vector<PeerAddress> peers;         ///< All gateways in the file's order, this one included.
  std::size_t self = 0;                   ///< Index of this gateway among them.
  boost::asio::ip::udp::endpoint listen;  ///< Where this gateway receives datagrams.
  int subset_size = 0;                    ///< Endpoints that each gateway uses; 0: the default subset.
  Millis heartbeat_interval = 200;
  Millis suspect_timeout = 1000;      ///< A peer without an acknowledgement for so long is out of contact.
  Millis dead_timeout = 3000;         ///< For so long: it is absent.
  bool shares_endpoint_list = false;  ///< One gateway at a time reads service discovery for all.
  Millis lease_term = 3000;           ///< Of the lease-held roles.
  ZoneRoutingSettings zone_routing;   ///< Enabled if the file has [zones].
  coordination::ZoneHealthEvaluator::Times zone_health;  ///< With [zones] only.
};

/// Reads a peers file. `name` is this gateway's, unless the file itself says so; without one the file is
/// checked as the first gateway's. Throws ConfigurationError naming file, line and key.
PeersConfig LoadPeers(const std::string& path, const std::optional<std::string>& name);
/// The same for a text that was read already.
PeersConfig ParsePeers(const std::string& path, const std::string& text,
                       const std::optional<std::string>& name);
/// Whether a TOML file is a peers file: it has [peers] or [[peer]]. False if it can't be parsed.
[[nodiscard]] bool IsPeersFile(const std::string& path);

}  // namespace meadowyard::membership

#endif  // MEADOWYARD_MEMBERSHIP_PEERS_CONFIG_HPP_
