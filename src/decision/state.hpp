// What a Policy remembers: plain data without decisions, and the check of its settings.
#ifndef MEADOWYARD_STATE_HPP_
#define MEADOWYARD_STATE_HPP_

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "meadowyard/policy.hpp"

namespace meadowyard {

constexpr Millis kNever = -1e15;
constexpr Millis kSightMemory = 1000;  // over which what is seen of a zone fades

// Throws std::invalid_argument naming the field that can't work. Returns the classes' summed worth.
double Validate(const Settings& settings);

// FNV-1a with a final mix: all gateways must rank servers alike, so std::hash will not do.
inline std::uint64_t Hash(std::string_view text, std::uint64_t h = 1469598103934665603ULL) {
  for (const unsigned char c : text) h = (h ^ c) * 1099511628211ULL;
  h = (h ^ (h >> 33)) * 0xff51afd7ed558ccdULL;
  return h ^ (h >> 33);
}

// A hash as a fraction strictly between 0 and 1.
inline double Fraction(std::uint64_t h) {
  h *= 0x9e3779b97f4a7c15ULL;
  h = (h ^ (h >> 32)) * 0xd6e8feb86659fd93ULL;
  return (static_cast<double>((h ^ (h >> 32)) >> 11) + 0.5) / 9007199254740992.0;
}

struct Kind {  // what servers of one kind have in common
  double latency = 0, steady = 0, base = 0;
  double busy = 0;  // reported utilisation, smoothed
  int samples = 0;
};

struct Backend {
  Endpoint info;
  Kind* kind = nullptr;
  std::uint64_t hash = 0;
  bool listed = false;  // by the last list, if only to drain
  bool up = false;      // and may be sent to
  bool mine = false;    // in this gateway's subset
  int refs = 0;         // attempts of living requests that name it
  int in_flight = 0;    // own attempts out
  int held = 0;         // tunnels that are open
  double latency = 0;   // smoothed, relative to the class; 0 = unmeasured
  double steady = 0;    // the same, smoothed over more samples
  double base = 0;      // the lowest of that: what it is when uncrowded
  int samples = 0;
  double busy = 0;    // reported utilisation, smoothed
  double limit = 1;   // own requests it takes uncrowded; below 1 it rests between them
  double places = 1;  // the limit rounded by chance to whole requests
  Millis rests_until = kNever;
  double failing = 0;  // smoothed share of failures
  bool suspect = false;
  bool lost = false;  // a connection failed: it may come back as a new, cold process
  Millis next_trial = 0;
  Millis trial_gap = 0;
  Millis last_served = kNever;
  Millis recovered_at = kNever;  // no suspect any more since then
  Millis hinted_at = kNever;     // another gateway said so
  Millis cold_since = kNever;
  bool start_told = false;  // by the list, and is no guess
  double cold_credit = 0;   // requests that it may be sent while cold
  Millis credit_at = 0;
  Millis filled_at = 0;  // since then the credit is enough for one
};

struct Attempt {
  Backend* server;
  Millis sent;
  Millis timeout;
  bool out = true;
  bool may_have_run = true;
  bool unreached = false;  // no connection came up
  bool loads = true;       // counts as in flight at its server, whose work has begun and not ended
  bool held = false;       // its server is held until it ends
  bool streams = false;    // its answer goes to the client already
};

// A request that the gateway has taken, until it is answered and all its attempts have ended.
struct Flow {
  std::string id;
  int cls = 0;
  std::uint64_t key = 0;   // 0 = none
  std::uint64_t only = 0;  // hash of the one server that it may go to; 0 = any
  bool holds = false;
  Millis arrived = 0, aim_at = 0, leaves_at = 0;
  double draw = 0;  // 0 to 1: to which zone it goes
  bool in_share = true;
  bool answered = false;
  bool queued = false;
  bool coming = false;  // its body is not whole yet
  int most_attempts = 1;
  std::vector<Attempt> attempts;

  bool AnyOut() const {
    return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.out; });
  }
  // The first attempt that may have run decides where a keyed request may still go.
  const Attempt* FirstRun() const {
    for (const Attempt& a : attempts) {
      if (a.may_have_run) return &a;
    }
    return nullptr;
  }
  bool NeverRan() const { return FirstRun() == nullptr; }
};

// One class: its settings, learned latency, credit and queues. A class whose settings change gets a new one,
// and the old one stays for the requests that came under it.
struct Tier {
  TrafficClassSettings set;
  Millis until = std::numeric_limits<Millis>::infinity();  // takes new requests until then
  int open = 0;                                            // requests that came under it and are remembered
  std::uint64_t stuck_in = 0;                              // the release that found no server for its head
  double weight = 0;
  double credit = 0;
  Millis most_left = 0;  // what a first try still has
  double latency = 0;
  int samples = 0;
  std::deque<Flow*> retries, in_share, over_share;

  std::size_t Size() const { return retries.size() + in_share.size() + over_share.size(); }
};

