#include "coordination/zone_state_coordinator.hpp"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

namespace meadowyard::coordination {

ZoneStateCoordinator::ZoneStateCoordinator(int self, int gateways, Times times, Millis now,
                                           FencingToken least, Handlers handlers)
    : self_(self),
      gateways_(gateways),
      times_(times),
      handlers_(std::move(handlers)),
      lease_(self, gateways, times.lease, now, least),
      evaluator_(gateways, times.evaluator),
      votes_from_(now + times.lease.term * (1 + times.lease.max_clock_drift)) {}

void ZoneStateCoordinator::Post(const std::vector<Lease::Envelope>& letters) {
  for (const Lease::Envelope& letter : letters) handlers_.send(letter.to, letter.message);
}

void ZoneStateCoordinator::ToOthers(const CoordinationMessage& word) {
  for (int g = 0; g < gateways_; ++g) {
    if (g != self_) handlers_.send(g, word);
  }
}

void ZoneStateCoordinator::Tick(Millis now, double chance, const ZoneLoadReport& own) {
  OnLoadReport(now, self_, own);
  std::vector<Lease::Envelope> letters;
  lease_.Tick(now, chance, letters);
  Post(letters);
  if (!lease_.IsHeld(now)) return offer_.reset();
  acted_ = std::max(acted_, lease_.token());
  if (!offer_) {
    if (auto zones = evaluator_.Evaluate(now, agreed_.zones)) Offer(now, std::move(*zones));
  } else if (now - offered_at_ >= times_.proposal_retry_interval) {
    Offer(now, std::move(offer_->zones));
  }
  if (agreed_.term > 0)
    ToOthers(ZoneStateAnnouncement{ZoneStateAnnouncement::Kind::kCommitted, lease_.token(), agreed_});
}

void ZoneStateCoordinator::Offer(Millis now, std::vector<ZoneAgreement::Zone> zones) {
  offer_ = {lease_.token(), agreed_.version + 1, std::move(zones)};
  votes_.clear();
  offered_at_ = now;
  ++offered_;
  ToOthers(ZoneStateAnnouncement{ZoneStateAnnouncement::Kind::kProposed, lease_.token(), *offer_});
  Count(now, self_);
}

void ZoneStateCoordinator::Count(Millis now, int from) {
  votes_.insert(from);
  if (2 * static_cast<int>(votes_.size()) <= gateways_) return;
  Adopt(now, *std::exchange(offer_, std::nullopt));
  ToOthers(ZoneStateAnnouncement{ZoneStateAnnouncement::Kind::kCommitted, lease_.token(), agreed_});
}

void ZoneStateCoordinator::Adopt(Millis now, const ZoneAgreement& state) {
  evaluator_.OnAgreement(now, agreed_.zones, state.zones);
  agreed_ = state;
  ++changes_;
  handlers_.agreed(agreed_);
}

void ZoneStateCoordinator::OnMessage(Millis now, int from, const CoordinationMessage& word) {
  std::visit([&](const auto& w) { OnMessage(now, from, w); }, word);
}

void ZoneStateCoordinator::OnMessage(Millis now, int from, const Lease::Message& word) {
  std::vector<Lease::Envelope> letters;
  lease_.OnMessage(now, from, word, letters);
  Post(letters);
}

void ZoneStateCoordinator::OnMessage(Millis now, int from, const ZoneStateAnnouncement& word) {
  // More than half had agreed on it, whoever says so.
  if (word.kind == ZoneStateAnnouncement::Kind::kNewer) {
    if (word.state.IsNewerThan(agreed_)) Adopt(now, word.state);
    return;
  }
  if (word.token < acted_) {
    ++turned_down_;  // of one that had the duty before and does not know that it has lost it
    return handlers_.send(from, Lease::Message{Lease::Message::Type::kReject, word.token, acted_, -1});
  }
  acted_ = word.token;
  lease_.ObserveToken(word.token);
  if (word.kind == ZoneStateAnnouncement::Kind::kProposed) {
    if (now >= votes_from_) handlers_.send(from, ZoneStateVote{word.token, word.state.version});
  } else if (word.state.IsNewerThan(agreed_)) {
    Adopt(now, word.state);
  } else if (agreed_.IsNewerThan(word.state)) {
    handlers_.send(from, ZoneStateAnnouncement{ZoneStateAnnouncement::Kind::kNewer, 0, agreed_});
  }
}

void ZoneStateCoordinator::OnMessage(Millis now, int from, const ZoneStateVote& vote) {
  if (!offer_ || !lease_.IsHeld(now) || vote.token != offer_->term || vote.version != offer_->version) return;
  Count(now, from);
}

void ZoneStateCoordinator::Stop() { lease_.Release(std::numeric_limits<Millis>::infinity()); }

nlohmann::json ZoneStateCoordinator::Status(Millis now) const {
  nlohmann::json zones = nlohmann::json::array();
  for (const ZoneAgreement::Zone& z : agreed_.zones)
    zones.push_back({{"name", z.name}, {"health", z.health}, {"size", z.capacity}, {"demand", z.demand}});
  return {{"holds", lease_.IsHeld(now)}, {"holder", lease_.Owner(now)}, {"term", agreed_.term},
          {"version", agreed_.version},  {"agreed", std::move(zones)},  {"offered", offered_},
          {"changes", changes_},         {"turned_down", turned_down_}};
}

}  // namespace meadowyard::coordination
