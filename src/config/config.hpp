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

/// The environment variables that a configuration is read from; empty ones are not set.
struct Environment {
  std::optional<std::string> config_path;          ///< NODE_CONFIG: the path of the file.
  std::optional<std::string> name;                 ///< NODE_NAME
  std::optional<std::string> listen;               ///< NODE_LISTEN
  std::optional<std::string> discovery;            ///< NODE_DISCOVERY
  std::optional<std::string> admin;                ///< NODE_ADMIN
  std::optional<std::string> temporary_directory;  ///< TMPDIR
};

/// Looks up an environment variable; returns null if it is not set.
using VariableLookup = std::function<const char*(const char* name)>;

Environment ReadEnvironment(const VariableLookup& lookup);

/// A validated configuration.
struct Configuration {
  std::optional<std::string> name;  ///< Of this gateway among its peers.
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
  /// The revision of `known_endpoints`; empty if it may be of another discovery.
  std::optional<std::int64_t> known_revision;
  /// Path of the Unix domain socket for hot restart; empty if hot restart is disabled.
  std::string handover_path;
  std::shared_ptr<const nlohmann::json> document;  ///< The file as read, without the host list.
};

/// Path of the Unix domain socket in `folder` through which a process that listens for clients at `listen`
/// hands over to its successor. Empty if the path would exceed the limit for socket paths.
std::string HandoverSocketPath(const std::string& folder, const std::string& listen);

/// Validates a file that has been read. Discovery's address is left unset, see ResolveConfiguration. Throws
/// std::exception, usually ConfigurationError, if any part of it can't be used.
Configuration ParseConfiguration(nlohmann::json file, const Environment& environment);

/// Checks that `file` has all keys of `in_force`, the document that it replaces, except optional ones. Throws
/// ConfigurationError that names the key.
void RequireKeysInForce(const nlohmann::json& in_force, const nlohmann::json& file);

/// The configuration of a process that starts without a predecessor. Throws ConfigurationError if any part of
/// it can't be used.
Configuration LoadConfiguration(const VariableLookup& lookup);

}  // namespace meadowyard::config

#endif  // MEADOWYARD_CONFIG_HPP_
