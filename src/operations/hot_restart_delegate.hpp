/// @file
/// The interface through which HotRestartCoordinator accesses the gateway.
#ifndef MEADOWYARD_OPERATIONS_HOT_RESTART_DELEGATE_HPP_
#define MEADOWYARD_OPERATIONS_HOT_RESTART_DELEGATE_HPP_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "operations/configuration_change.hpp"
#include "operations/descriptor.hpp"
#include "operations/handover_messages.hpp"
#include "operations/maintenance_change.hpp"

namespace meadowyard::operations {

/// A listening socket for tunnels. The gateway owns the descriptor.
struct TunnelListener {
  std::string name;
  int descriptor = -1;
};

/// Implemented by the gateway. All functions are called on the event loop's thread.
class HotRestartDelegate {
 public:
  HotRestartDelegate() = default;
  HotRestartDelegate(const HotRestartDelegate&) = delete;
  HotRestartDelegate& operator=(const HotRestartDelegate&) = delete;
  virtual ~HotRestartDelegate() = default;

  // ---- This process is the predecessor ----

  /// The state that a successor continues from; see SerializeHandoverState.
  virtual std::string SerializeState() = 0;
  /// The clients' listening socket, which the gateway owns.
  virtual int ClientListener() = 0;
  virtual std::vector<TunnelListener> TunnelListeners() = 0;
  /// The table of open requests' ids (see SharedRequestIds), which the gateway owns; -1 if there is none.
  virtual int RequestIdTable() = 0;
  /// The hosts of the operators' pools that are in maintenance.
  virtual std::vector<std::string> PoolHostsInMaintenance() = 0;
  /// The number of file descriptors that this process has open.
  virtual std::size_t CountDescriptors() = 0;
  /// Whether this process is shutting down: it doesn't serve again if its successor exits.
  virtual bool IsStopping() = 0;
  /// The successor has started to serve: the gateway passes its idle connections to it.
  /// HotRestartCoordinator::successor_serving() is already true.
  virtual void OnSuccessorServing() = 0;
  /// The serving successor has exited: this process serves again.
  virtual void OnSuccessorLost() = 0;
  /// The same while IsStopping(): another process serves, the successor's own successor, so this process only
  /// finishes its open requests.
  virtual void OnSuccessorEndedFirst() = 0;

  // ---- This process is the successor ----

  /// The predecessor has `count` file descriptors open; 0 once it has exited.
  virtual void OnPredecessorDescriptors(std::size_t count) = 0;
  /// Takes over a client's connection. `unread` is the part of its next request that the predecessor
  /// has already read.
  virtual void AdoptClientConnection(std::string_view unread, Descriptor connection) = 0;
  /// Takes over an idle connection to a host.
  virtual void AdoptHostConnection(const HostConnectionInfo& info, Descriptor connection) = 0;
  /// Takes over an open tunnel. `state` is the text passed to the predecessor's
  /// HotRestartCoordinator::PassTunnel.
  virtual void AdoptTunnel(std::string_view state, Descriptor client, Descriptor host) = 0;

  // ---- Both ----

  /// An operator has started or ended the maintenance of a host in the other process.
  virtual void OnMaintenanceChanged(const MaintenanceChange& change) = 0;
  /// A reload has changed the configuration in the other process. Without `change`: the change is too long
  /// for a message, or of a later version, and the files have to be read again.
  virtual void OnConfigurationChanged(const std::optional<ConfigurationChange>& change) = 0;
};

}  // namespace meadowyard::operations

#endif  // MEADOWYARD_OPERATIONS_HOT_RESTART_DELEGATE_HPP_
