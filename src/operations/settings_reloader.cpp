#include "operations/settings_reloader.hpp"

#include <exception>
#include <utility>

namespace meadowyard::operations {

SettingsReloader::SettingsReloader(VariableLookup variable, const config::Configuration& in_force,
                                   Callbacks callbacks)
    : variable_(std::move(variable)), callbacks_(std::move(callbacks)), file_in_force_(in_force.document) {}

void SettingsReloader::Reload() {
  try {
    const config::Configuration config = config::LoadConfiguration(variable_, file_in_force_.get());
    callbacks_.on_accepted(config);
    file_in_force_ = config.document;
  } catch (const std::exception& error) {
    callbacks_.on_rejected(error.what());
  }
}

}  // namespace meadowyard::operations
