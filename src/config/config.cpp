#include "config/config.hpp"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <vector>

#include "simulator/settings_parser.hpp"

namespace meadowyard::config {
namespace {

constexpr std::size_t kMostPath = 100;  // of a Unix socket's path, with room for a suffix

using nlohmann::json;

std::string Scalar(const json& value) { return value.is_string() ? value.get<std::string>() : value.dump(); }

// Turns the settings into the path=value pairs of the simulator's first message, which have the same names
// and units: one reader serves both, so a setting can't mean two things.
void Flatten(const json& node, const std::string& path, std::vector<std::string>& pairs) {
  const std::string prefix = path.empty() ? "" : path + ".";
  if (node.is_object()) {
    for (const auto& [key, value] : node.items()) Flatten(value, prefix + key, pairs);
  } else if (node.is_array() && !node.empty() && node.front().is_object()) {
    for (std::size_t i = 0; i < node.size(); ++i) Flatten(node[i], prefix + std::to_string(i), pairs);
  } else if (node.is_array()) {
    std::string joined;
    for (const json& item : node) joined += (joined.empty() ? "" : ",") + Scalar(item);
    pairs.push_back(path + "=" + joined);
  } else if (!node.is_null()) {
    pairs.push_back(path + "=" + Scalar(node));
  }
}

Settings ReadSettings(const json& file) {
  if (!file.contains("settings") || !file["settings"].is_object()) {
    throw ConfigurationError("settings: missing, or not an object");
  }
  std::vector<std::string> pairs;
  Flatten(file["settings"], "", pairs);
  try {
    return simulator::ParseSettings({pairs.begin(), pairs.end()});
  } catch (const std::exception& error) {  // its text names the field
    throw ConfigurationError(std::string("settings: ") + error.what());
  }
}

// A number at a JSON pointer, above 0; the default where it is absent.
double PositiveOr(const json& file, const std::string& path, double otherwise) {
  const json::json_pointer at(path);
  if (!file.contains(at) || file[at].is_null()) return otherwise;
  if (!file[at].is_number() || !(file[at].get<double>() > 0)) {
    throw ConfigurationError(path.substr(1) + ": must be a number above 0");
  }
  return file[at].get<double>();
}

// A number above 0 at a JSON pointer, if there is anything: text that looks like one is not.
void NeedPositive(const json& file, const std::string& path) { PositiveOr(file, path, 1); }

void CheckSettings(const json& file, const Settings& settings) {
  const json empty = json::array();
  const json::json_pointer at("/settings/categories");
  const json& classes = file.contains(at) && file[at].is_array() ? file[at] : empty;
  std::set<std::string> names;
  for (std::size_t i = 0; i < classes.size(); ++i) {
    const std::string path = "/settings/categories/" + std::to_string(i) + "/";
    NeedPositive(file, path + "deadlineMs");
    NeedPositive(file, path + "sloMs");
    if (i < settings.classes.size() && !names.insert(settings.classes[i].name).second) {
      throw ConfigurationError("settings: categories.name: '" + settings.classes[i].name +
                               "' is there twice");
    }
  }
  NeedPositive(file, "/settings/limits/maxAttempts");
  try {
    Policy(settings, 0);
  } catch (const std::exception& error) {  // its text names the field
    throw ConfigurationError(std::string("settings: ") + error.what());
  }
}

// The pages say of these that they may be absent.
bool MayBeAbsent(const std::string& key) {
  static const std::set<std::string> keys = {"known",      "seed",           "familyInfo",
                                             "aimStretch", "passesDeadline", "warmKeys"};
  return keys.contains(key);
}

// A file cut short, or with a line lost, can still be good JSON: it lacks what the one before it had. The
// items of a list come and go, but each needs what all of those before had.
void NeedKeys(const json& before, const json& file, const std::string& path) {
  for (const auto& [key, value] : before.items()) {
    if (value.is_null() || MayBeAbsent(key)) continue;
    const std::string name = path.empty() ? key : path + "." + key;
    if (!file.contains(key) || file[key].is_null()) throw ConfigurationError(name + ": missing");
    if (value.is_object() != file[key].is_object() || value.is_array() != file[key].is_array()) {
      throw ConfigurationError(name + ": of another kind than before");
    }
    if (value.is_object()) NeedKeys(value, file[key], name);
    if (!value.is_array() || value.empty() || !value.front().is_object()) continue;
    json common = value.front();
    for (const json& item : value) {
      for (auto it = common.begin(); it != common.end();) {
        it = item.contains(it.key()) ? std::next(it) : common.erase(it);
      }
    }
    for (const json& item : file[key]) {
      if (!item.is_object()) throw ConfigurationError(name + ": holds something else than before");
      NeedKeys(common, item, name);
    }
  }
}

// The variable wins over the file's field of the same meaning.
boost::asio::ip::tcp::endpoint ReadAddress(const char* variable, const std::string& name, const json& file,
                                           const std::string& field) {
  std::string text;
  if (variable != nullptr) {
    text = variable;
  } else if (file.contains(field) && file[field].is_string()) {
    text = file[field].get<std::string>();
  } else {
    throw ConfigurationError(name + ": not set");
  }
  const auto endpoint = discovery::ParseAddress(text);
  if (!endpoint) throw ConfigurationError(name + ": '" + text + "' is not an address and port");
  return *endpoint;
}

}  // namespace

std::string HandoverSocketPath(const std::string& folder, const std::string& listen) {
  std::string name = "meadowyard-" + listen;
  std::replace(name.begin(), name.end(), ':', '-');
  const std::string path = folder + "/" + name;
  return path.size() > kMostPath ? "" : path;
}

Configuration LoadConfiguration(const std::function<const char*(const char*)>& variable,
                                const json* in_force) {
  const char* const path = variable("NODE_CONFIG");
  if (path == nullptr) throw ConfigurationError("NODE_CONFIG: not set");
  std::ifstream stream(path);
  if (!stream) throw ConfigurationError(std::string("NODE_CONFIG: can't read '") + path + "'");
  json file = json::parse(stream, nullptr, /*allow_exceptions=*/false);
  if (!file.is_object())
    throw ConfigurationError(std::string("NODE_CONFIG: '") + path + "' is no JSON object");
  if (in_force != nullptr) NeedKeys(*in_force, file, "");
  return ParseConfiguration(std::move(file), variable);
}

Configuration ParseConfiguration(json file, const std::function<const char*(const char*)>& variable) {
  Configuration config;
  config.listen_address = ReadAddress(variable("NODE_LISTEN"), "NODE_LISTEN", file, "listen");
  config.discovery_address = ReadAddress(variable("NODE_DISCOVERY"), "NODE_DISCOVERY", file, "discovery");
  if (variable("NODE_ADMIN") != nullptr || file.contains("admin")) {
    config.admin_address = ReadAddress(variable("NODE_ADMIN"), "NODE_ADMIN", file, "admin");
    const char* const folder = variable("TMPDIR");
    if (folder != nullptr)
      config.handover_path = HandoverSocketPath(folder, discovery::FormatAddress(config.listen_address));
  }
  if (file.contains("seed")) {
    const std::string text = Scalar(file["seed"]);
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), config.seed, 16);
    if (error != std::errc() || end != text.data() + text.size()) {
      throw ConfigurationError("seed: '" + text + "' is not up to 16 hex digits");
    }
  }
  config.max_descriptors = static_cast<std::size_t>(PositiveOr(file, "/limits/sockets", 1024));
  config.memory_limit_mb = PositiveOr(file, "/limits/memory_mb", config.memory_limit_mb);
  config.settings = ReadSettings(file);
  CheckSettings(file, config.settings);
  config.connect_timeout = PositiveOr(file, "/settings/limits/dialTimeoutMs", config.connect_timeout);
  config.endpoint_idle_timeout =
      PositiveOr(file, "/settings/limits/connIdleMs", config.endpoint_idle_timeout);
  if (file.contains("known") && !file["known"].is_null()) {
    const auto known = discovery::ParseEndpointList(file["known"].dump());
    if (!known) throw ConfigurationError("known: not a list of hosts in discovery's form");
    config.known_endpoints = *known;
  }
  file.erase("known");
  config.document = std::make_shared<const json>(std::move(file));
  return config;
}

}  // namespace meadowyard::config
