/// @file
/// Limits how many lines of one event are logged, so that a fault that affects every request doesn't fill the
/// log.
#ifndef MEADOWYARD_APP_LINE_RATE_LIMIT_HPP_
#define MEADOWYARD_APP_LINE_RATE_LIMIT_HPP_

#include <string>
#include <utility>

#include "log/log.hpp"
#include "meadowyard/policy.hpp"

namespace meadowyard::app {

/// Allows kMaxLinesPerSecond lines and counts those that are skipped.
class LineRateLimit {
 public:
  static constexpr int kMaxLinesPerSecond = 50;

  /// Whether a line may be written at `now`; counts it as written or as skipped.
  [[nodiscard]] bool Allows(Millis now) {
    constexpr Millis kSecond = 1000;
    if (now - second_began_at_ >= kSecond) {
      second_began_at_ = now;
      lines_ = 0;
    }
    if (lines_++ < kMaxLinesPerSecond) return true;
    ++skipped_;
    return false;
  }
  /// Adds the count of lines that were skipped since the last call to `fields`, if there are any.
  void AddSkipped(log::Fields& fields) {
    if (skipped_ > 0) fields.emplace_back("lines_skipped", std::to_string(std::exchange(skipped_, 0)));
  }

 private:
  Millis second_began_at_ = 0;
  int lines_ = 0;  // in the current second
  int skipped_ = 0;
};

}  // namespace meadowyard::app

#endif  // MEADOWYARD_APP_LINE_RATE_LIMIT_HPP_
