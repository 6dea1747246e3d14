/// @file
/// Exhaustive exploration of event orders: runs gateways through every sequence of a few events, up to a
/// length, and checks invariants after each event. The checker keeps its own record of what happened and
/// shares no code with the policy and the core that it checks.
#ifndef MEADOWYARD_TESTS_ORDERS_HPP_
#define MEADOWYARD_TESTS_ORDERS_HPP_

#include <algorithm>
#include <deque>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "meadowyard/policy.hpp"

namespace meadowyard::testing::orders {

// Latency objective, client timeout and deduplication window of every class, and a time after all others.
constexpr Millis kLatencyObjective = 100, kClientTimeout = 200, kDedupWindow = 150, kNever = 1e15;
constexpr int kHostCount = 3;             // h0 and h1 are in one cell, h2 in another
constexpr int kMaxAttempts = 2;           // for each request
constexpr Millis kTimingTolerance = 25;   // two periods of the policy's timer, and its margins
constexpr double kWarmHostRatePerS = 20;  // capacity of a host that is not warming up
// A warming host has this fraction of its capacity. This multiple of that, within the window, overloads it.
constexpr double kSlowStartFraction = 0.2, kOverloadMultiple = 2.5;
constexpr Millis kOverloadWindow = 1500;

/// The final answer to a request.
enum class RequestResult { kServed, kRejectedByGateway, kFailed };

/// Receives what a gateway does.
class GatewayObserver {
 public:
  virtual ~GatewayObserver() = default;
  virtual void OnAttemptStarted(int gateway, int request, int host, Millis timeout) = 0;
  virtual void OnRequestFinished(int gateway, int request, RequestResult final_result) = 0;
  /// The gateway cancelled the attempt; its outcome still follows.
  virtual void OnAttemptCancelled(int request, int attempt) = 0;
};

/// Drives one gateway under test.
class GatewayDriver {
 public:
  struct RequestSpec {
    int request = 0;
    std::string traffic_class;
    Idempotency idempotency = Idempotency::kIdempotent;
    Millis client_deadline = kClientTimeout;  // from its arrival
    bool as_tunnel = false;
  };
  virtual ~GatewayDriver() = default;
  virtual bool Admits(const RequestSpec& spec) = 0;
  virtual void SubmitRequest(const RequestSpec& spec) = 0;
  /// An attempt has ended. `finished`: whether the request was finished before.
  virtual void ReportOutcome(int request, int attempt, AttemptResult result, bool finished) = 0;
  /// A streamed response or a tunnel has started to go to the client.
  virtual void ReportResponseStarted(int request, int attempt) = 0;
  /// The client of a request has disconnected.
  virtual void ReportDisconnect(int request) = 0;
  /// Reports a change of hosts, of maintenance or of settings.
  virtual void ReportEvent(const Event& event) = 0;
  /// When the next timer expires; kNever if there is none.
  virtual Millis NextTimerAt() = 0;
  /// Fires the next timer.
  virtual void FireNextTimer() = 0;
  /// Number of objects that the gateway still holds for requests; 0 after all have finished.
  virtual int CountUnreleased() = 0;
};

/// Settings of the gateways. `changed`: with the change that the event settings_changed makes: the class
/// `view` becomes non-idempotent and the class `key` is removed.
inline Settings MakeSettings(int gateways, bool changed) {
  Settings settings;
  const auto add = [&](const char* name, Idempotency declared_idempotency) {
    TrafficClassSettings c;
    c.name = name, c.latency_objective = kLatencyObjective, c.deadline = kClientTimeout,
    c.idempotency = declared_idempotency;
    c.dedup_scope = DedupScope::kCell, c.dedup_window = kDedupWindow;
    settings.classes.push_back(c);
  };
  add("view", changed ? Idempotency::kNonIdempotent : Idempotency::kIdempotent);
  if (!changed) add("key", Idempotency::kIdempotencyKey);
  add("pay", Idempotency::kNonIdempotent);
  settings.gateway_count = gateways;
  settings.max_attempts = kMaxAttempts;
  settings.can_cancel_attempts = settings.sends_retry_after = true;
  settings.max_retry_after = 2000;
  settings.slow_start_fraction = kSlowStartFraction, settings.slow_start_duration = 10000,
  settings.overload_multiple = kOverloadMultiple;
  return settings;
}

inline Endpoint MakeHost(int host, EndpointState state, Millis started_at) {
  Endpoint endpoint;
  endpoint.id = "h" + std::to_string(host);
  endpoint.cell = endpoint.zone = host == 2 ? "b" : "a";
  endpoint.kind = "k";
  endpoint.state = state;
  endpoint.started_at = started_at;
  return endpoint;
}

/// Records requests, attempts and hosts, and keeps the first invariant that was violated.
class InvariantChecker : public GatewayObserver {
 public:
  struct Attempt {
    int host = 0;
    Millis dispatched_at = 0, times_out_at = 0;
    bool in_flight = true, maybe_executed = true, streaming = false;
  };
  struct Request {
    int gateway = 0;
    Idempotency idempotency = Idempotency::kIdempotent;
    Millis arrived_at = 0, answer_by = 0;
    Millis idle_since = 0;  // without an attempt in flight since then
    bool finished = false;  // answered, or its client has disconnected
    std::vector<Attempt> attempts;
  };
  explicit InvariantChecker(int gateways) : ineligible_flags(static_cast<std::size_t>(gateways)) {
    for (auto& hosts : ineligible_flags) hosts.assign(kHostCount, 0);
  }

