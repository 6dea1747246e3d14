/// @file
/// The interface through which operators' calls query and change the gateway.
#ifndef MEADOWYARD_OPERATIONS_ADMIN_DELEGATE_HPP_
#define MEADOWYARD_OPERATIONS_ADMIN_DELEGATE_HPP_

#include <cstdint>
#include <optional>
#include <string>

#include "operations/maintenance_change.hpp"

namespace meadowyard::operations {

/// Implemented by the gateway. All functions are called on the event loop's thread.
class AdminDelegate {
 public:
  AdminDelegate() = default;
  AdminDelegate(const AdminDelegate&) = delete;
  AdminDelegate& operator=(const AdminDelegate&) = delete;
  virtual ~AdminDelegate() = default;

  /// Whether the gateway is serving clients.
  virtual bool IsReady() = 0;
  /// The metrics as a JSON object.
  virtual std::string MetricsJson() = 0;
  /// Starts or ends a host's maintenance; false if no host has this id.
  virtual bool ChangeMaintenance(const MaintenanceChange& change) = 0;
  /// The open tunnels as JSON; std::nullopt if the gateway has no tunnel support.
  virtual std::optional<std::string> TunnelsJson() = 0;
  /// Closes a tunnel; false if none has this id. Called only if TunnelsJson() returns a value.
  virtual bool CloseTunnel(std::uint64_t id) = 0;
  /// The state of the other gateways as JSON; std::nullopt if the gateway has no peers.
  virtual std::optional<std::string> PeersJson() = 0;
};

}  // namespace meadowyard::operations

#endif  // MEADOWYARD_OPERATIONS_ADMIN_DELEGATE_HPP_
