/// @file
/// Outlier detection: ejects endpoints that fail more often than the others, and restores them after health
/// probes.
///
/// Failures that affect all endpoints alike (a network that resets connections, clients that send invalid
/// requests, a release that adds errors to all endpoints) do not identify a faulty endpoint, and ejecting
/// endpoints for them would leave none to send to. So the failure rate of an endpoint is compared with the
/// overall failure rate of the endpoints that are not ejected: it is ejected when its rate exceeds the
/// overall one by more than the random variation, and restored when its rate is below the overall one plus a
/// small margin. Where only one endpoint fails, both thresholds are the plain constants. Limitation: where
/// nearly all endpoints fail and a few do not, the failing ones are not ejected until the failure rates
/// differ by more than the random variation.
#ifndef MEADOWYARD_DECISION_OUTLIER_DETECTOR_HPP_
#define MEADOWYARD_DECISION_OUTLIER_DETECTOR_HPP_

#include "decision/endpoint_record.hpp"
#include "decision/gateway_membership.hpp"
#include "decision/random_source.hpp"
#include "decision/subset_selector.hpp"
#include "meadowyard/policy.hpp"

namespace meadowyard::decision {

/// Weight of a new outcome in an endpoint's failure rate, an exponentially weighted moving average.
constexpr double kFailureRateWeight = 0.2;

/// Time in milliseconds without a served request after which connection failures and rejections mean that the
/// endpoint's process has ended.
constexpr Millis kPresumedDeadAfter = 1000;

/// Is notified when an endpoint is ejected or restored.
class EjectionObserver {
 public:
  virtual void OnEjected(const EndpointRecord& endpoint) = 0;
  virtual void OnRestored(const EndpointRecord& endpoint) = 0;

 protected:
  ~EjectionObserver() = default;
};

/// What the end of an attempt shows about its endpoint.
struct AttemptEvidence {
  bool served = false;
  bool connect_failed = false;
  bool connection_lost = false;  ///< The connection failed or was reset.
  /// The attempt timed out, but the endpoint served another request after it had started: only this request
  /// was slow, so the time-out is not a failure of the endpoint.
  bool slow_request = false;
};

/// Keeps the failure rates, and decides which endpoints are ejected and when ejected ones are probed.
class OutlierDetector {
 public:
  /// All arguments must outlive this object.
  OutlierDetector(const GatewayMembership& membership, const SubsetSelector& subset, RandomSource& random,
                  EjectionObserver& observer)
      : membership_(membership), subset_(subset), random_(random), observer_(observer) {}

  [[nodiscard]] static AttemptEvidence Classify(const EndpointRecord& endpoint, const AttemptOutcome& outcome,
                                                Millis now);

  /// Discards the failures of the endpoint's previous process and ends its ejection; does not notify the
  /// observer.
  static void Reset(EndpointRecord& endpoint);
  /// The endpoint has rejected a request. Where endpoints are not shared (SubsetSelector::IsHeavilyShared),
  /// this is not a failure, as the endpoint is only full. But an endpoint that hangs also becomes full, so a
  /// rejected health probe has failed.
  void OnRejected(EndpointRecord& endpoint, Millis now);
  /// Counts an outcome in the failure rate of the endpoint and in the overall failure rate.
  void CountOutcome(EndpointRecord& endpoint, const AttemptEvidence& evidence, Millis now);
  /// Ejects an endpoint whose failure rate is too high; schedules the next probe of one that is ejected.
  void EjectIfFailing(EndpointRecord& endpoint, const AttemptEvidence& evidence, Millis now);
  /// A health probe of an ejected endpoint was served. Clears EndpointRecord::outlier.ejected once the
  /// failure rate is low enough; the caller then has to call Restore.
  void OnProbeServed(EndpointRecord& endpoint, Millis now) const;
  /// Records the end of an ejection and notifies the observer.
  void Restore(EndpointRecord& endpoint, Millis now);
  /// Another gateway has reported that an ejected endpoint has recovered: schedules a probe soon.
  void OnRecoveryHint(EndpointRecord& endpoint, Millis now);
  /// Whether an ejected endpoint may be sent one probe now.
  [[nodiscard]] static bool IsProbeDue(const EndpointRecord& endpoint, Millis now);
  /// Whether other gateways are to be notified of an endpoint's recovery.
  [[nodiscard]] static bool WasRestoredRecently(const EndpointRecord& endpoint, Millis now);

  void Save(LearnedState& state) const { state.failure_rate = failure_rate_; }
  void Restore(const LearnedState& state) { failure_rate_ = state.failure_rate; }

 private:
  void Eject(EndpointRecord& endpoint, Millis now);
  [[nodiscard]] double EjectionThreshold() const;
  [[nodiscard]] double RestorationThreshold() const;

  const GatewayMembership& membership_;
  const SubsetSelector& subset_;
  RandomSource& random_;
  EjectionObserver& observer_;
  double failure_rate_ = 0;  // overall, of the endpoints that are not ejected
};

}  // namespace meadowyard::decision

#endif  // MEADOWYARD_DECISION_OUTLIER_DETECTOR_HPP_
