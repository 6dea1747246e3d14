/// @file
/// When hosts started, determined by the monotonic clock where that is possible. Discovery reports the start
/// in Unix time, which this machine's wall clock may be far from: a host that has just started would pass for
/// one that is warm.
#ifndef MEADOWYARD_DISCOVERY_START_TIMES_HPP_
#define MEADOWYARD_DISCOVERY_START_TIMES_HPP_

#include <map>
#include <string>

#include "meadowyard/policy.hpp"

namespace meadowyard::discovery {

/// A start that discovery reports as a recent change was at most this long ago.
constexpr Millis kMaxChangeAge = 2000;

/// Remembers the start that each host was listed with.
class StartTimes {
 public:
  /// The start of a listed host on the clock of `now`, 0 if it was long ago. `changed_recently`: the change
  /// to the list has happened just now, so a start that the previous list did not have is recent, whatever
  /// time it is reported with. A start keeps its estimate for as long as the host is listed with the same
  /// one.
  Millis Estimate(const Endpoint& endpoint, bool changed_recently, Millis now);

 private:
  struct Start {
    Millis reported = 0;
    Millis estimated = 0;
    Millis listed_at = 0;
  };
  void DropOldest();

  std::map<std::string, Start> starts_;  // by host id
};

}  // namespace meadowyard::discovery

#endif  // MEADOWYARD_DISCOVERY_START_TIMES_HPP_
