#include "lab/tunnels.hpp"

#include <signal.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <stdexcept>

#include "lab/random.hpp"
#include "lab/relay.hpp"
#include "lab/stream.hpp"
#include "lab/tunnel_bed.hpp"

namespace meadowyard::lab {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using nlohmann::json;

constexpr Millis kDrainLimit = 1050;   // 1 s, and 50 ms for the way
constexpr std::size_t kAtOnce = 10;    // trials of a round, each with a host of its own
constexpr std::size_t kEarly = 20000;  // of data that each client sends with the end of its handshake
constexpr std::size_t kClients = 5;    // of each trial
constexpr Millis kNewsWithin = 150;    // of a round's start
constexpr Millis kRound = kNewsWithin + kDrainLimit + 250;
constexpr std::size_t kPiece = 2048;  // of a checked stream
constexpr Millis kPieceEvery = 100;

void After(asio::io_context& io, Millis wait, std::function<void()> then) {
  const auto timer = std::make_shared<asio::steady_timer>(io, Wait(wait));
  timer->async_wait([timer, then = std::move(then)](error_code ec) {
    if (!ec) then();
  });
}

// How a host is told to be left.
enum class News { kByHand, kDraining, kGone };

struct Trial {
  std::string id() const { return (far ? "f" : "h") + std::to_string(host); }

  std::size_t host = 0, visits_before = 0;
  bool far = false;  // behind the parent proxy
  News news = News::kByHand;
  Millis told = 0;
  std::vector<std::shared_ptr<TunnelClient>> clients;
};

// What the gateway says became of those that asked: each where it was opened or refused.
std::size_t Counted(TunnelBed& bed) {
  const json asked = json::parse(bed.Get("/status/tunnels"))["asked"];
  std::size_t all = 0;
  for (const char* what : {"opened", "turned_away", "unreachable", "overdue"})
    all += asked.value(what, std::size_t{0});
  return all;
}

// Of those opened, what became of them.
std::size_t Ended(TunnelBed& bed) {
  const json status = json::parse(bed.Get("/status/tunnels"));
  std::size_t all = 0;
  for (const auto& [cause, n] : status["ended"].items()) all += n.get<std::size_t>();
  return all;
}

// A client whose handshake comes in three pieces.
void Ask(asio::io_context& io, TunnelBed& bed, Trial& trial, Random& random, DrainResult& result) {
  const std::string call = TunnelClient::Call(trial.id() + ".internal");
  std::size_t first = random.Below(call.size()) + 1, second = random.Below(call.size()) + 1;
  if (second < first) std::swap(first, second);
  const Millis start = random.Between(0, 80), pause = random.Between(0, 30);
  After(io, start, [&io, &bed, &trial, &result, call, first, second, pause] {
    ++result.asked;
    ++result.unanswered;
    const auto client =
        std::make_shared<TunnelClient>(io, bed.listener(),
                                       TunnelClient::Handlers{[&result](bool opened) {
                                                                --result.unanswered;
                                                                ++(opened ? result.opened : result.refused);
                                                              },
                                                              nullptr, [](bool) {}});
    trial.clients.push_back(client);
    client->Say(call.substr(0, first));
    After(io, pause, [client, call, first, second] { client->Say(call.substr(first, second - first)); });
    After(io, 2 * pause,
          [client, call, second] { client->Say(call.substr(second) + std::string(kEarly, 'x')); });
  });
}

void Tell(TunnelBed& bed, Trial& trial) {
  if (trial.news != News::kByHand)
    return bed.Phase(trial.host, trial.news == News::kDraining ? "draining" : "removed");
  bed.Put("/maintenance/enter?target=" + trial.id());
  trial.told = Clock();
}

void JudgeTrial(TunnelBed& bed, Trial& trial, Millis start, DrainResult& result) {
  for (const Told& told : bed.ledger().told) {
    if (trial.told <= 0 && told.at >= start && !told.up && told.host == static_cast<int>(trial.host))
      trial.told = told.at;
  }
  if (trial.told <= 0) throw std::runtime_error("discovery has not told the gateway");
  const auto& visits = bed.target(trial.host).visits();
  for (std::size_t i = trial.visits_before; i < visits.size(); ++i) {
    result.late_opens += visits[i]->came > trial.told + kDrainLimit;
    result.outlived += visits[i]->went <= 0 || visits[i]->went > trial.told + kDrainLimit;
  }
}

// What a stream says next, from its number and nothing else.
char ByteOf(std::uint64_t& state) {
  state ^= state << 13, state ^= state >> 7, state ^= state << 17;
  return static_cast<char>(state >> 32);
}

struct Stream {
  std::shared_ptr<TunnelClient> client;
  std::uint64_t says = 0, hears = 0;
  std::uint64_t said = 0, heard = 0;
  bool open = false, wrong = false, ended = false, reset = false;
};

void SayPiece(Stream& s) {
  std::string piece(kPiece, 0);
  for (char& c : piece) c = ByteOf(s.says);
  s.said += kPiece;
  s.client->Say(std::move(piece));
}

std::vector<std::unique_ptr<Stream>> OpenStreams(asio::io_context& io, TunnelBed& bed, std::size_t n) {
  std::vector<std::unique_ptr<Stream>> streams;
  std::size_t open = 0;
  for (std::size_t i = 0; i < n; ++i) {
    streams.push_back(std::make_unique<Stream>());
    Stream& s = *streams.back();
    s.says = s.hears = i * 2654435761u + 88172645463325252ULL;
    s.client = std::make_shared<TunnelClient>(io, bed.listener(),
                                              TunnelClient::Handlers{[&s, &open](bool opened) {
                                                                       s.open = opened;
                                                                       ++open;
                                                                     },
                                                                     [&s](std::string_view bytes) {
                                                                       for (const char c : bytes)
                                                                         s.wrong =
                                                                             s.wrong || c != ByteOf(s.hears);
                                                                       s.heard += bytes.size();
                                                                     },
                                                                     [&s](bool reset) {
                                                                       s.ended = true;
                                                                       s.reset = reset;
                                                                     }});
    s.client->Say(TunnelClient::Call("any.internal"));
    if (i % 50 == 49)
      bed.Until(10000, [&] { return open == i + 1; });  // no herd: it is not what is asked here
  }
  if (!bed.Until(10000, [&] { return open == n; })) throw std::runtime_error("not all tunnels had a reply");
  const auto refused = std::count_if(streams.begin(), streams.end(), [](const auto& s) { return !s->open; });
  if (refused > 0) throw std::runtime_error(std::to_string(refused) + " tunnels were refused");
  return streams;
}

// Reads as fast as it can from servers that send without end; until so many bytes have come.
class Gulp {
 public:
  Gulp(asio::io_context& io, const std::string& address, bool socks, std::size_t connections) : io_(io) {
    for (std::size_t i = 0; i < connections; ++i) {
      sockets_.push_back(std::make_unique<asio::ip::tcp::socket>(io));
      sockets_.back()->connect(ToEndpoint(address));
      if (socks) asio::write(*sockets_.back(), asio::buffer(TunnelClient::Call("any.internal")));
      Read(*sockets_.back());
    }
  }
  ~Gulp() {
    error_code ignored;
    for (const auto& socket : sockets_) socket->close(ignored);
    io_.run_for(std::chrono::milliseconds(50));
  }
  void Take(std::uint64_t bytes) {
    const std::uint64_t until = taken_ + bytes;
    const Millis end = Clock() + 120000;
    while (taken_ < until && Clock() < end) io_.run_one_for(std::chrono::milliseconds(100));
    if (taken_ < until) throw std::runtime_error("the bytes did not come");
  }

