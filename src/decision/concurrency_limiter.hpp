/// @file
/// Concurrency limits: how many requests of this gateway an endpoint can process at a time without queueing
/// them. A gradient limiter: it learns the limit from the ratio of the current to the uncongested latency.
#ifndef MEADOWYARD_DECISION_CONCURRENCY_LIMITER_HPP_
#define MEADOWYARD_DECISION_CONCURRENCY_LIMITER_HPP_

#include "decision/endpoint_record.hpp"
#include "decision/load_report_tracker.hpp"
#include "decision/random_source.hpp"
#include "decision/subset_selector.hpp"
#include "meadowyard/policy.hpp"

namespace meadowyard::decision {

/// Weight of a new sample in an endpoint's exponentially smoothed latency.
constexpr double kLatencyWeight = 0.1;

class ConcurrencyLimiter {
 public:
  /// Keeps references to all arguments, which must outlive the limiter.
  ConcurrencyLimiter(const Settings& settings, const SubsetSelector& subset, const LoadReportTracker& reports,
                     RandomSource& random)
      : settings_(settings), subset_(subset), reports_(reports), random_(random) {}

  /// Discards all measurements of an endpoint and sets the initial limit, because it is a new process.
  void Reset(EndpointRecord& endpoint) const;
  /// Whether the endpoint can take one more request. While endpoints of its kind are busy, only a part of the
  /// limit is open to requests over their tenant's quota.
  [[nodiscard]] bool HasCapacity(const EndpointRecord& endpoint, bool within_quota, Millis now) const;

  /// Adjusts the limit after an attempt. `latency`: of the attempt, in milliseconds, divided by the relative
  /// latency of the request's class.
  void Measure(EndpointRecord& endpoint, double latency, bool served);
  /// Pauses an endpoint that has rejected a request. The pause lasts for its smoothed latency. Rejections are
  /// fast and leave the endpoint idle, so the load balancer would otherwise send it more and more requests.
  void PauseAfterRejection(EndpointRecord& endpoint, Millis now) const;
  /// Rounds the limit again after an attempt has ended, and pauses the endpoint if its limit is below 1.
  void OnAttemptEnded(EndpointRecord& endpoint, Millis latency, Millis now);

 private:
  void LearnUncongestedLatency(EndpointRecord& endpoint, double latency) const;
  [[nodiscard]] double LatencyTolerance() const;
  [[nodiscard]] double InitialLimit() const;
  [[nodiscard]] double MinLimit() const;

  const Settings& settings_;
  const SubsetSelector& subset_;
  const LoadReportTracker& reports_;
  RandomSource& random_;
};

}  // namespace meadowyard::decision

#endif  // MEADOWYARD_DECISION_CONCURRENCY_LIMITER_HPP_
