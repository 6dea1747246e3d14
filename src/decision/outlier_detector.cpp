#include "decision/outlier_detector.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace meadowyard::decision {
namespace {

constexpr double kEjectionThreshold = 0.3;     // failure rate above which an endpoint is ejected
constexpr double kRestorationThreshold = 0.1;  // failure rate below which a probed endpoint is restored
// Weight of a new outcome in the overall failure rate of the endpoints that are not ejected.
constexpr double kOverallFailureWeight = 0.02;
// An endpoint's failure rate may exceed the overall one by this many standard deviations through random
// variation.
constexpr double kEjectionDeviations = 3;
constexpr Millis kFirstProbeInterval = 300;  // ms; doubled for each further interval
constexpr Millis kMaxProbeInterval = 4000;   // ms
// A gateway probes after at most this many probe intervals; it may leave the earlier ones to others.
constexpr int kMaxIntervalsUntilProbe = 8;
constexpr double kMinIntervalFactor = 0.75;   // lower bound of the random factor on a probe interval
constexpr double kIntervalFactorRange = 0.5;  // width of the range of that factor
// Time in ms for which an endpoint's recovery is reported to other gateways. Repeated reports of an endpoint
// that arrive within this time of each other are of the same recovery.
constexpr Millis kRecoveryReportDuration = 2000;

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
  if (is_shared) state.failure_rate += kFailureRateWeight * (1 - state.failure_rate);
  const bool is_presumed_dead =
      is_shared && state.failure_rate > kEjectionThreshold && now - state.last_served_at > kPresumedDeadAfter;
  if (state.ejected || is_presumed_dead) Eject(endpoint, now);
}

void OutlierDetector::CountOutcome(EndpointRecord& endpoint, const AttemptEvidence& evidence, Millis now) {
  OutlierState& state = endpoint.outlier;
  // A congested endpoint loses connections, too. So a lost connection counts as a sign of a restart only if
  // the endpoint has recently failed an attempt and has served nothing for kPresumedDeadAfter.
  const bool is_unresponsive = now - state.last_served_at > kPresumedDeadAfter;
  if (evidence.connection_lost && state.failure_rate >= kFailureRateWeight && is_unresponsive) {
    state.connection_failed = true;
  }
  if (evidence.served) state.last_served_at = now;
  if (evidence.slow_request) return;
  const double failure = evidence.served ? 0.0 : 1.0;
  state.failure_rate += kFailureRateWeight * (failure - state.failure_rate);
  // Many gateways may overload service discovery, and then removed endpoints stay listed for a long time.
  // Their failed connections do not count in the overall failure rate: with most of the listed endpoints
  // removed, that rate would be so high that none of them would be ejected.
  const bool may_be_removed = evidence.connect_failed && subset_.IsHeavilyShared();
  if (!may_be_removed && !state.ejected) failure_rate_ += kOverallFailureWeight * (failure - failure_rate_);
}

void OutlierDetector::OnProbeServed(EndpointRecord& endpoint, Millis now) const {
  OutlierState& state = endpoint.outlier;
  state.next_probe_at = now;
  state.probe_interval = kFirstProbeInterval;
  state.ejected = state.failure_rate >= RestorationThreshold();
}

void OutlierDetector::Restore(EndpointRecord& endpoint, Millis now) {
  endpoint.outlier.restored_at = now;
  observer_.OnRestored(endpoint);
}

void OutlierDetector::EjectIfFailing(EndpointRecord& endpoint, const AttemptEvidence& evidence, Millis now) {
  if (evidence.served || evidence.slow_request) return;
  const bool may_be_removed = evidence.connect_failed && subset_.IsHeavilyShared();
  const double threshold = may_be_removed ? kEjectionThreshold : EjectionThreshold();
  if (endpoint.outlier.failure_rate > threshold || endpoint.outlier.ejected) Eject(endpoint, now);
}

void OutlierDetector::Eject(EndpointRecord& endpoint, Millis now) {
  OutlierState& state = endpoint.outlier;
  if (!std::exchange(state.ejected, true)) observer_.OnEjected(endpoint);
  state.next_probe_at = now;
  // Where gateways share an endpoint, one of them on average probes it in each interval: each gateway draws
  // at random whether it probes or leaves the interval to the others.
  int intervals = 0;
  bool is_left_to_others = false;
  do {
    state.next_probe_at +=
        state.probe_interval * (kMinIntervalFactor + kIntervalFactorRange * random_.Uniform());
    state.probe_interval = std::min(state.probe_interval * 2, kMaxProbeInterval);
    ++intervals;
    is_left_to_others = membership_.knows_peers() && intervals < kMaxIntervalsUntilProbe &&
                        random_.Uniform() * subset_.gateways_per_endpoint() >= 1;
  } while (is_left_to_others);
}

void OutlierDetector::OnRecoveryHint(EndpointRecord& endpoint, Millis now) {
  OutlierState& state = endpoint.outlier;
  if (!state.ejected) return;
  if (now - std::exchange(state.recovery_hinted_at, now) < kRecoveryReportDuration) return;
  state.probe_interval = kFirstProbeInterval;
  state.next_probe_at = std::min(state.next_probe_at, now + kFirstProbeInterval * random_.Uniform());
}

bool OutlierDetector::IsProbeDue(const EndpointRecord& endpoint, Millis now) {
  return now >= endpoint.outlier.next_probe_at && endpoint.in_flight == 0;
}

bool OutlierDetector::WasRestoredRecently(const EndpointRecord& endpoint, Millis now) {
  return now - endpoint.outlier.restored_at < kRecoveryReportDuration;
}

double OutlierDetector::EjectionThreshold() const {
  // The variance of a moving average of outcomes, each of which is a failure with probability failure_rate_.
  const double variance = failure_rate_ * (1 - failure_rate_) * kFailureRateWeight / (2 - kFailureRateWeight);
  return std::max(kEjectionThreshold, failure_rate_ + kEjectionDeviations * std::sqrt(variance));
}

double OutlierDetector::RestorationThreshold() const { return kRestorationThreshold + failure_rate_; }

}  // namespace meadowyard::decision
