#include "decision/rate_controller.hpp"

#include <algorithm>
#include <cmath>

#include "decision/outlier_detector.hpp"

namespace meadowyard::decision {
namespace {

constexpr double kMillisPerSecond = 1000;
constexpr double kInitialRate = 1000;       // tokens/s per endpoint: "starting high", far above any use
constexpr double kRaise = 0.3;              // tokens/s gained by each timely answer
constexpr double kMaxRaiseShare = 0.05;     // part of the rate gained by it at the most
constexpr double kRaiseAboveInitial = 1;    // tokens/s, where the rate is past its start
constexpr double kMaxRateToDispatch = 2;    // the rate there stays within this multiple of what is sent
constexpr double kReduction = 0.85;         // the rate keeps this much at a reduction
constexpr double kMaxUntimely = 0.2;        // untimely share of recent outcomes that reduces the rate
constexpr double kMaxUntimelyShared = 0.1;  // the same where many gateways share an endpoint: none sees much
constexpr double kMinOccupancy = 0.5;  // part of the endpoints' limits that must be in use for a reduction
constexpr double kMinReductionInterval = 100;  // ms
constexpr Millis kDispatchMemory = 1000;       // ms over which the dispatch rate is smoothed
constexpr double kSharedMemoryFactor = 4;      // times that, where many gateways share an endpoint
constexpr double kMinUntimelyWeight = 0.05;    // of an outcome in the untimely share; else about a second's
constexpr double kMaxUntimelyWeight = 0.2;

}  // namespace

Millis RateController::DispatchMemory() const {
  return kDispatchMemory * (subset_.IsHeavilyShared() ? kSharedMemoryFactor : 1);
}

void RateController::Advance(Millis now, Millis passed) {
  const int endpoints = registry_.up_count();
  const bool is_first = rate_ <= 0 && endpoints > 0;
  if (is_first) {
    rate_ = kInitialRate * endpoints;
    started_at_ = now;
  }
  // The floor, whichever endpoints have come since a reduction.
  if (rate_ > 0) rate_ = std::max(rate_, 1.0 * endpoints / membership_.active());
  if (is_first) {
    bucket_.Fill(rate_);
  } else {
    bucket_.Refill(rate_, passed);
  }
  dispatch_rate_ *= std::exp(-passed / DispatchMemory());
}

void RateController::OnDispatch() {
  bucket_.Take();
  dispatch_rate_ +=
      kMillisPerSecond / kDispatchMemory / (subset_.IsHeavilyShared() ? kSharedMemoryFactor : 1);
}

// The dispatch rate of the time that has passed: at the start, of less than its memory.
double RateController::RecentDispatchRate(Millis now) const {
  return dispatch_rate_ / -std::expm1(-std::max(1.0, now - started_at_) / DispatchMemory());
}

// Whether what is in flight could congest the endpoints. A jam shows in what is in flight, however it came
// about, so with most of the measured limits unused failures have another cause, and sending less mends none
// of them: an endpoint that rejects above a rate of its own, a few heavy requests, a request that fails
// everywhere. It could hurt where limits are too high for what endpoints can do, until their latency has
// taught better.
bool RateController::IsCongested(int in_flight) const {
  if (subset_.IsHeavilyShared()) return true;  // no limit is kept there
  double limits = 0;
  for (const auto& [id, endpoint] : registry_.records()) {
    if (endpoint.in_subset && endpoint.up && !endpoint.outlier.ejected) limits += endpoint.concurrency.limit;
  }
  return in_flight >= kMinOccupancy * limits;
}

// Failures that one endpoint explains eject it; only those of trusted endpoints move the rate.
bool RateController::IsEvidence(const EndpointRecord& endpoint, AttemptResult result, Millis now) const {
  // A connection that breaks says nothing of congestion. Reducing the rate for it feeds on itself: the fewer
  // are sent, the longer connections idle, and the more of them are gone at the next request.
  if (endpoint.outlier.ejected || result == AttemptResult::kReset) return false;
  // Where many gateways share the endpoints, one that rejects everything or can't be reached is on its way
  // out, and it alone is ejected for it: an outdated list is no jam.
  const bool was_unreachable_or_full =
      result == AttemptResult::kConnectFailed || result == AttemptResult::kRejected;
  const bool is_silent = now - endpoint.outlier.last_served_at > kPresumedDeadAfter;
  if (was_unreachable_or_full && subset_.IsHeavilyShared() && is_silent) return false;
  // An endpoint that is full pauses, which is all that its fullness asks for where limits are kept.
  return result != AttemptResult::kRejected || subset_.IsHeavilyShared();
}

void RateController::OnOutcome(const EndpointRecord& endpoint, AttemptResult result, bool is_timely,
                               int in_flight, Millis now) {
  if (!IsEvidence(endpoint, result, now)) return;
  const double weight = std::clamp(1 / (1 + rate_), kMinUntimelyWeight, kMaxUntimelyWeight);
  untimely_share_ += weight * ((is_timely ? 0.0 : 1.0) - untimely_share_);
  if (is_timely) return Raise(now);
  const double threshold = subset_.IsHeavilyShared() ? kMaxUntimelyShared : kMaxUntimely;
  if (untimely_share_ > threshold && now >= no_reduction_before_ && IsCongested(in_flight)) Reduce(now);
}

// Past the start the evidence bounds the rate: what is sent now, while answers come in time. With the bucket
// as the limit that is the rate itself, and it doubles in about a second.
void RateController::Raise(Millis now) {
  const double initial = kInitialRate * std::max(1, registry_.up_count());
  double raise = kRaise;
  if (rate_ >= initial) {
    raise = kRaiseAboveInitial;
  } else if (!subset_.IsHeavilyShared()) {
    raise = std::min(kRaise, kMaxRaiseShare * rate_);
  }
  rate_ = std::min(rate_ + raise, std::max(initial, kMaxRateToDispatch * RecentDispatchRate(now)));
}

void RateController::Reduce(Millis now) {
  rate_ = std::min(rate_, RecentDispatchRate(now)) * kReduction;  // down to the floor, which Advance keeps
  // One reduction per round trip.
  no_reduction_before_ = now + std::max(kMinReductionInterval, registry_.MedianLatency());
  actions_.LogLimited(
      {.event = Log::Event::kDispatchRateReduced, .endpoint = {}, .rate_per_s = static_cast<int>(rate_)},
      now);
}

void RateController::Save(LearnedState& state) const {
  state.rate = rate_;
  state.dispatch_rate = dispatch_rate_;
  state.untimely_share = untimely_share_;
}

void RateController::Restore(const LearnedState& state) {
  rate_ = state.rate;
  dispatch_rate_ = state.dispatch_rate;
  untimely_share_ = state.untimely_share;
}

}  // namespace meadowyard::decision
