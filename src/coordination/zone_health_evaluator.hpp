/// @file
/// Aggregates the zone load reports of all gateways and decides when they justify a change of the agreed zone
/// state. Health is decreased quickly and increased slowly, in steps. Each time it has to be decreased again
/// after an increase, the hold-down time before the next increase doubles. No I/O.
#ifndef MEADOWYARD_COORDINATION_ZONE_HEALTH_EVALUATOR_HPP_
#define MEADOWYARD_COORDINATION_ZONE_HEALTH_EVALUATOR_HPP_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "meadowyard/policy.hpp"

namespace meadowyard::coordination {

/// Proposes health, capacity and demand of each zone. Used by the lease holder of the zone state.
class ZoneHealthEvaluator {
 public:
  struct Times {
    Millis max_report_age = 1000;  ///< Older load reports are ignored.
    Millis decrease_delay = 300;   ///< A zone has to look worse for this long before a decrease.
    Millis increase_delay = 2000;  ///< It has to look better for this long before each step of an increase.
    Millis settling_time = 2000;   ///< After a change of health, attempts still reflect the state before it.
    double overprovisioning_factor = 1.4;  ///< See ZoneRoutingSettings::overprovisioning.
    Millis hold_down = 5000;  ///< No increase for this long after a decrease; doubles if an increase failed.
    Millis max_hold_down = 300000;  ///< Upper bound of the doubled hold-down time.
  };
  /// `gateways` is the number of all configured gateways.
  ZoneHealthEvaluator(int gateways, Times times) : gateways_(gateways), times_(times) {}

  /// Stores the latest report of a gateway, which is given by its index.
  void OnLoadReport(Millis now, int gateway, const ZoneLoadReport& report);
  /// To be called when the agreed state changes. Restarts the delays of each zone whose health changed, and
  /// the hold-down time of each whose health decreased.
  void OnAgreement(Millis now, const std::vector<ZoneAgreement::Zone>& before,
                   const std::vector<ZoneAgreement::Zone>& after);
  /// The zones to propose in place of `agreed`; nullopt if no change is due, or if no more than half of the
  /// gateways have reported recently. To be called periodically by the lease holder.
  std::optional<std::vector<ZoneAgreement::Zone>> Evaluate(Millis now,
                                                           const std::vector<ZoneAgreement::Zone>& agreed);

 private:
  struct ReceivedReport {
    Millis received_at = 0;
    ZoneLoadReport report;
  };
  // State kept for each zone.
  struct ZoneHistory {
    double full_capacity = 0;  // weight of all its endpoints: maximum reported, with exponential decay
    Millis capacity_updated_at = 0;
    Millis decrease_wanted_since = 0, increase_wanted_since = 0;  // 0: not wanted
    Millis hold_down_until = 0, hold_down = 0;
    bool increased_since_decrease = false;  // whether health was increased since its last decrease
  };
  // The recent reports on one zone, combined.
  struct Aggregate {
    // Share of the full capacity that is available; weight of all endpoints; requests per second.
    double healthy = 0, full_capacity = 0, demand = 0;
    double timely = 1;  // share of its attempts that met their latency objective
  };
  // By zone; includes zones that are no longer reported.
  std::map<std::string, Aggregate> AggregateReports(Millis now);
  // The health that the observations justify where `level` is agreed.
  double TargetLevel(Millis now, const Aggregate& observed, double level) const;
  // The health to propose now: `level`, or a step towards `target` once the delays have passed.
  double NextLevel(Millis now, ZoneHistory& zone, double level, double target) const;

  const int gateways_;
  const Times times_;
  std::map<int, ReceivedReport> reports_;  // by gateway
  std::map<std::string, ZoneHistory> histories_;
  // Last change of the agreement; last change of any zone's health, which redistributes traffic.
  Millis agreed_at_ = 0, health_changed_at_ = 0;
};

}  // namespace meadowyard::coordination

#endif  // MEADOWYARD_COORDINATION_ZONE_HEALTH_EVALUATOR_HPP_