struct Tenant {
  struct Bucket {
    double tokens = 0;
    Millis at = 0;
  };
  double quota = 0;  // requests a second, over all gateways
  Bucket first, further;
  double within = 1;  // part of its first tries that was within its share, smoothed
};

// Attempts that ended at a zone's servers and requests that found none there in time, fading.
struct ZoneCounts {
  double ended = 0, good = 0;
  Millis at = 0;

  double Keep(Millis now) const { return std::exp((at - now) / kSightMemory); }
  void Add(Millis now, bool is_good) {
    const double keep = Keep(now);
    ended = ended * keep + 1, good = good * keep + is_good;
    at = now;
  }
};

// All that one Policy remembers.
struct State {
  Settings set_;
  std::mt19937_64 random_;
  std::vector<Tier> classes_;
  std::uint64_t releases_ = 0;
  std::unordered_map<std::string, Tenant> tenants_;  // looked up, never iterated
  std::unordered_map<std::string, Flow> flows_;      // the same
  std::set<std::string> out_by_hand_;
  std::deque<std::string> departed_;  // ids that the list had lately
  std::map<std::string, Kind> kinds_;
  std::map<std::string, Backend> servers_;  // ordered: iteration must be repeatable
  std::vector<std::pair<double, Backend*>> candidates_;
  std::vector<double> scratch_;
  std::vector<Flow*> due_;
  std::vector<Action>* out_ = nullptr;
  bool started_ = false;
  std::size_t busy_at_ = 0;  // place of the utilisation in a load report; past its end if not reported
  Millis now_ = 0;
  Millis ask_at_ = kNever, ask_gap_ = 0;
  Millis cut_after_ = kNever, quiet_until_ = kNever;
  Millis since_ = 0;  // when the first server was told of
  double tokens_ = 1, rate_ = 0, spent_rate_ = 0, failing_ = 0;
  double unserved_ = 0;                     // failing share of all servers that are not suspect
  double arriving_ = 0;                     // requests per ms, smoothed
  double warm_served_ = 0, warm_time_ = 0;  // answers of warm servers, and their time, both fading
  Millis swept_at_ = 0;
  double mean_latency_ = 0, reference_ = 0, retry_budget_ = 1;
  int samples_ = 0, up_ = 0;
  int out_now_ = 0;  // attempts out, but those that hold their servers
  std::size_t queued_ = 0;
  std::vector<std::pair<double, Backend*>> ring_;
  double place_ = 0;     // of this gateway on the ring of servers
  double sharers_ = 1;   // gateways that use each server
  bool shared_ = false;  // gateways know of each other; what follows was told by peers
  int listed_ = 1, present_ = 1, slot_ = 0;
  Millis in_touch_until_ = kNever;
  double share_before_ = std::numeric_limits<double>::infinity();  // reference_ when last in touch
  std::map<std::string, ZoneCounts> zones_;                        // attempts that ended, by zone
  ZoneAgreement agreed_;
  std::vector<std::pair<std::string, double>> parts_;  // by zone; none: nothing was agreed
  double beyond_ = 0;                                  // share of requests that no zone has room for
  std::vector<std::string> subset_;                    // ids, sorted, and what they were chosen by
  std::uint64_t subset_of_ = 0;

  // Gateways that what all share is split among.
  int Gateways() const { return shared_ ? present_ : set_.gateway_count; }
  bool InTouch() const { return now_ < in_touch_until_; }

  // The tier that a request of this class and effect comes under: the newest that fits, or null.
  Tier* TierOf(const std::string& name, const std::optional<Idempotency>& effect, Millis now) {
    Tier* found = nullptr;
    for (Tier& c : classes_) {
      if (c.set.name != name || now >= c.until || (effect && !Fits(*effect, c.set.idempotency))) continue;
      if (found == nullptr || c.until > found->until) found = &c;
    }
    return found;
  }
  // A key that was sent along does no harm to a class that needs none.
  static bool Fits(Idempotency asked, Idempotency effect) {
    return asked == effect ||
           (asked == Idempotency::kIdempotencyKey && effect == Idempotency::kNonIdempotent);
  }
  // A place for a new tier: that of one nobody needs any more, if there is one.
  Tier& NewTier() {
    for (Tier& c : classes_) {
      if (c.open == 0 && now_ >= c.until) return c = Tier();
    }
    return classes_.emplace_back();
  }

  Policy::Stats Count() const {
    Policy::Stats census;
    census.open_requests = static_cast<int>(flows_.size());
    census.queued = static_cast<int>(queued_);
    census.active_gateways = Gateways();
    for (const auto& [id, b] : servers_) {
      census.in_flight += b.in_flight;
      census.tunnels += b.held;
      census.endpoints += b.listed;
      census.unavailable += b.listed && (!b.up || b.suspect);
      census.subset += b.mine;
    }
    return census;
  }

  void Sighted(const std::string& zone, bool good) {
    if (set_.zone_routing.enabled) zones_[zone].Add(now_, good);
  }

