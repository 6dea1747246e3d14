// The operators' file of the gateways that stand in front of the same hosts: who they are, and how many hosts
// each uses. The same file serves all of them. docs/peers.md explains each key.
#ifndef MEADOWYARD_MEMBERSHIP_PEERS_CONFIG_HPP_
#define MEADOWYARD_MEMBERSHIP_PEERS_CONFIG_HPP_

#include <boost/asio/ip/udp.hpp>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "coordination/zone_health_evaluator.hpp"
#include "meadowyard/policy.hpp"

namespace meadowyard::membership {

struct PeerAddress {
  std::string name;
  boost::asio::ip::udp::endpoint address;  // where it is reached, and where its beats come from
};

struct PeersConfig {
  std::string path;
  std::vector<PeerAddress> all;  // this gateway included; new ones come last
  std::size_t self = 0;          // which of them this one is
  boost::asio::ip::udp::endpoint listen;
  int subset = 0;                // hosts that each gateway uses; 0: as without peers
  Millis beat = 200;             // from one word to the others to the next
  Millis silent = 1000;          // without a word by then a peer is out of touch
  Millis gone = 3000;            // and counts as away by then, and its places go to others
  bool share_list = false;       // one gateway at a time reads the list of hosts for all
  Millis lease = 3000;           // that it has the duty for, until it asks again
  ZoneRoutingSettings locality;  // requests go by zones, as the gateways agree
  coordination::ZoneHealthEvaluator::Times zones;        // when they do
};

// Throws EdgeError (file, line and field). `name` is this gateway's, unless the file says so; without one the
// file is checked, as the first gateway's.
PeersConfig LoadPeers(const std::string& path, const std::optional<std::string>& name);
PeersConfig ParsePeers(const std::string& path, const std::string& text,
                       const std::optional<std::string>& name);
// Whether a file is of this sort: it has [peers] or [[peer]].
bool IsPeersFile(const std::string& path);

}  // namespace meadowyard::membership

#endif  // MEADOWYARD_MEMBERSHIP_PEERS_CONFIG_HPP_
