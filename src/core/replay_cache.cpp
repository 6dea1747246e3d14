#include "core/replay_cache.hpp"

#include <algorithm>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace meadowyard::core {
namespace {

// Never 0, and the lowest bit is free: SharedRequestIds uses both.
constexpr std::uint64_t kReservedBits = 1;
constexpr std::uint64_t kNeverZero = 2;

}  // namespace

std::uint64_t HashRequestId(const std::string& id) {
  return (XXH3_64bits(id.data(), id.size()) & ~kReservedBits) | kNeverZero;
}

void ReplayCache::Add(const UnresolvedId& id, Millis now) {
  const Millis expires_at = now + std::min(id.time_left, kRetention);
  while (!order_.empty() && expires_at_[order_.front()] <= now) DropOldest();
  const auto [entry, added] = expires_at_.try_emplace(id.hash, expires_at);
  entry->second = std::max(entry->second, expires_at);
  if (!added) return;
  order_.push_back(id.hash);
  if (order_.size() > kMaxIds) DropOldest();
}

bool ReplayCache::Contains(std::uint64_t hash, Millis now) const {
  const auto found = expires_at_.find(hash);
  return found != expires_at_.end() && now < found->second;
}

std::vector<UnresolvedId> ReplayCache::All(Millis now) const {
  std::vector<UnresolvedId> ids;
  for (const std::uint64_t hash : order_) {
    const Millis time_left = expires_at_.at(hash) - now;
    if (time_left > 0) ids.push_back({hash, time_left});
  }
  return ids;
}

void ReplayCache::DropOldest() {
  expires_at_.erase(order_.front());
  order_.pop_front();
}

}  // namespace meadowyard::core
