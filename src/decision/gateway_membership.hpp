/// @file
/// The gateways in front of the same endpoints, as this one counts them.
///
/// A gateway that has lost the majority may be alone, or the others may have lost it: its share stays what it
/// was. One that has never been in contact counts all that are configured.
#ifndef MEADOWYARD_DECISION_GATEWAY_MEMBERSHIP_HPP_
#define MEADOWYARD_DECISION_GATEWAY_MEMBERSHIP_HPP_

#include "decision/instants.hpp"
#include "meadowyard/policy.hpp"

namespace meadowyard::decision {

class GatewayMembership {
 public:
  /// `settings` outlives it.
  explicit GatewayMembership(const Settings& settings) : settings_(settings) {}

  /// Returns whether this gateway's share or rank has changed. The update's gossip is left to others.
  [[nodiscard]] bool Apply(const MembershipUpdate& update, Millis now);

  /// Gateways that what all share is divided among.
  [[nodiscard]] int active() const { return knows_peers_ ? present_ : settings_.gateway_count; }
  /// Whether gateways know each other at all: an update has come.
  [[nodiscard]] bool knows_peers() const { return knows_peers_; }
  [[nodiscard]] bool HasQuorum(Millis now) const { return now < quorum_until_; }
  [[nodiscard]] int configured() const { return configured_; }
  [[nodiscard]] int rank() const { return rank_; }

 private:
  const Settings& settings_;
  bool knows_peers_ = false;
  int configured_ = 1;
  int present_ = 1;
  int rank_ = 0;
  Millis quorum_until_ = kNever;
};

}  // namespace meadowyard::decision

#endif  // MEADOWYARD_DECISION_GATEWAY_MEMBERSHIP_HPP_
