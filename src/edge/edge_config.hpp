/// @file
/// The operators' settings file edge.toml (TOML 1.0): listeners, users, pools, routes and limits of the
/// tunnels.
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

/// Error in the operators' settings file, such as "PATH:LINE: FIELD: PROBLEM".
using EdgeError = ConfigurationError;

/// Protocol of the handshake that opens a tunnel: SOCKS5 (RFC 1928) or HTTP CONNECT (RFC 9110).
enum class TunnelProtocol { kSocks5, kConnect };

/// A listening address for tunnel clients.
struct EdgeListener {
  TunnelProtocol protocol = TunnelProtocol::kSocks5;
  boost::asio::ip::tcp::endpoint address;
  bool credentials = false;  // whether clients have to authenticate with user name and password
};

/// A user that may open tunnels; `tenant` is empty for a user without one.
struct EdgeUser {
  std::string name, password, tenant;
};

/// A proxy through which the tunnels to a pool's hosts are opened, because only it can reach them.
struct ParentProxy {
  TunnelProtocol protocol = TunnelProtocol::kSocks5;
  boost::asio::ip::tcp::endpoint address;
  std::string user, password;  // empty: no credentials are sent

  bool operator==(const ParentProxy&) const = default;
};

/// A group of hosts, either listed in the file or provided by discovery.
struct EdgePool {
  std::string name;
  bool discovered = false;                       // whether discovery provides the hosts
  std::vector<discovery::EndpointRecord> hosts;  // the listed hosts if not `discovered`
  std::optional<ParentProxy> parent;
};

/// Maximum numbers and durations (in milliseconds) for tunnels and their handshakes.
struct TunnelLimits {
  std::size_t most = 1000;  // maximum number of tunnels open or being opened
  std::size_t most_per_address = 1000, most_per_user = 1000;
  int most_per_host = 0;  // 0: no limit
  std::size_t handshakes =
      256;  // maximum number of client handshakes in progress; one more evicts the oldest
  std::size_t handshake_bytes = 8192;  // maximum size of a client's handshake
  Millis handshake = 5000;             // time-out from accepting a connection to the last byte of its request
  Millis idle = 600000;                // time-out without a byte in either direction
  Millis drain_grace = 0;  // time before a tunnel is closed after its host was set to draining or removed
  Millis parent = 2000;    // time-out of the complete handshake with a parent proxy
};

/// The parsed and validated settings file.
struct EdgeConfig {
  std::string path, text;       // path and content of the file that was read
  TrafficClassSettings tunnel;  // the class of all tunnels
  TunnelLimits limits;
  std::vector<EdgeListener> listeners;
  std::vector<EdgeUser> users;
  std::vector<EdgePool> pools;
  std::shared_ptr<const RouteTable> routes;
  std::vector<std::string> warnings;  // one for each route that can never apply

  /// Returns the pool with this name, or nullptr.
  const EdgePool* FindPool(const std::string& name) const;
  /// Maximum number of file descriptors that the tunnels, handshakes and listeners hold.
  std::size_t descriptors() const { return 2 * limits.most + limits.handshakes + 2 * listeners.size(); }
};

/// Reads and parses the file. Throws EdgeError on the first error, so that a returned configuration is
/// complete and valid.
EdgeConfig LoadEdge(const std::string& path);
/// Parses text that was already read; `path` stands for its file in messages. Throws EdgeError.
EdgeConfig ParseEdge(const std::string& path, std::string text);

}  // namespace meadowyard

#endif  // MEADOWYARD_EDGE_EDGE_CONFIG_HPP_
