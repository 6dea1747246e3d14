// The operators' file: listeners, users, pools, routes and limits of the tunnels (TOML 1.0).
#ifndef MEADOWYARD_EDGE_EDGE_CONFIG_HPP_
#define MEADOWYARD_EDGE_EDGE_CONFIG_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "discovery/discovery.hpp"
#include "meadowyard/error.hpp"
#include "meadowyard/policy.hpp"
#include "routing/table.hpp"

namespace meadowyard {

/// The name by which callers know the error of an operators' file.
using EdgeError = ConfigurationError;

enum class TunnelProtocol { kSocks5, kConnect };

struct EdgeListener {
  TunnelProtocol protocol = TunnelProtocol::kSocks5;
  boost::asio::ip::tcp::endpoint address;
  bool credentials = false;  // clients have to name a user and its password
};

struct EdgeUser {
  std::string name, password, tenant;
};

// A proxy that alone reaches a pool's hosts.
struct ParentProxy {
  TunnelProtocol protocol = TunnelProtocol::kSocks5;
  boost::asio::ip::tcp::endpoint address;
  std::string user, password;  // empty: none are sent

  bool operator==(const ParentProxy&) const = default;
};

struct EdgePool {
  std::string name;
  bool discovered = false;                       // the fleet that discovery tells of
  std::vector<discovery::EndpointRecord> hosts;  // else
  std::optional<ParentProxy> parent;
};

struct TunnelLimits {
  std::size_t most = 1000;  // tunnels open or being opened
  std::size_t most_per_address = 1000, most_per_user = 1000;
  int most_per_host = 0;  // 0: any number
  std::size_t handshakes = 256;
  std::size_t handshake_bytes = 8192;
  Millis handshake = 5000;  // from connecting to the request's last byte
  Millis idle = 600000;     // without a byte either way
  Millis drain_grace = 0;   // that a tunnel is left after its host was told draining or taken out
  Millis parent = 2000;     // a parent proxy's whole handshake
};

struct EdgeConfig {
  std::string path, text;       // as it was read
  TrafficClassSettings tunnel;  // the class that tunnels come under
  TunnelLimits limits;
  std::vector<EdgeListener> listeners;
  std::vector<EdgeUser> users;
  std::vector<EdgePool> pools;
  std::shared_ptr<const RouteTable> routes;
  std::vector<std::string> warnings;

  const EdgePool* FindPool(const std::string& name) const;
  // That tunnels and handshakes may hold at the most.
  std::size_t descriptors() const { return 2 * limits.most + limits.handshakes + 2 * listeners.size(); }
};

// Throws EdgeError; what it returns works, whole.
EdgeConfig LoadEdge(const std::string& path);
// The same for a text that was read already.
EdgeConfig ParseEdge(const std::string& path, std::string text);

}  // namespace meadowyard

#endif  // MEADOWYARD_EDGE_EDGE_CONFIG_HPP_
