// Checks the lab against queues whose answers are known, and against a freeze: a generator that flatters is
// of no use.
#ifndef MEADOWYARD_LAB_VERIFY_HPP_
#define MEADOWYARD_LAB_VERIFY_HPP_

#include <cstdint>
#include <string>
#include <vector>

#include "lab/theory.hpp"

namespace meadowyard::lab {

struct QueueCase {
  std::string name;
  int servers = 1;
  bool fixed = false;  // service times
  double load = 0.5;
};
struct QueueResult {
  QueueCase queue;
  Sojourn theory, seen;
  std::size_t samples = 0;
  double worst = 0;  // relative error of the three figures
  double late_p99 = 0;
};
std::vector<QueueCase> StandardQueues();
// Many stand-in hosts at once, each a queue of its own: requests are dealt to them by chance, which leaves
// the arrivals at each Poisson. `seconds` of load.
QueueResult VerifyQueue(const QueueCase& queue, std::uint64_t seed, double seconds);

struct FreezeResult {
  std::size_t due_within = 0, late_enough = 0;  // of these, no sooner than the freeze's end
  double open_p99 = 0, closed_p99 = 0;
};
// 200 requests a second at one host that stands still for 5 s.
FreezeResult VerifyFreeze(std::uint64_t seed);

struct RateResult {
  double offered = 0, seconds = 0, late_p50 = 0, late_p99 = 0, cpu_share = 0, served = 0;
};
// The generator alone at a rate, to trivial hosts.
RateResult MeasureRate(double rate, double seconds, std::uint64_t seed);

}  // namespace meadowyard::lab

#endif  // MEADOWYARD_LAB_VERIFY_HPP_
