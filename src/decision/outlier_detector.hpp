/// @file
/// Outlier detection: endpoints that fail more than the others are ejected, and return by health probes.
///
/// Failures that all endpoints have alike (a network that resets connections, clients that spoil requests)
/// say little of one of them, and ejecting endpoints for those leaves nowhere to send. So an endpoint is held
/// against what the trusted ones fail: ejected above the spread of chance round that, restored under it and
/// a little more. With failures at one endpoint alone both are the plain thresholds. It covers errors that a
/// release brings to all endpoints, too. It could hurt where nearly all fail and a few do not: these are not
/// distinguished until their failure rates differ by more than the spread.
#ifndef MEADOWYARD_DECISION_OUTLIER_DETECTOR_HPP_
#define MEADOWYARD_DECISION_OUTLIER_DETECTOR_HPP_

#include "decision/endpoint_record.hpp"
#include "decision/gateway_membership.hpp"
#include "decision/random_source.hpp"
#include "decision/subset_selector.hpp"
#include "meadowyard/policy.hpp"

namespace meadowyard::decision {

/// Weight of a new outcome in an endpoint's failure rate.
constexpr double kFailureWeight = 0.2;

/// Silence, in milliseconds, after which failed connections mean that the process has ended.
constexpr Millis kPresumedDeadAfter = 1000;

/// Called when the set of ejected endpoints has changed.
class EjectionObserver {
 public:
  virtual void OnEjected(const EndpointRecord& endpoint) = 0;
  virtual void OnRestored(const EndpointRecord& endpoint) = 0;

 protected:
  ~EjectionObserver() = default;
};

/// What an attempt's end says of its endpoint.
struct AttemptEvidence {
  bool served = false;
  bool connect_failed = false;
  bool connection_lost = false;  ///< No connection, or it broke.
  /// A slow request among others that were answered meanwhile: says nothing of the endpoint.
  bool slow_request = false;
};

class OutlierDetector {
 public:
  /// All arguments outlive it.
  OutlierDetector(const GatewayMembership& membership, const SubsetSelector& subset, RandomSource& random,
                  EjectionObserver& observer)
      : membership_(membership), subset_(subset), random_(random), observer_(observer) {}

  [[nodiscard]] static AttemptEvidence Classify(const EndpointRecord& endpoint, const AttemptOutcome& outcome,
                                                Millis now);

  /// The endpoint is a new process: it is trusted.
  static void Reset(EndpointRecord& endpoint);
  /// The endpoint has rejected a request. Being full is no failure; but one that hangs fills up, so a probe
  /// that is rejected has failed.
  void OnRejected(EndpointRecord& endpoint, Millis now);
  /// Counts an outcome in the failure rates of the endpoint and of all.
  void Count(EndpointRecord& endpoint, const AttemptEvidence& evidence, Millis now);
  /// Ejects an endpoint whose failure rate is too high; schedules the next probe of one that is ejected.
  void EjectIfFailing(EndpointRecord& endpoint, const AttemptEvidence& evidence, Millis now);
  /// A probe of an ejected endpoint was served. Call Restore afterwards if it is not ejected any more.
  void OnProbeServed(EndpointRecord& endpoint, Millis now) const;
  void Restore(EndpointRecord& endpoint, Millis now);
  /// Another gateway says that an ejected endpoint has recovered: it is probed soon.
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
  double failure_rate_ = 0;  // of all endpoints that are not ejected
};

}  // namespace meadowyard::decision

#endif  // MEADOWYARD_DECISION_OUTLIER_DETECTOR_HPP_
