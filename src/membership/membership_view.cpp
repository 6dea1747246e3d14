#include "membership/membership_view.hpp"

#include <algorithm>
#include <functional>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace meadowyard::membership {
namespace {

// Heartbeats whose time of sending is remembered. An acknowledgement of an older one is ignored; at the usual
// interval and timeouts it would be too old to count anyway.
constexpr std::size_t kMaxRememberedHeartbeats = 64;

// The rank of `self` among the members that are present, given by their indices in ascending order.
//
// With n members present, those among the first n of the peers file have their index as rank, and the others
// fill the gaps. So a member that becomes absent changes the rank of one other member at the most.
int RankOf(std::size_t self, const std::vector<std::size_t>& present) {
  const std::size_t ranks = present.size();
  if (self < ranks) return static_cast<int>(self);
  std::vector<bool> taken(ranks, false);
  for (const std::size_t member : present) {
    if (member < ranks) taken[member] = true;
  }
  std::size_t rank = 0;
  for (const std::size_t member : present) {
    if (member < ranks) continue;
    while (taken[rank]) ++rank;
    if (member == self) break;
    ++rank;
  }
  return static_cast<int>(rank);
}

}  // namespace

MembershipView::MembershipView(std::vector<std::string> names, std::size_t self, Timeouts timeouts,
                               std::uint64_t incarnation, Millis now)
    : self_(self), timeouts_(timeouts), incarnation_(incarnation) {
  for (std::string& name : names) {
    list_hash_ = XXH3_64bits_withSeed(name.data(), name.size(), list_hash_ + 1);
    Member member;
    member.name = std::move(name);
    member.received_at = kNever;
    // Present until the dead timeout, but not in contact.
    member.acknowledged_at = now - timeouts_.suspect_timeout;
    members_.push_back(std::move(member));
  }
}

MembershipView::Member* MembershipView::FindSender(const std::string& name) {
  const auto found = std::find_if(members_.begin(), members_.end(),
                                  [&](const Member& member) { return member.name == name; });
  if (found == members_.end() || &*found == &members_[self_]) return nullptr;
  return &*found;
}

bool MembershipView::IsStale(Millis now, const Member& member, const Heartbeat& heartbeat) const {
  if (member.configured == 0) return false;  // the first that is received
  if (heartbeat.incarnation == member.incarnation) return heartbeat.sequence <= member.sequence;
  // Another incarnation is accepted only after the last one has stopped sending: a heartbeat that was delayed
  // must not take the place of a newer one.
  return now - member.received_at < timeouts_.suspect_timeout;
}

bool MembershipView::OnHeartbeat(Millis now, const Heartbeat& heartbeat) {
  Member* const member = FindSender(heartbeat.sender);
  if (member == nullptr || IsStale(now, *member, heartbeat)) {
    ++dropped_;
    return false;
  }
  member->incarnation = heartbeat.incarnation;
  member->sequence = heartbeat.sequence;
  member->list_hash = heartbeat.list_hash;
  member->configured = heartbeat.configured;
  member->received_at = now;
  const bool had_quorum = now < QuorumUntil(now, ConfiguredCount());
  TakeAcknowledgements(*member, heartbeat);
  if (!had_quorum && now < QuorumUntil(now, ConfiguredCount())) quorum_regained_at_ = now;
  return true;
}

void MembershipView::TakeAcknowledgements(Member& member, const Heartbeat& heartbeat) {
  for (const Heartbeat::Acknowledgement& acknowledgement : heartbeat.acknowledgements) {
    if (acknowledgement.member != members_[self_].name) continue;
    if (acknowledgement.incarnation != incarnation_ || acknowledgement.sequence > sequence_) continue;
    const std::uint64_t age = sequence_ - acknowledgement.sequence;
    if (age >= sent_at_.size()) continue;
    member.acknowledged_at = std::max(member.acknowledged_at, sent_at_[sent_at_.size() - 1 - age]);
  }
}

Heartbeat MembershipView::NextHeartbeat(Millis now) {
  Heartbeat heartbeat;
  heartbeat.sender = members_[self_].name;
  heartbeat.incarnation = incarnation_;
  heartbeat.sequence = ++sequence_;
  sent_at_.push_back(now);
  if (sent_at_.size() > kMaxRememberedHeartbeats) sent_at_.pop_front();
  heartbeat.list_hash = list_hash_;
  heartbeat.configured = ConfiguredCount();
  for (std::size_t i = 0; i < members_.size(); ++i) {
    const Member& member = members_[i];
    if (i == self_ || now - member.received_at >= timeouts_.suspect_timeout) continue;
    heartbeat.acknowledgements.push_back(
        {.member = member.name, .incarnation = member.incarnation, .sequence = member.sequence});
  }
  return heartbeat;
}

// A longer peers file that another member has read holds here too, for its gateways may be running. A shorter
// one is out of date.
int MembershipView::ConfiguredCount() const {
  int configured = static_cast<int>(members_.size());
  for (std::size_t i = 0; i < members_.size(); ++i) {
    if (i != self_) configured = std::max(configured, members_[i].configured);
  }
  return configured;
}

Millis MembershipView::QuorumUntil(Millis now, int configured) const {
  const auto others_needed = static_cast<std::size_t>(configured / 2);  // this gateway makes it a majority
  if (others_needed == 0) return now + timeouts_.suspect_timeout;       // it is the only one
  std::vector<Millis> acknowledged;
  for (std::size_t i = 0; i < members_.size(); ++i) {
    if (i != self_) acknowledged.push_back(members_[i].acknowledged_at);
  }
  if (acknowledged.size() < others_needed) return kNever;
  const auto last = acknowledged.begin() + static_cast<std::ptrdiff_t>(others_needed - 1);
  std::nth_element(acknowledged.begin(), last, acknowledged.end(), std::greater<>());
  return *last + timeouts_.suspect_timeout;
}

std::vector<std::size_t> MembershipView::PresentMembers(Millis now) const {
  std::vector<std::size_t> present;
  for (std::size_t i = 0; i < members_.size(); ++i) {
    // Silence while this gateway had no quorum says nothing about the others.
    const Millis contact = std::max(members_[i].acknowledged_at, quorum_regained_at_);
    if (i == self_ || now - contact < timeouts_.dead_timeout) present.push_back(i);
  }
  return present;
}

MembershipView::Snapshot MembershipView::TakeSnapshot(Millis now) const {
  const std::vector<std::size_t> present = PresentMembers(now);
  Snapshot snapshot;
  snapshot.configured = ConfiguredCount();
  // Gateways of a longer peers file, which this one can't name yet, count as present.
  snapshot.present =
      static_cast<int>(present.size()) + snapshot.configured - static_cast<int>(members_.size());
  snapshot.rank = RankOf(self_, present);
  snapshot.quorum_until = QuorumUntil(now, snapshot.configured);
  return snapshot;
}

}  // namespace meadowyard::membership
