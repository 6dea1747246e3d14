#include "coordination/lease.hpp"

#include <algorithm>

namespace meadowyard::coordination {
namespace {

constexpr FencingToken kMaxGateways = 256;  // tokens are round * 256 + proposer's index
constexpr Millis kNeverHeld = -1e15;        // an instant before any other
constexpr double kMaxRetryJitter = 4;       // in retry intervals: random extra delay before a round, at most

}  // namespace

Lease::Lease(int self, int gateways, Times times, Millis now, FencingToken initial_round)
    : self_(self),
      gateways_(gateways),
      times_(times),
      recovery_until_(now + times.term * (1 + times.max_clock_drift)),
      highest_token_(initial_round * kMaxGateways) {}

void Lease::ObserveToken(FencingToken token) { highest_token_ = std::max(highest_token_, token); }

void Lease::Release(Millis until) {
  held_until_ = kNeverHeld;
  phase_ = Phase::kIdle;
  next_round_at_ = std::max(next_round_at_, until);
  // The grant to itself stays in force until it expires, as the other acceptors' grants do.
}

void Lease::Send(int to, const Message& message, Millis now, std::vector<Envelope>& outgoing) {
  if (to != self_) return outgoing.push_back({to, message});
  OnMessage(now, self_, message, outgoing);
}

void Lease::Broadcast(const Message& message, Millis now, std::vector<Envelope>& outgoing) {
  for (int gateway = 0; gateway < gateways_; ++gateway) {
    if (gateway != self_) Send(gateway, message, now, outgoing);
  }
  Send(self_, message, now, outgoing);  // last: its own response may complete the majority
}

void Lease::Tick(Millis now, double jitter, std::vector<Envelope>& outgoing) {
  if (now < next_round_at_) return;
  const bool renewal_due = IsHeld(now) && held_until_ - now < times_.term / 2;
  const bool granted_to_other = now < granted_until_ && granted_to_ != self_;  // by this acceptor
  const bool available = !IsHeld(now) && !granted_to_other && now >= recovery_until_;
  if (renewal_due || available) StartRound(now, jitter, outgoing);
}

void Lease::StartRound(Millis now, double jitter, std::vector<Envelope>& outgoing) {
  // A renewal does not compete with other proposers and needs no jitter. Other gateways call Tick at each
  // heartbeat, and equal heartbeat intervals would make their rounds collide again and again: the jitter
  // spreads rounds over several intervals.
  next_round_at_ = now + times_.retry_interval * (IsHeld(now) ? 1 : 1 + kMaxRetryJitter * jitter);
  highest_token_ = round_token_ =
      (highest_token_ / kMaxGateways + 1) * kMaxGateways + static_cast<FencingToken>(self_);
  phase_ = Phase::kPreparing;
  promised_by_.clear();
  accepted_by_.clear();
  Broadcast({Message::Type::kPrepareRequest, round_token_, 0, -1}, now, outgoing);
}

void Lease::OnMessage(Millis now, int from, const Message& message, std::vector<Envelope>& outgoing) {
  using Type = Message::Type;
  ObserveToken(std::max(message.token, message.highest_promised));
  switch (message.type) {
    case Type::kPrepareRequest:
    case Type::kProposeRequest:
      if (now < recovery_until_) return;
      if (message.token < promised_token_)
        return Send(from, {Type::kReject, message.token, promised_token_, -1}, now, outgoing);
      promised_token_ = message.token;
      if (message.type == Type::kPrepareRequest)
        return Send(from, {Type::kPrepareResponse, message.token, 0, now < granted_until_ ? granted_to_ : -1},
                    now, outgoing);
      granted_token_ = message.token;
      granted_to_ = from;
      granted_until_ = now + times_.term * (1 + times_.max_clock_drift);
      return Send(from, {Type::kProposeResponse, message.token, 0, from}, now, outgoing);
    case Type::kPrepareResponse:
      if (phase_ != Phase::kPreparing || message.token != round_token_) return;
      if (message.owner >= 0 && message.owner != self_) return;
      promised_by_.insert(from);
      if (!IsMajority(promised_by_)) return;
      phase_ = Phase::kProposing;
      proposed_until_ = now + times_.term * (1 - times_.max_clock_drift);
      return Broadcast({Type::kProposeRequest, round_token_, 0, self_}, now, outgoing);
    case Type::kProposeResponse:
      if (phase_ != Phase::kProposing || message.token != round_token_) return;
      accepted_by_.insert(from);
      if (!IsMajority(accepted_by_)) return;
      phase_ = Phase::kIdle;
      held_until_ = std::max(held_until_, proposed_until_);
      held_token_ = round_token_;
      return;
    case Type::kReject:
      if (message.token == round_token_) phase_ = Phase::kIdle;
      return;
  }
}

}  // namespace meadowyard::coordination
