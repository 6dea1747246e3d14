// Every order of a few events: what drives the decision module, or the core over it, through them, and a
// plain referee that keeps its own account of what happened and shares no code with what it judges.
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

constexpr Millis kAim = 100, kPatience = 200, kRepeats = 150, kForever = 1e15;
constexpr int kHosts = 3;         // h0 and h1 of one cell, h2 of another
constexpr int kAttempts = 2;      // for each request
constexpr Millis kSlack = 25;     // two sweeps of the module's, and its margins
constexpr double kHostRate = 20;  // requests a second that a warm host can do
constexpr double kColdFrom = 0.2, kFallMultiple = 2.5;
constexpr Millis kFallWithin = 1500;

enum class End { kServed, kRefused, kFailed };

// What a gateway reports of itself.
class Sink {
 public:
  virtual ~Sink() = default;
  virtual void Sent(int gateway, int request, int host, Millis timeout) = 0;
  virtual void Ended(int gateway, int request, End end) = 0;
  virtual void Cancelled(int request, int attempt) = 0;  // it waits for this one no more
};

// One gateway, as it is driven.
class Seat {
 public:
  struct Call {
    int request = 0;
    std::string cls;
    Idempotency idempotency = Idempotency::kIdempotent;
    Millis patience = kPatience;
    bool holds = false;  // a tunnel
  };
  virtual ~Seat() = default;
  virtual bool Admits(const Call& call) = 0;
  virtual void Arrive(const Call& call) = 0;
  virtual void Outcome(int request, int attempt, AttemptResult result, bool over) = 0;
  virtual void Begins(int request, int attempt) = 0;  // its answer, or the tunnel, goes to the client
  virtual void Gone(int request) = 0;
  virtual void Tell(const Event& event) = 0;  // news of hosts, by hand, settings
  virtual Millis NextTimer() = 0;
  virtual void Fire() = 0;  // the timers that are due
  virtual int Left() = 0;   // what it still holds of requests
};

inline Settings MakeSettings(int gateways, bool retuned) {
  Settings s;
  const auto add = [&](const char* name, Idempotency effect) {
    TrafficClassSettings c;
    c.name = name, c.latency_objective = kAim, c.deadline = kPatience, c.idempotency = effect;
    c.dedup_scope = DedupScope::kCell, c.dedup_window = kRepeats;
    s.classes.push_back(c);
  };
  add("view", retuned ? Idempotency::kNonIdempotent : Idempotency::kIdempotent);
  if (!retuned) add("key", Idempotency::kIdempotencyKey);
  add("pay", Idempotency::kNonIdempotent);
  s.gateway_count = gateways;
  s.max_attempts = kAttempts;
  s.can_cancel_attempts = s.sends_retry_after = true;
  s.max_retry_after = 2000;
  s.slow_start_fraction = kColdFrom, s.slow_start_duration = 10000, s.overload_multiple = kFallMultiple;
  return s;
}

inline Endpoint MakeHost(int host, EndpointState state, Millis started_at) {
  Endpoint s;
  s.id = "h" + std::to_string(host);
  s.cell = s.zone = host == 2 ? "b" : "a";
  s.kind = "k";
  s.state = state;
  s.started_at = started_at;
  return s;
}

// Keeps its own account of requests, attempts and hosts, and says which rule was broken first.
class Referee : public Sink {
 public:
  struct Attempt {
    int host = 0;
    Millis sent = 0, due = 0;
    bool out = true, ran = true, streams = false;
  };
  struct Request {
    int gateway = 0;
    Idempotency idempotency = Idempotency::kIdempotent;
    Millis arrived = 0, until = 0;
    Millis idle_since = 0;  // with no attempt out
    bool over = false;      // answered, or its client left
    std::vector<Attempt> attempts;
  };
  explicit Referee(int gateways) : barred(static_cast<std::size_t>(gateways)) {
    for (auto& of : barred) of.assign(kHosts, 0);
  }

  void Sent(int gateway, int id, int host, Millis timeout) override {
    Request& r = requests[static_cast<std::size_t>(id)];
    if (r.over) return Broken("sent after its end");
    if (barred[static_cast<std::size_t>(gateway)][static_cast<std::size_t>(host)] != 0)
      return Broken("sent to a host that was to be left");
    if (static_cast<int>(r.attempts.size()) >= kAttempts) return Broken("one attempt too many");
    for (const Attempt& a : r.attempts) {
      if (a.out) return Broken("two attempts at once");
      if (!a.ran) continue;
      if (r.idempotency == Idempotency::kNonIdempotent) return Broken("ran twice");
      if (r.idempotency == Idempotency::kIdempotencyKey &&
          ((a.host == 2) != (host == 2) || now - a.sent >= kRepeats))
        return Broken("repeated where repeats are not dropped");
    }
    Idle(r);
    r.attempts.push_back({host, now, now + std::min(timeout, r.until - now)});
    if (cold_since[host] > 0) Cold(host);
  }

