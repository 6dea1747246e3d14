#include "operations/settings_reloader.hpp"

#include <exception>
#include <utility>

namespace meadowyard::operations {

SettingsReloader::SettingsReloader(config::Environment environment, InForce in_force, Callbacks callbacks)
    : environment_(std::move(environment)),
      in_force_(std::move(in_force)),
      callbacks_(std::move(callbacks)) {}

bool SettingsReloader::Reload() {
  try {
    const config::ConfigurationInForce in_force = in_force_();
    const config::ResolvedConfiguration resolved = config::ResolveConfiguration(
        config::Occasion::kReload, environment_, config::ReadConfigurationFile(environment_), &in_force);
    if (resolved.rejection.empty()) {
      callbacks_.on_accepted(resolved);
      return true;
    }
    callbacks_.on_rejected(resolved.rejection);
  } catch (const std::exception& error) {
    callbacks_.on_rejected(error.what());
  }
  return false;
}

}  // namespace meadowyard::operations
