/// @file
/// One process's side of a hot restart, in which a new process of the gateway takes over from the serving one
/// without losing a request. A process may have a predecessor, from which it takes over, and a successor.
#ifndef MEADOWYARD_OPERATIONS_HOT_RESTART_COORDINATOR_HPP_
#define MEADOWYARD_OPERATIONS_HOT_RESTART_COORDINATOR_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <string_view>

#include "meadowyard/policy.hpp"
#include "operations/configuration_change.hpp"
#include "operations/descriptor.hpp"
#include "operations/handover_channel.hpp"
#include "operations/handover_messages.hpp"
#include "operations/hot_restart_delegate.hpp"
#include "operations/maintenance_change.hpp"
#include "operations/successor_listener.hpp"

namespace meadowyard::operations {

/// Exchanges messages with the predecessor and the successor, and tracks which process serves. The steps of a
/// hot restart:
///
///  1. The successor connects and receives the state and the listening sockets, as fast as it reads them.
///     This process keeps serving meanwhile. From now on the two share the ids of their open requests.
///  2. The successor reports that it serves. This process passes idle connections to it and finishes the open
///     requests.
///  3. If the successor exits before this process does, this process serves again, unless it is shutting
///  down.
///
/// While both processes run, each replicates changes to the maintenance of hosts and reloads of the
/// configuration to the other.
class HotRestartCoordinator {
 public:
  /// `path` is the socket to which a successor connects (see config::HandoverSocketPath); if it is empty, no
  /// successor can connect. `predecessor` is PredecessorState::channel, or empty. The delegate must outlive
  /// the coordinator.
  HotRestartCoordinator(boost::asio::io_context& io, const std::string& path, Descriptor predecessor,
                        HotRestartDelegate& delegate);

  /// Notifies the predecessor that this process serves, and listens for a successor. Further calls have no
  /// effect.
  void StartServing();
  /// Whether the successor serves instead of this process.
  [[nodiscard]] bool successor_serving() const { return successor_serving_; }
  /// Whether there is a connection to a predecessor or a successor.
  [[nodiscard]] bool IsConnected() const { return predecessor_ || successor_; }

  /// Passes a client's connection to the successor, with the part of its next request already read; false if
  /// it can't be passed now. The caller keeps ownership of its descriptor.
  [[nodiscard]] bool PassClientConnection(std::string_view unread, int connection);
  /// Passes an idle connection to a host, likewise.
  [[nodiscard]] bool PassHostConnection(const HostConnectionInfo& info, int connection);
  /// Passes an open tunnel, likewise; `state` is the argument of HotRestartDelegate::AdoptTunnel.
  [[nodiscard]] bool PassTunnel(std::string_view state, int client, int host);

  /// Sends a change that an operator made in this process to the predecessor and the successor.
  void ReplicateMaintenance(const MaintenanceChange& change);
  /// Sends what a reload has put in force in this process to the predecessor and the successor.
  void ReplicateConfiguration(const ConfigurationChange& change);

 private:
  void OnPredecessorMessage(IncomingMessage message);
  /// Handles a change that the other process made, and passes it on to `further`, the third process of two
  /// hot restarts in a row, if it is not null. Messages of other kinds are ignored.
  void OnReplicatedChange(const IncomingMessage& message, HandoverChannel* further);
  void OnPredecessorClosed();
  void OnSuccessorConnected(Descriptor connection);
  [[nodiscard]] bool EnqueueState(HandoverChannel& channel);
  void StartStateTimer();
  void FailStateTransfer();
  void OnSuccessorMessage(const IncomingMessage& message);
  void OnSuccessorReady();
  void OnSuccessorClosed();
  void SendDescriptorCount();
  bool SendToSuccessor(const OutgoingMessage& message);

  boost::asio::io_context& io_;
  HotRestartDelegate& delegate_;
  std::unique_ptr<HandoverChannel> predecessor_;  // null: none, or it has exited
  std::unique_ptr<HandoverChannel> successor_;    // null: none, or it has exited
  SuccessorListener listener_;
  const bool may_have_successor_;
  boost::asio::steady_timer state_timer_;  // limits how long the successor may take to read the state
  Millis state_deadline_ = 0;
  boost::asio::steady_timer descriptor_count_timer_;
  bool serving_ = false;
  bool successor_serving_ = false;
};

}  // namespace meadowyard::operations

#endif  // MEADOWYARD_OPERATIONS_HOT_RESTART_COORDINATOR_HPP_
