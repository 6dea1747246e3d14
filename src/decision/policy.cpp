// The decisions of meadowyard. Their interface (settings, events, actions) is include/meadowyard/policy.hpp.
// Each mechanism is a layer over the state (state.hpp) that sees only the layers below it: fleet, trust,
// membership, locality, picker, rate, queues. Here they meet: a request from its arrival to its answer.
#include "meadowyard/policy.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

#include "decision/queues.hpp"

namespace meadowyard {
namespace {

constexpr Millis kSweepEvery = 10;   // ms between sweeps: queue expiry
constexpr double kSlow = 0.01;       // weight of a new sample in a class's latency
constexpr double kRetryShare = 0.1;  // further attempts earned by each first one
constexpr double kRetryBurst = 20;   // further attempts that may be saved up
constexpr double kFirstLeft = 0.04;  // weight of a first try in the time that first tries have left
constexpr double kFirstTry = 0.95;   // part of the most time left below which it is a further try
constexpr double kEnough = 2;        // of a class's latency: a time-out after less tells little of a server
constexpr Millis kOldClass = 1500;   // ms that a class is taken after it was changed or dropped
constexpr Millis kLeastRetryAfter = 10;  // ms; "at once" would be no advice

}  // namespace

class Policy::Impl : private Queues {
 public:
  Impl(Settings settings, std::uint64_t seed) {
    set_ = std::move(settings);
    random_.seed(seed);
    const double worth = Validate(set_);
    place_ = set_.gateway_index < 0 ? Uniform() : std::fmod(set_.gateway_index * 0.6180339887498949, 1.0);
    Apply(worth);
  }

  using Membership::Knows;
  using Membership::Tell;
  using State::Count;
  using State::parts_;
  using State::Recall;
  using Zones::Look;

  bool MayUse(const std::string& id, const std::string& request) const {
    const auto found = servers_.find(id);
    const auto flow = flows_.find(request);
    if (found == servers_.end() || !found->second.up) return false;
    return flow == flows_.end() || Allowed(flow->second, found->second);
  }

  Admission Admits(Millis now, const std::string& name, Idempotency effect) {
    if (TierOf(name, effect, now) != nullptr) return Admission::kAccepted;
    return TierOf(name, std::nullopt, now) != nullptr ? Admission::kIdempotencyMismatch
                                                      : Admission::kUnknownClass;
  }

  void Handle(Millis now, const Event& event, std::vector<Action>& out) {
    out_ = &out;
    Refill(now);
    if (!std::exchange(started_, true)) Sweep();
    std::visit([this](const auto& e) { On(e); }, event);
    ++releases_;
    for (Released next = TakeNext(); next.flow != nullptr; next = TakeNext())
      Dispatch(*next.flow, *next.server);
  }

 private:
  using Zones::On;

  // ---- Settings --------------------------------------------------------------------------------

  // Puts the settings into force, `worth` being that of all classes. What was learned of a class and what a
  // tenant has left stays.
  void Apply(double worth) {
    const auto& fields = set_.load_report_fields;
    busy_at_ = std::find(fields.begin(), fields.end(), "util") - fields.begin();
    const Millis last = now_ + kOldClass;
    for (Tier& c : classes_) c.until = std::min(c.until, last);
    for (const TrafficClassSettings& set : set_.classes) {
      const Tier* const known = TierOf(set.name, std::nullopt, now_);
      const Tier old = known != nullptr ? *known : Tier();
      const bool same = known != nullptr && known->set == set && known->until == last;
      Tier& c = same ? classes_[known - classes_.data()] : NewTier();
      c.set = set;
      c.until = std::numeric_limits<Millis>::infinity();
      c.weight = worth > 0 ? set.priority_weight / worth : 1.0 / static_cast<double>(set_.classes.size());
      c.latency = old.latency;
      c.samples = old.samples;
    }
    const auto spent = std::exchange(tenants_, {});
    for (const TenantSettings& t : set_.tenants) {
      Tenant& tenant = tenants_[t.name];
      if (const auto found = spent.find(t.name); found != spent.end()) tenant = found->second;
      tenant.quota = t.quota_per_s;
    }
  }

  void On(const SettingsChanged& changed) {
    const double worth = Validate(changed.settings);  // throws before anything is changed
    set_ = changed.settings;
    Apply(worth);
    Spread();
    ChooseSubset();
  }

