/// @file
/// The state that a gateway keeps of each endpoint. Each part of it is written by one mechanism only.
#ifndef MEADOWYARD_DECISION_ENDPOINT_RECORD_HPP_
#define MEADOWYARD_DECISION_ENDPOINT_RECORD_HPP_

#include <cstdint>

#include "decision/instants.hpp"
#include "meadowyard/policy.hpp"

namespace meadowyard::decision {

/// Latency in milliseconds, divided by the relative latency of the request's class. Written by
/// ConcurrencyLimiter.
struct LatencyEstimate {
  double smoothed = 0;     ///< Moving average over recent samples; 0: not measured yet.
  double average = 0;      ///< Moving average over more samples.
  double uncongested = 0;  ///< Estimate of the latency without queueing: the lowest `average`.
  int samples = 0;
};

/// What is measured over all endpoints of one kind (Endpoint::kind). Owned by EndpointRegistry.
struct EndpointKind {
  LatencyEstimate latency;
  double utilization = 0;  ///< As reported by the endpoints, smoothed; written by LoadReportTracker.
};

/// Concurrency limit of one endpoint. Written by ConcurrencyLimiter.
struct ConcurrencyState {
  /// Requests of this gateway that the endpoint takes at a time without congestion. Below 1, the endpoint
  /// gets one request at a time with pauses in between.
  double limit = 1;
  double slots = 1;              ///< The limit, rounded up or down at random to an integer.
  Millis paused_until = kNever;  ///< The endpoint is sent no request before this time.
};

/// Failures, ejection and health probes of one endpoint. Written by OutlierDetector.
struct OutlierState {
  double failure_rate = 0;  ///< Smoothed share of failed attempts.
  bool ejected = false;
  /// Its connections failed as if its process had ended: when it serves again, it starts in slow start.
  bool connection_failed = false;
  Millis next_probe_at = 0;  ///< While ejected: time from which the next health probe is due.
  Millis probe_interval = 0;
  Millis last_served_at = kNever;
  Millis restored_at = kNever;         ///< End of the last ejection.
  Millis recovery_hinted_at = kNever;  ///< Last report by another gateway that the endpoint has recovered.
};

/// Slow start of one endpoint. Written by SlowStart.
struct SlowStartState {
  Millis started_at = kNever;
  bool start_confirmed = false;  ///< Reported by service discovery, not only presumed by this gateway.
  double credit = 0;             ///< Requests that the endpoint may be sent while it warms up; at most 1.
  Millis credit_updated_at = 0;
  Millis credit_full_since = 0;  ///< Time since which the credit has sufficed for one request.
};

/// All state of one endpoint. Owned by EndpointRegistry; its address does not change while it is known there.
struct EndpointRecord {
  Endpoint info;
  EndpointKind* kind = nullptr;
  std::uint64_t hash = 0;  ///< HashId of its id.
  bool listed = false;     ///< In the endpoint list of service discovery, as up or as draining.
  bool up = false;         ///< May be sent new requests: listed as up and not in maintenance.
  bool in_subset = false;  ///< Written by SubsetSelector.
  int references = 0;      ///< Attempts of open requests that point to this record.
  int in_flight = 0;       ///< Attempts of this gateway that the endpoint is working on.
  int tunnels = 0;         ///< Open tunnels through it.
  LatencyEstimate latency;
  double utilization = 0;  ///< As reported by the endpoint, smoothed; written by LoadReportTracker.
  ConcurrencyState concurrency;
  OutlierState outlier;
  SlowStartState slow_start;
};

}  // namespace meadowyard::decision

#endif  // MEADOWYARD_DECISION_ENDPOINT_RECORD_HPP_
