/// @file
/// Drives a Policy in tests: passes events to it, keeps its clock and searches the actions that it returns.
#ifndef MEADOWYARD_TESTS_DECISION_POLICY_DRIVER_HPP_
#define MEADOWYARD_TESTS_DECISION_POLICY_DRIVER_HPP_

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "meadowyard/policy.hpp"

namespace meadowyard::testing {

/// A class with a latency objective of 1 s, a deadline of 2 s and a deduplication window of 5 s per cell.
inline TrafficClassSettings MakeClass(std::string name, Idempotency idempotency = Idempotency::kIdempotent,
                                      double priority_weight = 1) {
  TrafficClassSettings settings;
  settings.name = std::move(name);
  settings.latency_objective = 1000;
  settings.deadline = 2000;
  settings.priority_weight = priority_weight;
  settings.idempotency = idempotency;
  settings.dedup_scope = DedupScope::kCell;
  settings.dedup_window = 5000;
  return settings;
}

/// Three classes, one for each value of Idempotency, and a slow start of 10 s from 20 % of the capacity.
inline Settings MakeSettings() {
  Settings settings;
  settings.classes = {MakeClass("view"), MakeClass("key", Idempotency::kIdempotencyKey),
                      MakeClass("pay", Idempotency::kNonIdempotent)};
  settings.max_attempts = 3;
  settings.can_cancel_attempts = true;
  settings.slow_start_fraction = 0.2;
  settings.slow_start_duration = 10000;
  return settings;
}

/// An endpoint that is up, in the zone "z" + `cell`; started long ago if `started_at` is 0.
inline Endpoint MakeEndpoint(std::string id, std::string cell = "0", Millis started_at = 0) {
  Endpoint endpoint;
  endpoint.id = std::move(id);
  endpoint.zone = "z" + cell;
  endpoint.kind = "k";
  endpoint.cell = std::move(cell);
  endpoint.started_at = started_at;
  return endpoint;
}

/// `count` warm endpoints with the ids s0, s1 ...
inline std::vector<Endpoint> MakeEndpoints(int count) {
  std::vector<Endpoint> endpoints;
  for (int i = 0; i < count; ++i) endpoints.push_back(MakeEndpoint("s" + std::to_string(i)));
  return endpoints;
}

/// A Policy and its clock.
struct PolicyDriver {
  explicit PolicyDriver(Settings settings = MakeSettings(), std::uint64_t seed = 1)
      : policy(std::move(settings), seed) {}

  /// Passes an event to the policy at the current time and returns the actions. Appends the StartAttempts
  /// among them to `sent`.
  std::vector<Action> Handle(const Event& event) {
    std::vector<Action> actions;
    policy.Handle(now, event, actions);
    for (const Action& action : actions) {
      if (const auto* start_attempt = std::get_if<StartAttempt>(&action)) sent.push_back(*start_attempt);
    }
    return actions;
  }

  /// Reports a snapshot of the endpoint list.
  void Snapshot(std::vector<Endpoint> endpoints) {
    Handle(EndpointUpdate{EndpointUpdate::Kind::kSnapshot, std::move(endpoints)});
  }

  /// Reports a snapshot with `count` endpoints; see MakeEndpoints.
  void ListEndpoints(int count) { Snapshot(MakeEndpoints(count)); }

  /// Reports the arrival of a request.
  std::vector<Action> Arrive(std::string id, std::string traffic_class = "view",
                             Millis client_time_left = 2000, std::string tenant = "") {
    Request request;
    request.id = std::move(id);
    request.class_name = std::move(traffic_class);
    request.tenant = std::move(tenant);
    request.time_left = client_time_left;
    return Handle(request);
  }

  /// Reports the end of an attempt; kServed also finishes the request.
  std::vector<Action> EndAttempt(const std::string& id, const std::string& endpoint_id, AttemptResult result,
                                 Millis latency, int attempt = 0) {
    return Handle(
        AttemptOutcome{id, attempt, endpoint_id, result, result == AttemptResult::kServed, latency, {}});
  }

  /// Advances the clock by `duration` ms and runs the sweep timer every 10 ms. Returns the actions.
  std::vector<Action> Advance(Millis duration) {
    std::vector<Action> all_actions;
    for (const Millis end_at = now + duration; now < end_at;) {
      now = std::min(end_at, now + 10);
      for (auto& action : Handle(TimerExpired{"sweep"})) all_actions.push_back(action);
    }
    return all_actions;
  }

  /// Serves `request_count` requests one after the other, each in `latency` ms, so that the estimates
  /// converge. Returns the number of requests by endpoint; requests that were queued or rejected count under
  /// "".
  std::map<std::string, int> Serve(int request_count, Millis latency = 50,
                                   const std::string& traffic_class = "view") {
    std::map<std::string, int> requests_by_endpoint;
    for (int i = 0; i < request_count; ++i) {
      const std::string id = "warm" + std::to_string(next_request_number++);
      const std::string endpoint_id = SentTo(Arrive(id, traffic_class));
      ++requests_by_endpoint[endpoint_id];
      now += latency;
      Handle(TimerExpired{"sweep"});
      if (!endpoint_id.empty()) EndAttempt(id, endpoint_id, AttemptResult::kServed, latency);
    }
    return requests_by_endpoint;
  }

  /// The endpoint of the first StartAttempt among `actions`; empty if there is none.
  static std::string SentTo(const std::vector<Action>& actions) {
    for (const Action& action : actions) {
      if (const auto* start_attempt = std::get_if<StartAttempt>(&action)) return start_attempt->endpoint;
    }
    return "";
  }

  /// Whether `actions` contain a log entry of this kind.
  static bool Logged(const std::vector<Action>& actions, Log::Event event) {
    return std::any_of(actions.begin(), actions.end(), [&](const Action& action) {
      const auto* log = std::get_if<Log>(&action);
      return log != nullptr && log->event == event;
    });
  }

  /// Number of actions of type T.
  template <typename T>
  static int Count(const std::vector<Action>& actions) {
    return static_cast<int>(std::count_if(actions.begin(), actions.end(), [](const Action& action) {
      return std::holds_alternative<T>(action);
    }));
  }

  Policy policy;
  Millis now = 1000;
  int next_request_number = 0;     ///< Makes the request ids of Serve unique.
  std::vector<StartAttempt> sent;  ///< All attempts so far.
};

}  // namespace meadowyard::testing

#endif  // MEADOWYARD_TESTS_DECISION_POLICY_DRIVER_HPP_
