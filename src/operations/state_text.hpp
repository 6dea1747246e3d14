// What one process tells the next of itself, as JSON text.
#ifndef MEADOWYARD_STATE_TEXT_HPP_
#define MEADOWYARD_STATE_TEXT_HPP_

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

#include "discovery/discovery.hpp"
#include "meadowyard/policy.hpp"

namespace meadowyard {

struct GatewayState {
  std::string file;               // the configuration in force
  std::string discovery;          // its address
  discovery::EndpointList hosts;  // as discovery told them
  bool revision_known = false;
  LearnedState learned;
  std::size_t descriptors = 0;  // that the process holds
  std::string edge;             // the operators' file in force; empty: none
};

std::string ToText(const GatewayState& state);
// Nothing if the text is broken, or of a version that says less.
std::optional<GatewayState> ParseState(const std::string& text);

}  // namespace meadowyard

#endif  // MEADOWYARD_STATE_TEXT_HPP_
