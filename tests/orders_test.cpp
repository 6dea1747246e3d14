// Explores all orders of a few events, with one gateway and with two, for the policy alone and for the core
// with the policy. MEADOWYARD_ORDER="idempotent,error,..." runs a single order; see Scenario for the events.
#include "orders.hpp"

#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>
#include <map>

#include "core/gateway.hpp"

namespace meadowyard::testing::orders {
namespace {

#if defined(__SANITIZE_ADDRESS__)
constexpr int kDepthReduction = 1;  // with AddressSanitizer a run takes ten times as long
#else
constexpr int kDepthReduction = 0;
#endif

int ParseRequestId(const std::string& text) { return std::atoi(text.c_str() + 1); }
std::string FormatRequestId(int request_id) { return "r" + std::to_string(request_id); }
int ParseHost(const std::string& text) { return text[1] - '0'; }

// The policy alone, with what every gateway does around it: timers, attempt numbers and served answers.
class PolicyGatewayDriver : public GatewayDriver {
 public:
  PolicyGatewayDriver(int gateway, int gateways, GatewayObserver& observer, const Millis& now)
      : gateway_(gateway), observer_(observer), now_(now), policy_(SettingsOf(gateway, gateways), 7) {}

  bool Admits(const RequestSpec& spec) override {
    return policy_.CheckAdmission(now_, spec.traffic_class, spec.idempotency) == Policy::Admission::kAccepted;
  }
  void SubmitRequest(const RequestSpec& spec) override {
    Request r;
    r.id = FormatRequestId(spec.request), r.class_name = spec.traffic_class,
    r.time_left = spec.client_deadline;
    r.idempotency = spec.idempotency, r.is_tunnel = spec.as_tunnel;
    Handle(r);
  }
  void ReportOutcome(int request_id, int attempt, AttemptResult result, bool finished) override {
    auto& attempts = started_attempts_[request_id];
    if (attempt >= static_cast<int>(attempts.size())) return;  // of an attempt that an injected fault made up
    if (result == AttemptResult::kServed && !finished)
      observer_.OnRequestFinished(gateway_, request_id, RequestResult::kServed), finished = true;
    const Millis dispatched_at = attempts[static_cast<std::size_t>(attempt)].second;
    Handle(meadowyard::AttemptOutcome{FormatRequestId(request_id),
                                      attempt,
                                      attempts[static_cast<std::size_t>(attempt)].first,
                                      result,
                                      finished,
                                      now_ - dispatched_at,
                                      {}});
  }
  void ReportResponseStarted(int request_id, int attempt) override {
    if (attempt >= static_cast<int>(started_attempts_[request_id].size()))
      return;  // of an attempt that an injected fault made up
    observer_.OnRequestFinished(gateway_, request_id, RequestResult::kServed);
    Handle(ResponseStarted{
        FormatRequestId(request_id), attempt,
        std::max(1.0, now_ - started_attempts_[request_id][static_cast<std::size_t>(attempt)].second)});
  }
  void ReportDisconnect(int request_id) override { Handle(ClientDisconnected{FormatRequestId(request_id)}); }
  void ReportEvent(const Event& event) override { Handle(event); }
  Millis NextTimerAt() override { return timers_.empty() ? kNever : timers_.begin()->first; }
  void FireNextTimer() override {
    const std::string name = timers_.begin()->second;
    timers_.erase(timers_.begin());
    Handle(TimerExpired{name});
  }
  int CountUnreleased() override {
    const auto stats = policy_.CollectStats();
    return stats.open_requests + stats.queued + stats.in_flight + stats.tunnels;
  }

 private:
  static Settings SettingsOf(int gateway, int gateways) {
    Settings s = MakeSettings(gateways, false);
    s.gateway_index = gateway;
    return s;
  }
  void Handle(const Event& event) {
    std::vector<Action> actions;
    policy_.Handle(now_, event, actions);
    for (const Action& action : actions) {
      if (const auto* start = std::get_if<StartAttempt>(&action)) {
        started_attempts_[ParseRequestId(start->request)].emplace_back(start->endpoint, now_);
        observer_.OnAttemptStarted(gateway_, ParseRequestId(start->request), ParseHost(start->endpoint),
                                   start->timeout);
      } else if (const auto* reject = std::get_if<Reject>(&action)) {
        observer_.OnRequestFinished(gateway_, ParseRequestId(reject->request),
                                    RequestResult::kRejectedByGateway);
      } else if (const auto* fail = std::get_if<Fail>(&action)) {
        observer_.OnRequestFinished(gateway_, ParseRequestId(fail->request), RequestResult::kFailed);
      } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
        observer_.OnAttemptCancelled(ParseRequestId(cancel->request), cancel->attempt);
      } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
        timers_.emplace(now_ + timer->delay, timer->name);
      }
    }
  }

