#include "decision/slow_start.hpp"

#include <algorithm>
#include <cmath>

namespace meadowyard::decision {
namespace {

// Credit is earned at this share of the rate that would overload a warming endpoint.
constexpr double kOverloadRateShare = 0.4;
// Observation time in ms that is added per unit of weight, so that the first few answers do not give too high
// a rate.
constexpr Millis kPriorTimePerWeight = 500;
// Time constant in ms of the exponential decay; long enough to measure a rate from a few requests per second.
constexpr Millis kReferenceRateTimeConstant = 10000;
// Time in ms after which the unused credit for one request expires, where gateways know each other.
constexpr Millis kUnusedCreditLifetime = 500;

}  // namespace

double SlowStart::CapacityShare(const EndpointRecord& endpoint, Millis now) const {
  const Millis age = now - endpoint.slow_start.started_at;
  if (age >= settings_.slow_start_duration) return 1;
  return settings_.slow_start_fraction +
         (1 - settings_.slow_start_fraction) * std::max(0.0, age) / settings_.slow_start_duration;
}

void SlowStart::Reset(EndpointRecord& endpoint, Millis started_at, Millis now) {
  SlowStartState& state = endpoint.slow_start;
  state.started_at = std::max(state.started_at, started_at);
  state.start_confirmed = false;
  state.credit = random_.Uniform();
  state.credit_updated_at = now;
}

// A gateway that has lost the majority does not exceed the rate that it measured while in contact with it:
// the clients of unreachable gateways may switch to this gateway and raise the measured rate, while those
// gateways still send requests to the warming endpoint.
double SlowStart::ReferenceRate(Millis now) const {
  if (!membership_.knows_peers() || membership_.HasQuorum(now)) return reference_rate_;
  return std::min(reference_rate_, reference_rate_at_quorum_);
}

bool SlowStart::HasCredit(EndpointRecord& endpoint, Millis now) {
  const double capacity_share = CapacityShare(endpoint, now);
  if (capacity_share >= 1) return true;
  SlowStartState& state = endpoint.slow_start;
  const double earned_credit = kOverloadRateShare * settings_.overload_multiple * capacity_share *
                               endpoint.info.weight * ReferenceRate(now) * (now - state.credit_updated_at);
  if (state.credit < 1) state.credit_full_since = now;
  state.credit = std::min(1.0, state.credit + earned_credit);
  state.credit_updated_at = now;
  // Unused credit expires: otherwise each of many gateways would keep the credit for one request, and in a
  // traffic burst all gateways would send that request at the same time.
  const bool has_expired = state.credit >= 1 && now - state.credit_full_since > kUnusedCreditLifetime;
  if (membership_.knows_peers() && has_expired) state.credit = random_.Uniform();
  return state.credit >= 1;
}

void SlowStart::Spend(EndpointRecord& endpoint, Millis now) const {
  if (!IsWarm(endpoint, now)) endpoint.slow_start.credit -= 1;
}

// Counts answers and not attempts, because under congestion more attempts are sent than the endpoints can
// serve. Until a warm endpoint has been observed, the rate is the arrival rate divided by the endpoints'
// total weight.
void SlowStart::LearnReferenceRate(const EndpointRegistry& registry, Millis elapsed, double arrival_rate,
                                   Millis now) {
  const double decay_factor = std::exp(-elapsed / kReferenceRateTimeConstant);
  warm_time_ *= decay_factor;
  warm_answers_ *= decay_factor;
  double total_weight = 0;
  for (const auto& [id, endpoint] : registry.records()) {
    if (!endpoint.up || endpoint.outlier.ejected) continue;
    total_weight += endpoint.info.weight;
    if (IsWarm(endpoint, now)) warm_time_ += elapsed * endpoint.info.weight;
  }
  reference_rate_ = warm_time_ > 0 ? warm_answers_ / (warm_time_ + kPriorTimePerWeight * total_weight)
                                   : arrival_rate / std::max(1.0, total_weight);
  if (membership_.HasQuorum(now)) reference_rate_at_quorum_ = reference_rate_;
}

void SlowStart::Save(LearnedState& state) const {
  state.warm_answers = warm_answers_;
  state.warm_time = warm_time_;
}

void SlowStart::Restore(const LearnedState& state) {
  warm_answers_ = state.warm_answers;
  warm_time_ = state.warm_time;
}

}  // namespace meadowyard::decision
