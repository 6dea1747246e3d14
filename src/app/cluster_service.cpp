#include "app/cluster_service.hpp"

#include <nlohmann/json.hpp>
#include <utility>

#include "core/clock.hpp"

namespace meadowyard {

ClusterService::ClusterService(boost::asio::io_context& io, discovery::DiscoveryClient& discovery,
                               Handlers handlers)
    : io_(io), discovery_(discovery), handlers_(std::move(handlers)) {}

void ClusterService::Know(membership::PeersConfig peers) {
  peers_ = std::move(peers);
  Open();
}

void ClusterService::Open() {
  if (!peers_) return;
  Close();  // first: its address is free then
  if (peers_->shares_endpoint_list) ShareList();
  if (peers_->zone_routing.enabled) ShareZones();
  Delegate& delegate = *this;  // a private base: only this class can convert to it
  protocol_.emplace(io_, *peers_, delegate);
}

Gossip ClusterService::CollectGossip() { return handlers_.gossip(); }

std::optional<ZoneLoadReport> ClusterService::CollectZoneLoad() {
  if (!zones_) return std::nullopt;
  return handlers_.sights();
}

void ClusterService::OnMembershipUpdate(MembershipUpdate update) { handlers_.news(std::move(update)); }

void ClusterService::OnZoneLoad(int member, const ZoneLoadReport& report) {
  if (zones_) zones_->OnLoadReport(core::Now(), member, report);
}

void ClusterService::OnCoordinationMessage(int member, coordination::LeaseRole role,
                                           const coordination::CoordinationMessage& message) {
  if (role == coordination::LeaseRole::kEndpointList && duty_) {
    duty_->OnMessage(core::Now(), member, message);
  }
  if (role == coordination::LeaseRole::kZoneState && zones_) {
    zones_->OnMessage(core::Now(), member, message);
  }
}

void ClusterService::OnHeartbeatSent(double jitter) {
  if (duty_) duty_->Tick(core::Now(), jitter);
  if (zones_) zones_->Tick(core::Now(), jitter, handlers_.sights());
}

void ClusterService::Send(int member, coordination::LeaseRole role,
                          const coordination::CoordinationMessage& message) {
  if (protocol_) protocol_->SendCoordinationMessage(member, role, message);
}

void ClusterService::Close() {
  protocol_.reset();
  zones_.reset();
  if (!duty_) return;
  duty_.reset();
  discovery_.Start();
}

void ClusterService::ShareList() {
  coordination::EndpointListLeader::Times times;
  times.lease.term = peers_->lease_term;
  times.lease.retry_interval = 2 * peers_->heartbeat_interval;
  times.leader_timeout = 2 * peers_->suspect_timeout;
  duty_.emplace(static_cast<int>(peers_->self), static_cast<int>(peers_->peers.size()), times, core::Now(),
                static_cast<coordination::FencingToken>(core::Now()), discovery_.revision(),
                coordination::EndpointListLeader::Handlers{
                    [this](int to, const coordination::CoordinationMessage& word) {
                      Send(to, coordination::LeaseRole::kEndpointList, word);
                    },
                    handlers_.whole,
                    [this](discovery::EndpointList list) {
                      discovery_.SetRevision(list.revision);
                      handlers_.told(std::move(list));
                    },
                    [this](bool on) { on ? discovery_.Start() : discovery_.Stop(); }});
}

void ClusterService::ShareZones() {
  coordination::ZoneStateCoordinator::Times times;
  times.lease.term = peers_->lease_term;
  times.lease.retry_interval = 2 * peers_->heartbeat_interval;
  times.evaluator = peers_->zone_health;
  times.proposal_retry_interval = 2 * peers_->heartbeat_interval;
  zones_.emplace(static_cast<int>(peers_->self), static_cast<int>(peers_->peers.size()), times, core::Now(),
                 static_cast<coordination::FencingToken>(core::Now()),
                 coordination::ZoneStateCoordinator::Handlers{
                     [this](int to, const coordination::CoordinationMessage& word) {
                       Send(to, coordination::LeaseRole::kZoneState, word);
                     },
                     handlers_.agreed});
}

void ClusterService::Watch() {
  if (!duty_ || duty_->watches_discovery()) discovery_.Start();
}

void ClusterService::Told(const discovery::EndpointList& list) {
  if (duty_) duty_->OnDiscoveryUpdate(core::Now(), list);
}

void ClusterService::Failed() {
  if (duty_) duty_->OnDiscoveryFailed(core::Now());
}

void ClusterService::Moving(const boost::asio::ip::tcp::endpoint& address) {
  if (duty_ && address != discovery_.address()) duty_->OnDiscoveryReplaced(core::Now());
}

void ClusterService::Stopping() {
  if (duty_) duty_->Stop(core::Now());
  if (zones_) zones_->Stop();
}

std::optional<std::string> ClusterService::Status(const Policy::Stats& census) const {
  if (!protocol_) return std::nullopt;
  nlohmann::json status = protocol_->Status();
  status["shared_among"] = census.active_gateways;
  status["hosts_used"] = census.subset;
  if (duty_) status["list"] = duty_->Status(core::Now());
  if (zones_) status["zones"] = zones_->Status(core::Now());
  return status.dump();
}

}  // namespace meadowyard
