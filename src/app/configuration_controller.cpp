#include "app/configuration_controller.hpp"

#include <exception>
#include <functional>
#include <nlohmann/json.hpp>
#include <utility>

#include "config_file/toml_file.hpp"
#include "discovery/discovery.hpp"
#include "log/log.hpp"

namespace meadowyard::app {
namespace {

using config::Occasion;
using config::ValueSource;

// For the log: the other process of a hot restart has reloaded its configuration.
constexpr const char* kOtherProcess = "other_process";

std::optional<config::ConfigurationInForce> InForceAt(const operations::HandoverState& predecessor) {
  auto document = nlohmann::json::parse(predecessor.configuration, nullptr, /*allow_exceptions=*/false);
  const auto discovery_address = discovery::ParseAddress(predecessor.discovery_address);
  if (!document.is_object() || !discovery_address) return std::nullopt;
  return config::ConfigurationInForce{std::make_shared<const nlohmann::json>(std::move(document)),
                                      *discovery_address};
}

void LogRejection(const char* event, const char* text, const std::string& reason) {
  log::Write(log::Level::kWarn, event, {{"text", text}, {"why", reason}});
}

void LogInForce(const config::ResolvedConfiguration& resolved, const char* occasion) {
  log::Write(log::Level::kInfo, "configuration_in_force",
             {{"occasion", occasion},
              {"settings_from", config::ToString(resolved.document_source)},
              {"discovery", discovery::FormatAddress(resolved.configuration.discovery_address)},
              {"discovery_from", config::ToString(resolved.discovery_source)}});
}

// At a start NODE_DISCOVERY comes first. If discovery has moved since the variable was set, the file is
// right.
void WarnIfSourcesDiffer(const config::Environment& environment, const config::Configuration& config) {
  const nlohmann::json in_file = config.document->value("discovery", nlohmann::json());
  if (!environment.discovery || in_file.is_null() || in_file == *environment.discovery) return;
  log::Write(log::Level::kWarn, "discovery_sources_differ",
             {{"variable", *environment.discovery}, {"file", in_file.dump()}});
}

// Reads an operators' file with `parse`, which throws if the text can't be used. The text that is in force at
// the predecessor, if it is not empty, takes the place of a file that can't be used.
template <typename Parse>
auto ParseFileOrTextInForce(const std::string& path, const std::string& text_in_force,
                            const char* rejection_event, const Parse& parse) {
  try {
    return parse(config_file::ReadText(path));
  } catch (const std::exception& error) {
    if (text_in_force.empty()) throw;
    LogRejection(rejection_event, "going on with the file in force", error.what());
    return parse(text_in_force);
  }
}

}  // namespace

ConfigurationController::ConfigurationController(config::Environment environment,
                                                 OperatorsFiles operators_files)
    : environment_(std::move(environment)), operators_files_(std::move(operators_files)) {}

InitialConfiguration ConfigurationController::Load(Occasion occasion,
                                                   const std::optional<operations::HandoverState>& state) {
  const auto in_force = state ? InForceAt(*state) : std::nullopt;
  const config::ConfigurationInForce* const in_force_or_null = in_force ? &*in_force : nullptr;
  const std::string edge_in_force = state ? state->edge_configuration : "";
  InitialConfiguration initial;
  initial.resolved = config::ResolveConfiguration(
      occasion, environment_, config::ReadConfigurationFile(environment_), in_force_or_null);
  try {
    initial.edge = LoadEdgeFile(initial.resolved.configuration, edge_in_force);
  } catch (const EdgeError& error) {
    if (!in_force || initial.resolved.document_source == ValueSource::kInForce) throw;
    // The tunnels' file in force does not go with the changed settings, so a reload would reject these.
    initial.resolved =
        config::ResolveConfiguration(occasion, environment_, {std::nullopt, error.what()}, in_force_or_null);
    initial.edge = LoadEdgeFile(initial.resolved.configuration, edge_in_force);
  }
  const std::string& rejection = initial.resolved.rejection;
  if (!rejection.empty())
    LogRejection("configuration_kept", "going on with the configuration in force", rejection);
  LogInForce(initial.resolved, config::ToString(occasion));
  if (occasion == Occasion::kStart) WarnIfSourcesDiffer(environment_, initial.resolved.configuration);
  name_ = initial.resolved.configuration.name.value_or("");
  initial.peers = LoadPeersFile(state ? state->peers_configuration : "");
  return initial;
}

std::shared_ptr<const EdgeConfig> ConfigurationController::LoadEdgeFile(
    const config::Configuration& config, const std::string& text_in_force) const {
  if (operators_files_.edge.empty()) return nullptr;
  return ParseFileOrTextInForce(
      operators_files_.edge, text_in_force, "edge_kept", [this, &config](const std::string& text) {
        auto edge = std::make_shared<const EdgeConfig>(ParseEdge(operators_files_.edge, text));
        Service::RequireCompatible(config, *edge);
        return edge;
      });
}

std::optional<membership::PeersConfig> ConfigurationController::LoadPeersFile(
    const std::string& text_in_force) const {
  if (operators_files_.peers.empty()) return std::nullopt;
  return ParseFileOrTextInForce(operators_files_.peers, text_in_force, "peers_kept",
                                [this](const std::string& text) {
                                  return membership::ParsePeers(operators_files_.peers, text, name_);
                                });
}

void ConfigurationController::Attach(Service& service, const InitialConfiguration& initial) {
  service_ = &service;
  service.ReportConfiguration(initial.resolved);
  if (initial.peers) service.ConfigurePeers(*initial.peers);
  service.SetConfigurationChangeHandler(
      [this](const std::optional<operations::ConfigurationChange>& change) { Adopt(change); });
  settings_reloader_.emplace(
      environment_, [this] { return service_->configuration_in_force(); },
      operations::SettingsReloader::Callbacks{[this](const config::ResolvedConfiguration& resolved) {
                                                Apply(resolved, config::ToString(Occasion::kReload));
                                                log::Write(log::Level::kDebug, "configuration_loaded");
                                              },
                                              [this](const std::string& reason) {
                                                LogRejection("configuration_kept",
                                                             "configuration not reloaded", reason);
                                                service_->OnConfigurationRejected(reason);
                                              }});
}

void ConfigurationController::Apply(const config::ResolvedConfiguration& resolved, const char* occasion) {
  service_->Reload(resolved.configuration);
  service_->ReportConfiguration(resolved);
  name_ = resolved.configuration.name.value_or("");
  LogInForce(resolved, occasion);
}

void ConfigurationController::Reload() {
  Service::ReloadedFiles reloaded;
  reloaded.settings = settings_reloader_->Reload();
  if (reloaded.settings) service_->OnConfigurationAccepted();
  reloaded.edge = ReloadEdgeFile();
  reloaded.peers = ReloadPeersFile();
  if (reloaded.settings || reloaded.edge || reloaded.peers) service_->ReplicateConfiguration(reloaded);
}

bool ConfigurationController::ReloadEdgeFile() {
  const std::string& path = operators_files_.edge;
  if (path.empty()) return false;
  try {
    service_->ReloadEdge(std::make_shared<const EdgeConfig>(LoadEdge(path)));
    log::Write(log::Level::kInfo, "edge_loaded", {{"file", path}});
    return true;
  } catch (const std::exception& error) {
    LogRejection("edge_kept", "the file was not reloaded", error.what());
    return false;
  }
}

bool ConfigurationController::ReloadPeersFile() {
  const std::string& path = operators_files_.peers;
  if (path.empty()) return false;
  try {
    service_->ConfigurePeers(membership::LoadPeers(path, name_));
    log::Write(log::Level::kInfo, "peers_loaded", {{"file", path}});
    return true;
  } catch (const std::exception& error) {
    LogRejection("peers_kept", "the file was not reloaded", error.what());
    return false;
  }
}

void ConfigurationController::Adopt(const std::optional<operations::ConfigurationChange>& change) {
  if (!change) {
    settings_reloader_->Reload();
    ReloadEdgeFile();
    ReloadPeersFile();
    return;
  }
  AdoptConfiguration(*change);
  AdoptEdgeFile(change->edge_configuration);
  AdoptPeersFile(change->peers_configuration);
}

void ConfigurationController::AdoptConfiguration(const operations::ConfigurationChange& change) {
  if (change.configuration.empty()) return;
  const auto discovery_address = discovery::ParseAddress(change.discovery_address);
  auto document = nlohmann::json::parse(change.configuration, nullptr, /*allow_exceptions=*/false);
  const config::ConfigurationInForce in_force = service_->configuration_in_force();
  if (document == *in_force.document && discovery_address == in_force.discovery_address) return;
  try {
    if (!discovery_address) throw ConfigurationError("discovery", "not an address and port");
    config::ResolvedConfiguration adopted;
    adopted.configuration = config::ParseConfiguration(std::move(document), environment_);
    adopted.configuration.discovery_address = *discovery_address;
    adopted.document_source = adopted.discovery_source = ValueSource::kInForce;
    Apply(adopted, kOtherProcess);
  } catch (const std::exception& error) {
    LogRejection("configuration_kept", "the other process's configuration can't be used", error.what());
  }
}

void ConfigurationController::AdoptEdgeFile(const std::string& text) {
  const std::string& path = operators_files_.edge;
  if (path.empty() || text.empty() || text == service_->edge_configuration()) return;
  try {
    service_->ReloadEdge(std::make_shared<const EdgeConfig>(ParseEdge(path, text)));
    log::Write(log::Level::kInfo, "edge_loaded", {{"file", path}});
  } catch (const std::exception& error) {
    LogRejection("edge_kept", "the other process's file can't be used", error.what());
  }
}

void ConfigurationController::AdoptPeersFile(const std::string& text) {
  const std::string& path = operators_files_.peers;
  if (path.empty() || text.empty() || text == service_->peers_configuration()) return;
  try {
    service_->ConfigurePeers(membership::ParsePeers(path, text, name_));
    log::Write(log::Level::kInfo, "peers_loaded", {{"file", path}});
  } catch (const std::exception& error) {
    LogRejection("peers_kept", "the other process's file can't be used", error.what());
  }
}

}  // namespace meadowyard::app
