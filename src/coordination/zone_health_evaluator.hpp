// What a fleet's gateways see of the zones, put together, and when that is reason to change what was agreed:
// a fall soon, a rise slowly and in steps, and the more slowly the more often it was in vain. No I/O.
#ifndef MEADOWYARD_COORDINATION_ZONE_HEALTH_EVALUATOR_HPP_
#define MEADOWYARD_COORDINATION_ZONE_HEALTH_EVALUATOR_HPP_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "meadowyard/policy.hpp"

namespace meadowyard::coordination {

class ZoneHealthEvaluator {
 public:
  struct Times {
    Millis max_report_age = 1000;          // what was seen longer ago does not count
    Millis decrease_delay = 300;           // a zone has to look worse for so long
    Millis increase_delay = 2000;          // and better for so long, for each step
    Millis settling_time = 2000;           // after a change attempts tell of the time before
    double overprovisioning_factor = 1.4;  // as in Locality
    Millis hold_down = 5000;               // after a fall; doubles where it fell again after a rise
    Millis max_hold_down = 300000;         // and is at most
  };
  ZoneHealthEvaluator(int gateways, Times times) : gateways_(gateways), times_(times) {}

  void OnLoadReport(Millis now, int gateway, const ZoneLoadReport& sights);
  // What is in force changes: rests begin anew from there.
  void OnAgreement(Millis now, const std::vector<ZoneAgreement::Zone>& before,
                   const std::vector<ZoneAgreement::Zone>& after);
  // What should be agreed in place of `agreed`, or nothing. To be asked again and again by whoever may
  // propose.
  std::optional<std::vector<ZoneAgreement::Zone>> Evaluate(Millis now,
                                                           const std::vector<ZoneAgreement::Zone>& agreed);

 private:
  struct Observation {
    Millis at = 0;
    ZoneLoadReport sights;
  };
  struct Zone {
    double size = 0;  // with all its servers: the most that was seen, slowly forgotten
    Millis sized_at = 0;
    Millis low_since = 0, high_since = 0;  // 0: is not
    Millis held_until = 0, hold_down = 0;
    bool rose = false;  // since its last fall
  };
  struct Now {
    double fit = 0, size = 0, demand = 0;
    double good = 1;  // share of what came to it
  };
  std::map<std::string, Now> Look(Millis now);
  double Target(Millis now, const Now& seen, double level) const;
  double Next(Millis now, Zone& zone, double level, double target) const;

  const int gateways_;
  const Times times_;
  std::map<int, Observation> observations_;  // by gateway
  std::map<std::string, Zone> zones_;
  Millis changed_at_ = 0, shifted_at_ = 0;  // anything that is agreed; some zone's health, and so traffic
};

}  // namespace meadowyard::coordination

#endif  // MEADOWYARD_COORDINATION_ZONE_HEALTH_EVALUATOR_HPP_
