#include "app/service.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "app/decision_log.hpp"
#include "app/emergency_memory_reserve.hpp"
#include "core/clock.hpp"
#include "log/log.hpp"

namespace meadowyard::app {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr Millis kFlush = 200;     // for the last answers to leave
constexpr Millis kAskAgain = 200;  // where lists are pushed: from a call that failed to the next

constexpr std::size_t kLeastSockets = 128;  // that tunnels have to leave for everything else

// Tunnels have descriptors of their own, which nothing else is given.
ResourceLimits MeansOf(const config::Configuration& config, const EdgeConfig* edge) {
  const std::size_t tunnels = edge != nullptr ? edge->descriptors() : 0;
  if (tunnels > 0 && tunnels + kLeastSockets > config.max_descriptors) {
    throw EdgeError(edge->path + ": tunnels.most: tunnels and handshakes may hold " +
                    std::to_string(tunnels) + " descriptors, and limits.sockets of the platform's file is " +
                    std::to_string(config.max_descriptors) + ", of which " + std::to_string(kLeastSockets) +
                    " have to be left");
  }
  return {config.max_descriptors - tunnels, config.memory_limit_mb, config.admin_address.has_value()};
}

ClientLimits LimitsFor(const Budget& budget) {
  ClientLimits limits;
  limits.sessions = budget.client_sessions;
  limits.usual = budget.idle_eviction_threshold;
  limits.body_bytes = budget.body_bytes;
  return limits;
}

EndpointUpdate ToNews(const discovery::EndpointList& list) {
  EndpointUpdate news;
  news.kind = list.is_snapshot ? EndpointUpdate::Kind::kSnapshot : EndpointUpdate::Kind::kDelta;
  for (const discovery::EndpointRecord& host : list.endpoints) news.endpoints.push_back(host.endpoint);
  return news;
}

}  // namespace

Service::Service(asio::io_context& io, const config::Configuration& config,
                 std::optional<operations::PredecessorState> predecessor,
                 std::optional<operations::HandoverState> state, std::shared_ptr<const EdgeConfig> edge)
    : clock_(io),
      config_(config),
      file_(config.document),
      settings_(config.settings),
      edge_file_(std::move(edge)),
      others_(state ? state->descriptors : 0),
      budget_(ComputeBudget(MeansOf(config, edge_file_.get()), others_)),
      stall_detector_(io, {[this](Millis since) { return discovery_.PollAgainSince(since); },
                           [this] { hosts_.Resume(); }}),
      hosts_(io, {config.connect_timeout, config.endpoint_idle_timeout, budget_.host_connections},
             {[this](const std::string& host) { return core_.policy().IsEligible(host); },
              [this] { return stall_detector_.IsListCurrent(); }}),
      dialer_(io, {config.connect_timeout, 0},
              [this](const std::string& host) { return core_.policy().IsEligible(host); }),
      upstream_(hosts_, dialer_),
      core_(clock_, Fitted(), config.seed, upstream_,
            {[this] { peers_.Watch(); }, [](const Log& entry) { LogDecision(entry); }}),
      discovery_(
          io, config.discovery_address,
          !state                  ? std::optional(config.known_endpoints.revision)
          : state->revision_known ? std::optional(state->hosts.revision)
                                  : std::nullopt,
          {[this](const discovery::EndpointList& list) { ToldByDiscovery(list); }, [this] { ListFailed(); }}),
      peers_(io, discovery_,
             {[this] { return core_.policy().CollectGossip(); },
              [this](MembershipUpdate news) { core_.Report(std::move(news)); },
              [this] { return WholeList(); }, [this](const discovery::EndpointList& list) { Told(list); },
              [this] { return core_.policy().CollectZoneLoad(); },
              [this](const ZoneAgreement& zones) { core_.Report(zones); }}),
      stop_(io),
      ask_again_(io),
      clients_(io,
               {config.listen_address, config.admin_address.has_value(),
                predecessor ? predecessor->client_listener.release() : -1},
               LimitsFor(budget_),
               {[this] { return listed_ && !stopping_; }, &EmergencyMemoryReserve::IsAvailable,
                [this](const std::string& name, Idempotency effect) {
                  // Requests are never of the tunnels' class.
                  if (edge_file_ && name == edge_file_->tunnel.name) return Policy::Admission::kUnknownClass;
                  return core_.CheckAdmission(name, effect);
                },
                [this](core::ClientRequest request) { core_.Submit(std::move(request)); },
                [this](const std::string& id) { core_.OnBodyComplete(id); },
                [this](const std::string& id) { core_.OnClientDisconnected(id); }}) {
  if (edge_file_) {
    std::map<std::string, int> doors;
    if (predecessor) {
      for (auto& [key, socket] : predecessor->tunnel_listeners) doors[key] = socket.release();
    }
    edge_.emplace(io, clock_, edge_file_, settings_, config.connect_timeout, config.seed, FleetForTunnels(),
                  doors);
  }
  if (config.admin_address) {
    admin_.emplace(io, *config.admin_address, operations::AdminServer::Limits(), *this);
    hot_restart_.emplace(io, config.handover_path,
                         predecessor ? std::move(predecessor->channel) : operations::Descriptor(), *this);
  }
  Told(state ? state->hosts : config.known_endpoints);
  if (state) core_.Report(std::move(state->learned));
  if (!settings_.polls_endpoints) peers_.Watch();
}

