#include "operations/settings_reloader.hpp"

#include <exception>
#include <utility>

namespace meadowyard::operations {

SettingsReloader::SettingsReloader(VariableLookup lookup_variable,
                                   const config::Configuration& initial_configuration, Callbacks callbacks)
    : lookup_variable_(std::move(lookup_variable)),
      callbacks_(std::move(callbacks)),
      current_file_(initial_configuration.document) {}

void SettingsReloader::Reload() {
  try {
    const config::Configuration config = config::LoadConfiguration(lookup_variable_, current_file_.get());
    callbacks_.on_accepted(config);
    current_file_ = config.document;
  } catch (const std::exception& error) {
    callbacks_.on_rejected(error.what());
  }
}

}  // namespace meadowyard::operations
