/// @file
/// A gateway's part in a hot restart, in which a new process takes over from the one that serves without
/// losing a request. Each process may have a predecessor, from which it took over, and a successor.
#ifndef MEADOWYARD_OPERATIONS_HOT_RESTART_COORDINATOR_HPP_
#define MEADOWYARD_OPERATIONS_HOT_RESTART_COORDINATOR_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <string_view>

#include "operations/descriptor.hpp"
#include "operations/handover_channel.hpp"
#include "operations/handover_messages.hpp"
#include "operations/hot_restart_delegate.hpp"
#include "operations/maintenance_change.hpp"
#include "operations/successor_listener.hpp"

namespace meadowyard::operations {

/// Speaks with the predecessor and the successor, and says who serves. The course of a hot restart:
///
///  1. The successor connects and is sent the state and the listening sockets. This process goes on serving.
///  2. The successor says that it serves. This process passes on the connections that are idle and finishes
///  the
///     requests that are open.
///  3. If the successor ends before this process does, this process serves again.
///
/// While both run, each change to a host's maintenance is replicated to the other.
class HotRestartCoordinator {
 public:
  /// `path` is where a successor finds this process (see HandoverPath); empty: it can't have one.
  /// `predecessor` is PredecessorState::channel, or empty. The delegate must outlive the coordinator.
  HotRestartCoordinator(boost::asio::io_context& io, const std::string& path, Descriptor predecessor,
                        HotRestartDelegate& delegate);

  /// This process serves: notifies the predecessor, and listens for a successor. Calls after the first one do
  /// nothing.
  void StartServing();
  /// Whether the successor serves in this process's place.
  [[nodiscard]] bool successor_serving() const { return successor_serving_; }

  /// Passes a client's connection to the successor; false if it can't be passed now. The descriptor stays
  /// with the caller.
  [[nodiscard]] bool PassClientConnection(std::string_view unread, int connection);
  /// The same for an idle connection to a host.
  [[nodiscard]] bool PassHostConnection(const HostConnectionInfo& info, int connection);
  /// The same for an open tunnel; `state` is for HotRestartDelegate::AdoptTunnel.
  [[nodiscard]] bool PassTunnel(std::string_view state, int client, int host);

  /// Sends a change that an operator made at this process to the predecessor and the successor.
  void ReplicateMaintenance(const MaintenanceChange& change);

 private:
  void OnPredecessorMessage(IncomingMessage message);
  void OnPredecessorClosed();
  void OnSuccessorConnected(Descriptor connection);
  [[nodiscard]] bool SendState(int connection);
  void OnSuccessorMessage(const IncomingMessage& message);
  void OnSuccessorReady();
  void OnSuccessorClosed();
  void SendDescriptorCount();
  bool SendToSuccessor(const OutgoingMessage& message);

  boost::asio::io_context& io_;
  HotRestartDelegate& delegate_;
  std::unique_ptr<HandoverChannel> predecessor_;  // null: none, or it has ended
  std::unique_ptr<HandoverChannel> successor_;    // null: none, or it has ended
  SuccessorListener listener_;
  const bool may_have_successor_;
  boost::asio::steady_timer descriptor_count_timer_;
  bool serving_ = false;
  bool successor_serving_ = false;
};

}  // namespace meadowyard::operations

#endif  // MEADOWYARD_OPERATIONS_HOT_RESTART_COORDINATOR_HPP_
