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
  if (peers_->share_list) ShareList();
  if (peers_->locality.enabled) ShareZones();
  link_.emplace(io_, *peers_,
                membership::PeerLink::Handlers{
                    handlers_.gossip, handlers_.news,
                    [this](int from, Duty duty, const DutyWord& word) { Heard(from, duty, word); },
                    [this](double chance) { Beat(chance); },
                    [this] { return zones_ ? std::optional(handlers_.sights()) : std::nullopt; },
                    [this](int from, const ZoneLoadReport& sights) {
                      if (zones_) zones_->See(core::Now(), from, sights);
                    }});
}

void ClusterService::Heard(int from, Duty duty, const DutyWord& word) {
  if (duty == Duty::kList && duty_) duty_->Hear(core::Now(), from, word);
  if (duty == Duty::kZones && zones_) zones_->Hear(core::Now(), from, word);
}

void ClusterService::Beat(double chance) {
  if (duty_) duty_->Beat(core::Now(), chance);
  if (zones_) zones_->Beat(core::Now(), chance, handlers_.sights());
}

void ClusterService::Close() {
  link_.reset();
  zones_.reset();
  if (!duty_) return;
  duty_.reset();
  discovery_.Start();
}

void ClusterService::ShareList() {
  ListDuty::Times times;
  times.lease.term = peers_->lease;
  times.lease.patience = 2 * peers_->beat;
  times.stale = 2 * peers_->silent;
  duty_.emplace(static_cast<int>(peers_->self), static_cast<int>(peers_->all.size()), times, core::Now(),
                static_cast<Token>(core::Now()), discovery_.revision(),
                ListDuty::Handlers{[this](int to, const DutyWord& word) {
                                     if (link_) link_->Send(to, Duty::kList, word);
                                   },
                                   handlers_.whole,
                                   [this](discovery::EndpointList list) {
                                     discovery_.SetRevision(list.revision);
                                     handlers_.told(std::move(list));
                                   },
                                   [this](bool on) { on ? discovery_.Start() : discovery_.Stop(); }});
}

void ClusterService::ShareZones() {
  ZoneDuty::Times times;
  times.lease.term = peers_->lease;
  times.lease.patience = 2 * peers_->beat;
  times.judge = peers_->zones;
  times.again = 2 * peers_->beat;
  zones_.emplace(static_cast<int>(peers_->self), static_cast<int>(peers_->all.size()), times, core::Now(),
                 static_cast<Token>(core::Now()),
                 ZoneDuty::Handlers{[this](int to, const DutyWord& word) {
                                      if (link_) link_->Send(to, Duty::kZones, word);
                                    },
                                    handlers_.agreed});
}

void ClusterService::Watch() {
  if (!duty_ || duty_->watches()) discovery_.Start();
}

void ClusterService::Told(const discovery::EndpointList& list) {
  if (duty_) duty_->Told(core::Now(), list);
}

void ClusterService::Failed() {
  if (duty_) duty_->Failed(core::Now());
}

void ClusterService::Moving(const boost::asio::ip::tcp::endpoint& address) {
  if (duty_ && address != discovery_.address()) duty_->Moved(core::Now());
}

void ClusterService::Stopping() {
  if (duty_) duty_->Stopping(core::Now());
  if (zones_) zones_->Stopping();
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