  void OnAttemptStarted(int gateway, int request_id, int host, Millis timeout) override {
    Request& record = requests[static_cast<std::size_t>(request_id)];
    if (record.finished) return ReportViolation("attempt started after the request was finished");
    if (ineligible_flags[static_cast<std::size_t>(gateway)][static_cast<std::size_t>(host)] != 0)
      return ReportViolation("attempt sent to an ineligible host");
    if (static_cast<int>(record.attempts.size()) >= kMaxAttempts)
      return ReportViolation("more attempts than max_attempts");
    for (const Attempt& a : record.attempts) {
      if (a.in_flight) return ReportViolation("two attempts in flight for one request");
      if (!a.maybe_executed) continue;
      if (record.idempotency == Idempotency::kNonIdempotent)
        return ReportViolation("non-idempotent request possibly executed twice");
      if (record.idempotency == Idempotency::kIdempotencyKey &&
          ((a.host == 2) != (host == 2) || now - a.dispatched_at >= kDedupWindow))
        return ReportViolation("retried outside the deduplication cell or window");
    }
    CheckNotKeptWaiting(record);
    record.attempts.push_back({host, now, now + std::min(timeout, record.answer_by - now)});
    if (warming_since[host] > 0) CheckWarmingHostLoad(host);
  }

  void OnRequestFinished(int, int request_id, RequestResult final_result) override {
    Request& record = requests[static_cast<std::size_t>(request_id)];
    if (record.finished) return ReportViolation("answered twice");
    record.finished = true;
    if (now > record.answer_by) return ReportViolation("answered after the deadline");
    if (final_result == RequestResult::kServed) return;
    const bool in_flight = std::any_of(record.attempts.begin(), record.attempts.end(),
                                       [](const Attempt& a) { return a.in_flight; });
    const bool maybe_executed = std::any_of(record.attempts.begin(), record.attempts.end(),
                                            [](const Attempt& a) { return a.maybe_executed; });
    if (final_result == RequestResult::kRejectedByGateway && record.idempotency != Idempotency::kIdempotent &&
        maybe_executed)
      return ReportViolation("rejected although possibly executed");
    if (!in_flight) CheckNotKeptWaiting(record);
  }

  void OnAttemptCancelled(int request_id, int attempt) override {
    cancelled_attempts.emplace_back(request_id, attempt);
  }