  const int gateway_;
  GatewayObserver& observer_;
  const Millis& now_;
  Policy policy_;
  std::multimap<Millis, std::string> timers_;
  std::map<int, std::vector<std::pair<std::string, Millis>>> started_attempts_;
};

// The core with the policy, on a clock and an upstream that the scenario controls.
class CoreGatewayDriver : public GatewayDriver {
 public:
  CoreGatewayDriver(int gateway, int gateways, GatewayObserver& observer, const Millis& now)
      : gateway_(gateway),
        observer_(observer),
        clock_(now),
        upstream_(*this),
        core_(clock_, MakeSettings(gateways, false), 7, upstream_, {[] {}, [](const Log&) {}}) {}

  bool Admits(const RequestSpec& spec) override {
    return core_.CheckAdmission(spec.traffic_class, spec.idempotency) == Policy::Admission::kAccepted;
  }
  void SubmitRequest(const RequestSpec& spec) override {
    core::ClientRequest r;
    r.id = FormatRequestId(spec.request), r.class_name = spec.traffic_class, r.idempotency = spec.idempotency;
    r.received_at = clock_.now, r.client_timeout = spec.client_deadline, r.is_tunnel = spec.as_tunnel;
    r.message.target = r.id;
    r.on_answer = [this, request_id = spec.request](core::Answer answer) {
      const auto kind = answer.kind;
      const bool served = kind == core::Answer::Kind::kServed;
      if (answer.on_tunnel_closed) tunnel_closed_callbacks_[request_id] = std::move(answer.on_tunnel_closed);
      if (answer.on_delivered) delivered_callbacks_[request_id] = std::move(answer.on_delivered);
      observer_.OnRequestFinished(gateway_, request_id,
                                  served                                  ? RequestResult::kServed
                                  : kind == core::Answer::Kind::kRejected ? RequestResult::kRejectedByGateway
                                                                          : RequestResult::kFailed);
    };
    core_.Submit(std::move(r));
  }
  void ReportOutcome(int request_id, int attempt, AttemptResult result, bool) override {
    if (const auto on_closed = TakeCallback(tunnel_closed_callbacks_, request_id)) {
      return on_closed(result == AttemptResult::kServed ? core::TunnelEnd::kClosed
                                                        : core::TunnelEnd::kFailedAtStart);
    }
    if (const auto delivered_callback = TakeCallback(delivered_callbacks_, request_id))
      delivered_callback(result == AttemptResult::kServed);
    const auto found = attempt_requests_.find({request_id, attempt});
    if (found == attempt_requests_.end()) return;  // an upstream reports the end of an attempt once only
    const auto on_finished = std::move(found->second.on_finished);
    attempt_requests_.erase(found);
    on_finished(result, {});
  }
  void ReportResponseStarted(int request_id, int attempt) override {
    if (!attempt_requests_.contains({request_id, attempt}))
      return;  // of an attempt that an injected fault made up
    core::AttemptRequest& attempt_request = attempt_requests_.at({request_id, attempt});
    if (attempt_request.on_tunnel_opened) {
      const auto on_opened = std::move(attempt_request.on_tunnel_opened);
      attempt_requests_.erase({request_id, attempt});
      return on_opened(nullptr);
    }
    const auto on_started = attempt_request.on_response_started;
    on_started({}, std::make_shared<RemainingBody>());
  }
  void ReportDisconnect(int request_id) override { core_.OnClientDisconnected(FormatRequestId(request_id)); }
  void ReportEvent(const Event& event) override {
    if (const auto* changed = std::get_if<SettingsChanged>(&event)) return core_.Configure(changed->settings);
    core_.Report(event);
  }
  Millis NextTimerAt() override { return clock_.NextDueAt(); }
  void FireNextTimer() override { clock_.FireNextTimer(); }
  int CountUnreleased() override {
    const auto stats = core_.policy().CollectStats();
    const std::string metrics_json = core_.metrics().ToJson(stats);
    return !core_.empty() + stats.open_requests + stats.queued + stats.in_flight + stats.tunnels +
           (metrics_json.find("\"current\":0,") == std::string::npos) +
           static_cast<int>(attempt_requests_.size());
  }

