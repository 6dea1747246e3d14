// What many gateways add up to, from the records of a run: how evenly hosts are used, how many connections
// they bear, how near the cold ones came to falling over, and which pairs of gateway and host are new.
#ifndef MEADOWYARD_LAB_FLEET_FIGURES_HPP_
#define MEADOWYARD_LAB_FLEET_FIGURES_HPP_

#include <cstddef>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "lab/report.hpp"

namespace meadowyard::lab {

struct FleetFigures {
  double most_load = 0,
         least_load = 0;  // attempts at a host, over the mean of all that were there throughout
  double connections = 0, most_connections = 0;  // opened at a host on average; open at once at the most
  double cold = 0;             // the most work any cold host was sent, as a share of what fells it
  std::size_t pairs = 0;       // of gateway and host, that were used
  double pairs_a_gateway = 0;  // on average
  // Where the script kills a gateway for good: pairs of the others that are new after it, over all after.
  // Of a duty, reading the list where that is shared, else the halls: acts, holders that followed another,
  // and the longest time without an act after the first.
  std::size_t acts = 0, hand_overs = 0;
  std::vector<double> gaps;  // ms, from the last act of one holder to the first of the next
  bool lost_one = false;
  double moved = 0;
};
FleetFigures FiguresOf(const Run& run);

// Pairs of gateway and host that attempts used in a time.
std::set<std::pair<int, int>> PairsOf(const Run& run, Millis from, Millis to);

// All that the referee judges by, a line of JSON a record: arrivals, tries, attempts at hosts, what discovery
// told, what befell hosts, outages.
void WriteTrace(const Run& run, const std::string& path);

// Subsets in the model, without processes.
struct SubsetFigures {
  std::size_t gateways = 0, hosts = 0, size = 0;
  double most = 0, least = 0, mean = 0;  // gateways a host
  // Pairs that are new after a change, over all; and the fewest that it could be with a load as even as
  // before.
  double left = 0, left_least = 0, joined = 0, joined_least = 0;
  double host_left = 0, host_left_least = 0, host_joined = 0, host_joined_least = 0;
  double last_ms = 0;  // that the gateway at the last place takes to choose
};
// The cold budget over all gateways, in the model: the real decision modules of those that use one host, with
// their subsets, at half of what the hosts can do. The host that most use restarts cold, and a burst of twice
// the requests comes meanwhile. The most work that it is sent, as a share of what fells it.
struct ColdFigures {
  std::size_t users = 0;  // gateways that use it
  double use = 0;
  std::size_t requests = 0;
  double took_ms = 0;
};
ColdFigures ModelCold(std::size_t gateways, std::size_t hosts, std::size_t size, std::uint64_t seed);

SubsetFigures ModelSubsets(std::size_t gateways, std::size_t hosts, std::size_t size, std::uint64_t seed);

}  // namespace meadowyard::lab

#endif  // MEADOWYARD_LAB_FLEET_FIGURES_HPP_
