// Near first, and further only as the gateways have agreed (ZonesAgreed), so all that can talk move together.
#ifndef MEADOWYARD_DECISION_LOCALITY_HPP_
#define MEADOWYARD_DECISION_LOCALITY_HPP_

#include "decision/membership.hpp"

namespace meadowyard {

class Zones : protected Membership {
 protected:
  using Membership::On;

  void On(const ZoneAgreement& news) {
    if (!news.IsNewerThan(agreed_)) return;
    agreed_ = news;
    Spread();
  }

  ZoneLoadReport Look() const {
    std::map<std::string, ZoneLoad> all;
    for (const auto& [id, b] : servers_) {
      if (!b.up) continue;
      all[b.info.zone].capacity += b.info.weight;
      // What is cold counts once it is warm: until then its budget lets little through, and the rest would
      // wait.
      all[b.info.zone].available += b.suspect || Warmth(b) < 1 ? 0 : b.info.weight;
    }
    for (const auto& [name, z] : zones_) {
      all[name].completed = z.ended * z.Keep(now_), all[name].within_objective = z.good * z.Keep(now_);
    }
    ZoneLoadReport sights{set_.zone, arriving_ * 1000, {}};
    for (auto& [name, z] : all) z.zone = name, sights.zones.push_back(z);
    return sights;
  }

  // How much of this gateway's requests each zone gets. All reckon alike, each for its own zone: what that
  // can't serve goes first where there is room in its region, then wherever there is any. What finds none
  // stays; where the own zone has failed it is refused, for it would push over those that are left.
  void Spread() {
    parts_.clear();
    beyond_ = 0;
    const ZoneRoutingSettings& l = set_.zone_routing;
    double demand = 0, size = 0, fit = 0, rest = 1;
    bool here = false;  // the zone that this gateway stands in is among them
    // Never nothing, or shares would have no sense.
    const auto asked = [](const auto& z) { return z.demand + 0.01; };
    for (const auto& z : agreed_.zones) {
      demand += asked(z), size += z.capacity, fit += z.capacity * z.health;
      here = here || z.name == set_.zone;
    }
    if (!l.enabled || !here || size <= 0) return;
    struct Place {
      const std::string* zone;
      double spill, room, extra;  // requests a second; room for others below 0: it has too much of its own
      int region;
    };
    std::vector<Place> places;
    int mine = 0;
    for (const auto& z : agreed_.zones) {
      // Where most has failed everywhere it is no zone's fault, and going elsewhere helps nobody.
      const double health = fit < l.panic_threshold * size ? 1 : z.health,
                   kept = std::min(1.0, l.overprovisioning * health);
      const double share = kept < 1 ? 0 : health * z.capacity / size * demand;
      const auto known = l.regions.find(z.name);
      const int region = known != l.regions.end() ? known->second : -1 - static_cast<int>(places.size());
      places.push_back(
          {&z.name, asked(z) * (1 - kept), share - asked(z), l.max_overflow * share / 2, region});
      if (z.name == set_.zone) rest = 1 - kept, mine = region, parts_.push_back({z.name, kept});
    }
    for (const bool near : {true, false}) {
      std::map<int, std::pair<double, double>> sums;  // by region: what is to be placed, and room for it
      for (Place& p : places) {
        auto& [spill, room] = sums[near ? p.region : 0];
        spill += p.spill, room += std::max(0.0, p.room += p.extra);  // half of it is for those nearby
      }
      for (Place& p : places) {
        const auto [spill, room] = sums[near ? p.region : 0];
        const double placed = std::min(spill, room);
        if (placed <= 0) continue;
        p.spill -= placed * p.spill / spill;
        if (p.room <= 0) continue;
        if (!near || p.region == mine) parts_.push_back({*p.zone, rest * placed / spill * p.room / room});
        p.room -= placed * p.room / room;
      }
      const auto [spill, room] = sums[near ? mine : 0];
      if (spill > 0) rest *= 1 - std::min(spill, room) / spill;
    }
    if (parts_.front().second > 0) parts_.front().second += std::exchange(rest, 0);
    beyond_ = rest;
  }

  // The zone that a request is to go to; null: any. A further try is no failover of its gateway: it may go
  // anywhere, and the retry budget bounds them all.
  const std::string* ZoneFor(const Flow& flow) const {
    if (!set_.zone_routing.enabled || flow.only != 0 || !flow.attempts.empty()) return nullptr;
    if (parts_.empty()) {
      const auto here = [&](const auto& s) { return s.second.up && s.second.info.zone == set_.zone; };
      return std::any_of(servers_.begin(), servers_.end(), here) ? &set_.zone : nullptr;
    }
    double upto = 0;
    for (const auto& [zone, part] : parts_) {
      if (flow.draw < (upto += part)) return &zone;
    }
    return &parts_.back().first;  // agreed on since it came
  }
};

}  // namespace meadowyard

#endif  // MEADOWYARD_DECISION_LOCALITY_HPP_