  /// Checks the requests that have no answer yet; called after each event and at the end.
  void CheckWaitingRequests() {
    for (const Request& record : requests) {
      if (record.finished) continue;
      if (now > record.answer_by) ReportViolation("not answered by the deadline");
      if (std::none_of(record.attempts.begin(), record.attempts.end(),
                       [](const Attempt& a) { return a.in_flight; }))
        CheckNotKeptWaiting(record);
    }
  }

  /// Keeps the first violation only.
  void ReportViolation(const std::string& rule) {
    if (violation.empty()) violation = rule;
  }

  Millis now = 1e6;
  std::string violation;
  std::vector<Request> requests;
  std::vector<std::pair<int, int>> cancelled_attempts;
  std::vector<std::vector<int>>
      ineligible_flags;  // flags by gateway and host: 1 draining or removed, 2 in maintenance
  Millis warming_since[kHostCount] = {};  // last restart; 0: warm
  std::deque<Millis> warming_host_attempts[kHostCount];

 private:
  // A request without an attempt in flight has to be dispatched or answered within a quarter of its latency
  // objective from its arrival; after that time, as soon as its last attempt has ended.
  void CheckNotKeptWaiting(const Request& record) {
    const Millis objective = std::min(kLatencyObjective, record.answer_by - record.arrived_at);
    if (now > std::max(record.arrived_at + objective / 4, record.idle_since) + kTimingTolerance)
      ReportViolation("neither dispatched nor answered promptly");
  }
  // Counts an attempt at a warming host, and checks that all gateways together do not overload it.
  void CheckWarmingHostLoad(int host) {
    auto& attempt_times = warming_host_attempts[host];
    attempt_times.push_back(now);
    while (attempt_times.front() < now - kOverloadWindow) attempt_times.pop_front();
    const double capacity = kSlowStartFraction * kWarmHostRatePerS * kOverloadWindow / 1000;
    if (static_cast<double>(attempt_times.size()) > kOverloadMultiple * capacity)
      ReportViolation("warming host overloaded");
  }
};

using DriverFactory = std::function<std::unique_ptr<GatewayDriver>(
    int gateway, int gateways, GatewayObserver& observer, const Millis& now)>;

/// Runs one order of events with its gateways, hosts and clients.
///
/// Events happen at the first gateway, or at the second one with a `2` at the end of the name.
/// - idempotent, idempotency_key, non_idempotent, tunnel: a request arrives.
/// - short_deadline: an idempotent request arrives whose client waits for 45 ms only.
/// - burst: 24 idempotent requests arrive.
/// - wait_10ms, wait_60ms, wait_1s: time passes.
/// - served, error, reset, rejected, connect_failed, not_sent, timed_out: result of the
///   oldest attempt in flight.
/// - newest_served: the newest attempt is served while an older one is in flight.
/// - response_starts, response_ends, response_reset: course of a streamed response or a tunnel.
/// - duplicate_outcome: the last outcome is reported again.
/// - client_disconnects: the client of the oldest unfinished request disconnects.
/// - host_drains, host_removed, host_restarted: service discovery reports a new state of host h0.
/// - maintenance_on, maintenance_off: an operator changes the maintenance of host h0.
/// - settings_changed: the settings change (see MakeSettings), and back the next time.
/// - poll_failed: a poll of service discovery fails.
class Scenario {
 public:
  Scenario(int gateways, const DriverFactory& make_driver) : checker_(gateways) {
    for (int gateway_index = 0; gateway_index < gateways; ++gateway_index) {
      drivers_.push_back(make_driver(gateway_index, gateways, checker_, checker_.now));
      EndpointUpdate all;
      for (int h = 0; h < kHostCount; ++h) all.endpoints.push_back(MakeHost(h, EndpointState::kUp, 0));
      drivers_.back()->ReportEvent(all);
    }
  }

