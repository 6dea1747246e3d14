/// @file
/// The rate controller: learns the rate at which this gateway may send attempts, by additive increase and
/// multiplicative decrease. Each timely answer increases the rate. It is reduced while too many outcomes are
/// untimely (not served within the latency objective) and the endpoints are congested.
#ifndef MEADOWYARD_DECISION_RATE_CONTROLLER_HPP_
#define MEADOWYARD_DECISION_RATE_CONTROLLER_HPP_

#include "decision/action_writer.hpp"
#include "decision/endpoint_registry.hpp"
#include "decision/gateway_membership.hpp"
#include "decision/subset_selector.hpp"
#include "decision/token_bucket.hpp"
#include "meadowyard/policy.hpp"

namespace meadowyard::decision {

class RateController {
 public:
  /// Keeps references to all arguments, which must outlive the controller.
  RateController(const GatewayMembership& membership, const SubsetSelector& subset,
                 const EndpointRegistry& registry, ActionWriter& actions)
      : membership_(membership), subset_(subset), registry_(registry), actions_(actions) {}

  /// Refills the token bucket and decays the smoothed dispatch rate. `elapsed`: time since the last call.
  void Advance(Millis now, Millis elapsed);
  /// Whether an attempt may be sent now.
  [[nodiscard]] bool HasToken() const { return bucket_.HasToken(); }
  /// Consumes the token of an attempt that is being sent.
  void OnDispatch();
  /// Returns the token of an attempt that could not be sent.
  void OnNotSent() { bucket_.Return(); }
  /// Adjusts the rate to the outcome of an attempt. To be called before the outlier detector counts the same
  /// outcome, because outcomes of endpoints that are already ejected are ignored. `is_timely`: served within
  /// the latency objective; `in_flight`: this gateway's attempts in flight, over all endpoints.
  void OnOutcome(const EndpointRecord& endpoint, AttemptResult result, bool is_timely, int in_flight,
                 Millis now);

  /// Attempts per second, smoothed.
  [[nodiscard]] double dispatch_rate() const { return dispatch_rate_; }
  /// Smoothed share of outcomes that were not served within the objective.
  [[nodiscard]] double untimely_share() const { return untimely_share_; }

  void Save(LearnedState& state) const;
  void Restore(const LearnedState& state);

 private:
  [[nodiscard]] bool MayAffectRate(const EndpointRecord& endpoint, AttemptResult result, Millis now) const;
  void IncreaseRate(Millis now);
  void ReduceRate(Millis now);
  [[nodiscard]] bool IsCongested(int in_flight) const;
  [[nodiscard]] Millis DispatchRateTimeConstant() const;
  [[nodiscard]] double CorrectedDispatchRate(Millis now) const;

  const GatewayMembership& membership_;
  const SubsetSelector& subset_;
  const EndpointRegistry& registry_;
  ActionWriter& actions_;
  TokenBucket bucket_;
  double token_rate_ = 0;  // tokens per second; 0: no endpoint has been known yet
  double dispatch_rate_ = 0;
  double untimely_share_ = 0;
  Millis no_reduction_before_ = kNever;
  Millis started_at_ = 0;  // when the first endpoint became known
};

}  // namespace meadowyard::decision

#endif  // MEADOWYARD_DECISION_RATE_CONTROLLER_HPP_