  // ---- Requests ------------------------------------------------------------

  void On(const Request& r) {
    Tier* const tier = TierOf(r.class_name, r.idempotency, now_);
    if (flows_.contains(r.id)) return;
    if (tier == nullptr) return Emit(Reject{r.id, 0});  // no such class: never sent
    Flow& flow = flows_[r.id];
    Tier& c = *tier;
    ++c.open;
    flow.id = r.id;
    flow.cls = static_cast<int>(tier - classes_.data());
    flow.most_attempts = set_.max_attempts;
    flow.coming = r.body_pending;
    flow.only = r.pinned_endpoint.empty() ? 0 : Hash(r.pinned_endpoint) | 1;
    flow.holds = r.is_tunnel;
    flow.key = r.key.empty() ? 0 : Hash(r.key) | 1;
    flow.arrived = now_;
    if (set_.zone_routing.enabled) flow.draw = Uniform();
    arriving_ += 1 / kLongMemory;
    // A client that claims more than its class allows must not hold a place for as long.
    const Millis left = std::isfinite(r.time_left) ? std::clamp(r.time_left, 0.0, c.set.deadline) : 0.0;
    flow.leaves_at = now_ + left;
    // A further try has less time left than a first one. If its aim is long past, it is worth as little
    // as what a tenant sends beyond its share: a jam would feed on answers that come too late.
    // Where clients mark further tries none else is one, and what first tries have left is their mean: a
    // single client with more time than is usual must not make all others look late. Elsewhere it is a guess
    // from all tries, which follows the longest; a guess has nobody turned away.
    const bool marked = set_.clients_mark_retries && r.is_retry;
    const double weight = left > c.most_left || set_.clients_mark_retries ? kFirstLeft : kFirstLeft / 4;
    if (!marked) c.most_left += (c.most_left > 0 ? weight : 1) * (left - c.most_left);
    const bool further = marked || !set_.clients_mark_retries;
    const Millis spent = further && left < kFirstTry * c.most_left ? std::max(0.0, c.set.deadline - left) : 0;
    const bool late = spent >= c.set.latency_objective;
    flow.aim_at = std::min(now_ + c.set.latency_objective, flow.leaves_at);
    flow.in_share = !late && InShare(r.tenant, marked);
    retry_budget_ = std::min(retry_budget_ + kRetryShare, kRetryBurst);
    if (late && marked && c.set.late_weight <= 0) return Answer(flow);   // worth nothing any more
    if (now_ >= flow.leaves_at - kAnswerBefore) return Answer(flow);     // no sweep may come in time
    if (flow.only == 0 && flow.draw > 1 - beyond_) return Answer(flow);  // no zone has room for it
    if (queued_ == 0 && tokens_ > 0 && Room()) {
      if (Backend* b = Pick(flow)) return Dispatch(flow, *b);
    }
    if (Flow* const displaced = Displaced(flow)) {
      const bool itself = displaced == &flow;
      Answer(*displaced);
      if (itself) return;
    }
    Enqueue(flow);
  }

  // ---- Attempts and answers --------------------------------------------------------------------

  void Dispatch(Flow& flow, Backend& b) {
    const Millis until = classes_[flow.cls].set.late_weight > 0 ? flow.leaves_at : flow.aim_at;
    tokens_ -= 1;
    spent_rate_ += 1000 / kSpentMemory / (sharers_ > kManySharers ? 4 : 1);
    if (Warmth(b) < 1) b.cold_credit -= 1;
    b.in_flight += !flow.coming;  // what is still coming is no work yet
    ++out_now_;
    ++b.refs;
    const Millis timeout = std::max(1.0, until - now_);
    flow.attempts.push_back({&b, now_, timeout, true, true, false, !flow.coming, false, false});
    Emit(StartAttempt{flow.id, b.info.id, timeout});
  }

