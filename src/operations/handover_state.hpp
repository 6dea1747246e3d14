/// @file
/// The state that a process hands over to its successor, and its serialised form: JSON. Other versions of the
/// program read and write the same field names, so these must never change.
#ifndef MEADOWYARD_OPERATIONS_HANDOVER_STATE_HPP_
#define MEADOWYARD_OPERATIONS_HANDOVER_STATE_HPP_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "discovery/discovery.hpp"
#include "meadowyard/policy.hpp"

namespace meadowyard::operations {

/// The state from which a successor continues this process's work.
struct HandoverState {
  std::string configuration;      ///< The configuration in effect, as JSON text.
  std::string discovery_address;  ///< Address of service discovery, "ADDRESS:PORT".
  discovery::EndpointList hosts;  ///< As received from service discovery.
  bool revision_known = false;    ///< Whether `hosts.revision` is valid.
  LearnedState learned;
  std::size_t descriptors = 0;      ///< The number of file descriptors that the process has open.
  std::string edge_configuration;   ///< Text of the operators' file in effect; empty if there is none.
  std::string peers_configuration;  ///< Text of the peers file in effect; empty: none, or an earlier version.
  /// Hosts in maintenance that the operators' file lists; `learned` has those from service discovery.
  std::vector<std::string> pool_hosts_in_maintenance;
  /// core::ClockOffset, to which all times of the state refer; earlier versions don't send it.
  std::optional<Millis> clock_offset;
};

/// Formats the state as JSON text.
std::string SerializeHandoverState(const HandoverState& state);
/// std::nullopt if the text is malformed or lacks a field; only "edge", "peers",
/// "pool_hosts_in_maintenance" and "clock_offset" may be missing. Unknown fields, as sent by later versions,
/// are ignored.
[[nodiscard]] std::optional<HandoverState> ParseHandoverState(const std::string& text);

}  // namespace meadowyard::operations

#endif  // MEADOWYARD_OPERATIONS_HANDOVER_STATE_HPP_
