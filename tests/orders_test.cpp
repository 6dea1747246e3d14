// Every order of a few events through the real decision module, alone and two together, and through the real
// core over it. MEADOWYARD_ORDER="safe,error,..." plays one order alone (of the second gateway: "safe2").
#include "orders.hpp"

#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>
#include <map>

#include "core/gateway.hpp"

namespace meadowyard::testing::orders {
namespace {

#if defined(__SANITIZE_ADDRESS__)
constexpr int kLess = 1;  // instrumented, a play costs ten times as much
#else
constexpr int kLess = 0;
#endif

int IdOf(const std::string& text) { return std::atoi(text.c_str() + 1); }
std::string NameOf(int id) { return "r" + std::to_string(id); }
int HostOf(const std::string& text) { return text[1] - '0'; }

// The decision module with what every gateway does around it.
class ModuleSeat : public Seat {
 public:
  ModuleSeat(int gateway, int gateways, Sink& sink, const Millis& now)
      : gateway_(gateway), sink_(sink), now_(now), policy_(SettingsOf(gateway, gateways), 7) {}

  bool Admits(const Call& call) override {
    return policy_.CheckAdmission(now_, call.cls, call.idempotency) == Policy::Admission::kAccepted;
  }
  void Arrive(const Call& call) override {
    Request r;
    r.id = NameOf(call.request), r.class_name = call.cls, r.time_left = call.patience;
    r.idempotency = call.idempotency, r.is_tunnel = call.holds;
    Handle(r);
  }
  void Outcome(int id, int attempt, AttemptResult result, bool over) override {
    auto& sends = sends_[id];
    if (attempt >= static_cast<int>(sends.size())) return;  // a planted fault's
    if (result == AttemptResult::kServed && !over) sink_.Ended(gateway_, id, End::kServed), over = true;
    const Millis sent = sends[static_cast<std::size_t>(attempt)].second;
    Handle(meadowyard::AttemptOutcome{
        NameOf(id), attempt, sends[static_cast<std::size_t>(attempt)].first, result, over, now_ - sent, {}});
  }
  void Begins(int id, int attempt) override {
    if (attempt >= static_cast<int>(sends_[id].size())) return;  // a planted fault's
    sink_.Ended(gateway_, id, End::kServed);
    Handle(ResponseStarted{NameOf(id), attempt,
                           std::max(1.0, now_ - sends_[id][static_cast<std::size_t>(attempt)].second)});
  }
  void Gone(int id) override { Handle(ClientDisconnected{NameOf(id)}); }
  void Tell(const Event& event) override { Handle(event); }
  Millis NextTimer() override { return timers_.empty() ? kForever : timers_.begin()->first; }
  void Fire() override {
    const std::string name = timers_.begin()->second;
    timers_.erase(timers_.begin());
    Handle(TimerExpired{name});
  }
  int Left() override {
    const auto census = policy_.CollectStats();
    return census.open_requests + census.queued + census.in_flight + census.tunnels;
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
      if (const auto* send = std::get_if<StartAttempt>(&action)) {
        sends_[IdOf(send->request)].emplace_back(send->endpoint, now_);
        sink_.Sent(gateway_, IdOf(send->request), HostOf(send->endpoint), send->timeout);
      } else if (const auto* refuse = std::get_if<Reject>(&action)) {
        sink_.Ended(gateway_, IdOf(refuse->request), End::kRefused);
      } else if (const auto* fail = std::get_if<Fail>(&action)) {
        sink_.Ended(gateway_, IdOf(fail->request), End::kFailed);
      } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
        sink_.Cancelled(IdOf(cancel->request), cancel->attempt);
      } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
        timers_.emplace(now_ + timer->delay, timer->name);
      }
    }
  }

  const int gateway_;
  Sink& sink_;
  const Millis& now_;
  Policy policy_;
  std::multimap<Millis, std::string> timers_;
  std::map<int, std::vector<std::pair<std::string, Millis>>> sends_;
};