  void On(AttemptOutcome o) {
    Flow* const known = Find(o.request);
    if (!known || o.attempt < 0 || o.attempt >= static_cast<int>(known->attempts.size())) return;
    Flow& flow = *known;
    Attempt& attempt = flow.attempts[o.attempt];
    if (!std::exchange(attempt.out, false)) return;
    if (!std::isfinite(o.latency) || o.latency < 0)
      o.latency = now_ - attempt.sent;  // never into an estimate
    attempt.unreached = o.result == AttemptResult::kConnectFailed;
    attempt.may_have_run = o.result != AttemptResult::kRejected &&
                           o.result != AttemptResult::kConnectFailed && o.result != AttemptResult::kNotSent;
    Backend& b = *attempt.server;
    b.in_flight -= std::exchange(attempt.loads, false);
    attempt.held ? --b.held : --out_now_;
    if (o.result == AttemptResult::kNotSent) tokens_ += 1;  // it bought nothing
    // How long a tunnel lives says nothing of its server; that it broke at its beginning does.
    if (!attempt.streams || (attempt.held && o.result == AttemptResult::kReset)) LearnFrom(b, flow, o);
    if (o.request_finished || o.result == AttemptResult::kServed) flow.answered = true;
    if (!flow.answered && !flow.AnyOut() && !flow.queued) return TryAgain(flow, o);
    Settle(flow);
  }

  void LearnFrom(Backend& b, const Flow& flow, const AttemptOutcome& o) {
    if (o.result == AttemptResult::kServed) LearnClass(classes_[flow.cls], o.latency);
    if (o.result == AttemptResult::kCancelled || o.result == AttemptResult::kNotSent)
      return;  // nothing of the server
    // Nor does it say much that an attempt ran out of a time in which few are answered: a client with hardly
    // any would have every server left out, and the rate cut for all.
    const Tier& c = classes_[flow.cls];
    const Millis enough = std::min(kEnough * c.latency, c.set.latency_objective / 2);
    if (o.result == AttemptResult::kTimedOut && flow.attempts[o.attempt].timeout < enough) return;
    Sighted(b.info.zone, o.result == AttemptResult::kServed && o.latency <= c.set.latency_objective);
    MoveRate(b, flow, o);  // first: by whether the server was held ready until now
    Hear(b, o.load);
    Judge(b, flow, o);
  }

  void LearnClass(Tier& c, Millis latency) {
    c.latency += std::max(kSlow, 1.0 / ++c.samples) * (latency - c.latency);
    mean_latency_ += std::max(kSlow, 1.0 / ++samples_) * (latency - mean_latency_);
  }

  // Another attempt only where it is legal, can still be in time, and the server was to blame.
  void TryAgain(Flow& flow, const AttemptOutcome& o) {
    const TrafficClassSettings& c = classes_[flow.cls].set;
    const bool legal = flow.NeverRan() || c.idempotency != Idempotency::kNonIdempotent;
    const bool heavy = o.result == AttemptResult::kTimedOut && !flow.attempts.back().server->suspect;
    const bool in_time = now_ + classes_[flow.cls].latency < flow.aim_at;
    const bool more =
        static_cast<int>(flow.attempts.size()) < std::min(flow.most_attempts, set_.max_attempts);
    // A connection that never came up cost no server any work.
    const double price = o.result == AttemptResult::kConnectFailed && Many() ? 0 : 1;
    if (!legal || o.not_replayable || heavy || !in_time || !more || retry_budget_ < price)
      return Answer(flow);
    retry_budget_ -= price;
    Hold(flow, classes_[flow.cls].retries);
  }

  // The final answer to a request with no attempt out. A refusal says that trying again is harmless.
  void Answer(Flow& flow) {
    const TrafficClassSettings& c = classes_[flow.cls].set;
    const bool harmless =
        flow.NeverRan() || c.idempotency == Idempotency::kIdempotent ||
        (c.idempotency == Idempotency::kIdempotencyKey && c.dedup_scope == DedupScope::kAll);
    Emit(harmless ? Action(Reject{flow.id, RetryAfter()}) : Action(Fail{flow.id}));
    flow.answered = true;
    Settle(flow);
  }

  Millis RetryAfter() const {
    if (!set_.sends_retry_after) return 0;
    // With no queue a place comes free, on average, within half of the time that an answer takes.
    const Millis queue = 1000 * static_cast<double>(queued_) / std::max(spent_rate_, 1.0);
    return std::min(set_.max_retry_after, std::max({queue, mean_latency_ / 2, kLeastRetryAfter}));
  }

