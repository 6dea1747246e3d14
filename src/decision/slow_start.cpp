#include "decision/slow_start.hpp"

#include <algorithm>
#include <cmath>

namespace meadowyard::decision {
namespace {

constexpr double kOverloadShare = 0.4;  // of the multiple that overloads a warming endpoint: what it is sent
constexpr Millis kPriorTime = 500;      // ms of each endpoint's time that a first few answers are spread over
constexpr Millis kReferenceMemory = 10000;  // ms: a few requests a second have to give a rate
constexpr Millis kCreditExpiry = 500;  // ms that a full credit waits unused where gateways share endpoints

}  // namespace

double SlowStart::Warmth(const EndpointRecord& endpoint, Millis now) const {
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

// A gateway that has lost the others keeps the share it had: their clients may come here while they still
// send.
double SlowStart::ReferenceRate(Millis now) const {
  if (!membership_.knows_peers() || membership_.HasQuorum(now)) return reference_rate_;
  return std::min(reference_rate_, reference_rate_at_quorum_);
}

bool SlowStart::HasCredit(EndpointRecord& endpoint, Millis now) {
  const double warmth = Warmth(endpoint, now);
  if (warmth >= 1) return true;
  SlowStartState& state = endpoint.slow_start;
  const double earned = kOverloadShare * settings_.overload_multiple * warmth * endpoint.info.weight *
                        ReferenceRate(now) * (now - state.credit_updated_at);
  if (state.credit < 1) state.credit_full_since = now;
  state.credit = std::min(1.0, state.credit + earned);
  state.credit_updated_at = now;
  // A turn that is not used expires: else each of many gateways keeps a request in hand, and in a burst all
  // of them come at once.
  const bool expired = state.credit >= 1 && now - state.credit_full_since > kCreditExpiry;
  if (membership_.knows_peers() && expired) state.credit = random_.Uniform();
  return state.credit >= 1;
}

void SlowStart::Spend(EndpointRecord& endpoint, Millis now) const {
  if (!IsWarm(endpoint, now)) endpoint.slow_start.credit -= 1;
}

// Answers, not attempts: in a jam more is sent than any endpoint can do. Where none was warm yet: its share
// of what arrives.
void SlowStart::LearnReferenceRate(const EndpointRegistry& registry, Millis passed, double arrival_rate,
                                   Millis now) {
  const double kept = std::exp(-passed / kReferenceMemory);
  warm_time_ *= kept;
  warm_responses_ *= kept;
  double total_weight = 0;
  for (const auto& [id, endpoint] : registry.records()) {
    if (!endpoint.up || endpoint.outlier.ejected) continue;
    total_weight += endpoint.info.weight;
    if (IsWarm(endpoint, now)) warm_time_ += passed * endpoint.info.weight;
  }
  reference_rate_ = warm_time_ > 0 ? warm_responses_ / (warm_time_ + kPriorTime * total_weight)
                                   : arrival_rate / std::max(1.0, total_weight);
  if (membership_.HasQuorum(now)) reference_rate_at_quorum_ = reference_rate_;
}

void SlowStart::Save(LearnedState& state) const {
  state.warm_answers = warm_responses_;
  state.warm_time = warm_time_;
}

void SlowStart::Restore(const LearnedState& state) {
  warm_responses_ = state.warm_answers;
  warm_time_ = state.warm_time;
}

}  // namespace meadowyard::decision
