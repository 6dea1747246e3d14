#include "config/config.hpp"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <set>
#include <vector>

#include "config/configuration_resolver.hpp"
#include "simulator/settings_parser.hpp"

namespace meadowyard::config {
namespace {

// In bytes. Leaves space for a suffix within the system's limit for paths of Unix domain sockets.
constexpr std::size_t kMaxSocketPathLength = 100;

using nlohmann::json;

std::string ToScalarText(const json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

// Turns the settings into the path=value pairs of the simulator's first message, which have the same names
// and units. Both sources share one parser, so that a setting has the same meaning in both.
void FlattenToPairs(const json& node, const std::string& path, std::vector<std::string>& pairs) {
  const std::string prefix = path.empty() ? "" : path + ".";
  if (node.is_object()) {
    for (const auto& [key, value] : node.items()) FlattenToPairs(value, prefix + key, pairs);
  } else if (node.is_array() && !node.empty() && node.front().is_object()) {
    for (std::size_t i = 0; i < node.size(); ++i) FlattenToPairs(node[i], prefix + std::to_string(i), pairs);
  } else if (node.is_array()) {
    std::string joined;
    for (const json& item : node) joined += (joined.empty() ? "" : ",") + ToScalarText(item);
    pairs.push_back(path + "=" + joined);
  } else if (!node.is_null()) {
    pairs.push_back(path + "=" + ToScalarText(node));
  }
}

Settings ReadSettings(const json& file) {
  if (!file.contains("settings") || !file["settings"].is_object()) {
    throw ConfigurationError("settings: missing or not an object");
  }
  std::vector<std::string> pairs;
  FlattenToPairs(file["settings"], "", pairs);
  try {
    return simulator::ParseSettings({pairs.begin(), pairs.end()});
  } catch (const std::exception& error) {  // the message names the field
    throw ConfigurationError(std::string("settings: ") + error.what());
  }
}

// Reads a positive number at a JSON pointer; returns `fallback` if it is absent or null. Throws
// ConfigurationError for any other value.
double ReadPositive(const json& file, const std::string& path, double fallback) {
  const json::json_pointer pointer(path);
  if (!file.contains(pointer) || file[pointer].is_null()) return fallback;
  if (!file[pointer].is_number() || !(file[pointer].get<double>() > 0)) {
    throw ConfigurationError(path.substr(1) + ": must be a number above 0");
  }
  return file[pointer].get<double>();
}

// Checks that the value at a JSON pointer, if present, is a positive number. The settings parser can't reject
// a number in a string, because ToScalarText() drops the quotes.
void RequirePositive(const json& file, const std::string& path) { ReadPositive(file, path, 1); }

void CheckSettings(const json& file, const Settings& settings) {
  const json empty = json::array();
  const json::json_pointer pointer("/settings/categories");
  const json& classes = file.contains(pointer) && file[pointer].is_array() ? file[pointer] : empty;
  std::set<std::string> names;
  for (std::size_t i = 0; i < classes.size(); ++i) {
    const std::string path = "/settings/categories/" + std::to_string(i) + "/";
    RequirePositive(file, path + "deadlineMs");
    RequirePositive(file, path + "sloMs");
    if (i < settings.classes.size() && !names.insert(settings.classes[i].name).second) {
      throw ConfigurationError("settings: categories.name: '" + settings.classes[i].name +
                               "' is defined twice");
    }
  }
  RequirePositive(file, "/settings/limits/maxAttempts");
  try {
    Policy(settings, 0);
  } catch (const std::exception& error) {  // the message names the field
    throw ConfigurationError(std::string("settings: ") + error.what());
  }
}

// Keys that are documented as optional.
bool IsOptionalKey(const std::string& key) {
  static const std::set<std::string> keys = {"known",      "seed",           "familyInfo",
                                             "aimStretch", "passesDeadline", "warmKeys"};
  return keys.contains(key);
}

// Checks that a file has all required keys of the file that it replaces: a truncated file, or one that lost a
// line, can still be valid JSON. Items of a list may be added or removed, but each item must have the keys
// that all items of the replaced list have in common.
void RequireKeysAt(const std::string& path, const json& in_force_node, const json& file) {
  for (const auto& [key, value] : in_force_node.items()) {
    if (value.is_null() || IsOptionalKey(key)) continue;
    const std::string name = path.empty() ? key : path + "." + key;
    if (!file.contains(key) || file[key].is_null()) throw ConfigurationError(name + ": missing");
    if (value.is_object() != file[key].is_object() || value.is_array() != file[key].is_array()) {
      throw ConfigurationError(name + ": its JSON type differs from the configuration in force");
    }
    if (value.is_object()) RequireKeysAt(name, value, file[key]);
    if (!value.is_array() || value.empty() || !value.front().is_object()) continue;
    json common_keys = value.front();
    for (const json& item : value) {
      for (auto member = common_keys.begin(); member != common_keys.end();) {
        member = item.contains(member.key()) ? std::next(member) : common_keys.erase(member);
      }
    }
    for (const json& item : file[key]) {
      if (!item.is_object())
        throw ConfigurationError(name + ": must hold objects, as in the configuration in force");
      RequireKeysAt(name, common_keys, item);
    }
  }
}

// Reads an address from the environment variable or, if that is not set, from the field of the file.
boost::asio::ip::tcp::endpoint ReadAddress(const std::optional<std::string>& variable,
                                           const std::string& name, const json& file,
                                           const std::string& field) {
  if (!variable && !(file.contains(field) && file[field].is_string()))
    throw ConfigurationError(name + ": not set");
  const std::string text = variable ? *variable : file[field].get<std::string>();
  const auto endpoint = discovery::ParseAddress(text);
  if (!endpoint) throw ConfigurationError(name + ": '" + text + "' is not an address and port");
  return *endpoint;
}

std::optional<std::string> ReadName(const json& file, const Environment& environment) {
  if (environment.name) return environment.name;
  if (!file.contains("name") || file["name"].is_null()) return std::nullopt;
  if (!file["name"].is_string()) throw ConfigurationError("name: must be a string");
  return file["name"].get<std::string>();
}

std::uint64_t ReadSeed(const json& file) {
  if (!file.contains("seed")) return 0;
  constexpr int kHexadecimal = 16;
  const std::string text = ToScalarText(file["seed"]);
  std::uint64_t seed = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, kHexadecimal);
  if (error != std::errc() || end != text.data() + text.size()) {
    throw ConfigurationError("seed: '" + text + "' is not a number of up to 16 hexadecimal digits");
  }
  return seed;
}

// The address of the admin interface and the socket path for hot restart, which needs it.
void ReadAdmin(const json& file, const Environment& environment, Configuration& config) {
  if (!environment.admin && !file.contains("admin")) return;
  config.admin_address = ReadAddress(environment.admin, "NODE_ADMIN", file, "admin");
  if (!environment.temporary_directory) return;
  config.handover_path =
      HandoverSocketPath(*environment.temporary_directory, discovery::FormatAddress(config.listen_address));
}

void ReadKnownEndpoints(const json& file, Configuration& config) {
  if (!file.contains("known") || file["known"].is_null()) return;
  const auto known = discovery::ParseEndpointList(file["known"].dump());
  if (!known) throw ConfigurationError("known: not a list of hosts in the discovery service's JSON format");
  config.known_endpoints = *known;
}

}  // namespace

std::string HandoverSocketPath(const std::string& folder, const std::string& listen) {
  std::string name = "meadowyard-" + listen;
  std::replace(name.begin(), name.end(), ':', '-');
  const std::string path = folder + "/" + name;
  return path.size() > kMaxSocketPathLength ? "" : path;
}

Environment ReadEnvironment(const VariableLookup& lookup) {
  const auto read = [&lookup](const char* name) {
    const char* const value = lookup(name);
    return value != nullptr ? std::optional<std::string>(value) : std::nullopt;
  };
  return {.config_path = read("NODE_CONFIG"),
          .name = read("NODE_NAME"),
          .listen = read("NODE_LISTEN"),
          .discovery = read("NODE_DISCOVERY"),
          .admin = read("NODE_ADMIN"),
          .temporary_directory = read("TMPDIR")};
}

void RequireKeysInForce(const json& in_force, const json& file) { RequireKeysAt("", in_force, file); }

Configuration ParseConfiguration(json file, const Environment& environment) {
  Configuration config;
  config.name = ReadName(file, environment);
  config.listen_address = ReadAddress(environment.listen, "NODE_LISTEN", file, "listen");
  ReadAdmin(file, environment, config);
  config.seed = ReadSeed(file);
  config.max_descriptors = static_cast<std::size_t>(ReadPositive(file, "/limits/sockets", 1024));
  config.memory_limit_mb = ReadPositive(file, "/limits/memory_mb", config.memory_limit_mb);
  config.settings = ReadSettings(file);
  CheckSettings(file, config.settings);
  config.connect_timeout = ReadPositive(file, "/settings/limits/dialTimeoutMs", config.connect_timeout);
  config.endpoint_idle_timeout =
      ReadPositive(file, "/settings/limits/connIdleMs", config.endpoint_idle_timeout);
  ReadKnownEndpoints(file, config);
  file.erase("known");
  config.document = std::make_shared<const json>(std::move(file));
  return config;
}

Configuration LoadConfiguration(const VariableLookup& lookup) {
  const Environment environment = ReadEnvironment(lookup);
  const ConfigurationFile file = ReadConfigurationFile(environment);
  return ResolveConfiguration(Occasion::kStart, environment, file, nullptr).configuration;
}

}  // namespace meadowyard::config
