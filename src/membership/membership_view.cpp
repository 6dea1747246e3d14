#include "membership/membership_view.hpp"

#include <algorithm>
#include <functional>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace meadowyard::membership {
namespace {

// Number of sent heartbeats whose sending time is kept. Acknowledgements of older heartbeats are ignored;
// with the usual interval and timeouts they are older than the suspect timeout in any case.
constexpr std::size_t kMaxRememberedHeartbeats = 64;

// Returns the rank of `self` among the present members, which are given by their indices in ascending order.
//
// With n members present, the rank of a member among the first n of the peers file is its index, and the
// other members get the remaining ranks in order. Therefore a member that becomes absent changes the rank of
// at most one other member.
int RankOf(std::size_t self, const std::vector<std::size_t>& present) {
  const std::size_t rank_count = present.size();
  if (self < rank_count) return static_cast<int>(self);
  std::vector<bool> rank_taken(rank_count, false);
  for (const std::size_t member : present) {
    if (member < rank_count) rank_taken[member] = true;
  }
  std::size_t rank = 0;
  for (const std::size_t member : present) {
    if (member < rank_count) continue;
    while (rank_taken[rank]) ++rank;
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
    // Counts as present until the dead timeout ends, but not as in contact.
    member.acknowledged_at = now - timeouts_.suspect_timeout;
    members_.push_back(std::move(member));
  }
}

MembershipView::Member* MembershipView::FindSender(const std::string& name) {
  const auto sender_entry = std::find_if(members_.begin(), members_.end(),
                                         [&](const Member& member) { return member.name == name; });
  if (sender_entry == members_.end() || &*sender_entry == &members_[self_]) return nullptr;
  return &*sender_entry;
}

bool MembershipView::IsStale(Millis now, const Member& member, const Heartbeat& heartbeat) const {
  if (member.configured == 0) return false;  // the first heartbeat from this member
  if (heartbeat.incarnation == member.incarnation) return heartbeat.sequence <= member.sequence;
  // Another incarnation is accepted only after the last one has stopped sending: a delayed heartbeat of an
  // earlier incarnation must not replace a newer one.
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
  ApplyAcknowledgements(*member, heartbeat);
  if (!had_quorum && now < QuorumUntil(now, ConfiguredCount())) quorum_regained_at_ = now;
  return true;
}

void MembershipView::ApplyAcknowledgements(Member& member, const Heartbeat& heartbeat) {
  for (const Heartbeat::Acknowledgement& acknowledgement : heartbeat.acknowledgements) {
    if (acknowledgement.member != members_[self_].name) continue;
    if (acknowledgement.incarnation != incarnation_ || acknowledgement.sequence > sequence_) continue;
    const std::uint64_t heartbeats_since = sequence_ - acknowledgement.sequence;
    if (heartbeats_since >= sent_at_.size()) continue;
    member.acknowledged_at =
        std::max(member.acknowledged_at, sent_at_[sent_at_.size() - 1 - heartbeats_since]);
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

// A longer peers file of another member counts here too, because its additional gateways may be running. A
// shorter one is out of date.
int MembershipView::ConfiguredCount() const {
  int configured = static_cast<int>(members_.size());
  for (std::size_t i = 0; i < members_.size(); ++i) {
    if (i != self_) configured = std::max(configured, members_[i].configured);
  }
  return configured;
}

Millis MembershipView::QuorumUntil(Millis now, int configured) const {
  const auto others_needed = static_cast<std::size_t>(configured / 2);  // a majority with this gateway
  if (others_needed == 0) return now + timeouts_.suspect_timeout;       // it is the only gateway
  std::vector<Millis> acknowledged_times;
  for (std::size_t i = 0; i < members_.size(); ++i) {
    if (i != self_) acknowledged_times.push_back(members_[i].acknowledged_at);
  }
  if (acknowledged_times.size() < others_needed) return kNever;
  const auto last_needed = acknowledged_times.begin() + static_cast<std::ptrdiff_t>(others_needed - 1);
  std::nth_element(acknowledged_times.begin(), last_needed, acknowledged_times.end(), std::greater<>());
  return *last_needed + timeouts_.suspect_timeout;
}

std::vector<std::size_t> MembershipView::PresentMembers(Millis now) const {
  std::vector<std::size_t> present;
  for (std::size_t i = 0; i < members_.size(); ++i) {
    // Time without a quorum doesn't count against the others: the missing acknowledgements may be due to this
    // gateway's own links.
    const Millis last_contact_at = std::max(members_[i].acknowledged_at, quorum_regained_at_);
    if (i == self_ || now - last_contact_at < timeouts_.dead_timeout) present.push_back(i);
  }
  return present;
}

MembershipView::Snapshot MembershipView::TakeSnapshot(Millis now) const {
  const std::vector<std::size_t> present = PresentMembers(now);
  Snapshot snapshot;
  snapshot.configured = ConfiguredCount();
  // The additional gateways of a longer peers file, whose names this gateway doesn't know, count as present.
  snapshot.present =
      static_cast<int>(present.size()) + snapshot.configured - static_cast<int>(members_.size());
  snapshot.rank = RankOf(self_, present);
  snapshot.quorum_until = QuorumUntil(now, snapshot.configured);
  return snapshot;
}

}  // namespace meadowyard::membership
