/// @file
/// Why a client's connection was closed, for the log and the metrics.
#ifndef MEADOWYARD_FRONTS_HTTP_CONNECTION_END_HPP_
#define MEADOWYARD_FRONTS_HTTP_CONNECTION_END_HPP_

#include <string>

#include "meadowyard/policy.hpp"

namespace meadowyard {

/// The event that closed a client's connection.
enum class ConnectionEndReason {
  kClosedByClient,   ///< The client closed or reset it, or sent no complete request.
  kClientLeft,       ///< The same, while a request was unanswered.
  kClientStalled,    ///< The client accepted no more of its answer.
  kAnswered,         ///< After an answer that was not to be followed by another request.
  kAnswerTruncated,  ///< The endpoint's response broke off, so that the answer stays incomplete.
  kWriteFailed,      ///< The answer could not be written.
  kIdle,             ///< No request came in time.
  kShutdown,         ///< It was idle when the process was shutting down.
  kEvicted,          ///< Another client needed its place.
  kHandedOver,       ///< Another process of the gateway has it.
};

/// The reason's name in the log and in the metrics.
constexpr const char* ToString(ConnectionEndReason reason) {
  switch (reason) {
    case ConnectionEndReason::kClosedByClient: return "closed_by_client";
    case ConnectionEndReason::kClientLeft: return "client_left";
    case ConnectionEndReason::kClientStalled: return "client_stalled";
    case ConnectionEndReason::kAnswered: return "answered";
    case ConnectionEndReason::kAnswerTruncated: return "answer_truncated";
    case ConnectionEndReason::kWriteFailed: return "write_failed";
    case ConnectionEndReason::kIdle: return "idle";
    case ConnectionEndReason::kShutdown: return "shutdown";
    case ConnectionEndReason::kEvicted: return "evicted";
    case ConnectionEndReason::kHandedOver: return "handed_over";
  }
  return "unknown";
}

/// A client's connection that was closed.
struct ConnectionEnd {
  ConnectionEndReason reason = ConnectionEndReason::kAnswered;
  std::string last_request;  ///< The id of the last request on it; empty if there was none.
  Millis in_state_for = 0;   ///< Since the request was read, its answer begun or the last one written.
};

}  // namespace meadowyard

#endif  // MEADOWYARD_FRONTS_HTTP_CONNECTION_END_HPP_