 private:
  struct RemainingBody : core::BodySource {
    void RequestData(DataCallback) override {}
    void Cancel() override {}
    std::optional<std::uint64_t> length() const override { return 1; }
    bool data_requested() const override { return true; }
  };
  struct ManualClock : core::Clock {
    explicit ManualClock(const Millis& time) : now(time) {}
    struct ManualTimer : Timer {
      explicit ManualTimer(std::shared_ptr<bool> is_active) : active(std::move(is_active)) {}
      ~ManualTimer() override { *active = false; }
      const std::shared_ptr<bool> active;
    };
    Millis Now() override { return now; }
    std::unique_ptr<Timer> StartTimer(Millis delay_ms, std::function<void()> on_expiry) override {
      auto timer_active = std::make_shared<bool>(true);
      pending.emplace(now + std::max(0.0, delay_ms), std::pair(timer_active, std::move(on_expiry)));
      return std::make_unique<ManualTimer>(std::move(timer_active));
    }
    Millis NextDueAt() {
      while (!pending.empty() && !*pending.begin()->second.first) pending.erase(pending.begin());
      return pending.empty() ? kNever : pending.begin()->first;
    }
    void FireNextTimer() {
      if (NextDueAt() > now) return;
      const auto on_expiry = std::move(pending.begin()->second.second);
      pending.erase(pending.begin());
      on_expiry();
    }
    const Millis& now;
    std::multimap<Millis, std::pair<std::shared_ptr<bool>, std::function<void()>>> pending;
  };
  struct FakeUpstream : core::Upstream {
    explicit FakeUpstream(CoreGatewayDriver& owner) : driver(owner) {}
    std::uint64_t Start(const std::string& host, core::AttemptRequest attempt_request) override {
      const int request_id = ParseRequestId(attempt_request.message->target);
      const int attempt = driver.started_attempt_counts_[request_id]++;
      const Millis timeout = attempt_request.deadline - driver.clock_.now;
      driver.attempt_requests_[{request_id, attempt}] = std::move(attempt_request);
      attempt_ids.emplace_back(request_id, attempt);
      driver.observer_.OnAttemptStarted(driver.gateway_, request_id, ParseHost(host), timeout);
      return attempt_ids.size();
    }
    void Cancel(std::uint64_t attempt_id) override {
      const auto [request_id, attempt] = attempt_ids[attempt_id - 1];
      driver.observer_.OnAttemptCancelled(request_id, attempt);
    }
    void CancelIfUnsent(std::uint64_t) override {}  // here each request is written completely at once
    CoreGatewayDriver& driver;
    std::vector<std::pair<int, int>> attempt_ids;
  };
  template <typename CallbackMap>
  static typename CallbackMap::mapped_type TakeCallback(CallbackMap& callbacks, int request_id) {
    const auto found = callbacks.find(request_id);
    if (found == callbacks.end()) return nullptr;
    auto callback = std::move(found->second);
    callbacks.erase(found);
    return callback;
  }

  const int gateway_;
  GatewayObserver& observer_;
  ManualClock clock_;
  FakeUpstream upstream_;
  std::map<std::pair<int, int>, core::AttemptRequest> attempt_requests_;
  std::map<int, int> started_attempt_counts_;
  std::map<int, std::function<void(core::TunnelEnd)>> tunnel_closed_callbacks_;
  std::map<int, std::function<void(bool)>> delivered_callbacks_;
  core::Gateway core_;
};

// Faults that FaultyGatewayDriver injects.
enum class Fault {
  kDropsRejectionsAndFailures,
  kAnswersTwice,
  kRetriesNonIdempotent,
  kRetriesInOtherCell,
  kIgnoresHostUpdates,
  kSendsAllToWarmingHost,
  kDelaysAnswers,
  kAnswersAfterDeadline,
  kIgnoresTimers,
  kDropsCancelledOutcomes,
  kExceedsMaxAttempts,
  kStartsAttemptsTwice,
  kReportsFailedAsRejected,
  kSendsAfterDisconnect
};