  /// Returns false if the event has no effect now; a shorter order without it covers the same case.
  bool RunEvent(const std::string& name) {
    const bool at_second_gateway = name.ends_with('2');
    const std::string event = at_second_gateway ? name.substr(0, name.size() - 1) : name;
    const bool had_effect = Apply(event, at_second_gateway ? 1 : 0);
    while (!checker_.cancelled_attempts.empty()) {
      const auto [request_id, attempt] = checker_.cancelled_attempts.back();
      checker_.cancelled_attempts.pop_back();
      if (RequestOf(request_id).attempts[static_cast<std::size_t>(attempt)].in_flight)
        EndAttempt(request_id, attempt, AttemptResult::kCancelled);
    }
    checker_.CheckWaitingRequests();
    return had_effect;
  }
  /// Lets all attempts time out and all streams end, then checks that no state is left in the gateways.
  void Finish() {
    for (int i = 0; i < 2; ++i) {
      AdvanceTime(kClientTimeout + kTimingTolerance);
      for (auto [request_id, attempt] : AttemptsInFlight(true))
        EndAttempt(request_id, attempt, AttemptResult::kServed);
    }
    checker_.CheckWaitingRequests();
    for (const auto& driver : drivers_) {
      if (driver->CountUnreleased() != 0)
        checker_.ReportViolation("state left after all requests have finished");
    }
  }
  const std::string& violation() const { return checker_.violation; }

 private:
  GatewayDriver& DriverOf(int request_id) {
    return *drivers_[static_cast<std::size_t>(RequestOf(request_id).gateway)];
  }
  InvariantChecker::Request& RequestOf(int request_id) {
    return checker_.requests[static_cast<std::size_t>(request_id)];
  }

  std::vector<std::pair<int, int>> AttemptsInFlight(bool streaming) {
    std::vector<std::pair<int, int>> all;
    for (std::size_t request_id = 0; request_id < checker_.requests.size(); ++request_id) {
      const auto& attempts = checker_.requests[request_id].attempts;
      for (std::size_t a = 0; a < attempts.size(); ++a) {
        if (attempts[a].in_flight && attempts[a].streaming == streaming)
          all.emplace_back(static_cast<int>(request_id), static_cast<int>(a));
      }
    }
    return all;
  }