// The real core over it, with a clock and an upstream that do what they are told.
class CoreSeat : public Seat {
 public:
  CoreSeat(int gateway, int gateways, Sink& sink, const Millis& now)
      : gateway_(gateway),
        sink_(sink),
        clock_(now),
        upstream_(*this),
        core_(clock_, MakeSettings(gateways, false), 7, upstream_, {[] {}, [](const Log&) {}}) {}

  bool Admits(const Call& call) override {
    return core_.CheckAdmission(call.cls, call.idempotency) == Policy::Admission::kAccepted;
  }
  void Arrive(const Call& call) override {
    core::ClientRequest r;
    r.id = NameOf(call.request), r.class_name = call.cls, r.idempotency = call.idempotency;
    r.received_at = clock_.now, r.client_timeout = call.patience, r.is_tunnel = call.holds;
    r.message.target = r.id;
    r.on_answer = [this, id = call.request](core::Answer answer) {
      const auto kind = answer.kind;
      const bool served = kind == core::Answer::Kind::kServed;
      if (answer.on_tunnel_closed) closed_[id] = std::move(answer.on_tunnel_closed);
      if (answer.on_delivered) passed_[id] = std::move(answer.on_delivered);
      sink_.Ended(gateway_, id,
                  served                                  ? End::kServed
                  : kind == core::Answer::Kind::kRejected ? End::kRefused
                                                          : End::kFailed);
    };
    core_.Submit(std::move(r));
  }
  void Outcome(int id, int attempt, AttemptResult result, bool) override {
    if (const auto closed = Taken(closed_, id)) {
      return closed(result == AttemptResult::kServed ? core::TunnelEnd::kClosed
                                                     : core::TunnelEnd::kFailedAtStart);
    }
    if (const auto passed = Taken(passed_, id)) passed(result == AttemptResult::kServed);
    const auto found = errands_.find({id, attempt});
    if (found == errands_.end()) return;  // a core's upstream tells each end once
    const auto done = std::move(found->second.on_finished);
    errands_.erase(found);
    done(result, {});
  }
  void Begins(int id, int attempt) override {
    if (!errands_.contains({id, attempt})) return;  // a planted fault's
    core::AttemptRequest& errand = errands_.at({id, attempt});
    if (errand.on_tunnel_opened) {
      const auto opened = std::move(errand.on_tunnel_opened);
      errands_.erase({id, attempt});
      return opened(nullptr);
    }
    const auto begun = errand.on_response_started;
    begun({}, std::make_shared<Rest>());
  }
  void Gone(int id) override { core_.OnClientDisconnected(NameOf(id)); }
  void Tell(const Event& event) override {
    if (const auto* changed = std::get_if<SettingsChanged>(&event)) return core_.Configure(changed->settings);
    core_.Report(event);
  }
  Millis NextTimer() override { return clock_.Next(); }
  void Fire() override { clock_.Fire(); }
  int Left() override {
    const auto census = core_.policy().CollectStats();
    const std::string figures = core_.metrics().ToJson(census);
    return !core_.empty() + census.open_requests + census.queued + census.in_flight + census.tunnels +
           (figures.find("\"current\":0,") == std::string::npos) + static_cast<int>(errands_.size());
  }

