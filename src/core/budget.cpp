#include "core/budget.hpp"

#include <sys/resource.h>

#include <algorithm>

namespace meadowyard {
namespace {

// Listener, discovery, standard streams, the event loop's own descriptors, and a margin.
constexpr std::size_t kReservedSockets = 24;
// Admin listener, admin connections and one that is being accepted.
constexpr std::size_t kAdminSockets = 20;
// Share of the usable descriptors. Below half, because an attempt in flight holds one and its client another.
constexpr double kHostConnectionShare = 0.45;
// Share of all descriptors; with more client sessions, idle ones are evicted. It is below one third, because
// clients' connections take at most a third of all descriptors.
constexpr double kIdleEvictionShare = 0.3;
// Share of the memory; a body is buffered twice while it is forwarded.
constexpr double kBodyMemoryShare = 0.15;
// Per MiB of memory; an attempt that streams both ways needs about 100 KiB.
constexpr double kAttemptsPerMb = 6;

std::size_t UsableDescriptors(const ResourceLimits& limits, std::size_t other_process_descriptors) {
  rlimit limit{};
  std::size_t max_descriptors = limits.sockets;
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY) {
    max_descriptors = std::min<std::size_t>(max_descriptors, limit.rlim_cur);
  }
  const std::size_t reserved = kReservedSockets + (limits.has_admin_interface ? kAdminSockets : 0);
  const std::size_t usable =
      max_descriptors > 2 * reserved ? max_descriptors - reserved : max_descriptors / 2;
  return std::max(usable / 4, usable - std::min(usable, other_process_descriptors));
}

}  // namespace

Budget ComputeBudget(const ResourceLimits& limits, std::size_t other_process_descriptors) {
  Budget budget;
  const std::size_t usable = UsableDescriptors(limits, other_process_descriptors);
  const double by_descriptors = static_cast<double>(usable) * kHostConnectionShare;
  const double by_memory = limits.memory_mb * kAttemptsPerMb - static_cast<double>(other_process_descriptors);
  budget.host_connections = static_cast<std::size_t>(std::max(1.0, std::min(by_descriptors, by_memory)));
  budget.client_sessions = usable > budget.host_connections ? usable - budget.host_connections : 1;
  budget.idle_eviction_threshold =
      static_cast<std::size_t>(static_cast<double>(limits.sockets) * kIdleEvictionShare);
  budget.body_bytes =
      static_cast<std::uint64_t>(std::max(1.0, limits.memory_mb * kBodyMemoryShare) * (1 << 20));
  return budget;
}

}  // namespace meadowyard
