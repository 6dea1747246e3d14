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

// From failing the remaining requests to the end of the process, so that their answers can be sent.
constexpr Millis kFlushTime = 200;
// Between checks whether another process of this gateway is still running, after a hot restart.
constexpr Millis kSharingCheckInterval = 500;
// From a failed call to discovery to the next one, where discovery pushes lists.
constexpr Millis kDiscoveryRetryDelay = 200;

constexpr std::size_t kMinNonTunnelDescriptors =
    128;  // file descriptors that tunnels must leave for the rest

// The resources for everything but tunnels, which have a separate descriptor budget. Throws EdgeError if
// tunnels leave too few descriptors.
ResourceLimits ResourcesFor(const config::Configuration& config, const EdgeConfig* edge) {
  const std::size_t tunnels = edge != nullptr ? edge->descriptors() : 0;
  if (tunnels > 0 && tunnels + kMinNonTunnelDescriptors > config.max_descriptors) {
    throw EdgeError(edge->path + ": tunnels.most: tunnels and handshakes may hold " +
                    std::to_string(tunnels) + " descriptors, and limits.sockets of the platform's file is " +
                    std::to_string(config.max_descriptors) + ", of which " +
                    std::to_string(kMinNonTunnelDescriptors) + " have to be left");
  }
  return {config.max_descriptors - tunnels, config.memory_limit_mb, config.admin_address.has_value()};
}

ClientLimits ClientLimitsFor(const Budget& budget) {
  ClientLimits limits;
  limits.sessions = budget.client_sessions;
  limits.eviction_threshold = budget.idle_eviction_threshold;
  limits.body_bytes = budget.body_bytes;
  return limits;
}

// The revision from which to watch the discovery of `config`; empty: a complete list is requested first. Each
// discovery service numbers its own lists, so a revision of another one must not be used.
std::optional<std::int64_t> RevisionToWatchFrom(const config::Configuration& config,
                                                const std::optional<operations::HandoverState>& state) {
  if (!state) return config.known_revision;
  const bool same_discovery = discovery::ParseAddress(state->discovery_address) == config.discovery_address;
  return same_discovery && state->revision_known ? std::optional(state->hosts.revision) : std::nullopt;
}

// `start_times` is informed of the list.
EndpointUpdate ToEndpointUpdate(const discovery::EndpointList& list, discovery::StartTimes& start_times) {
  EndpointUpdate update;
  update.kind = list.is_snapshot ? EndpointUpdate::Kind::kSnapshot : EndpointUpdate::Kind::kDelta;
  for (const discovery::EndpointRecord& host : list.endpoints) {
    update.endpoints.push_back(host.endpoint);
    update.endpoints.back().started_at =
        start_times.Estimate(host.endpoint, list.changed_recently, core::Now());
  }
  return update;
}

}  // namespace

