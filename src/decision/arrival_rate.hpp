/// @file
/// The rate at which requests arrive at this gateway, exponentially smoothed.
#ifndef MEADOWYARD_DECISION_ARRIVAL_RATE_HPP_
#define MEADOWYARD_DECISION_ARRIVAL_RATE_HPP_

#include <cmath>

#include "meadowyard/policy.hpp"

namespace meadowyard::decision {

class ArrivalRate {
 public:
  /// `elapsed`: time since the last call.
  void Decay(Millis elapsed) { per_ms_ *= std::exp(-elapsed / kTimeConstant); }
  void CountRequest() { per_ms_ += 1 / kTimeConstant; }
  /// Requests per millisecond.
  [[nodiscard]] double per_ms() const { return per_ms_; }

  void Save(LearnedState& state) const { state.arrival_rate = per_ms_; }
  void Restore(const LearnedState& state) { per_ms_ = state.arrival_rate; }

 private:
  // Long enough for an estimate at a few requests per second.
  static constexpr Millis kTimeConstant = 10000;  // ms

  double per_ms_ = 0;
};

}  // namespace meadowyard::decision

#endif  // MEADOWYARD_DECISION_ARRIVAL_RATE_HPP_
