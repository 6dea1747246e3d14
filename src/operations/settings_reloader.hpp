/// @file
/// Reloading of the settings while the gateway serves.
#ifndef MEADOWYARD_OPERATIONS_SETTINGS_RELOADER_HPP_
#define MEADOWYARD_OPERATIONS_SETTINGS_RELOADER_HPP_

#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "config/config.hpp"

namespace meadowyard::operations {

/// Reads the configuration file again on request (SIGHUP). A file with any invalid part is rejected,
/// and the configuration in effect stays unchanged.
class SettingsReloader {
 public:
  struct Callbacks {
    /// Applies a valid configuration. If it throws a std::exception, the configuration is rejected.
    std::function<void(const config::Configuration&)> on_accepted;
    /// `reason` is one line that names the invalid field.
    std::function<void(const std::string& reason)> on_rejected;
  };
  /// Looks up an environment variable; null if it is not set.
  using VariableLookup = std::function<const char*(const char* name)>;

  /// `initial_configuration` is the configuration that the gateway was started with.
  SettingsReloader(VariableLookup lookup_variable, const config::Configuration& initial_configuration,
                   Callbacks callbacks);

  /// Reads the file and calls exactly one of the callbacks.
  void Reload();

 private:
  const VariableLookup lookup_variable_;
  const Callbacks callbacks_;
  std::shared_ptr<const nlohmann::json> current_file_;
};

}  // namespace meadowyard::operations

#endif  // MEADOWYARD_OPERATIONS_SETTINGS_RELOADER_HPP_