// Injects one fault between a gateway and the invariant checker.
class FaultyGatewayDriver : public GatewayDriver, public GatewayObserver {
 public:
  FaultyGatewayDriver(Fault fault, const DriverFactory& make_driver, int gateway, int gateways,
                      GatewayObserver& observer, const Millis& now)
      : fault_(fault),
        gateway_(gateway),
        observer_(observer),
        now_(now),
        driver_(make_driver(gateway, gateways, *this, now)) {}

  bool Admits(const RequestSpec& spec) override { return driver_->Admits(spec); }
  void SubmitRequest(const RequestSpec& spec) override {
    arrivals_[spec.request] = {spec, now_};
    driver_->SubmitRequest(spec);
  }
  void ReportOutcome(int request_id, int attempt, AttemptResult result, bool finished) override {
    if (fault_ == Fault::kDropsCancelledOutcomes && result == AttemptResult::kCancelled) return;
    driver_->ReportOutcome(request_id, attempt, result, finished);
  }
  void ReportResponseStarted(int request_id, int attempt) override {
    driver_->ReportResponseStarted(request_id, attempt);
  }
  void ReportDisconnect(int request_id) override {
    driver_->ReportDisconnect(request_id);
    if (fault_ == Fault::kSendsAfterDisconnect) observer_.OnAttemptStarted(gateway_, request_id, 1, 50);
  }
  void ReportEvent(const Event& event) override {
    const auto* update = std::get_if<EndpointUpdate>(&event);
    if (fault_ == Fault::kIgnoresHostUpdates && update != nullptr && update->endpoints.size() == 1) return;
    if (update != nullptr && update->endpoints.size() == 1)
      host_warming_ = update->endpoints[0].started_at > 0;
    driver_->ReportEvent(event);
  }
  Millis NextTimerAt() override { return fault_ == Fault::kIgnoresTimers ? kNever : driver_->NextTimerAt(); }
  void FireNextTimer() override {
    driver_->FireNextTimer();
    for (auto it = delayed_answers_.begin(); it != delayed_answers_.end();) {
      if (now_ < it->second) {
        ++it;
        continue;
      }
      observer_.OnRequestFinished(gateway_, it->first, RequestResult::kRejectedByGateway);
      it = delayed_answers_.erase(it);
    }
  }
  int CountUnreleased() override { return driver_->CountUnreleased(); }

  void OnAttemptStarted(int gateway, int request_id, int host, Millis timeout) override {
    const int earlier_attempts = attempt_counts_[request_id]++;
    const auto& spec = arrivals_[request_id].first;
    if (fault_ == Fault::kRetriesInOtherCell && spec.idempotency == Idempotency::kIdempotencyKey &&
        earlier_attempts > 0)
      host = host == 2 ? 1 : 2;
    if (fault_ == Fault::kSendsAllToWarmingHost && host_warming_) host = 0;
    observer_.OnAttemptStarted(gateway, request_id, host, timeout);
    if (fault_ == Fault::kStartsAttemptsTwice) observer_.OnAttemptStarted(gateway, request_id, 1, timeout);
  }
  void OnRequestFinished(int gateway, int request_id, RequestResult final_result) override {
    const auto& [spec, arrived_at] = arrivals_[request_id];
    const bool unsuccessful = final_result != RequestResult::kServed;
    if (fault_ == Fault::kDropsRejectionsAndFailures && unsuccessful) return;
    if (fault_ == Fault::kRetriesNonIdempotent && final_result == RequestResult::kFailed &&
        spec.idempotency == Idempotency::kNonIdempotent)
      return observer_.OnAttemptStarted(gateway, request_id, 1, 50);
    if (fault_ == Fault::kExceedsMaxAttempts && unsuccessful && attempt_counts_[request_id] == kMaxAttempts)
      return observer_.OnAttemptStarted(gateway, request_id, 1, 50);
    if (fault_ == Fault::kReportsFailedAsRejected && final_result == RequestResult::kFailed)
      final_result = RequestResult::kRejectedByGateway;
    if (unsuccessful && (fault_ == Fault::kDelaysAnswers || fault_ == Fault::kAnswersAfterDeadline)) {
      delayed_answers_[request_id] =
          arrived_at + spec.client_deadline + (fault_ == Fault::kAnswersAfterDeadline ? 5 : -20);
      return;
    }
    observer_.OnRequestFinished(gateway, request_id, final_result);
    if (fault_ == Fault::kAnswersTwice && unsuccessful)
      observer_.OnRequestFinished(gateway, request_id, final_result);
  }
  void OnAttemptCancelled(int request_id, int attempt) override {
    observer_.OnAttemptCancelled(request_id, attempt);
  }

