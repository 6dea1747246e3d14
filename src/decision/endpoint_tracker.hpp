/// @file
/// What an endpoint can be trusted with: joins outlier detection, concurrency limits, load reports and slow
/// start, and exchanges what other gateways want to know of endpoints.
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

class EndpointTracker {
 public:
  /// All arguments outlive it.
  EndpointTracker(const Settings& settings, const GatewayMembership& membership, const SubsetSelector& subset,
                  EndpointRegistry& registry, RandomSource& random, EjectionObserver& observer);

  /// The settings have changed.
  void Configure() { reports_.Configure(settings_.load_report_fields); }

  /// The endpoint is a new process: it warms up, and nothing that was learned of the old one holds for it.
  void Reset(EndpointRecord& endpoint, Millis started_at, Millis now);
  /// Learns from the end of an attempt. `relative_class_latency`: of the request's class, over the mean of
  /// all.
  void OnOutcome(EndpointRecord& endpoint, const AttemptOutcome& outcome, double relative_class_latency,
                 Millis now);
  void OnLoadReport(EndpointRecord& endpoint, const std::vector<double>& load) const {
    reports_.Record(endpoint, load);
  }

  /// Whether an endpoint that is not ejected can take a request now. `untimely_share`: of recent outcomes.
  [[nodiscard]] bool IsReady(EndpointRecord& endpoint, bool within_quota, double untimely_share, Millis now);
  /// Whether an ejected endpoint may be sent a health probe now.
  [[nodiscard]] bool IsProbeDue(EndpointRecord& endpoint, Millis now);
  SlowStart& slow_start() { return slow_start_; }
  [[nodiscard]] const SlowStart& slow_start() const { return slow_start_; }

  void ApplyGossip(const Gossip& gossip, Millis now);
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
