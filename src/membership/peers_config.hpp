/// @file
/// The peers file of the operators: lists the gateways that send requests to the same endpoints, and sets how
/// many endpoints each of them uses. All gateways read the same file; docs/peers.md describes each key.
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

/// A validated peers file.
struct PeersConfig {
  std::string path;                       ///< Path of the peers file.
  std::string text;                       ///< The file as read.
  std::vector<PeerAddress> peers;         ///< All gateways in file order, including this one.
  std::size_t self = 0;                   ///< Index of this gateway in `peers`.
  boost::asio::ip::udp::endpoint listen;  ///< Local address for datagrams.
  int subset_size = 0;  ///< Number of endpoints that each gateway uses; 0: the default subset.
  Millis heartbeat_interval = 200;
  Millis suspect_timeout = 1000;  ///< A peer is out of contact after this time without an acknowledgement.
  Millis dead_timeout = 3000;     ///< After this time it is absent.
  bool shares_endpoint_list = false;  ///< One gateway at a time polls service discovery for all gateways.
  Millis lease_term = 3000;           ///< Duration of the leases of lease-held roles.
  ZoneRoutingSettings zone_routing;   ///< Enabled if the file has [zones].
  coordination::ZoneHealthEvaluator::Times zone_health;  ///< Used only if the file has [zones].
};

/// Reads a peers file. `name` is the name of this gateway, unless the file sets `name` in [peers]. Without
/// either, the file is read as the first gateway would read it. Throws ConfigurationError naming file, line
/// and key.
PeersConfig LoadPeers(const std::string& path, const std::optional<std::string>& name);
/// The same for a text that has already been read from `path`.
PeersConfig ParsePeers(const std::string& path, const std::string& text,
                       const std::optional<std::string>& name);
/// Whether a TOML file is a peers file: it has [peers] or [[peer]]. False if it can't be parsed.
[[nodiscard]] bool IsPeersFile(const std::string& path);

}  // namespace meadowyard::membership

#endif  // MEADOWYARD_MEMBERSHIP_PEERS_CONFIG_HPP_
