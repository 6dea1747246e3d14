/// @file
/// A request that the gateway has taken, until it is answered and all of its attempts have ended.
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

/// One attempt of a request.
struct AttemptState {
  EndpointRecord* endpoint = nullptr;
  Millis started_at = 0;
  Millis timeout = 0;
  bool is_in_flight = true;
  bool may_have_run = true;
  bool was_unreachable = false;    ///< No connection came up.
  bool loads_endpoint = true;      ///< Its endpoint works on it: counted in EndpointRecord::in_flight.
  bool occupies_endpoint = false;  ///< A tunnel that is open: counted in EndpointRecord::tunnels.
  bool is_streaming = false;       ///< Its response goes to the client already.
};

/// Owned by RequestTable; its address stays the same while it is open.
struct RequestState {
  std::string id;
  std::size_t class_index = 0;        ///< In TrafficClassTable.
  std::uint64_t key = 0;              ///< HashOptionalId of its key.
  std::uint64_t pinned_endpoint = 0;  ///< HashOptionalId of the only endpoint that it may go to.
  bool is_tunnel = false;
  Millis arrived_at = 0;
  Millis objective_at = 0;  ///< An answer by then is within the latency objective.
  Millis deadline_at = 0;   ///< The client has given up by then.
  double zone_draw = 0;     ///< From 0 to 1: decides which zone it goes to.
  bool within_quota = true;
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
  /// The first attempt that may have been executed: it decides where a request with an idempotency key may
  /// still go. Null: none was.
  [[nodiscard]] const AttemptState* FirstPossiblyExecuted() const {
    const auto found = std::find_if(attempts.begin(), attempts.end(),
                                    [](const AttemptState& attempt) { return attempt.may_have_run; });
    return found == attempts.end() ? nullptr : &*found;
  }
  [[nodiscard]] bool WasNeverExecuted() const { return FirstPossiblyExecuted() == nullptr; }
  /// The attempt of this number, or null.
  [[nodiscard]] AttemptState* FindAttempt(int number) {
    const bool exists = number >= 0 && number < static_cast<int>(attempts.size());
    return exists ? &attempts[static_cast<std::size_t>(number)] : nullptr;
  }
};

}  // namespace meadowyard::decision

#endif  // MEADOWYARD_DECISION_REQUEST_STATE_HPP_
