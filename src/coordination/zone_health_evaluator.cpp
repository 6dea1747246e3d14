#include "coordination/zone_health_evaluator.hpp"

#include <algorithm>
#include <cmath>

#include "coordination/message_codec.hpp"

namespace meadowyard::coordination {
namespace {

constexpr double kLevelStep = 0.1;          // health levels are integer multiples of this
constexpr double kMinDecrease = 0.2;        // smaller decreases are ignored, except a decrease to 0
constexpr double kMaxIncrease = 0.3;        // per increase
constexpr double kMinTimelyShare = 0.9;     // below this share of timely attempts a zone counts as overloaded
constexpr double kFailedBelowHealth = 0.3;  // a zone with a smaller share of its capacity counts as failed
constexpr double kMinAttempts = 3;          // the timely share of fewer completed attempts is not significant
constexpr Millis kCapacityDecayTime = 600000;      // time constant with which removed endpoints stop counting
constexpr double kMinRelativeDemandChange = 0.3;   // a smaller change of demand alone is not proposed
constexpr Millis kMinDemandUpdateInterval = 5000;  // between proposals that change demand alone
constexpr Millis kDemandRetention = 60000;  // a gateway's demand counts for this long after its last report
constexpr double kMinDemandChange = 1;      // requests per second, in addition to the relative change

// Clamps a health value to 0..1 and rounds it to a multiple of kLevelStep.
double RoundToStep(double health) {
  return std::round(std::clamp(health, 0.0, 1.0) / kLevelStep) * kLevelStep;
}

}  // namespace

void ZoneHealthEvaluator::OnLoadReport(Millis now, int gateway, const ZoneLoadReport& report) {
  reports_[gateway] = {now, report};
}

std::map<std::string, ZoneHealthEvaluator::Aggregate> ZoneHealthEvaluator::AggregateReports(Millis now) {
  struct Sum {
    double healthy = 0, attempts = 0, timely = 0;
    int reporters = 0;
  };
  std::map<std::string, Sum> local, remote;  // as reported by the gateways in the zone, and by all others
  std::map<std::string, Aggregate> aggregates;
  for (const auto& [gateway, observed] : reports_) {
    // A gateway that is temporarily out of contact still has its clients, whose demand will be reported again
    // when contact is restored.
    if (now - observed.received_at < kDemandRetention)
      aggregates[observed.report.zone].demand += observed.report.arrival_rate;
    if (now - observed.received_at >= times_.max_report_age) continue;
    for (const ZoneLoad& entry : observed.report.zones) {
      Aggregate& zone = aggregates[entry.zone];
      zone.full_capacity = std::max(zone.full_capacity, entry.capacity);
      const bool own = entry.zone == observed.report.zone;
      if (!own && entry.completed < kMinAttempts) continue;
      Sum& sum = (own ? local : remote)[entry.zone];
      sum.healthy += entry.available, sum.attempts += entry.completed, sum.timely += entry.within_objective,
          ++sum.reporters;
    }
  }
  for (const auto& [name, history] : histories_) aggregates[name];  // also zones that are no longer reported
  for (auto& [name, zone] : aggregates) {
    ZoneHistory& history = histories_[name];
    history.full_capacity =
        std::max(zone.full_capacity,
                 history.full_capacity * std::exp((history.capacity_updated_at - now) / kCapacityDecayTime));
    history.capacity_updated_at = now;
    const Sum sum = local.contains(name) ? local[name] : remote[name];
    if (zone.full_capacity <= 0) {
      zone.healthy = 0;  // all of its endpoints were removed from the endpoint list
    } else if (sum.reporters == 0) {
      zone.healthy = 1;  // no report of a failure: the gateways that send requests there would report one
    } else {
      zone.healthy = sum.healthy / sum.reporters / history.full_capacity;
      if (sum.attempts >= kMinAttempts) zone.timely = sum.timely / sum.attempts;
    }
    zone.full_capacity = history.full_capacity;
  }
  return aggregates;
}

// Attempts that are not timely exceed what the zone can serve. A zone at `level` receives `level` times the
// overprovisioning factor of its traffic, at most all of it. The timely share of that, divided by the factor,
// is the health that it can sustain. This can be far below the share of its available endpoints: slow
// endpoints still count as available.
double ZoneHealthEvaluator::TargetLevel(Millis now, const Aggregate& observed, double level) const {
  const double healthy = observed.healthy < kFailedBelowHealth ? 0 : observed.healthy;
  if (observed.timely >= kMinTimelyShare || now - health_changed_at_ < times_.settling_time)
    return RoundToStep(healthy);
  return RoundToStep(std::min(healthy, std::min(1.0, times_.overprovisioning_factor * level) *
                                           observed.timely / times_.overprovisioning_factor));
}

double ZoneHealthEvaluator::NextLevel(Millis now, ZoneHistory& zone, double level, double target) const {
  const bool decrease_wanted =
      target < level && (target <= level - kMinDecrease + kLevelStep / 2 || target <= 0);
  const bool increase_wanted = target > level;
  if (!decrease_wanted) zone.decrease_wanted_since = 0;
  if (!increase_wanted) zone.increase_wanted_since = 0;
  if (decrease_wanted && zone.decrease_wanted_since == 0) zone.decrease_wanted_since = now;
  if (increase_wanted && zone.increase_wanted_since == 0) zone.increase_wanted_since = now;
  if (decrease_wanted && now - zone.decrease_wanted_since >= times_.decrease_delay) return target;
  // Whether the attempts already reflect the last change of health.
  const bool settled = now - health_changed_at_ >= times_.settling_time;
  if (increase_wanted && settled && now - zone.increase_wanted_since >= times_.increase_delay &&
      now >= zone.hold_down_until)
    return std::min(target, RoundToStep(level + kMaxIncrease));
  return level;
}

std::optional<std::vector<ZoneAgreement::Zone>> ZoneHealthEvaluator::Evaluate(
    Millis now, const std::vector<ZoneAgreement::Zone>& agreed) {
  const auto recent_reports = std::count_if(reports_.begin(), reports_.end(), [&](const auto& stored) {
    return now - stored.second.received_at < times_.max_report_age;
  });
  if (2 * recent_reports <= gateways_) return std::nullopt;
  auto aggregates = AggregateReports(now);
  bool changed = false, demand_changed = false;
  std::vector<ZoneAgreement::Zone> proposal = agreed;
  for (ZoneAgreement::Zone& entry : proposal) {
    const Aggregate& observed = aggregates[entry.name];
    ZoneHistory& zone = histories_[entry.name];
    const double level = NextLevel(now, zone, entry.health, TargetLevel(now, observed, entry.health));
    changed = changed || level != entry.health;
    entry.health = level, entry.capacity = observed.full_capacity;
    demand_changed =
        demand_changed ||
        std::abs(observed.demand - entry.demand) >
            kMinRelativeDemandChange * std::max(observed.demand, entry.demand) + kMinDemandChange;
    entry.demand = observed.demand;
    aggregates.erase(entry.name);
  }
  for (const auto& [name, observed] : aggregates) {
    if (proposal.size() >= kMaxZones) break;
    changed = true;
    proposal.push_back({name, TargetLevel(now, observed, 1), observed.full_capacity, observed.demand});
  }
  if (!changed && (!demand_changed || now - agreed_at_ < kMinDemandUpdateInterval)) return std::nullopt;
  return proposal;
}

void ZoneHealthEvaluator::OnAgreement(Millis now, const std::vector<ZoneAgreement::Zone>& before,
                                      const std::vector<ZoneAgreement::Zone>& after) {
  agreed_at_ = now;
  for (const ZoneAgreement::Zone& entry : after) {
    const auto previous = std::find_if(before.begin(), before.end(),
                                       [&](const auto& candidate) { return candidate.name == entry.name; });
    if (previous == before.end() || previous->health == entry.health) continue;
    ZoneHistory& zone = histories_[entry.name];
    zone.decrease_wanted_since = zone.increase_wanted_since = 0;
    health_changed_at_ = now;
    if (entry.health > previous->health) {
      zone.increased_since_decrease = true;
      continue;
    }
    // A decrease after an increase: the increase failed, so the next one waits twice as long.
    zone.hold_down = zone.increased_since_decrease
                         ? std::min(std::max(2 * zone.hold_down, times_.hold_down), times_.max_hold_down)
                         : std::max(zone.hold_down, times_.hold_down);
    zone.increased_since_decrease = false;
    zone.hold_down_until = now + zone.hold_down;
  }
}

}  // namespace meadowyard::coordination
