#include "lab/cost.hpp"

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <filesystem>
#include <stdexcept>

#include "lab/fleet.hpp"
#include "lab/gateways.hpp"
#include "lab/random.hpp"
#include "lab/relay.hpp"
#include "lab/stream.hpp"

namespace meadowyard::lab {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr Millis kMostTime = 120000;  // of one round
constexpr std::size_t kHeld = 200;    // connections whose memory is measured
constexpr std::size_t kWarmUp = 3000;

std::string Get(std::uint64_t id, Millis work) {
  return fmt::format(
      "GET /api HTTP/1.1\r\nHost: shop.lab\r\nReq-Id: {:016x}\r\nReq-Kind: view\r\nReq-Deadline: 60000m\r\n"
      "Req-Extra: work={:.1f},answer=100\r\n\r\n",
      id, work);
}

// Asks as fast as the other side answers, on connections that are kept.
class Driver {
 public:
  Driver(const std::string& address, std::size_t connections, std::uint64_t seed) : ids_(seed, address) {
    for (std::size_t i = 0; i < connections; ++i) {
      asio::ip::tcp::socket socket(io_);
      socket.connect(ToEndpoint(address));
      streams_.push_back(std::make_shared<ClientStream>(std::move(socket)));
      streams_.back()->Start({[this, i](ClientStream::Message& message, Millis, Millis) {
                                served_ += message.result_int() == 200;
                                ++answered_;
                                Next(i);
                              },
                              nullptr, [this](ClientStream::End) { ended_ = true; }});
    }
  }
  // Seconds that `requests` took.
  double Ask(std::size_t requests, Millis work = 0) {
    work_ = work;
    left_ = requests;
    answered_ = served_ = 0;
    const std::size_t wanted = requests;
    const Millis start = Clock();
    for (std::size_t i = 0; i < streams_.size(); ++i) Next(i);
    while (answered_ < wanted && !ended_ && Clock() - start < kMostTime) io_.run_one();
    if (served_ < wanted)
      throw std::runtime_error(fmt::format("{} of {} requests were served", served_, wanted));
    return (Clock() - start) / 1000;
  }
  // One request on each, that is not waited for.
  void Leave(Millis work) {
    for (const auto& stream : streams_) stream->Write(Get(ids_.Bits(), work));
    io_.run_for(std::chrono::milliseconds(300));
  }

 private:
  void Next(std::size_t i) {
    if (left_ == 0) return;
    --left_;
    streams_[i]->Write(Get(ids_.Bits(), work_));
  }
  asio::io_context io_{1};
  Random ids_;
  std::vector<std::shared_ptr<ClientStream>> streams_;
  std::size_t left_ = 0, answered_ = 0, served_ = 0;
  Millis work_ = 0;
  bool ended_ = false;
};

}  // namespace

CostResult MeasureCost(const CostOptions& options, std::uint64_t seed) {
  Experiment e;
  ClassSpec c;
  c.name = "view";
  c.aim = c.deadline = 60000;
  e.classes = {c};
  KindSpec kind;
  kind.count = 4;
  kind.cores = 1000;
  e.fleet.kinds = {kind};
  e.gateways.sockets = 4096;
  e.gateways.memory_mb = 1024;
  e.gateways.program = options.program;
  const std::string folder =
      (std::filesystem::temp_directory_path() / fmt::format("meadowyard-cost-{}", ::getpid())).string();
  FleetProcess fleet(e, seed);
  Gateways gateways(e, seed, fleet.discovery(), fleet.lists(), fleet.peers(), folder,
                    [](std::size_t, bool) {});
  gateways.Start();
  const RelayProcess relay(fleet.hosts(), LinkSpec(), seed, false);
  CostResult result;
  const auto connections = static_cast<std::size_t>(options.connections);
  const int gateway_pid = gateways.pid(0);
  std::vector<double> ratios;
  {
    Driver through_gateway(gateways.addresses()[0], connections, seed),
        through_relay(relay.addresses()[0], connections, seed + 1);
    through_gateway.Ask(kWarmUp);
    through_relay.Ask(kWarmUp);
    for (int i = 0; i < options.repeats; ++i) {
      CostRound round;
      const double n = static_cast<double>(options.requests);
      double before = UsageOf(gateway_pid).cpu_ms;
      round.gateway_seconds = through_gateway.Ask(options.requests);
      round.gateway_us = 1000 * (UsageOf(gateway_pid).cpu_ms - before) / n;
      before = UsageOf(relay.pid()).cpu_ms;
      round.relay_seconds = through_relay.Ask(options.requests);
      round.relay_us = 1000 * (UsageOf(relay.pid()).cpu_ms - before) / n;
      ratios.push_back(round.relay_us / round.gateway_us);
      result.limited_by_cpu =
          std::max(result.limited_by_cpu, round.gateway_us * n / 1e6 / round.gateway_seconds);
      result.rounds.push_back(round);
    }
  }
  std::sort(ratios.begin(), ratios.end());
  result.ratio = ratios[ratios.size() / 2];
  const double bare = UsageOf(gateway_pid).resident_kb;
  Driver held(gateways.addresses()[0], kHeld, seed + 2);
  held.Ask(kHeld);
  const double idle = UsageOf(gateway_pid).resident_kb;
  held.Leave(20000);
  const double busy = UsageOf(gateway_pid).resident_kb;
  result.idle_kb = (idle - bare) / kHeld;
  result.busy_kb = (busy - bare) / kHeld;
  gateways.Kill();
  std::error_code ignored;
  std::filesystem::remove_all(folder, ignored);
  return result;
}

}  // namespace meadowyard::lab