  // Forgets a request that is answered and has nothing out. `flow` may be gone afterwards.
  void Settle(Flow& flow) {
    if (!flow.answered || flow.queued || flow.AnyOut()) return;
    for (const Attempt& a : flow.attempts) --a.server->refs;
    --classes_[flow.cls].open;
    flows_.erase(flow.id);
  }

  void On(const ClientDisconnected& gone) {
    Flow* const known = Find(gone.request);
    if (known == nullptr) return;
    Flow& flow = *known;
    Unqueue(flow);
    flow.answered = true;
    for (std::size_t i = 0; set_.can_cancel_attempts && i < flow.attempts.size(); ++i) {
      if (flow.attempts[i].out) Emit(CancelAttempt{flow.id, static_cast<int>(i)});
    }
    Settle(flow);
  }

  // The client owns it now; its outcome is still awaited. The server has done its work when an answer begins:
  // how long the client takes to read it says nothing of the server.
  void On(const ResponseStarted& s) {
    Flow* const flow = Find(s.request);
    if (flow == nullptr || s.attempt < 0 || s.attempt >= static_cast<int>(flow->attempts.size())) return;
    Attempt& attempt = flow->attempts[s.attempt];
    if (!attempt.out) return;
    flow->answered = true;
    if (!(s.latency > 0) || std::exchange(attempt.streams, true)) return;
    attempt.server->in_flight -= std::exchange(attempt.loads, false);
    if (flow->holds) attempt.held = true, ++attempt.server->held, --out_now_;
    AttemptOutcome begun;  // served, as far as the server goes
    begun.latency = s.latency;
    LearnFrom(*attempt.server, *flow, begun);
  }

  void On(const RequestBodyComplete& whole) {
    Flow* const flow = Find(whole.request);
    if (flow == nullptr || !std::exchange(flow->coming, false)) return;
    flow->arrived = now_;
    flow->leaves_at = now_ + (std::isfinite(whole.time_left) ? std::max(0.0, whole.time_left) : 0.0);
    flow->aim_at = std::min(now_ + classes_[flow->cls].set.latency_objective, flow->leaves_at);
    for (Attempt& a : flow->attempts) {
      if (a.out && !std::exchange(a.loads, true)) ++a.server->in_flight;
    }
  }

  void On(const TunnelCountChanged& held) {
    const auto found = servers_.find(held.endpoint);
    if (found != servers_.end()) found->second.held = std::max(0, found->second.held + held.delta);
  }

  void On(const TimerExpired&) { Sweep(); }

  void Sweep() {
    Emit(SetTimer{kSweepEvery, "sweep"});
    if (set_.polls_endpoints && now_ >= ask_at_) {
      Emit(PollEndpoints{});
      ask_at_ = std::numeric_limits<Millis>::infinity();
    }
    LearnReference(std::min(kLongMemory, now_ - std::exchange(swept_at_, now_)));
    for (Flow* flow : Expired()) {
      const std::string* const zone = ZoneFor(*flow);
      if (zone != nullptr && flow->in_share) Sighted(*zone, false);  // it could not take it in time
      Unqueue(*flow);
      Answer(*flow);
    }
  }
};

Policy::Policy(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Policy::~Policy() = default;
Policy::Policy(Policy&&) noexcept = default;

void Policy::Handle(Millis now, const Event& event, std::vector<Action>& actions) {
  impl_->Handle(now, event, actions);
}

bool Policy::IsKnown(const std::string& server) const { return impl_->Knows(server); }
bool Policy::IsEligible(const std::string& s, const std::string& r) const { return impl_->MayUse(s, r); }
Policy::Admission Policy::CheckAdmission(Millis now, const std::string& class_name,
                                         Idempotency effect) const {
  return impl_->Admits(now, class_name, effect);
}
Policy::Stats Policy::CollectStats() const { return impl_->Count(); }
Gossip Policy::CollectGossip() const { return impl_->Tell(); }
ZoneLoadReport Policy::CollectZoneLoad() const { return impl_->Look(); }
std::vector<Policy::ZoneWeight> Policy::ZoneWeights() const {
  std::vector<ZoneWeight> weights;
  for (const auto& [zone, weight] : impl_->parts_) weights.push_back({zone, weight});
  return weights;
}
LearnedState Policy::Snapshot() const { return impl_->Recall(); }

}  // namespace meadowyard
