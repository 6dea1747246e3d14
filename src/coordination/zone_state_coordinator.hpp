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

namespace meadowyard {

class ZoneDuty {
 public:
  struct Handlers {
    std::function<void(int to, const DutyWord&)> send;
    std::function<void(const ZoneAgreement&)> agreed;  // to go by from now on
  };
  struct Times {
    Lease::Times lease;
    ZoneJudge::Times judge;
    Millis again = 400;  // from an offer without enough votes to the next
  };
  ZoneDuty(int self, int gateways, Times times, Millis now, Token least, Handlers handlers);

  // To be called again and again, with what this gateway sees itself; `chance` as in Lease.
  void Beat(Millis now, double chance, const ZoneLoadReport& own);
  void See(Millis now, int gateway, const ZoneLoadReport& sights) { judge_.See(now, gateway, sights); }
  void Hear(Millis now, int from, const DutyWord& word);
  void Stopping();
  const ZoneAgreement& agreed() const { return agreed_; }
  nlohmann::json Status(Millis now) const;

 private:
  void Hear(Millis now, int from, const Lease::Word& word);
  void Hear(Millis now, int from, const ZonesWord& word);
  void Hear(Millis now, int from, const ZonesVote& vote);
  void Hear(Millis, int, const ListPart&) {}  // another duty's
  void Hear(Millis, int, const ListWanted&) {}
  void Post(const std::vector<Lease::Letter>& letters);
  void ToOthers(const DutyWord& word);
  void Offer(Millis now, std::vector<ZoneAgreement::Zone> zones);
  void Count(Millis now, int from);
  void Adopt(Millis now, const ZoneAgreement& state);

  const int self_, gateways_;
  const Times times_;
  const Handlers handlers_;
  Lease lease_;
  ZoneJudge judge_;
  ZoneAgreement agreed_;
  std::optional<ZoneAgreement> offer_;
  std::set<int> votes_;
  Millis offered_at_ = 0;
  Token acted_ = 0;    // the highest that an action came with
  Millis votes_from_;  // one that starts has forgotten whom it followed
  std::uint64_t offered_ = 0, changes_ = 0, turned_down_ = 0;
};

}  // namespace meadowyard

#endif  // MEADOWYARD_COORDINATION_ZONE_STATE_COORDINATOR_HPP_