 private:
  void Read(asio::ip::tcp::socket& socket) {
    socket.async_read_some(asio::buffer(piece_), [this, &socket](error_code ec, std::size_t n) {
      if (ec) return;
      taken_ += n;
      Read(socket);
    });
  }
  asio::io_context& io_;
  std::vector<std::unique_ptr<asio::ip::tcp::socket>> sockets_;
  std::vector<char> piece_ = std::vector<char>(256 * 1024);  // nobody looks at what is in it
  std::uint64_t taken_ = 0;
};

}  // namespace

DrainResult TryTunnelDrains(std::size_t trials, std::uint64_t seed) {
  asio::io_context io(1);
  const ParentProxy parent(io, {true, 0.1, 0.1}, seed);
  using Habit = TunnelTarget::Habit;
  std::vector<Habit> habits;
  for (std::size_t i = 0; i < kAtOnce; ++i) {
    constexpr Habit kAll[] = {Habit::kEcho, Habit::kSink, Habit::kSlow, Habit::kSilent};
    habits.push_back(kAll[i % std::size(kAll)]);
  }
  TunnelBed bed(io, "drains", habits, &parent);
  const auto gateway = bed.Start();
  DrainResult result;
  Random random(seed, "tunnel drains");
  while (result.trials < trials) {
    std::vector<Trial> round(std::min(kAtOnce, trials - result.trials));
    const Millis start = Clock();
    for (std::size_t i = 0; i < round.size(); ++i) {
      Trial& trial = round[i];
      trial.host = i;
      trial.visits_before = bed.target(i).visits().size();
      trial.news = static_cast<News>(random.Below(3));
      trial.far = trial.news == News::kByHand && random.Chance(0.5);  // discovery knows nothing of those
      result.far += trial.far;
      for (std::size_t k = 0; k < kClients; ++k) Ask(io, bed, trial, random, result);
      After(io, random.Between(0, kNewsWithin), [&bed, &trial] { Tell(bed, trial); });
    }
    io.run_for(Wait(kRound));
    for (Trial& trial : round) {
      JudgeTrial(bed, trial, start, result);
      for (const auto& client : trial.clients) client->Close();
      if (trial.news == News::kByHand) bed.Put("/maintenance/exit?target=" + trial.id());
      if (trial.news != News::kByHand) bed.Phase(trial.host, "up");
    }
    result.trials += round.size();
    io.run_for(Wait(300));
  }
  bed.Until(3000, [&] { return Counted(bed) >= result.asked; });
  result.counted = Counted(bed);
  result.ended = Ended(bed);
  result.parent_silent = parent.silent();
  result.parent_refused = parent.refused();
  return result;
}

