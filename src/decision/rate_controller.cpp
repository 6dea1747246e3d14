#include "decision/rate_controller.hpp"

#include <algorithm>
#include <cmath>

#include "decision/outlier_detector.hpp"

namespace meadowyard::decision {
namespace {

constexpr double kMillisPerSecond = 1000;
// Tokens/s per endpoint. Starts far above any real load, so that the rate is no limit before the first
// reduction.
constexpr double kInitialRatePerEndpoint = 1000;
constexpr double kRateIncreasePerTimelyAnswer = 0.3;  // tokens/s, below the initial rate
// Upper bound of that increase as a share of the current rate; unused where many gateways share an endpoint.
constexpr double kMaxIncreaseShareOfRate = 0.05;
constexpr double kRateIncreasePerTimelyAnswerAboveInitial = 1;  // tokens/s, from the initial rate on
// Limits the rate, where it exceeds the initial rate, to a multiple of the dispatch rate.
constexpr double kMaxRateToDispatchRateRatio = 2;
constexpr double kReductionFactor = 0.85;  // a reduction multiplies the rate by this
// The rate is reduced when more than this share of the recent outcomes is untimely.
constexpr double kMaxUntimelyShare = 0.2;
// The same where many gateways share an endpoint: each of them sees only few of the outcomes.
constexpr double kMaxUntimelyShareWhenShared = 0.1;
// Share of the endpoints' concurrency limits that must be in use for a reduction.
constexpr double kMinOccupiedLimitShare = 0.5;
constexpr double kMinReductionInterval = 100;       // ms
constexpr Millis kDispatchRateTimeConstant = 1000;  // ms over which the dispatch rate is smoothed
// Multiplies that time where many gateways share an endpoint.
constexpr double kSharedTimeConstantFactor = 4;
// Weight of a new outcome in the untimely share: 1 / (1 + rate), which averages over about one second, within
// these bounds.
constexpr double kMinOutcomeWeight = 0.05;
constexpr double kMaxOutcomeWeight = 0.2;

}  // namespace

Millis RateController::DispatchRateTimeConstant() const {
  return kDispatchRateTimeConstant * (subset_.IsHeavilyShared() ? kSharedTimeConstantFactor : 1);
}

void RateController::Advance(Millis now, Millis elapsed) {
  const int endpoints = registry_.up_count();
  const bool is_first_rate = token_rate_ <= 0 && endpoints > 0;
  if (is_first_rate) {
    token_rate_ = kInitialRatePerEndpoint * endpoints;
    started_at_ = now;
  }
  // Minimum: 1 token/s per endpoint, divided among the gateways. Applied here and not at a reduction because
  // endpoints may be added after it.
  if (token_rate_ > 0) token_rate_ = std::max(token_rate_, 1.0 * endpoints / membership_.active());
  if (is_first_rate) {
    bucket_.Fill(token_rate_);
  } else {
    bucket_.Refill(token_rate_, elapsed);
  }
  dispatch_rate_ *= std::exp(-elapsed / DispatchRateTimeConstant());
}

void RateController::OnDispatch() {
  bucket_.Take();
  dispatch_rate_ += kMillisPerSecond / kDispatchRateTimeConstant /
                    (subset_.IsHeavilyShared() ? kSharedTimeConstantFactor : 1);
}

// The smoothed dispatch rate, corrected for its start at 0: until the time constant has passed once, the
// plain average is far below what is sent.
double RateController::CorrectedDispatchRate(Millis now) const {
  return dispatch_rate_ / -std::expm1(-std::max(1.0, now - started_at_) / DispatchRateTimeConstant());
}

// Whether so many attempts are in flight that the endpoints may be congested. Congestion of any cause
// increases the number of attempts in flight. While most of the learned concurrency limits are unused,
// failures have other causes, which a lower rate doesn't remove: an endpoint with a rate limit of its own, a
// few expensive requests, or a request that fails at every endpoint. Drawback: limits that are higher than
// the endpoints' real capacity prevent reductions until the measured latency has lowered them.
bool RateController::IsCongested(int in_flight) const {
  if (subset_.IsHeavilyShared()) return true;  // concurrency limits are not applied there
  double limits = 0;
  for (const auto& [id, endpoint] : registry_.records()) {
    if (endpoint.in_subset && endpoint.up && !endpoint.outlier.ejected) limits += endpoint.concurrency.limit;
  }
  return in_flight >= kMinOccupiedLimitShare * limits;
}

// Whether an outcome may change the rate. A fault of a single endpoint is handled by its ejection, so
// outcomes of ejected endpoints don't count.
bool RateController::MayAffectRate(const EndpointRecord& endpoint, AttemptResult result, Millis now) const {
  // A reset is no sign of congestion. A reduction for it would cause further resets: at a lower rate,
  // connections are idle for longer, and more of them have been closed by the time of the next request.
  if (endpoint.outlier.ejected || result == AttemptResult::kReset) return false;
  // Where many gateways share the endpoints, an endpoint that only rejects or can't be reached is shutting
  // down and the endpoint list is outdated. That endpoint alone is ejected; the others aren't congested.
  const bool was_rejected_or_unreachable =
      result == AttemptResult::kConnectFailed || result == AttemptResult::kRejected;
  const bool has_stopped_serving = now - endpoint.outlier.last_served_at > kPresumedDeadAfter;
  if (was_rejected_or_unreachable && subset_.IsHeavilyShared() && has_stopped_serving) return false;
  // Where concurrency limits are applied, the limiter pauses an endpoint that rejects, which is sufficient.
  return result != AttemptResult::kRejected || subset_.IsHeavilyShared();
}

void RateController::OnOutcome(const EndpointRecord& endpoint, AttemptResult result, bool is_timely,
                               int in_flight, Millis now) {
  if (!MayAffectRate(endpoint, result, now)) return;
  const double weight = std::clamp(1 / (1 + token_rate_), kMinOutcomeWeight, kMaxOutcomeWeight);
  untimely_share_ += weight * ((is_timely ? 0.0 : 1.0) - untimely_share_);
  if (is_timely) return IncreaseRate(now);
  const double threshold = subset_.IsHeavilyShared() ? kMaxUntimelyShareWhenShared : kMaxUntimelyShare;
  if (untimely_share_ > threshold && now >= no_reduction_before_ && IsCongested(in_flight)) ReduceRate(now);
}

// From the initial rate on, the rate may not exceed a multiple of the dispatch rate, because answers are
// known to be timely only at the rate that is sent now. While the token bucket limits dispatch, the dispatch
// rate equals the token rate, which then doubles in about a second.
void RateController::IncreaseRate(Millis now) {
  const double initial_rate = kInitialRatePerEndpoint * std::max(1, registry_.up_count());
  double increase = kRateIncreasePerTimelyAnswer;
  if (token_rate_ >= initial_rate) {
    increase = kRateIncreasePerTimelyAnswerAboveInitial;
  } else if (!subset_.IsHeavilyShared()) {
    increase = std::min(kRateIncreasePerTimelyAnswer, kMaxIncreaseShareOfRate * token_rate_);
  }
  token_rate_ = std::min(token_rate_ + increase,
                         std::max(initial_rate, kMaxRateToDispatchRateRatio * CorrectedDispatchRate(now)));
}

void RateController::ReduceRate(Millis now) {
  token_rate_ =
      std::min(token_rate_, CorrectedDispatchRate(now)) * kReductionFactor;  // Advance applies the minimum
  // At most one reduction per round trip.
  no_reduction_before_ = now + std::max(kMinReductionInterval, registry_.MedianLatency());
  actions_.LogLimited({.event = Log::Event::kDispatchRateReduced,
                       .endpoint = {},
                       .rate_per_s = static_cast<int>(token_rate_)},
                      now);
}

void RateController::Save(LearnedState& state) const {
  state.rate = token_rate_;
  state.dispatch_rate = dispatch_rate_;
  state.untimely_share = untimely_share_;
}

void RateController::Restore(const LearnedState& state) {
  token_rate_ = state.rate;
  dispatch_rate_ = state.dispatch_rate;
  untimely_share_ = state.untimely_share;
}

}  // namespace meadowyard::decision
