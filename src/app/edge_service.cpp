#include "app/edge_service.hpp"

#include <algorithm>
#include <utility>

#include "app/decision_log.hpp"
#include "log/log.hpp"

namespace meadowyard::app {
namespace {

// A pool of the file's own has one class, no tenants and nobody else in front of it that is known of.
Settings PoolSettings(const Settings& platform, const EdgeConfig& config) {
  Settings s = platform;
  s.classes = {config.tunnel};
  s.tenants.clear();
  s.polls_endpoints = false;
  s.max_attempts_in_flight = 0;
  s.max_tunnels_per_endpoint = config.limits.most_per_host;
  s.load_report_fields.clear();
  s.key_affinity = false;
  s.can_cancel_attempts = true;
  return s;
}

std::optional<ParentAccess> AccessOf(const std::optional<ParentProxy>& parent) {
  if (!parent) return std::nullopt;
  return ParentAccess{parent->protocol == TunnelProtocol::kSocks5, parent->address, parent->user,
                      parent->password};
}

discovery::EndpointList ListOf(const EdgePool& pool) {
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
    dialer.SetParent(AccessOf(spec.parent));
    const discovery::EndpointList list = ListOf(spec);
    dialer.Update(list);
    EndpointUpdate news;
    for (const discovery::EndpointRecord& host : list.endpoints) news.endpoints.push_back(host.endpoint);
    core.Report(std::move(news));
  }

  bool empty() const { return core.empty() && adopted == 0; }

  TunnelDialer dialer;
  core::Gateway core;
  int adopted = 0;  // tunnels that the process before this one opened
};

EdgeService::EdgeService(boost::asio::io_context& io, core::Clock& clock,
                         std::shared_ptr<const EdgeConfig> config, const Settings& settings, Millis dial,
                         std::uint64_t seed, Fleet fleet, const std::map<std::string, int>& inherited)
    : io_(io),
      clock_(clock),
      config_(std::move(config)),
      seed_(seed),
      dial_(dial),
      fleet_(std::move(fleet)),
      front_(io, config_, Handlers()) {
  Apply(*config_, settings);
  front_.Listen(config_, inherited);
  for (const std::string& warning : config_->warnings)
    log::Write(log::Level::kWarn, "edge_warning", {{"text", warning}});
}

EdgeService::~EdgeService() = default;

Settings EdgeService::WithTunnels(Settings settings, const EdgeConfig& config) {
  const bool used = std::any_of(config.pools.begin(), config.pools.end(),
                                [](const EdgePool& pool) { return pool.discovered; });
  const bool taken = std::any_of(settings.classes.begin(), settings.classes.end(),
                                 [&](const TrafficClassSettings& c) { return c.name == config.tunnel.name; });
  if (taken) {
    throw EdgeError(config.path + ": tunnels.class: '" + config.tunnel.name +
                    "' is a class of the platform's settings");
  }
  if (used) settings.classes.push_back(config.tunnel);
  if (used) settings.max_tunnels_per_endpoint = config.limits.most_per_host;
  return settings;
}

void EdgeService::Apply(const EdgeConfig& config, const Settings& settings) {
  const TunnelDialer::Times times{dial_, config.limits.parent};
  for (const EdgePool& spec : config.pools) {
    if (spec.discovered) {
      fleet_.dialer->SetTimes(times);
      fleet_.dialer->SetParent(AccessOf(spec.parent));
      continue;
    }
    auto& pool = pools_[spec.name];
    const Settings own = PoolSettings(settings, config);
    if (!pool) {
      pool = std::make_unique<Pool>(io_, clock_, own, seed_ ^ std::hash<std::string>()(spec.name), times);
    } else {
      pool->core.Configure(own);
      pool->dialer.SetTimes(times);
    }
    pool->Update(spec);
  }
  for (auto it = pools_.begin(); it != pools_.end();) {
    const EdgePool* const spec = config.FindPool(it->first);
    if (spec != nullptr && !spec->discovered) {
      ++it;
    } else if (it->second->empty()) {
      it = pools_.erase(it);
    } else {
      it++->second->Update({});  // nothing new goes there, and its tunnels end
    }
  }
}

void EdgeService::Reload(std::shared_ptr<const EdgeConfig> config, const Settings& settings, Millis dial) {
  front_.Listen(config);  // the one step that can fail
  dial_ = dial;
  config_ = std::move(config);
  Apply(*config_, settings);
  front_.Configure(config_);
  for (const std::string& warning : config_->warnings)
    log::Write(log::Level::kWarn, "edge_warning", {{"text", warning}});
}

core::Gateway* EdgeService::CoreOf(const std::string& pool) {
  if (const auto found = pools_.find(pool); found != pools_.end()) return &found->second->core;
  const EdgePool* const spec = config_->FindPool(pool);
  return spec != nullptr && spec->discovered ? fleet_.core : nullptr;
}

TunnelServer::Handlers EdgeService::Handlers() {
  return {[this] { return fleet_.ready(); },
          [this](const Route& route, core::ClientRequest request) {
            if (core::Gateway* const core = CoreOf(route.pool)) return core->Submit(std::move(request));
            core::Answer answer;  // the pool went with a reload while the client spoke
            answer.kind = core::Answer::Kind::kRejected;
            request.on_answer(std::move(answer));
          },
          [this](const std::string& pool, const std::string& id) {
            if (core::Gateway* const core = CoreOf(pool)) core->OnClientDisconnected(id);
          },
          [this](const std::string& pool, const std::string& host) -> std::string {
            core::Gateway* const core = CoreOf(pool);
            if (core == nullptr) return "gone";
            if (core == fleet_.core) return fleet_.unusable(host);
            if (core->policy().IsEligible(host)) return "";
            const EdgePool* const spec = config_->FindPool(pool);
            const bool listed = spec != nullptr && std::any_of(spec->hosts.begin(), spec->hosts.end(),
                                                               [&](const discovery::EndpointRecord& h) {
                                                                 return h.endpoint.id == host;
                                                               });
            return listed ? "out by hand" : "gone";
          },
          [this](const std::string& pool, const std::string& host) -> std::function<void(core::TunnelEnd)> {
            core::Gateway* const core = CoreOf(pool);
            if (core == nullptr) return [](core::TunnelEnd) {};
            const auto found = pools_.find(pool);
            int* const adopted = found == pools_.end() ? nullptr : &found->second->adopted;
            if (adopted != nullptr) ++*adopted;
            return [adopted, closed = core->AdoptTunnel(config_->tunnel.name, host)](core::TunnelEnd end) {
              closed(end);
              if (adopted != nullptr) --*adopted;
            };
          },
          [](const std::string& event, const std::vector<std::pair<std::string, std::string>>& fields) {
            log::Write(log::Level::kInfo, event, fields);
          }};
}

bool EdgeService::Knows(const std::string& host) const {
  return std::any_of(pools_.begin(), pools_.end(),
                     [&](const auto& entry) { return entry.second->core.policy().IsKnown(host); });
}

void EdgeService::Maintained(const std::string& host, bool out) {
  for (auto& [name, pool] : pools_) {
    if (!pool->core.policy().IsKnown(host)) continue;
    if (out) {
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
