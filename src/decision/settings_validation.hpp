/// @file
/// The check of a Policy's settings.
#ifndef MEADOWYARD_DECISION_SETTINGS_VALIDATION_HPP_
#define MEADOWYARD_DECISION_SETTINGS_VALIDATION_HPP_

#include "meadowyard/policy.hpp"

namespace meadowyard::decision {

/// Throws ConfigurationError naming the first field that can't work.
void ValidateSettings(const Settings& settings);

/// Sum of the classes' priority weights.
[[nodiscard]] double TotalPriorityWeight(const Settings& settings);

}  // namespace meadowyard::decision

#endif  // MEADOWYARD_DECISION_SETTINGS_VALIDATION_HPP_