std::string Service::SerializeState() {
  operations::HandoverState state;
  state.configuration = file_->dump();
  state.discovery_address = discovery::FormatAddress(discovery_.address());
  state.revision_known = discovery_.revision().has_value();
  state.hosts.revision = discovery_.revision().value_or(0);
  for (const auto& [id, host] : list_) state.hosts.endpoints.push_back(host);
  state.learned = core_.policy().Snapshot();
  if (edge_) state.edge_configuration = edge_->config().text;
  state.descriptors = CountDescriptors();
  return operations::SerializeHandoverState(state);
}

void Service::KnowPeers(membership::PeersConfig peers) {
  subset_ = peers.subset_size;
  locality_ = peers.zone_routing;
  peers_.Know(std::move(peers));
  core_.Configure(Fitted());
}

void Service::ToldByDiscovery(const discovery::EndpointList& list) {
  Told(list);
  peers_.Told(list);
  stall_detector_.OnDiscoveryAnswered();
}

discovery::EndpointList Service::WholeList() const {
  discovery::EndpointList whole;
  for (const auto& [id, host] : list_) whole.endpoints.push_back(host);
  return whole;
}

int Service::ClientListener() { return clients_.listener(); }

std::vector<operations::TunnelListener> Service::TunnelListeners() {
  std::vector<operations::TunnelListener> listeners;
  if (!edge_) return listeners;
  for (const auto& [name, descriptor] : edge_->front().listeners()) {
    listeners.push_back({.name = name, .descriptor = descriptor});
  }
  return listeners;
}

std::size_t Service::CountDescriptors() {
  return clients_.sessions() + hosts_.connections() + kInternalSockets;
}

void Service::AdoptClientConnection(std::string_view unread, operations::Descriptor connection) {
  clients_.Adopt(connection.release(), unread);
}

void Service::AdoptHostConnection(const operations::HostConnectionInfo& info,
                                  operations::Descriptor connection) {
  hosts_.Adopt(info.host_id, info.address, connection.release());
}

void Service::AdoptTunnel(std::string_view state, operations::Descriptor client,
                          operations::Descriptor host) {
  if (edge_) edge_->front().Adopt(client.release(), host.release(), state);
}

void Service::OnSuccessorServing() {
  peers_.Close();
  clients_.HandOver([this](int socket, std::string_view unread) {
    return hot_restart_->PassClientConnection(unread, socket);
  });
  hosts_.PassIdle([this](const std::string& host, const asio::ip::tcp::endpoint& address, int socket) {
    return hot_restart_->PassHostConnection({.host_id = host, .address = address}, socket);
  });
  if (!edge_) return;
  edge_->front().HandOver([this](int client, int host, std::string_view text) {
    return hot_restart_->PassTunnel(text, client, host);
  });
}

void Service::OnSuccessorLost() {
  hosts_.PassIdle(nullptr);
  clients_.TakeBack();
  peers_.Open();
  if (edge_) edge_->front().ResumeServing();
}

void Service::OnPredecessorDescriptors(std::size_t count) {
  if (count == std::exchange(others_, count)) return;
  budget_ = ComputeBudget(MeansOf(config_, edge_file_.get()), others_);
  clients_.SetPlaces(budget_.client_sessions, budget_.idle_eviction_threshold);
  hosts_.SetMost(budget_.host_connections);
  core_.Configure(Fitted());
}

void Service::Reload(const config::Configuration& config) {
  if (edge_file_)
    EdgeService::WithTunnels(config.settings, *edge_file_);  // throws before anything is changed
  file_ = config.document;
  settings_ = config.settings;
  hosts_.SetTimes(config.connect_timeout, config.endpoint_idle_timeout);
  core_.metrics().OnConfigurationRead(true);
  core_.Configure(Fitted());
  peers_.Moving(config.discovery_address);
  discovery_.SetAddress(config.discovery_address);
}

Settings Service::Fitted() const {
  // The module is told how many attempts there are descriptors for.
  Settings settings = edge_file_ ? EdgeService::WithTunnels(settings_, *edge_file_) : settings_;
  settings.max_attempts_in_flight = static_cast<int>(budget_.host_connections);
  settings.subset_size = subset_;
  settings.zone_routing = locality_;
  return settings;
}

EdgeService::Fleet Service::FleetForTunnels() {
  return {&core_, &dialer_, [this] { return listed_ && !stopping_ && EmergencyMemoryReserve::IsAvailable(); },
          [this](const std::string& host) { return Unusable(host); }};
}

