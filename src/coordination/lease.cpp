#include "coordination/lease.hpp"

#include <algorithm>

namespace meadowyard {
namespace {

constexpr Token kGateways = 256;  // the last digits of a token say whose it is
constexpr Millis kNeverHeld = -1e15;
constexpr double kSpread = 4;  // times the patience, that attempts after one that failed are drawn from

}  // namespace

Lease::Lease(int self, int gateways, Times times, Millis now, Token least)
    : self_(self),
      gateways_(gateways),
      times_(times),
      deaf_until_(now + times.term * (1 + times.drift)),
      highest_(least * kGateways) {}

void Lease::Seen(Token token) { highest_ = std::max(highest_, token); }

void Lease::GiveUp(Millis until) {
  held_until_ = kNeverHeld;
  attempt_ = Attempt::kNone;
  next_ = std::max(next_, until);
  // What it granted to itself stays: the others count the term, too.
}

void Lease::Send(int to, const Word& word, Millis now, std::vector<Letter>& out) {
  if (to != self_) return out.push_back({to, word});
  Hear(now, self_, word, out);
}

void Lease::ToAll(const Word& word, Millis now, std::vector<Letter>& out) {
  for (int g = 0; g < gateways_; ++g) {
    if (g != self_) Send(g, word, now, out);
  }
  Send(self_, word, now, out);  // last: its answer may be the one that decides
}

void Lease::Pass(Millis now, double chance, std::vector<Letter>& out) {
  if (now < next_) return;
  const bool renews = Holds(now) && held_until_ - now < times_.term / 2;
  const bool granted = now < granted_until_ && granted_to_ != self_;  // to another
  const bool free = !Holds(now) && !granted && now >= deaf_until_;
  if (renews || free) Begin(now, chance, out);
}

void Lease::Begin(Millis now, double chance, std::vector<Letter>& out) {
  // Who holds it has nobody to collide with. Others ask at beats that may keep in step: the spread covers
  // several.
  next_ = now + times_.patience * (Holds(now) ? 1 : 1 + kSpread * chance);
  highest_ = asked_ = (highest_ / kGateways + 1) * kGateways + static_cast<Token>(self_);
  attempt_ = Attempt::kAsking;
  open_.clear();
  taken_.clear();
  ToAll({Word::Kind::kAsk, asked_, 0, -1}, now, out);
}

void Lease::Hear(Millis now, int from, const Word& word, std::vector<Letter>& out) {
  using Kind = Word::Kind;
  Seen(std::max(word.token, word.seen));
  switch (word.kind) {
    case Kind::kAsk:
    case Kind::kOffer:
      if (now < deaf_until_) return;
      if (word.token < promised_) return Send(from, {Kind::kNo, word.token, promised_, -1}, now, out);
      promised_ = word.token;
      if (word.kind == Kind::kAsk)
        return Send(from, {Kind::kPromise, word.token, 0, now < granted_until_ ? granted_to_ : -1}, now, out);
      granted_token_ = word.token;
      granted_to_ = from;
      granted_until_ = now + times_.term * (1 + times_.drift);
      return Send(from, {Kind::kTaken, word.token, 0, from}, now, out);
    case Kind::kPromise:
      if (attempt_ != Attempt::kAsking || word.token != asked_) return;
      if (word.holder >= 0 && word.holder != self_) return;
      open_.insert(from);
      if (!Enough(open_)) return;
      attempt_ = Attempt::kOffering;
      offered_until_ = now + times_.term * (1 - times_.drift);
      return ToAll({Kind::kOffer, asked_, 0, self_}, now, out);
    case Kind::kTaken:
      if (attempt_ != Attempt::kOffering || word.token != asked_) return;
      taken_.insert(from);
      if (!Enough(taken_)) return;
      attempt_ = Attempt::kNone;
      held_until_ = std::max(held_until_, offered_until_);
      held_token_ = asked_;
      return;
    case Kind::kNo:
      if (word.token == asked_) attempt_ = Attempt::kNone;
      return;
  }
}

}  // namespace meadowyard