  Flow* Find(const std::string& id) {
    const auto found = flows_.find(id);
    return found == flows_.end() ? nullptr : &found->second;
  }

  void Hold(Flow& flow, std::deque<Flow*>& line) {
    flow.queued = true;
    ++queued_;
    line.push_back(&flow);
  }

  void Unqueue(Flow& flow) {
    if (!flow.queued) return;
    Tier& c = classes_[flow.cls];
    for (auto* line : {&c.retries, &c.in_share, &c.over_share}) {
      if (const auto it = std::find(line->begin(), line->end(), &flow); it != line->end()) {
        line->erase(it);
        break;
      }
    }
    flow.queued = false;
    --queued_;
  }

  LearnedState Recall() const {
    LearnedState r;
    for (const auto& [id, b] : servers_) {
      if (!b.listed) continue;
      r.endpoints.push_back({id, b.latency, b.steady, b.base, b.limit, b.failing, b.samples, b.suspect,
                             b.lost, b.last_served, b.cold_since, b.cold_credit});
    }
    for (const auto& [name, k] : kinds_) r.kinds.push_back({name, k.latency, k.steady, k.base, k.samples});
    for (const Tier& c : classes_) r.classes.push_back({c.set.name, c.latency, c.most_left, c.samples});
    r.in_maintenance.assign(out_by_hand_.begin(), out_by_hand_.end());
    r.rate = rate_, r.dispatch_rate = spent_rate_, r.arrival_rate = arriving_, r.untimely_share = failing_;
    r.failure_rate = unserved_, r.warm_responses = warm_served_, r.warm_time = warm_time_;
    r.mean_latency = mean_latency_, r.samples = samples_;
    return r;
  }

  void Remember(const LearnedState& r) {
    for (const auto& of : r.kinds) {
      Kind& k = kinds_[of.name];
      k.latency = of.latency, k.steady = of.average_latency, k.base = of.uncongested_latency,
      k.samples = of.samples;
    }
    for (const auto& of : r.endpoints) {
      const auto found = servers_.find(of.id);
      if (found == servers_.end()) continue;
      Backend& b = found->second;
      b.latency = of.latency, b.steady = of.average_latency, b.base = of.uncongested_latency,
      b.samples = of.samples;
      if (of.concurrency_limit > 0)
        b.limit = of.concurrency_limit, b.places = std::max(1.0, std::floor(of.concurrency_limit));
      b.failing = of.failure_rate, b.suspect = of.ejected, b.lost = of.connection_failed,
      b.last_served = of.last_served_at;
      b.cold_since = std::max(b.cold_since, of.started_at);
      b.cold_credit = std::min(b.cold_credit, of.slow_start_credit);
    }
    for (const auto& of : r.classes) {
      Tier* const c = TierOf(of.name, std::nullopt, now_);
      if (c != nullptr)
        c->latency = of.latency, c->most_left = of.observed_time_budget, c->samples = of.samples;
    }
    for (const std::string& id : r.in_maintenance) {
      out_by_hand_.insert(id);
      if (const auto found = servers_.find(id); found != servers_.end()) found->second.up = false;
    }
    rate_ = r.rate, spent_rate_ = r.dispatch_rate, arriving_ = r.arrival_rate, failing_ = r.untimely_share;
    unserved_ = r.failure_rate, warm_served_ = r.warm_responses, warm_time_ = r.warm_time;
    mean_latency_ = r.mean_latency, samples_ = r.samples;
  }

  // Puts the servers that are up on a ring, those of each kind evenly, by an order that all gateways share.
  void OrderRing() {
    ring_.clear();
    std::map<const Kind*, double> size, rank;
    for (auto& [id, b] : servers_) {
      b.mine = false;
      if (b.up) ring_.push_back({static_cast<double>(b.hash >> 11), &b}), ++size[b.kind];
    }
    std::sort(ring_.begin(), ring_.end());
    for (auto& [at, b] : ring_) at = rank[b->kind]++ / size[b->kind];
    std::sort(ring_.begin(), ring_.end(), [](const auto& x, const auto& y) {
      return std::pair(x.first, x.second->hash) < std::pair(y.first, y.second->hash);
    });
  }

  double Median() {
    scratch_.clear();
    for (auto& [id, b] : servers_) {
      if (b.up && b.latency > 0) scratch_.push_back(b.latency);
    }
    if (scratch_.empty()) return 0;
    const auto middle = scratch_.begin() + static_cast<std::ptrdiff_t>(scratch_.size() / 2);
    std::nth_element(scratch_.begin(), middle, scratch_.end());
    return *middle;
  }

  // A class's latency over the mean of all: 1 until something was learned.
  double Relative(int cls) const {
    const double latency = classes_[cls].latency;
    return latency > 0 && mean_latency_ > 0 ? latency / mean_latency_ : 1;
  }

  double Uniform() { return static_cast<double>(random_() >> 11) / 9007199254740992.0; }
};

}  // namespace meadowyard

#endif  // MEADOWYARD_STATE_HPP_
