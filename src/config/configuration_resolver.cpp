#include "config/configuration_resolver.hpp"

#include <cstddef>
#include <exception>
#include <fstream>
#include <iterator>
#include <utility>

namespace meadowyard::config {
namespace {

using boost::asio::ip::tcp;
using nlohmann::json;

constexpr const char* kDiscoveryField = "discovery";
constexpr std::size_t kMaxShownLength = 100;  // bytes of an invalid value that an error shows

struct DiscoveryChoice {
  tcp::endpoint address;
  ValueSource source = ValueSource::kFile;
};

bool HasDiscovery(const json& document) {
  return document.contains(kDiscoveryField) && !document[kDiscoveryField].is_null();
}

DiscoveryChoice FromEnvironment(const Environment& environment) {
  if (!environment.discovery) throw ConfigurationError("NODE_DISCOVERY: not set");
  const auto address = discovery::ParseAddress(*environment.discovery);
  if (!address)
    throw ConfigurationError("NODE_DISCOVERY: '" + *environment.discovery + "' is not an address and port");
  return {*address, ValueSource::kEnvironment};
}

DiscoveryChoice FromFile(const json& document) {
  const json& value = document[kDiscoveryField];
  const auto address =
      value.is_string() ? discovery::ParseAddress(value.get<std::string>()) : std::optional<tcp::endpoint>();
  if (!address) {
    const std::string shown = value.dump().substr(0, kMaxShownLength);
    throw ConfigurationError("discovery: " + shown + " is not an address and port");
  }
  return {*address, ValueSource::kFile};
}

DiscoveryChoice FromForce(const ConfigurationInForce& in_force) {
  return {in_force.discovery_address, ValueSource::kInForce};
}

// Whether the file names another discovery than it did when the predecessor read it.
bool HasDiscoveryMoved(const json& document, const json& document_in_force) {
  if (!HasDiscovery(document)) return false;
  return !HasDiscovery(document_in_force) || document[kDiscoveryField] != document_in_force[kDiscoveryField];
}

DiscoveryChoice ChooseDiscovery(Occasion occasion, const Environment& environment, const json& document,
                                const ConfigurationInForce* in_force) {
  if (occasion == Occasion::kStart && environment.discovery) return FromEnvironment(environment);
  const bool use_file = occasion == Occasion::kHotRestart && in_force != nullptr
                            ? HasDiscoveryMoved(document, *in_force->document)
                            : HasDiscovery(document);
  if (use_file) return FromFile(document);
  return in_force != nullptr ? FromForce(*in_force) : FromEnvironment(environment);
}

// The list of hosts that a process is started with is that of the discovery which the file names.
bool IsKnownRevisionCurrent(const Configuration& config) {
  const json& document = *config.document;
  if (!HasDiscovery(document)) return true;
  return document[kDiscoveryField].is_string() &&
         discovery::ParseAddress(document[kDiscoveryField].get<std::string>()) == config.discovery_address;
}

ResolvedConfiguration ResolveFile(Occasion occasion, const Environment& environment,
                                  const ConfigurationFile& file, const ConfigurationInForce* in_force) {
  if (!file.document) throw ConfigurationError(file.error);
  if (in_force != nullptr) RequireKeysInForce(*in_force->document, *file.document);
  const DiscoveryChoice choice = ChooseDiscovery(occasion, environment, *file.document, in_force);
  ResolvedConfiguration resolved;
  resolved.configuration = ParseConfiguration(*file.document, environment);
  resolved.configuration.discovery_address = choice.address;
  resolved.discovery_source = choice.source;
  return resolved;
}

ResolvedConfiguration ResolveInForce(const Environment& environment, const ConfigurationInForce& in_force,
                                     std::string rejection) {
  ResolvedConfiguration resolved;
  resolved.configuration = ParseConfiguration(*in_force.document, environment);
  resolved.configuration.discovery_address = in_force.discovery_address;
  resolved.document_source = ValueSource::kInForce;
  resolved.discovery_source = ValueSource::kInForce;
  resolved.rejection = std::move(rejection);
  return resolved;
}

ResolvedConfiguration ResolveAny(Occasion occasion, const Environment& environment,
                                 const ConfigurationFile& file, const ConfigurationInForce* in_force) {
  try {
    return ResolveFile(occasion, environment, file, in_force);
  } catch (const std::exception& error) {  // not only ConfigurationError: the file may hold anything
    if (in_force == nullptr) throw ConfigurationError(error.what());
    return ResolveInForce(environment, *in_force, error.what());
  }
}

}  // namespace

const char* ToString(ValueSource source) {
  switch (source) {
    case ValueSource::kEnvironment: return "environment";
    case ValueSource::kFile: return "file";
    case ValueSource::kInForce: return "in_force";
  }
  return "";
}

const char* ToString(Occasion occasion) {
  switch (occasion) {
    case Occasion::kStart: return "start";
    case Occasion::kReload: return "reload";
    case Occasion::kHotRestart: return "hot_restart";
  }
  return "";
}

ConfigurationFile ReadConfigurationFile(const Environment& environment) {
  if (!environment.config_path) return {std::nullopt, "NODE_CONFIG: not set"};
  const std::string& path = *environment.config_path;
  try {
    std::ifstream stream;
    stream.exceptions(std::ios::badbit);  // a folder can be opened, but not read
    stream.open(path);
    if (!stream) return {std::nullopt, "NODE_CONFIG: can't read '" + path + "'"};
    const std::string text{std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
    json document = json::parse(text, nullptr, /*allow_exceptions=*/false);
    if (document.is_object()) return {std::move(document), ""};
    return {std::nullopt, "NODE_CONFIG: '" + path + "' is not a JSON object"};
  } catch (const std::ios::failure&) {
    return {std::nullopt, "NODE_CONFIG: can't read '" + path + "'"};
  }
}

ResolvedConfiguration ResolveConfiguration(Occasion occasion, const Environment& environment,
                                           const ConfigurationFile& file,
                                           const ConfigurationInForce* in_force) {
  ResolvedConfiguration resolved = ResolveAny(occasion, environment, file, in_force);
  Configuration& config = resolved.configuration;
  if (occasion == Occasion::kStart && IsKnownRevisionCurrent(config))
    config.known_revision = config.known_endpoints.revision;
  return resolved;
}

std::string FindHandoverPath(const Environment& environment, const ConfigurationFile& file) {
  const bool has_admin = environment.admin || !file.document || file.document->contains("admin");
  if (!has_admin || !environment.temporary_directory) return "";
  std::string listen = environment.listen.value_or("");
  if (!environment.listen && file.document) {
    const json& document = *file.document;
    if (document.contains("listen") && document["listen"].is_string())
      listen = document["listen"].get<std::string>();
  }
  const auto address = discovery::ParseAddress(listen);
  if (!address) return "";
  return HandoverSocketPath(*environment.temporary_directory, discovery::FormatAddress(*address));
}

}  // namespace meadowyard::config