Service::Service(asio::io_context& io, const config::Configuration& config,
                 std::optional<operations::PredecessorState> predecessor,
                 std::optional<operations::HandoverState> state, std::shared_ptr<const EdgeConfig> edge)
    : clock_(io),
      config_(config),
      configuration_document_(config.document),
      settings_(config.settings),
      connect_timeout_(config.connect_timeout),
      edge_config_(std::move(edge)),
      predecessor_descriptors_(state ? state->descriptors : 0),
      budget_(ComputeBudget(ResourcesFor(config, edge_config_.get()), predecessor_descriptors_)),
      stall_detector_(io, {[this](Millis since) { return discovery_.PollAgainSince(since); },
                           [this] { hosts_.Resume(); }}),
      hosts_(io, {config.connect_timeout, config.endpoint_idle_timeout, budget_.host_connections},
             {[this](const std::string& host) { return core_.policy().IsEligible(host); },
              [this] { return stall_detector_.IsListCurrent(); },
              [this](const core::AttemptEnd& end) { OnAttemptEnded(end); }}),
      dialer_(io, {config.connect_timeout, 0},
              [this](const std::string& host) { return core_.policy().IsEligible(host); }),
      upstream_(hosts_, dialer_),
      core_(clock_, EffectiveSettings(), config.seed, upstream_,
            {[this] { peers_.WatchDiscovery(); }, [](const Log& entry) { LogDecision(entry); }}),
      discovery_(io, config.discovery_address, RevisionToWatchFrom(config, state),
                 {[this](const discovery::EndpointList& list) { OnDiscoveryUpdate(list); },
                  [this] { OnDiscoveryFailed(); }}),
      peers_(io, discovery_,
             {[this] { return core_.policy().CollectGossip(); },
              [this](MembershipUpdate update) { core_.Report(std::move(update)); },
              [this] { return CurrentEndpointList(); },
              [this](const discovery::EndpointList& list) { ApplyEndpointList(list); },
              [this] { return core_.policy().CollectZoneLoad(); },
              [this](const ZoneAgreement& agreement) { core_.Report(agreement); }}),
      stop_timer_(io),
      discovery_retry_timer_(io),
      sharing_check_timer_(io),
      clients_(io,
               {config.listen_address, config.admin_address.has_value(),
                predecessor ? predecessor->client_listener.release() : -1},
               ClientLimitsFor(budget_),
               {[this] { return has_endpoints_ && !stopping_; }, &EmergencyMemoryReserve::IsAvailable,
                [this](const std::string& name, Idempotency idempotency) {
                  // HTTP requests can't use the tunnels' class.
                  if (edge_config_ && name == edge_config_->tunnel.name)
                    return Policy::Admission::kUnknownClass;
                  return core_.CheckAdmission(name, idempotency);
                },
                [this](core::ClientRequest request) { core_.Submit(std::move(request)); },
                [this](const std::string& id) { core_.OnBodyComplete(id); },
                [this](const std::string& id) { core_.OnClientDisconnected(id); },
                [this](const ConnectionEnd& end) {
                  core_.metrics().OnClientConnectionClosed(ToString(end.reason));
                  end_log_.Write(end);
                }}) {
  if (edge_config_) {
    std::map<std::string, int> inherited_listeners;
    if (predecessor) {
      for (auto& [key, socket] : predecessor->tunnel_listeners) inherited_listeners[key] = socket.release();
    }
    edge_.emplace(io, clock_, edge_config_, settings_, config.connect_timeout, config.seed,
                  DiscoveredPoolForTunnels(), inherited_listeners);
    if (state) {
      for (const std::string& host : state->learned.in_maintenance) edge_->SetMaintenance(host, true);
      for (const std::string& host : state->pool_hosts_in_maintenance) edge_->SetMaintenance(host, true);
    }
  }
  if (config.admin_address) {
    admin_.emplace(io, *config.admin_address, operations::AdminServer::Limits(), *this);
    hot_restart_.emplace(io, config.handover_path,
                         predecessor ? std::move(predecessor->channel) : operations::Descriptor(), *this);
  }
  if (predecessor && predecessor->request_ids)
    ShareRequestIds(operations::SharedRequestIds::Join(std::move(predecessor->request_ids)));
  ApplyEndpointList(state ? state->hosts : config.known_endpoints);
  if (state) core_.Report(std::move(state->learned));
  if (!settings_.polls_endpoints) peers_.WatchDiscovery();
}

std::string Service::SerializeState() {
  operations::HandoverState state;
  state.configuration = configuration_document_->dump();
  state.discovery_address = discovery::FormatAddress(discovery_.address());
  state.revision_known = discovery_.revision().has_value();
  state.hosts.revision = discovery_.revision().value_or(0);
  for (const auto& [id, host] : endpoints_) state.hosts.endpoints.push_back(host);
  state.learned = core_.policy().Snapshot();
  state.edge_configuration = edge_configuration();
  state.peers_configuration = peers_configuration_;
  state.pool_hosts_in_maintenance = PoolHostsInMaintenance();
  state.descriptors = CountDescriptors();
  state.clock_offset = core::ClockOffset();
  return operations::SerializeHandoverState(state);
}

