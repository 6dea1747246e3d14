/// @file
/// Reads a Policy's settings from "key=value" pairs, as the simulator and the platform's configuration write
/// them.
#ifndef MEADOWYARD_SIMULATOR_SETTINGS_PARSER_HPP_
#define MEADOWYARD_SIMULATOR_SETTINGS_PARSER_HPP_

#include "meadowyard/policy.hpp"
#include "simulator/simulator_protocol.hpp"

namespace meadowyard::simulator {

/// Unknown keys are ignored; missing ones keep their defaults. Throws SimulatorProtocolError on a pair that
/// is malformed, and ConfigurationError on an unknown idempotency or deduplication scope.
Settings ParseSettings(const Words& pairs);

}  // namespace meadowyard::simulator

#endif  // MEADOWYARD_SIMULATOR_SETTINGS_PARSER_HPP_
