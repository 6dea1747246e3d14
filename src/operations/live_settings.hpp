// Settings that change while the gateway serves: SIGHUP has the file read again, checked whole, and taken or
// turned down.
#ifndef MEADOWYARD_LIVE_SETTINGS_HPP_
#define MEADOWYARD_LIVE_SETTINGS_HPP_

#include <functional>

#include "config/config.hpp"

namespace meadowyard {

class LiveSettings {
 public:
  struct Handlers {
    std::function<void(const config::Configuration&)> taken;
    std::function<void(const std::string& why)> turned_down;  // one line that names the field
  };
  // `variable` as for LoadConfig; `in_force` is what the gateway was started with.
  LiveSettings(std::function<const char*(const char*)> variable, const config::Configuration& in_force,
               Handlers handlers);

  void Reload();

 private:
  const std::function<const char*(const char*)> variable_;
  const Handlers handlers_;
  std::shared_ptr<const nlohmann::json> in_force_;
};

}  // namespace meadowyard

#endif  // MEADOWYARD_LIVE_SETTINGS_HPP_
