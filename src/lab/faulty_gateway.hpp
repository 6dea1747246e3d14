// A gateway that breaks one rule on purpose, to see whether the referee notices. It serves otherwise,
// plainly.
#ifndef MEADOWYARD_LAB_FAULTY_GATEWAY_HPP_
#define MEADOWYARD_LAB_FAULTY_GATEWAY_HPP_

#include <string>

namespace meadowyard::lab {

enum class Fault { kNone, kDuplicate, kLose, kDrain, kHold, kTwice, kSwap, kFlood };
// "none", "duplicate", "lose", "drain", "hold", "twice", "swap" or "flood"; throws std::invalid_argument.
Fault ParseFault(const std::string& name);

// Runs until SIGTERM, configured as a real gateway is.
void RunFaultyGateway(Fault fault);

}  // namespace meadowyard::lab

#endif  // MEADOWYARD_LAB_FAULTY_GATEWAY_HPP_
