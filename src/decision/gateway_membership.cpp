#include "decision/gateway_membership.hpp"

#include <algorithm>
#include <utility>

namespace meadowyard::decision {

bool GatewayMembership::Apply(const MembershipUpdate& update, Millis now) {
  const int previous_active = active();
  const int previous_rank = rank_;
  const bool is_first_update = !std::exchange(knows_peers_, true);
  const int configured = std::max(1, update.configured);
  const bool configured_count_changed = std::exchange(configured_count_, configured) != configured;
  if (is_first_update || configured_count_changed) present_count_ = std::max(present_count_, configured);
  quorum_until_ = update.quorum_until;
  if (HasQuorum(now)) {
    present_count_ = std::clamp(update.present, 1, configured);
    rank_ = std::clamp(update.rank, 0, present_count_ - 1);
  } else if (configured_count_changed) {
    rank_ = std::max(0, update.rank);
  }
  return is_first_update || previous_active != active() || previous_rank != rank_;
}

}  // namespace meadowyard::decision
