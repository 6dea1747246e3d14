/// @file
/// One gateway with all its parts: client server, core, connections to hosts, discovery, tunnels, peers,
/// admin server and hot restart.
#ifndef MEADOWYARD_APP_SERVICE_HPP_
#define MEADOWYARD_APP_SERVICE_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "app/cluster_service.hpp"
#include "app/edge_service.hpp"
#include "app/end_log.hpp"
#include "app/stall_detector.hpp"
#include "config/config.hpp"
#include "config/configuration_resolver.hpp"
#include "core/budget.hpp"
#include "core/gateway.hpp"
#include "discovery/discovery.hpp"
#include "discovery/start_times.hpp"
#include "fronts/http/client_server.hpp"
#include "operations/admin_delegate.hpp"
#include "operations/admin_server.hpp"
#include "operations/configuration_change.hpp"
#include "operations/handover_state.hpp"
#include "operations/hot_restart_coordinator.hpp"
#include "operations/hot_restart_delegate.hpp"
#include "operations/predecessor_state.hpp"
#include "operations/shared_request_ids.hpp"
#include "upstream/host_pool.hpp"
#include "upstream/tunnel_dialer.hpp"

namespace meadowyard::app {

/// One gateway on an event loop: creates the parts and connects them. Not thread-safe.
class Service : public operations::AdminDelegate, public operations::HotRestartDelegate {
 public:
  /// Listens and watches discovery at once. Throws std::exception if the settings are invalid or an address
  /// can't be bound. `edge` is the operators' file for tunnels; null: no tunnels.
  Service(boost::asio::io_context& io, const config::Configuration& config,
          std::shared_ptr<const EdgeConfig> edge = nullptr)
      : Service(io, config, {}, {}, std::move(edge)) {}
  /// The successor of a hot restart: starts with the predecessor's state and its listening sockets. Without
  /// `predecessor` and `state` the same as above.
  Service(boost::asio::io_context& io, const config::Configuration& config,
          std::optional<operations::PredecessorState> predecessor,
          std::optional<operations::HandoverState> state, std::shared_ptr<const EdgeConfig> edge = nullptr);

  /// The address that clients connect to.
  boost::asio::ip::tcp::endpoint address() const { return clients_.address(); }

  /// The address of the admin server. Throws std::bad_optional_access if none is configured.
  boost::asio::ip::tcp::endpoint admin_address() const { return admin_.value().address(); }

  /// Throws EdgeError if `edge` can't be used together with `config`.
  static void RequireCompatible(const config::Configuration& config, const EdgeConfig& edge);

  /// Applies the parts of a changed configuration that may change while the gateway runs: the settings and
  /// the address of discovery. Throws std::exception, with the former settings and address in effect, if they
  /// can't be used.
  void Reload(const config::Configuration& config);
  /// Applies a changed operators' file for tunnels. Throws std::exception, with nothing changed, if the file
  /// can't be used.
  void ReloadEdge(std::shared_ptr<const EdgeConfig> edge);
  /// Applies a peers file: the gateways in front of the same hosts, and how they share the hosts.
  void ConfigurePeers(membership::PeersConfig peers);
  /// Throws std::bad_optional_access without an operators' file for tunnels.
  EdgeService& edge() { return edge_.value(); }

  /// The configuration that Reload applied last, or that the gateway was started with.
  config::ConfigurationInForce configuration_in_force() const {
    return {configuration_document_, discovery_.address()};
  }
  /// Text of the operators' file for tunnels in effect; empty if there is none.
  std::string edge_configuration() const { return edge_config_ ? edge_config_->text : ""; }
  /// Text of the peers file in effect; empty if there is none.
  const std::string& peers_configuration() const { return peers_configuration_; }
  /// Shows operators which configuration is in effect.
  void ReportConfiguration(const config::ResolvedConfiguration& resolved);
  /// Counts a configuration that was accepted at SIGHUP.
  void OnConfigurationAccepted() { core_.metrics().OnConfigurationRead(true); }
  /// Counts a configuration that was rejected at SIGHUP; `reason` is one line.
  void OnConfigurationRejected(const std::string& reason);

  /// See HotRestartDelegate::OnConfigurationChanged.
  using ConfigurationChangeHandler =
      std::function<void(const std::optional<operations::ConfigurationChange>&)>;
  void SetConfigurationChangeHandler(ConfigurationChangeHandler handler) {
    on_configuration_changed_ = std::move(handler);
  }
  /// The files that a reload has put in effect.
  struct ReloadedFiles {
    bool settings = false;
    bool edge = false;
    bool peers = false;
  };
  /// Sends these files, as they are in effect, to the other processes of a hot restart.
  void ReplicateConfiguration(const ReloadedFiles& reloaded);