std::string Service::Unusable(const std::string& host) const {
  if (core_.policy().IsEligible(host)) return "";
  const auto listed = list_.find(host);
  if (listed == list_.end()) return "gone";
  return listed->second.endpoint.state == EndpointState::kDraining ? "draining" : "out by hand";
}

void Service::ReloadEdge(std::shared_ptr<const EdgeConfig> edge) {
  MeansOf(config_, edge.get());
  EdgeService::WithTunnels(settings_, *edge);
  edge_->Reload(edge, settings_, config_.connect_timeout);
  edge_file_ = std::move(edge);
  budget_ = ComputeBudget(MeansOf(config_, edge_file_.get()), others_);
  core_.Configure(Fitted());
}

std::string Service::MetricsJson() { return core_.metrics().ToJson(core_.policy().CollectStats()); }

std::optional<std::string> Service::TunnelsJson() {
  return edge_ ? std::optional(edge_->front().Status().dump()) : std::nullopt;
}

bool Service::CloseTunnel(std::uint64_t id) { return edge_ && edge_->front().CloseOne(id); }

std::optional<std::string> Service::PeersJson() { return peers_.Status(core_.policy().CollectStats()); }

bool Service::ChangeMaintenance(const operations::MaintenanceChange& change) {
  const bool known = core_.policy().IsKnown(change.host_id) || (edge_ && edge_->Knows(change.host_id));
  if (!known) return false;
  OnMaintenanceChanged(change);
  hot_restart_->ReplicateMaintenance(change);
  return true;
}

void Service::OnMaintenanceChanged(const operations::MaintenanceChange& change) {
  if (change.in_maintenance) {
    core_.Report(MaintenanceStarted{change.host_id});
    hosts_.Rest(change.host_id);
  } else {
    core_.Report(MaintenanceEnded{change.host_id});
  }
  if (edge_) edge_->Maintained(change.host_id, change.in_maintenance);
}

void Service::Told(const discovery::EndpointList& list) {
  hosts_.Update(list);  // first: nothing may be sent by the old list any more
  dialer_.Update(list);
  if (list.is_snapshot) list_.clear();
  for (const discovery::EndpointRecord& host : list.endpoints) {
    if (host.endpoint.state == EndpointState::kRemoved) {
      list_.erase(host.endpoint.id);
    } else {
      list_[host.endpoint.id] = host;
    }
  }
  listed_ = listed_ || !list.endpoints.empty();
  core_.Report(ToNews(list));
  if (edge_) edge_->front().HostsChanged();
  if (listed_ && hot_restart_) hot_restart_->StartServing();
}

void Service::ListFailed() {
  peers_.Failed();
  core_.Report(EndpointUpdate{EndpointUpdate::Kind::kFailed, {}});
  if (settings_.polls_endpoints) return;  // the policy says when to ask again
  ask_again_.expires_after(core::ToDuration(kAskAgain));
  ask_again_.async_wait([this](error_code ec) {
    if (!ec) peers_.Watch();
  });
}

// SIGKILL comes 700 ms after the longest deadline, which counts as 3 s where it is longer.
void Service::Stop(std::function<void()> done) {
  Millis longest = 0;
  for (const TrafficClassSettings& c : settings_.classes) longest = std::max(longest, c.deadline);
  const Millis sooner = 3000 - std::min(3000.0, longest);
  StopTimes times;
  times.answer = std::max(times.accept, times.answer - sooner);
  times.serve = std::max(times.accept, times.serve - sooner);
  Stop(std::move(done), times);
}

void Service::Stop(std::function<void()> finished, StopTimes times) {
  if (std::exchange(stopping_, true)) return;
  peers_.Stopping();
  // Clients and tunnels, whichever are last; tunnels are not waited for beyond the time of the answers.
  const auto left = std::make_shared<int>(edge_ ? 2 : 1);
  const std::function<void()> done = [left, finished = std::move(finished)] {
    if (--*left == 0) finished();
  };
  const auto after = [this](Millis wait, auto next) {
    stop_.expires_after(core::ToDuration(wait));
    stop_.async_wait([next = std::move(next)](error_code) { next(); });
  };
  const auto fail_rest = [this, after, left, done] {
    core_.FailAll();
    if (edge_) edge_->FailAll();
    after(kFlush, [left, done] {
      *left = 1;
      done();
    });
  };
  const auto drain = [this, after, done, times, fail_rest] {
    clients_.Drain(done);
    if (edge_) edge_->front().Drain(done);
    after(times.answer - times.serve, fail_rest);
  };
  // The next process takes what comes; here only what was taken is finished.
  if (hot_restart_ && hot_restart_->successor_serving()) {
    clients_.Drain(done);
    if (edge_) edge_->front().Drain(done);
    return after(times.answer, fail_rest);
  }
  after(times.accept, [this, after, times, drain] {
    clients_.StopListening();
    after(times.serve - times.accept, drain);
  });
}

}  // namespace meadowyard::app
