/// @file
/// Slow start: how much a new or restarted endpoint may be sent while it warms up.
///
/// An endpoint that warms up fails when all gateways together send it more than its capacity allows. It earns
/// credit by the rate at which warm endpoints answer this gateway. It starts with a chance fraction of a
/// request: one request each from hundreds of gateways at once would overload it.
#ifndef MEADOWYARD_DECISION_SLOW_START_HPP_
#define MEADOWYARD_DECISION_SLOW_START_HPP_

#include "decision/endpoint_registry.hpp"
#include "decision/gateway_membership.hpp"
#include "decision/random_source.hpp"
#include "meadowyard/policy.hpp"

namespace meadowyard::decision {

class SlowStart {
 public:
  /// All arguments outlive it.
  SlowStart(const Settings& settings, const GatewayMembership& membership, RandomSource& random)
      : settings_(settings), membership_(membership), random_(random) {}

  /// The share of its capacity that a started endpoint has by now, from 0 to 1.
  [[nodiscard]] double Warmth(const EndpointRecord& endpoint, Millis now) const;
  [[nodiscard]] bool IsWarm(const EndpointRecord& endpoint, Millis now) const {
    return Warmth(endpoint, now) >= 1;
  }

  /// The endpoint is a new process, which has run since `started_at`.
  void Reset(EndpointRecord& endpoint, Millis started_at, Millis now);
  /// Whether the endpoint may be sent a request now; earns credit by the time that has passed. Always true
  /// for a warm endpoint.
  [[nodiscard]] bool HasCredit(EndpointRecord& endpoint, Millis now);
  /// A request is sent to the endpoint.
  void Spend(EndpointRecord& endpoint, Millis now) const;

  /// A warm endpoint has answered.
  void CountWarmResponse() { warm_responses_ += 1; }
  /// Learns the rate at which warm endpoints answer this gateway. `passed`: since the last call;
  /// `arrival_rate`: requests per millisecond.
  void LearnReferenceRate(const EndpointRegistry& registry, Millis passed, double arrival_rate, Millis now);

  void Save(LearnedState& state) const;
  void Restore(const LearnedState& state);

 private:
  [[nodiscard]] double ReferenceRate(Millis now) const;

  const Settings& settings_;
  const GatewayMembership& membership_;
  RandomSource& random_;
  double warm_responses_ = 0;                   // fading
  double warm_time_ = 0;                        // of warm endpoints, times their weight; fading
  double reference_rate_ = 0;                   // answers per millisecond of a warm endpoint of weight 1
  double reference_rate_at_quorum_ = kForever;  // the same when last in contact with a majority
};

}  // namespace meadowyard::decision

#endif  // MEADOWYARD_DECISION_SLOW_START_HPP_
