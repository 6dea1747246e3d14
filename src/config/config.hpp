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
#include <stdexcept>
#include <string>
#include <string_view>

#include "discovery/discovery.hpp"
#include "meadowyard/policy.hpp"

namespace meadowyard {

// One line that names the variable or field that is missing or wrong.
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Config {
  boost::asio::ip::tcp::endpoint listen;
  boost::asio::ip::tcp::endpoint discovery;
  std::optional<boost::asio::ip::tcp::endpoint> admin;  // where operators call, if they do
  std::uint64_t seed = 0;
  std::size_t sockets = 1024;  // file descriptors that the process may hold
  double memory_mb = 128;      // beyond it the process is killed
  Settings settings;
  Millis dial_timeout = 250;
  Millis idle_timeout = 15000;                 // a host closes a connection that stood idle for this long
  HostList known;                              // may be old
  std::string handover;                        // where the next process finds this one; empty if it is not to
  std::shared_ptr<const nlohmann::json> file;  // as it was read, less the list of hosts
};

// Where a process that listens for clients at `listen` is found by the next one; empty if it can't be.
std::string HandoverPath(const std::string& folder, const std::string& listen);

// `variable` looks up an environment variable: null if it is not set. A file that follows the one `in_force`
// must have each of its keys, but for those that may be absent. Throws ConfigError; what it returns works.
Config LoadConfig(const std::function<const char*(const char*)>& variable,
                  const nlohmann::json* in_force = nullptr);
// The same for a file that was read already.
Config ParseConfig(nlohmann::json file, const std::function<const char*(const char*)>& variable);

}  // namespace meadowyard

#endif  // MEADOWYARD_CONFIG_HPP_
