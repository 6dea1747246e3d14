// How long news of the hosts may take: one budget, derived in docs/design/discovery.md.
#ifndef MEADOWYARD_DISCOVERY_TIMES_HPP_
#define MEADOWYARD_DISCOVERY_TIMES_HPP_

#include "meadowyard/policy.hpp"

namespace meadowyard::discovery {

constexpr Millis kNotificationTime = 6000;  // the platform's: by then what discovery has counts as told
constexpr Millis kLongPollWait = 2000;      // that a call of a watch may wait for news
constexpr Millis kLongPollGrace = 1500;     // beyond that: a watch unanswered by then is broken
constexpr Millis kFirstPollWait = 1;  // of the first call on a connection: an answer proves that it works
constexpr Millis kFirstPollTimeout = 3000;  // for that one: a crowded discovery answers in turn
constexpr Millis kConnectTimeout = 1000;    // a discovery that is cut off never answers a dial
constexpr Millis kMinUpdateTime = 1500;     // for the dial and the answer that bring the news

// A watch that falls silent as its call begins; a connection that comes up and is silent from then on; a
// dial.
static_assert(kLongPollWait + kLongPollGrace + kMaxPollBackoff + kConnectTimeout <= kNotificationTime);
static_assert(kFirstPollTimeout + kMaxPollBackoff + kMinUpdateTime <= kNotificationTime);
static_assert(kConnectTimeout + kMaxPollBackoff + kMinUpdateTime <= kNotificationTime);

}  // namespace meadowyard::discovery

#endif  // MEADOWYARD_DISCOVERY_TIMES_HPP_
