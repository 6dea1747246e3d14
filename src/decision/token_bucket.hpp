/// @file
/// The token bucket that admits attempts at the learned rate.
#ifndef MEADOWYARD_DECISION_TOKEN_BUCKET_HPP_
#define MEADOWYARD_DECISION_TOKEN_BUCKET_HPP_

#include <algorithm>

#include "meadowyard/policy.hpp"

namespace meadowyard::decision {

class TokenBucket {
 public:
  /// Adds what `rate` (tokens per second) gives in the time that has passed.
  void Refill(double rate, Millis passed) {
    tokens_ = std::min(tokens_ + rate * passed / kMillisPerSecond, SizeFor(rate));
  }
  void Fill(double rate) { tokens_ = SizeFor(rate); }
  /// A token may be borrowed in part: the bucket then stays empty until it is paid back.
  [[nodiscard]] bool HasToken() const { return tokens_ > 0; }
  void Take() { tokens_ -= 1; }
  void PutBack() { tokens_ += 1; }

 private:
  static constexpr double kMillisPerSecond = 1000;
  static constexpr Millis kBurst = 50;   // ms of refill that it holds
  static constexpr double kMinSize = 2;  // tokens

  [[nodiscard]] static double SizeFor(double rate) {
    return std::max(kMinSize, rate * kBurst / kMillisPerSecond);
  }

  double tokens_ = 1;
};

}  // namespace meadowyard::decision

#endif  // MEADOWYARD_DECISION_TOKEN_BUCKET_HPP_
