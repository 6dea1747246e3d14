#include "lab/experiment.hpp"

#include <fmt/format.h>
#include <unistd.h>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <optional>

#include "lab/fleet.hpp"
#include "lab/gateways.hpp"
#include "lab/load.hpp"
#include "lab/relay.hpp"

namespace meadowyard::lab {
namespace {

namespace asio = boost::asio;
namespace fs = std::filesystem;
using boost::system::error_code;

constexpr Millis kLead = 300;       // from all being ready to the first arrival's time
constexpr Millis kLookEvery = 500;  // at the gateways' processes
constexpr std::size_t kToldProblems = 5;

class Folder {
 public:
  explicit Folder(const std::string& keep) : path_(keep), keep_(!keep.empty()) {
    if (keep_) {
      fs::create_directories(path_);
      return;
    }
    std::string name = (fs::temp_directory_path() / "meadowyard-lab-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr) throw std::runtime_error("can't make a folder: " + name);
    path_ = name;
  }
  ~Folder() {
    std::error_code ignored;
    if (!keep_) fs::remove_all(path_, ignored);
  }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
  const bool keep_;
};

// Runs the load until its end or an interrupt; calls `look` now and then.
void RunLoad(asio::io_context& io, Load& load, Run& run, const PlayOptions& options,
             const std::function<void()>& look) {
  asio::signal_set interrupts(io, SIGINT, SIGTERM);
  interrupts.async_wait([&](error_code ec, int) {
    if (ec) return;
    run.interrupted = true;
    io.stop();
  });
  asio::steady_timer watch(io);
  int looks = 0;
  std::function<void()> again = [&] {
    watch.expires_after(Wait(kLookEvery));
    watch.async_wait([&](error_code ec) {
      if (ec) return;
      look();
      if (options.progress && ++looks % 2 == 0) {
        options.progress({(Clock() - run.start) / 1000, load.sent(), load.arrivals().size(), load.open()});
      }
      again();
    });
  };
  again();
  load.Begin(run.start, [&] { io.stop(); });
  io.run();
  run.arrivals = load.arrivals();
  run.tries = load.tries();
  run.lateness = load.lateness();
  load.Stop();
}

std::vector<Load::Endpoint> Endpoints(const std::vector<std::string>& addresses) {
  std::vector<Load::Endpoint> all;
  for (const std::string& address : addresses) all.push_back(ToEndpoint(address));
  return all;
}

}  // namespace

std::vector<Arrival> MakeSchedule(const Experiment& e, std::uint64_t seed,
                                  std::vector<std::string>& remarks) {
  if (e.load.trace.empty()) return DrawSchedule(e, seed);
  const fs::path named = e.load.trace;
  const std::string path =
      named.is_absolute() ? named.string() : (fs::path(e.file).parent_path() / named).string();
  std::ifstream stream(path);
  if (!stream) throw SpecError(e.file + ": load.trace: can't read '" + path + "'");
  std::vector<TraceProblem> problems;
  auto arrivals = ReadTrace(e, seed, stream, path, problems);
  for (std::size_t i = 0; i < std::min(problems.size(), kToldProblems); ++i) {
    remarks.push_back(fmt::format("{}:{}: {}", path, problems[i].line, problems[i].why));
  }
  if (problems.size() > kToldProblems)
    remarks.push_back(fmt::format("{}: {} problems in all", path, problems.size()));
  return arrivals;
}

Run Play(const Experiment& e, std::uint64_t seed, const PlayOptions& options) {
  Run run;
  run.experiment = e;
  run.seed = seed;
  auto arrivals = MakeSchedule(e, seed, run.remarks);
  const Folder folder(options.keep);
  FleetProcess fleet(e, seed);
  Load* load = nullptr;
  Gateways gateways(e, seed, fleet.discovery(), fleet.lists(), fleet.peers(), folder.path(),
                    [&](std::size_t g, bool in) {
                      if (load != nullptr) load->Takes(g, in);
                    });
  gateways.Start();
  std::optional<RelayProcess> links;
  if (e.link.on) links.emplace(gateways.addresses(), e.link, seed, true);
  {
    asio::io_context io(1);
    Load generator(io, e, std::move(arrivals), Endpoints(links ? links->addresses() : gateways.addresses()),
                   seed);
    load = &generator;
    run.start = Clock() + kLead;
    fleet.Begin(run.start);
    gateways.Script(io, run.start);
    std::vector<std::unique_ptr<asio::steady_timer>> cuts;
    for (const Trouble& t : e.troubles) {
      if (t.kind != Trouble::Kind::kLinkCut) continue;
      cuts.push_back(std::make_unique<asio::steady_timer>(io, Wait(run.start + t.at - Clock())));
      cuts.back()->async_wait([&links, len = t.len](error_code ec) {
        if (!ec) links->CutFor(len);
      });
    }
    RunLoad(io, generator, run, options, [&] { gateways.Look(); });
    load = nullptr;
    run.gateways = gateways.Stop();
  }
  run.outages = gateways.outages();
  run.seen = gateways.seen();
  run.remarks.insert(run.remarks.end(), gateways.remarks().begin(), gateways.remarks().end());
  run.ledger = fleet.Finish();
  return run;
}

Run PlayLoad(const Experiment& e, std::uint64_t seed, const std::vector<std::string>& targets,
             const PlayOptions& options) {
  Run run;
  run.experiment = e;
  run.seed = seed;
  asio::io_context io(1);
  Load load(io, e, MakeSchedule(e, seed, run.remarks), Endpoints(targets), seed);
  run.start = Clock() + kLead;
  RunLoad(io, load, run, options, [] {});
  return run;
}

}  // namespace meadowyard::lab
