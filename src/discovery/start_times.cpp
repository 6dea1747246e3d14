#include "discovery/start_times.hpp"

#include <algorithm>

namespace meadowyard::discovery {
namespace {

constexpr std::size_t kMaxHosts = 8192;  // listed ones and such that were listed before

}  // namespace

Millis StartTimes::Estimate(const Endpoint& endpoint, bool changed_recently, Millis now) {
  if (endpoint.state == EndpointState::kRemoved) return endpoint.started_at;
  const auto [entry, added] = starts_.try_emplace(endpoint.id);
  Start& start = entry->second;
  start.listed_at = now;
  if (!added && start.reported == endpoint.started_at) return start.estimated;
  start.reported = start.estimated = endpoint.started_at;
  if (changed_recently && endpoint.started_at > 0)
    start.estimated = std::max(endpoint.started_at, now - kMaxChangeAge);
  const Millis estimated = start.estimated;
  if (starts_.size() > kMaxHosts) DropOldest();
  return estimated;
}

void StartTimes::DropOldest() {
  starts_.erase(std::min_element(starts_.begin(), starts_.end(), [](const auto& a, const auto& b) {
    return a.second.listed_at < b.second.listed_at;
  }));
}

}  // namespace meadowyard::discovery