void Service::ConfigurePeers(membership::PeersConfig peers) {
  peers_configuration_ = peers.text;
  subset_size_ = peers.subset_size;
  zone_routing_ = peers.zone_routing;
  peers_.SetPeers(std::move(peers));
  core_.Configure(EffectiveSettings());
}

void Service::OnDiscoveryUpdate(const discovery::EndpointList& list) {
  ApplyEndpointList(list);
  peers_.OnOwnDiscoveryUpdate(list);
  stall_detector_.OnDiscoveryAnswered();
}

discovery::EndpointList Service::CurrentEndpointList() const {
  discovery::EndpointList snapshot;
  for (const auto& [id, host] : endpoints_) snapshot.endpoints.push_back(host);
  return snapshot;
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

int Service::RequestIdTable() {
  if (!request_ids_) ShareRequestIds(operations::SharedRequestIds::Create());
  return request_ids_ ? request_ids_->descriptor() : -1;
}

void Service::ShareRequestIds(std::unique_ptr<operations::SharedRequestIds> request_ids) {
  if (!request_ids) return log::Write(log::Level::kWarn, "request_ids_not_shared");
  request_ids_ = std::move(request_ids);
  core_.ShareRequestIds(request_ids_.get());
  ScheduleSharingCheck();
}

void Service::ScheduleSharingCheck() {
  sharing_check_timer_.expires_after(core::ToDuration(kSharingCheckInterval));
  sharing_check_timer_.async_wait([this](error_code ec) {
    if (ec || !request_ids_) return;
    if (hot_restart_->IsConnected() || request_ids_->HasOtherProcess()) return ScheduleSharingCheck();
    core_.ShareRequestIds(nullptr);
    request_ids_.reset();
  });
}

std::vector<std::string> Service::PoolHostsInMaintenance() {
  return edge_ ? edge_->HostsInMaintenance() : std::vector<std::string>();
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

void Service::OnAttemptEnded(const core::AttemptEnd& end) {
  core_.metrics().OnAttemptEnded(end.reason);
  end_log_.Write(end);
}

void Service::OnSuccessorLost() {
  hosts_.PassIdle(nullptr);
  clients_.ResumeServing();
  peers_.Open();
  if (edge_) edge_->front().ResumeServing();
}

void Service::OnSuccessorEndedFirst() {
  hosts_.PassIdle(nullptr);
  clients_.EndHandOver();
}

void Service::OnPredecessorDescriptors(std::size_t count) {
  if (count == std::exchange(predecessor_descriptors_, count)) return;
  budget_ = ComputeBudget(ResourcesFor(config_, edge_config_.get()), predecessor_descriptors_);
  clients_.SetSessionLimits(budget_.client_sessions, budget_.idle_eviction_threshold);
  hosts_.SetMaxConnections(budget_.host_connections);
  core_.Configure(EffectiveSettings());
}

void Service::Reload(const config::Configuration& config) {
  const Settings effective = EffectiveSettings(config.settings);
  try {
    core_.Configure(effective);
    peers_.OnDiscoveryAddressChange(config.discovery_address);
    discovery_.SetAddress(config.discovery_address);
  } catch (...) {
    core_.Configure(EffectiveSettings());
    throw;
  }
  settings_ = config.settings;
  configuration_document_ = config.document;
  connect_timeout_ = config.connect_timeout;
  hosts_.SetTimes(config.connect_timeout, config.endpoint_idle_timeout);
}

void Service::ReportConfiguration(const config::ResolvedConfiguration& resolved) {
  core_.metrics().OnConfigurationInForce(
      {.settings_source = config::ToString(resolved.document_source),
       .discovery_address = discovery::FormatAddress(resolved.configuration.discovery_address),
       .discovery_source = config::ToString(resolved.discovery_source)});
  if (!resolved.rejection.empty()) core_.metrics().OnConfigurationRejected(resolved.rejection);
}

void Service::OnConfigurationRejected(const std::string& reason) {
  core_.metrics().OnConfigurationRead(false);
  core_.metrics().OnConfigurationRejected(reason);
}

void Service::ReplicateConfiguration(const ReloadedFiles& reloaded) {
  if (!hot_restart_) return;
  operations::ConfigurationChange change;
  if (reloaded.settings) {
    change.configuration = configuration_document_->dump();
    change.discovery_address = discovery::FormatAddress(discovery_.address());
  }
  if (reloaded.edge) change.edge_configuration = edge_configuration();
  if (reloaded.peers) change.peers_configuration = peers_configuration_;
  hot_restart_->ReplicateConfiguration(change);
}

void Service::OnConfigurationChanged(const std::optional<operations::ConfigurationChange>& change) {
  if (on_configuration_changed_) on_configuration_changed_(change);
}

void Service::RequireCompatible(const config::Configuration& config, const EdgeConfig& edge) {
  ResourcesFor(config, &edge);
  EdgeService::AddTunnelClass(config.settings, edge);
}

Settings Service::EffectiveSettings(const Settings& configured) const {
  // Limits the attempts in flight to the connections that the descriptor budget allows.
  Settings settings = edge_config_ ? EdgeService::AddTunnelClass(configured, *edge_config_) : configured;
  settings.max_attempts_in_flight = static_cast<int>(budget_.host_connections);
  settings.subset_size = subset_size_;
  settings.zone_routing = zone_routing_;
  return settings;
}

EdgeService::DiscoveredPool Service::DiscoveredPoolForTunnels() {
  return {&core_, &dialer_,
          [this] { return has_endpoints_ && !stopping_ && EmergencyMemoryReserve::IsAvailable(); },
          [this](const std::string& host) { return IneligibilityReason(host); }};
}

std::string Service::IneligibilityReason(const std::string& host) const {
  if (core_.policy().IsEligible(host)) return "";
  const auto record = endpoints_.find(host);
  if (record == endpoints_.end()) return "gone";
  return record->second.endpoint.state == EndpointState::kDraining ? "draining" : "out by hand";
}

void Service::ReloadEdge(std::shared_ptr<const EdgeConfig> edge) {
  ResourcesFor(config_, edge.get());
  EdgeService::AddTunnelClass(settings_, *edge);
  edge_->Reload(edge, settings_, connect_timeout_);
  edge_config_ = std::move(edge);
  budget_ = ComputeBudget(ResourcesFor(config_, edge_config_.get()), predecessor_descriptors_);
  core_.Configure(EffectiveSettings());
}

std::string Service::MetricsJson() { return core_.metrics().ToJson(core_.policy().CollectStats()); }

std::optional<std::string> Service::TunnelsJson() {
  return edge_ ? std::optional(edge_->front().Status().dump()) : std::nullopt;
}

bool Service::CloseTunnel(std::uint64_t id) { return edge_ && edge_->front().CloseOne(id); }

std::optional<std::string> Service::PeersJson() { return peers_.Status(core_.policy().CollectStats()); }

bool Service::ChangeMaintenance(const operations::MaintenanceChange& change) {
  const bool known = core_.policy().IsKnown(change.host_id) || (edge_ && edge_->HasHost(change.host_id));
  if (!known) return false;
  ApplyMaintenance(change, /*even_if_unknown=*/false);
  hot_restart_->ReplicateMaintenance(change);
  return true;
}

// The other process knew the host when the operator called. Discovery may have removed it before this process
// got its first list, and may list it again.
void Service::OnMaintenanceChanged(const operations::MaintenanceChange& change) {
  ApplyMaintenance(change, /*even_if_unknown=*/true);
}

void Service::ApplyMaintenance(const operations::MaintenanceChange& change, bool even_if_unknown) {
  if (change.in_maintenance) {
    core_.Report(MaintenanceStarted{change.host_id, even_if_unknown});
    hosts_.CloseIdleConnections(change.host_id);
  } else {
    core_.Report(MaintenanceEnded{change.host_id});
  }
  if (edge_) edge_->SetMaintenance(change.host_id, change.in_maintenance);
}

void Service::ApplyEndpointList(const discovery::EndpointList& list) {
  hosts_.Update(list);  // first, so that nothing more is sent by the old list
  dialer_.Update(list);
  if (list.is_snapshot) endpoints_.clear();
  for (const discovery::EndpointRecord& host : list.endpoints) {
    if (host.endpoint.state == EndpointState::kRemoved) {
      endpoints_.erase(host.endpoint.id);
    } else {
      endpoints_[host.endpoint.id] = host;
    }
  }
  has_endpoints_ = has_endpoints_ || !list.endpoints.empty();
  core_.Report(ToEndpointUpdate(list, start_times_));
  if (edge_) edge_->front().HostsChanged();
  if (has_endpoints_ && hot_restart_) hot_restart_->StartServing();
}

void Service::OnDiscoveryFailed() {
  peers_.OnOwnDiscoveryFailure();
  core_.Report(EndpointUpdate{EndpointUpdate::Kind::kFailed, {}});
  if (settings_.polls_endpoints) return;  // the decision module schedules the next poll
  discovery_retry_timer_.expires_after(core::ToDuration(kDiscoveryRetryDelay));
  discovery_retry_timer_.async_wait([this](error_code ec) {
    if (!ec) peers_.WatchDiscovery();
  });
}

// The platform sends SIGKILL 700 ms after the longest deadline of the classes, counted from SIGTERM. A
// deadline above 3 s counts as 3 s.
void Service::Stop(std::function<void()> done) {
  Millis longest_deadline = 0;
  for (const TrafficClassSettings& traffic_class : settings_.classes)
    longest_deadline = std::max(longest_deadline, traffic_class.deadline);
  const Millis shortened_by = 3000 - std::min(3000.0, longest_deadline);
  StopTimes times;
  times.answer_until = std::max(times.accept_until, times.answer_until - shortened_by);
  times.serve_until = std::max(times.accept_until, times.serve_until - shortened_by);
  Stop(std::move(done), times);
}

void Service::Stop(std::function<void()> on_stopped, StopTimes times) {
  if (std::exchange(stopping_, true)) return;
  peers_.PrepareShutdown();
  // The servers of clients and of tunnels each call `done` once they are drained; the last call ends the
  // stop. Tunnels that are open after `answer_until` are closed and not waited for.
  const auto draining_servers = std::make_shared<int>(edge_ ? 2 : 1);
  const std::function<void()> done = [draining_servers, on_stopped = std::move(on_stopped)] {
    if (--*draining_servers == 0) on_stopped();
  };
  const auto run_after = [this](Millis delay, auto action) {
    stop_timer_.expires_after(core::ToDuration(delay));
    stop_timer_.async_wait([action = std::move(action)](error_code) { action(); });
  };
  const auto end = [draining_servers, done] {
    if (*draining_servers == 0) return;
    *draining_servers = 1;
    done();
  };
  // Ends once the answers that are being streamed are delivered. Hosts and clients that stop are given up by
  // the time limits of their connections.
  const auto await_streams = [this, run_after, end] {
    const std::size_t streams = clients_.CountStreamedAnswers();
    if (streams == 0) return end();
    log::Write(log::Level::kInfo, "stop_awaits_answers", {{"count", std::to_string(streams)}});
    clients_.AwaitStreamedAnswers(end);
    run_after(core::kMaxBodyTime, end);
  };
  const auto fail_remaining = [this, run_after, await_streams] {
    hosts_.StreamBegunResponses();
    core_.FailAll();
    if (edge_) edge_->FailAll();
    run_after(kFlushTime, await_streams);
  };
  const auto drain = [this, run_after, done, times, fail_remaining] {
    clients_.Drain(done);
    if (edge_) edge_->front().Drain(done);
    run_after(times.answer_until - times.serve_until, fail_remaining);
  };
  // The successor accepts new connections. This process only answers the requests that it has accepted.
  if (hot_restart_ && hot_restart_->successor_serving()) {
    clients_.LeaveListener();
    clients_.Drain(done);
    if (edge_) edge_->front().Drain(done);
    return run_after(times.answer_until, fail_remaining);
  }
  run_after(times.accept_until, [this, run_after, times, drain] {
    clients_.StopListening();
    run_after(times.serve_until - times.accept_until, drain);
  });
}

}  // namespace meadowyard::app
