/// @file
/// The token bucket that limits attempts to the learned rate.
#ifndef MEADOWYARD_DECISION_TOKEN_BUCKET_HPP_
#define MEADOWYARD_DECISION_TOKEN_BUCKET_HPP_

#include <algorithm>

#include "meadowyard/policy.hpp"

namespace meadowyard::decision {

class TokenBucket {
 public:
  /// Adds the tokens that `rate` (tokens per second) yields in `elapsed`, up to the bucket's capacity.
  void Refill(double rate, Millis elapsed) {
    tokens_ = std::min(tokens_ + rate * elapsed / kMillisPerSecond, CapacityAt(rate));
  }
  /// Fills the bucket to its capacity at `rate` (tokens per second).
  void Fill(double rate) { tokens_ = CapacityAt(rate); }
  /// Whether a token may be taken. A fraction of a token suffices: the count then becomes negative, and the
  /// bucket has no token until refills have made up for it.
  [[nodiscard]] bool HasToken() const { return tokens_ > 0; }
  void Take() { tokens_ -= 1; }
  void Return() { tokens_ += 1; }

 private:
  static constexpr double kMillisPerSecond = 1000;
  static constexpr Millis kBurstDuration = 50;  // ms of refill that the bucket holds
  static constexpr double kMinCapacity = 2;     // tokens

  [[nodiscard]] static double CapacityAt(double rate) {
    return std::max(kMinCapacity, rate * kBurstDuration / kMillisPerSecond);
  }

  double tokens_ = 1;
};

}  // namespace meadowyard::decision

#endif  // MEADOWYARD_DECISION_TOKEN_BUCKET_HPP_
