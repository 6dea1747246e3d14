/// @file
/// Agreement of all gateways on the zone state. The lease holder proposes a change when the load reports of
/// all gateways justify one. A proposal is committed, and only then applied, when more than half of all
/// gateways have voted for it. A gateway without contact to a majority keeps the last agreement. No I/O;
/// times as in Lease.
#ifndef MEADOWYARD_COORDINATION_ZONE_STATE_COORDINATOR_HPP_
#define MEADOWYARD_COORDINATION_ZONE_STATE_COORDINATOR_HPP_

#include <cstdint>
#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <vector>

#include "coordination/lease.hpp"
#include "coordination/message_codec.hpp"
#include "coordination/zone_health_evaluator.hpp"

namespace meadowyard::coordination {

/// One gateway's part in the agreement: proposer while it holds the lease, voter otherwise.
class ZoneStateCoordinator {
 public:
  struct Handlers {
    std::function<void(int to, const CoordinationMessage&)> send;
    std::function<void(const ZoneAgreement&)> agreed;  ///< The agreement that applies from now on.
  };
  struct Times {
    Lease::Times lease;
    ZoneHealthEvaluator::Times evaluator;
    Millis proposal_retry_interval = 400;  ///< Until a proposal without a majority is sent again.
  };
  /// `self` and `initial_round` as in Lease.
  ZoneStateCoordinator(int self, int gateways, Times times, Millis now, FencingToken initial_round,
                       Handlers handlers);

  /// To be called periodically, with this gateway's own load report; `jitter` as in Lease.
  void Tick(Millis now, double jitter, const ZoneLoadReport& own);
  /// A load report of another gateway, which is given by its index.
  void OnLoadReport(Millis now, int gateway, const ZoneLoadReport& report) {
    evaluator_.OnLoadReport(now, gateway, report);
  }
  /// Handles a message of the gateway `from`.
  void OnMessage(Millis now, int from, const CoordinationMessage& received);
  /// Gives up the lease for good, for an orderly exit.
  void Stop();
  const ZoneAgreement& agreed() const { return agreed_; }
  /// For operators (`GET /status/peers`).
  nlohmann::json Status(Millis now) const;

 private:
  void OnMessage(Millis now, int from, const Lease::Message& received);
  void OnMessage(Millis now, int from, const ZoneStateAnnouncement& received);
  void OnMessage(Millis now, int from, const ZoneStateVote& vote);
  void OnMessage(Millis, int, const EndpointListPart&) {}  // belongs to the endpoint list role: ignored
  void OnMessage(Millis, int, const EndpointListRequest&) {}
  void SendEnvelopes(const std::vector<Lease::Envelope>& envelopes);
  void Broadcast(const CoordinationMessage& outgoing);
  void Propose(Millis now, std::vector<ZoneAgreement::Zone> zones);
  void CountVote(Millis now, int from);
  void Adopt(Millis now, const ZoneAgreement& state);

  const int self_, gateways_;
  const Times times_;
  const Handlers handlers_;
  Lease lease_;
  ZoneHealthEvaluator evaluator_;
  ZoneAgreement agreed_;
  std::optional<ZoneAgreement> proposal_;
  std::set<int> voters_;
  Millis proposed_at_ = 0;
  FencingToken highest_token_ = 0;  // highest token in use, own or received
  Millis recovery_until_;           // no votes until then: a restart loses the highest token in use
  std::uint64_t proposals_sent_ = 0, agreements_adopted_ = 0, messages_rejected_ = 0;
};

}  // namespace meadowyard::coordination

#endif  // MEADOWYARD_COORDINATION_ZONE_STATE_COORDINATOR_HPP_
