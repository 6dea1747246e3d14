/// @file
/// Decides which source each value of the configuration comes from: the environment variables, the file, or
/// the configuration in force. Starts, reloads and hot restarts all use this decision. No I/O apart from
/// ReadConfigurationFile.
#ifndef MEADOWYARD_CONFIG_CONFIGURATION_RESOLVER_HPP_
#define MEADOWYARD_CONFIG_CONFIGURATION_RESOLVER_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "config/config.hpp"

namespace meadowyard::config {

/// What the file that NODE_CONFIG names holds.
struct ConfigurationFile {
  std::optional<nlohmann::json> document;  ///< A JSON object; empty if the file can't be used.
  std::string error;                       ///< Why it can't be used: one line.
};

/// Reads the file. Doesn't throw for a file that can't be read or parsed.
[[nodiscard]] ConfigurationFile ReadConfigurationFile(const Environment& environment);

/// The configuration in force: at this process when it reloads, at the predecessor in a hot restart.
struct ConfigurationInForce {
  std::shared_ptr<const nlohmann::json> document;    ///< The file that was accepted last.
  boost::asio::ip::tcp::endpoint discovery_address;  ///< Of the service discovery that is asked.
};

/// When a configuration is resolved.
enum class Occasion {
  kStart,       ///< No other process of this gateway runs.
  kReload,      ///< SIGHUP, or a reload by the other process of a hot restart.
  kHotRestart,  ///< A predecessor runs, though its state may have been lost.
};

/// Where a value comes from.
enum class ValueSource { kEnvironment, kFile, kInForce };

/// For the log and the metrics: "environment", "file" or "in_force".
[[nodiscard]] const char* ToString(ValueSource source);
/// "start", "reload" or "hot_restart".
[[nodiscard]] const char* ToString(Occasion occasion);

/// A configuration and where it comes from.
struct ResolvedConfiguration {
  Configuration configuration;
  ValueSource document_source = ValueSource::kFile;   ///< Of settings, times and limits.
  ValueSource discovery_source = ValueSource::kFile;  ///< Of discovery's address.
  std::string rejection;  ///< Why the file was not used; empty if it is in force now.
};

/// Resolves every value:
///
///  - Listen and admin addresses and the name: the variable, otherwise the document.
///  - The document (settings, times, limits, seed): the file if all of it is valid and it has the keys of the
///    document in force; otherwise the document in force.
///  - Discovery's address:
///      - start: NODE_DISCOVERY, otherwise the file's. NODE_DISCOVERY keeps this address when discovery
///      moves,
///        so it isn't used afterwards.
///      - reload: the file's, otherwise the one in force.
///      - hot restart: the file's if it changed since the predecessor read it, otherwise the one in force.
///      - hot restart whose state was lost: the file's, otherwise NODE_DISCOVERY.
///
/// `in_force` is null for a start and for a hot restart whose state was lost. Throws ConfigurationError if
/// the file can't be used and nothing is in force, or if the document in force can't be used.
[[nodiscard]] ResolvedConfiguration ResolveConfiguration(Occasion occasion, const Environment& environment,
                                                         const ConfigurationFile& file,
                                                         const ConfigurationInForce* in_force);

/// The socket at which a predecessor can be found, also if the file can't be used; empty if there can't be a
/// predecessor.
[[nodiscard]] std::string FindHandoverPath(const Environment& environment, const ConfigurationFile& file);

}  // namespace meadowyard::config

#endif  // MEADOWYARD_CONFIG_CONFIGURATION_RESOLVER_HPP_