 private:
  const Fault fault_;
  const int gateway_;
  GatewayObserver& observer_;
  const Millis& now_;
  std::map<int, std::pair<RequestSpec, Millis>> arrivals_;
  std::map<int, int> attempt_counts_;
  std::map<int, Millis> delayed_answers_;
  bool host_warming_ = false;
  std::unique_ptr<GatewayDriver> driver_;
};

template <typename T>
DriverFactory FactoryOf() {
  return [](int gateway, int gateways, GatewayObserver& observer, const Millis& now) {
    return std::make_unique<T>(gateway, gateways, observer, now);
  };
}
DriverFactory WithFault(Fault fault, DriverFactory make_driver) {
  return [fault, make_driver](int gateway, int gateways, GatewayObserver& observer, const Millis& now) {
    return std::make_unique<FaultyGatewayDriver>(fault, make_driver, gateway, gateways, observer, now);
  };
}

using Events = std::vector<std::string>;
const Events kAllEvents = {"idempotent",
                           "idempotency_key",
                           "non_idempotent",
                           "short_deadline",
                           "tunnel",
                           "wait_10ms",
                           "wait_60ms",
                           "served",
                           "newest_served",
                           "error",
                           "reset",
                           "rejected",
                           "connect_failed",
                           "not_sent",
                           "timed_out",
                           "response_starts",
                           "response_ends",
                           "response_reset",
                           "duplicate_outcome",
                           "client_disconnects",
                           "host_drains",
                           "host_removed",
                           "host_restarted",
                           "maintenance_on",
                           "maintenance_off",
                           "settings_changed",
                           "poll_failed"};

ExplorationResult ExploreAll(int gateways, const DriverFactory& make_driver, const Events& events,
                             int depth) {
  ExplorationResult result;
  Events order;
  if (const char* const single_order = std::getenv("MEADOWYARD_ORDER")) {
    const std::string text = single_order;
    for (std::size_t at = 0; at <= text.size(); at = text.find(',', at) + 1) {
      order.push_back(text.substr(at, text.find(',', at) - at));
      if (text.find(',', at) == std::string::npos) break;
    }
    depth = static_cast<int>(order.size());
  }
  ExploreOrders(gateways, make_driver, events, depth, order, result);
  std::cout << "orders: " << result.orders << ", of up to " << depth << " of " << events.size()
            << " events\n";
  return result;
}

struct Case {
  const char* name;
  int gateways, depth;
  Events events;
};
void PrintTo(const Case& c, std::ostream* out) { *out << c.name; }

class EventOrders : public ::testing::TestWithParam<Case> {};

const Case kCases[] = {
    {"AllEvents", 1, 5, kAllEvents},
    {"Retries",
     1,
     6,
     {"idempotent", "non_idempotent", "wait_60ms", "error", "rejected", "connect_failed", "served",
      "maintenance_on"}},
    {"IdempotencyKey",
     1,
     6,
     {"idempotency_key", "wait_10ms", "wait_60ms", "error", "rejected", "host_removed", "host_restarted",
      "client_disconnects"}},
    {"Maintenance",
     1,
     6,
     {"idempotent", "maintenance_on", "maintenance_off", "host_drains", "host_restarted", "served",
      "connect_failed"}},
    {"Streaming",
     1,
     6,
     {"idempotent", "tunnel", "response_starts", "response_ends", "response_reset", "client_disconnects",
      "wait_60ms", "maintenance_on"}},
    {"SettingsChange",
     1,
     6,
     {"idempotent", "non_idempotent", "settings_changed", "error", "rejected", "wait_60ms", "wait_1s"}},
    {"TwoGateways",
     2,
     4,
     {"idempotent", "idempotent2", "non_idempotent2", "wait_60ms", "served", "error", "connect_failed",
      "host_drains", "host_drains2", "host_restarted", "host_restarted2", "maintenance_on2",
      "client_disconnects"}},
    {"TwoGatewaysAtWarmingHost",
     2,
     5,
     {"burst", "burst2", "host_restarted", "host_restarted2", "newest_served", "wait_60ms", "wait_1s"}},
};