 private:
  struct Rest : core::BodySource {
    void RequestData(DataCallback) override {}
    void Cancel() override {}
    std::optional<std::uint64_t> length() const override { return 1; }
    bool data_requested() const override { return true; }
  };
  struct Hand : core::Clock {
    explicit Hand(const Millis& n) : now(n) {}
    struct Alarm : Timer {
      explicit Alarm(std::shared_ptr<bool> w) : waits(std::move(w)) {}
      ~Alarm() override { *waits = false; }
      const std::shared_ptr<bool> waits;
    };
    Millis Now() override { return now; }
    std::unique_ptr<Timer> StartTimer(Millis wait, std::function<void()> then) override {
      auto alive = std::make_shared<bool>(true);
      due.emplace(now + std::max(0.0, wait), std::pair(alive, std::move(then)));
      return std::make_unique<Alarm>(std::move(alive));
    }
    Millis Next() {
      while (!due.empty() && !*due.begin()->second.first) due.erase(due.begin());
      return due.empty() ? kForever : due.begin()->first;
    }
    void Fire() {
      if (Next() > now) return;
      const auto then = std::move(due.begin()->second.second);
      due.erase(due.begin());
      then();
    }
    const Millis& now;
    std::multimap<Millis, std::pair<std::shared_ptr<bool>, std::function<void()>>> due;
  };
  struct Hosts : core::Upstream {
    explicit Hosts(CoreSeat& s) : seat(s) {}
    std::uint64_t Start(const std::string& host, core::AttemptRequest errand) override {
      const int id = IdOf(errand.message->target);
      const int attempt = seat.attempts_[id]++;
      const Millis timeout = errand.deadline - seat.clock_.now;
      seat.errands_[{id, attempt}] = std::move(errand);
      numbers.emplace_back(id, attempt);
      seat.sink_.Sent(seat.gateway_, id, HostOf(host), timeout);
      return numbers.size();
    }
    void Cancel(std::uint64_t number) override {
      const auto [id, attempt] = numbers[number - 1];
      seat.sink_.Cancelled(id, attempt);
    }
    void CancelIfUnsent(std::uint64_t) override {}  // these hosts have all of a request at once
    CoreSeat& seat;
    std::vector<std::pair<int, int>> numbers;
  };
  template <typename Calls>
  static typename Calls::mapped_type Taken(Calls& calls, int id) {
    const auto found = calls.find(id);
    if (found == calls.end()) return nullptr;
    auto call = std::move(found->second);
    calls.erase(found);
    return call;
  }

  const int gateway_;
  Sink& sink_;
  Hand clock_;
  Hosts upstream_;
  std::map<std::pair<int, int>, core::AttemptRequest> errands_;
  std::map<int, int> attempts_;
  std::map<int, std::function<void(core::TunnelEnd)>> closed_;
  std::map<int, std::function<void(bool)>> passed_;
  core::Gateway core_;
};
// A gateway with one fault, planted between it and the referee.
enum class Fault {
  kSwallows,
  kTwice,
  kRepeats,
  kStrays,
  kDeaf,
  kHot,
  kParks,
  kLate,
  kSleeps,
  kLeaks,
  kGoesOn,
  kDoubles,
  kLies,
  kHaunts
};

class FaultySeat : public Seat, public Sink {
 public:
  FaultySeat(Fault fault, const MakeSeat& make, int gateway, int gateways, Sink& sink, const Millis& now)
      : fault_(fault),
        gateway_(gateway),
        sink_(sink),
        now_(now),
        seat_(make(gateway, gateways, *this, now)) {}

  bool Admits(const Call& call) override { return seat_->Admits(call); }
  void Arrive(const Call& call) override {
    calls_[call.request] = {call, now_};
    seat_->Arrive(call);
  }
  void Outcome(int id, int attempt, AttemptResult result, bool over) override {
    if (fault_ == Fault::kLeaks && result == AttemptResult::kCancelled) return;
    seat_->Outcome(id, attempt, result, over);
  }
  void Begins(int id, int attempt) override { seat_->Begins(id, attempt); }
  void Gone(int id) override {
    seat_->Gone(id);
    if (fault_ == Fault::kHaunts) sink_.Sent(gateway_, id, 1, 50);
  }
  void Tell(const Event& event) override {
    const auto* news = std::get_if<EndpointUpdate>(&event);
    if (fault_ == Fault::kDeaf && news != nullptr && news->endpoints.size() == 1) return;
    if (news != nullptr && news->endpoints.size() == 1) cold_ = news->endpoints[0].started_at > 0;
    seat_->Tell(event);
  }
  Millis NextTimer() override { return fault_ == Fault::kSleeps ? kForever : seat_->NextTimer(); }
  void Fire() override {
    seat_->Fire();
    for (auto it = parked_.begin(); it != parked_.end();) {
      if (now_ < it->second) {
        ++it;
        continue;
      }
      sink_.Ended(gateway_, it->first, End::kRefused);
      it = parked_.erase(it);
    }
  }
  int Left() override { return seat_->Left(); }

