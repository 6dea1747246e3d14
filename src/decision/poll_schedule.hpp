/// @file
/// When service discovery is polled, where it does not push.
#ifndef MEADOWYARD_DECISION_POLL_SCHEDULE_HPP_
#define MEADOWYARD_DECISION_POLL_SCHEDULE_HPP_

#include "decision/instants.hpp"
#include "decision/random_source.hpp"
#include "meadowyard/policy.hpp"

namespace meadowyard::decision {

class PollSchedule {
 public:
  /// All arguments outlive it.
  PollSchedule(const Settings& settings, RandomSource& random) : settings_(settings), random_(random) {}

  /// Whether a poll is due; if so it counts as made, and the next one follows a failure.
  [[nodiscard]] bool TakeDue(Millis now);
  /// Service discovery may be overloaded: the backoff doubles, and gateways never poll all at once.
  void OnFailure(Millis now);
  void OnSuccess() { backoff_ = 0; }

 private:
  const Settings& settings_;
  RandomSource& random_;
  Millis next_poll_ = kNever;
  Millis backoff_ = 0;
};

}  // namespace meadowyard::decision

#endif  // MEADOWYARD_DECISION_POLL_SCHEDULE_HPP_
