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
  link_.emplace(io_, *peers_,
                membership::PeerLink::Handlers{
                    handlers_.gossip, handlers_.news,
                    [this](int from, coordination::LeaseRole duty,
                           const coordination::CoordinationMessage& word) { Heard(from, duty, word); },
                    [this](double chance) { Beat(chance); },
                    [this] { return zones_ ? std::optional(handlers_.sights()) : std::nullopt; },
                    [this](int from, const ZoneLoadReport& sights) {
                      if (zones_) zones_->OnLoadReport(core::Now(), from, sights);
                    }});
}

void ClusterService::Heard(int from, coordination::LeaseRole duty,
                           const coordination::CoordinationMessage& word) {
  if (duty == coordination::LeaseRole::kEndpointList && duty_) duty_->OnMessage(core::Now(), from, word);
  if (duty == coordination::LeaseRole::kZoneState && zones_) zones_->OnMessage(core::Now(), from, word);
}

void ClusterService::Beat(double chance) {
  if (duty_) duty_->Tick(core::Now(), chance);
  if (zones_) zones_->Tick(core::Now(), chance, handlers_.sights());
}

void ClusterService::Close() {
  link_.reset();
  zones_.reset();
  if (!duty_) return;
  duty_.reset();
  discovery_.Start();
}

void ClusterService::ShareList() {
  coordination::EndpointListLeader::Times times;
  times.lease.term = peers_->lease_term;
  times.lease.retry_interval = 2 * peers_->heartbeat_interval;
  times.stale = 2 * peers_->suspect_timeout;
  duty_.emplace(static_cast<int>(peers_->self), static_cast<int>(peers_->peers.size()), times, core::Now(),
                static_cast<coordination::FencingToken>(core::Now()), discovery_.revision(),
                coordination::EndpointListLeader::Handlers{
                    [this](int to, const coordination::CoordinationMessage& word) {
                      if (link_) link_->Send(to, coordination::LeaseRole::kEndpointList, word);
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
  times.again = 2 * peers_->heartbeat_interval;
  zones_.emplace(static_cast<int>(peers_->self), static_cast<int>(peers_->peers.size()), times, core::Now(),
                 static_cast<coordination::FencingToken>(core::Now()),
                 coordination::ZoneStateCoordinator::Handlers{
                     [this](int to, const coordination::CoordinationMessage& word) {
                       if (link_) link_->Send(to, coordination::LeaseRole::kZoneState, word);
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
  if (!link_) return std::nullopt;
  nlohmann::json status = link_->Status();
  status["shared_among"] = census.active_gateways;
  status["hosts_used"] = census.subset;
  if (duty_) status["list"] = duty_->Status(core::Now());
  if (zones_) status["zones"] = zones_->Status(core::Now());
  return status.dump();
}

}  // namespace meadowyard