TunnelUpgradeResult TryTunnelUpgrade(std::size_t tunnels, std::uint64_t) {
  asio::io_context io(1);
  TunnelBed bed(io, "tunnel-upgrade", std::vector(4, TunnelTarget::Habit::kEcho));
  auto before = bed.Start();
  const auto streams = OpenStreams(io, bed, tunnels);
  bool flowing = true;
  std::function<void()> say = [&] {
    for (const auto& s : streams) {
      if (flowing && !s->ended) SayPiece(*s);
    }
    if (flowing) After(io, kPieceEvery, say);
  };
  say();
  io.run_for(Wait(1500));
  const auto after = bed.Start();
  io.run_for(Wait(300));
  const Millis told = Clock();
  before->Signal(SIGTERM);
  bed.Until(8000, [&] { return before->Ended(); });
  TunnelUpgradeResult result;
  result.old_ended_after = Clock() - told;
  io.run_for(Wait(1500));
  flowing = false;
  bed.Until(5000, [&] {
    return std::all_of(streams.begin(), streams.end(),
                       [](const auto& s) { return s->ended || s->heard == s->said; });
  });
  result.passed_on = json::parse(bed.Get("/status/tunnels"))["asked"].value("adopted", std::size_t{0});
  result.tunnels = tunnels;
  for (const auto& s : streams) {
    result.broken += s->ended;
    result.wrong += s->wrong;
    result.short_of += !s->ended && s->heard != s->said;
    result.bytes += s->heard;
    s->client->Close();
  }
  return result;
}

TunnelCostResult MeasureTunnelCost(const TunnelCostOptions& options, std::uint64_t seed) {
  TunnelCostResult result;
  const double bytes = static_cast<double>(options.megabytes) * 1e6;
  {
    asio::io_context io(1);
    TunnelBed bed(io, "tunnel-cost", std::vector(2, TunnelTarget::Habit::kSource));
    const auto gateway = bed.Start();
    const RelayProcess relay({bed.target(0).address(), bed.target(1).address()}, LinkSpec(), seed, false);
    std::vector<double> ratios;
    for (int i = 0; i < options.repeats; ++i) {
      const auto carried = [&](const std::string& address, bool socks, int pid) {
        Gulp gulp(io, address, socks, options.connections);
        gulp.Take(static_cast<std::uint64_t>(bytes / 10));
        const double start = UsageOf(pid).cpu_ms;
        gulp.Take(static_cast<std::uint64_t>(bytes));
        return bytes / 1e6 / ((UsageOf(pid).cpu_ms - start) / 1000);
      };
      TunnelCostResult::Round round;
      round.tunnel_mb = carried(bed.listener(), true, gateway->pid());
      round.relay_mb = carried(relay.addresses()[0], false, relay.pid());
      ratios.push_back(round.tunnel_mb / round.relay_mb);
      result.rounds.push_back(round);
    }
    std::sort(ratios.begin(), ratios.end());
    result.ratio = ratios[ratios.size() / 2];
  }
  asio::io_context io(1);
  TunnelBed bed(io, "tunnel-hold", std::vector(4, TunnelTarget::Habit::kEcho));
  const auto gateway = bed.Start();
  OpenStreams(io, bed, 50).front()->client->Close();  // what is there once
  const double bare = UsageOf(gateway->pid()).resident_kb;
  const auto streams = OpenStreams(io, bed, options.held);
  const double open = UsageOf(gateway->pid()).resident_kb;
  result.held = options.held;
  result.idle_kb = (open - bare) / static_cast<double>(options.held);
  result.held_mb = open / 1024;
  Random random(seed, "hold");
  for (const Millis end = Clock() + options.hold_seconds * 1000; Clock() < end;) {
    for (int k = 0; k < 20; ++k) SayPiece(*streams[random.Below(streams.size())]);
    io.run_for(Wait(50));
  }
  bed.Until(3000, [&] {
    return std::all_of(streams.begin(), streams.end(), [](const auto& s) { return s->heard == s->said; });
  });
  for (const auto& s : streams) {
    if (s->ended || s->wrong || s->heard != s->said)
      throw std::runtime_error("a held tunnel ended, or lost bytes");
  }
  result.held_mb_after = UsageOf(gateway->pid()).resident_kb / 1024;
  return result;
}

}  // namespace meadowyard::lab
