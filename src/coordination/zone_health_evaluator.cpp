#include "coordination/zone_health_evaluator.hpp"

#include <algorithm>
#include <cmath>

#include "coordination/message_codec.hpp"

namespace meadowyard::coordination {
namespace {

constexpr double kStep = 0.1;            // levels are whole multiples of it
constexpr double kFall = 0.2;            // a level falls by so much at the least, or to nothing
constexpr double kRise = 0.3;            // and rises by so much at the most
constexpr double kGood = 0.9;            // share of good answers that leaves nothing to wish for
constexpr double kFailed = 0.3;          // share of its servers below which a zone counts as failed
constexpr double kEnough = 3;            // attempts that have to have ended for their share to tell anything
constexpr Millis kSizeMemory = 600000;   // over which servers that are there no more are forgotten
constexpr double kDemandMoves = 0.3;     // share by which demand has to differ to be agreed anew
constexpr Millis kDemandEvery = 5000;    // and the time from one such change to the next
constexpr Millis kDemandMemory = 60000;  // that a gateway's counts for after its last word
constexpr double kLittle = 1;            // request a second

double Rounded(double health) { return std::round(std::clamp(health, 0.0, 1.0) / kStep) * kStep; }

}  // namespace

void ZoneHealthEvaluator::OnLoadReport(Millis now, int gateway, const ZoneLoadReport& sights) {
  observations_[gateway] = {now, sights};
}

std::map<std::string, ZoneHealthEvaluator::Now> ZoneHealthEvaluator::Look(Millis now) {
  struct Sum {
    double fit = 0, ended = 0, good = 0;
    int from = 0;
  };
  std::map<std::string, Sum> near, far;  // as those see it that stand there, and all others that go there
  std::map<std::string, Now> all;
  for (const auto& [gateway, seen] : observations_) {
    // Whoever can't be heard for now still has its clients, who come along when it is heard again.
    if (now - seen.at < kDemandMemory) all[seen.sights.zone].demand += seen.sights.arrival_rate;
    if (now - seen.at >= times_.max_report_age) continue;
    for (const ZoneLoad& z : seen.sights.zones) {
      Now& zone = all[z.zone];
      zone.size = std::max(zone.size, z.capacity);
      const bool own = z.zone == seen.sights.zone;
      if (!own && z.completed < kEnough) continue;
      Sum& sum = (own ? near : far)[z.zone];
      sum.fit += z.available, sum.ended += z.completed, sum.good += z.within_objective, ++sum.from;
    }
  }
  for (const auto& [name, known] : zones_) all[name];  // those that nobody sees any more, too
  for (auto& [name, zone] : all) {
    Zone& known = zones_[name];
    known.size = std::max(zone.size, known.size * std::exp((known.sized_at - now) / kSizeMemory));
    known.sized_at = now;
    const Sum sum = near.contains(name) ? near[name] : far[name];
    if (zone.size <= 0) {
      zone.fit = 0;  // all of its servers have left the list
    } else if (sum.from == 0) {
      zone.fit = 1;  // nobody knows better; if it is not, whoever goes there will see
    } else {
      zone.fit = sum.fit / sum.from / known.size;
      if (sum.ended >= kEnough) zone.good = sum.good / sum.ended;
    }
    zone.size = known.size;
  }
  return all;
}

// What is not served well of what comes to a zone is beyond it. As only a share came, it may be much less
// than its servers seem good for: slow ones are as many as ever.
double ZoneHealthEvaluator::Target(Millis now, const Now& seen, double level) const {
  const double fit = seen.fit < kFailed ? 0 : seen.fit;
  if (seen.good >= kGood || now - shifted_at_ < times_.settling_time) return Rounded(fit);
  return Rounded(std::min(fit, std::min(1.0, times_.overprovisioning_factor * level) * seen.good /
                                   times_.overprovisioning_factor));
}

double ZoneHealthEvaluator::Next(Millis now, Zone& zone, double level, double target) const {
  const bool low = target < level && (target <= level - kFall + kStep / 2 || target <= 0);
  const bool high = target > level;
  if (!low) zone.low_since = 0;
  if (!high) zone.high_since = 0;
  if (low && zone.low_since == 0) zone.low_since = now;
  if (high && zone.high_since == 0) zone.high_since = now;
  if (low && now - zone.low_since >= times_.decrease_delay) return target;
  const bool tried = now - shifted_at_ >= times_.settling_time;  // what the last step came to is known
  if (high && tried && now - zone.high_since >= times_.increase_delay && now >= zone.held_until)
    return std::min(target, Rounded(level + kRise));
  return level;
}

std::optional<std::vector<ZoneAgreement::Zone>> ZoneHealthEvaluator::Evaluate(
    Millis now, const std::vector<ZoneAgreement::Zone>& agreed) {
  const auto fresh = std::count_if(observations_.begin(), observations_.end(),
                                   [&](const auto& s) { return now - s.second.at < times_.max_report_age; });
  if (2 * fresh <= gateways_) return std::nullopt;
  auto all = Look(now);
  bool changed = false, moved = false;
  std::vector<ZoneAgreement::Zone> next = agreed;
  for (ZoneAgreement::Zone& z : next) {
    const Now& seen = all[z.name];
    Zone& zone = zones_[z.name];
    const double level = Next(now, zone, z.health, Target(now, seen, z.health));
    changed = changed || level != z.health;
    z.health = level, z.capacity = seen.size;
    moved =
        moved || std::abs(seen.demand - z.demand) > kDemandMoves * std::max(seen.demand, z.demand) + kLittle;
    z.demand = seen.demand;
    all.erase(z.name);
  }
  for (const auto& [name, seen] : all) {
    if (next.size() >= kMaxZones) break;
    changed = true;
    next.push_back({name, Target(now, seen, 1), seen.size, seen.demand});
  }
  if (!changed && (!moved || now - changed_at_ < kDemandEvery)) return std::nullopt;
  return next;
}

void ZoneHealthEvaluator::OnAgreement(Millis now, const std::vector<ZoneAgreement::Zone>& before,
                                      const std::vector<ZoneAgreement::Zone>& after) {
  changed_at_ = now;
  for (const ZoneAgreement::Zone& z : after) {
    const auto old =
        std::find_if(before.begin(), before.end(), [&](const auto& b) { return b.name == z.name; });
    if (old == before.end() || old->health == z.health) continue;
    Zone& zone = zones_[z.name];
    zone.low_since = zone.high_since = 0;
    shifted_at_ = now;
    if (z.health > old->health) {
      zone.rose = true;
      continue;
    }
    // Once more after it had come back: each time it is left alone for longer.
    zone.hold_down = zone.rose
                         ? std::min(std::max(2 * zone.hold_down, times_.hold_down), times_.max_hold_down)
                         : std::max(zone.hold_down, times_.hold_down);
    zone.rose = false;
    zone.held_until = now + zone.hold_down;
  }
}

}  // namespace meadowyard::coordination
