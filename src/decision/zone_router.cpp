#include "decision/zone_router.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "decision/zone_weights.hpp"

namespace meadowyard::decision {
namespace {

constexpr Millis kAttemptMemory = 1000;  // ms over which what is seen of a zone fades
constexpr double kMillisPerSecond = 1000;

double RemainingShare(Millis updated_at, Millis now) { return std::exp((updated_at - now) / kAttemptMemory); }

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

// A retry is no failover of its gateway: it may go anywhere, and the retry budget bounds them all.
const std::string* ZoneRouter::ZoneFor(const RequestState& request) const {
  if (!settings_.zone_routing.enabled || request.IsPinned() || !request.IsFirstAttempt()) return nullptr;
  if (weights_.empty()) {
    const auto& records = registry_.records();
    const bool has_endpoint = std::any_of(records.begin(), records.end(), [&](const auto& entry) {
      return entry.second.up && entry.second.info.zone == settings_.zone;
    });
    return has_endpoint ? &settings_.zone : nullptr;
  }
  double upper_bound = 0;
  for (const Policy::ZoneWeight& zone : weights_) {
    upper_bound += zone.weight;
    if (request.zone_draw < upper_bound) return &zone.zone;
  }
  return &weights_.back().zone;  // the agreement is newer than the request
}

void ZoneRouter::CountAttempt(const std::string& zone, bool within_objective, Millis now) {
  if (!settings_.zone_routing.enabled) return;
  AttemptCounts& counts = attempts_[zone];
  const double remaining = RemainingShare(counts.updated_at, now);
  counts.completed = counts.completed * remaining + 1;
  counts.within_objective = counts.within_objective * remaining + (within_objective ? 1 : 0);
  counts.updated_at = now;
}

ZoneLoadReport ZoneRouter::CollectLoad(double arrival_rate, Millis now) const {
  std::map<std::string, ZoneLoad> by_zone;
  for (const auto& [id, endpoint] : registry_.records()) {
    if (!endpoint.up) continue;
    ZoneLoad& load = by_zone[endpoint.info.zone];
    load.capacity += endpoint.info.weight;
    // An endpoint counts once it is warm: until then its credit lets little through, and the rest would wait.
    if (!endpoint.outlier.ejected && slow_start_.IsWarm(endpoint, now))
      load.available += endpoint.info.weight;
  }
  for (const auto& [name, counts] : attempts_) {
    const double remaining = RemainingShare(counts.updated_at, now);
    by_zone[name].completed = counts.completed * remaining;
    by_zone[name].within_objective = counts.within_objective * remaining;
  }
  ZoneLoadReport report{.zone = settings_.zone, .arrival_rate = arrival_rate * kMillisPerSecond, .zones = {}};
  for (auto& [name, load] : by_zone) {
    load.zone = name;
    report.zones.push_back(load);
  }
  return report;
}

}  // namespace meadowyard::decision
