/// @file
/// Schedules the polls of service discovery if it does not push its updates (Settings::polls_endpoints).
#ifndef MEADOWYARD_DECISION_POLL_SCHEDULE_HPP_
#define MEADOWYARD_DECISION_POLL_SCHEDULE_HPP_

#include "decision/instants.hpp"
#include "decision/random_source.hpp"
#include "meadowyard/policy.hpp"

namespace meadowyard::decision {

/// Polls once at the start, and again after each failure with exponential backoff and jitter.
class PollSchedule {
 public:
  /// All arguments must outlive this object.
  PollSchedule(const Settings& settings, RandomSource& random) : settings_(settings), random_(random) {}

  /// Whether a poll is due. If so, the caller must poll, and no further poll is due until OnFailure.
  [[nodiscard]] bool TakeDue(Millis now);
  /// Schedules the next poll. The backoff doubles, since service discovery may be overloaded, and is
  /// jittered, so that the gateways don't all poll at the same time.
  void OnFailure(Millis now);
  void OnSuccess() { backoff_ = 0; }

 private:
  const Settings& settings_;
  RandomSource& random_;
  Millis next_poll_at_ = kNever;
  Millis backoff_ = 0;  // 0: the last poll did not fail
};

}  // namespace meadowyard::decision

#endif  // MEADOWYARD_DECISION_POLL_SCHEDULE_HPP_