  /// The phases of a graceful shutdown, in ms from its start. With deadlines of 3 s or more, SIGKILL comes at
  /// 3,700 ms or later.
  struct StopTimes {
    /// New connections are accepted until then, because they continue to arrive for up to 400 ms.
    Millis accept_until = 500;
    /// Requests on open connections are taken until then, so that the last ones have 3 s for their answers.
    Millis serve_until = 700;
    /// Requests that are unanswered at this time are failed. Answers that have begun are delivered to their
    /// end, however long that takes.
    Millis answer_until = 3300;
  };
  /// Shuts down gracefully by `times`, then calls `done`. Further calls do nothing.
  void Stop(std::function<void()> done, StopTimes times);
  /// The same with `serve_until` and `answer_until` reduced if the longest deadline is less than 3 s.
  void Stop(std::function<void()> done);

 private:
  // operations::AdminDelegate
  bool IsReady() override { return has_endpoints_ && !stopping_; }
  std::string MetricsJson() override;
  bool ChangeMaintenance(const operations::MaintenanceChange& change) override;
  std::optional<std::string> TunnelsJson() override;
  bool CloseTunnel(std::uint64_t id) override;
  std::optional<std::string> PeersJson() override;

  // operations::HotRestartDelegate
  std::string SerializeState() override;
  int ClientListener() override;
  std::vector<operations::TunnelListener> TunnelListeners() override;
  int RequestIdTable() override;
  std::vector<std::string> PoolHostsInMaintenance() override;
  std::size_t CountDescriptors() override;
  bool IsStopping() override { return stopping_; }
  void OnSuccessorServing() override;
  void OnSuccessorLost() override;
  void OnSuccessorEndedFirst() override;
  void OnPredecessorDescriptors(std::size_t count) override;
  void AdoptClientConnection(std::string_view unread, operations::Descriptor connection) override;
  void AdoptHostConnection(const operations::HostConnectionInfo& info,
                           operations::Descriptor connection) override;
  void AdoptTunnel(std::string_view state, operations::Descriptor client,
                   operations::Descriptor host) override;
  void OnMaintenanceChanged(const operations::MaintenanceChange& change) override;
  void OnConfigurationChanged(const std::optional<operations::ConfigurationChange>& change) override;

  /// Shares the ids of open requests by `request_ids` until no other process of this gateway is left; null if
  /// sharing them failed.
  void ShareRequestIds(std::unique_ptr<operations::SharedRequestIds> request_ids);
  void ScheduleSharingCheck();
  void OnAttemptEnded(const core::AttemptEnd& end);
  /// See MaintenanceStarted::even_if_unknown.
  void ApplyMaintenance(const operations::MaintenanceChange& change, bool even_if_unknown);
  /// This gateway's own discovery client has delivered `list`.
  void OnDiscoveryUpdate(const discovery::EndpointList& list);
  discovery::EndpointList CurrentEndpointList() const;
  /// Applies a list or changes to it, from discovery, a peer, the predecessor or the configuration.
  void ApplyEndpointList(const discovery::EndpointList& list);
  void OnDiscoveryFailed();
  /// The settings for the core: the configured ones with the tunnels' class, the descriptor budget and the
  /// peers file applied.
  Settings EffectiveSettings() const { return EffectiveSettings(settings_); }
  Settings EffectiveSettings(const Settings& configured) const;
  EdgeService::DiscoveredPool DiscoveredPoolForTunnels();
  /// Why a discovered host gets no new tunnels; empty if it may get them.
  std::string IneligibilityReason(const std::string& host) const;

  core::AsioClock clock_;
  const config::Configuration config_;                            // as loaded at the start
  std::shared_ptr<const nlohmann::json> configuration_document_;  // of the configuration in force
  Settings settings_;                                             // of the configuration in force
  Millis connect_timeout_;                                        // of the configuration in force
  std::string peers_configuration_;                               // text of the peers file; empty: no peers
  ConfigurationChangeHandler on_configuration_changed_;
  std::shared_ptr<const EdgeConfig> edge_config_;  // null: no tunnels
  std::size_t predecessor_descriptors_ = 0;        // file descriptors that the predecessor holds
  // From the peers file. Declared before core_, which is constructed with EffectiveSettings().
  int subset_size_ = 0;  // hosts that each gateway uses; 0 without peers
  ZoneRoutingSettings zone_routing_;
  Budget budget_;
  StallDetector stall_detector_;
  EndLog end_log_;
  HostPool hosts_;
  TunnelDialer dialer_;
  SplitUpstream upstream_;
  std::unique_ptr<operations::SharedRequestIds> request_ids_;  // null: no hot restart is in progress
  core::Gateway core_;
  discovery::DiscoveryClient discovery_;
  ClusterService peers_;
  std::map<std::string, discovery::EndpointRecord> endpoints_;  // by id, as in the latest list
  discovery::StartTimes start_times_;
  bool has_endpoints_ = false;  // a list with at least one host was applied
  bool stopping_ = false;
  boost::asio::steady_timer stop_timer_;
  boost::asio::steady_timer discovery_retry_timer_;
  boost::asio::steady_timer sharing_check_timer_;
  ClientServer clients_;
  std::optional<EdgeService> edge_;
  std::optional<operations::AdminServer> admin_;
  std::optional<operations::HotRestartCoordinator> hot_restart_;
};

}  // namespace meadowyard::app

#endif  // MEADOWYARD_APP_SERVICE_HPP_
