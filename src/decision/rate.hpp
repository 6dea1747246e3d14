// The token bucket and the rate that it learns.
#ifndef MEADOWYARD_DECISION_RATE_HPP_
#define MEADOWYARD_DECISION_RATE_HPP_

#include "decision/picker.hpp"

namespace meadowyard {

constexpr double kStartRate = 1000;    // tokens/s a server: "starting high", far above any use
constexpr double kRaise = 0.3;         // tokens/s gained by each timely answer
constexpr double kRaiseShare = 0.05;   // part of the rate gained by it at the most
constexpr double kRaiseOpen = 1;       // the same where the rate is past its start
constexpr double kEvidence = 2;        // the rate there stays within this multiple of what is sent
constexpr double kCut = 0.85;          // the rate keeps this much at a cut
constexpr double kTolerated = 0.2;     // failing share of recent outcomes that cuts the rate
constexpr double kInUse = 0.5;         // part of the servers' places, that must be in use for a cut
constexpr Millis kBurst = 50;          // ms of refill that the bucket holds
constexpr Millis kSpentMemory = 1000;  // ms over which the spent rate is smoothed
constexpr double kFailMemory =
    0.05;  // least weight of an outcome in the fleet's failing share; else about a second's

class Rate : protected Picker {
 protected:
  void Refill(Millis now) {
    const Millis passed = started_ ? std::max(0.0, now - now_) : 0;
    now_ = started_ ? std::max(now_, now) : std::isfinite(now) ? now : 0;  // this order also outlives NaN
    const bool first = rate_ <= 0 && up_ > 0;
    if (first) rate_ = kStartRate * up_, since_ = now_;
    if (rate_ > 0) rate_ = std::max(rate_, 1.0 * up_ / Gateways());  // the floor, whoever came since a cut
    const double full = std::max(2.0, rate_ * kBurst / 1000);
    tokens_ = first ? full : std::min(tokens_ + rate_ * passed / 1000, full);
    spent_rate_ *= std::exp(-passed / (kSpentMemory * (sharers_ > kManySharers ? 4 : 1)));
    arriving_ *= std::exp(-passed / kLongMemory);
  }

  // The spent rate of the time that has passed: at the start, of less than its memory.
  double Spent() const {
    const Millis memory = kSpentMemory * (sharers_ > kManySharers ? 4 : 1);
    return spent_rate_ / -std::expm1(-std::max(1.0, now_ - since_) / memory);
  }

  // Whether what is out could crowd the servers. A jam shows in what is in flight, however it came about, so
  // with most of the measured places empty failures have another cause, and sending less mends none of them:
  // a server that turns away beyond a rate of its own, a few heavy requests, an errand that fails everywhere.
  // It could hurt where limits are too high for what servers can do, until their latency has taught better.
  bool Crowded() const {
    if (sharers_ > kManySharers) return true;  // there no limit is kept
    double places = 0;
    for (const auto& [id, b] : servers_) {
      if (b.mine && b.up && !b.suspect) places += b.limit;
    }
    return out_now_ >= kInUse * places;
  }

  // Failures that one server explains eject it; only those of servers held ready move the rate.
  void MoveRate(const Backend& b, const Flow& flow, const AttemptOutcome& outcome) {
    // A connection that breaks says nothing of crowding. Cutting for it feeds on itself: the fewer are sent,
    // the longer connections idle, and the more of them are gone at the next request.
    if (b.suspect || outcome.result == AttemptResult::kReset) return;
    // Where many gateways share the servers, what turns all away or can't be reached is on its way out, and
    // it alone is left out for it: a list out of date is no jam.
    const bool refused =
        outcome.result == AttemptResult::kConnectFailed || outcome.result == AttemptResult::kRejected;
    if (refused && Many() && now_ - b.last_served > kLostAfter) return;
    // A server that is full rests, which is all that one server's fullness asks for where limits are kept.
    if (outcome.result == AttemptResult::kRejected && sharers_ <= kManySharers) return;
    const bool served = outcome.result == AttemptResult::kServed;
    const bool timely = served && now_ <= flow.aim_at;
    failing_ += std::clamp(1 / (1 + rate_), kFailMemory, kErrWeight) * ((timely ? 0.0 : 1.0) - failing_);
    if (timely) {
      // Past the start the evidence bounds it: what is sent now, while answers come in time. With the bucket
      // as the limit that is the rate itself, and it doubles in about a second.
      const double start = kStartRate * std::max(1, up_);
      const double raise = rate_ >= start ? kRaiseOpen
                           : Many()       ? kRaise
                                          : std::min(kRaise, kRaiseShare * rate_);
      rate_ = std::min(rate_ + raise, std::max(start, kEvidence * Spent()));
    } else if (failing_ > (sharers_ > kManySharers ? kToleratedMany : kTolerated) && now_ >= cut_after_ &&
               Crowded()) {
      rate_ = std::min(rate_, Spent()) * kCut;        // down to the floor, which Refill keeps
      cut_after_ = now_ + std::max(100.0, Median());  // one cut a round trip
      Say({Log::Event::kDispatchRateReduced, {}, static_cast<int>(rate_)});
    }
  }
};

}  // namespace meadowyard

#endif  // MEADOWYARD_DECISION_RATE_HPP_
