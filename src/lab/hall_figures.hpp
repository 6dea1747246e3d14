// How near requests were kept, and how gateways that send elsewhere together did so, from the records of a
// run.
#ifndef MEADOWYARD_LAB_HALL_FIGURES_HPP_
#define MEADOWYARD_LAB_HALL_FIGURES_HPP_

#include <map>
#include <string>
#include <vector>

#include "lab/report.hpp"

namespace meadowyard::lab {

struct HallChange {  // of what was agreed
  Millis at = 0;     // from the start, when somebody said so first
  std::uint64_t term = 0, version = 0;
  std::vector<std::pair<std::string, double>> health;
  std::vector<Millis> reached;  // each gateway, after that; -1: never
};

struct HallFigures {
  double kept = 1, kept_before = 1;  // share of attempts in their gateway's hall; before the first trouble
  std::map<std::string, double>
      most_load;  // of a hall, in any second, over its mean before the first trouble
  std::vector<HallChange> changes;
  int falls = 0, flaps = 0;            // of a hall's health; flaps: after it had risen
  Millis first_fall = -1, moved = -1;  // after the first trouble: agreed, and known to all gateways
  Millis disagreed = 0;  // the longest time from one gateway's knowing of a change to the last's
};
HallFigures HallsOf(const Run& run);

}  // namespace meadowyard::lab

#endif  // MEADOWYARD_LAB_HALL_FIGURES_HPP_
