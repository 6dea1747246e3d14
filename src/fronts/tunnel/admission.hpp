/// @file
/// Limits on the number of tunnels: in total, per client address and per user. Does no I/O.
#ifndef MEADOWYARD_FRONTS_TUNNEL_ADMISSION_HPP_
#define MEADOWYARD_FRONTS_TUNNEL_ADMISSION_HPP_

#include <cstddef>
#include <string>
#include <unordered_map>

namespace meadowyard {

/// Counts the open tunnels and admits further ones up to the limits.
class Admission {
 public:
  struct Limits {
    std::size_t max_tunnels = 1, max_tunnels_per_address = 1, max_tunnels_per_user = 1;
  };
  enum class Verdict { kTaken, kFull, kAddressFull, kUserFull };

  explicit Admission(const Limits& limits) : limits_(limits) {}
  /// Applies to later calls of Take(): tunnels that are open stay open, also beyond the new limits.
  void SetLimits(const Limits& limits) { limits_ = limits; }

  /// Admits and counts a tunnel if no limit is reached. `user` is empty for an unauthenticated client, to
  /// which no user limit applies. Each kTaken must be followed by exactly one Release().
  Verdict Take(const std::string& address, const std::string& user) {
    if (taken_ >= limits_.max_tunnels) return Verdict::kFull;
    if (Count(tunnels_by_address_, address) >= limits_.max_tunnels_per_address) return Verdict::kAddressFull;
    if (!user.empty() && Count(tunnels_by_user_, user) >= limits_.max_tunnels_per_user)
      return Verdict::kUserFull;
    TakeUnchecked(address, user);
    return Verdict::kTaken;
  }
  /// Counts a tunnel that another process has admitted already, without checking the limits. Like kTaken, it
  /// must be followed by one Release().
  void TakeUnchecked(const std::string& address, const std::string& user) {
    ++taken_;
    ++tunnels_by_address_[address];
    if (!user.empty()) ++tunnels_by_user_[user];
  }
  void Release(const std::string& address, const std::string& user) {
    --taken_;
    Decrement(tunnels_by_address_, address);
    if (!user.empty()) Decrement(tunnels_by_user_, user);
  }
  std::size_t taken() const { return taken_; }

 private:
  using Counts = std::unordered_map<std::string, std::size_t>;
  static std::size_t Count(const Counts& counts, const std::string& key) {
    const auto found = counts.find(key);
    return found == counts.end() ? 0 : found->second;
  }
  static void Decrement(Counts& counts, const std::string& key) {
    const auto found = counts.find(key);
    if (found != counts.end() && --found->second == 0) counts.erase(found);
  }

  Limits limits_;
  std::size_t taken_ = 0;
  Counts tunnels_by_address_, tunnels_by_user_;
};

}  // namespace meadowyard

#endif  // MEADOWYARD_FRONTS_TUNNEL_ADMISSION_HPP_
