/// @file
/// Loads the configuration and the operators' files at the start, and replaces them at SIGHUP and when the
/// other process of a hot restart has replaced them.
#ifndef MEADOWYARD_APP_CONFIGURATION_CONTROLLER_HPP_
#define MEADOWYARD_APP_CONFIGURATION_CONTROLLER_HPP_

#include <memory>
#include <optional>
#include <string>

#include "app/service.hpp"
#include "config/configuration_resolver.hpp"
#include "edge/edge_config.hpp"
#include "membership/peers_config.hpp"
#include "operations/configuration_change.hpp"
#include "operations/handover_state.hpp"
#include "operations/settings_reloader.hpp"

namespace meadowyard::app {

/// What a process starts with.
struct InitialConfiguration {
  config::ResolvedConfiguration resolved;
  std::shared_ptr<const EdgeConfig> edge;        ///< Null: no tunnels.
  std::optional<membership::PeersConfig> peers;  ///< Empty: no peers.
};

/// The files of one process. A file that can't be used never replaces one that is in force, neither here nor
/// at the predecessor; each rejection is logged.
class ConfigurationController {
 public:
  /// Paths of the operators' files; empty: none.
  struct OperatorsFiles {
    std::string edge;
    std::string peers;
  };
  ConfigurationController(config::Environment environment, OperatorsFiles operators_files);

  /// Reads the files for a start or a hot restart; `state` is the predecessor's, if it was received. Throws
  /// std::exception with a text that names the error if a file can't be used and none is in force.
  InitialConfiguration Load(config::Occasion occasion, const std::optional<operations::HandoverState>& state);
  /// Starts to serve reloads for `service`, which was created with `initial` and must outlive this object.
  void Attach(Service& service, const InitialConfiguration& initial);
  /// Reads all files again (SIGHUP), and sends what has changed to the other process of a hot restart.
  void Reload();

 private:
  std::shared_ptr<const EdgeConfig> LoadEdgeFile(const config::Configuration& config,
                                                 const std::string& text_in_force) const;
  std::optional<membership::PeersConfig> LoadPeersFile(const std::string& text_in_force) const;
  void Apply(const config::ResolvedConfiguration& resolved, const char* occasion);
  /// The two below return whether the file is in force now.
  bool ReloadEdgeFile();
  bool ReloadPeersFile();
  /// Applies what the other process has put in force; see HotRestartDelegate::OnConfigurationChanged.
  void Adopt(const std::optional<operations::ConfigurationChange>& change);
  void AdoptConfiguration(const operations::ConfigurationChange& change);
  void AdoptEdgeFile(const std::string& text);
  void AdoptPeersFile(const std::string& text);

  const config::Environment environment_;
  const OperatorsFiles operators_files_;
  std::string name_;            // of this gateway among its peers, by the configuration in force
  Service* service_ = nullptr;  // null until Attach
  std::optional<operations::SettingsReloader> settings_reloader_;
};

}  // namespace meadowyard::app

#endif  // MEADOWYARD_APP_CONFIGURATION_CONTROLLER_HPP_
