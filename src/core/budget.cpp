#include "core/budget.hpp"

#include <sys/resource.h>

#include <algorithm>

namespace meadowyard {
namespace {

constexpr std::size_t kSpareSockets = 24;  // listener, discovery, standard streams, the loop's own, and room
constexpr std::size_t kAdminSockets = 20;  // operators' listener, their calls and one that is being accepted
constexpr double kHostShare = 0.45;   // of the descriptors left; an attempt out holds one, as its client does
constexpr double kUsualShare = 0.3;   // of all descriptors: clients hold a third of them at the most
constexpr double kBodyShare = 0.15;   // of the memory: bodies are held twice while they are passed on
constexpr double kAttemptsPerMb = 6;  // of memory; one that streams both ways holds about 100 KiB

std::size_t Usable(const ResourceLimits& means, std::size_t others) {
  rlimit limit{};
  std::size_t all = means.sockets;
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY) {
    all = std::min<std::size_t>(all, limit.rlim_cur);
  }
  const std::size_t spare = kSpareSockets + (means.operators_call ? kAdminSockets : 0);
  const std::size_t usable = all > 2 * spare ? all - spare : all / 2;
  return std::max(usable / 4, usable - std::min(usable, others));
}

}  // namespace

Budget ComputeBudget(const ResourceLimits& means, std::size_t others) {
  Budget budget;
  const std::size_t usable = Usable(means, others);
  const double by_descriptors = static_cast<double>(usable) * kHostShare;
  const double by_memory = means.memory_mb * kAttemptsPerMb - static_cast<double>(others);
  budget.host_connections = static_cast<std::size_t>(std::max(1.0, std::min(by_descriptors, by_memory)));
  budget.client_sessions = usable > budget.host_connections ? usable - budget.host_connections : 1;
  budget.idle_eviction_threshold = static_cast<std::size_t>(static_cast<double>(means.sockets) * kUsualShare);
  budget.body_bytes = static_cast<std::uint64_t>(std::max(1.0, means.memory_mb * kBodyShare) * (1 << 20));
  return budget;
}

}  // namespace meadowyard
