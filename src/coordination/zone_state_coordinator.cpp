#include "coordination/zone_state_coordinator.hpp"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

namespace meadowyard {

ZoneDuty::ZoneDuty(int self, int gateways, Times times, Millis now, Token least, Handlers handlers)
    : self_(self),
      gateways_(gateways),
      times_(times),
      handlers_(std::move(handlers)),
      lease_(self, gateways, times.lease, now, least),
      judge_(gateways, times.judge),
      votes_from_(now + times.lease.term * (1 + times.lease.drift)) {}

void ZoneDuty::Post(const std::vector<Lease::Letter>& letters) {
  for (const Lease::Letter& letter : letters) handlers_.send(letter.to, letter.word);
}

void ZoneDuty::ToOthers(const DutyWord& word) {
  for (int g = 0; g < gateways_; ++g) {
    if (g != self_) handlers_.send(g, word);
  }
}

void ZoneDuty::Beat(Millis now, double chance, const ZoneLoadReport& own) {
  See(now, self_, own);
  std::vector<Lease::Letter> letters;
  lease_.Pass(now, chance, letters);
  Post(letters);
  if (!lease_.Holds(now)) return offer_.reset();
  acted_ = std::max(acted_, lease_.token());
  if (!offer_) {
    if (auto zones = judge_.Wants(now, agreed_.zones)) Offer(now, std::move(*zones));
  } else if (now - offered_at_ >= times_.again) {
    Offer(now, std::move(offer_->zones));
  }
  if (agreed_.term > 0) ToOthers(ZonesWord{ZonesWord::Kind::kAgreed, lease_.token(), agreed_});
}

void ZoneDuty::Offer(Millis now, std::vector<ZoneAgreement::Zone> zones) {
  offer_ = {lease_.token(), agreed_.version + 1, std::move(zones)};
  votes_.clear();
  offered_at_ = now;
  ++offered_;
  ToOthers(ZonesWord{ZonesWord::Kind::kOffer, lease_.token(), *offer_});
  Count(now, self_);
}

void ZoneDuty::Count(Millis now, int from) {
  votes_.insert(from);
  if (2 * static_cast<int>(votes_.size()) <= gateways_) return;
  Adopt(now, *std::exchange(offer_, std::nullopt));
  ToOthers(ZonesWord{ZonesWord::Kind::kAgreed, lease_.token(), agreed_});
}

void ZoneDuty::Adopt(Millis now, const ZoneAgreement& state) {
  judge_.Agreed(now, agreed_.zones, state.zones);
  agreed_ = state;
  ++changes_;
  handlers_.agreed(agreed_);
}

void ZoneDuty::Hear(Millis now, int from, const DutyWord& word) {
  std::visit([&](const auto& w) { Hear(now, from, w); }, word);
}

void ZoneDuty::Hear(Millis now, int from, const Lease::Word& word) {
  std::vector<Lease::Letter> letters;
  lease_.Hear(now, from, word, letters);
  Post(letters);
}

void ZoneDuty::Hear(Millis now, int from, const ZonesWord& word) {
  // More than half had agreed on it, whoever says so.
  if (word.kind == ZonesWord::Kind::kKnown) {
    if (word.state.IsNewerThan(agreed_)) Adopt(now, word.state);
    return;
  }
  if (word.token < acted_) {
    ++turned_down_;  // of one that had the duty before and does not know that it has lost it
    return handlers_.send(from, Lease::Word{Lease::Word::Kind::kNo, word.token, acted_, -1});
  }
  acted_ = word.token;
  lease_.Seen(word.token);
  if (word.kind == ZonesWord::Kind::kOffer) {
    if (now >= votes_from_) handlers_.send(from, ZonesVote{word.token, word.state.version});
  } else if (word.state.IsNewerThan(agreed_)) {
    Adopt(now, word.state);
  } else if (agreed_.IsNewerThan(word.state)) {
    handlers_.send(from, ZonesWord{ZonesWord::Kind::kKnown, 0, agreed_});
  }
}

void ZoneDuty::Hear(Millis now, int from, const ZonesVote& vote) {
  if (!offer_ || !lease_.Holds(now) || vote.token != offer_->term || vote.version != offer_->version) return;
  Count(now, from);
}

void ZoneDuty::Stopping() { lease_.GiveUp(std::numeric_limits<Millis>::infinity()); }

nlohmann::json ZoneDuty::Status(Millis now) const {
  nlohmann::json zones = nlohmann::json::array();
  for (const ZoneAgreement::Zone& z : agreed_.zones)
    zones.push_back({{"name", z.name}, {"health", z.health}, {"size", z.capacity}, {"demand", z.demand}});
  return {{"holds", lease_.Holds(now)}, {"holder", lease_.Holder(now)}, {"term", agreed_.term},
          {"version", agreed_.version}, {"agreed", std::move(zones)},   {"offered", offered_},
          {"changes", changes_},        {"turned_down", turned_down_}};
}

}  // namespace meadowyard
