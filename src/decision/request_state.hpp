/// @file
/// The state of a request, from its arrival until it is answered and all of its attempts have ended.
#ifndef MEADOWYARD_DECISION_REQUEST_STATE_HPP_
#define MEADOWYARD_DECISION_REQUEST_STATE_HPP_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "decision/endpoint_record.hpp"
#include "meadowyard/policy.hpp"

namespace meadowyard::decision {

/// The state of one attempt of a request.
struct AttemptState {
  EndpointRecord* endpoint = nullptr;
  Millis started_at = 0;
  Millis timeout = 0;
  bool is_in_flight = true;
  bool may_have_been_executed = true;
  bool was_unreachable = false;    ///< No connection to the endpoint could be established.
  bool loads_endpoint = true;      ///< Its endpoint works on it: counted in EndpointRecord::in_flight.
  bool occupies_endpoint = false;  ///< It is an open tunnel: counted in EndpointRecord::tunnels.
  bool is_streaming = false;       ///< Its answer is being forwarded to the client.
};

/// The state of one open request. Owned by RequestTable; its address stays the same while it is open.
struct RequestState {
  std::string id;
  std::size_t class_index = 0;        ///< Index of its class in TrafficClassTable.
  std::uint64_t key = 0;              ///< HashOptionalId of Request::key.
  std::uint64_t pinned_endpoint = 0;  ///< HashOptionalId of Request::pinned_endpoint; 0: any endpoint.
  bool is_tunnel = false;
  Millis arrived_at = 0;     ///< Arrival of the request, or of the end of its body if that came later.
  Millis objective_at = 0;   ///< Latest time of an answer within the latency objective.
  Millis deadline_at = 0;    ///< Time at which the client stops waiting.
  double zone_draw = 0;      ///< Random number in [0, 1) that selects the zone by the zone weights.
  bool within_quota = true;  ///< False: over its tenant's quota or a late retry; lower priority.
  bool is_answered = false;
  bool is_queued = false;
  bool is_body_pending = false;
  int max_attempts = 1;
  std::vector<AttemptState> attempts;

  [[nodiscard]] bool IsPinned() const { return pinned_endpoint != 0; }
  [[nodiscard]] bool IsFirstAttempt() const { return attempts.empty(); }
  [[nodiscard]] bool HasAttemptInFlight() const {
    return std::any_of(attempts.begin(), attempts.end(),
                       [](const AttemptState& attempt) { return attempt.is_in_flight; });
  }
  /// The first attempt that may have been executed, or null. Its endpoint and its start determine where and
  /// how long a request with an idempotency key may be retried.
  [[nodiscard]] const AttemptState* FirstPossiblyExecuted() const {
    const auto found = std::find_if(attempts.begin(), attempts.end(), [](const AttemptState& attempt) {
      return attempt.may_have_been_executed;
    });
    return found == attempts.end() ? nullptr : &*found;
  }
  [[nodiscard]] bool WasNeverExecuted() const { return FirstPossiblyExecuted() == nullptr; }
  /// The attempt with this number (see AttemptOutcome::attempt), or null.
  [[nodiscard]] AttemptState* FindAttempt(int number) {
    const bool exists = number >= 0 && number < static_cast<int>(attempts.size());
    return exists ? &attempts[static_cast<std::size_t>(number)] : nullptr;
  }
};

}  // namespace meadowyard::decision

#endif  // MEADOWYARD_DECISION_REQUEST_STATE_HPP_
