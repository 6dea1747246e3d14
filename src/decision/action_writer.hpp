/// @file
/// Where the mechanisms put the actions that the gateway is to carry out.
#ifndef MEADOWYARD_DECISION_ACTION_WRITER_HPP_
#define MEADOWYARD_DECISION_ACTION_WRITER_HPP_

#include <utility>
#include <vector>

#include "decision/instants.hpp"
#include "meadowyard/policy.hpp"

namespace meadowyard::decision {

class ActionWriter {
 public:
  /// Actions are appended to `actions` until the next call.
  void WriteTo(std::vector<Action>& actions) { actions_ = &actions; }
  template <typename ConcreteAction>
  void Emit(ConcreteAction&& action) {
    actions_->emplace_back(std::forward<ConcreteAction>(action));
  }
  /// A log entry; at most a few a second, so that faults don't flood the log.
  void LogLimited(Log entry, Millis now) {
    if (now < no_log_before_) return;
    no_log_before_ = now + kMinLogInterval;
    Emit(std::move(entry));
  }

 private:
  static constexpr Millis kMinLogInterval = 200;

  std::vector<Action>* actions_ = nullptr;
  Millis no_log_before_ = kNever;
};

}  // namespace meadowyard::decision

#endif  // MEADOWYARD_DECISION_ACTION_WRITER_HPP_
