// Tunnels in the lab: servers that echo or send without end, clients that speak SOCKS5, and three runs
// against the real program: drains at random moments, a change of version under load, and what tunnels cost.
#ifndef MEADOWYARD_LAB_TUNNELS_HPP_
#define MEADOWYARD_LAB_TUNNELS_HPP_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "meadowyard/policy.hpp"

namespace meadowyard::lab {

// In each trial a host is told draining, gone or is taken out by hand while clients' handshakes come in
// pieces.
struct DrainResult {
  std::size_t trials = 0, asked = 0, opened = 0, refused = 0;
  std::size_t unanswered = 0;  // clients without a reply
  std::size_t late_opens = 0;  // connections that came to a host later than 1 s after the news
  std::size_t outlived = 0;    // tunnels that were open 1 s after it
  std::size_t counted = 0;     // by the gateway, as opened or refused
  std::size_t ended = 0;       // by the gateway, of those opened
  std::size_t far = 0;         // trials behind the parent proxy
  std::size_t parent_silent = 0, parent_refused = 0;
  bool good() const { return unanswered + late_opens + outlived == 0 && counted == asked && ended == opened; }
};
DrainResult TryTunnelDrains(std::size_t trials, std::uint64_t seed);

// Streams through `tunnels` echo back and are checked byte by byte while a new version takes over.
struct TunnelUpgradeResult {
  std::size_t tunnels = 0, broken = 0, wrong = 0, short_of = 0;
  std::uint64_t bytes = 0;
  std::size_t passed_on = 0;   // by the new version's figures
  Millis old_ended_after = 0;  // from SIGTERM
  bool good() const { return broken + wrong + short_of == 0 && passed_on == tunnels; }
};
TunnelUpgradeResult TryTunnelUpgrade(std::size_t tunnels, std::uint64_t seed);

struct TunnelCostOptions {
  std::size_t megabytes = 400;  // each round
  std::size_t connections = 8;
  int repeats = 3;
  std::size_t held = 2000;  // open at once
  double hold_seconds = 60;
};
struct TunnelCostResult {
  struct Round {
    double tunnel_mb = 0, relay_mb = 0;  // carried for a second of CPU
  };
  std::vector<Round> rounds;
  double ratio = 0;                       // median
  double idle_kb = 0;                     // of the process, an idle tunnel
  double held_mb = 0, held_mb_after = 0;  // of the process, with all open, and after the time
  std::size_t held = 0;
};
TunnelCostResult MeasureTunnelCost(const TunnelCostOptions& options, std::uint64_t seed);

}  // namespace meadowyard::lab

#endif  // MEADOWYARD_LAB_TUNNELS_HPP_
