#include "operations/configuration_change.hpp"

#include <nlohmann/json.hpp>

namespace meadowyard::operations {

using nlohmann::json;

std::string FormatConfigurationChange(const ConfigurationChange& change) {
  const json fields = {{"file", change.configuration},
                       {"discovery", change.discovery_address},
                       {"edge", change.edge_configuration},
                       {"peers", change.peers_configuration}};
  return fields.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<ConfigurationChange> ParseConfigurationChange(const std::string& text) {
  try {
    const json fields = json::parse(text);
    return ConfigurationChange{.configuration = fields.at("file").get<std::string>(),
                               .discovery_address = fields.at("discovery").get<std::string>(),
                               .edge_configuration = fields.value("edge", ""),
                               .peers_configuration = fields.value("peers", "")};
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace meadowyard::operations
