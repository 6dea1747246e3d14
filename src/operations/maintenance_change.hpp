/// @file
/// An operator's change to the maintenance of a host.
#ifndef MEADOWYARD_OPERATIONS_MAINTENANCE_CHANGE_HPP_
#define MEADOWYARD_OPERATIONS_MAINTENANCE_CHANGE_HPP_

#include <string>

namespace meadowyard::operations {

/// An operator has started or ended a host's maintenance. No requests are sent to a host in maintenance.
struct MaintenanceChange {
  std::string host_id;
  bool in_maintenance = false;
};

}  // namespace meadowyard::operations

#endif  // MEADOWYARD_OPERATIONS_MAINTENANCE_CHANGE_HPP_