  void Ended(int, int id, End end) override {
    Request& r = requests[static_cast<std::size_t>(id)];
    if (r.over) return Broken("answered twice");
    r.over = true;
    if (now > r.until) return Broken("answered too late");
    if (end == End::kServed) return;
    const bool out =
        std::any_of(r.attempts.begin(), r.attempts.end(), [](const Attempt& a) { return a.out; });
    const bool ran =
        std::any_of(r.attempts.begin(), r.attempts.end(), [](const Attempt& a) { return a.ran; });
    if (end == End::kRefused && r.idempotency != Idempotency::kIdempotent && ran)
      return Broken("refused though it may have run");
    if (!out) Idle(r);
  }

  void Cancelled(int id, int attempt) override { cancelled.emplace_back(id, attempt); }

  // After each event, and at the end.
  void Check() {
    for (const Request& r : requests) {
      if (r.over) continue;
      if (now > r.until) Broken("never answered");
      if (std::none_of(r.attempts.begin(), r.attempts.end(), [](const Attempt& a) { return a.out; })) Idle(r);
    }
  }

  void Broken(const std::string& rule) {
    if (broken.empty()) broken = rule;
  }

  Millis now = 1e6;
  std::string broken;
  std::vector<Request> requests;
  std::vector<std::pair<int, int>> cancelled;
  std::vector<std::vector<int>> barred;  // by gateway and host: draining, gone (1), out by hand (2)
  Millis cold_since[kHosts] = {};        // 0: long ago
  std::deque<Millis> cold_sends[kHosts];

 private:
  // What has nothing out is sent on or given up soon: a quarter of its aim after it came, at once after that.
  void Idle(const Request& r) {
    const Millis aim = std::min(kAim, r.until - r.arrived);
    if (now > std::max(r.arrived + aim / 4, r.idle_since) + kSlack) Broken("kept waiting");
  }
  void Cold(int host) {
    auto& sends = cold_sends[host];
    sends.push_back(now);
    while (sends.front() < now - kFallWithin) sends.pop_front();
    const double can = kColdFrom * kHostRate * kFallWithin / 1000;
    if (static_cast<double>(sends.size()) > kFallMultiple * can) Broken("pushed a cold host over");
  }
};

using MakeSeat =
    std::function<std::unique_ptr<Seat>(int gateway, int gateways, Sink& sink, const Millis& now)>;

// One play of an order: gateways, hosts and clients by script.
class Play {
 public:
  Play(int gateways, const MakeSeat& make) : referee_(gateways) {
    for (int g = 0; g < gateways; ++g) {
      seats_.push_back(make(g, gateways, referee_, referee_.now));
      EndpointUpdate all;
      for (int h = 0; h < kHosts; ++h) all.endpoints.push_back(MakeHost(h, EndpointState::kUp, 0));
      seats_.back()->Tell(all);
    }
  }

  // False: it changes nothing now, and an order without it says as much.
  bool Do(const std::string& name) {
    const bool second = name.ends_with('2');  // at the second gateway
    const std::string event = second ? name.substr(0, name.size() - 1) : name;
    const bool did = Apply(event, second ? 1 : 0);
    while (!referee_.cancelled.empty()) {
      const auto [id, attempt] = referee_.cancelled.back();
      referee_.cancelled.pop_back();
      if (RequestOf(id).attempts[static_cast<std::size_t>(attempt)].out)
        End(id, attempt, AttemptResult::kCancelled);
    }
    referee_.Check();
    return did;
  }
  // All that is out ends by itself, all that waits runs out.
  void Finish() {
    for (int i = 0; i < 2; ++i) {
      Pass(kPatience + kSlack);
      for (auto [id, attempt] : Out(true)) End(id, attempt, AttemptResult::kServed);
    }
    referee_.Check();
    for (const auto& seat : seats_) {
      if (seat->Left() != 0) referee_.Broken("something is left over");
    }
  }
  const std::string& broken() const { return referee_.broken; }

