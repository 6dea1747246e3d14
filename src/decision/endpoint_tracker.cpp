#include "decision/endpoint_tracker.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace meadowyard::decision {
namespace {

// Where many gateways share an endpoint, requests over quota are sent only while the untimely share of recent
// outcomes is below this.
constexpr double kMaxUntimelyShareForOverQuota = 0.1;
// Time in ms by which a reported start of an endpoint has to be later than the known one to count as another
// start.
constexpr Millis kMinRestartInterval = 500;
constexpr std::size_t kMaxGossipEntries = 32;  // in each list of a Gossip message

}  // namespace

EndpointTracker::EndpointTracker(const Settings& settings, const GatewayMembership& membership,
                                 const SubsetSelector& subset, EndpointRegistry& registry,
                                 RandomSource& random, EjectionObserver& observer)
    : settings_(settings),
      subset_(subset),
      registry_(registry),
      reports_(membership),
      limiter_(settings, subset, reports_, random),
      outliers_(membership, subset, random, observer),
      slow_start_(settings, membership, random) {}

void EndpointTracker::Reset(EndpointRecord& endpoint, Millis started_at, Millis now) {
  slow_start_.Reset(endpoint, started_at, now);
  limiter_.Reset(endpoint);
  LoadReportTracker::Reset(endpoint);
  OutlierDetector::Reset(endpoint);
}

void EndpointTracker::OnOutcome(EndpointRecord& endpoint, const AttemptOutcome& outcome,
                                double relative_class_latency, Millis now) {
  if (outcome.result == AttemptResult::kRejected) {
    limiter_.PauseAfterRejection(endpoint, now);
    outliers_.OnRejected(endpoint, now);
    return;
  }
  const AttemptEvidence evidence = OutlierDetector::Classify(endpoint, outcome, now);
  if (evidence.served && slow_start_.IsWarm(endpoint, now)) slow_start_.CountWarmAnswer();
  outliers_.CountOutcome(endpoint, evidence, now);
  if (evidence.served && endpoint.outlier.ejected) {
    OnProbeServed(endpoint, now);
  } else {
    outliers_.EjectIfFailing(endpoint, evidence, now);
  }
  const double latency = outcome.latency / relative_class_latency;
  // A failure never lowers the latency estimate, because fast errors would make the endpoint look fast. A
  // lost connection, or a time-out while the endpoint answered other requests, is left out: the request or
  // its answer was lost on the network, so the elapsed time is not the endpoint's latency. Limitation: where
  // most requests of a slow endpoint time out, only its few late answers raise the estimate.
  const bool is_slow_failure =
      !evidence.slow_request && !evidence.connection_lost && latency > endpoint.latency.smoothed;
  if (evidence.served || is_slow_failure) limiter_.Measure(endpoint, latency, evidence.served);
  limiter_.OnAttemptEnded(endpoint, outcome.latency, now);
}

void EndpointTracker::OnProbeServed(EndpointRecord& endpoint, Millis now) {
  outliers_.OnProbeServed(endpoint, now);
  if (endpoint.outlier.connection_failed) Reset(endpoint, now, now);
  if (!endpoint.outlier.ejected) outliers_.Restore(endpoint, now);
}

// Where many gateways share an endpoint, the concurrency limit of each gateway would be a fraction of a
// request and learned from too few samples. There only the tokens of the RateController limit what is sent.
// Requests over quota take tokens like all others, so they are sent only while few outcomes are untimely.
bool EndpointTracker::IsReady(EndpointRecord& endpoint, bool within_quota, double untimely_share,
                              Millis now) {
  const bool has_capacity = subset_.IsHeavilyShared()
                                ? within_quota || untimely_share < kMaxUntimelyShareForOverQuota
                                : limiter_.HasCapacity(endpoint, within_quota, now);
  return has_capacity && slow_start_.HasCredit(endpoint, now);
}

bool EndpointTracker::IsProbeDue(EndpointRecord& endpoint, Millis now) {
  return OutlierDetector::IsProbeDue(endpoint, now) && slow_start_.HasCredit(endpoint, now);
}

