#include "decision/gateway_membership.hpp"

#include <algorithm>
#include <utility>

namespace meadowyard::decision {

bool GatewayMembership::Apply(const MembershipUpdate& update, Millis now) {
  const int active_before = active();
  const int rank_before = rank_;
  const bool is_first = !std::exchange(knows_peers_, true);
  const int configured = std::max(1, update.configured);
  const bool resized = std::exchange(configured_, configured) != configured;
  if (is_first || resized) present_ = std::max(present_, configured);
  quorum_until_ = update.quorum_until;
  if (HasQuorum(now)) {
    present_ = std::clamp(update.present, 1, configured);
    rank_ = std::clamp(update.rank, 0, present_ - 1);
  } else if (resized) {
    rank_ = std::max(0, update.rank);
  }
  return is_first || active_before != active() || rank_before != rank_;
}

}  // namespace meadowyard::decision
