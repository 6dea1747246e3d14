// News of the servers: the list, and what operators take out by hand.
#ifndef MEADOWYARD_DECISION_MEMBERSHIP_HPP_
#define MEADOWYARD_DECISION_MEMBERSHIP_HPP_

#include "decision/trust.hpp"

namespace meadowyard {

constexpr std::size_t kDeparted = 256;  // ids remembered after they left the list
constexpr Millis kAskGap = 100;         // ms before a failed list call is made again; doubles
constexpr Millis kApart = 500;          // ms by which two starts of a server differ at the least
constexpr Millis kToldFor = 2000;       // ms that a server's recovery is news
constexpr std::size_t kMostTold = 32;   // servers in one gossip, of each sort

class Membership : protected Trust {
 protected:
  bool Knows(const std::string& id) const {
    const auto found = servers_.find(id);
    return (found != servers_.end() && found->second.listed) || out_by_hand_.contains(id) ||
           std::find(departed_.begin(), departed_.end(), id) != departed_.end();
  }

  void On(const EndpointUpdate& news) {
    if (news.kind == EndpointUpdate::Kind::kFailed) {
      // The list service may be swamped: ask again later each time, never all gateways at once.
      ask_gap_ =
          std::min({std::max(kAskGap, ask_gap_ * 2), set_.max_poll_interval / 4, kMaxPollBackoff / 1.5});
      ask_at_ = now_ + ask_gap_ * (0.5 + Uniform());
      return;
    }
    ask_gap_ = 0;
    if (news.kind == EndpointUpdate::Kind::kSnapshot) {
      for (auto& [id, b] : servers_) b.listed = b.up = false;
    }
    for (const Endpoint& s : news.endpoints) Learn(s);
    for (auto it = servers_.begin(); it != servers_.end();) {
      if (it->second.listed || it->second.refs > 0) {
        ++it;
        continue;
      }
      departed_.push_back(it->first);
      if (departed_.size() > kDeparted) departed_.pop_front();
      it = servers_.erase(it);
    }
    CountUp();
  }

  void On(const LearnedState& learned) {
    Remember(learned);
    CountUp();
  }

  void CountUp() {
    up_ = 0;
    for (auto& [id, b] : servers_) up_ += b.up;
    ChooseSubset();
  }

  // A gateway out of touch may be alone, or the others may have lost it: its share stays what it was, and so
  // do its servers. One that has never been in touch counts all that are listed.
  void On(const MembershipUpdate& news) {
    const int listed = std::max(1, news.configured);
    const int before = std::exchange(listed_, listed), gateways = Gateways(), slot = slot_;
    const bool first = !std::exchange(shared_, true);
    if (first || before != listed) present_ = std::max(present_, listed);
    in_touch_until_ = news.quorum_until;
    if (InTouch()) {
      present_ = std::clamp(news.present, 1, listed);
      slot_ = std::clamp(news.rank, 0, present_ - 1);
    } else if (before != listed) {
      slot_ = std::max(0, news.rank);
    }
    if (first || gateways != Gateways() || slot != slot_) ChooseSubset();
    Heed(news.gossip);
  }

  void Heed(const Gossip& gossip) {
    for (const auto& [id, at] : gossip.started) {
      const auto found = servers_.find(id);
      // The youngest that anybody knows of: a list comes late, a stopped gateway later, and clocks differ.
      if (found == servers_.end() || at < found->second.cold_since + kApart ||
          now_ - at >= set_.slow_start_duration)
        continue;
      Renew(found->second, std::min(at, now_));
    }
    for (const std::string& id : gossip.recovered) {
      const auto found = servers_.find(id);
      if (found == servers_.end() || !found->second.suspect) continue;
      Backend& b = found->second;
      if (now_ - std::exchange(b.hinted_at, now_) < kToldFor) continue;
      b.trial_gap = kTrialGap;
      b.next_trial = std::min(b.next_trial, now_ + kTrialGap * Uniform());
    }
  }

  // Guesses are kept to oneself: a server that one gateway alone can't reach would be held for cold by all.
  Gossip Tell() const {
    Gossip gossip;
    for (const auto& [id, b] : servers_) {
      if (b.start_told && Warmth(b) < 1 && gossip.started.size() < kMostTold)
        gossip.started.push_back({id, b.cold_since});
      if (now_ - b.recovered_at < kToldFor && gossip.recovered.size() < kMostTold)
        gossip.recovered.push_back(id);
    }
    return gossip;
  }

  // By hand: kept apart from the list, so that none can bring a server back.
  void On(const MaintenanceStarted& out) {
    if (!Knows(out.endpoint) || !out_by_hand_.insert(out.endpoint).second) return;
    Say({Log::Event::kMaintenanceStarted, out.endpoint});
    if (const auto found = servers_.find(out.endpoint); found != servers_.end()) found->second.up = false;
    CountUp();
  }

  // Whatever the list knows yet, it may have been started a moment ago.
  void On(const MaintenanceEnded& back) {
    if (out_by_hand_.erase(back.endpoint) == 0) return;
    Say({Log::Event::kMaintenanceEnded, back.endpoint});
    if (const auto found = servers_.find(back.endpoint); found != servers_.end()) {
      Backend& b = found->second;
      Renew(b, now_);
      b.up = b.listed && b.info.state == EndpointState::kUp;
    }
    CountUp();
  }

  void Learn(const Endpoint& s) {
    const auto [entry, added] = servers_.try_emplace(s.id);
    Backend& b = entry->second;
    const bool restarted = added || s.started_at > b.info.started_at;
    b.info = s;
    b.kind = &kinds_[s.kind];
    b.hash = Hash(s.id);
    b.listed = s.state != EndpointState::kRemoved;
    b.up = s.state == EndpointState::kUp && !out_by_hand_.contains(s.id);
    if (!(b.info.weight > 0) || !std::isfinite(b.info.weight)) b.info.weight = 1;
    if (restarted) Renew(b, s.started_at > 0 ? std::min(s.started_at, now_) : kNever);  // 0: up for long
    b.start_told = b.start_told || (restarted && s.started_at > 0);
  }
};

}  // namespace meadowyard

#endif  // MEADOWYARD_DECISION_MEMBERSHIP_HPP_
