// What one process tells the next of itself, as JSON text.
#ifndef MEADOWYARD_STATE_TEXT_HPP_
#define MEADOWYARD_STATE_TEXT_HPP_

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

#include "discovery/discovery.hpp"
#include "meadowyard/policy.hpp"

namespace meadowyard::operations {

struct HandoverState {
  std::string configuration;      // the configuration in force
  std::string discovery_address;  // its address
  discovery::EndpointList hosts;  // as discovery told them
  bool revision_known = false;
  LearnedState learned;
  std::size_t descriptors = 0;     // that the process holds
  std::string edge_configuration;  // the operators' file in force; empty: none
};

std::string SerializeHandoverState(const HandoverState& state);
// Nothing if the text is broken, or of a version that says less.
std::optional<HandoverState> ParseHandoverState(const std::string& text);

}  // namespace meadowyard::operations

#endif  // MEADOWYARD_STATE_TEXT_HPP_
