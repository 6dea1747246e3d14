/// @file
/// Decides whether an endpoint can take a request: combines outlier detection, concurrency limits, load
/// reports and slow start, and exchanges endpoint starts and recoveries with other gateways.
#ifndef MEADOWYARD_DECISION_ENDPOINT_TRACKER_HPP_
#define MEADOWYARD_DECISION_ENDPOINT_TRACKER_HPP_

#include <string>
#include <vector>

#include "decision/concurrency_limiter.hpp"
#include "decision/endpoint_registry.hpp"
#include "decision/gateway_membership.hpp"
#include "decision/load_report_tracker.hpp"
#include "decision/outlier_detector.hpp"
#include "decision/random_source.hpp"
#include "decision/slow_start.hpp"
#include "decision/subset_selector.hpp"
#include "meadowyard/policy.hpp"

namespace meadowyard::decision {

/// Updates the EndpointRecords from the outcomes of attempts, load reports and gossip.
class EndpointTracker {
 public:
  /// All arguments must outlive this object.
  EndpointTracker(const Settings& settings, const GatewayMembership& membership, const SubsetSelector& subset,
                  EndpointRegistry& registry, RandomSource& random, EjectionObserver& observer);

  /// Applies changed settings.
  void Configure() { reports_.Configure(settings_.load_report_fields); }

  /// Starts the slow start of an endpoint whose process was started at `started_at`, and discards what was
  /// measured of the previous process.
  void Reset(EndpointRecord& endpoint, Millis started_at, Millis now);
  /// Updates the endpoint from the end of an attempt. `relative_class_latency`: mean latency of the request's
  /// class divided by the mean latency of all classes.
  void OnOutcome(EndpointRecord& endpoint, const AttemptOutcome& outcome, double relative_class_latency,
                 Millis now);
  /// `load`: values in the order of Settings::load_report_fields.
  void OnLoadReport(EndpointRecord& endpoint, const std::vector<double>& load) const {
    reports_.Record(endpoint, load);
  }

  /// Whether an endpoint that is not ejected can take a request now. `within_quota`: whether the request is
  /// within its tenant's quota; `untimely_share`: share of recent outcomes that were not timely, see
  /// RateController.
  [[nodiscard]] bool IsReady(EndpointRecord& endpoint, bool within_quota, double untimely_share, Millis now);
  /// Whether an ejected endpoint may be sent a health probe now.
  [[nodiscard]] bool IsProbeDue(EndpointRecord& endpoint, Millis now);
  SlowStart& slow_start() { return slow_start_; }
  [[nodiscard]] const SlowStart& slow_start() const { return slow_start_; }

  /// Applies the endpoint starts and recoveries that other gateways have reported.
  void ApplyGossip(const Gossip& gossip, Millis now);
  /// The endpoint starts and recoveries to be reported to other gateways.
  [[nodiscard]] Gossip CollectGossip(Millis now) const;

  void Save(LearnedState& state) const;
  void Restore(const LearnedState& state);

 private:
  void OnProbeServed(EndpointRecord& endpoint, Millis now);

  const Settings& settings_;
  const SubsetSelector& subset_;
  EndpointRegistry& registry_;
  LoadReportTracker reports_;
  ConcurrencyLimiter limiter_;
  OutlierDetector outliers_;
  SlowStart slow_start_;
};

}  // namespace meadowyard::decision

#endif  // MEADOWYARD_DECISION_ENDPOINT_TRACKER_HPP_
