#include "lab/gateways.hpp"

#include <fmt/format.h>
#include <signal.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "lab/relay.hpp"
#include "lab/stream.hpp"

namespace meadowyard::lab {
namespace {

namespace asio = boost::asio;
namespace fs = std::filesystem;
using boost::system::error_code;

constexpr Millis kMostStart = 6000;
constexpr Millis kMostStop = 6000;
constexpr Millis kFrontLeaves = 300;   // from SIGTERM until no new connections come
constexpr Millis kFrontNotices = 500;  // from a death until the front has noticed
constexpr Millis kPoll = 50;
constexpr Millis kWatch = 200;  // from asking what a gateway sees of its peers to the next time

bool Holds(const nlohmann::json& said, const char* duty) {
  return said.contains(duty) && said[duty]["holds"].get<bool>();
}

void Nap(Millis ms) { std::this_thread::sleep_for(Wait(ms)); }

}  // namespace

std::vector<std::string> GatewayCommand(const Experiment& experiment) {
  std::istringstream words(experiment.gateways.program);
  std::vector<std::string> command;
  for (std::string word; words >> word;) command.push_back(word);
  const fs::path here = fs::read_symlink("/proc/self/exe").parent_path();
  if (command.empty()) command = {"meadowyard", "serve", "--log-level", "warn"};
  if (command.front().find('/') == std::string::npos) command.front() = (here / command.front()).string();
  return command;
}

Gateways::Gateways(const Experiment& experiment, std::uint64_t seed,
                   const std::vector<std::string>& discovery, const std::vector<nlohmann::json>& known,
                   const std::vector<std::vector<std::string>>& peers, std::string folder,
                   std::function<void(std::size_t, bool)> takes)
    : experiment_(experiment),
      seed_(seed),
      discovery_(discovery),
      peers_(peers),
      folder_(std::move(folder)),
      takes_(std::move(takes)) {
  for (int g = 0; g < experiment_.gateways.count; ++g) {
    Gateway gateway;
    gateway.folder = folder_ + "/gateway" + std::to_string(g);
    gateway.address = FreeAddress();
    fs::create_directories(gateway.folder);
    const nlohmann::json file = {
        {"name", "g" + std::to_string(g)},
        {"listen", gateway.address},
        {"discovery", discovery_[static_cast<std::size_t>(g)]},
        {"seed", fmt::format("{:x}", seed_ * 1000 + static_cast<std::uint64_t>(g))},
        {"limits",
         {{"memory_mb", experiment_.gateways.memory_mb}, {"sockets", experiment_.gateways.sockets}}},
        {"known", known[static_cast<std::size_t>(g)]},
        {"settings", GatewaySettings(experiment_, g)}};
    std::ofstream(gateway.folder + "/config.json") << file.dump(2);
    addresses_.push_back(gateway.address);
    all_.push_back(std::move(gateway));
    if (!peers_.empty()) WritePeers(static_cast<std::size_t>(g));
  }
}

// Each reaches the others through links of its own, so each has a file of its own.
void Gateways::WritePeers(std::size_t g) const {
  const PeersSpec& spec = experiment_.peers;
  std::ofstream file(all_[g].folder + "/peers.toml");
  file << fmt::format("[peers]\nshare_list = {}\nlease_ms = {}\n", spec.share_list, spec.lease);
  file << fmt::format("listen = \"{}\"\nsubset = {}\nbeat_ms = {}\nsilent_ms = {}\ngone_ms = {}\n",
                      peers_[g][g], spec.subset, spec.beat, spec.silent, spec.gone);
  const bool old =
      std::find(spec.old_lists.begin(), spec.old_lists.end(), static_cast<int>(g)) != spec.old_lists.end();
  for (std::size_t p = 0; p + (old ? 1 : 0) < peers_[g].size(); ++p)
    file << fmt::format("[[peer]]\nname = \"g{}\"\naddress = \"{}\"\n", p, peers_[g][p]);
  const ZonesSpec& zones = experiment_.zones;
  if (!zones.on) return;
  file << fmt::format("[zones]\nspare = {}\npanic = {}\nmost_extra = {}\nhold_ms = {}\n", zones.spare,
                      zones.panic, zones.most_extra, zones.hold);
  for (const auto& region : zones.regions)
    file << "[[region]]\nzones = " << nlohmann::json(region).dump() << "\n";
}

void Gateways::Launch(std::size_t g) {
  Gateway& gateway = all_[g];
  gateway.admin = FreeAddress();
  std::map<std::string, std::string> variables = {{"NODE_CONFIG", gateway.folder + "/config.json"},
                                                  {"NODE_NAME", "g" + std::to_string(g)},
                                                  {"NODE_LISTEN", gateway.address},
                                                  {"NODE_DISCOVERY", discovery_[g]},
                                                  {"NODE_ADMIN", gateway.admin},
                                                  {"TMPDIR", gateway.folder}};
  if (!peers_.empty()) variables["MEADOWYARD_PEERS"] = gateway.folder + "/peers.toml";
  gateway.process = std::make_unique<Child>(GatewayCommand(experiment_), variables, gateway.folder + "/log");
}

void Gateways::Start() {
  for (std::size_t g = 0; g < all_.size(); ++g) Launch(g);
  const Millis until = Clock() + kMostStart;
  for (std::size_t g = 0; g < all_.size(); ++g) {
    while (Ask(all_[g].address, "/up", 500) != 200) {
      if (all_[g].process->Ended()) {
        throw std::runtime_error(
            fmt::format("gateway {} ended at its start: {}", g, all_[g].process->LastLine()));
      }
      if (Clock() > until)
        throw std::runtime_error(
            fmt::format("gateway {} does not serve: {}", g, all_[g].process->LastLine()));
      Nap(20);
    }
  }
}

void Gateways::After(asio::io_context& io, Millis wait, std::function<void()> then) {
  const auto timer = std::make_shared<asio::steady_timer>(io, Wait(wait));
  timer->async_wait([this, timer, then = std::move(then)](error_code ec) {
    if (!ec && !stopping_) then();
  });
}

// Asks again and again, without holding up the generator.
void Gateways::WhenServing(asio::io_context& io, const std::string& address, const std::string& path,
                           Millis until, std::function<void(bool)> then) {
  if (Clock() > until) return then(false);
  const auto socket = std::make_shared<asio::ip::tcp::socket>(io);
  const auto again = [this, &io, address, path, until, then] {
    After(io, kPoll,
          [this, &io, address, path, until, then] { WhenServing(io, address, path, until, then); });
  };
  socket->async_connect(ToEndpoint(address), [socket, path, then, again](error_code ec) {
    if (ec) return again();
    const auto stream = std::make_shared<ClientStream>(std::move(*socket));
    const auto answered = std::make_shared<bool>(false);  // that it closes then is no failure
    stream->Start({[then, again, answered](ClientStream::Message& message, Millis, Millis) {
                     *answered = true;
                     message.result_int() == 200 ? then(true) : again();
                   },
                   nullptr,
                   [again, answered](ClientStream::End) {
                     if (!*answered) again();
                   }});
    stream->Write("GET " + path + " HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n");
  });
}

void Gateways::Watch(asio::io_context& io) {
  for (std::size_t g = 0; g < all_.size(); ++g) {
    const auto socket = std::make_shared<asio::ip::tcp::socket>(io);
    socket->async_connect(ToEndpoint(all_[g].admin), [this, socket, g](error_code ec) {
      if (ec) return;
      const auto stream = std::make_shared<ClientStream>(std::move(*socket));
      stream->Start({[this, g](ClientStream::Message& message, Millis, Millis) {
                       const auto said = nlohmann::json::parse(message.body(), nullptr, false);
                       if (said.is_object() && said.contains("present")) {
                         seen_.push_back(
                             {Clock(), static_cast<int>(g), said["listed"], said["present"], said["place"],
                              said["shared_among"], said["hosts_used"], said["in_touch"],
                              Holds(said, "list") || Holds(said, "zones"),
                              said.contains("list") ? said["list"]["revision"].get<std::int64_t>() : -1});
                       }
                     },
                     nullptr, [](ClientStream::End) {}});
      stream->Write("GET /status/peers HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n");
    });
  }
  After(io, kWatch, [this, &io] { Watch(io); });
}

// Who said last that it has the duty; else anybody.
std::size_t Gateways::Holder() const {
  const auto last = std::find_if(seen_.rbegin(), seen_.rend(), [](const PeersSeen& s) { return s.holds; });
  return last == seen_.rend() ? 0 : static_cast<std::size_t>(last->gateway);
}

void Gateways::Script(asio::io_context& io, Millis start) {
  if (!peers_.empty()) Watch(io);
  for (const Trouble& trouble : experiment_.troubles) {
    if (trouble.kind < Trouble::Kind::kGatewayKill) continue;
    if (trouble.holder) {
      After(io, start + trouble.at - Clock(), [this, &io, &trouble] { Befall(io, trouble, Holder()); });
      continue;
    }
    for (std::size_t g = 0; g < all_.size(); ++g) {
      if (trouble.gateway >= 0 && static_cast<std::size_t>(trouble.gateway) != g) continue;
      // All of them one after the other: a rolling change.
      const Millis wait =
          trouble.gateway >= 0 ? 0 : trouble.len * static_cast<double>(g) / static_cast<double>(all_.size());
      After(io, start + trouble.at + wait - Clock(), [this, &io, &trouble, g] { Befall(io, trouble, g); });
    }
  }
}

void Gateways::Ended(std::size_t g) {
  Gateway& gateway = all_[g];
  gateway.ended.cpu_ms += gateway.now.cpu_ms;
  gateway.ended.peak_kb = std::max(gateway.ended.peak_kb, gateway.now.peak_kb);
  gateway.ended.descriptors = std::max(gateway.ended.descriptors, gateway.now.descriptors);
  gateway.now = {};
}

void Gateways::Befall(asio::io_context& io, const Trouble& trouble, std::size_t g) {
  Look();
  Gateway& gateway = all_[g];
  const Millis now = Clock();
  const auto serve_again = [this, &io, g] {
    Ended(g);
    Launch(g);
    WhenServing(io, all_[g].address, "/up", Clock() + kMostStart, [this, g](bool serves) {
      if (!serves) remarks_.push_back(fmt::format("gateway {} did not come back", g));
      if (!outages_.empty() && outages_.back().gateway == static_cast<int>(g)) outages_.back().to = Clock();
      takes_(g, serves);
    });
  };
  if (trouble.kind == Trouble::Kind::kGatewayKill) {
    outages_.push_back({static_cast<int>(g), now, now + trouble.len + kMostStart});
    gateway.process->Signal(SIGKILL);
    gateway.process->Wait();
    After(io, kFrontNotices, [this, g] { takes_(g, false); });
    const bool rolling = trouble.gateway < 0 && !trouble.holder;
    return After(io, std::max(kFrontNotices, rolling ? 1000.0 : trouble.len), serve_again);
  }
  // Stopped, not dead: the front goes on sending to it, and what it wakes to is old news and overdue timers.
  if (trouble.kind == Trouble::Kind::kGatewayStall) {
    const std::size_t outage = outages_.size();
    outages_.push_back({static_cast<int>(g), now, now + trouble.len, false});
    gateway.process->Signal(SIGSTOP);
    return After(io, trouble.len, [this, g, outage] {
      if (all_[g].process && !all_[g].process->Ended()) all_[g].process->Signal(SIGCONT);
      outages_[outage].to = Clock();  // a busy machine's timers come late, and it was stopped until now
    });
  }
  if (trouble.kind == Trouble::Kind::kGatewayRestart) {
    gateway.process->Signal(SIGTERM);
    After(io, kFrontLeaves, [this, g] { takes_(g, false); });
    const auto watch = std::make_shared<std::function<void()>>();
    *watch = [this, &io, g, serve_again, weak = std::weak_ptr(watch)] {
      if (all_[g].process->Ended()) return serve_again();
      if (const auto again = weak.lock()) After(io, kPoll, [again] { (*again)(); });
    };
    return (*watch)();
  }
  gateway.before = std::move(gateway.process);
  Launch(g);
  WhenServing(io, gateway.admin, "/status", Clock() + kMostStart, [this, g](bool serves) {
    if (!serves) remarks_.push_back(fmt::format("the new version of gateway {} does not serve", g));
    Look();
    if (all_[g].before) all_[g].before->Signal(SIGTERM);
  });
}

void Gateways::Look() {
  for (Gateway& gateway : all_) {
    if (gateway.before && gateway.before->Ended()) {
      gateway.before.reset();
    }
    if (!gateway.process || gateway.process->Ended()) continue;
    const Usage usage = UsageOf(gateway.process->pid());
    gateway.now.cpu_ms = usage.cpu_ms;
    gateway.now.resident_kb = usage.resident_kb;
    gateway.now.peak_kb = std::max(gateway.now.peak_kb, usage.peak_kb);
    gateway.now.descriptors = std::max(gateway.now.descriptors, usage.descriptors);
    if (!gateway.before) continue;
    const Usage old = UsageOf(gateway.before->pid());
    gateway.now.peak_kb = std::max(gateway.now.peak_kb, usage.resident_kb + old.resident_kb);
  }
}

void Gateways::Kill() {
  stopping_ = true;
  for (Gateway& gateway : all_) {
    gateway.process.reset();
    gateway.before.reset();
  }
}

std::vector<GatewayCost> Gateways::Stop() {
  Look();
  stopping_ = true;
  std::vector<GatewayCost> costs;
  for (std::size_t g = 0; g < all_.size(); ++g) {
    Gateway& gateway = all_[g];
    const bool crashed = gateway.process && gateway.process->Ended() && gateway.process->status() != 0;
    const bool killed = std::any_of(outages_.begin(), outages_.end(), [&](const Outage& o) {
      return o.gateway == static_cast<int>(g) && o.killed;
    });
    if (crashed && !killed) {
      remarks_.push_back(fmt::format("gateway {} ended by itself with status {}: {}", g,
                                     gateway.process->status(), gateway.process->LastLine()));
    }
    Ended(g);
    costs.push_back({"gateway " + std::to_string(g), gateway.ended});
    if (gateway.process)
      gateway.process->Signal(SIGCONT), gateway.process->Signal(SIGTERM);  // stopped ones too
  }
  const Millis until = Clock() + kMostStop;
  for (Gateway& gateway : all_) {
    while (gateway.process && !gateway.process->Ended() && Clock() < until) Nap(20);
    gateway.process.reset();
    gateway.before.reset();
  }
  return costs;
}

}  // namespace meadowyard::lab
