#include "simulator/settings_parser.hpp"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <string>

#include "meadowyard/error.hpp"

namespace meadowyard::simulator {
namespace {

constexpr std::size_t kMaxItems = 10000;  // of a list: bounds the memory that an invalid index can allocate

// The function that parses the value of one key into a field of `Target`. Error messages name the key.
template <typename Target>
struct KeyParser {
  std::string_view key;
  void (*parse)(Target& target, std::string_view value, const char* key);
};

template <auto Field, typename Target>
void ParseReal(Target& target, std::string_view value, const char* key) {
  target.*Field = ParseNumber<double>(value, key);
}

template <auto Field, typename Target>
void ParseInteger(Target& target, std::string_view value, const char* key) {
  target.*Field = static_cast<int>(ParseNumber<double>(value, key));
}

template <auto Field, typename Target>
void ParseBool(Target& target, std::string_view value, const char* key) {
  target.*Field = ParseFlag(value, key);
}

template <auto Field, typename Target>
void ParseText(Target& target, std::string_view value, const char* /*key*/) {
  target.*Field = value;
}

void ParseIdempotency(TrafficClassSettings& settings, std::string_view value, const char* /*key*/) {
  if (value == "pure") {
    settings.idempotency = Idempotency::kIdempotent;
  } else if (value == "token") {
    settings.idempotency = Idempotency::kIdempotencyKey;
  } else if (value == "side_effect") {
    settings.idempotency = Idempotency::kNonIdempotent;
  } else {
    throw ConfigurationError("classes.idempotency", "unknown '" + std::string(value) + "'");
  }
}

void ParseDedupScope(TrafficClassSettings& settings, std::string_view value, const char* /*key*/) {
  if (value == "all") {
    settings.dedup_scope = DedupScope::kAll;
  } else if (value == "zone") {
    settings.dedup_scope = DedupScope::kZone;
  } else if (value == "cell") {
    settings.dedup_scope = DedupScope::kCell;
  } else {
    throw ConfigurationError("classes.dedup_scope", "unknown '" + std::string(value) + "'");
  }
}

void ParseMembershipMode(Settings& settings, std::string_view value, const char* /*key*/) {
  settings.polls_endpoints = value == "ask";
}

void ParseLoadReportFields(Settings& settings, std::string_view value, const char* /*key*/) {
  Words fields;
  Split(value, ',', fields);
  for (const std::string_view field : fields) {
    if (!field.empty() && field != "-") settings.load_report_fields.emplace_back(field);
  }
}

constexpr KeyParser<TrafficClassSettings> kClassKeys[] = {
    {"name", ParseText<&TrafficClassSettings::name>},
    {"sloMs", ParseReal<&TrafficClassSettings::latency_objective>},
    {"deadlineMs", ParseReal<&TrafficClassSettings::deadline>},
    {"importance", ParseReal<&TrafficClassSettings::priority_weight>},
    {"lateWorth", ParseReal<&TrafficClassSettings::late_weight>},
    {"repeatWindowMs", ParseReal<&TrafficClassSettings::dedup_window>},
    {"idempotency", ParseIdempotency},
    {"group", ParseDedupScope},
};

constexpr KeyParser<TenantSettings> kTenantKeys[] = {
    {"name", ParseText<&TenantSettings::name>},
    {"quotaPerS", ParseReal<&TenantSettings::quota_per_s>},
};

constexpr KeyParser<Settings> kKeys[] = {
    {"zone", ParseText<&Settings::zone>},
    {"peersTotal", ParseInteger<&Settings::gateway_count>},
    {"selfIndex", ParseInteger<&Settings::gateway_index>},
    {"membershipMode", ParseMembershipMode},
    {"limits.maxAttempts", ParseInteger<&Settings::max_attempts>},
    {"limits.multiplex", ParseInteger<&Settings::streams_per_connection>},
    {"limits.cancelling", ParseBool<&Settings::can_cancel_attempts>},
    {"clientHabits.marksRetry", ParseBool<&Settings::clients_mark_retries>},
    {"limits.retryAfter", ParseBool<&Settings::sends_retry_after>},
    {"limits.maxRetryAfterMs", ParseReal<&Settings::max_retry_after>},
    {"rules.askWithinMs", ParseReal<&Settings::max_poll_interval>},
    {"rules.coldFrom", ParseReal<&Settings::slow_start_fraction>},
    {"rules.coldMs", ParseReal<&Settings::slow_start_duration>},
    {"rules.fallMultiple", ParseReal<&Settings::overload_multiple>},
    {"familyInfo.warmKeys", ParseBool<&Settings::key_affinity>},
    {"report.fields", ParseLoadReportFields},
};

template <typename Target, std::size_t Size>
void ParseKey(const KeyParser<Target> (&parsers)[Size], Target& target, std::string_view key,
              std::string_view value) {
  const auto found = std::find_if(std::begin(parsers), std::end(parsers),
                                  [key](const KeyParser<Target>& parser) { return parser.key == key; });
  if (found != std::end(parsers)) found->parse(target, value, std::string(key).c_str());
}

// Returns the item of a list for a key such as "categories.2.sloMs", and lengthens the list if needed.
template <typename Item>
Item& ItemAt(std::vector<Item>& items, std::string_view index_text) {
  const auto index = ParseNumber<std::size_t>(index_text, "list index");
  if (index >= kMaxItems) throw SimulatorProtocolError("list index too large: " + std::string(index_text));
  if (index >= items.size()) items.resize(index + 1);
  return items[index];
}

void ParsePair(Settings& settings, std::string_view key, std::string_view value) {
  Words path;
  Split(key, '.', path);
  if (path.back() == "count") return;
  const bool is_item = path.size() == 3;
  if (is_item && path[0] == "categories") {
    ParseKey(kClassKeys, ItemAt(settings.classes, path[1]), path[2], value);
  } else if (is_item && path[0] == "projects") {
    ParseKey(kTenantKeys, ItemAt(settings.tenants, path[1]), path[2], value);
  } else {
    ParseKey(kKeys, settings, key, value);
  }
}

}  // namespace

Settings ParseSettings(const Words& pairs) {
  Settings settings;
  for (const std::string_view pair : pairs) {
    const std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos) {
      throw SimulatorProtocolError("setting without '=': '" + std::string(pair) + "'");
    }
    const std::string_view value = pair.substr(equals + 1);
    if (value.empty() || value == "-") continue;
    ParsePair(settings, pair.substr(0, equals), value);
  }
  return settings;
}

}  // namespace meadowyard::simulator
