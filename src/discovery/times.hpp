/// @file
/// Time budget for learning of a change to the host list; derived in docs/design/discovery.md.
#ifndef MEADOWYARD_DISCOVERY_TIMES_HPP_
#define MEADOWYARD_DISCOVERY_TIMES_HPP_

#include "meadowyard/policy.hpp"

namespace meadowyard::discovery {

// Set by the platform: after this time every gateway is expected to know a change that discovery has
// published.
constexpr Millis kNotificationTime = 6000;
// Longest time that discovery may hold a poll of a watch while there is no change.
constexpr Millis kLongPollWait = 2000;
// Beyond kLongPollWait: a poll without an answer by then counts as failed.
constexpr Millis kLongPollGrace = 1500;
// Wait of the first poll on a connection: its immediate answer proves that the connection works.
constexpr Millis kFirstPollWait = 1;
// Timeout of the first poll: an overloaded discovery service answers its clients one after the other.
constexpr Millis kFirstPollTimeout = 3000;
// A discovery service behind a network partition never completes a connect.
constexpr Millis kConnectTimeout = 1000;
// Reserved for the connect and the poll that deliver the update after a failure.
constexpr Millis kReconnectAndUpdateTime = 1500;

// Three worst cases, each followed by the longest backoff: a watch that stops answering as a poll begins, a
// new connection that never answers its first poll, and a connect that times out.
static_assert(kLongPollWait + kLongPollGrace + kMaxPollBackoff + kConnectTimeout <= kNotificationTime);
static_assert(kFirstPollTimeout + kMaxPollBackoff + kReconnectAndUpdateTime <= kNotificationTime);
static_assert(kConnectTimeout + kMaxPollBackoff + kReconnectAndUpdateTime <= kNotificationTime);

}  // namespace meadowyard::discovery

#endif  // MEADOWYARD_DISCOVERY_TIMES_HPP_
