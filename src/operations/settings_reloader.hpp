/// @file
/// Reloading of the settings while the gateway serves.
#ifndef MEADOWYARD_OPERATIONS_SETTINGS_RELOADER_HPP_
#define MEADOWYARD_OPERATIONS_SETTINGS_RELOADER_HPP_

#include <functional>
#include <string>

#include "config/config.hpp"
#include "config/configuration_resolver.hpp"

namespace meadowyard::operations {

/// Reads the configuration file again on request (SIGHUP). A file with any invalid part is rejected,
/// and the configuration in effect stays unchanged.
class SettingsReloader {
 public:
  struct Callbacks {
    /// Applies a valid configuration. If it throws a std::exception, the configuration is rejected.
    std::function<void(const config::ResolvedConfiguration&)> on_accepted;
    /// `reason` is one line that names the invalid field.
    std::function<void(const std::string& reason)> on_rejected;
  };
  /// Returns the configuration in force.
  using InForce = std::function<config::ConfigurationInForce()>;

  SettingsReloader(config::Environment environment, InForce in_force, Callbacks callbacks);

  /// Reads the file and calls on_accepted, on_rejected, or on_rejected after on_accepted has thrown. Returns
  /// whether the file is in force now.
  bool Reload();

 private:
  const config::Environment environment_;
  const InForce in_force_;
  const Callbacks callbacks_;
};

}  // namespace meadowyard::operations

#endif  // MEADOWYARD_OPERATIONS_SETTINGS_RELOADER_HPP_
