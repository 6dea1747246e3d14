/// @file
/// Concurrency limits: how many requests of this gateway an endpoint takes without queueing, learned from how
/// its latency grows (a gradient limiter).
#ifndef MEADOWYARD_DECISION_CONCURRENCY_LIMITER_HPP_
#define MEADOWYARD_DECISION_CONCURRENCY_LIMITER_HPP_

#include "decision/endpoint_record.hpp"
#include "decision/load_report_tracker.hpp"
#include "decision/random_source.hpp"
#include "decision/subset_selector.hpp"
#include "meadowyard/policy.hpp"

namespace meadowyard::decision {

/// Weight of a new sample in an endpoint's smoothed latency.
constexpr double kLatencyWeight = 0.1;

class ConcurrencyLimiter {
 public:
  /// All arguments outlive it.
  ConcurrencyLimiter(const Settings& settings, const SubsetSelector& subset, const LoadReportTracker& reports,
                     RandomSource& random)
      : settings_(settings), subset_(subset), reports_(reports), random_(random) {}

  /// The endpoint is a new process: nothing that was measured holds for it.
  void Reset(EndpointRecord& endpoint) const;
  /// Whether the endpoint can take one more request. Requests over a tenant's quota get a part of the limit
  /// while the endpoint's kind is busy.
  [[nodiscard]] bool HasCapacity(const EndpointRecord& endpoint, bool within_quota, Millis now) const;

  /// Learns from an attempt's latency, relative to its class.
  void Measure(EndpointRecord& endpoint, double latency, bool served);
  /// The endpoint has rejected a request: it pauses, so that its quick rejections, which leave it idle, don't
  /// draw ever more to it.
  void PauseAfterRejection(EndpointRecord& endpoint, Millis now) const;
  /// An attempt has ended: the limit is rounded anew, and an endpoint with a limit below 1 pauses.
  void OnAttemptEnded(EndpointRecord& endpoint, Millis latency, Millis now);

 private:
  void LearnUncongested(EndpointRecord& endpoint, double latency) const;
  [[nodiscard]] double Slack() const;
  [[nodiscard]] double InitialLimit() const;
  [[nodiscard]] double MinLimit() const;

  const Settings& settings_;
  const SubsetSelector& subset_;
  const LoadReportTracker& reports_;
  RandomSource& random_;
};

}  // namespace meadowyard::decision

#endif  // MEADOWYARD_DECISION_CONCURRENCY_LIMITER_HPP_
