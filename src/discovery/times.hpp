// How long news of the hosts may take: one budget, derived in docs/design/discovery.md.
#ifndef MEADOWYARD_DISCOVERY_TIMES_HPP_
#define MEADOWYARD_DISCOVERY_TIMES_HPP_

#include "meadowyard/policy.hpp"

namespace meadowyard {

constexpr Millis kToldWithin = 6000;   // the platform's: by then what discovery has counts as told
constexpr Millis kWait = 2000;         // that a call of a watch may wait for news
constexpr Millis kSilence = 1500;      // beyond that: a watch unanswered by then is broken
constexpr Millis kFirstWait = 1;       // of the first call on a connection: an answer proves that it works
constexpr Millis kFirstAnswer = 3000;  // for that one: a crowded discovery answers in turn
constexpr Millis kDial = 1000;         // a discovery that is cut off never answers a dial
constexpr Millis kLeastLeft = 1500;    // for the dial and the answer that bring the news

// A watch that falls silent as its call begins; a connection that comes up and is silent from then on; a
// dial.
static_assert(kWait + kSilence + kMaxPollBackoff + kDial <= kToldWithin);
static_assert(kFirstAnswer + kMaxPollBackoff + kLeastLeft <= kToldWithin);
static_assert(kDial + kMaxPollBackoff + kLeastLeft <= kToldWithin);

}  // namespace meadowyard

#endif  // MEADOWYARD_DISCOVERY_TIMES_HPP_
