#include "decision/zone_router.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "decision/zone_weights.hpp"

namespace meadowyard::decision {
namespace {

// Attempt counts decay to 1/e of their value in this time.
constexpr Millis kAttemptDecayTimeConstant = 1000;
constexpr double kMillisPerSecond = 1000;

double DecayFactor(Millis updated_at, Millis now) {
  return std::exp((updated_at - now) / kAttemptDecayTimeConstant);
}

}  // namespace

void ZoneRouter::Apply(const ZoneAgreement& agreement) {
  if (!agreement.IsNewerThan(agreement_)) return;
  agreement_ = agreement;
  ComputeWeights();
}

void ZoneRouter::ComputeWeights() {
  ZoneWeights computed = ComputeZoneWeights(settings_.zone_routing, agreement_, settings_.zone);
  weights_ = std::move(computed.weights);
  overflow_share_ = computed.overflow_share;
}

// Only first attempts are routed by zone. A retry may go to any zone: it is not part of the traffic that the
// gateway moves on a failover, and the retry budget limits the volume of all retries.
const std::string* ZoneRouter::ZoneFor(const RequestState& request) const {
  if (!settings_.zone_routing.enabled || request.IsPinned() || !request.IsFirstAttempt()) return nullptr;
  if (weights_.empty()) {
    const auto& records = registry_.records();
    const bool has_endpoint = std::any_of(records.begin(), records.end(), [&](const auto& entry) {
      return entry.second.up && entry.second.info.zone == settings_.zone;
    });
    return has_endpoint ? &settings_.zone : nullptr;
  }
  double cumulative_weight = 0;
  for (const Policy::ZoneWeight& zone : weights_) {
    cumulative_weight += zone.weight;
    if (request.zone_draw < cumulative_weight) return &zone.zone;
  }
  return &weights_.back().zone;  // a newer agreement may have lowered the sum of the weights
}

void ZoneRouter::CountAttempt(const std::string& zone, bool within_objective, Millis now) {
  if (!settings_.zone_routing.enabled) return;
  AttemptCounts& counts = attempts_[zone];
  const double decay_factor = DecayFactor(counts.updated_at, now);
  counts.completed = counts.completed * decay_factor + 1;
  counts.within_objective = counts.within_objective * decay_factor + (within_objective ? 1 : 0);
  counts.updated_at = now;
}

ZoneLoadReport ZoneRouter::CollectLoad(double arrival_rate, Millis now) const {
  std::map<std::string, ZoneLoad> by_zone;
  for (const auto& [id, endpoint] : registry_.records()) {
    if (!endpoint.up) continue;
    ZoneLoad& load = by_zone[endpoint.info.zone];
    load.capacity += endpoint.info.weight;
    // A warming endpoint doesn't count as available: its slow-start credit admits only a few requests, and
    // the others would queue.
    if (!endpoint.outlier.ejected && slow_start_.IsWarm(endpoint, now))
      load.available += endpoint.info.weight;
  }
  for (const auto& [name, counts] : attempts_) {
    const double decay_factor = DecayFactor(counts.updated_at, now);
    by_zone[name].completed = counts.completed * decay_factor;
    by_zone[name].within_objective = counts.within_objective * decay_factor;
  }
  ZoneLoadReport report{.zone = settings_.zone, .arrival_rate = arrival_rate * kMillisPerSecond, .zones = {}};
  for (auto& [name, load] : by_zone) {
    load.zone = name;
    report.zones.push_back(load);
  }
  return report;
}

}  // namespace meadowyard::decision
