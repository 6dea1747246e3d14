#include "decision/outlier_detector.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace meadowyard::decision {
namespace {

constexpr double kEjectionThreshold = 0.3;     // failure rate above which an endpoint is ejected
constexpr double kRestorationThreshold = 0.1;  // and below which, after probes, it is trusted again
constexpr double kOverallFailureWeight =
    0.02;                                     // of a new outcome in the failure rate of all trusted endpoints
constexpr double kDeviations = 3;             // standard deviations from that which chance is granted
constexpr Millis kFirstProbeInterval = 300;   // ms to the first probe; doubles
constexpr Millis kMaxProbeInterval = 4000;    // ms
constexpr int kMaxIntervalsLeftToOthers = 8;  // probe intervals that a gateway leaves to other gateways
constexpr double kMinJitter = 0.75;           // of a probe interval
constexpr double kJitterRange = 0.5;
constexpr Millis kRecoveryReportedFor = 2000;  // ms that an endpoint's recovery is reported to other gateways

}  // namespace

AttemptEvidence OutlierDetector::Classify(const EndpointRecord& endpoint, const AttemptOutcome& outcome,
                                          Millis now) {
  AttemptEvidence evidence;
  evidence.served = outcome.result == AttemptResult::kServed;
  evidence.connect_failed = outcome.result == AttemptResult::kConnectFailed;
  evidence.connection_lost = evidence.connect_failed || outcome.result == AttemptResult::kReset;
  evidence.slow_request =
      outcome.result == AttemptResult::kTimedOut && endpoint.outlier.last_served_at > now - outcome.latency;
  return evidence;
}

void OutlierDetector::Reset(EndpointRecord& endpoint) {
  OutlierState& state = endpoint.outlier;
  state.failure_rate = 0;
  state.ejected = false;
  state.connection_failed = false;
  state.probe_interval = kFirstProbeInterval;
}

void OutlierDetector::OnRejected(EndpointRecord& endpoint, Millis now) {
  OutlierState& state = endpoint.outlier;
  const bool is_shared = subset_.IsHeavilyShared();
  if (is_shared) state.failure_rate += kFailureWeight * (1 - state.failure_rate);
  const bool is_leaving =
      is_shared && state.failure_rate > kEjectionThreshold && now - state.last_served_at > kPresumedDeadAfter;
  if (state.ejected || is_leaving) Eject(endpoint, now);
}

void OutlierDetector::Count(EndpointRecord& endpoint, const AttemptEvidence& evidence, Millis now) {
  OutlierState& state = endpoint.outlier;
  // A congested endpoint fails connections too: only one that has long served nothing may be a new process.
  const bool is_silent = now - state.last_served_at > kPresumedDeadAfter;
  if (evidence.connection_lost && state.failure_rate >= kFailureWeight && is_silent) {
    state.connection_failed = true;
  }
  if (evidence.served) state.last_served_at = now;
  if (evidence.slow_request) return;
  const double failed = evidence.served ? 0.0 : 1.0;
  state.failure_rate += kFailureWeight * (failed - state.failure_rate);
  // Where many gateways overload service discovery, endpoints that have gone stay listed for long: each
  // speaks for itself alone, or with most of them gone none would be ejected.
  const bool is_absent = evidence.connect_failed && subset_.IsHeavilyShared();
  if (!is_absent && !state.ejected) failure_rate_ += kOverallFailureWeight * (failed - failure_rate_);
}

void OutlierDetector::OnProbeServed(EndpointRecord& endpoint, Millis now) const {
  OutlierState& state = endpoint.outlier;
  state.next_probe = now;
  state.probe_interval = kFirstProbeInterval;
  state.ejected = state.failure_rate >= RestorationThreshold();
}

void OutlierDetector::Restore(EndpointRecord& endpoint, Millis now) {
  endpoint.outlier.restored_at = now;
  observer_.OnRestored(endpoint);
}

void OutlierDetector::EjectIfFailing(EndpointRecord& endpoint, const AttemptEvidence& evidence, Millis now) {
  if (evidence.served || evidence.slow_request) return;
  const bool is_absent = evidence.connect_failed && subset_.IsHeavilyShared();
  const double threshold = is_absent ? kEjectionThreshold : EjectionThreshold();
  if (endpoint.outlier.failure_rate > threshold || endpoint.outlier.ejected) Eject(endpoint, now);
}

void OutlierDetector::Eject(EndpointRecord& endpoint, Millis now) {
  OutlierState& state = endpoint.outlier;
  if (!std::exchange(state.ejected, true)) observer_.OnEjected(endpoint);
  state.next_probe = now;
  // Where gateways share an endpoint one of them probes it at each interval, on average: which one is drawn.
  int intervals = 0;
  bool is_left_to_others = false;
  do {
    state.next_probe += state.probe_interval * (kMinJitter + kJitterRange * random_.Uniform());
    state.probe_interval = std::min(state.probe_interval * 2, kMaxProbeInterval);
    ++intervals;
    is_left_to_others = membership_.knows_peers() && intervals < kMaxIntervalsLeftToOthers &&
                        random_.Uniform() * subset_.gateways_per_endpoint() >= 1;
  } while (is_left_to_others);
}

void OutlierDetector::OnRecoveryHint(EndpointRecord& endpoint, Millis now) {
  OutlierState& state = endpoint.outlier;
  if (!state.ejected) return;
  if (now - std::exchange(state.hinted_at, now) < kRecoveryReportedFor) return;
  state.probe_interval = kFirstProbeInterval;
  state.next_probe = std::min(state.next_probe, now + kFirstProbeInterval * random_.Uniform());
}

bool OutlierDetector::IsProbeDue(const EndpointRecord& endpoint, Millis now) {
  return now >= endpoint.outlier.next_probe && endpoint.in_flight == 0;
}

bool OutlierDetector::WasRestoredRecently(const EndpointRecord& endpoint, Millis now) {
  return now - endpoint.outlier.restored_at < kRecoveryReportedFor;
}

double OutlierDetector::EjectionThreshold() const {
  const double variance = failure_rate_ * (1 - failure_rate_) * kFailureWeight / (2 - kFailureWeight);
  return std::max(kEjectionThreshold, failure_rate_ + kDeviations * std::sqrt(variance));
}

double OutlierDetector::RestorationThreshold() const { return kRestorationThreshold + failure_rate_; }

}  // namespace meadowyard::decision
