// A gateway's side of its peers: the link to them, and its part in the duties that are shared.
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

class ClusterService : private membership::MembershipProtocol::Delegate {
 public:
  struct Handlers {
    std::function<Gossip()> gossip;
    std::function<void(MembershipUpdate)> news;
    std::function<discovery::EndpointList()> whole;     // the list of hosts as it stands here
    std::function<void(discovery::EndpointList)> told;  // of it, by a peer
    std::function<ZoneLoadReport()> sights;             // of the zones
    std::function<void(const ZoneAgreement&)> agreed;
  };
  // Without a file there are no peers.
  ClusterService(boost::asio::io_context& io, discovery::DiscoveryClient& discovery, Handlers handlers);

  // From now on by this file.
  void Know(membership::PeersConfig peers);
  // Another process has the link meanwhile; without it each asks discovery for itself.
  void Close();
  void Open();

  // Begins to watch discovery, unless a peer reads it for all.
  void Watch();
  // The own discovery has told (what it told was taken in), has failed, is to be another.
  void Told(const discovery::EndpointList& list);
  void Failed();
  void Moving(const boost::asio::ip::tcp::endpoint& address);
  void Stopping();
  // For operators: what was heard, and what is made of it. Nothing without peers.
  std::optional<std::string> Status(const Policy::Stats& census) const;

 private:
  Gossip CollectGossip() override;
  std::optional<ZoneLoadReport> CollectZoneLoad() override;
  void OnMembershipUpdate(MembershipUpdate update) override;
  void OnZoneLoad(int member, const ZoneLoadReport& report) override;
  void OnCoordinationMessage(int member, coordination::LeaseRole role,
                             const coordination::CoordinationMessage& message) override;
  void OnHeartbeatSent(double jitter) override;

  void ShareList();
  void ShareZones();
  // Sends a message of a lease-held role, if the protocol has begun.
  void Send(int member, coordination::LeaseRole role, const coordination::CoordinationMessage& message);

  boost::asio::io_context& io_;
  discovery::DiscoveryClient& discovery_;
  const Handlers handlers_;
  std::optional<membership::PeersConfig> peers_;
  std::optional<coordination::EndpointListLeader> duty_;
  std::optional<coordination::ZoneStateCoordinator> zones_;
  std::optional<membership::MembershipProtocol> protocol_;
};

}  // namespace meadowyard

#endif  // MEADOWYARD_APP_CLUSTER_SERVICE_HPP_
