#include "app/cluster_service.hpp"

#include <nlohmann/json.hpp>
#include <utility>

#include "core/clock.hpp"

namespace meadowyard {

ClusterService::ClusterService(boost::asio::io_context& io, discovery::DiscoveryClient& discovery,
                               Handlers handlers)
    : io_(io), discovery_(discovery), handlers_(std::move(handlers)) {}

void ClusterService::SetPeers(membership::PeersConfig peers) {
  peers_ = std::move(peers);
  if (!closed_) Open();
}

void ClusterService::Open() {
  if (!peers_ || shutting_down_) return;
  closed_ = false;
  StopProtocol();  // first, so that the peer address can be bound again
  if (peers_->shares_endpoint_list) StartEndpointListLeader();
  if (peers_->zone_routing.enabled) StartZoneStateCoordinator();
  Delegate& delegate = *this;  // Delegate is a private base: only a member can convert to it
  protocol_.emplace(io_, *peers_, delegate);
}

Gossip ClusterService::CollectGossip() { return handlers_.collect_gossip(); }

std::optional<ZoneLoadReport> ClusterService::CollectZoneLoad() {
  if (!zone_state_coordinator_) return std::nullopt;
  return handlers_.collect_zone_load();
}

void ClusterService::OnMembershipUpdate(MembershipUpdate update) {
  handlers_.on_membership_update(std::move(update));
}

void ClusterService::OnZoneLoad(int member, const ZoneLoadReport& report) {
  if (zone_state_coordinator_) zone_state_coordinator_->OnLoadReport(core::Now(), member, report);
}

void ClusterService::OnCoordinationMessage(int member, coordination::LeaseRole role,
                                           const coordination::CoordinationMessage& message) {
  if (role == coordination::LeaseRole::kEndpointList && endpoint_list_leader_) {
    endpoint_list_leader_->OnMessage(core::Now(), member, message);
  }
  if (role == coordination::LeaseRole::kZoneState && zone_state_coordinator_) {
    zone_state_coordinator_->OnMessage(core::Now(), member, message);
  }
}

void ClusterService::OnHeartbeatSent(double jitter) {
  if (endpoint_list_leader_) endpoint_list_leader_->Tick(core::Now(), jitter);
  if (zone_state_coordinator_)
    zone_state_coordinator_->Tick(core::Now(), jitter, handlers_.collect_zone_load());
}

void ClusterService::Send(int member, coordination::LeaseRole role,
                          const coordination::CoordinationMessage& message) {
  if (protocol_) protocol_->SendCoordinationMessage(member, role, message);
}

void ClusterService::Close() {
  closed_ = true;
  StopProtocol();
}

void ClusterService::StopProtocol() {
  protocol_.reset();
  zone_state_coordinator_.reset();
  if (!endpoint_list_leader_) return;
  endpoint_list_leader_.reset();
  discovery_.Start();
}

void ClusterService::StartEndpointListLeader() {
  coordination::EndpointListLeader::Times times;
  times.lease.term = peers_->lease_term;
  times.lease.retry_interval = 2 * peers_->heartbeat_interval;
  times.leader_timeout = 2 * peers_->suspect_timeout;
  endpoint_list_leader_.emplace(static_cast<int>(peers_->self), static_cast<int>(peers_->peers.size()), times,
                                core::Now(), static_cast<coordination::FencingToken>(core::Now()),
                                discovery_.revision(),
                                coordination::EndpointListLeader::Handlers{
                                    [this](int to, const coordination::CoordinationMessage& outgoing) {
                                      Send(to, coordination::LeaseRole::kEndpointList, outgoing);
                                    },
                                    handlers_.endpoint_list,
                                    [this](discovery::EndpointList list) {
                                      discovery_.SetRevision(list.revision);
                                      handlers_.on_endpoint_list(std::move(list));
                                    },
                                    [this](bool watch) { watch ? discovery_.Start() : discovery_.Stop(); }});
}

void ClusterService::StartZoneStateCoordinator() {
  coordination::ZoneStateCoordinator::Times times;
  times.lease.term = peers_->lease_term;
  times.lease.retry_interval = 2 * peers_->heartbeat_interval;
  times.evaluator = peers_->zone_health;
  times.proposal_retry_interval = 2 * peers_->heartbeat_interval;
  zone_state_coordinator_.emplace(static_cast<int>(peers_->self), static_cast<int>(peers_->peers.size()),
                                  times, core::Now(), static_cast<coordination::FencingToken>(core::Now()),
                                  coordination::ZoneStateCoordinator::Handlers{
                                      [this](int to, const coordination::CoordinationMessage& outgoing) {
                                        Send(to, coordination::LeaseRole::kZoneState, outgoing);
                                      },
                                      handlers_.on_zone_agreement});
}

void ClusterService::WatchDiscovery() {
  if (!endpoint_list_leader_ || endpoint_list_leader_->watches_discovery()) discovery_.Start();
}

void ClusterService::OnOwnDiscoveryUpdate(const discovery::EndpointList& list) {
  if (endpoint_list_leader_) endpoint_list_leader_->OnDiscoveryUpdate(core::Now(), list);
}

void ClusterService::OnOwnDiscoveryFailure() {
  if (endpoint_list_leader_) endpoint_list_leader_->OnDiscoveryFailed(core::Now());
}

void ClusterService::OnDiscoveryAddressChange(const boost::asio::ip::tcp::endpoint& address) {
  if (endpoint_list_leader_ && address != discovery_.address())
    endpoint_list_leader_->OnDiscoveryReplaced(core::Now());
}

void ClusterService::PrepareShutdown() {
  shutting_down_ = true;
  if (endpoint_list_leader_) endpoint_list_leader_->Stop(core::Now());
  if (zone_state_coordinator_) zone_state_coordinator_->Stop();
}

std::optional<std::string> ClusterService::Status(const Policy::Stats& stats) const {
  if (!protocol_) return std::nullopt;
  nlohmann::json status = protocol_->Status();
  status["shared_among"] = stats.active_gateways;
  status["hosts_used"] = stats.subset;
  if (endpoint_list_leader_) status["list"] = endpoint_list_leader_->Status(core::Now());
  if (zone_state_coordinator_) status["zones"] = zone_state_coordinator_->Status(core::Now());
  return status.dump();
}

}  // namespace meadowyard
