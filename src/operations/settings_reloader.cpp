#include "operations/settings_reloader.hpp"

#include <utility>

namespace meadowyard::operations {

SettingsReloader::SettingsReloader(std::function<const char*(const char*)> variable,
                                   const config::Configuration& in_force, Handlers handlers)
    : variable_(std::move(variable)), handlers_(std::move(handlers)), file_in_force_(in_force.document) {}

void SettingsReloader::Reload() {
  try {
    const config::Configuration config = config::LoadConfiguration(variable_, file_in_force_.get());
    handlers_.on_accepted(config);
    file_in_force_ = config.document;
  } catch (const std::exception& error) {
    handlers_.on_rejected(error.what());
  }
}

}  // namespace meadowyard::operations
