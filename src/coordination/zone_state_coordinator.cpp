#include "coordination/zone_state_coordinator.hpp"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

namespace meadowyard::coordination {

ZoneStateCoordinator::ZoneStateCoordinator(int self, int gateways, Times times, Millis now,
                                           FencingToken initial_round, Handlers handlers)
    : self_(self),
      gateways_(gateways),
      times_(times),
      handlers_(std::move(handlers)),
      lease_(self, gateways, times.lease, now, initial_round),
      evaluator_(gateways, times.evaluator),
      recovery_until_(now + times.lease.term * (1 + times.lease.max_clock_drift)) {}

void ZoneStateCoordinator::SendEnvelopes(const std::vector<Lease::Envelope>& envelopes) {
  for (const Lease::Envelope& envelope : envelopes) handlers_.send(envelope.to, envelope.message);
}

void ZoneStateCoordinator::Broadcast(const CoordinationMessage& outgoing) {
  for (int gateway = 0; gateway < gateways_; ++gateway) {
    if (gateway != self_) handlers_.send(gateway, outgoing);
  }
}

void ZoneStateCoordinator::Tick(Millis now, double jitter, const ZoneLoadReport& own) {
  OnLoadReport(now, self_, own);
  std::vector<Lease::Envelope> envelopes;
  lease_.Tick(now, jitter, envelopes);
  SendEnvelopes(envelopes);
  if (!lease_.IsHeld(now)) return proposal_.reset();
  highest_token_ = std::max(highest_token_, lease_.token());
  if (!proposal_) {
    if (auto zones = evaluator_.Evaluate(now, agreed_.zones)) Propose(now, std::move(*zones));
  } else if (now - proposed_at_ >= times_.proposal_retry_interval) {
    Propose(now, std::move(proposal_->zones));
  }
  if (agreed_.term > 0)
    Broadcast(ZoneStateAnnouncement{ZoneStateAnnouncement::Kind::kCommitted, lease_.token(), agreed_});
}

void ZoneStateCoordinator::Propose(Millis now, std::vector<ZoneAgreement::Zone> zones) {
  proposal_ = {lease_.token(), agreed_.version + 1, std::move(zones)};
  voters_.clear();
  proposed_at_ = now;
  ++proposals_sent_;
  Broadcast(ZoneStateAnnouncement{ZoneStateAnnouncement::Kind::kProposed, lease_.token(), *proposal_});
  CountVote(now, self_);
}

void ZoneStateCoordinator::CountVote(Millis now, int from) {
  voters_.insert(from);
  if (2 * static_cast<int>(voters_.size()) <= gateways_) return;
  Adopt(now, *std::exchange(proposal_, std::nullopt));
  Broadcast(ZoneStateAnnouncement{ZoneStateAnnouncement::Kind::kCommitted, lease_.token(), agreed_});
}

void ZoneStateCoordinator::Adopt(Millis now, const ZoneAgreement& state) {
  evaluator_.OnAgreement(now, agreed_.zones, state.zones);
  agreed_ = state;
  ++agreements_adopted_;
  handlers_.agreed(agreed_);
}

void ZoneStateCoordinator::OnMessage(Millis now, int from, const CoordinationMessage& received) {
  std::visit([&](const auto& content) { OnMessage(now, from, content); }, received);
}

void ZoneStateCoordinator::OnMessage(Millis now, int from, const Lease::Message& received) {
  std::vector<Lease::Envelope> envelopes;
  lease_.OnMessage(now, from, received, envelopes);
  SendEnvelopes(envelopes);
}

void ZoneStateCoordinator::OnMessage(Millis now, int from, const ZoneStateAnnouncement& received) {
  // The sender has adopted this state, so a majority has voted for it: it is valid without a lease.
  if (received.kind == ZoneStateAnnouncement::Kind::kNewer) {
    if (received.state.IsNewerThan(agreed_)) Adopt(now, received.state);
    return;
  }
  if (received.token < highest_token_) {
    ++messages_rejected_;  // from a former lease holder that has not noticed the loss of its lease
    return handlers_.send(from,
                          Lease::Message{Lease::Message::Type::kReject, received.token, highest_token_, -1});
  }
  highest_token_ = received.token;
  lease_.ObserveToken(received.token);
  if (received.kind == ZoneStateAnnouncement::Kind::kProposed) {
    if (now >= recovery_until_) handlers_.send(from, ZoneStateVote{received.token, received.state.version});
  } else if (received.state.IsNewerThan(agreed_)) {
    Adopt(now, received.state);
  } else if (agreed_.IsNewerThan(received.state)) {
    handlers_.send(from, ZoneStateAnnouncement{ZoneStateAnnouncement::Kind::kNewer, 0, agreed_});
  }
}

void ZoneStateCoordinator::OnMessage(Millis now, int from, const ZoneStateVote& vote) {
  if (!proposal_ || !lease_.IsHeld(now) || vote.token != proposal_->term ||
      vote.version != proposal_->version)
    return;
  CountVote(now, from);
}

void ZoneStateCoordinator::Stop() { lease_.Release(std::numeric_limits<Millis>::infinity()); }

nlohmann::json ZoneStateCoordinator::Status(Millis now) const {
  nlohmann::json zones = nlohmann::json::array();
  for (const ZoneAgreement::Zone& zone : agreed_.zones)
    zones.push_back(
        {{"name", zone.name}, {"health", zone.health}, {"size", zone.capacity}, {"demand", zone.demand}});
  return {{"holds", lease_.IsHeld(now)},    {"holder", lease_.Owner(now)},      {"term", agreed_.term},
          {"version", agreed_.version},     {"agreed", std::move(zones)},       {"offered", proposals_sent_},
          {"changes", agreements_adopted_}, {"turned_down", messages_rejected_}};
}

}  // namespace meadowyard::coordination
