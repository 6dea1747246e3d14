/// @file
/// The rate controller: learns at which rate attempts may be sent, raises it with each timely answer and
/// reduces it when outcomes are untimely and the endpoints are congested.
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
  /// All arguments outlive it.
  RateController(const GatewayMembership& membership, const SubsetSelector& subset,
                 const EndpointRegistry& registry, ActionWriter& actions)
      : membership_(membership), subset_(subset), registry_(registry), actions_(actions) {}

  /// Time has passed.
  void Advance(Millis now, Millis passed);
  [[nodiscard]] bool HasToken() const { return bucket_.HasToken(); }
  /// An attempt is sent.
  void OnDispatch();
  /// An attempt could not be sent: its token bought nothing.
  void OnNotSent() { bucket_.PutBack(); }
  /// Learns from the end of an attempt at an endpoint as it was trusted until now. `is_timely`: served within
  /// the latency objective; `in_flight`: attempts over all endpoints.
  void OnOutcome(const EndpointRecord& endpoint, AttemptResult result, bool is_timely, int in_flight,
                 Millis now);

  /// Attempts per second, smoothed.
  [[nodiscard]] double dispatch_rate() const { return dispatch_rate_; }
  /// Smoothed share of outcomes that were not served within the objective.
  [[nodiscard]] double untimely_share() const { return untimely_share_; }

  void Save(LearnedState& state) const;
  void Restore(const LearnedState& state);

 private:
  [[nodiscard]] bool IsEvidence(const EndpointRecord& endpoint, AttemptResult result, Millis now) const;
  void Raise(Millis now);
  void Reduce(Millis now);
  [[nodiscard]] bool IsCongested(int in_flight) const;
  [[nodiscard]] Millis DispatchMemory() const;
  [[nodiscard]] double RecentDispatchRate(Millis now) const;

  const GatewayMembership& membership_;
  const SubsetSelector& subset_;
  const EndpointRegistry& registry_;
  ActionWriter& actions_;
  TokenBucket bucket_;
  double rate_ = 0;  // tokens per second; 0: no endpoint was known yet
  double dispatch_rate_ = 0;
  double untimely_share_ = 0;
  Millis no_reduction_before_ = kNever;
  Millis started_at_ = 0;  // when the first endpoint was known
};

}  // namespace meadowyard::decision

#endif  // MEADOWYARD_DECISION_RATE_CONTROLLER_HPP_
