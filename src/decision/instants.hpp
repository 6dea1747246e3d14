/// @file
/// Sentinel values for instants.
#ifndef MEADOWYARD_DECISION_INSTANTS_HPP_
#define MEADOWYARD_DECISION_INSTANTS_HPP_

#include <limits>

#include "meadowyard/policy.hpp"

namespace meadowyard::decision {

/// Earlier than any instant on the gateway's clock, but finite, so that differences to it are finite too. As
/// the time of an event: it has not happened.
constexpr Millis kNever = -1e15;
/// Later than any instant. As a time limit: there is none.
constexpr Millis kForever = std::numeric_limits<Millis>::infinity();

}  // namespace meadowyard::decision

#endif  // MEADOWYARD_DECISION_INSTANTS_HPP_
