// How a process shares out its descriptors and its memory between clients and hosts, so that both sides
// together stay under the limits.
#ifndef MEADOWYARD_CORE_BUDGET_HPP_
#define MEADOWYARD_CORE_BUDGET_HPP_

#include <cstddef>
#include <cstdint>

namespace meadowyard {

constexpr std::size_t kInternalSockets = 16;  // that a process holds beside those of clients and hosts, about

struct Budget {
  std::size_t host_connections = 1;  // over all hosts, and so attempts out at once
  std::size_t client_sessions = 1;
  std::size_t idle_eviction_threshold = 1;  // past it, kept connections of clients are closed
  std::uint64_t body_bytes = 1;             // that requests may hold together
};

struct ResourceLimits {
  std::size_t sockets = 1024;  // file descriptors that the process may hold
  double memory_mb = 128;
  bool operators_call = false;  // descriptors are kept for them
};

// `others` are descriptors that another process of this gateway holds. Also heeds the system's own limit.
Budget ComputeBudget(const ResourceLimits& means, std::size_t others = 0);

}  // namespace meadowyard

#endif  // MEADOWYARD_CORE_BUDGET_HPP_
