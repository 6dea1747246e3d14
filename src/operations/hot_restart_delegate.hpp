/// @file
/// What HotRestartCoordinator needs of the gateway around it.
#ifndef MEADOWYARD_OPERATIONS_HOT_RESTART_DELEGATE_HPP_
#define MEADOWYARD_OPERATIONS_HOT_RESTART_DELEGATE_HPP_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "operations/descriptor.hpp"
#include "operations/handover_messages.hpp"
#include "operations/maintenance_change.hpp"

namespace meadowyard::operations {

/// A listening socket for tunnels. The descriptor stays with the gateway.
struct TunnelListener {
  std::string name;
  int descriptor = -1;
};

/// The gateway's side of a hot restart. All calls come on the event loop's thread.
class HotRestartDelegate {
 public:
  HotRestartDelegate() = default;
  HotRestartDelegate(const HotRestartDelegate&) = delete;
  HotRestartDelegate& operator=(const HotRestartDelegate&) = delete;
  virtual ~HotRestartDelegate() = default;

  // ---- This process is the predecessor ----

  /// The state that a successor starts from; see SerializeHandoverState.
  virtual std::string SerializeState() = 0;
  /// The clients' listening socket, which stays with the gateway.
  virtual int ClientListener() = 0;
  virtual std::vector<TunnelListener> TunnelListeners() = 0;
  /// How many descriptors this process holds.
  virtual std::size_t CountDescriptors() = 0;
  /// The successor serves: pass on whatever is idle. HotRestartCoordinator::successor_serving() is true.
  virtual void OnSuccessorServing() = 0;
  /// The successor that served has ended: this process serves again.
  virtual void OnSuccessorLost() = 0;

  // ---- This process is the successor ----

  /// The predecessor holds this many descriptors; 0 once it has ended.
  virtual void OnPredecessorDescriptors(std::size_t count) = 0;
  /// Takes over a client's connection. `unread` is what the predecessor has read of its next request.
  virtual void AdoptClientConnection(std::string_view unread, Descriptor connection) = 0;
  /// Takes over an idle connection to a host.
  virtual void AdoptHostConnection(const HostConnectionInfo& info, Descriptor connection) = 0;
  /// Takes over an open tunnel. `state` is what the predecessor's tunnel server said of it.
  virtual void AdoptTunnel(std::string_view state, Descriptor client, Descriptor host) = 0;

  // ---- Both ----

  /// An operator has changed the maintenance of a host at the other process.
  virtual void OnMaintenanceChanged(const MaintenanceChange& change) = 0;
};

}  // namespace meadowyard::operations

#endif  // MEADOWYARD_OPERATIONS_HOT_RESTART_DELEGATE_HPP_
