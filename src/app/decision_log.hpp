/// @file
/// Log entries of the decision module, as log events.
#ifndef MEADOWYARD_APP_DECISION_LOG_HPP_
#define MEADOWYARD_APP_DECISION_LOG_HPP_

#include "meadowyard/policy.hpp"

namespace meadowyard::app {

/// Writes an entry to the program's log, at level info.
void LogDecision(const Log& entry);

}  // namespace meadowyard::app

#endif  // MEADOWYARD_APP_DECISION_LOG_HPP_