  void Sent(int gateway, int id, int host, Millis timeout) override {
    const int before = sent_[id]++;
    const auto& call = calls_[id].first;
    if (fault_ == Fault::kStrays && call.idempotency == Idempotency::kIdempotencyKey && before > 0)
      host = host == 2 ? 1 : 2;
    if (fault_ == Fault::kHot && cold_) host = 0;
    sink_.Sent(gateway, id, host, timeout);
    if (fault_ == Fault::kDoubles) sink_.Sent(gateway, id, 1, timeout);
  }
  void Ended(int gateway, int id, End end) override {
    const auto& [call, arrived] = calls_[id];
    const bool given_up = end != End::kServed;
    if (fault_ == Fault::kSwallows && given_up) return;
    if (fault_ == Fault::kRepeats && end == End::kFailed && call.idempotency == Idempotency::kNonIdempotent)
      return sink_.Sent(gateway, id, 1, 50);
    if (fault_ == Fault::kGoesOn && given_up && sent_[id] == kAttempts) return sink_.Sent(gateway, id, 1, 50);
    if (fault_ == Fault::kLies && end == End::kFailed) end = End::kRefused;
    if (given_up && (fault_ == Fault::kParks || fault_ == Fault::kLate)) {
      parked_[id] = arrived + call.patience + (fault_ == Fault::kLate ? 5 : -20);
      return;
    }
    sink_.Ended(gateway, id, end);
    if (fault_ == Fault::kTwice && given_up) sink_.Ended(gateway, id, end);
  }
  void Cancelled(int id, int attempt) override { sink_.Cancelled(id, attempt); }

 private:
  const Fault fault_;
  const int gateway_;
  Sink& sink_;
  const Millis& now_;
  std::map<int, std::pair<Call, Millis>> calls_;
  std::map<int, int> sent_;
  std::map<int, Millis> parked_;
  bool cold_ = false;
  std::unique_ptr<Seat> seat_;
};

template <typename T>
MakeSeat Make() {
  return [](int gateway, int gateways, Sink& sink, const Millis& now) {
    return std::make_unique<T>(gateway, gateways, sink, now);
  };
}
MakeSeat With(Fault fault, MakeSeat make) {
  return [fault, make](int gateway, int gateways, Sink& sink, const Millis& now) {
    return std::make_unique<FaultySeat>(fault, make, gateway, gateways, sink, now);
  };
}

using Events = std::vector<std::string>;
const Events kAll = {"safe",    "keyed",  "unsafe", "hasty", "tunnel",   "tick",      "wait",
                     "served",  "newest", "error",  "reset", "rejected", "undialled", "unsent",
                     "overdue", "begins", "ends",   "cut",   "again",    "gone",      "drains",
                     "leaves",  "cold",   "out",    "back",  "retuned",  "unlisted"};

