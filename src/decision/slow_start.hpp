/// @file
/// Slow start: limits the requests that are sent to a new or restarted endpoint while it warms up.
///
/// A warming endpoint fails when all gateways together send it more than Settings::overload_multiple times
/// its current capacity. Each gateway therefore sends it a request only against credit, which grows in
/// proportion to the rate at which warm endpoints answer this gateway. The credit starts at a random fraction
/// of a request: if every gateway started with credit for a full request, hundreds of gateways would
/// overload the endpoint at once.
#ifndef MEADOWYARD_DECISION_SLOW_START_HPP_
#define MEADOWYARD_DECISION_SLOW_START_HPP_

#include "decision/endpoint_registry.hpp"
#include "decision/gateway_membership.hpp"
#include "decision/random_source.hpp"
#include "meadowyard/policy.hpp"

namespace meadowyard::decision {

/// Keeps the slow-start credit of each warming endpoint, and the rate by which the credit grows.
class SlowStart {
 public:
  /// All arguments must outlive this object.
  SlowStart(const Settings& settings, const GatewayMembership& membership, RandomSource& random)
      : settings_(settings), membership_(membership), random_(random) {}

  /// The share of its full capacity that an endpoint has at `now`, from 0 to 1. It grows linearly from
  /// Settings::slow_start_fraction to 1 over Settings::slow_start_duration.
  [[nodiscard]] double CapacityShare(const EndpointRecord& endpoint, Millis now) const;
  [[nodiscard]] bool IsWarm(const EndpointRecord& endpoint, Millis now) const {
    return CapacityShare(endpoint, now) >= 1;
  }

  /// Starts the slow start of an endpoint whose process was started at `started_at`.
  void Reset(EndpointRecord& endpoint, Millis started_at, Millis now);
  /// Whether the endpoint may be sent a request now; always true for a warm endpoint. Adds the credit earned
  /// since the last call.
  [[nodiscard]] bool HasCredit(EndpointRecord& endpoint, Millis now);
  /// Takes the credit of one request that is sent to the endpoint.
  void Spend(EndpointRecord& endpoint, Millis now) const;

  /// Counts an answer of a warm endpoint.
  void CountWarmAnswer() { warm_answers_ += 1; }
  /// Updates the rate at which warm endpoints answer this gateway. `elapsed`: time since the last call;
  /// `arrival_rate`: requests per millisecond at this gateway.
  void LearnReferenceRate(const EndpointRegistry& registry, Millis elapsed, double arrival_rate, Millis now);

  void Save(LearnedState& state) const;
  void Restore(const LearnedState& state);

 private:
  [[nodiscard]] double ReferenceRate(Millis now) const;

  const Settings& settings_;
  const GatewayMembership& membership_;
  RandomSource& random_;
  double warm_answers_ = 0;    // count, exponentially decayed
  double warm_time_ = 0;       // sum of the ms that each endpoint was warm times its weight, decayed
  double reference_rate_ = 0;  // answers per ms to this gateway by a warm endpoint of weight 1
  double reference_rate_at_quorum_ = kForever;  // reference_rate_ when last in contact with a majority
};

}  // namespace meadowyard::decision

#endif  // MEADOWYARD_DECISION_SLOW_START_HPP_
