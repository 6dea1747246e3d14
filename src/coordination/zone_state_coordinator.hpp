// Agreeing on how the zones stand: one gateway has the duty by a lease, proposes a change when what all see
// is reason for one, and nobody goes by it before more than half of all gateways have taken it down. Who
// can't reach those keeps to the last that was agreed. No I/O; times as in Lease.
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

class ZoneStateCoordinator {
 public:
  struct Handlers {
    std::function<void(int to, const CoordinationMessage&)> send;
    std::function<void(const ZoneAgreement&)> agreed;  // to go by from now on
  };
  struct Times {
    Lease::Times lease;
    ZoneHealthEvaluator::Times evaluator;
    Millis proposal_retry_interval = 400;  // from an offer without enough votes to the next
  };
  ZoneStateCoordinator(int self, int gateways, Times times, Millis now, FencingToken least,
                       Handlers handlers);

  // To be called again and again, with what this gateway sees itself; `chance` as in Lease.
  void Tick(Millis now, double chance, const ZoneLoadReport& own);
  void OnLoadReport(Millis now, int gateway, const ZoneLoadReport& sights) {
    evaluator_.OnLoadReport(now, gateway, sights);
  }
  void OnMessage(Millis now, int from, const CoordinationMessage& word);
  void Stop();
  const ZoneAgreement& agreed() const { return agreed_; }
  nlohmann::json Status(Millis now) const;

 private:
  void OnMessage(Millis now, int from, const Lease::Message& word);
  void OnMessage(Millis now, int from, const ZoneStateAnnouncement& word);
  void OnMessage(Millis now, int from, const ZoneStateVote& vote);
  void OnMessage(Millis, int, const EndpointListPart&) {}  // another duty's
  void OnMessage(Millis, int, const EndpointListRequest&) {}
  void Post(const std::vector<Lease::Envelope>& letters);
  void ToOthers(const CoordinationMessage& word);
  void Offer(Millis now, std::vector<ZoneAgreement::Zone> zones);
  void Count(Millis now, int from);
  void Adopt(Millis now, const ZoneAgreement& state);

  const int self_, gateways_;
  const Times times_;
  const Handlers handlers_;
  Lease lease_;
  ZoneHealthEvaluator evaluator_;
  ZoneAgreement agreed_;
  std::optional<ZoneAgreement> offer_;
  std::set<int> votes_;
  Millis offered_at_ = 0;
  FencingToken acted_ = 0;  // the highest that an action came with
  Millis votes_from_;       // one that starts has forgotten whom it followed
  std::uint64_t offered_ = 0, changes_ = 0, turned_down_ = 0;
};

}  // namespace meadowyard::coordination

#endif  // MEADOWYARD_COORDINATION_ZONE_STATE_COORDINATOR_HPP_
