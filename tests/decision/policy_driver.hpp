/// @file
/// Drives a Policy in tests: passes events to it, keeps the clock and sorts the actions that it returns.
#ifndef MEADOWYARD_TESTS_DECISION_POLICY_DRIVER_HPP_
#define MEADOWYARD_TESTS_DECISION_POLICY_DRIVER_HPP_

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "meadowyard/policy.hpp"

namespace meadowyard::testing {

/// A class with an objective of 1 s and a deadline of 2 s.
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

/// Three classes, one of each idempotency, and a slow start of 10 s.
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

/// An endpoint that is up, in zone "z" + `cell`.
inline Endpoint MakeEndpoint(std::string id, std::string cell = "0", Millis started_at = 0) {
  Endpoint endpoint;
  endpoint.id = std::move(id);
  endpoint.zone = "z" + cell;
  endpoint.kind = "k";
  endpoint.cell = std::move(cell);
  endpoint.started_at = started_at;
  return endpoint;
}

/// `count` endpoints named s0, s1 ... that have been up for long.
inline std::vector<Endpoint> MakeEndpoints(int count) {
  std::vector<Endpoint> endpoints;
  for (int i = 0; i < count; ++i) endpoints.push_back(MakeEndpoint("s" + std::to_string(i)));
  return endpoints;
}

/// One Policy with its clock.
struct PolicyDriver {
  explicit PolicyDriver(Settings settings = MakeSettings(), std::uint64_t seed = 1)
      : policy(std::move(settings), seed) {}

  std::vector<Action> Handle(const Event& event) {
    std::vector<Action> actions;
    policy.Handle(now, event, actions);
    for (const Action& a : actions) {
      if (const auto* send = std::get_if<StartAttempt>(&a)) sent.push_back(*send);
    }
    return actions;
  }

  /// A snapshot of the endpoint list.
  void Snapshot(std::vector<Endpoint> endpoints) {
    Handle(EndpointUpdate{EndpointUpdate::Kind::kSnapshot, std::move(endpoints)});
  }

  /// Lists `count` endpoints; see MakeEndpoints.
  void ListEndpoints(int count) { Snapshot(MakeEndpoints(count)); }

  /// A request arrives.
  std::vector<Action> Arrive(std::string id, std::string cls = "view", Millis left = 2000,
                             std::string tenant = "") {
    Request r;
    r.id = std::move(id);
    r.class_name = std::move(cls);
    r.tenant = std::move(tenant);
    r.time_left = left;
    return Handle(r);
  }

  /// An attempt ends.
  std::vector<Action> EndAttempt(const std::string& id, const std::string& server, AttemptResult result,
                                 Millis latency, int attempt = 0) {
    return Handle(AttemptOutcome{id, attempt, server, result, result == AttemptResult::kServed, latency, {}});
  }

  /// Lets time pass, with the sweeps that the timer would cause.
  std::vector<Action> Advance(Millis ms) {
    std::vector<Action> all;
    for (const Millis until = now + ms; now < until;) {
      now = std::min(until, now + 10);
      for (auto& a : Handle(TimerExpired{"sweep"})) all.push_back(a);
    }
    return all;
  }

  /// Serves `n` requests one after the other, each in `latency` ms, so that estimates settle. Returns
  /// how many each endpoint got; those that were not sent at once count under "".
  std::map<std::string, int> Serve(int n, Millis latency = 50, const std::string& cls = "view") {
    std::map<std::string, int> taken;
    for (int i = 0; i < n; ++i) {
      const std::string id = "warm" + std::to_string(next_request_number++);
      const std::string server = SentTo(Arrive(id, cls));
      ++taken[server];
      now += latency;
      Handle(TimerExpired{"sweep"});
      if (!server.empty()) EndAttempt(id, server, AttemptResult::kServed, latency);
    }
    return taken;
  }

  static std::string SentTo(const std::vector<Action>& actions) {
    for (const Action& a : actions) {
      if (const auto* send = std::get_if<StartAttempt>(&a)) return send->endpoint;
    }
    return "";
  }

  static bool Logged(const std::vector<Action>& actions, Log::Event event) {
    return std::any_of(actions.begin(), actions.end(), [&](const Action& a) {
      const auto* log = std::get_if<Log>(&a);
      return log != nullptr && log->event == event;
    });
  }

  template <typename T>
  static int Count(const std::vector<Action>& actions) {
    return static_cast<int>(std::count_if(actions.begin(), actions.end(),
                                          [](const Action& a) { return std::holds_alternative<T>(a); }));
  }

  Policy policy;
  Millis now = 1000;
  int next_request_number = 0;
  std::vector<StartAttempt> sent;
};

}  // namespace meadowyard::testing

#endif  // MEADOWYARD_TESTS_DECISION_POLICY_DRIVER_HPP_
