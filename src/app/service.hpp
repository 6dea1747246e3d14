// One gateway in service: the core with its front, its hosts, discovery and the operators' calls around it.
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
#include <vector>

#include "app/cluster_service.hpp"
#include "app/edge_service.hpp"
#include "app/stall_detector.hpp"
#include "config/config.hpp"
#include "core/budget.hpp"
#include "core/gateway.hpp"
#include "discovery/discovery.hpp"
#include "fronts/http/client_server.hpp"
#include "operations/admin_delegate.hpp"
#include "operations/admin_server.hpp"
#include "operations/handover_state.hpp"
#include "operations/hot_restart_coordinator.hpp"
#include "operations/hot_restart_delegate.hpp"
#include "operations/predecessor_state.hpp"
#include "upstream/host_pool.hpp"
#include "upstream/tunnel_dialer.hpp"

namespace meadowyard::app {

class Service : public operations::AdminDelegate, public operations::HotRestartDelegate {
 public:
  // Listens and watches at once. Throws std::exception if the settings or the address can't work.
  // With an operators' file it takes tunnels too.
  Service(boost::asio::io_context& io, const config::Configuration& config,
          std::shared_ptr<const EdgeConfig> edge = nullptr)
      : Service(io, config, {}, {}, std::move(edge)) {}
  // Follows another process: begins with what that one knows, and at its listening socket.
  Service(boost::asio::io_context& io, const config::Configuration& config,
          std::optional<operations::PredecessorState> predecessor,
          std::optional<operations::HandoverState> state, std::shared_ptr<const EdgeConfig> edge = nullptr);

  boost::asio::ip::tcp::endpoint address() const { return clients_.address(); }

  // Where operators call; throws std::bad_optional_access where the configuration has no such place.
  boost::asio::ip::tcp::endpoint admin_address() const { return admin_.value().address(); }

  // Takes over what a changed configuration may change while the gateway runs: the settings, and where
  // discovery is.
  void Reload(const config::Configuration& config);
  // The same of the operators' file: all of it, or, with a throw that says why, nothing.
  void ReloadEdge(std::shared_ptr<const EdgeConfig> edge);
  // What gateways in front of the same hosts tell each other, from now on by this file.
  void KnowPeers(membership::PeersConfig peers);
  EdgeService& edge() { return edge_.value(); }  // throws std::bad_optional_access without a file
  // A changed configuration was turned down.
  void KeptSettings() { core_.metrics().OnConfigurationRead(false); }

  // A planned end, in times from its beginning. SIGKILL comes at 3,700 ms or later.
  struct StopTimes {
    Millis accept = 500;  // until then connections are taken: they go on coming for up to 400
    Millis serve =
        2200;  // until then those that are open are served as ever: their clients have nowhere better
    Millis answer = 3300;  // by then all is answered: the rest is failed
  };
  // Takes, serves and answers as `times` say, then calls `done`.
  void Stop(std::function<void()> done, StopTimes times);
  // The same in the times that the longest deadline leaves.
  void Stop(std::function<void()> done);

 private:
  // operations::AdminDelegate
  bool IsReady() override { return listed_ && !stopping_; }
  std::string MetricsJson() override;
  bool ChangeMaintenance(const operations::MaintenanceChange& change) override;
  std::optional<std::string> TunnelsJson() override;
  bool CloseTunnel(std::uint64_t id) override;
  std::optional<std::string> PeersJson() override;

  // operations::HotRestartDelegate
  std::string SerializeState() override;
  int ClientListener() override;
  std::vector<operations::TunnelListener> TunnelListeners() override;
  std::size_t CountDescriptors() override;
  void OnSuccessorServing() override;
  void OnSuccessorLost() override;
  void OnPredecessorDescriptors(std::size_t count) override;
  void AdoptClientConnection(std::string_view unread, operations::Descriptor connection) override;
  void AdoptHostConnection(const operations::HostConnectionInfo& info,
                           operations::Descriptor connection) override;
  void AdoptTunnel(std::string_view state, operations::Descriptor client,
                   operations::Descriptor host) override;
  void OnMaintenanceChanged(const operations::MaintenanceChange& change) override;

  void ToldByDiscovery(const discovery::EndpointList& list);
  discovery::EndpointList WholeList() const;
  void Told(const discovery::EndpointList& list);
  void ListFailed();
  // The settings in force for the core: with the room that there is, and the tunnels' class.
  Settings Fitted() const;
  EdgeService::Fleet FleetForTunnels();
  // Why nothing new may go to a host of the fleet; empty: it may.
  std::string Unusable(const std::string& host) const;

  core::AsioClock clock_;
  const config::Configuration config_;  // as at the start
  std::shared_ptr<const nlohmann::json> file_;
  Settings settings_;                            // as in the file in force
  std::shared_ptr<const EdgeConfig> edge_file_;  // null: no tunnels
  std::size_t others_ = 0;                       // descriptors that the process before this one holds
  // Where there are peers; before the core, which is told of them.
  int subset_ = 0;  // hosts that each gateway uses
  ZoneRoutingSettings locality_;
  Budget budget_;
  StallDetector stall_detector_;
  HostPool hosts_;
  TunnelDialer dialer_;
  SplitUpstream upstream_;
  core::Gateway core_;
  discovery::DiscoveryClient discovery_;
  ClusterService peers_;
  std::map<std::string, discovery::EndpointRecord> list_;  // as discovery told it
  bool listed_ = false;                                    // some list of hosts is known
  bool stopping_ = false;
  boost::asio::steady_timer stop_;
  boost::asio::steady_timer ask_again_;
  ClientServer clients_;
  std::optional<EdgeService> edge_;
  std::optional<operations::AdminServer> admin_;
  std::optional<operations::HotRestartCoordinator> hot_restart_;
};

}  // namespace meadowyard::app

#endif  // MEADOWYARD_APP_SERVICE_HPP_