Explored PlayAll(int gateways, const MakeSeat& make, const Events& events, int depth) {
  Explored result;
  Events order;
  if (const char* const alone = std::getenv("MEADOWYARD_ORDER")) {
    const std::string text = alone;
    for (std::size_t at = 0; at <= text.size(); at = text.find(',', at) + 1) {
      order.push_back(text.substr(at, text.find(',', at) - at));
      if (text.find(',', at) == std::string::npos) break;
    }
    depth = static_cast<int>(order.size());
  }
  Explore(gateways, make, events, depth, order, result);
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

class Orders : public ::testing::TestWithParam<Case> {};

const Case kCases[] = {
    {"All", 1, 5, kAll},
    {"Tries", 1, 6, {"safe", "unsafe", "wait", "error", "rejected", "undialled", "served", "out"}},
    {"Keyed", 1, 6, {"keyed", "tick", "wait", "error", "rejected", "leaves", "cold", "gone"}},
    {"ByHand", 1, 6, {"safe", "out", "back", "drains", "cold", "served", "undialled"}},
    {"Streams", 1, 6, {"safe", "tunnel", "begins", "ends", "cut", "gone", "wait", "out"}},
    {"Retuned", 1, 6, {"safe", "unsafe", "retuned", "error", "rejected", "wait", "second"}},
    {"TwoGateways",
     2,
     4,
     {"safe", "safe2", "unsafe2", "wait", "served", "error", "undialled", "drains", "drains2", "cold",
      "cold2", "out2", "gone"}},
    {"TwoAtAColdHost", 2, 5, {"burst", "burst2", "cold", "cold2", "newest", "wait", "second"}},
};

TEST_P(Orders, KeepEveryRuleInTheModule) {
  const Case& c = GetParam();
  const Explored result = PlayAll(c.gateways, Make<ModuleSeat>(), c.events, c.depth - kLess);
  EXPECT_EQ(result.found.rule, "") << "MEADOWYARD_ORDER='" << Text(result.found.order) << "'";
  EXPECT_GT(result.orders, 0);
}

TEST_P(Orders, KeepEveryRuleInTheCore) {
  const Case& c = GetParam();
  const Explored result =
      PlayAll(c.gateways, Make<CoreSeat>(), c.events, c.depth - kLess - (c.events.size() > 20 ? 1 : 0));
  EXPECT_EQ(result.found.rule, "") << "MEADOWYARD_ORDER='" << Text(result.found.order) << "'";
  EXPECT_GT(result.orders, 0);
}

INSTANTIATE_TEST_SUITE_P(Of, Orders, ::testing::ValuesIn(kCases),
                         [](const auto& info) { return info.param.name; });

// The referee can fail: each planted fault is found, and by the rule that it breaks.
TEST(OrdersReferee, FindsEachPlantedFault) {
  const std::pair<Fault, const char*> faults[] = {{Fault::kSwallows, "never answered"},
                                                  {Fault::kTwice, "answered twice"},
                                                  {Fault::kRepeats, "ran twice"},
                                                  {Fault::kStrays, "repeated where repeats are not dropped"},
                                                  {Fault::kDeaf, "sent to a host that was to be left"},
                                                  {Fault::kHot, "pushed a cold host over"},
                                                  {Fault::kParks, "kept waiting"},
                                                  {Fault::kLate, "answered too late"},
                                                  {Fault::kSleeps, "kept waiting"},
                                                  {Fault::kLeaks, "something is left over"},
                                                  {Fault::kGoesOn, "one attempt too many"},
                                                  {Fault::kDoubles, "two attempts at once"},
                                                  {Fault::kLies, "refused though it may have run"},
                                                  {Fault::kHaunts, "sent after its end"}};
  const Events events = {"safe", "keyed", "unsafe", "burst",  "error", "reset", "rejected",
                         "wait", "gone",  "drains", "leaves", "cold",  "out"};
  for (const auto& make : {Make<ModuleSeat>(), Make<CoreSeat>()}) {
    for (const auto& [fault, rule] : faults) {
      Explored result;
      for (int depth = 1; depth <= 4 && result.found.rule.empty(); ++depth) {
        Events order;
        Explore(1, With(fault, make), events, depth, order, result);
      }
      EXPECT_EQ(result.found.rule, rule) << static_cast<int>(fault) << ": " << Text(result.found.order);
      std::cout << rule << ": " << Text(result.found.order) << ", order " << result.orders << "\n";
    }
  }
}

}  // namespace
}  // namespace meadowyard::testing::orders
