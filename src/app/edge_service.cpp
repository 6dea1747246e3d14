#include "app/edge_service.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "app/decision_log.hpp"
#include "log/log.hpp"

namespace meadowyard::app {
namespace {

// The settings of a pool whose hosts the operators' file lists. It has one class and no tenants. The
// gateway has no information about other gateways in front of these hosts.
Settings PoolSettings(const Settings& platform, const EdgeConfig& config) {
  Settings tunnel_settings = platform;
  tunnel_settings.classes = {config.tunnel};
  tunnel_settings.tenants.clear();
  tunnel_settings.polls_endpoints = false;
  tunnel_settings.max_attempts_in_flight = 0;
  tunnel_settings.max_tunnels_per_endpoint = config.limits.most_per_host;
  tunnel_settings.load_report_fields.clear();
  tunnel_settings.key_affinity = false;
  tunnel_settings.can_cancel_attempts = true;
  return tunnel_settings;
}

std::optional<ParentAccess> ToParentAccess(const std::optional<ParentProxy>& parent) {
  if (!parent) return std::nullopt;
  return ParentAccess{parent->protocol == TunnelProtocol::kSocks5, parent->address, parent->user,
                      parent->password};
}

discovery::EndpointList ToEndpointList(const EdgePool& pool) {
  discovery::EndpointList list;
  list.endpoints = pool.hosts;
  return list;
}

}  // namespace

struct EdgeService::Pool {
  Pool(boost::asio::io_context& io, core::Clock& clock, const Settings& settings, std::uint64_t seed,
       TunnelDialer::Times times)
      : dialer(io, times, [this](const std::string& host) { return core.policy().IsEligible(host); }),
        core(clock, settings, seed, dialer, {[] {}, [](const Log& entry) { LogDecision(entry); }}) {}

  void Update(const EdgePool& spec) {
    dialer.SetParent(ToParentAccess(spec.parent));
    const discovery::EndpointList list = ToEndpointList(spec);
    dialer.Update(list);
    EndpointUpdate update;
    for (const discovery::EndpointRecord& host : list.endpoints) update.endpoints.push_back(host.endpoint);
    core.Report(std::move(update));
  }

  bool empty() const { return core.empty() && adopted_tunnels == 0; }