// No order of events may make the policy violate an invariant, e.g. execute a non-idempotent request twice.
TEST_P(EventOrders, ViolateNoInvariantInThePolicy) {
  const Case& c = GetParam();
  const ExplorationResult result =
      ExploreAll(c.gateways, FactoryOf<PolicyGatewayDriver>(), c.events, c.depth - kDepthReduction);
  EXPECT_EQ(result.first_violation.rule, "")
      << "MEADOWYARD_ORDER='" << FormatOrder(result.first_violation.order) << "'";
  EXPECT_GT(result.orders, 0);
}

// The same through the core, which adds timeouts, callbacks and the release of requests.
TEST_P(EventOrders, ViolateNoInvariantInTheCore) {
  const Case& c = GetParam();
  const ExplorationResult result = ExploreAll(c.gateways, FactoryOf<CoreGatewayDriver>(), c.events,
                                              c.depth - kDepthReduction - (c.events.size() > 20 ? 1 : 0));
  EXPECT_EQ(result.first_violation.rule, "")
      << "MEADOWYARD_ORDER='" << FormatOrder(result.first_violation.order) << "'";
  EXPECT_GT(result.orders, 0);
}

INSTANTIATE_TEST_SUITE_P(AllOrders, EventOrders, ::testing::ValuesIn(kCases),
                         [](const auto& info) { return info.param.name; });

// Guards against a checker that misses violations: each injected fault must be reported, and under the
// invariant that it violates.
TEST(InvariantChecker, DetectsEachInjectedFault) {
  const std::pair<Fault, const char*> faults[] = {
      {Fault::kDropsRejectionsAndFailures, "not answered by the deadline"},
      {Fault::kAnswersTwice, "answered twice"},
      {Fault::kRetriesNonIdempotent, "non-idempotent request possibly executed twice"},
      {Fault::kRetriesInOtherCell, "retried outside the deduplication cell or window"},
      {Fault::kIgnoresHostUpdates, "attempt sent to an ineligible host"},
      {Fault::kSendsAllToWarmingHost, "warming host overloaded"},
      {Fault::kDelaysAnswers, "neither dispatched nor answered promptly"},
      {Fault::kAnswersAfterDeadline, "answered after the deadline"},
      {Fault::kIgnoresTimers, "neither dispatched nor answered promptly"},
      {Fault::kDropsCancelledOutcomes, "state left after all requests have finished"},
      {Fault::kExceedsMaxAttempts, "more attempts than max_attempts"},
      {Fault::kStartsAttemptsTwice, "two attempts in flight for one request"},
      {Fault::kReportsFailedAsRejected, "rejected although possibly executed"},
      {Fault::kSendsAfterDisconnect, "attempt started after the request was finished"}};
  const Events events = {"idempotent",    "idempotency_key", "non_idempotent",
                         "burst",         "error",           "reset",
                         "rejected",      "wait_60ms",       "client_disconnects",
                         "host_drains",   "host_removed",    "host_restarted",
                         "maintenance_on"};
  for (const auto& make_driver : {FactoryOf<PolicyGatewayDriver>(), FactoryOf<CoreGatewayDriver>()}) {
    for (const auto& [fault, rule] : faults) {
      ExplorationResult result;
      for (int depth = 1; depth <= 4 && result.first_violation.rule.empty(); ++depth) {
        Events order;
        ExploreOrders(1, WithFault(fault, make_driver), events, depth, order, result);
      }
      EXPECT_EQ(result.first_violation.rule, rule)
          << static_cast<int>(fault) << ": " << FormatOrder(result.first_violation.order);
      std::cout << rule << ": " << FormatOrder(result.first_violation.order) << ", order " << result.orders
                << "\n";
    }
  }
}

}  // namespace
}  // namespace meadowyard::testing::orders
