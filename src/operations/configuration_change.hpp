/// @file
/// What a reload has put in force at one process of a hot restart, as sent to the other process.
#ifndef MEADOWYARD_OPERATIONS_CONFIGURATION_CHANGE_HPP_
#define MEADOWYARD_OPERATIONS_CONFIGURATION_CHANGE_HPP_

#include <optional>
#include <string>

namespace meadowyard::operations {

/// The files that a reload has put in force. A file that was not reloaded is empty: the other process may
/// have read a newer one.
struct ConfigurationChange {
  std::string configuration = {};        ///< JSON text of the platform's file, without the host list.
  std::string discovery_address = {};    ///< "ADDRESS:PORT", by that file.
  std::string edge_configuration = {};   ///< Text of the file for tunnels.
  std::string peers_configuration = {};  ///< Text of the peers file.
};

/// Formats as JSON text. Other versions of the program read it, so the field names must never change.
std::string FormatConfigurationChange(const ConfigurationChange& change);
/// std::nullopt if the text is malformed or lacks "file" or "discovery".
[[nodiscard]] std::optional<ConfigurationChange> ParseConfigurationChange(const std::string& text);

}  // namespace meadowyard::operations

#endif  // MEADOWYARD_OPERATIONS_CONFIGURATION_CHANGE_HPP_
