#include "decision/decision_engine.hpp"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>
#include <variant>

#include "decision/settings_validation.hpp"

namespace meadowyard::decision {
namespace {

constexpr Millis kSweepInterval = 10;  // ms between two runs of Sweep
constexpr const char* kSweepTimer = "sweep";
// ms that one sweep adds to the observation time of warm endpoints at most: the time since the last sweep is
// meaningless at the first sweep, and too long after the process was paused.
constexpr Millis kMaxTimePerSweep = 10000;
constexpr double kGoldenRatioFraction = 0.6180339887498949;  // fractional part of the golden ratio

Settings Validated(Settings settings) {
  ValidateSettings(settings);
  return settings;
}

// The position of a gateway's subset on the ring of endpoints, from 0 to 1. Multiples of the golden ratio
// spread gateways with consecutive indices evenly over the ring; a gateway without an index starts at random.
double RingPosition(int gateway_index, RandomSource& random) {
  return gateway_index < 0 ? random.Uniform() : std::fmod(gateway_index * kGoldenRatioFraction, 1.0);
}

}  // namespace

DecisionEngine::DecisionEngine(Settings settings, std::uint64_t seed)
    : settings_(Validated(std::move(settings))),
      random_(seed),
      membership_(settings_),
      subset_(settings_, membership_, registry_, RingPosition(settings_.gateway_index, random_)),
      tracker_(settings_, membership_, subset_, registry_, random_, *this),
      poll_schedule_(settings_, random_),
      zones_(settings_, registry_, tracker_.slow_start()),
      quotas_(membership_),
      rate_(membership_, subset_, registry_, actions_),
      balancer_(settings_, registry_, tracker_, subset_, classes_, zones_, random_),
      queues_(classes_, balancer_, zones_),
      requests_({.settings = settings_,
                 .random = random_,
                 .actions = actions_,
                 .subset = subset_,
                 .tracker = tracker_,
                 .zones = zones_,
                 .balancer = balancer_,
                 .classes = classes_,
                 .queues = queues_,
                 .quotas = quotas_,
                 .rate = rate_,
                 .arrivals = arrival_rate_}) {
  ApplySettings();
}

void DecisionEngine::Handle(Millis now, const Event& event, std::vector<Action>& actions) {
  actions_.WriteTo(actions);
  AdvanceClock(now);
  if (!std::exchange(started_, true)) Sweep();
  std::visit([this](const auto& concrete_event) { OnEvent(concrete_event); }, event);
  requests_.DispatchQueued(now_);
}

void DecisionEngine::AdvanceClock(Millis now) {
  Millis elapsed = 0;
  if (started_) {
    elapsed = std::max(0.0, now - now_);  // also 0 if `now` is NaN
    now_ = std::max(now_, now);
  } else {
    now_ = std::isfinite(now) ? now : 0;
  }
  rate_.Advance(now_, elapsed);
  arrival_rate_.Decay(elapsed);
}

// Keeps the estimates of each class and the quota that each tenant has used.
void DecisionEngine::ApplySettings() {
  tracker_.Configure();
  classes_.Configure(settings_.classes, TotalPriorityWeight(settings_), now_);
  quotas_.Configure(settings_.tenants);
}

void DecisionEngine::Sweep() {
  actions_.Emit(SetTimer{kSweepInterval, kSweepTimer});
  if (poll_schedule_.TakeDue(now_)) actions_.Emit(PollEndpoints{});
  const Millis elapsed = std::min(kMaxTimePerSweep, now_ - std::exchange(last_sweep_at_, now_));
  tracker_.slow_start().LearnReferenceRate(registry_, elapsed, arrival_rate_.per_ms(), now_);
  requests_.ExpireQueued(now_);
}

EndpointRegistry::RestartHandler DecisionEngine::MakeRestartHandler() {
  return [this](EndpointRecord& endpoint, Millis started_at) { tracker_.Reset(endpoint, started_at, now_); };
}

void DecisionEngine::OnEvent(const EndpointUpdate& event) {
  if (event.kind == EndpointUpdate::Kind::kFailed) {
    poll_schedule_.OnFailure(now_);
    return;
  }
  poll_schedule_.OnSuccess();
  registry_.Apply(event, now_, MakeRestartHandler());
  subset_.Select();
}

void DecisionEngine::OnEvent(const MaintenanceStarted& event) {
  if (!registry_.StartMaintenance(event.endpoint, event.even_if_unknown)) return;
  actions_.LogLimited({.event = Log::Event::kMaintenanceStarted, .endpoint = event.endpoint}, now_);
  subset_.Select();
}

void DecisionEngine::OnEvent(const MaintenanceEnded& event) {
  if (!registry_.EndMaintenance(event.endpoint, now_, MakeRestartHandler())) return;
  actions_.LogLimited({.event = Log::Event::kMaintenanceEnded, .endpoint = event.endpoint}, now_);
  subset_.Select();
}

void DecisionEngine::OnEvent(const SettingsChanged& event) {
  ValidateSettings(event.settings);  // throws before anything is changed
  settings_ = event.settings;
  ApplySettings();
  zones_.Configure();
  subset_.Select();
}

void DecisionEngine::OnEvent(const TunnelCountChanged& event) {
  EndpointRecord* const endpoint = registry_.Find(event.endpoint);
  if (endpoint != nullptr) endpoint->tunnels = std::max(0, endpoint->tunnels + event.delta);
}

void DecisionEngine::OnEvent(const MembershipUpdate& event) {
  if (membership_.Apply(event, now_)) subset_.Select();
  tracker_.ApplyGossip(event.gossip, now_);
}

void DecisionEngine::OnEjected(const EndpointRecord& endpoint) {
  actions_.LogLimited({.event = Log::Event::kEndpointEjected, .endpoint = endpoint.info.id}, now_);
  subset_.Select();
}

void DecisionEngine::OnRestored(const EndpointRecord& endpoint) {
  actions_.LogLimited({.event = Log::Event::kEndpointRestored, .endpoint = endpoint.info.id}, now_);
  subset_.Select();
}

bool DecisionEngine::IsEligible(const std::string& endpoint, const std::string& request) const {
  const EndpointRecord* const record = registry_.Find(endpoint);
  return record != nullptr && record->up && requests_.IsAllowed(request, *record, now_);
}

Policy::Admission DecisionEngine::CheckAdmission(Millis now, const std::string& class_name,
                                                 Idempotency idempotency) const {
  if (classes_.Find(class_name, idempotency, now) != nullptr) return Policy::Admission::kAccepted;
  const bool is_known = classes_.Find(class_name, std::nullopt, now) != nullptr;
  return is_known ? Policy::Admission::kIdempotencyMismatch : Policy::Admission::kUnknownClass;
}

Policy::Stats DecisionEngine::CollectStats() const {
  Policy::Stats stats;
  stats.open_requests = static_cast<int>(requests_.open_count());
  stats.queued = static_cast<int>(queues_.size());
  stats.active_gateways = membership_.active();
  for (const auto& [id, endpoint] : registry_.records()) {
    stats.in_flight += endpoint.in_flight;
    stats.tunnels += endpoint.tunnels;
    if (endpoint.in_subset) ++stats.subset;
    if (!endpoint.listed) continue;
    ++stats.endpoints;
    if (!endpoint.up || endpoint.outlier.ejected) ++stats.unavailable;
  }
  return stats;
}

LearnedState DecisionEngine::Snapshot() const {
  LearnedState state;
  registry_.Save(state);
  tracker_.Save(state);
  classes_.Save(state);
  rate_.Save(state);
  arrival_rate_.Save(state);
  return state;
}

void DecisionEngine::OnEvent(const LearnedState& event) {
  registry_.Restore(event);
  tracker_.Restore(event);
  classes_.Restore(event, now_);
  rate_.Restore(event);
  arrival_rate_.Restore(event);
  subset_.Select();
}

}  // namespace meadowyard::decision
