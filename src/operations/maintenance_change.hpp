/// @file
/// What operators decide about a host.
#ifndef MEADOWYARD_OPERATIONS_MAINTENANCE_CHANGE_HPP_
#define MEADOWYARD_OPERATIONS_MAINTENANCE_CHANGE_HPP_

#include <string>

namespace meadowyard::operations {

/// An operator has put a host into maintenance or ended it.
struct MaintenanceChange {
  std::string host_id;
  bool in_maintenance = false;
};

}  // namespace meadowyard::operations

#endif  // MEADOWYARD_OPERATIONS_MAINTENANCE_CHANGE_HPP_