void EndpointTracker::ApplyGossip(const Gossip& gossip, Millis now) {
  for (const Gossip::Start& start : gossip.started) {
    EndpointRecord* const endpoint = registry_.Find(start.endpoint);
    if (endpoint == nullptr) continue;
    // Only a start later than the known one counts. Older starts are still reported, because endpoint lists
    // arrive late and stalled gateways report even later; and the start times differ by the gateways' clocks.
    const bool is_known = start.started_at < endpoint->slow_start.started_at + kMinRestartInterval;
    const bool is_warm = now - start.started_at >= settings_.slow_start_duration;
    if (is_known || is_warm) continue;
    Reset(*endpoint, std::min(start.started_at, now), now);
  }
  for (const std::string& id : gossip.recovered) {
    if (EndpointRecord* const endpoint = registry_.Find(id)) outliers_.OnRecoveryHint(*endpoint, now);
  }
}

// Reports only starts that service discovery has confirmed. A gateway also presumes a restart after
// connection failures; if it reported that, an endpoint that only this gateway can't reach would be in slow
// start at every gateway.
Gossip EndpointTracker::CollectGossip(Millis now) const {
  Gossip gossip;
  for (const auto& [id, endpoint] : registry_.records()) {
    const SlowStartState& state = endpoint.slow_start;
    const bool has_started = state.start_confirmed && !slow_start_.IsWarm(endpoint, now);
    if (has_started && gossip.started.size() < kMaxGossipEntries) {
      gossip.started.push_back({.endpoint = id, .started_at = state.started_at});
    }
    const bool has_recovered = OutlierDetector::WasRestoredRecently(endpoint, now);
    if (has_recovered && gossip.recovered.size() < kMaxGossipEntries) gossip.recovered.push_back(id);
  }
  return gossip;
}

void EndpointTracker::Save(LearnedState& state) const {
  for (const auto& [id, endpoint] : registry_.records()) {
    if (!endpoint.listed) continue;
    state.endpoints.push_back({.id = id,
                               .latency = endpoint.latency.smoothed,
                               .average_latency = endpoint.latency.average,
                               .uncongested_latency = endpoint.latency.uncongested,
                               .concurrency_limit = endpoint.concurrency.limit,
                               .failure_rate = endpoint.outlier.failure_rate,
                               .samples = endpoint.latency.samples,
                               .ejected = endpoint.outlier.ejected,
                               .connection_failed = endpoint.outlier.connection_failed,
                               .last_served_at = endpoint.outlier.last_served_at,
                               .started_at = endpoint.slow_start.started_at,
                               .slow_start_credit = endpoint.slow_start.credit});
  }
  outliers_.Save(state);
  slow_start_.Save(state);
}

void EndpointTracker::Restore(const LearnedState& state) {
  for (const LearnedState::OfEndpoint& learned : state.endpoints) {
    EndpointRecord* const endpoint = registry_.Find(learned.id);
    if (endpoint == nullptr) continue;
    endpoint->latency = {.smoothed = learned.latency,
                         .average = learned.average_latency,
                         .uncongested = learned.uncongested_latency,
                         .samples = learned.samples};
    if (learned.concurrency_limit > 0) {
      endpoint->concurrency.limit = learned.concurrency_limit;
      endpoint->concurrency.slots = std::max(1.0, std::floor(learned.concurrency_limit));
    }
    endpoint->outlier.failure_rate = learned.failure_rate;
    endpoint->outlier.ejected = learned.ejected;
    endpoint->outlier.connection_failed = learned.connection_failed;
    endpoint->outlier.last_served_at = learned.last_served_at;
    SlowStartState& slow_start = endpoint->slow_start;
    slow_start.started_at = std::max(slow_start.started_at, learned.started_at);
    slow_start.credit = std::min(slow_start.credit, learned.slow_start_credit);
  }
  outliers_.Restore(state);
  slow_start_.Restore(state);
}

}  // namespace meadowyard::decision
