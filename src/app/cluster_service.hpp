/// @file
/// Connects a gateway to its peers, the other gateways in front of the same hosts: membership protocol and
/// lease-held roles.
#ifndef MEADOWYARD_APP_CLUSTER_SERVICE_HPP_
#define MEADOWYARD_APP_CLUSTER_SERVICE_HPP_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <string>

#include "coordination/endpoint_list_leader.hpp"
#include "coordination/zone_state_coordinator.hpp"
#include "discovery/discovery.hpp"
#include "meadowyard/policy.hpp"
#include "membership/membership_protocol.hpp"

namespace meadowyard {

/// Runs the membership protocol with the peers and, where the peers file enables them, the two lease-held
/// roles: the endpoint list leader, which watches discovery for all gateways, and the zone state coordinator.
/// Does nothing until SetPeers is called. The io_context and the discovery client must outlive it.
class ClusterService : private membership::MembershipProtocol::Delegate {
 public:
  struct Handlers {
    /// What heartbeats carry to the peers.
    std::function<Gossip()> collect_gossip;
    std::function<void(MembershipUpdate)> on_membership_update;
    /// The complete endpoint list that this gateway uses.
    std::function<discovery::EndpointList()> endpoint_list;
    /// A peer has sent an endpoint list or changes to it.
    std::function<void(discovery::EndpointList)> on_endpoint_list;
    std::function<ZoneLoadReport()> collect_zone_load;
    /// The gateways have agreed on the state of the zones.
    std::function<void(const ZoneAgreement&)> on_zone_agreement;
  };
  /// There are no peers until SetPeers is called.
  ClusterService(boost::asio::io_context& io, discovery::DiscoveryClient& discovery, Handlers handlers);

  /// Applies a peers file and restarts the protocol with it. After Close and PrepareShutdown the file only
  /// takes effect with Open.
  void SetPeers(membership::PeersConfig peers);
  /// Stops the protocol, because the successor of a hot restart uses the peer address now. A gateway without
  /// the protocol watches discovery itself.
  void Close();
  /// Starts the protocol, or restarts it. Does nothing without peers, or after PrepareShutdown.
  void Open();

  /// Starts to watch discovery, unless a peer holds the endpoint list lease and watches it for all gateways.
  void WatchDiscovery();
  /// This gateway's own discovery client has delivered `list`, and the gateway has applied it.
  void OnOwnDiscoveryUpdate(const discovery::EndpointList& list);
  /// This gateway's own discovery client has failed.
  void OnOwnDiscoveryFailure();
  /// To be called before the discovery client gets this address. An address that differs from the current one
  /// means another discovery service, whose revisions can't be compared with the earlier ones.
  void OnDiscoveryAddressChange(const boost::asio::ip::tcp::endpoint& address);
  /// The process is about to end: gives up the lease-held roles.
  void PrepareShutdown();
  /// The state of the peers and of the lease-held roles, as JSON for operators. Nothing without peers.
  std::optional<std::string> Status(const Policy::Stats& stats) const;

 private:
  Gossip CollectGossip() override;
  std::optional<ZoneLoadReport> CollectZoneLoad() override;
  void OnMembershipUpdate(MembershipUpdate update) override;
  void OnZoneLoad(int member, const ZoneLoadReport& report) override;
  void OnCoordinationMessage(int member, coordination::LeaseRole role,
                             const coordination::CoordinationMessage& message) override;
  void OnHeartbeatSent(double jitter) override;

  void StopProtocol();
  void StartEndpointListLeader();
  void StartZoneStateCoordinator();
  /// Sends a message of a lease-held role. Does nothing while the protocol is stopped.
  void Send(int member, coordination::LeaseRole role, const coordination::CoordinationMessage& message);

  boost::asio::io_context& io_;
  discovery::DiscoveryClient& discovery_;
  const Handlers handlers_;
  std::optional<membership::PeersConfig> peers_;
  bool closed_ = false;         // the successor uses the peer address
  bool shutting_down_ = false;  // the lease-held roles were given up for good
  std::optional<coordination::EndpointListLeader> endpoint_list_leader_;
  std::optional<coordination::ZoneStateCoordinator> zone_state_coordinator_;
  std::optional<membership::MembershipProtocol> protocol_;
};

}  // namespace meadowyard

#endif  // MEADOWYARD_APP_CLUSTER_SERVICE_HPP_
