/// @file
/// How many gateways send requests to the same endpoints, as seen by this gateway.
///
/// A gateway without a quorum can't tell whether the other gateways have failed or only its own links to them
/// have. It therefore keeps the share and the rank that it had. A gateway that has never had a quorum assumes
/// that all configured gateways are present.
#ifndef MEADOWYARD_DECISION_GATEWAY_MEMBERSHIP_HPP_
#define MEADOWYARD_DECISION_GATEWAY_MEMBERSHIP_HPP_

#include "decision/instants.hpp"
#include "meadowyard/policy.hpp"

namespace meadowyard::decision {

class GatewayMembership {
 public:
  /// `settings` must outlive this object.
  explicit GatewayMembership(const Settings& settings) : settings_(settings) {}

  /// Applies a membership update, except for its gossip, which other classes handle. Returns whether the
  /// number of active gateways or this gateway's rank has changed, or this was the first update.
  [[nodiscard]] bool Apply(const MembershipUpdate& update, Millis now);

  /// Number of gateways that shared capacity is divided among.
  [[nodiscard]] int active() const { return knows_peers_ ? present_count_ : settings_.gateway_count; }
  /// Whether any membership update has been received.
  [[nodiscard]] bool knows_peers() const { return knows_peers_; }
  /// Whether this gateway is in contact with a majority of the configured gateways.
  [[nodiscard]] bool HasQuorum(Millis now) const { return now < quorum_until_; }
  /// Number of gateways that are configured, present or not.
  [[nodiscard]] int configured_count() const { return configured_count_; }
  /// Rank of this gateway among the gateways that are present, from 0.
  [[nodiscard]] int rank() const { return rank_; }

 private:
  const Settings& settings_;
  bool knows_peers_ = false;
  int configured_count_ = 1;
  int present_count_ = 1;
  int rank_ = 0;
  Millis quorum_until_ = kNever;
};

}  // namespace meadowyard::decision

#endif  // MEADOWYARD_DECISION_GATEWAY_MEMBERSHIP_HPP_
