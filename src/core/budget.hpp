/// @file
/// Divides the file descriptors and the memory of the process between clients and hosts, so that both sides
/// together stay within its limits.
#ifndef MEADOWYARD_CORE_BUDGET_HPP_
#define MEADOWYARD_CORE_BUDGET_HPP_

#include <cstddef>
#include <cstdint>

namespace meadowyard {

constexpr std::size_t kInternalSockets = 16;  // approximate number besides those of clients and hosts

/// Maximum numbers for the two sides of the gateway.
struct Budget {
  std::size_t host_connections = 1;  // over all hosts; also limits the attempts in flight
  std::size_t client_sessions = 1;
  std::size_t idle_eviction_threshold = 1;  // with more sessions, idle connections of clients are closed
  std::uint64_t body_bytes = 1;             // buffered bodies, summed over all requests
};

/// What the process may use.
struct ResourceLimits {
  std::size_t sockets = 1024;  // file descriptors that the process may have open
  double memory_mb = 128;
  bool has_admin_interface = false;  // descriptors are reserved for it
};

/// Computes the budget from the limits and RLIMIT_NOFILE, whichever is lower. `other_process_descriptors` are
/// held by another process of this gateway during a hot restart and are not available to this one.
Budget ComputeBudget(const ResourceLimits& limits, std::size_t other_process_descriptors = 0);

}  // namespace meadowyard

#endif  // MEADOWYARD_CORE_BUDGET_HPP_
