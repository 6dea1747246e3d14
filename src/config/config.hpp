// What the platform tells a gateway: the NODE_* variables and the JSON file that they name.
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

struct Configuration {
  boost::asio::ip::tcp::endpoint listen_address;
  boost::asio::ip::tcp::endpoint discovery_address;
  std::optional<boost::asio::ip::tcp::endpoint> admin_address;  // where operators call, if they do
  std::uint64_t seed = 0;
  std::size_t max_descriptors = 1024;  // file descriptors that the process may hold
  double memory_limit_mb = 128;        // beyond it the process is killed
  Settings settings;
  Millis connect_timeout = 250;
  Millis endpoint_idle_timeout = 15000;     // a host closes a connection that stood idle for this long
  discovery::EndpointList known_endpoints;  // may be old
  std::string handover_path;                // where the next process finds this one; empty if it is not to
  std::shared_ptr<const nlohmann::json> document;  // as it was read, less the list of hosts
};

// Where a process that listens for clients at `listen` is found by the next one; empty if it can't be.
std::string HandoverSocketPath(const std::string& folder, const std::string& listen);

// `variable` looks up an environment variable: null if it is not set. A file that follows the one `in_force`
// must have each of its keys, but for those that may be absent. Throws ConfigurationError; what it returns
// works.
Configuration LoadConfiguration(const std::function<const char*(const char*)>& variable,
                                const nlohmann::json* in_force = nullptr);
// The same for a file that was read already.
Configuration ParseConfiguration(nlohmann::json file,
                                 const std::function<const char*(const char*)>& variable);

}  // namespace meadowyard::config

#endif  // MEADOWYARD_CONFIG_HPP_
