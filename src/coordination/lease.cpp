#include "coordination/lease.hpp"

#include <algorithm>

namespace meadowyard::coordination {
namespace {

constexpr FencingToken kGateways = 256;  // the last digits of a token say whose it is
constexpr Millis kNeverHeld = -1e15;
constexpr double kSpread = 4;  // times the retry_interval, that attempts after one that failed are drawn from

}  // namespace

Lease::Lease(int self, int gateways, Times times, Millis now, FencingToken least)
    : self_(self),
      gateways_(gateways),
      times_(times),
      recovery_until_(now + times.term * (1 + times.max_clock_drift)),
      highest_(least * kGateways) {}

void Lease::ObserveToken(FencingToken token) { highest_ = std::max(highest_, token); }

void Lease::Release(Millis until) {
  held_until_ = kNeverHeld;
  attempt_ = Attempt::kNone;
  next_ = std::max(next_, until);
  // What it granted to itself stays: the others count the term, too.
}

void Lease::Send(int to, const Message& message, Millis now, std::vector<Envelope>& out) {
  if (to != self_) return out.push_back({to, message});
  OnMessage(now, self_, message, out);
}

void Lease::ToAll(const Message& message, Millis now, std::vector<Envelope>& out) {
  for (int g = 0; g < gateways_; ++g) {
    if (g != self_) Send(g, message, now, out);
  }
  Send(self_, message, now, out);  // last: its answer may be the one that decides
}

void Lease::Tick(Millis now, double chance, std::vector<Envelope>& out) {
  if (now < next_) return;
  const bool renews = IsHeld(now) && held_until_ - now < times_.term / 2;
  const bool granted = now < granted_until_ && granted_to_ != self_;  // to another
  const bool free = !IsHeld(now) && !granted && now >= recovery_until_;
  if (renews || free) Begin(now, chance, out);
}

void Lease::Begin(Millis now, double chance, std::vector<Envelope>& out) {
  // Who holds it has nobody to collide with. Others ask at beats that may keep in step: the spread covers
  // several.
  next_ = now + times_.retry_interval * (IsHeld(now) ? 1 : 1 + kSpread * chance);
  highest_ = asked_ = (highest_ / kGateways + 1) * kGateways + static_cast<FencingToken>(self_);
  attempt_ = Attempt::kPreparing;
  open_.clear();
  taken_.clear();
  ToAll({Message::Type::kPrepareRequest, asked_, 0, -1}, now, out);
}

void Lease::OnMessage(Millis now, int from, const Message& message, std::vector<Envelope>& out) {
  using Type = Message::Type;
  ObserveToken(std::max(message.token, message.highest_promised));
  switch (message.type) {
    case Type::kPrepareRequest:
    case Type::kProposeRequest:
      if (now < recovery_until_) return;
      if (message.token < promised_)
        return Send(from, {Type::kReject, message.token, promised_, -1}, now, out);
      promised_ = message.token;
      if (message.type == Type::kPrepareRequest)
        return Send(from, {Type::kPrepareResponse, message.token, 0, now < granted_until_ ? granted_to_ : -1},
                    now, out);
      granted_token_ = message.token;
      granted_to_ = from;
      granted_until_ = now + times_.term * (1 + times_.max_clock_drift);
      return Send(from, {Type::kProposeResponse, message.token, 0, from}, now, out);
    case Type::kPrepareResponse:
      if (attempt_ != Attempt::kPreparing || message.token != asked_) return;
      if (message.owner >= 0 && message.owner != self_) return;
      open_.insert(from);
      if (!Enough(open_)) return;
      attempt_ = Attempt::kProposing;
      offered_until_ = now + times_.term * (1 - times_.max_clock_drift);
      return ToAll({Type::kProposeRequest, asked_, 0, self_}, now, out);
    case Type::kProposeResponse:
      if (attempt_ != Attempt::kProposing || message.token != asked_) return;
      taken_.insert(from);
      if (!Enough(taken_)) return;
      attempt_ = Attempt::kNone;
      held_until_ = std::max(held_until_, offered_until_);
      held_token_ = asked_;
      return;
    case Type::kReject:
      if (message.token == asked_) attempt_ = Attempt::kNone;
      return;
  }
}

}  // namespace meadowyard::coordination
