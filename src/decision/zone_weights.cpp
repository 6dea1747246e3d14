#include "decision/zone_weights.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace meadowyard::decision {
namespace {

// Requests per second. Added to the demand of each zone, because shares of a total demand of 0 are undefined.
constexpr double kBaseZoneDemand = 0.01;

// Demand and capacity of one zone, in requests per second. `region`: zones with the same number are near each
// other.
struct ZoneBalance {
  const std::string* zone = nullptr;
  double overflow = 0;                 // demand that the zone can't serve itself
  double capacity = 0;                 // spare capacity for other zones; below 0: its own demand exceeds it
  double extra_capacity_per_step = 0;  // for overflow of others, added in each of the two steps
  int region = 0;
};

// Sums over all zones: demand in requests per second, capacity in weights of endpoints.
struct Totals {
  double demand = 0;
  double capacity = 0;
  double available = 0;
};

// Total overflow and spare capacity of the zones that exchange overflow in one step.
struct CapacityPool {
  double overflow = 0;
  double capacity = 0;
};

double ZoneDemand(const ZoneAgreement::Zone& zone) { return zone.demand + kBaseZoneDemand; }

Totals SumZones(const ZoneAgreement& agreement) {
  Totals totals;
  for (const ZoneAgreement::Zone& zone : agreement.zones) {
    totals.demand += ZoneDemand(zone);
    totals.capacity += zone.capacity;
    totals.available += zone.capacity * zone.health;
  }
  return totals;
}

bool ContainsZone(const ZoneAgreement& agreement, const std::string& name) {
  return std::any_of(agreement.zones.begin(), agreement.zones.end(),
                     [&](const ZoneAgreement::Zone& zone) { return zone.name == name; });
}

// Distributes the overflow of all zones over the spare capacity of the others, in two steps, and records the
// part that concerns the own zone.
class OverflowDistributor {
 public:
  OverflowDistributor(const ZoneRoutingSettings& settings, const ZoneAgreement& agreement,
                      const std::string& own_zone)
      : settings_(settings), totals_(SumZones(agreement)) {
    for (const ZoneAgreement::Zone& zone : agreement.zones) AddZone(zone, zone.name == own_zone);
  }

  // Performs one step: assigns overflow to zones of the same region, or to any zone.
  void Distribute(bool within_region) {
    const auto pool_of = [&](int region) { return within_region ? region : 0; };
    std::map<int, CapacityPool> pools;
    for (ZoneBalance& balance : balances_) {
      balance.capacity += balance.extra_capacity_per_step;
      CapacityPool& pool = pools[pool_of(balance.region)];
      pool.overflow += balance.overflow;
      pool.capacity += std::max(0.0, balance.capacity);
    }
    for (ZoneBalance& balance : balances_) {
      const bool is_reachable = !within_region || balance.region == own_region_;
      ApplyStep(balance, pools[pool_of(balance.region)], is_reachable);
    }
    const CapacityPool& own_pool = pools[pool_of(own_region_)];
    if (own_pool.overflow > 0) {
      unassigned_share_ *= 1 - std::min(own_pool.overflow, own_pool.capacity) / own_pool.overflow;
    }
  }

  // The share that no zone has capacity for stays in the own zone, unless that zone has failed (weight 0).
  ZoneWeights TakeResult() {
    double& own_weight = result_.weights.front().weight;
    if (own_weight > 0) own_weight += std::exchange(unassigned_share_, 0);
    result_.overflow_share = unassigned_share_;
    return std::move(result_);
  }

 private:
  void AddZone(const ZoneAgreement::Zone& zone, bool is_own) {
    // Panic mode: when most capacity over all zones is unavailable, the cause is not local to one zone, and
    // moving traffic between zones helps no request. All zones then count as healthy.
    const bool is_panic = totals_.available < settings_.panic_threshold * totals_.capacity;
    const double health = is_panic ? 1 : zone.health;
    const double served_share = std::min(1.0, settings_.overprovisioning * health);
    const double proportional_demand =
        served_share < 1 ? 0 : health * zone.capacity / totals_.capacity * totals_.demand;
    const auto region_entry = settings_.regions.find(zone.name);
    // A zone without a configured region is a region of its own.
    const int unique_region = -1 - static_cast<int>(balances_.size());
    balances_.push_back(
        {.zone = &zone.name,
         .overflow = ZoneDemand(zone) * (1 - served_share),
         .capacity = proportional_demand - ZoneDemand(zone),
         .extra_capacity_per_step = settings_.max_overflow * proportional_demand / 2,
         .region = region_entry != settings_.regions.end() ? region_entry->second : unique_region});
    if (!is_own) return;
    unassigned_share_ = 1 - served_share;
    own_region_ = balances_.back().region;
    result_.weights.push_back({.zone = zone.name, .weight = served_share});
  }

  // Subtracts from a zone the overflow that was assigned and the capacity that was used in a step. If the own
  // zone may send requests there in this step, adds the zone's weight to the result.
  void ApplyStep(ZoneBalance& balance, const CapacityPool& pool, bool is_reachable) {
    const double assigned = std::min(pool.overflow, pool.capacity);
    if (assigned <= 0) return;
    balance.overflow -= assigned * balance.overflow / pool.overflow;
    if (balance.capacity <= 0) return;
    if (is_reachable) {
      const double weight = unassigned_share_ * assigned / pool.overflow * balance.capacity / pool.capacity;
      result_.weights.push_back({.zone = *balance.zone, .weight = weight});
    }
    balance.capacity -= assigned * balance.capacity / pool.capacity;
  }

  const ZoneRoutingSettings& settings_;
  const Totals totals_;
  std::vector<ZoneBalance> balances_;
  double unassigned_share_ = 1;  // share of the own zone's demand that has not been assigned to a zone yet
  int own_region_ = 0;
  ZoneWeights result_;
};

}  // namespace

ZoneWeights ComputeZoneWeights(const ZoneRoutingSettings& settings, const ZoneAgreement& agreement,
                               const std::string& own_zone) {
  if (!settings.enabled || !ContainsZone(agreement, own_zone)) return {};
  if (SumZones(agreement).capacity <= 0) return {};
  OverflowDistributor distributor(settings, agreement, own_zone);
  distributor.Distribute(/*within_region=*/true);
  distributor.Distribute(/*within_region=*/false);
  return distributor.TakeResult();
}

}  // namespace meadowyard::decision
