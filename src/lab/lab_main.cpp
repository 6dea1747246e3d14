// meadowyard-lab: a stand-in fleet, open-loop load, poor links, and experiments with real gateways.
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <signal.h>

#include <CLI/CLI.hpp>
#include <array>
#include <boost/asio/signal_set.hpp>
#include <cstdio>
#include <ctime>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

#include "lab/compare.hpp"
#include "lab/cost.hpp"
#include "lab/experiment.hpp"
#include "lab/faulty_gateway.hpp"
#include "lab/fleet.hpp"
#include "lab/fleet_figures.hpp"
#include "lab/hall_figures.hpp"
#include "lab/relay.hpp"
#include "lab/report.hpp"
#include "lab/tunnels.hpp"
#include "lab/verify.hpp"

namespace {

namespace lab = meadowyard::lab;

struct Options {
  std::string file, second, json, html, keep, trace, fault = "none", folder = ".";
  std::vector<std::string> targets, files;
  std::optional<std::uint64_t> seed;
  std::uint64_t from_seed = 1;
  int pairs = 5;
  std::vector<int> gateways;
  double rate = 20000, seconds = 30;
  lab::CostOptions cost;
  lab::TunnelCostOptions tunnel_cost;
  std::size_t trials = 200, tunnels = 500;
  bool quiet = false;
};

void Write(const std::string& path, const std::string& text) {
  if (path.empty()) return;
  std::ofstream stream(path);
  stream << text;
  if (!stream.flush()) throw std::runtime_error("can't write " + path);
}

lab::PlayOptions PlayOptionsOf(const Options& o, const std::string& name) {
  lab::PlayOptions play;
  play.keep = o.keep;
  if (!o.quiet) {
    play.progress = [name](const lab::Progress& p) {
      std::fprintf(stderr, "%s: %.0f s, %zu of %zu requests sent, %zu open\n", name.c_str(), p.seconds,
                   p.sent, p.all, p.open);
    };
  }
  return play;
}

// 0: valid and within the rules; 1: not; 3: interrupted.
int Tell(const Options& o, const lab::Run& run) {
  const lab::Report report = lab::MakeReport(run);
  std::fputs(lab::ToText(report).c_str(), stdout);
  Write(o.json, lab::ToJson(report).dump(2) + "\n");
  Write(o.html, lab::ToHtml(report));
  if (!o.trace.empty()) lab::WriteTrace(run, o.trace);
  if (run.interrupted) return 3;
  return report.valid && lab::Clean(report.findings) ? 0 : 1;
}

int RunExperiment(const Options& o) {
  const lab::Experiment e = lab::ReadExperiment(o.file);
  return Tell(o, lab::Play(e, o.seed.value_or(e.seed), PlayOptionsOf(o, e.name)));
}

int RunLoad(const Options& o) {
  const lab::Experiment e = lab::ReadExperiment(o.file);
  return Tell(o, lab::PlayLoad(e, o.seed.value_or(e.seed), o.targets, PlayOptionsOf(o, e.name)));
}

int RunSchedule(const Options& o) {
  const lab::Experiment e = lab::ReadExperiment(o.file);
  std::vector<std::string> remarks;
  const auto arrivals = lab::MakeSchedule(e, o.seed.value_or(e.seed), remarks);
  for (const std::string& remark : remarks) std::fprintf(stderr, "note: %s\n", remark.c_str());
  std::fputs(lab::ScheduleText(e, arrivals).c_str(), stdout);
  return 0;
}

// The hosts in the foreground, with a configuration for each gateway that somebody else starts.
int RunHosts(const Options& o) {
  const lab::Experiment e = lab::ReadExperiment(o.file);
  const std::uint64_t seed = o.seed.value_or(e.seed);
  boost::asio::io_context io(1);
  lab::Fleet fleet(io, e, seed);
  std::filesystem::create_directories(o.folder);
  for (int g = 0; g < e.gateways.count; ++g) {
    const std::string path = fmt::format("{}/gateway{}.json", o.folder, g);
    Write(path,
          nlohmann::json{{"name", fmt::format("g{}", g)},
                         {"listen", lab::FreeAddress()},
                         {"admin", lab::FreeAddress()},
                         {"discovery", fleet.discovery()[static_cast<std::size_t>(g)]},
                         {"seed", fmt::format("{:x}", seed)},
                         {"limits", {{"memory_mb", e.gateways.memory_mb}, {"sockets", e.gateways.sockets}}},
                         {"known", fleet.List(g)},
                         {"settings", lab::GatewaySettings(e, g)}}
              .dump(2));
    std::printf("NODE_CONFIG=%s meadowyard serve\n", path.c_str());
  }
  std::printf("%zu hosts and discovery are up, seed %llu; troubles begin now; end with Ctrl-C\n",
              fleet.hosts().size(), static_cast<unsigned long long>(seed));
  std::fflush(stdout);
  fleet.Begin(lab::Clock());
  boost::asio::signal_set ends(io, SIGINT, SIGTERM);
  ends.async_wait([&](const boost::system::error_code&, int) { io.stop(); });
  io.run();
  std::printf("%zu attempts reached the hosts\n", fleet.ledger().executions.size());
  return 0;
}

std::string BrokenRules(const lab::Report& r) {
  std::string broken;
  for (const lab::Finding& f : r.findings) {
    if (f.count > 0)
      broken += fmt::format("{}{}: {}", broken.empty() ? "" : ", ", lab::Name(f.rule), f.count);
  }
  return broken.empty() ? "kept" : broken;
}

// One file at several sizes of the fleet of gateways, each without and with what they tell each other.
int RunFleet(const Options& o) {
  lab::Experiment e = lab::ReadExperiment(o.file);
  if (!e.peers.on) throw lab::SpecError(o.file + ": peers: missing; a fleet's gateways know of each other");
  const std::vector<int> sizes = o.gateways.empty() ? std::vector{e.gateways.count} : o.gateways;
  std::printf(
      "seed %llu\n| gateways | peers | goodput | load of a host, most and least over the mean | hosts a "
      "gateway | "
      "connections at once, most at a host | cold budget used, worst host | pairs moved | rules |\n"
      "| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
      static_cast<unsigned long long>(o.seed.value_or(e.seed)));
  bool good = true;
  for (const int size : sizes) {
    for (const bool on : {false, true}) {
      e.gateways.count = size;
      e.peers.on = on;
      const lab::Run run = lab::Play(e, o.seed.value_or(e.seed), PlayOptionsOf(o, e.name));
      if (run.interrupted) return 3;
      const lab::Report r = lab::MakeReport(run);
      const lab::FleetFigures f = lab::FiguresOf(run);
      const std::string broken = BrokenRules(r);
      good = good && r.valid && (broken == "kept" || !on);
      std::cout << fmt::format(
                       "| {} | {} | {:.1f}% | {:.2f}, {:.2f} | {:.1f} | {:.0f} | {:.0f}% | {} | {}{} |\n",
                       size, on ? "on" : "off", 100 * r.all.goodput(), f.most_load, f.least_load,
                       f.pairs_a_gateway, f.most_connections, 100 * f.cold,
                       f.lost_one ? fmt::format("{:.1f}%", 100 * f.moved) : "-", broken,
                       r.valid ? "" : " (invalid run)")
                << std::flush;
      if (on && !o.trace.empty()) lab::WriteTrace(run, fmt::format("{}-{}.jsonl", o.trace, size));
    }
  }
  return good ? 0 : 1;
}

// One file on several seeds, each in turns without [zones], every gateway for itself, and with it.
int RunHalls(const Options& o) {
  lab::Experiment e = lab::ReadExperiment(o.file);
  if (!e.zones.on) throw lab::SpecError(o.file + ": zones: missing; there is nothing to agree on");
  std::printf(
      "| experiment, [zones] | seed | kept near before | goodput, worst 5 s | first fall agreed, known to "
      "all, ms | longest "
      "disagreement, ms | busiest hall over its load before | falls, flaps | rules |\n"
      "| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
  bool good = true;
  for (int i = 0; i < o.pairs; ++i) {
    const std::uint64_t seed = o.seed.value_or(e.seed) + static_cast<std::uint64_t>(i);
    for (const bool on : {false, true}) {
      e.zones.on = on;
      e.window = 5000;
      const lab::Run run = lab::Play(e, seed, PlayOptionsOf(o, e.name));
      if (run.interrupted) return 3;
      const lab::Report r = lab::MakeReport(run);
      const lab::HallFigures& h = *r.halls;
      double load = 0;
      for (const auto& [hall, most] : h.most_load) load = std::max(load, most);
      const std::string broken = BrokenRules(r);
      good = good && r.valid && (!on || broken == "kept");
      std::cout << fmt::format(
                       "| {} {} | {} | {:.1f}% | {:.1f}%, {:.1f}% | {:.0f}, {:.0f} | {:.0f} | {:.2f} | {}, "
                       "{} | {}{} |\n",
                       e.name, on ? "on" : "off", seed, 100 * h.kept_before, 100 * r.all.goodput(),
                       100 * r.worst_window, h.first_fall, h.moved, h.disagreed, load, h.falls, h.flaps,
                       broken, r.valid ? "" : " (invalid run)")
                << std::flush;
    }
  }
  return good ? 0 : 1;
}

// One file with the duty of reading the list, on several seeds: how long the duty rests when its holder goes.
int RunDuty(const Options& o) {
  lab::Experiment e = lab::ReadExperiment(o.file);
  if (!e.peers.share_list) throw lab::SpecError(o.file + ": peers.share_list: is off; there is no duty");
  if (!o.gateways.empty()) e.gateways.count = o.gateways.front();
  std::vector<double> gaps;
  double words = 0, seconds = 0;
  std::size_t acts = 0, doubled = 0, behind = 0;
  for (int i = 0; i < o.pairs; ++i) {
    const lab::Run run =
        lab::Play(e, o.seed.value_or(e.seed) + static_cast<std::uint64_t>(i), PlayOptionsOf(o, e.name));
    if (run.interrupted) return 3;
    const lab::Report r = lab::MakeReport(run);
    gaps.insert(gaps.end(), r.gaps.begin(), r.gaps.end());
    acts += r.acts;
    for (const lab::Finding& f : r.findings) doubled += f.rule == lab::Rule::kOneHolder ? f.count : 0;
    words += static_cast<double>(run.ledger.peer_words);
    // What was passed on last, and who does not have it at the end.
    std::map<int, std::int64_t> last;
    std::int64_t newest = -1;
    for (const lab::PeersSeen& s : run.seen) last[s.gateway] = s.revision;
    for (const lab::DutyAct& act : run.ledger.acts) newest = std::max(newest, act.revision);
    for (const auto& [gateway, revision] : last) behind += revision < newest;
    seconds += e.duration / 1000;
    if (!lab::Clean(r.findings))
      std::printf("seed %llu: %s\n", static_cast<unsigned long long>(run.seed), BrokenRules(r).c_str());
  }
  const lab::Quantiles q = lab::QuantilesOf(gaps);
  std::printf(
      "%s, %d gateways: %zu hand-overs, median %.0f ms, p99 %.0f ms, worst %.0f ms; %zu acts, %zu by two "
      "holders at "
      "once; %zu gateways without the newest list at the end; %.1f words a gateway and second\n",
      e.name.c_str(), e.gateways.count, q.count, q.p50, q.p99, q.most, acts, doubled, behind,
      words / seconds / e.gateways.count);
  return doubled + behind == 0 ? 0 : 1;
}

// Subsets alone, in the model.
int RunSubsets(const Options& o) {
  std::printf(
      "seed %llu\n| gateways | hosts | subset | gateways a host: least, mean, most | pairs moved (least "
      "possible): gateway left | gateway joined | host left | host joined | all places chosen in | cold "
      "host: used by, budget used, model took |\n"
      "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
      static_cast<unsigned long long>(o.from_seed));
  const auto moved = [](double share, double least) {
    return fmt::format("{:.2f}% ({:.2f}%)", 100 * share, 100 * least);
  };
  for (const auto& [gateways, hosts, size] :
       std::initializer_list<std::array<std::size_t, 3>>{{2, 50, 25},
                                                         {4, 50, 15},
                                                         {8, 50, 12},
                                                         {16, 50, 12},
                                                         {3, 10, 20},
                                                         {48, 200, 20},
                                                         {100, 1000, 20},
                                                         {300, 200, 20},
                                                         {1000, 1000, 20},
                                                         {1000, 10000, 20},
                                                         {1000, 10000, 100}}) {
    const lab::SubsetFigures f = lab::ModelSubsets(gateways, hosts, size, o.from_seed);
    const lab::ColdFigures cold = lab::ModelCold(gateways, hosts, size, o.from_seed);
    std::cout << fmt::format(
                     "| {} | {} | {} | {:.0f}, {:.2f}, {:.0f} | {} | {} | {} | {} | {:.1f} ms | {}, {:.0f}%, "
                     "{:.1f} s |\n",
                     gateways, hosts, size, f.least, f.mean, f.most, moved(f.left, f.left_least),
                     moved(f.joined, f.joined_least), moved(f.host_left, f.host_left_least),
                     moved(f.host_joined, f.host_joined_least), f.last_ms, cold.users, 100 * cold.use,
                     cold.took_ms / 1000)
              << std::flush;
  }
  return 0;
}

int RunCompare(const Options& o) {
  const lab::Experiment a = lab::ReadExperiment(o.file), b = lab::ReadExperiment(o.second);
  std::vector<double> goodput[2], worst[2], p99[2];
  bool good = true;
  for (int i = 0; i < o.pairs; ++i) {
    const std::uint64_t seed = o.from_seed + static_cast<std::uint64_t>(i);
    for (int k = 0; k < 2; ++k) {
      const int which = (i + k) % 2;  // who goes first takes turns
      const lab::Experiment& e = which == 0 ? a : b;
      const lab::Run run =
          lab::Play(e, seed, PlayOptionsOf(o, fmt::format("pair {} of {}, {}", i + 1, o.pairs, e.name)));
      const lab::Report report = lab::MakeReport(run);
      if (run.interrupted) return 3;
      good = good && report.valid;
      goodput[which].push_back(100 * report.all.goodput());
      worst[which].push_back(100 * report.worst_window);
      p99[which].push_back(report.all.latency.p99);
      std::printf("seed %llu %s: goodput %.2f%%, worst window %.2f%%, p99 %.1f ms%s%s\n",
                  static_cast<unsigned long long>(seed), e.file.c_str(), goodput[which].back(),
                  worst[which].back(), p99[which].back(), report.valid ? "" : ", INVALID",
                  lab::Clean(report.findings) ? "" : ", rules broken");
      std::fflush(stdout);
    }
  }
  std::printf("second less first, with 95%% confidence over %d pairs:\n", o.pairs);
  for (const auto& [name, unit, values] :
       {std::tuple("goodput", "points", goodput), std::tuple("worst window", "points", worst),
        std::tuple("p99", "ms", p99)}) {
    const lab::Difference d = lab::Paired(values[0], values[1]);
    std::printf("  %-13s %+8.2f +- %.2f %s%s\n", name, d.mean, d.half_width, unit,
                d.clear() ? "" : " (no clear difference)");
  }
  return good ? 0 : 1;
}

// A table for the docs: one row an experiment, headed by what it was measured on.
int RunTable(const Options& o) {
  std::ifstream cpus("/proc/cpuinfo");
  std::string line, model = "unknown";
  while (std::getline(cpus, line)) {
    if (line.starts_with("model name")) model = line.substr(line.find(':') + 2);
  }
  const std::time_t now = std::time(nullptr);
  std::cout << fmt::format("{:%Y-%m-%d}, {} cores ({})\n\n", fmt::gmtime(now),
                           std::thread::hardware_concurrency(), model)
            << "| experiment | seed | requests | goodput | worst 10 s | p50 ms | p99 ms | attempts | CPU us "
               "a request | most MB "
               "| rules |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
  bool good = true;
  for (const std::string& file : o.files) {
    const lab::Experiment e = lab::ReadExperiment(file);
    const lab::Run run = lab::Play(e, o.seed.value_or(e.seed), PlayOptionsOf(o, e.name));
    if (run.interrupted) return 3;
    const lab::Report r = lab::MakeReport(run);
    double cpu = 0, peak = 0;
    for (const lab::GatewayCost& g : r.gateways)
      cpu += g.usage.cpu_ms, peak = std::max(peak, g.usage.peak_kb / 1024);
    const std::string broken = BrokenRules(r);
    good = good && r.valid && broken == "kept";
    std::cout
        << fmt::format(
               "| {} | {} | {} | {:.1f}% | {:.1f}% | {:.1f} | {:.1f} | {:.2f} | {:.0f} | {:.1f} | {}{} |\n",
               r.name, r.seed, r.all.asked, 100 * r.all.goodput(), 100 * r.worst_window, r.all.latency.p50,
               r.all.latency.p99, r.attempts,
               1000 * cpu / std::max<double>(1, static_cast<double>(r.all.asked)), peak, broken,
               r.valid ? "" : " (invalid run)")
        << std::flush;
  }
  return good ? 0 : 1;
}

int RunVerify(const Options& o) {
  bool good = true;
  std::printf("seed %llu, %.0f s of load each; the three figures must lie within 5%% of theory\n",
              static_cast<unsigned long long>(o.from_seed), o.seconds);
  std::printf("%-6s %5s %9s  %21s  %21s  %21s  %6s  %s\n", "queue", "load", "samples",
              "mean ms: theory, seen", "p50 ms: theory, seen", "p99 ms: theory, seen", "worst",
              "generator late p99");
  for (const lab::QueueCase& queue : lab::StandardQueues()) {
    const lab::QueueResult r = lab::VerifyQueue(queue, o.from_seed, o.seconds);
    const bool close = r.worst <= 0.05;
    good = good && close;
    std::printf("%-6s %5.1f %9zu  %10.2f %10.2f  %10.2f %10.2f  %10.2f %10.2f  %5.1f%%  %.3f ms %s\n",
                queue.name.c_str(), queue.load, r.samples, r.theory.mean, r.seen.mean, r.theory.p50,
                r.seen.p50, r.theory.p99, r.seen.p99, 100 * r.worst, r.late_p99, close ? "" : "TOO FAR OFF");
    std::fflush(stdout);
  }
  const lab::FreezeResult f = lab::VerifyFreeze(o.from_seed);
  const bool late =
      f.due_within > 0 && static_cast<double>(f.late_enough) >= 0.99 * static_cast<double>(f.due_within);
  std::printf("freeze of 5 s at 200/s: %zu due within it, %zu (%.1f%%) answered no sooner than its end%s\n",
              f.due_within, f.late_enough,
              100.0 * static_cast<double>(f.late_enough) /
                  static_cast<double>(std::max<std::size_t>(1, f.due_within)),
              late ? "" : " TOO FEW");
  std::printf("  p99 from when due %.0f ms; one closed-loop connection would claim %.0f ms\n", f.open_p99,
              f.closed_p99);
  return good && late ? 0 : 1;
}

int RunRate(const Options& o) {
  const lab::RateResult r = lab::MeasureRate(o.rate, o.seconds, o.from_seed);
  std::printf(
      "offered %.0f/s for %.0f s: late by p50 %.3f ms, p99 %.3f ms; %.0f%% of one core; %.2f%% served\n",
      r.offered, r.seconds, r.late_p50, r.late_p99, 100 * r.cpu_share, 100 * r.served);
  return 0;
}

int RunCost(const Options& o) {
  const lab::CostResult r = lab::MeasureCost(o.cost, o.from_seed);
  std::printf("%zu GETs on %d kept connections to 4 trivial hosts, closed loop\n", o.cost.requests,
              o.cost.connections);
  for (const lab::CostRound& round : r.rounds) {
    std::printf("  gateway %.1f us of CPU a request, %.2f s; bare relay %.1f us, %.2f s; ratio %.2f\n",
                round.gateway_us, round.gateway_seconds, round.relay_us, round.relay_seconds,
                round.relay_us / round.gateway_us);
  }
  std::printf("median ratio %.2f; the gateway's CPU was at work for %.0f%% of the time\n", r.ratio,
              100 * r.limited_by_cpu);
  std::printf("memory of the process: %.1f KiB an idle connection, %.1f KiB a busy one\n", r.idle_kb,
              r.busy_kb);
  return 0;
}

int RunTunnelDrains(const Options& o) {
  const lab::DrainResult r = lab::TryTunnelDrains(o.trials, o.from_seed);
  std::printf(
      "seed %llu: %zu trials, %zu of them behind a parent proxy (silent %zu times, refused %zu times)\n",
      static_cast<unsigned long long>(o.from_seed), r.trials, r.far, r.parent_silent, r.parent_refused);
  std::printf("%zu tunnels asked for: %zu opened, %zu refused, %zu without a reply\n", r.asked, r.opened,
              r.refused, r.unanswered);
  std::printf("opened later than 1 s after the news: %zu; open 1 s after it: %zu\n", r.late_opens,
              r.outlived);
  std::printf("counted by the gateway: %zu of %zu asked, %zu of %zu ended\n", r.counted, r.asked, r.ended,
              r.opened);
  return r.good() ? 0 : 1;
}

int RunTunnelUpgrade(const Options& o) {
  const lab::TunnelUpgradeResult r = lab::TryTunnelUpgrade(o.tunnels, o.from_seed);
  std::printf("%zu tunnels, %.1f MB checked: %zu broken, %zu with a wrong byte, %zu with bytes missing\n",
              r.tunnels, static_cast<double>(r.bytes) / 1e6, r.broken, r.wrong, r.short_of);
  std::printf("passed on: %zu; the old version ended %.0f ms after SIGTERM\n", r.passed_on,
              r.old_ended_after);
  return r.good() ? 0 : 1;
}

int RunTunnelCost(const Options& o) {
  const lab::TunnelCostResult r = lab::MeasureTunnelCost(o.tunnel_cost, o.from_seed);
  for (const auto& round : r.rounds) {
    std::printf("  tunnel %.0f MB for a second of CPU, bare relay %.0f MB; ratio %.2f\n", round.tunnel_mb,
                round.relay_mb, round.tunnel_mb / round.relay_mb);
  }
  std::printf("median ratio %.2f; %.1f KiB of the process an idle tunnel\n", r.ratio, r.idle_kb);
  std::printf("%zu tunnels at once: %.1f MB when all were open, %.1f MB after %.0f s with traffic\n", r.held,
              r.held_mb, r.held_mb_after, o.tunnel_cost.hold_seconds);
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  ::signal(SIGPIPE, SIG_IGN);
  CLI::App app{"meadowyard-lab: a stand-in fleet, open-loop load and experiments", "meadowyard-lab"};
  app.set_version_flag("--version", "meadowyard-lab " MEADOWYARD_VERSION);
  app.require_subcommand(1);
  Options o;
  int (*verb)(const Options&) = nullptr;
  const auto add = [&](const char* name, const char* about, int (*run)(const Options&)) {
    auto* const command = app.add_subcommand(name, about);
    command->callback([&verb, run] { verb = run; });
    return command;
  };
  const auto with_file = [&](CLI::App* command) {
    command->add_option("FILE", o.file, "the experiment's file")->required();
    command->add_option("--seed", o.seed, "in place of the file's");
  };
  const auto with_report = [&](CLI::App* command) {
    command->add_option("--json", o.json, "write the report there as JSON");
    command->add_option("--html", o.html, "write the report there as a page");
    command->add_flag("--quiet", o.quiet, "no progress");
  };
  auto* const run = add("run", "play an experiment with real gateways, and judge it", RunExperiment);
  with_file(run);
  with_report(run);
  run->add_option("--keep", o.keep, "keep the gateways' files and logs in this folder");
  run->add_option("--trace", o.trace, "write what the referee judges by there, a line of JSON a record");
  auto* const fleet =
      add("fleet", "a file at several numbers of gateways, without and with peers: what adds up", RunFleet);
  with_file(fleet);
  fleet->add_option("--gateways", o.gateways, "in place of the file's number")
      ->delimiter(',')
      ->check(CLI::Range(1, 64));
  fleet->add_option("--trace", o.trace, "write the traces with peers to files that begin so");
  fleet->add_flag("--quiet", o.quiet, "no progress");
  auto* const halls =
      add("halls", "a file with [zones], in turns without and with it: failover between halls", RunHalls);
  with_file(halls);
  halls->add_option("--seeds", o.pairs, "how many")->check(CLI::Range(1, 1000));
  halls->add_flag("--quiet", o.quiet, "no progress");
  auto* const duty = add("duty", "a file with peers.share_list: how a duty is handed on", RunDuty);
  with_file(duty);
  duty->add_option("--seeds", o.pairs, "how many")->check(CLI::Range(1, 1000));
  duty->add_option("--gateways", o.gateways, "in place of the file's number")->check(CLI::Range(1, 64));
  duty->add_flag("--quiet", o.quiet, "no progress");
  auto* const subsets =
      add("subsets", "subsets in the model, to 1,000 gateways and 10,000 hosts", RunSubsets);
  subsets->add_option("--seed", o.from_seed, "of the hosts");
  auto* const hosts = add("hosts", "the stand-in fleet and discovery alone, in the foreground", RunHosts);
  with_file(hosts);
  hosts->add_option("--folder", o.folder, "where configurations for gateways are written");
  auto* const load = add("load", "the load alone, to gateways that are there", RunLoad);
  with_file(load);
  with_report(load);
  load->add_option("--to", o.targets, "addresses and ports")->required()->delimiter(',');
  with_file(add("schedule", "print what would be asked, a line a request", RunSchedule));
  auto* const table = add("table", "play experiments and print a row each", RunTable);
  table->add_option("FILES", o.files, "the experiments' files")->required();
  table->add_option("--seed", o.seed, "in place of the files'");
  table->add_flag("--quiet", o.quiet, "no progress");
  auto* const compare =
      add("compare", "two files on the same seeds: the difference with its confidence", RunCompare);
  compare->add_option("FIRST", o.file, "an experiment's file")->required();
  compare->add_option("SECOND", o.second, "another")->required();
  compare->add_option("--pairs", o.pairs, "how many seeds")->check(CLI::Range(2, 1000));
  compare->add_option("--seed", o.from_seed, "the first one");
  compare->add_flag("--quiet", o.quiet, "no progress");
  auto* const verify = add("verify", "hold the lab against queues whose answers are known", RunVerify);
  verify->add_option("--seed", o.from_seed, "of the draws");
  verify->add_option("--seconds", o.seconds, "of load for each queue")->check(CLI::Range(1.0, 3600.0));
  auto* const rate = add("rate", "the generator alone at a rate, and how late it is", RunRate);
  rate->add_option("--rate", o.rate, "requests a second")->check(CLI::Range(1.0, 1e6));
  rate->add_option("--seconds", o.seconds, "how long")->check(CLI::Range(1.0, 600.0));
  auto* const cost = add("cost", "CPU a request and memory a connection, beside a bare relay", RunCost);
  cost->add_option("--requests", o.cost.requests, "each round")->check(CLI::Range(100, 10000000));
  cost->add_option("--connections", o.cost.connections, "kept")->check(CLI::Range(1, 1000));
  cost->add_option("--repeats", o.cost.repeats, "rounds")->check(CLI::Range(1, 100));
  cost->add_option("--program", o.cost.program, "the gateway's command");
  auto* const drains = add("tunnel-drains", "drains at random moments of tunnels' lives", RunTunnelDrains);
  drains->add_option("--trials", o.trials, "how many")->check(CLI::Range(1, 100000));
  drains->add_option("--seed", o.from_seed, "of the moments");
  auto* const upgrade = add("tunnel-upgrade", "a new version under checked streams", RunTunnelUpgrade);
  upgrade->add_option("--tunnels", o.tunnels, "open at once")->check(CLI::Range(1, 2900));
  auto* const tunnel_cost =
      add("tunnel-cost", "bytes a second of CPU beside a bare relay, memory", RunTunnelCost);
  tunnel_cost->add_option("--megabytes", o.tunnel_cost.megabytes, "each round")->check(CLI::Range(1, 100000));
  tunnel_cost->add_option("--repeats", o.tunnel_cost.repeats, "rounds")->check(CLI::Range(1, 100));
  tunnel_cost->add_option("--held", o.tunnel_cost.held, "open at once")->check(CLI::Range(1, 2900));
  tunnel_cost->add_option("--hold-s", o.tunnel_cost.hold_seconds, "how long")->check(CLI::Range(1.0, 3600.0));
  auto* const faulty =
      add("faulty-gateway", "a gateway that breaks a rule, for the referee's own test", nullptr);
  faulty->add_option("--fault", o.fault, "duplicate, lose, drain, hold, twice, swap or flood");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : 2;
  }
  try {
    if (verb != nullptr) return verb(o);
    lab::RunFaultyGateway(lab::ParseFault(o.fault));
    return 0;
  } catch (const lab::SpecError& error) {
    std::fprintf(stderr, "meadowyard-lab: %s\n", error.what());
    return 2;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "meadowyard-lab: %s\n", error.what());
    return 1;
  }
}
