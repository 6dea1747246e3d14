/// @file
/// The rate at which requests arrive, smoothed.
#ifndef MEADOWYARD_DECISION_ARRIVAL_RATE_HPP_
#define MEADOWYARD_DECISION_ARRIVAL_RATE_HPP_

#include <cmath>

#include "meadowyard/policy.hpp"

namespace meadowyard::decision {

class ArrivalRate {
 public:
  void Decay(Millis passed) { per_ms_ *= std::exp(-passed / kMemory); }
  void CountRequest() { per_ms_ += 1 / kMemory; }
  /// Requests per millisecond.
  [[nodiscard]] double per_ms() const { return per_ms_; }

  void Save(LearnedState& state) const { state.arrival_rate = per_ms_; }
  void Restore(const LearnedState& state) { per_ms_ = state.arrival_rate; }

 private:
  static constexpr Millis kMemory = 10000;  // ms: a few requests a second have to give a rate

  double per_ms_ = 0;
};

}  // namespace meadowyard::decision

#endif  // MEADOWYARD_DECISION_ARRIVAL_RATE_HPP_