  TunnelDialer dialer;
  core::Gateway core;
  int adopted_tunnels = 0;  // tunnels that the predecessor process opened
};

EdgeService::EdgeService(boost::asio::io_context& io, core::Clock& clock,
                         std::shared_ptr<const EdgeConfig> config, const Settings& settings,
                         Millis connect_timeout, std::uint64_t seed, DiscoveredPool discovered_pool,
                         const std::map<std::string, int>& inherited_listeners)
    : io_(io),
      clock_(clock),
      config_(std::move(config)),
      seed_(seed),
      connect_timeout_(connect_timeout),
      discovered_pool_(std::move(discovered_pool)),
      front_(io, config_, Handlers()) {
  Apply(*config_, settings);
  front_.Listen(config_, inherited_listeners);
  for (const std::string& warning : config_->warnings)
    log::Write(log::Level::kWarn, "edge_warning", {{"text", warning}});
}

EdgeService::~EdgeService() = default;

Settings EdgeService::AddTunnelClass(Settings settings, const EdgeConfig& config) {
  const bool uses_discovered_pool = std::any_of(config.pools.begin(), config.pools.end(),
                                                [](const EdgePool& pool) { return pool.discovered; });
  const bool class_name_taken = std::any_of(
      settings.classes.begin(), settings.classes.end(),
      [&](const TrafficClassSettings& traffic_class) { return traffic_class.name == config.tunnel.name; });
  if (class_name_taken) {
    throw EdgeError(config.path + ": tunnels.class: '" + config.tunnel.name +
                    "' is a class of the platform's settings");
  }
  if (uses_discovered_pool) settings.classes.push_back(config.tunnel);
  if (uses_discovered_pool) settings.max_tunnels_per_endpoint = config.limits.most_per_host;
  return settings;
}

void EdgeService::Apply(const EdgeConfig& config, const Settings& settings) {
  const TunnelDialer::Times times{connect_timeout_, config.limits.parent};
  for (const EdgePool& spec : config.pools) {
    if (spec.discovered) {
      discovered_pool_.dialer->SetTimes(times);
      discovered_pool_.dialer->SetParent(ToParentAccess(spec.parent));
      continue;
    }
    auto& pool = pools_[spec.name];
    const Settings pool_settings = PoolSettings(settings, config);
    if (!pool) {
      pool = std::make_unique<Pool>(io_, clock_, pool_settings, seed_ ^ std::hash<std::string>()(spec.name),
                                    times);
    } else {
      pool->core.Configure(pool_settings);
      pool->dialer.SetTimes(times);
    }
    pool->Update(spec);
    for (const std::string& host : in_maintenance_) pool->core.Report(MaintenanceStarted{host});
  }
  for (auto it = pools_.begin(); it != pools_.end();) {
    const EdgePool* const spec = config.FindPool(it->first);
    if (spec != nullptr && !spec->discovered) {
      ++it;
    } else if (it->second->empty()) {
      it = pools_.erase(it);
    } else {
      it++->second->Update({});  // without hosts it gets no new tunnels, and its open ones are closed
    }
  }
}

void EdgeService::Reload(std::shared_ptr<const EdgeConfig> config, const Settings& settings,
                         Millis connect_timeout) {
  front_.Listen(config);  // first, because it is the only step that can fail
  connect_timeout_ = connect_timeout;
  config_ = std::move(config);
  Apply(*config_, settings);
  front_.Configure(config_);
  for (const std::string& warning : config_->warnings)
    log::Write(log::Level::kWarn, "edge_warning", {{"text", warning}});
}

core::Gateway* EdgeService::FindCore(const std::string& pool) {
  if (const auto found = pools_.find(pool); found != pools_.end()) return &found->second->core;
  const EdgePool* const spec = config_->FindPool(pool);
  return spec != nullptr && spec->discovered ? discovered_pool_.core : nullptr;
}

TunnelServer::Handlers EdgeService::Handlers() {
  return {[this] { return discovered_pool_.is_ready(); },
          [this](const Route& route, core::ClientRequest request) {
            if (core::Gateway* const core = FindCore(route.pool)) return core->Submit(std::move(request));
            core::Answer answer;  // a reload removed the pool during the client's handshake
            answer.kind = core::Answer::Kind::kRejected;
            request.on_answer(std::move(answer));
          },
          [this](const std::string& pool, const std::string& id) {
            if (core::Gateway* const core = FindCore(pool)) core->OnClientDisconnected(id);
          },
          [this](const std::string& pool, const std::string& host) -> std::string {
            core::Gateway* const core = FindCore(pool);
            if (core == nullptr) return "gone";
            if (core == discovered_pool_.core) return discovered_pool_.ineligibility_reason(host);
            if (core->policy().IsEligible(host)) return "";
            const EdgePool* const spec = config_->FindPool(pool);
            const bool is_listed =
                spec != nullptr && std::any_of(spec->hosts.begin(), spec->hosts.end(),
                                               [&](const discovery::EndpointRecord& record) {
                                                 return record.endpoint.id == host;
                                               });
            return is_listed ? "out by hand" : "gone";
          },
          [this](const std::string& pool, const std::string& host) -> std::function<void(core::TunnelEnd)> {
            core::Gateway* const core = FindCore(pool);
            if (core == nullptr) return [](core::TunnelEnd) {};
            const auto found = pools_.find(pool);
            int* const adopted_tunnels = found == pools_.end() ? nullptr : &found->second->adopted_tunnels;
            if (adopted_tunnels != nullptr) ++*adopted_tunnels;
            return [adopted_tunnels,
                    on_closed = core->AdoptTunnel(config_->tunnel.name, host)](core::TunnelEnd end) {
              on_closed(end);
              if (adopted_tunnels != nullptr) --*adopted_tunnels;
            };
          },
          [](const std::string& event, const std::vector<std::pair<std::string, std::string>>& fields) {
            log::Write(log::Level::kInfo, event, fields);
          }};
}

bool EdgeService::HasHost(const std::string& host) const {
  return std::any_of(pools_.begin(), pools_.end(),
                     [&](const auto& entry) { return entry.second->core.policy().IsKnown(host); });
}

std::vector<std::string> EdgeService::HostsInMaintenance() const {
  std::vector<std::string> hosts;
  std::copy_if(in_maintenance_.begin(), in_maintenance_.end(), std::back_inserter(hosts),
               [this](const std::string& host) { return HasHost(host); });
  return hosts;
}

void EdgeService::SetMaintenance(const std::string& host, bool in_maintenance) {
  if (in_maintenance) {
    in_maintenance_.insert(host);
  } else {
    in_maintenance_.erase(host);
  }
  for (auto& [name, pool] : pools_) {
    if (!pool->core.policy().IsKnown(host)) continue;
    if (in_maintenance) {
      pool->core.Report(MaintenanceStarted{host});
    } else {
      pool->core.Report(MaintenanceEnded{host});
    }
  }
  front_.HostsChanged();
}

void EdgeService::FailAll() {
  for (auto& [name, pool] : pools_) pool->core.FailAll();
  front_.CloseAll("shutdown");
}

}  // namespace meadowyard::app
