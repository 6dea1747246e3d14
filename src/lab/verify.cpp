#include "lab/verify.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <cmath>

#include "lab/experiment.hpp"
#include "lab/fleet.hpp"
#include "lab/load.hpp"
#include "lab/relay.hpp"

namespace meadowyard::lab {
namespace {

constexpr Millis kService = 8;
constexpr Millis kSettle = 4000;  // from empty queues to the usual ones
constexpr double kSpare = 1e9;    // places that never run out

Experiment Bare(double rate, Millis work, WorkShape shape, Millis duration) {
  Experiment e;
  e.duration = duration;
  ClassSpec c;
  c.name = "view";
  c.aim = c.deadline = 600000;
  c.work = work;
  c.shape = shape;
  c.answer_bytes = 0;
  e.classes = {c};
  e.load.rate = rate;
  e.load.retries = 0;
  e.load.connections = 15000;
  e.load.cost_noise = -1;
  KindSpec kind;
  kind.waiting = static_cast<int>(kSpare);
  e.fleet.kinds = {kind};
  return e;
}

double CpuMs() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return 1000.0 * static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
         static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / 1000;
}

// The load goes to the hosts themselves: no gateway is between.
Run PlayDirect(const Experiment& e, std::uint64_t seed) {
  FleetProcess fleet(e, seed);
  fleet.Begin(Clock() + 300);
  return PlayLoad(e, seed, fleet.hosts());
}

}  // namespace

std::vector<QueueCase> StandardQueues() {
  std::vector<QueueCase> all;
  for (const double load : {0.5, 0.8}) {
    all.push_back({"M/M/1", 1, false, load});
    all.push_back({"M/D/1", 1, true, load});
    all.push_back({"M/M/4", 4, false, load});
  }
  return all;
}

QueueResult VerifyQueue(const QueueCase& queue, std::uint64_t seed, double seconds) {
  // As many hosts as make about 6,000 requests a second.
  const double lambda = queue.load * queue.servers / kService;
  const int hosts = std::clamp(static_cast<int>(6.0 / lambda), 4, 200);
  Experiment e = Bare(1000 * lambda * hosts, kService,
                      queue.fixed ? WorkShape::kFixed : WorkShape::kExponential, kSettle + 1000 * seconds);
  e.fleet.kinds[0].count = hosts;
  e.fleet.kinds[0].cores = queue.servers;
  const Run run = PlayDirect(e, seed);
  QueueResult r;
  r.queue = queue;
  r.theory = queue.fixed ? MD1(lambda, kService) : MMc(queue.servers, lambda, 1 / kService);
  std::vector<double> seen;
  for (const Try& t : run.tries) {
    if (t.due >= run.start + kSettle && t.outcome == Try::Outcome::kServed) seen.push_back(t.ended - t.due);
  }
  const Quantiles q = QuantilesOf(seen);
  r.samples = q.count;
  r.seen = {q.mean, q.p50, q.p99};
  for (const auto& [is, should] : {std::pair(r.seen.mean, r.theory.mean), std::pair(r.seen.p50, r.theory.p50),
                                   std::pair(r.seen.p99, r.theory.p99)}) {
    r.worst = std::max(r.worst, std::abs(is / should - 1));
  }
  r.late_p99 = QuantilesOf({run.lateness.begin(), run.lateness.end()}).p99;
  return r;
}

FreezeResult VerifyFreeze(std::uint64_t seed) {
  constexpr Millis kAt = 2000, kLen = 5000;
  Experiment e = Bare(200, 1, WorkShape::kFixed, 10000);
  e.fleet.kinds[0].count = 1;
  e.fleet.kinds[0].cores = 64;
  Trouble freeze;
  freeze.kind = Trouble::Kind::kFreeze;
  freeze.at = kAt;
  freeze.len = kLen;
  freeze.share = 1;
  e.troubles = {freeze};
  FleetProcess fleet(e, seed);
  Run run;
  {
    fleet.Begin(Clock() + 300);
    run = PlayLoad(e, seed, fleet.hosts());
  }
  const FleetLedger ledger = fleet.Finish();
  Millis from = 0, to = 0;
  for (const HostEvent& event : ledger.events) {
    if (event.what == "freeze") from = event.at;
    if (event.what == "thaw") to = event.at;
  }
  FreezeResult r;
  std::vector<double> open, latency;
  for (const Try& t : run.tries) {
    latency.push_back(t.ended - t.due);
    open.push_back(t.ended - t.due);
    if (t.due < from || t.due >= to) continue;
    ++r.due_within;
    r.late_enough += t.outcome == Try::Outcome::kServed && t.ended >= to;
  }
  r.open_p99 = QuantilesOf(open).p99;
  r.closed_p99 = QuantilesOf(ClosedLoop(run.arrivals, latency, 1)).p99;
  return r;
}

RateResult MeasureRate(double rate, double seconds, std::uint64_t seed) {
  Experiment e = Bare(rate, 0, WorkShape::kFixed, 1000 * seconds);
  e.fleet.kinds[0].count = 4;
  FleetProcess fleet(e, seed);
  const double before = CpuMs();
  const Run run = PlayLoad(e, seed, fleet.hosts());
  RateResult r;
  const Quantiles late = QuantilesOf({run.lateness.begin(), run.lateness.end()});
  r.offered = static_cast<double>(run.lateness.size()) / seconds;
  r.seconds = seconds;
  r.late_p50 = late.p50, r.late_p99 = late.p99;
  r.cpu_share = (CpuMs() - before) / (1000 * seconds);
  r.served =
      static_cast<double>(std::count_if(run.tries.begin(), run.tries.end(),
                                        [](const Try& t) { return t.outcome == Try::Outcome::kServed; })) /
      static_cast<double>(std::max<std::size_t>(1, run.arrivals.size()));
  return r;
}

}  // namespace meadowyard::lab
