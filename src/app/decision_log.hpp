/// @file
/// Writes the log entries of the decision module to the program's log.
#ifndef MEADOWYARD_APP_DECISION_LOG_HPP_
#define MEADOWYARD_APP_DECISION_LOG_HPP_

#include "meadowyard/policy.hpp"

namespace meadowyard::app {

/// Writes `entry` as a log event at level info.
void LogDecision(const Log& entry);

}  // namespace meadowyard::app

#endif  // MEADOWYARD_APP_DECISION_LOG_HPP_