 private:
  Seat& SeatOf(int id) { return *seats_[static_cast<std::size_t>(RequestOf(id).gateway)]; }
  Referee::Request& RequestOf(int id) { return referee_.requests[static_cast<std::size_t>(id)]; }

  std::vector<std::pair<int, int>> Out(bool streams) {
    std::vector<std::pair<int, int>> all;
    for (std::size_t id = 0; id < referee_.requests.size(); ++id) {
      const auto& attempts = referee_.requests[id].attempts;
      for (std::size_t a = 0; a < attempts.size(); ++a) {
        if (attempts[a].out && attempts[a].streams == streams)
          all.emplace_back(static_cast<int>(id), static_cast<int>(a));
      }
    }
    return all;
  }

  bool Apply(const std::string& event, int g) {
    Seat& seat = *seats_[static_cast<std::size_t>(g)];
    if (event == "safe") return Arrive(g, "view", Idempotency::kIdempotent);
    if (event == "keyed") return Arrive(g, "key", Idempotency::kIdempotencyKey);
    if (event == "unsafe") return Arrive(g, "pay", Idempotency::kNonIdempotent);
    if (event == "hasty") return Arrive(g, "view", Idempotency::kIdempotent, 45);
    if (event == "tunnel") return Arrive(g, "pay", Idempotency::kNonIdempotent, kPatience, true);
    if (event == "burst") {
      for (int i = 0; i < 24; ++i) Arrive(g, "view", Idempotency::kIdempotent);
      return true;
    }
    if (event == "tick") return Pass(10);
    if (event == "wait") return Pass(60);
    if (event == "second") return Pass(1000);
    if (event == "served") return EndOldest(AttemptResult::kServed);
    if (event == "error") return EndOldest(AttemptResult::kError);
    if (event == "reset") return EndOldest(AttemptResult::kReset);
    if (event == "rejected") return EndOldest(AttemptResult::kRejected);
    if (event == "undialled") return EndOldest(AttemptResult::kConnectFailed);
    if (event == "unsent") return EndOldest(AttemptResult::kNotSent);
    if (event == "overdue") return EndOldest(AttemptResult::kTimedOut);
    if (event == "newest") {
      const auto out = Out(false);
      if (out.size() < 2) return false;
      return End(out.back().first, out.back().second, AttemptResult::kServed);
    }
    if (event == "begins") {
      const auto out = Out(false);
      return !out.empty() && Begin(out.front().first, out.front().second);
    }
    if (event == "ends" || event == "cut") {
      const auto out = Out(true);
      if (out.empty()) return false;
      return End(out.front().first, out.front().second,
                 event == "ends" ? AttemptResult::kServed : AttemptResult::kReset);
    }
    if (event == "again") {  // news of an attempt that has ended already
      if (last_.first < 0) return false;
      SeatOf(last_.first).Outcome(last_.first, last_.second, last_result_, RequestOf(last_.first).over);
      return true;
    }
    if (event == "gone") {
      for (std::size_t id = 0; id < referee_.requests.size(); ++id) {
        if (referee_.requests[id].over) continue;
        referee_.requests[id].over = true;
        SeatOf(static_cast<int>(id)).Gone(static_cast<int>(id));
        return true;
      }
      return false;
    }
    if (event == "drains") return Host(seat, g, EndpointState::kDraining);
    if (event == "leaves") return Host(seat, g, EndpointState::kRemoved);
    if (event == "cold") return Host(seat, g, EndpointState::kUp);
    int& barred = referee_.barred[static_cast<std::size_t>(g)][0];
    if (event == "out" || event == "back") {
      const bool out = event == "out";
      if (((barred & 2) != 0) == out) return false;
      barred ^= 2;
      out ? seat.Tell(MaintenanceStarted{"h0"}) : seat.Tell(MaintenanceEnded{"h0"});
      return true;
    }
    if (event == "retuned") {
      retuned_ = !retuned_;
      for (const auto& s : seats_)
        s->Tell(SettingsChanged{MakeSettings(static_cast<int>(seats_.size()), retuned_)});
      return true;
    }
    if (event == "unlisted") {
      seat.Tell(EndpointUpdate{EndpointUpdate::Kind::kFailed, {}});
      return true;
    }
    referee_.Broken("no event is named " + event);
    return true;
  }

