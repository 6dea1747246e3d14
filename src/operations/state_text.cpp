#include "operations/state_text.hpp"

#include <nlohmann/json.hpp>

namespace meadowyard {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Recollection::OfServer, id, latency, steady, base, limit, failing, samples,
                                   suspect, lost, last_served, cold_since, cold_credit)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Recollection::OfKind, name, latency, steady, base, samples)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Recollection::OfClass, name, latency, most_left, samples)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Recollection, servers, kinds, classes, out_by_hand, rate, spent_rate,
                                   arriving, failing, unserved, warm_served, warm_time, mean_latency, samples)

}  // namespace meadowyard

namespace meadowyard {

using nlohmann::json;

std::string ToText(const GatewayState& state) {
  const json whole = {{"file", state.file},
                      {"discovery", state.discovery},
                      {"hosts", ToText(state.hosts)},
                      {"revision_known", state.revision_known},
                      {"learned", state.learned},
                      {"descriptors", state.descriptors},
                      {"edge", state.edge}};
  return whole.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<GatewayState> ParseState(const std::string& text) {
  try {
    const json whole = json::parse(text);
    GatewayState state;
    state.file = whole.at("file").get<std::string>();
    state.discovery = whole.at("discovery").get<std::string>();
    const auto hosts = ParseHostList(whole.at("hosts").get<std::string>());
    if (!hosts) return std::nullopt;
    state.hosts = *hosts;
    state.revision_known = whole.at("revision_known").get<bool>();
    state.learned = whole.at("learned").get<Recollection>();
    state.descriptors = whole.at("descriptors").get<std::size_t>();
    state.edge = whole.value("edge", "");
    return state;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace meadowyard