  bool Apply(const std::string& event, int gateway_index) {
    GatewayDriver& driver = *drivers_[static_cast<std::size_t>(gateway_index)];
    if (event == "idempotent") return SubmitRequest(gateway_index, "view", Idempotency::kIdempotent);
    if (event == "idempotency_key") return SubmitRequest(gateway_index, "key", Idempotency::kIdempotencyKey);
    if (event == "non_idempotent") return SubmitRequest(gateway_index, "pay", Idempotency::kNonIdempotent);
    if (event == "short_deadline") return SubmitRequest(gateway_index, "view", Idempotency::kIdempotent, 45);
    if (event == "tunnel")
      return SubmitRequest(gateway_index, "pay", Idempotency::kNonIdempotent, kClientTimeout, true);
    if (event == "burst") {
      for (int i = 0; i < 24; ++i) SubmitRequest(gateway_index, "view", Idempotency::kIdempotent);
      return true;
    }
    if (event == "wait_10ms") return AdvanceTime(10);
    if (event == "wait_60ms") return AdvanceTime(60);
    if (event == "wait_1s") return AdvanceTime(1000);
    if (event == "served") return EndOldestAttempt(AttemptResult::kServed);
    if (event == "error") return EndOldestAttempt(AttemptResult::kError);
    if (event == "reset") return EndOldestAttempt(AttemptResult::kReset);
    if (event == "rejected") return EndOldestAttempt(AttemptResult::kRejected);
    if (event == "connect_failed") return EndOldestAttempt(AttemptResult::kConnectFailed);
    if (event == "not_sent") return EndOldestAttempt(AttemptResult::kNotSent);
    if (event == "timed_out") return EndOldestAttempt(AttemptResult::kTimedOut);
    if (event == "newest_served") {
      const auto in_flight = AttemptsInFlight(false);
      if (in_flight.size() < 2) return false;
      return EndAttempt(in_flight.back().first, in_flight.back().second, AttemptResult::kServed);
    }
    if (event == "response_starts") {
      const auto in_flight = AttemptsInFlight(false);
      return !in_flight.empty() && StartResponse(in_flight.front().first, in_flight.front().second);
    }
    if (event == "response_ends" || event == "response_reset") {
      const auto in_flight = AttemptsInFlight(true);
      if (in_flight.empty()) return false;
      return EndAttempt(in_flight.front().first, in_flight.front().second,
                        event == "response_ends" ? AttemptResult::kServed : AttemptResult::kReset);
    }
    if (event == "duplicate_outcome") {
      if (last_ended_.first < 0) return false;
      DriverOf(last_ended_.first)
          .ReportOutcome(last_ended_.first, last_ended_.second, last_result_,
                         RequestOf(last_ended_.first).finished);
      return true;
    }
    if (event == "client_disconnects") {
      for (std::size_t request_id = 0; request_id < checker_.requests.size(); ++request_id) {
        if (checker_.requests[request_id].finished) continue;
        checker_.requests[request_id].finished = true;
        DriverOf(static_cast<int>(request_id)).ReportDisconnect(static_cast<int>(request_id));
        return true;
      }
      return false;
    }
    if (event == "host_drains") return ChangeHost(driver, gateway_index, EndpointState::kDraining);
    if (event == "host_removed") return ChangeHost(driver, gateway_index, EndpointState::kRemoved);
    if (event == "host_restarted") return ChangeHost(driver, gateway_index, EndpointState::kUp);
    int& ineligible_flags = checker_.ineligible_flags[static_cast<std::size_t>(gateway_index)][0];
    if (event == "maintenance_on" || event == "maintenance_off") {
      const bool starts = event == "maintenance_on";
      if (((ineligible_flags & 2) != 0) == starts) return false;
      ineligible_flags ^= 2;
      starts ? driver.ReportEvent(MaintenanceStarted{"h0"}) : driver.ReportEvent(MaintenanceEnded{"h0"});
      return true;
    }
    if (event == "settings_changed") {
      settings_changed_ = !settings_changed_;
      for (const auto& each_driver : drivers_)
        each_driver->ReportEvent(
            SettingsChanged{MakeSettings(static_cast<int>(drivers_.size()), settings_changed_)});
      return true;
    }
    if (event == "poll_failed") {
      driver.ReportEvent(EndpointUpdate{EndpointUpdate::Kind::kFailed, {}});
      return true;
    }
    checker_.ReportViolation("unknown event: " + event);
    return true;
  }

  bool SubmitRequest(int gateway_index, const char* traffic_class, Idempotency declared_idempotency,
                     Millis client_deadline = kClientTimeout, bool as_tunnel = false) {
    const GatewayDriver::RequestSpec spec{static_cast<int>(checker_.requests.size()), traffic_class,
                                          declared_idempotency, client_deadline, as_tunnel};
    if (!drivers_[static_cast<std::size_t>(gateway_index)]->Admits(spec)) return false;
    InvariantChecker::Request record;
    record.gateway = gateway_index, record.idempotency = declared_idempotency,
    record.arrived_at = record.idle_since = checker_.now;
    record.answer_by = checker_.now + client_deadline;
    checker_.requests.push_back(record);
    drivers_[static_cast<std::size_t>(gateway_index)]->SubmitRequest(spec);
    return true;
  }

  bool EndOldestAttempt(AttemptResult result) {
    const auto in_flight = AttemptsInFlight(false);
    return !in_flight.empty() && EndAttempt(in_flight.front().first, in_flight.front().second, result);
  }
  bool EndAttempt(int request_id, int attempt, AttemptResult result) {
    auto& a = RequestOf(request_id).attempts[static_cast<std::size_t>(attempt)];
    a.in_flight = false;
    a.maybe_executed = result != AttemptResult::kRejected && result != AttemptResult::kConnectFailed &&
                       result != AttemptResult::kNotSent;
    RequestOf(request_id).idle_since = checker_.now;
    last_ended_ = {request_id, attempt}, last_result_ = result;
    DriverOf(request_id).ReportOutcome(request_id, attempt, result, RequestOf(request_id).finished);
    return true;
  }
  bool StartResponse(int request_id, int attempt) {
    RequestOf(request_id).attempts[static_cast<std::size_t>(attempt)].streaming = true;
    DriverOf(request_id).ReportResponseStarted(request_id, attempt);
    return true;
  }

