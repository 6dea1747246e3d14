// What a run showed: figures from the records, and the report as text, JSON and a page.
#ifndef MEADOWYARD_LAB_REPORT_HPP_
#define MEADOWYARD_LAB_REPORT_HPP_

#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "lab/process.hpp"
#include "lab/records.hpp"
#include "lab/referee.hpp"
#include "lab/schedule.hpp"
#include "lab/spec.hpp"

namespace meadowyard::lab {

struct HallFigures;

struct Quantiles {
  std::size_t count = 0;
  double mean = 0, p50 = 0, p90 = 0, p99 = 0, p999 = 0, most = 0;
};
// Over Boost.Histogram's bins, 1% wide from 1 us to 1,000 s.
Quantiles QuantilesOf(const std::vector<double>& values);

struct Part {  // of the requests: a class, a tenant, or all
  std::string name;
  std::size_t asked = 0, served = 0, timely = 0, refused = 0, failed = 0, unanswered = 0;
  double wanted = 0, won = 0;  // worth
  Quantiles latency;           // of what was served, from when it was due
  double goodput() const { return wanted > 0 ? won / wanted : 0; }
};

struct Second {  // of the timeline
  std::size_t asked = 0, timely = 0, served = 0, refused = 0, failed = 0;
  double wanted = 0, won = 0, p99 = 0;
};

struct GatewayCost {
  std::string name;
  Usage usage;
};

struct Run {  // all that a run left
  Experiment experiment;
  std::uint64_t seed = 0;
  Millis start = 0;
  std::vector<Arrival> arrivals;
  std::vector<Try> tries;
  std::vector<float> lateness;
  FleetLedger ledger;
  std::vector<Outage> outages;
  std::vector<GatewayCost> gateways;
  std::vector<PeersSeen> seen;
  std::vector<std::string> remarks;  // what went wrong with the run itself
  bool interrupted = false;
};

struct Report {
  std::string name, about;
  std::uint64_t seed = 0;
  Millis duration = 0;
  Part all;
  std::vector<Part> classes, tenants;
  double worst_window = 1;  // goodput of it
  Millis worst_at = 0;
  Quantiles closed_loop;  // what a closed-loop client would have claimed
  Quantiles lateness;     // the generator's own
  bool valid = true;      // its lateness is within bounds, and it was not interrupted
  double attempts = 0;    // a request
  std::vector<Second> seconds;
  std::vector<Trouble> troubles;
  std::vector<GatewayCost> gateways;
  std::vector<PeersSeen> seen;  // times from the start
  double cold = 0;              // see HostUse, of the worst host
  std::size_t acts = 0;         // for a duty, and the times from one holder to the next
  std::vector<double> gaps;
  std::shared_ptr<const HallFigures> halls;  // where there are several
  std::uint64_t connections = 0, discovery_calls = 0, probes = 0;
  std::vector<Finding> findings;
  std::vector<std::string> remarks;
};

Report MakeReport(const Run& run);
// Latencies that a client with so many connections, each waiting for its answer before it sends again, would
// have seen of the same run: it asks when a connection is free, not when a request is due.
std::vector<double> ClosedLoop(const std::vector<Arrival>& arrivals, const std::vector<double>& latency,
                               int connections);

std::string ToText(const Report& report);
nlohmann::ordered_json ToJson(const Report& report);
// One page with plots; needs nothing from anywhere.
std::string ToHtml(const Report& report);

}  // namespace meadowyard::lab

#endif  // MEADOWYARD_LAB_REPORT_HPP_
