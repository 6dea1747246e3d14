/// @file
/// Why an attempt ended, for the log and the metrics. The decision module gets the AttemptResult instead,
/// which says what the end proves about the request and its endpoint.
#ifndef MEADOWYARD_CORE_ATTEMPT_END_HPP_
#define MEADOWYARD_CORE_ATTEMPT_END_HPP_

#include <string>

#include "meadowyard/policy.hpp"

namespace meadowyard::core {

/// The event that ended an attempt.
enum class AttemptEndReason {
  kResponseComplete,     ///< A successful response was received, and forwarded if it was streamed.
  kErrorStatus,          ///< The endpoint answered with another status than 200.
  kDeclined,             ///< The endpoint declined the request without executing it.
  kConnectFailed,        ///< The connection was rejected, or broke while it was established.
  kConnectTimeout,       ///< The connection was not established in time.
  kLocalError,           ///< This machine could not open the connection.
  kWriteFailed,          ///< The connection broke before the request was written.
  kUploadTimeout,        ///< The endpoint accepted no more of the request's body.
  kClosedByEndpoint,     ///< The endpoint closed the connection before its response was complete.
  kConnectionBroken,     ///< The connection was reset, or the network reported it as broken.
  kMalformedResponse,    ///< The response is not valid HTTP.
  kResponseTooLong,      ///< The response exceeds the longest body, or does not end.
  kResponseTimeout,      ///< No response began in time.
  kResponseStalled,      ///< A response that was being streamed did not continue in time.
  kClientBodyBroken,     ///< The client did not send the rest of the request's body.
  kCancelled,            ///< The request ended otherwise: its client left, or another attempt was served.
  kEndpointUnavailable,  ///< The endpoint drains or is gone, so nothing was sent.
  kNotWanted,            ///< The request had ended before anything was sent.
  kNoCapacity,           ///< No more connections may be opened.
};

/// The reason's name in the log and in the metrics.
constexpr const char* ToString(AttemptEndReason reason) {
  switch (reason) {
    case AttemptEndReason::kResponseComplete: return "response_complete";
    case AttemptEndReason::kErrorStatus: return "error_status";
    case AttemptEndReason::kDeclined: return "declined";
    case AttemptEndReason::kConnectFailed: return "connect_failed";
    case AttemptEndReason::kConnectTimeout: return "connect_timeout";
    case AttemptEndReason::kLocalError: return "local_error";
    case AttemptEndReason::kWriteFailed: return "write_failed";
    case AttemptEndReason::kUploadTimeout: return "upload_timeout";
    case AttemptEndReason::kClosedByEndpoint: return "closed_by_endpoint";
    case AttemptEndReason::kConnectionBroken: return "connection_broken";
    case AttemptEndReason::kMalformedResponse: return "malformed_response";
    case AttemptEndReason::kResponseTooLong: return "response_too_long";
    case AttemptEndReason::kResponseTimeout: return "response_timeout";
    case AttemptEndReason::kResponseStalled: return "response_stalled";
    case AttemptEndReason::kClientBodyBroken: return "client_body_broken";
    case AttemptEndReason::kCancelled: return "cancelled";
    case AttemptEndReason::kEndpointUnavailable: return "endpoint_unavailable";
    case AttemptEndReason::kNotWanted: return "not_wanted";
    case AttemptEndReason::kNoCapacity: return "no_capacity";
  }
  return "unknown";
}

/// An attempt that has ended.
struct AttemptEnd {
  std::string request;
  std::string endpoint;
  AttemptResult result = AttemptResult::kServed;
  AttemptEndReason reason = AttemptEndReason::kResponseComplete;
  Millis duration = 0;          ///< Since it was started.
  bool response_begun = false;  ///< The client was sent the beginning of the response.
};

}  // namespace meadowyard::core

#endif  // MEADOWYARD_CORE_ATTEMPT_END_HPP_
