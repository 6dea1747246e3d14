/// @file
/// One gateway's view of which configured gateways are present: a state machine without I/O.
///
/// A member is in contact while it has acknowledged a heartbeat that this gateway sent within the last
/// suspect timeout. Contact therefore requires a round trip, and its age is counted from the sending of this
/// gateway's own heartbeat: datagrams that a suspended process finds unread when it resumes don't count as
/// recent, and a link that works in one direction only doesn't count at all. Times are milliseconds on this
/// gateway's own clock.
#ifndef MEADOWYARD_MEMBERSHIP_MEMBERSHIP_VIEW_HPP_
#define MEADOWYARD_MEMBERSHIP_MEMBERSHIP_VIEW_HPP_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "membership/heartbeat.hpp"

namespace meadowyard::membership {

/// An instant before any other; stands for an event that has not happened.
constexpr Millis kNever = -1e15;

class MembershipView {
 public:
  struct Timeouts {
    Millis suspect_timeout = 1000;  ///< Without an acknowledgement for this time a member is out of contact.
    Millis dead_timeout = 3000;     ///< After this time it is absent, and its rank goes to another member.
  };

  /// This gateway's view at one instant.
  struct Snapshot {
    int configured = 1;       ///< Number of gateways in the longest peers file that any member knows of.
    int present = 1;          ///< Number of these that are present, including this one.
    int rank = 0;             ///< Rank of this gateway among the present ones, from 0.
    Millis quorum_until = 0;  ///< Until then it is in contact with a majority of the configured gateways.
  };

  /// What this gateway knows about one member.
  struct Member {
    std::string name;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;   ///< Sequence number of the last heartbeat that was accepted.
    std::uint64_t list_hash = 0;  ///< Heartbeat::list_hash of that heartbeat.
    int configured = 0;           ///< Heartbeat::configured of that heartbeat; 0: none was accepted yet.
    Millis received_at = 0;       ///< When that heartbeat was received.
    Millis acknowledged_at = 0;   ///< When this gateway sent the last heartbeat that the member acknowledged.
  };

  /// @param names         the members in the order of the peers file
  /// @param self          index of this gateway among them
  /// @param incarnation   random number, drawn at each start of the process
  /// All members count as present at first, so that a starting gateway doesn't use more than its share.
  MembershipView(std::vector<std::string> names, std::size_t self, Timeouts timeouts,
                 std::uint64_t incarnation, Millis now);

  /// Handles a received heartbeat. Returns false if it is dropped because its sender is unknown or it is
  /// older than the last accepted one.
  bool OnHeartbeat(Millis now, const Heartbeat& heartbeat);
  /// Creates the next heartbeat to all other members, without gossip and zone load.
  Heartbeat NextHeartbeat(Millis now);

  [[nodiscard]] Snapshot TakeSnapshot(Millis now) const;

  /// In the order of the peers file. The entry of this gateway itself is not updated.
  const std::vector<Member>& members() const { return members_; }
  std::uint64_t list_hash() const { return list_hash_; }
  std::uint64_t dropped() const { return dropped_; }  ///< Heartbeats that OnHeartbeat has dropped.

 private:
  Member* FindSender(const std::string& name);
  bool IsStale(Millis now, const Member& member, const Heartbeat& heartbeat) const;
  void ApplyAcknowledgements(Member& member, const Heartbeat& heartbeat);
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
  std::deque<Millis>
      sent_at_;  ///< Sending times of the last heartbeats; the last one is that of `sequence_`.
  std::vector<Member> members_;
};

}  // namespace meadowyard::membership

#endif  // MEADOWYARD_MEMBERSHIP_MEMBERSHIP_VIEW_HPP_