  bool Arrive(int g, const char* cls, Idempotency effect, Millis patience = kPatience, bool holds = false) {
    const Seat::Call call{static_cast<int>(referee_.requests.size()), cls, effect, patience, holds};
    if (!seats_[static_cast<std::size_t>(g)]->Admits(call)) return false;
    Referee::Request r;
    r.gateway = g, r.idempotency = effect, r.arrived = r.idle_since = referee_.now;
    r.until = referee_.now + patience;
    referee_.requests.push_back(r);
    seats_[static_cast<std::size_t>(g)]->Arrive(call);
    return true;
  }

  bool EndOldest(AttemptResult result) {
    const auto out = Out(false);
    return !out.empty() && End(out.front().first, out.front().second, result);
  }
  bool End(int id, int attempt, AttemptResult result) {
    auto& a = RequestOf(id).attempts[static_cast<std::size_t>(attempt)];
    a.out = false;
    a.ran = result != AttemptResult::kRejected && result != AttemptResult::kConnectFailed &&
            result != AttemptResult::kNotSent;
    RequestOf(id).idle_since = referee_.now;
    last_ = {id, attempt}, last_result_ = result;
    SeatOf(id).Outcome(id, attempt, result, RequestOf(id).over);
    return true;
  }
  bool Begin(int id, int attempt) {
    RequestOf(id).attempts[static_cast<std::size_t>(attempt)].streams = true;
    SeatOf(id).Begins(id, attempt);
    return true;
  }

  bool Host(Seat& seat, int g, EndpointState state) {
    int& barred = referee_.barred[static_cast<std::size_t>(g)][0];
    const bool up = state == EndpointState::kUp;
    if (up) {
      // One process for all gateways: who hears of it later hears of the same start.
      if (!cold_told_) referee_.cold_since[0] = referee_.now;
      cold_told_ = true;
      barred &= 2;
    } else {
      cold_told_ = false;
      barred |= 1;
    }
    seat.Tell(
        EndpointUpdate{EndpointUpdate::Kind::kDelta, {MakeHost(0, state, up ? referee_.cold_since[0] : 0)}});
    return true;
  }

  bool Pass(Millis ms) {
    const Millis until = referee_.now + ms;
    while (true) {
      Millis next = kForever;
      for (const auto& seat : seats_) next = std::min(next, seat->NextTimer());
      for (auto [id, attempt] : Out(false))
        next = std::min(next, RequestOf(id).attempts[static_cast<std::size_t>(attempt)].due);
      if (next > until) break;
      referee_.now = std::max(referee_.now, next);
      for (const auto& seat : seats_) {
        if (seat->NextTimer() <= referee_.now) seat->Fire();
      }
      for (auto [id, attempt] : Out(false)) {
        const auto& a = RequestOf(id).attempts[static_cast<std::size_t>(attempt)];
        if (a.out && a.due <= referee_.now) End(id, attempt, AttemptResult::kTimedOut);
      }
      if (!broken().empty()) return true;
    }
    referee_.now = until;
    return true;
  }

  Referee referee_;
  std::vector<std::unique_ptr<Seat>> seats_;
  std::pair<int, int> last_{-1, 0};
  AttemptResult last_result_ = AttemptResult::kServed;
  bool retuned_ = false, cold_told_ = false;
};

struct Found {
  std::vector<std::string> order;
  std::string rule;
};
struct Explored {
  long orders = 0;
  Found found;  // the first that breaks a rule, if one does
};

inline std::string Text(const std::vector<std::string>& order) {
  std::string text;
  for (const std::string& event : order) text += (text.empty() ? "" : ",") + event;
  return text;
}

// Every order of `depth` of these events that begins with `order`; those in which one changes nothing are
// left to the shorter orders that say the same.
inline void Explore(int gateways, const MakeSeat& make, const std::vector<std::string>& events, int depth,
                    std::vector<std::string>& order, Explored& result) {
  if (!result.found.rule.empty()) return;
  {
    Play play(gateways, make);
    for (const std::string& event : order) {
      if (!play.Do(event)) return;
      if (!play.broken().empty()) break;
    }
    if (play.broken().empty()) play.Finish();
    ++result.orders;
    if (!play.broken().empty()) {
      result.found = {order, play.broken()};
      return;
    }
  }
  if (static_cast<int>(order.size()) == depth) return;
  for (const std::string& event : events) {
    order.push_back(event);
    Explore(gateways, make, events, depth, order, result);
    order.pop_back();
  }
}

}  // namespace meadowyard::testing::orders

#endif  // MEADOWYARD_TESTS_ORDERS_HPP_
