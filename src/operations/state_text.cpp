#include "operations/state_text.hpp"

#include <nlohmann/json.hpp>
#include <tuple>

#include "operations/stored_record.hpp"

namespace meadowyard {

using nlohmann::json;

template <>
struct StoredForm<Recollection::OfServer> {
  using Record = Recollection::OfServer;
  static constexpr std::tuple kFields{
      StoredField{"id", &Record::id},
      StoredField{"latency", &Record::latency},
      StoredField{"steady", &Record::steady},
      StoredField{"base", &Record::base},
      StoredField{"limit", &Record::limit},
      StoredField{"failing", &Record::failing},
      StoredField{"samples", &Record::samples},
      StoredField{"suspect", &Record::suspect},
      StoredField{"lost", &Record::lost},
      StoredField{"last_served", &Record::last_served},
      StoredField{"cold_since", &Record::cold_since},
      StoredField{"cold_credit", &Record::cold_credit},
  };
};

template <>
struct StoredForm<Recollection::OfKind> {
  using Record = Recollection::OfKind;
  static constexpr std::tuple kFields{
      StoredField{"name", &Record::name},       StoredField{"latency", &Record::latency},
      StoredField{"steady", &Record::steady},   StoredField{"base", &Record::base},
      StoredField{"samples", &Record::samples},
  };
};

template <>
struct StoredForm<Recollection::OfClass> {
  using Record = Recollection::OfClass;
  static constexpr std::tuple kFields{
      StoredField{"name", &Record::name},
      StoredField{"latency", &Record::latency},
      StoredField{"most_left", &Record::most_left},
      StoredField{"samples", &Record::samples},
  };
};

template <>
struct StoredForm<Recollection> {
  using Record = Recollection;
  static constexpr std::tuple kFields{
      StoredField{"servers", &Record::servers},     StoredField{"kinds", &Record::kinds},
      StoredField{"classes", &Record::classes},     StoredField{"out_by_hand", &Record::out_by_hand},
      StoredField{"rate", &Record::rate},           StoredField{"spent_rate", &Record::spent_rate},
      StoredField{"arriving", &Record::arriving},   StoredField{"failing", &Record::failing},
      StoredField{"unserved", &Record::unserved},   StoredField{"warm_served", &Record::warm_served},
      StoredField{"warm_time", &Record::warm_time}, StoredField{"mean_latency", &Record::mean_latency},
      StoredField{"samples", &Record::samples},
  };
};

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
