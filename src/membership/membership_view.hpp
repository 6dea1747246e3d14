/// @file
/// Which of the configured gateways are present, as one of them sees it: a state machine without I/O.
///
/// A member is in contact while it has acknowledged a heartbeat that this gateway sent within the last
/// suspect timeout. So contact is a round trip, counted from when the gateway's own heartbeat was sent: what
/// a suspended process finds unread when it resumes does not count as recent, and a link that works in one
/// direction only does not count at all. Times are milliseconds on this gateway's own clock.
#ifndef MEADOWYARD_MEMBERSHIP_MEMBERSHIP_VIEW_HPP_
#define MEADOWYARD_MEMBERSHIP_MEMBERSHIP_VIEW_HPP_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "membership/heartbeat.hpp"

namespace meadowyard::membership {

/// An instant before all others: what has never happened happened then.
constexpr Millis kNever = -1e15;

class MembershipView {
 public:
  struct Timeouts {
    Millis suspect_timeout = 1000;  ///< A member without an acknowledgement for so long is out of contact.
    Millis dead_timeout = 3000;     ///< For so long: it is absent, and its rank goes to others.
  };

  /// What this gateway concludes at one instant.
  struct Snapshot {
    int configured = 1;       ///< Gateways in the longest peers file that any member knows of.
    int present = 1;          ///< Of these: present, this one included.
    int rank = 0;             ///< Of this one among those present, from 0.
    Millis quorum_until = 0;  ///< Until then it is in contact with a majority of those configured.
  };

  /// What is known of one member.
  struct Member {
    std::string name;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;   ///< Of the last heartbeat that was received.
    std::uint64_t list_hash = 0;  ///< Heartbeat::list_hash of that heartbeat.
    int configured = 0;           ///< Heartbeat::configured of it; 0: nothing was ever received.
    Millis received_at = 0;       ///< When it was received.
    Millis acknowledged_at = 0;   ///< When this gateway sent the last heartbeat that the member acknowledged.
  };

  /// @param names         the members in the order of the peers file
  /// @param self          index of this gateway among them
  /// @param incarnation   drawn anew at each start of the process
  /// All members count as present at first, so that a gateway that starts takes no more than its share.
  MembershipView(std::vector<std::string> names, std::size_t self, Timeouts timeouts,
                 std::uint64_t incarnation, Millis now);

  /// Takes a heartbeat in. False if it is dropped: its sender is unknown, or it is older than what was
  /// received before.
  bool OnHeartbeat(Millis now, const Heartbeat& heartbeat);
  /// The next heartbeat to all others, without its gossip.
  Heartbeat NextHeartbeat(Millis now);

  [[nodiscard]] Snapshot TakeSnapshot(Millis now) const;

  /// In the order of the peers file; this gateway's own entry says nothing.
  const std::vector<Member>& members() const { return members_; }
  std::uint64_t list_hash() const { return list_hash_; }
  std::uint64_t dropped() const { return dropped_; }  ///< Heartbeats that OnHeartbeat has dropped.

 private:
  Member* FindSender(const std::string& name);
  bool IsStale(Millis now, const Member& member, const Heartbeat& heartbeat) const;
  void TakeAcknowledgements(Member& member, const Heartbeat& heartbeat);
  int ConfiguredCount() const;
  Millis QuorumUntil(Millis now, int configured) const;
  std::vector<std::size_t> PresentMembers(Millis now) const;

  const std::size_t self_;
  const Timeouts timeouts_;
  const std::uint64_t incarnation_;
  std::uint64_t list_hash_ = 0;
  std::uint64_t sequence_ = 0;
  std::uint64_t dropped_ = 0;
  Millis quorum_regained_at_ = kNever;
  std::deque<Millis> sent_at_;  ///< Of the last heartbeats sent, up to `sequence_`.
  std::vector<Member> members_;
};

}  // namespace meadowyard::membership

#endif  // MEADOWYARD_MEMBERSHIP_MEMBERSHIP_VIEW_HPP_
