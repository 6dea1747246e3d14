// Plays an experiment: fleet, discovery, real gateway processes, links and load from one file.
#ifndef MEADOWYARD_LAB_EXPERIMENT_HPP_
#define MEADOWYARD_LAB_EXPERIMENT_HPP_

#include <functional>
#include <string>

#include "lab/report.hpp"
#include "lab/spec.hpp"

namespace meadowyard::lab {

struct Progress {
  double seconds = 0;
  std::size_t sent = 0, all = 0, open = 0;
};

struct PlayOptions {
  std::function<void(const Progress&)> progress;  // about once a second
  std::string keep;  // a folder for the gateways' files; empty: removed afterwards
};

// Throws std::exception if it can't begin. An interrupt (SIGINT, SIGTERM) ends it early, with what was seen
// by then.
Run Play(const Experiment& experiment, std::uint64_t seed, const PlayOptions& options = {});
// The load alone, against gateways that are there already.
Run PlayLoad(const Experiment& experiment, std::uint64_t seed, const std::vector<std::string>& targets,
             const PlayOptions& options = {});
// Drawn, or read from the trace that the file names.
std::vector<Arrival> MakeSchedule(const Experiment& experiment, std::uint64_t seed,
                                  std::vector<std::string>& remarks);

}  // namespace meadowyard::lab

#endif  // MEADOWYARD_LAB_EXPERIMENT_HPP_
