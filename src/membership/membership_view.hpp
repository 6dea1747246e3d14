// Who of the listed gateways is there, as one of them sees it: a state machine without I/O. Times are
// milliseconds on that gateway's own clock.
#ifndef MEADOWYARD_MEMBERSHIP_MEMBERSHIP_VIEW_HPP_
#define MEADOWYARD_MEMBERSHIP_MEMBERSHIP_VIEW_HPP_

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "membership/heartbeat.hpp"

namespace meadowyard::membership {

constexpr Millis kNeverHeard = -1e15;

class PeerView {
 public:
  struct Times {
    Millis silent = 1000, gone = 3000;
  };
  // `names` in the list's order; `life` is drawn anew at each start. All count as there at first: whoever
  // begins takes no more than its part of the whole list.
  PeerView(std::vector<std::string> names, std::size_t self, Times times, std::uint64_t life, Millis now);

  // False if it is dropped: from a stranger, or older than what was heard before.
  bool Hear(Millis now, const Beat& beat);
  // The next word to all others, but for its gossip.
  Beat Next(Millis now);

  struct Look {
    int listed = 1, present = 1, place = 0;
    Millis in_touch_until = 0;
  };
  Look At(Millis now) const;

  struct Peer {
    std::string name;
    std::uint64_t life = 0, number = 0, list = 0;
    int listed = 0;        // as it said last; 0: never heard
    Millis heard_at = 0;   // last word
    Millis mutual_at = 0;  // when this one said the last word that it has answered
  };
  // By the list's order; one's own entry says nothing.
  const std::vector<Peer>& peers() const { return peers_; }
  std::uint64_t list() const { return list_; }
  std::uint64_t dropped() const { return dropped_; }

 private:
  const std::size_t self_;
  const Times times_;
  const std::uint64_t life_;
  std::uint64_t list_ = 0, number_ = 0, dropped_ = 0;
  Millis back_at_ = kNeverHeard;  // in touch again since then
  std::deque<Millis> sent_;       // the last words of this one, by number
  std::vector<Peer> peers_;
};

}  // namespace meadowyard::membership

#endif  // MEADOWYARD_MEMBERSHIP_MEMBERSHIP_VIEW_HPP_
