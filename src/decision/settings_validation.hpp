/// @file
/// Validation of a Policy's settings.
#ifndef MEADOWYARD_DECISION_SETTINGS_VALIDATION_HPP_
#define MEADOWYARD_DECISION_SETTINGS_VALIDATION_HPP_

#include "meadowyard/policy.hpp"

namespace meadowyard::decision {

/// Throws ConfigurationError, which names the first invalid field, if the settings are invalid.
void ValidateSettings(const Settings& settings);

/// Sum of the classes' priority weights.
[[nodiscard]] double TotalPriorityWeight(const Settings& settings);

}  // namespace meadowyard::decision

#endif  // MEADOWYARD_DECISION_SETTINGS_VALIDATION_HPP_
