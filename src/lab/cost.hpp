// What a request costs the gateway, beside a bare relay of bytes in the same run; and what a connection
// holds.
#ifndef MEADOWYARD_LAB_COST_HPP_
#define MEADOWYARD_LAB_COST_HPP_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace meadowyard::lab {

struct CostOptions {
  std::size_t requests = 40000;
  int connections = 16;
  int repeats = 3;
  std::string program;  // of the gateway; empty: the one beside the lab's
};
struct CostRound {
  double gateway_us = 0, relay_us = 0;            // of CPU a request
  double gateway_seconds = 0, relay_seconds = 0;  // for all of them
};
struct CostResult {
  std::vector<CostRound> rounds;
  double ratio = 0;  // relay over gateway: the share of the bare relay's rate for the same CPU; median
  double limited_by_cpu = 0;  // share of the time that the gateway's CPU was at work, of the fastest round
  double idle_kb = 0, busy_kb = 0;  // of the process, a connection
};
CostResult MeasureCost(const CostOptions& options, std::uint64_t seed);

}  // namespace meadowyard::lab

#endif  // MEADOWYARD_LAB_COST_HPP_
