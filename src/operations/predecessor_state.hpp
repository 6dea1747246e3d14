/// @file
/// The state that a starting process receives from its predecessor: the serving process of the same gateway,
/// which may run another version of the program.
#ifndef MEADOWYARD_OPERATIONS_PREDECESSOR_STATE_HPP_
#define MEADOWYARD_OPERATIONS_PREDECESSOR_STATE_HPP_

#include <map>
#include <optional>
#include <string>

#include "operations/descriptor.hpp"

namespace meadowyard::operations {

/// The predecessor's state, its listening sockets, and the channel for the rest of the hot restart.
struct PredecessorState {
  std::string state;           ///< JSON text; see ParseHandoverState.
  Descriptor client_listener;  ///< Empty if the predecessor is shutting down and has closed it.
  Descriptor request_ids;  ///< For SharedRequestIds::Join; empty if the predecessor is an earlier version.
  std::map<std::string, Descriptor> tunnel_listeners;  ///< By the listener's name.
  Descriptor channel;                                  ///< For HotRestartCoordinator.
};

/// The result of FindPredecessor.
struct PredecessorSearch {
  bool found = false;  ///< A process of this gateway listens, or listened when the search began.
  std::optional<PredecessorState> predecessor;  ///< Empty although `found`: its state was lost.
};

/// Requests the state of the process that listens at `path` (see config::HandoverSocketPath). Blocks for up
/// to three seconds, and asks again if that process ends the connection before the state is complete: it may
/// be busy with another successor, which then listens at `path`, or be of an earlier version, which gives up
/// while the state waits to be read. Nothing is found if `path` is empty or no process of this user listens
/// there; the state is lost if it is not complete in time.
[[nodiscard]] PredecessorSearch FindPredecessor(const std::string& path);

}  // namespace meadowyard::operations

#endif  // MEADOWYARD_OPERATIONS_PREDECESSOR_STATE_HPP_
