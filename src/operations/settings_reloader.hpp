// Settings that change while the gateway serves: SIGHUP has the file read again, checked whole, and
// on_accepted or turned down.
#ifndef MEADOWYARD_LIVE_SETTINGS_HPP_
#define MEADOWYARD_LIVE_SETTINGS_HPP_

#include <functional>

#include "config/config.hpp"

namespace meadowyard::operations {

class SettingsReloader {
 public:
  struct Handlers {
    std::function<void(const config::Configuration&)> on_accepted;
    std::function<void(const std::string& why)> on_rejected;  // one line that names the field
  };
  // `variable` as for LoadConfig; `in_force` is what the gateway was started with.
  SettingsReloader(std::function<const char*(const char*)> variable, const config::Configuration& in_force,
                   Handlers handlers);

  void Reload();

 private:
  const std::function<const char*(const char*)> variable_;
  const Handlers handlers_;
  std::shared_ptr<const nlohmann::json> file_in_force_;
};

}  // namespace meadowyard::operations

#endif  // MEADOWYARD_LIVE_SETTINGS_HPP_
