/// @file
/// What a process that starts receives from its predecessor: the process of the same gateway, perhaps of
/// another version, that serves already.
#ifndef MEADOWYARD_OPERATIONS_PREDECESSOR_STATE_HPP_
#define MEADOWYARD_OPERATIONS_PREDECESSOR_STATE_HPP_

#include <map>
#include <optional>
#include <string>

#include "operations/descriptor.hpp"

namespace meadowyard::operations {

/// The predecessor's state, its listening sockets, and the channel over which the hot restart goes on.
struct PredecessorState {
  std::string state;  ///< See ParseHandoverState.
  Descriptor client_listener;
  std::map<std::string, Descriptor> tunnel_listeners;  ///< By the listener's name.
  Descriptor channel;                                  ///< For HotRestartCoordinator.
};

/// Requests the state of the process that listens at `path` (see HandoverPath). Blocks for up to three
/// seconds. Nothing if `path` is empty, no process of this user listens there, or it doesn't answer in time.
[[nodiscard]] std::optional<PredecessorState> RequestPredecessorState(const std::string& path);

}  // namespace meadowyard::operations

#endif  // MEADOWYARD_OPERATIONS_PREDECESSOR_STATE_HPP_
