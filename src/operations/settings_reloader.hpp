/// @file
/// Settings that change while the gateway serves.
#ifndef MEADOWYARD_OPERATIONS_SETTINGS_RELOADER_HPP_
#define MEADOWYARD_OPERATIONS_SETTINGS_RELOADER_HPP_

#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "config/config.hpp"

namespace meadowyard::operations {

/// Reads the configuration file again on request (SIGHUP). A file that can't work in any part is
/// rejected and changes nothing.
class SettingsReloader {
 public:
  struct Callbacks {
    /// Applies a configuration that was read. If it throws a std::exception, the configuration is rejected.
    std::function<void(const config::Configuration&)> on_accepted;
    /// `reason` is one line that names the field.
    std::function<void(const std::string& reason)> on_rejected;
  };
  /// Looks up an environment variable; null if it is not set.
  using VariableLookup = std::function<const char*(const char* name)>;

  /// `in_force` is the configuration that the gateway was started with.
  SettingsReloader(VariableLookup variable, const config::Configuration& in_force, Callbacks callbacks);

  /// Reads the file and calls exactly one of the callbacks.
  void Reload();

 private:
  const VariableLookup variable_;
  const Callbacks callbacks_;
  std::shared_ptr<const nlohmann::json> file_in_force_;
};

}  // namespace meadowyard::operations

#endif  // MEADOWYARD_OPERATIONS_SETTINGS_RELOADER_HPP_
