#include "operations/live_settings.hpp"

#include <utility>

namespace meadowyard {

LiveSettings::LiveSettings(std::function<const char*(const char*)> variable,
                           const config::Configuration& in_force, Handlers handlers)
    : variable_(std::move(variable)), handlers_(std::move(handlers)), in_force_(in_force.document) {}

void LiveSettings::Reload() {
  try {
    const config::Configuration config = config::LoadConfiguration(variable_, in_force_.get());
    handlers_.taken(config);
    in_force_ = config.document;
  } catch (const std::exception& error) {
    handlers_.turned_down(error.what());
  }
}

}  // namespace meadowyard
