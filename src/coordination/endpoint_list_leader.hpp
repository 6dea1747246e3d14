/// @file
/// Replication of the endpoint list. The lease holder, called the leader, watches service discovery and
/// forwards its lists to the other gateways. These watch discovery themselves only while no leader keeps
/// their list up to date. No I/O; times as in Lease.
#ifndef MEADOWYARD_COORDINATION_ENDPOINT_LIST_LEADER_HPP_
#define MEADOWYARD_COORDINATION_ENDPOINT_LIST_LEADER_HPP_

#include <cstdint>
#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <vector>

#include "coordination/lease.hpp"
#include "coordination/message_codec.hpp"

namespace meadowyard::coordination {

/// One gateway's part in the replication: leader while it holds the lease, follower otherwise.
class EndpointListLeader {
 public:
  struct Handlers {
    std::function<void(int to, const CoordinationMessage&)> send;
    std::function<discovery::EndpointList()> current_list;       ///< The complete list of this gateway.
    std::function<void(discovery::EndpointList)> list_received;  ///< Called with a list from the leader.
    std::function<void(bool enabled)> watch_discovery;  ///< Starts or stops this gateway's own watch.
  };
  struct Times {
    Lease::Times lease;
    /// A follower whose revision no leader confirms for this long watches discovery itself.
    Millis leader_timeout = 2000;
    /// A gateway whose discovery failed or was replaced does not request the lease for this long.
    Millis lease_backoff = 5000;
  };
  /// `self` and `initial_round` as in Lease. `revision` is that of this gateway's list, if it has one.
  EndpointListLeader(int self, int gateways, Times times, Millis now, FencingToken initial_round,
                     std::optional<std::int64_t> revision, Handlers handlers);

  /// To be called periodically; `jitter` as in Lease.
  void Tick(Millis now, double jitter);
  /// Handles a message of the gateway `from`.
  void OnMessage(Millis now, int from, const CoordinationMessage& received);
  /// This gateway's own discovery delivered `list`, which the caller has already applied.
  void OnDiscoveryUpdate(Millis now, const discovery::EndpointList& list);
  /// Gives up the lease for `lease_backoff`.
  void OnDiscoveryFailed(Millis now);
  /// Gives up the lease for good, for an orderly exit.
  void Stop(Millis now);
  /// The address of service discovery has changed: its revisions can't be compared with the previous ones.
  void OnDiscoveryReplaced(Millis now);
  /// Whether this gateway has to watch discovery itself.
  bool watches_discovery() const { return watching_discovery_; }
  /// For operators (`GET /status/peers`).
  nlohmann::json Status(Millis now) const;

 private:
  void OnMessage(Millis now, int from, const Lease::Message& received);
  void OnMessage(Millis now, int from, const EndpointListPart& part);
  void OnMessage(Millis now, int from, const EndpointListRequest& request);
  void OnMessage(Millis, int, const ZoneStateAnnouncement&) {}  // belongs to the zone state role: ignored
  void OnMessage(Millis, int, const ZoneStateVote&) {}
  void SendEnvelopes(const std::vector<Lease::Envelope>& envelopes);
  void SendList(int to, const discovery::EndpointList& list, std::int64_t base_revision);
  void UpdateDiscoveryWatch(Millis now);

  const int self_, gateways_;
  const Times times_;
  const Handlers handlers_;
  Lease lease_;
  std::optional<std::int64_t> revision_;  // of this gateway's list
  FencingToken highest_token_ = 0;        // highest token received from a leader
  int leader_ = -1;                       // sender of the last message with that token
  Millis confirmed_at_;                   // when a leader last announced this gateway's revision
  // Parts are ignored until then: a restart loses the highest token, and a former leader may still send.
  Millis recovery_until_;
  bool watching_discovery_ = true;
  std::vector<EndpointListPart> received_parts_;  // of one list, until it is complete
  std::uint64_t parts_sent_ = 0, lists_received_ = 0, messages_rejected_ = 0;
};

}  // namespace meadowyard::coordination

#endif  // MEADOWYARD_COORDINATION_ENDPOINT_LIST_LEADER_HPP_
