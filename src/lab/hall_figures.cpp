#include "lab/hall_figures.hpp"

#include <algorithm>
#include <limits>
#include <unordered_map>

namespace meadowyard::lab {
namespace {

std::vector<HallChange> Changes(const Run& run) {
  const auto gateways = static_cast<std::size_t>(run.experiment.gateways.count);
  std::map<std::pair<std::uint64_t, std::uint64_t>, HallChange> all;
  for (const HallsWord& w : run.ledger.words) {
    if (w.kind == HallsWord::Kind::kOffer || w.kind == HallsWord::Kind::kVote) continue;
    const Millis at = std::max(w.left, w.arrived);
    HallChange& change = all[{w.term, w.version}];
    if (change.reached.empty()) {
      change = {at - run.start, w.term, w.version, w.health, std::vector<Millis>(gateways, -1)};
    }
    Millis& reached = change.reached[static_cast<std::size_t>(w.arrived > 0 ? w.to : w.from)];
    if (reached < 0) reached = at - run.start - change.at;
  }
  std::vector<HallChange> changes;
  for (auto& [id, change] : all) changes.push_back(std::move(change));
  return changes;  // in order: numbers only grow
}

}  // namespace

HallFigures HallsOf(const Run& run) {
  HallFigures f;
  const auto& halls = run.experiment.fleet.halls;
  Millis trouble = std::numeric_limits<Millis>::infinity();
  for (const Trouble& t : run.experiment.troubles) trouble = std::min(trouble, t.at);
  std::unordered_map<std::uint64_t, int> gateways;
  for (const Try& t : run.tries) gateways[t.id] = t.gateway;
  double all = 0, near = 0, all_before = 0, near_before = 0;
  std::map<std::string, std::map<int, double>> seconds;
  std::map<std::string, double> before;
  for (const Execution& x : run.ledger.executions) {
    const auto gateway = gateways.find(x.id);
    if (gateway == gateways.end()) continue;
    const std::string& hall = run.ledger.halls[static_cast<std::size_t>(x.host)];
    const bool own = hall == halls[static_cast<std::size_t>(gateway->second) % halls.size()];
    const Millis at = x.first - run.start;
    all += 1, near += own;
    if (at < trouble) {
      all_before += 1, near_before += own, before[hall] += 1;
    } else {
      seconds[hall][static_cast<int>(at / 1000)] += 1;
    }
  }
  if (all > 0) f.kept = near / all;
  if (all_before > 0) f.kept_before = near_before / all_before;
  for (const auto& [hall, counts] : seconds) {
    double most = 0;
    for (const auto& [second, count] : counts) most = std::max(most, count);
    if (before[hall] > 0) f.most_load[hall] = most / (before[hall] / trouble * 1000);
  }
  f.changes = Changes(run);
  std::map<std::string, std::pair<double, bool>> last;  // health, and whether it has risen
  for (const HallChange& change : f.changes) {
    for (const auto& [hall, health] : change.health) {
      const auto known = last.emplace(hall, std::pair(health, false)).first;
      auto& [was, rose] = known->second;
      if (health < was) {
        ++f.falls, f.flaps += rose;
        rose = false;
        if (f.first_fall < 0 && change.at >= trouble) {
          f.first_fall = change.at - trouble;
          const Millis most = *std::max_element(change.reached.begin(), change.reached.end());
          const bool reached = *std::min_element(change.reached.begin(), change.reached.end()) >= 0;
          if (reached) f.moved = f.first_fall + most;
        }
      }
      rose = rose || health > was;
      was = health;
    }
    const Millis most = *std::max_element(change.reached.begin(), change.reached.end());
    f.disagreed = std::max(f.disagreed, most);
  }
  return f;
}

}  // namespace meadowyard::lab
