#include "operations/handover_state.hpp"

#include <nlohmann/json.hpp>
#include <tuple>

#include "operations/stored_record.hpp"

namespace meadowyard::operations {

using nlohmann::json;

template <>
struct StoredForm<LearnedState::OfEndpoint> {
  using Record = LearnedState::OfEndpoint;
  static constexpr std::tuple kFields{
      StoredField{"id", &Record::id},
      StoredField{"latency", &Record::latency},
      StoredField{"steady", &Record::average_latency},
      StoredField{"base", &Record::uncongested_latency},
      StoredField{"limit", &Record::concurrency_limit},
      StoredField{"failing", &Record::failure_rate},
      StoredField{"samples", &Record::samples},
      StoredField{"suspect", &Record::ejected},
      StoredField{"lost", &Record::connection_failed},
      StoredField{"last_served", &Record::last_served_at},
      StoredField{"cold_since", &Record::started_at},
      StoredField{"cold_credit", &Record::slow_start_credit},
  };
};

template <>
struct StoredForm<LearnedState::OfKind> {
  using Record = LearnedState::OfKind;
  static constexpr std::tuple kFields{
      StoredField{"name", &Record::name},
      StoredField{"latency", &Record::latency},
      StoredField{"steady", &Record::average_latency},
      StoredField{"base", &Record::uncongested_latency},
      StoredField{"samples", &Record::samples},
  };
};

template <>
struct StoredForm<LearnedState::OfClass> {
  using Record = LearnedState::OfClass;
  static constexpr std::tuple kFields{
      StoredField{"name", &Record::name},
      StoredField{"latency", &Record::latency},
      StoredField{"most_left", &Record::observed_time_budget},
      StoredField{"samples", &Record::samples},
  };
};

template <>
struct StoredForm<LearnedState> {
  using Record = LearnedState;
  static constexpr std::tuple kFields{
      StoredField{"servers", &Record::endpoints},
      StoredField{"kinds", &Record::kinds},
      StoredField{"classes", &Record::classes},
      StoredField{"out_by_hand", &Record::in_maintenance},
      StoredField{"rate", &Record::rate},
      StoredField{"spent_rate", &Record::dispatch_rate},
      StoredField{"arriving", &Record::arrival_rate},
      StoredField{"failing", &Record::untimely_share},
      StoredField{"unserved", &Record::failure_rate},
      StoredField{"warm_served", &Record::warm_answers},
      StoredField{"warm_time", &Record::warm_time},
      StoredField{"mean_latency", &Record::mean_latency},
      StoredField{"samples", &Record::samples},
  };
};

std::string SerializeHandoverState(const HandoverState& state) {
  json stored = {{"file", state.configuration},
                 {"discovery", state.discovery_address},
                 {"hosts", discovery::SerializeEndpointList(state.hosts)},
                 {"revision_known", state.revision_known},
                 {"learned", state.learned},
                 {"descriptors", state.descriptors},
                 {"edge", state.edge_configuration}};
  if (!state.peers_configuration.empty()) stored["peers"] = state.peers_configuration;
  if (!state.pool_hosts_in_maintenance.empty())
    stored["pool_hosts_in_maintenance"] = state.pool_hosts_in_maintenance;
  if (state.clock_offset) stored["clock_offset"] = *state.clock_offset;
  return stored.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<HandoverState> ParseHandoverState(const std::string& text) {
  try {
    const json stored = json::parse(text);
    HandoverState state;
    state.configuration = stored.at("file").get<std::string>();
    state.discovery_address = stored.at("discovery").get<std::string>();
    const auto hosts = discovery::ParseEndpointList(stored.at("hosts").get<std::string>());
    if (!hosts) return std::nullopt;
    state.hosts = *hosts;
    state.revision_known = stored.at("revision_known").get<bool>();
    state.learned = stored.at("learned").get<LearnedState>();
    state.descriptors = stored.at("descriptors").get<std::size_t>();
    state.edge_configuration = stored.value("edge", "");
    state.peers_configuration = stored.value("peers", "");
    state.pool_hosts_in_maintenance = stored.value("pool_hosts_in_maintenance", std::vector<std::string>());
    if (stored.contains("clock_offset")) state.clock_offset = stored.at("clock_offset").get<double>();
    return state;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace meadowyard::operations
