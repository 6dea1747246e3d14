/// @file
/// Configuration that the platform gives to a gateway: the NODE_* environment variables and the JSON file
/// that NODE_CONFIG names.
#ifndef MEADOWYARD_CONFIG_HPP_
#define MEADOWYARD_CONFIG_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "discovery/discovery.hpp"
#include "meadowyard/error.hpp"
#include "meadowyard/policy.hpp"

namespace meadowyard::config {

/// A validated configuration.
struct Configuration {
  boost::asio::ip::tcp::endpoint listen_address;
  boost::asio::ip::tcp::endpoint discovery_address;
  std::optional<boost::asio::ip::tcp::endpoint> admin_address;  ///< Of the admin interface, if it is enabled.
  std::uint64_t seed = 0;
  std::size_t max_descriptors = 1024;  ///< File descriptors that the process may have open.
  double memory_limit_mb = 128;        ///< The platform kills a process that exceeds it.
  Settings settings;
  Millis connect_timeout = 250;
  Millis endpoint_idle_timeout = 15000;     ///< Hosts close connections that have been idle for this long.
  discovery::EndpointList known_endpoints;  ///< Initial host list; may be outdated.
  /// Path of the Unix domain socket for hot restart; empty if hot restart is disabled.
  std::string handover_path;
  std::shared_ptr<const nlohmann::json> document;  ///< The file as read, without the host list.
};

/// Path of the Unix domain socket in `folder` through which a process that listens for clients at `listen`
/// hands over to its successor. Empty if the path would exceed the limit for socket paths.
std::string HandoverSocketPath(const std::string& folder, const std::string& listen);

/// Reads and validates the configuration. Throws ConfigurationError if any part of it can't be used.
/// @param variable  looks up an environment variable; returns null if it is not set
/// @param in_force  the document that the new one replaces, or null. The new one must have all of its keys,
///                  except optional ones.
Configuration LoadConfiguration(const std::function<const char*(const char*)>& variable,
                                const nlohmann::json* in_force = nullptr);
/// The same for a file that has been read already; doesn't compare it with a previous one.
Configuration ParseConfiguration(nlohmann::json file,
                                 const std::function<const char*(const char*)>& variable);

}  // namespace meadowyard::config

#endif  // MEADOWYARD_CONFIG_HPP_
