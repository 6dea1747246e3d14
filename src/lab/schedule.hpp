// What is asked for, and when: drawn ahead from a seed, or read from a trace. No I/O but the trace's file.
#ifndef MEADOWYARD_LAB_SCHEDULE_HPP_
#define MEADOWYARD_LAB_SCHEDULE_HPP_

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

#include "lab/spec.hpp"

namespace meadowyard::lab {

struct Arrival {
  Millis due = 0;  // since the start
  std::uint32_t cls = 0;
  std::int32_t tenant = -1;
  std::uint64_t key = 0;
  Millis work = 0;       // on one core of speed 1
  Millis hint = -1;      // what the client says of it; below 0: nothing
  Millis patience = 0;   // until the client gives a try up
  std::uint64_t id = 0;  // of the first try
};

// The rate at a time as part of the usual one; `tenant` below 0: over all tenants.
double RateFactor(const Experiment& experiment, int tenant, Millis at);

std::vector<Arrival> DrawSchedule(const Experiment& experiment, std::uint64_t seed);
// One line an arrival: the same seed gives the same text to the byte.
std::string ScheduleText(const Experiment& experiment, const std::vector<Arrival>& arrivals);

struct TraceProblem {
  std::size_t line = 0;
  std::string why;
};
// JSON Lines ({"t": seconds, "class": ..., "key": ..., "owner": ..., "work_ms": ...}) or CSV with such a head
// line, by the first byte. Lines that can't be used are told with their number and left out; times out of
// order are told and put in order. Throws SpecError if the file can't be read or has no usable line.
std::vector<Arrival> ReadTrace(const Experiment& experiment, std::uint64_t seed, std::istream& stream,
                               const std::string& file, std::vector<TraceProblem>& problems);

}  // namespace meadowyard::lab

#endif  // MEADOWYARD_LAB_SCHEDULE_HPP_
