/// @file
/// Ids of requests that may have been executed and have ended without an endpoint's answer, because their
/// client left or was answered that they failed. A request with such an id would be executed a second time.
#ifndef MEADOWYARD_CORE_REPLAY_CACHE_HPP_
#define MEADOWYARD_CORE_REPLAY_CACHE_HPP_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "meadowyard/policy.hpp"

namespace meadowyard::core {

/// Stands for a request's id, the same in all processes.
[[nodiscard]] std::uint64_t HashRequestId(const std::string& id);

/// An id that must not be executed again for some time.
struct UnresolvedId {
  std::uint64_t hash = 0;  ///< HashRequestId
  Millis time_left = 0;
};

/// Keeps the newest kMaxIds ids, each for kRetention: about 2 MB when full.
class ReplayCache {
 public:
  static constexpr std::size_t kMaxIds = 32768;
  static constexpr Millis kRetention = 15.0 * 60 * 1000;

  /// If there is no more space, the oldest id is dropped.
  void Add(const UnresolvedId& id, Millis now);
  [[nodiscard]] bool Contains(std::uint64_t hash, Millis now) const;
  /// All ids that are kept at `now`, the oldest first.
  [[nodiscard]] std::vector<UnresolvedId> All(Millis now) const;

 private:
  void DropOldest();

  std::deque<std::uint64_t> order_;                       // by time of the first addition
  std::unordered_map<std::uint64_t, Millis> expires_at_;  // by hash
};

}  // namespace meadowyard::core

#endif  // MEADOWYARD_CORE_REPLAY_CACHE_HPP_
