/// @file
/// What the operators' calls need of the gateway.
#ifndef MEADOWYARD_OPERATIONS_ADMIN_DELEGATE_HPP_
#define MEADOWYARD_OPERATIONS_ADMIN_DELEGATE_HPP_

#include <cstdint>
#include <optional>
#include <string>

#include "operations/maintenance_change.hpp"

namespace meadowyard::operations {

/// The gateway as operators see it. All calls come on the event loop's thread.
class AdminDelegate {
 public:
  AdminDelegate() = default;
  AdminDelegate(const AdminDelegate&) = delete;
  AdminDelegate& operator=(const AdminDelegate&) = delete;
  virtual ~AdminDelegate() = default;

  /// Whether the gateway serves clients.
  virtual bool IsReady() = 0;
  /// The metrics as a JSON object.
  virtual std::string MetricsJson() = 0;
  /// Puts a host into maintenance or ends it; false if no host has this id.
  virtual bool ChangeMaintenance(const MaintenanceChange& change) = 0;
  /// The open tunnels as JSON; nothing where the gateway has no tunnels.
  virtual std::optional<std::string> TunnelsJson() = 0;
  /// Closes a tunnel; false if none has this id. Called only where TunnelsJson() returns something.
  virtual bool CloseTunnel(std::uint64_t id) = 0;
  /// The state of the other gateways as JSON; nothing where the gateway has no peers.
  virtual std::optional<std::string> PeersJson() = 0;
};

}  // namespace meadowyard::operations

#endif  // MEADOWYARD_OPERATIONS_ADMIN_DELEGATE_HPP_
