#include "decision/load_balancer.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <utility>

#include "decision/hashing.hpp"

namespace meadowyard::decision {
namespace {

// Factor on the cost of an endpoint in another zone, because traffic between zones is billed.
constexpr double kCrossZoneCostFactor = 1.3;
// Weight of the latency of an endpoint's kind, in samples of the endpoint's own latency.
constexpr double kKindLatencySamples = 2;

}  // namespace

LoadBalancer::LoadBalancer(const Settings& settings, EndpointRegistry& registry, EndpointTracker& tracker,
                           const SubsetSelector& subset, const TrafficClassTable& classes,
                           const ZoneRouter& zones, RandomSource& random)
    : settings_(settings),
      registry_(registry),
      tracker_(tracker),
      subset_(subset),
      classes_(classes),
      zones_(zones),
      random_(random) {}

double LoadBalancer::CostOf(const EndpointRecord& endpoint) const {
  // Where many gateways share an endpoint, each has only a few samples of its latency, so the estimate is
  // shrunk toward the latency of the endpoint's kind.
  const LatencyEstimate& kind = endpoint.kind->latency;
  const double kind_samples = subset_.IsHeavilyShared() && kind.smoothed > 0 ? kKindLatencySamples : 0;
  const double own_samples = std::min(1.0 * endpoint.latency.samples, 1 / kLatencyWeight);
  const double samples = own_samples + kind_samples;
  double latency =
      (own_samples * endpoint.latency.smoothed + kind_samples * kind.smoothed) / std::max(1.0, samples);
  if (samples <= 0) {
    const double median = registry_.MedianLatency();
    latency = median > 0 ? median : 1;
  }
  const double zone_factor = endpoint.info.zone == settings_.zone ? 1 : kCrossZoneCostFactor;
  return zone_factor * (endpoint.in_flight + endpoint.tunnels + 1) * latency;
}

bool LoadBalancer::IsAllowed(const RequestState& request, const EndpointRecord& endpoint, Millis now) const {
  const TrafficClassSettings& settings = classes_[request.class_index].settings;
  if (settings.idempotency != Idempotency::kIdempotencyKey) return true;
  const AttemptState* const first = request.FirstPossiblyExecuted();
  if (first == nullptr || first->is_in_flight) return true;  // not executed, or still in flight
  if (now - first->started_at >= settings.dedup_window) return false;
  const Endpoint& executing_endpoint = first->endpoint->info;
  switch (settings.dedup_scope) {
    case DedupScope::kAll: return true;
    case DedupScope::kZone: return executing_endpoint.zone == endpoint.info.zone;
    case DedupScope::kCell: return executing_endpoint.cell == endpoint.info.cell;
  }
  return false;
}

bool LoadBalancer::IsSelectable(const RequestState& request, const EndpointRecord& endpoint,
                                const std::string* zone, Millis now) const {
  if (!endpoint.up) return false;
  if (request.IsPinned()) {  // its endpoint may be outside the subset, or the last one tried
    if (!IsHashOf(request.pinned_endpoint, endpoint.hash)) return false;
  } else {
    const bool was_last_tried = !request.attempts.empty() && request.attempts.back().endpoint == &endpoint;
    if (!endpoint.in_subset || was_last_tried) return false;
  }
  if (!IsAllowed(request, endpoint, now)) return false;
  const int occupied = endpoint.tunnels + endpoint.in_flight;
  const int max_tunnels = settings_.max_tunnels_per_endpoint;
  if (request.is_tunnel && max_tunnels > 0 && occupied >= max_tunnels) return false;
  if (zone == nullptr || endpoint.info.zone == *zone) return true;
  // Ejected endpoints of the gateway's own zone are probed even while requests are routed to other zones:
  // there may be no other gateway that sends requests to them and would notice their recovery.
  return endpoint.outlier.ejected && endpoint.info.zone == settings_.zone;
}

LoadBalancer::Scan LoadBalancer::FindCandidates(const RequestState& request, double untimely_share,
                                                Millis now) {
  const Idempotency idempotency = classes_[request.class_index].settings.idempotency;
  const bool may_probe = idempotency == Idempotency::kIdempotent && request.IsFirstAttempt();
  const std::string* const zone = zones_.ZoneFor(request);
  Scan scan;
  candidates_.clear();
  for (auto& [id, endpoint] : registry_.records()) {
    if (!IsSelectable(request, endpoint, zone, now)) continue;
    if (endpoint.outlier.ejected) {
      if (tracker_.IsProbeDue(endpoint, now)) scan.probe = &endpoint;
      scan.probe_chosen = may_probe && scan.probe != nullptr;
      if (scan.probe_chosen) return scan;
      continue;
    }
    scan.found_not_ejected = true;
    if (tracker_.IsReady(endpoint, request.within_quota, untimely_share, now)) {
      candidates_.push_back({.rank = 0, .endpoint = &endpoint});
    }
  }
  return scan;
}

// An ejected endpoint is sent one request at a time as its health probe. This is an idempotent request, as it
// may have to be retried elsewhere. Where all endpoints are ejected, any request may be the probe on its
// first attempt: otherwise traffic without idempotent requests would never restore an endpoint.
EndpointRecord* LoadBalancer::Pick(const RequestState& request, double untimely_share, Millis now) {
  const Scan scan = FindCandidates(request, untimely_share, now);
  if (scan.probe_chosen) return scan.probe;
  if (candidates_.empty()) {
    const bool may_probe = !scan.found_not_ejected && request.IsFirstAttempt();
    return may_probe ? scan.probe : nullptr;
  }
  if (!request.IsFirstAttempt() && request.attempts.back().was_unreachable) {
    RemoveCandidatesOfZone(request.attempts.back().endpoint->info.zone);
  }
  if (candidates_.size() > 2) MoveTwoChoicesToFront(request);
  EndpointRecord* const first = candidates_.front().endpoint;
  EndpointRecord* const second = candidates_.size() > 1 ? candidates_[1].endpoint : first;
  return CostOf(*second) < CostOf(*first) ? second : first;
}

// In a failed zone one connection after another fails. So the retry after a failed connection goes to another
// zone if that has a candidate.
void LoadBalancer::RemoveCandidatesOfZone(const std::string& zone) {
  const auto first_in_zone =
      std::partition(candidates_.begin(), candidates_.end(),
                     [&](const Candidate& candidate) { return candidate.endpoint->info.zone != zone; });
  if (first_in_zone != candidates_.begin()) candidates_.erase(first_in_zone, candidates_.end());
}

void LoadBalancer::MoveTwoChoicesToFront(const RequestState& request) {
  if (!settings_.key_affinity || request.key == 0) {
    const std::size_t count = candidates_.size();
    std::swap(candidates_[0], candidates_[random_.Index(count)]);
    std::swap(candidates_[1], candidates_[1 + random_.Index(count - 1)]);
    return;
  }
  // Weighted rendezvous hashing: adding or removing an endpoint moves only the keys of that endpoint.
  for (Candidate& candidate : candidates_) {
    const EndpointRecord& endpoint = *candidate.endpoint;
    candidate.rank = -std::log(UnitFraction(request.key ^ endpoint.hash)) / endpoint.info.weight;
  }
  std::partial_sort(candidates_.begin(), candidates_.begin() + 2, candidates_.end(),
                    [](const Candidate& left, const Candidate& right) { return left.rank < right.rank; });
}

}  // namespace meadowyard::decision
