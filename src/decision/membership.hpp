// News of the servers: the list, and what operators take out by hand.
#ifndef MEADOWYARD_DECISION_MEMBERSHIP_HPP_
#define MEADOWYARD_DECISION_MEMBERSHIP_HPP_

#include "decision/trust.hpp"

namespace meadowyard {

constexpr std::size_t kDeparted = 256;  // ids remembered after they left the list
constexpr Millis kAskGap = 100;         // ms before a failed list call is made again; doubles

class Membership : protected Trust {
 protected:
  bool Knows(const std::string& id) const {
    const auto found = servers_.find(id);
    return (found != servers_.end() && found->second.listed) || out_by_hand_.contains(id) ||
           std::find(departed_.begin(), departed_.end(), id) != departed_.end();
  }

  void On(const ServerNews& news) {
    if (news.kind == ServerNews::Kind::kFailed) {
      // The list service may be swamped: ask again later each time, never all gateways at once.
      ask_gap_ = std::min(std::max(kAskGap, ask_gap_ * 2), set_.ask_within / 4);
      ask_at_ = now_ + ask_gap_ * (0.5 + Uniform());
      return;
    }
    ask_gap_ = 0;
    if (news.kind == ServerNews::Kind::kFull) {
      for (auto& [id, b] : servers_) b.listed = b.up = false;
    }
    for (const Server& s : news.servers) Learn(s);
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

  void On(const Recollection& learned) {
    Remember(learned);
    CountUp();
  }

  void CountUp() {
    up_ = 0;
    for (auto& [id, b] : servers_) up_ += b.up;
    ChooseSubset();
  }

  // By hand: kept apart from the list, so that none can bring a server back.
  void On(const ServerOut& out) {
    if (!Knows(out.server) || !out_by_hand_.insert(out.server).second) return;
    Say("server " + out.server + " left out by hand");
    if (const auto found = servers_.find(out.server); found != servers_.end()) found->second.up = false;
    CountUp();
  }

  // Whatever the list knows yet, it may have been started a moment ago.
  void On(const ServerBack& back) {
    if (out_by_hand_.erase(back.server) == 0) return;
    Say("server " + back.server + " put back by hand");
    if (const auto found = servers_.find(back.server); found != servers_.end()) {
      Backend& b = found->second;
      Renew(b, now_);
      b.up = b.listed && b.info.state == ServerState::kUp;
    }
    CountUp();
  }

  void Learn(const Server& s) {
    const auto [entry, added] = servers_.try_emplace(s.id);
    Backend& b = entry->second;
    const bool restarted = added || s.started_at > b.info.started_at;
    b.info = s;
    b.kind = &kinds_[s.kind];
    b.hash = Hash(s.id);
    b.listed = s.state != ServerState::kGone;
    b.up = s.state == ServerState::kUp && !out_by_hand_.contains(s.id);
    if (!(b.info.weight > 0) || !std::isfinite(b.info.weight)) b.info.weight = 1;
    if (restarted) Renew(b, s.started_at > 0 ? s.started_at : kNever);  // 0: up for long
  }
};

}  // namespace meadowyard

#endif  // MEADOWYARD_DECISION_MEMBERSHIP_HPP_
