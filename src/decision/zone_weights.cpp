#include "decision/zone_weights.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace meadowyard::decision {
namespace {

constexpr double kMinDemand = 0.01;  // requests per second: without any, shares would have no meaning

// What one zone has to give away or to offer, in requests per second.
struct Balance {
  const std::string* zone = nullptr;
  double overflow = 0;   // demand that it can't serve itself
  double capacity = 0;   // for others; below 0: it has too much of its own
  double allowance = 0;  // that it opens to others in each of the two steps
  int region = 0;
};

struct Totals {
  double demand = 0;
  double capacity = 0;
  double available = 0;
};

// Of the zones that share their overflow: what is to be placed, and what there is capacity for.
struct Pool {
  double overflow = 0;
  double capacity = 0;
};

double DemandOf(const ZoneAgreement::Zone& zone) { return zone.demand + kMinDemand; }

Totals TotalsOf(const ZoneAgreement& agreement) {
  Totals totals;
  for (const ZoneAgreement::Zone& zone : agreement.zones) {
    totals.demand += DemandOf(zone);
    totals.capacity += zone.capacity;
    totals.available += zone.capacity * zone.health;
  }
  return totals;
}

bool Contains(const ZoneAgreement& agreement, const std::string& name) {
  return std::any_of(agreement.zones.begin(), agreement.zones.end(),
                     [&](const ZoneAgreement::Zone& zone) { return zone.name == name; });
}

class Distribution {
 public:
  Distribution(const ZoneRoutingSettings& settings, const ZoneAgreement& agreement,
               const std::string& own_zone)
      : settings_(settings), totals_(TotalsOf(agreement)) {
    for (const ZoneAgreement::Zone& zone : agreement.zones) AddZone(zone, zone.name == own_zone);
  }

  // One step: to zones of the same region, or to any.
  void Distribute(bool within_region) {
    const auto pool_of = [&](int region) { return within_region ? region : 0; };
    std::map<int, Pool> pools;
    for (Balance& balance : balances_) {
      balance.capacity += balance.allowance;
      Pool& pool = pools[pool_of(balance.region)];
      pool.overflow += balance.overflow;
      pool.capacity += std::max(0.0, balance.capacity);
    }
    for (Balance& balance : balances_) {
      const bool is_reachable = !within_region || balance.region == own_region_;
      Place(balance, pools[pool_of(balance.region)], is_reachable);
    }
    const Pool& own_pool = pools[pool_of(own_region_)];
    if (own_pool.overflow > 0) {
      remainder_ *= 1 - std::min(own_pool.overflow, own_pool.capacity) / own_pool.overflow;
    }
  }

  // What finds no capacity stays in the own zone unless that has failed.
  ZoneWeights Finish() {
    double& own_weight = result_.weights.front().weight;
    if (own_weight > 0) own_weight += std::exchange(remainder_, 0);
    result_.overflow_share = remainder_;
    return std::move(result_);
  }

 private:
  void AddZone(const ZoneAgreement::Zone& zone, bool is_own) {
    // Where most has failed everywhere it is no zone's fault, and routing elsewhere helps no request.
    const bool is_panic = totals_.available < settings_.panic_threshold * totals_.capacity;
    const double health = is_panic ? 1 : zone.health;
    const double served = std::min(1.0, settings_.overprovisioning * health);
    const double share = served < 1 ? 0 : health * zone.capacity / totals_.capacity * totals_.demand;
    const auto known = settings_.regions.find(zone.name);
    const int own_region = -1 - static_cast<int>(balances_.size());  // of its own
    balances_.push_back({.zone = &zone.name,
                         .overflow = DemandOf(zone) * (1 - served),
                         .capacity = share - DemandOf(zone),
                         .allowance = settings_.max_overflow * share / 2,
                         .region = known != settings_.regions.end() ? known->second : own_region});
    if (!is_own) return;
    remainder_ = 1 - served;
    own_region_ = balances_.back().region;
    result_.weights.push_back({.zone = zone.name, .weight = served});
  }

  void Place(Balance& balance, const Pool& pool, bool is_reachable) {
    const double placed = std::min(pool.overflow, pool.capacity);
    if (placed <= 0) return;
    balance.overflow -= placed * balance.overflow / pool.overflow;
    if (balance.capacity <= 0) return;
    if (is_reachable) {
      const double weight = remainder_ * placed / pool.overflow * balance.capacity / pool.capacity;
      result_.weights.push_back({.zone = *balance.zone, .weight = weight});
    }
    balance.capacity -= placed * balance.capacity / pool.capacity;
  }

  const ZoneRoutingSettings& settings_;
  const Totals totals_;
  std::vector<Balance> balances_;
  double remainder_ = 1;  // of the own zone's demand, not placed yet
  int own_region_ = 0;
  ZoneWeights result_;
};

}  // namespace

ZoneWeights ComputeZoneWeights(const ZoneRoutingSettings& settings, const ZoneAgreement& agreement,
                               const std::string& own_zone) {
  if (!settings.enabled || !Contains(agreement, own_zone)) return {};
  if (TotalsOf(agreement).capacity <= 0) return {};
  Distribution distribution(settings, agreement, own_zone);
  distribution.Distribute(/*within_region=*/true);
  distribution.Distribute(/*within_region=*/false);
  return distribution.Finish();
}

}  // namespace meadowyard::decision