  bool ChangeHost(GatewayDriver& driver, int gateway_index, EndpointState state) {
    int& ineligible_flags = checker_.ineligible_flags[static_cast<std::size_t>(gateway_index)][0];
    const bool up = state == EndpointState::kUp;
    if (up) {
      // The gateways share the host: one that learns of the restart later learns the same start time.
      if (!restart_reported_) checker_.warming_since[0] = checker_.now;
      restart_reported_ = true;
      ineligible_flags &= 2;
    } else {
      restart_reported_ = false;
      ineligible_flags |= 1;
    }
    driver.ReportEvent(EndpointUpdate{EndpointUpdate::Kind::kDelta,
                                      {MakeHost(0, state, up ? checker_.warming_since[0] : 0)}});
    return true;
  }

  bool AdvanceTime(Millis ms) {
    const Millis end_time = checker_.now + ms;
    while (true) {
      Millis next = kNever;
      for (const auto& driver : drivers_) next = std::min(next, driver->NextTimerAt());
      for (auto [request_id, attempt] : AttemptsInFlight(false))
        next = std::min(next, RequestOf(request_id).attempts[static_cast<std::size_t>(attempt)].times_out_at);
      if (next > end_time) break;
      checker_.now = std::max(checker_.now, next);
      for (const auto& driver : drivers_) {
        if (driver->NextTimerAt() <= checker_.now) driver->FireNextTimer();
      }
      for (auto [request_id, attempt] : AttemptsInFlight(false)) {
        const auto& a = RequestOf(request_id).attempts[static_cast<std::size_t>(attempt)];
        if (a.in_flight && a.times_out_at <= checker_.now)
          EndAttempt(request_id, attempt, AttemptResult::kTimedOut);
      }
      if (!violation().empty()) return true;
    }
    checker_.now = end_time;
    return true;
  }

  InvariantChecker checker_;
  std::vector<std::unique_ptr<GatewayDriver>> drivers_;
  std::pair<int, int> last_ended_{-1, 0};
  AttemptResult last_result_ = AttemptResult::kServed;
  bool settings_changed_ = false, restart_reported_ = false;
};

/// A violated invariant and the order that violates it.
struct Violation {
  std::vector<std::string> order;
  std::string rule;
};
struct ExplorationResult {
  long orders = 0;
  Violation first_violation;  // empty if there is none
};

inline std::string FormatOrder(const std::vector<std::string>& order) {
  std::string text;
  for (const std::string& event : order) text += (text.empty() ? "" : ",") + event;
  return text;
}

/// Runs all orders of up to `depth` of these events that begin with `order`, until one violates an invariant.
/// An order with an event that has no effect is skipped: a shorter order covers it.
inline void ExploreOrders(int gateways, const DriverFactory& make_driver,
                          const std::vector<std::string>& events, int depth, std::vector<std::string>& order,
                          ExplorationResult& result) {
  if (!result.first_violation.rule.empty()) return;
  {
    Scenario scenario(gateways, make_driver);
    for (const std::string& event : order) {
      if (!scenario.RunEvent(event)) return;
      if (!scenario.violation().empty()) break;
    }
    if (scenario.violation().empty()) scenario.Finish();
    ++result.orders;
    if (!scenario.violation().empty()) {
      result.first_violation = {order, scenario.violation()};
      return;
    }
  }
  if (static_cast<int>(order.size()) == depth) return;
  for (const std::string& event : events) {
    order.push_back(event);
    ExploreOrders(gateways, make_driver, events, depth, order, result);
    order.pop_back();
  }
}

}  // namespace meadowyard::testing::orders

#endif  // MEADOWYARD_TESTS_ORDERS_HPP_
