/// @file
/// What a process hands over to its successor, and its stored form: JSON whose names are shared with other
/// versions of the program and never change.
#ifndef MEADOWYARD_OPERATIONS_HANDOVER_STATE_HPP_
#define MEADOWYARD_OPERATIONS_HANDOVER_STATE_HPP_

#include <cstddef>
#include <optional>
#include <string>

#include "discovery/discovery.hpp"
#include "meadowyard/policy.hpp"

namespace meadowyard::operations {

/// What a successor has to know to go on where this process stands.
struct HandoverState {
  std::string configuration;      ///< The configuration in force, as JSON text.
  std::string discovery_address;  ///< Of service discovery, "ADDRESS:PORT".
  discovery::EndpointList hosts;  ///< As service discovery described them.
  bool revision_known = false;    ///< Whether `hosts.revision` is valid.
  LearnedState learned;
  std::size_t descriptors = 0;     ///< Held by the process.
  std::string edge_configuration;  ///< The text of the operators' file in force; empty: none.
};

/// The stored form.
std::string SerializeHandoverState(const HandoverState& state);
/// Nothing if the text is malformed or lacks a field. Fields of later versions are ignored.
[[nodiscard]] std::optional<HandoverState> ParseHandoverState(const std::string& text);

}  // namespace meadowyard::operations

#endif  // MEADOWYARD_OPERATIONS_HANDOVER_STATE_HPP_
