/// @file
/// Collects the actions that the mechanisms of the decision module emit while they handle an event.
#ifndef MEADOWYARD_DECISION_ACTION_WRITER_HPP_
#define MEADOWYARD_DECISION_ACTION_WRITER_HPP_

#include <utility>
#include <vector>

#include "decision/instants.hpp"
#include "meadowyard/policy.hpp"

namespace meadowyard::decision {

/// Appends actions to the vector of the current Policy::Handle call, and limits the rate of log entries.
class ActionWriter {
 public:
  /// Actions are appended to `actions`, which is not owned, until the next call.
  void WriteTo(std::vector<Action>& actions) { actions_ = &actions; }
  template <typename ConcreteAction>
  void Emit(ConcreteAction&& action) {
    actions_->emplace_back(std::forward<ConcreteAction>(action));
  }
  /// Emits a log entry, or drops it if the last one is less than kMinLogInterval ago: many faults at once
  /// must not flood the log.
  void LogLimited(Log entry, Millis now) {
    if (now < no_log_before_) return;
    no_log_before_ = now + kMinLogInterval;
    Emit(std::move(entry));
  }

 private:
  static constexpr Millis kMinLogInterval = 200;  // ms, at most 5 entries per second

  std::vector<Action>* actions_ = nullptr;
  Millis no_log_before_ = kNever;
};

}  // namespace meadowyard::decision

#endif  // MEADOWYARD_DECISION_ACTION_WRITER_HPP_
