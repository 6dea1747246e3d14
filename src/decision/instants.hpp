/// @file
/// Instants that stand for "not yet" and "no more".
#ifndef MEADOWYARD_DECISION_INSTANTS_HPP_
#define MEADOWYARD_DECISION_INSTANTS_HPP_

#include <limits>

#include "meadowyard/policy.hpp"

namespace meadowyard::decision {

/// Before any instant of the gateway's clock.
constexpr Millis kNever = -1e15;
/// After any instant.
constexpr Millis kForever = std::numeric_limits<Millis>::infinity();

}  // namespace meadowyard::decision

#endif  // MEADOWYARD_DECISION_INSTANTS_HPP_
