// Who may have a further tunnel: in all, by client address, by user. No I/O.
#ifndef MEADOWYARD_FRONTS_TUNNEL_ADMISSION_HPP_
#define MEADOWYARD_FRONTS_TUNNEL_ADMISSION_HPP_

#include <cstddef>
#include <string>
#include <unordered_map>

namespace meadowyard {

class Admission {
 public:
  struct Limits {
    std::size_t most = 1, most_per_address = 1, most_per_user = 1;
  };
  enum class Verdict { kTaken, kFull, kAddressFull, kUserFull };

  explicit Admission(const Limits& limits) : limits_(limits) {}
  // What is open beyond new limits stays open.
  void SetLimits(const Limits& limits) { limits_ = limits; }

  // Nobody's user is empty, and has no limit of its own. Each kTaken is given back by one Release.
  Verdict Take(const std::string& address, const std::string& user) {
    if (taken_ >= limits_.most) return Verdict::kFull;
    if (Count(addresses_, address) >= limits_.most_per_address) return Verdict::kAddressFull;
    if (!user.empty() && Count(users_, user) >= limits_.most_per_user) return Verdict::kUserFull;
    Force(address, user);
    return Verdict::kTaken;
  }
  // One that another process let in already.
  void Force(const std::string& address, const std::string& user) {
    ++taken_;
    ++addresses_[address];
    if (!user.empty()) ++users_[user];
  }
  void Release(const std::string& address, const std::string& user) {
    --taken_;
    Less(addresses_, address);
    if (!user.empty()) Less(users_, user);
  }
  std::size_t taken() const { return taken_; }

 private:
  using Counts = std::unordered_map<std::string, std::size_t>;
  static std::size_t Count(const Counts& counts, const std::string& key) {
    const auto found = counts.find(key);
    return found == counts.end() ? 0 : found->second;
  }
  static void Less(Counts& counts, const std::string& key) {
    const auto found = counts.find(key);
    if (found != counts.end() && --found->second == 0) counts.erase(found);
  }

  Limits limits_;
  std::size_t taken_ = 0;
  Counts addresses_, users_;
};

}  // namespace meadowyard

#endif  // MEADOWYARD_FRONTS_TUNNEL_ADMISSION_HPP_
