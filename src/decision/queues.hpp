// The queues of the classes, and Most Credit First between them.
#ifndef MEADOWYARD_DECISION_QUEUES_HPP_
#define MEADOWYARD_DECISION_QUEUES_HPP_

#include "decision/rate.hpp"

namespace meadowyard {

constexpr Millis kAnswerBefore = 20;  // ms before the client leaves: two sweeps, timers may come late
constexpr double kShareBurst = 3;     // requests of its share that a tenant may send at once, at the least
constexpr double kCreditCap = 4;      // MCF credit stays within +-this many requests
constexpr double kWaitShare = 0.25;   // part of its time that a request waits for a token at most
constexpr double kSpareWait = 0.05;   // the same beyond a share: it holds a client's connection for little
constexpr double kWithin = 0.9;  // tenants with this part of their first tries in share: so are further tries
constexpr double kWithinMemory = 0.02;  // weight of a first try in that part

class Queues : protected Rate {
 protected:
  // A share is of what is asked for once. Further tries take nothing of it: a tenant within its share that
  // was refused would seem to be beyond it, and be refused the more. They have a bucket of the same size, or
  // whoever calls all tries further ones would have no bound.
  bool InShare(const std::string& tenant, bool retry) {
    if (tenants_.empty()) return true;
    const auto it = tenants_.find(tenant);
    if (it == tenants_.end()) return false;  // an unknown tenant has no share
    Tenant& t = it->second;
    if (t.quota <= 0) return true;
    const double per_ms = t.quota / Gateways() / 1000;
    Tenant::Bucket& bucket = retry ? t.further : t.first;
    const double full = std::max(kShareBurst, per_ms * 1000);
    bucket.tokens = std::min(bucket.tokens + (now_ - bucket.at) * per_ms, full);
    bucket.at = now_;
    const bool in_share = bucket.tokens >= 1;
    if (in_share) bucket.tokens -= 1;
    if (retry) return in_share && t.within >= kWithin;
    t.within += kWithinMemory * ((in_share ? 1.0 : 0.0) - t.within);
    return in_share;
  }

  // A token must come soon: what waits longer is sent with too little time left, fails, and has the rate cut
  // again. And the answer must come before the client leaves.
  Millis HoldUntil(const Flow& flow) const {
    const double share = flow.in_share ? kWaitShare : kSpareWait;
    return std::min(flow.arrived + share * (flow.aim_at - flow.arrived), flow.leaves_at - kAnswerBefore);
  }

  // A gateway out of connections could only fail to send, which would cost a token and an attempt.
  bool Room() const { return set_.max_attempts_in_flight <= 0 || out_now_ < set_.max_attempts_in_flight; }

  // Room in its class's queues for a request. Returns who has to be answered for it: the request itself, one
  // beyond a share that waits no more, or nobody.
  Flow* Displaced(Flow& flow) {
    Tier& c = classes_[flow.cls];
    const double most = spent_rate_ * c.set.latency_objective / 1000 + 32;  // more can't be served in time
    if (static_cast<double>(c.Size()) < most) return nullptr;
    if (!flow.in_share || c.over_share.empty()) return &flow;
    Flow* const evicted = c.over_share.back();
    Unqueue(*evicted);
    return evicted;
  }

  void Enqueue(Flow& flow) {
    Tier& c = classes_[flow.cls];
    Hold(flow, flow.in_share ? c.in_share : c.over_share);
  }

  // All, not the heads alone: one with less time than those before it must not run out of it behind them.
  const std::vector<Flow*>& Expired() {
    due_.clear();
    for (Tier& c : classes_) {
      for (auto* line : {&c.retries, &c.in_share, &c.over_share}) {
        for (Flow* flow : *line) {
          if (now_ >= HoldUntil(*flow)) due_.push_back(flow);
        }
      }
    }
    return due_;
  }

  struct Released {
    Flow* flow = nullptr;
    Backend* server = nullptr;
  };
  // Whom the next token goes to: the head of the backlogged class with the most credit, if some server can
  // take it. `releases_` numbers the round.
  Released TakeNext() {
    while (queued_ > 0 && tokens_ > 0 && Room()) {
      Tier* best = nullptr;
      for (Tier& c : classes_) {
        if (c.Size() == 0 || c.stuck_in == releases_) continue;
        if (best == nullptr || c.credit + c.weight > best->credit + best->weight) best = &c;
      }
      if (best == nullptr) break;
      const Released next = FirstToGo(*best);
      if (next.flow == nullptr) {
        best->stuck_in = releases_;  // no server can take its head now
        continue;
      }
      // Where all backlogged classes are in debt the least indebted goes: a token never idles.
      for (Tier& c : classes_) c.credit = std::min(kCreditCap, c.credit + (c.Size() > 0 ? c.weight : 0));
      best->credit = std::max(-kCreditCap, best->credit - 1);
      Unqueue(*next.flow);
      return next;
    }
    return {};
  }

  // The head of a class's queues with a server for it. One that not every server may take holds nobody up,
  // and one that waits for a zone holds up those for the same alone.
  Released FirstToGo(Tier& c) {
    for (auto* line : {&c.retries, &c.in_share, &c.over_share}) {
      std::set<const std::string*> full;
      for (Flow* flow : *line) {
        const bool plain = flow->only == 0 && flow->attempts.empty() && !flow->holds;
        const std::string* const zone = ZoneFor(*flow);
        if (plain && full.contains(zone)) continue;
        if (Backend* const b = Pick(*flow)) return {flow, b};
        if (plain && (zone == nullptr || full.insert(zone).second) && full.size() >= parts_.size()) return {};
      }
    }
    return {};
  }
};

}  // namespace meadowyard

#endif  // MEADOWYARD_DECISION_QUEUES_HPP_
