/// @file
/// What is known of one endpoint. Each part has one mechanism that writes it.
#ifndef MEADOWYARD_DECISION_ENDPOINT_RECORD_HPP_
#define MEADOWYARD_DECISION_ENDPOINT_RECORD_HPP_

#include <cstdint>

#include "decision/instants.hpp"
#include "meadowyard/policy.hpp"

namespace meadowyard::decision {

/// Latency in milliseconds, relative to the latency of the request's class. Written by ConcurrencyLimiter.
struct LatencyEstimate {
  double smoothed = 0;     ///< 0: not measured yet.
  double average = 0;      ///< The same, smoothed over more samples.
  double uncongested = 0;  ///< The lowest average: the latency without queueing.
  int samples = 0;
};

/// What endpoints of one kind have in common. Owned by EndpointRegistry.
struct EndpointKind {
  LatencyEstimate latency;
  double utilization = 0;  ///< Reported, smoothed; written by LoadReportTracker.
};

/// Written by ConcurrencyLimiter.
struct ConcurrencyState {
  double limit = 1;  ///< Requests of this gateway that it takes uncongested; below 1 it pauses in between.
  double slots = 1;  ///< The limit, rounded by chance to an integer.
  Millis paused_until = kNever;
};

/// Written by OutlierDetector.
struct OutlierState {
  double failure_rate = 0;  ///< Smoothed share of failed attempts.
  bool ejected = false;
  bool connection_failed = false;  ///< It may come back as a new process that has to warm up.
  Millis next_probe = 0;
  Millis probe_interval = 0;
  Millis last_served_at = kNever;
  Millis restored_at = kNever;  ///< End of the last ejection.
  Millis hinted_at = kNever;    ///< Another gateway said that it has recovered.
};

/// Written by SlowStart.
struct SlowStartState {
  Millis started_at = kNever;
  bool start_confirmed = false;  ///< By service discovery: not a guess of this gateway's.
  double credit = 0;             ///< Requests that it may be sent while it warms up.
  Millis credit_updated_at = 0;
  Millis credit_full_since = 0;  ///< Since then the credit is enough for one request.
};

/// One endpoint. Owned by EndpointRegistry; its address stays the same for as long as it is known.
struct EndpointRecord {
  Endpoint info;
  EndpointKind* kind = nullptr;
  std::uint64_t hash = 0;  ///< HashId of its id.
  bool listed = false;     ///< By the last endpoint list, if only as draining.
  bool up = false;         ///< May be sent to: listed as up and not in maintenance.
  bool in_subset = false;  ///< Written by SubsetSelector.
  int references = 0;      ///< Attempts of open requests that name it.
  int in_flight = 0;       ///< Attempts of this gateway that it works on.
  int tunnels = 0;         ///< Open tunnels through it.
  LatencyEstimate latency;
  double utilization = 0;  ///< Reported, smoothed; written by LoadReportTracker.
  ConcurrencyState concurrency;
  OutlierState outlier;
  SlowStartState slow_start;
};

}  // namespace meadowyard::decision

#endif  // MEADOWYARD_DECISION_ENDPOINT_RECORD_HPP_
