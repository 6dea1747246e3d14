#include "operations/live_settings.hpp"

#include <utility>

namespace meadowyard {

LiveSettings::LiveSettings(std::function<const char*(const char*)> variable, const Config& in_force,
                           Handlers handlers)
    : variable_(std::move(variable)), handlers_(std::move(handlers)), in_force_(in_force.file) {}

void LiveSettings::Reload() {
  try {
    const Config config = LoadConfig(variable_, in_force_.get());
    handlers_.taken(config);
    in_force_ = config.file;
  } catch (const std::exception& error) {
    handlers_.turned_down(error.what());
  }
}

}  // namespace meadowyard
