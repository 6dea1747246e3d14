#include "lab/fleet.hpp"

#include <fmt/format.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <sstream>
#include <stdexcept>

namespace meadowyard::lab {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using nlohmann::json;

constexpr Millis kNoticed = 300;  // from a death to the list's knowing of it, beside its delay

Millis UnixNow() {
  return std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

Fleet::Fleet(asio::io_context& io, const Experiment& experiment, std::uint64_t seed)
    : io_(io),
      experiment_(experiment),
      seed_(seed),
      random_(seed, "fleet"),
      discovery_(io, experiment.discovery, experiment.gateways.count, ledger_,
                 [this](int gateway, int host, DiscoveryStandIn::Member& member) {
                   const auto& clocks = experiment_.gateways.clocks;
                   const auto g = static_cast<std::size_t>(gateway);
                   // A clock that is ahead takes every start for older.
                   if (member.up_since > 0 && g < clocks.size()) member.up_since -= clocks[g];
                   if (Relay* const relay = RelayOf(gateway, host))
                     member.address = "127.0.0.1:" + std::to_string(relay->address().port());
                 }) {
  if (experiment_.peers.on) {
    peer_links_.emplace(io_, experiment_.gateways.count, experiment_.peers.link, seed_,
                        [this](int from, int to, const char* bytes, std::size_t size, bool arrived) {
                          Overheard(from, to, bytes, size, arrived);
                        });
    peer_addresses_ = peer_links_->addresses();
  }
  std::size_t hall = 0;
  for (const KindSpec& kind : experiment_.fleet.kinds) {
    for (int i = 0; i < kind.count; ++i) {
      Add(kind, experiment_.fleet.halls[hall++ % experiment_.fleet.halls.size()], true);
    }
  }
}

void Fleet::Add(const KindSpec& kind, const std::string& hall, bool known) {
  StandInHost::Identity identity;
  identity.index = static_cast<int>(places_.size());
  identity.id = fmt::format("h-{:08x}", random_.Bits() & 0xffffffff);
  identity.hall = hall;
  identity.kind = kind;
  identity.drops_waiting = experiment_.fleet.drops_waiting;
  for (const ClassSpec& c : experiment_.classes) {
    if (c.effect == Idempotency::kNonIdempotent) identity.unsafe.push_back(c.name);
  }
  ledger_.hosts.push_back(identity.id);
  ledger_.halls.push_back(hall);
  ledger_.uses.emplace_back();
  Place place;
  place.member = {identity.id, "", hall, kind.name, "up", 1.0, 0};
  place.host = std::make_unique<StandInHost>(io_, identity, ledger_, seed_);
  place.member.address = "127.0.0.1:" + std::to_string(place.host->address().port());
  for (int g = 0; experiment_.host_link.on && g < experiment_.gateways.count; ++g) {
    relays_[{g, identity.index}] =
        std::make_unique<Relay>(io_, std::vector{place.host->address()}, experiment_.host_link,
                                seed_ + static_cast<std::uint64_t>(identity.index * 1000 + g));
    relays_[{g, identity.index}]->EndsAreWhole();
  }
  if (known) discovery_.Put(identity.index, place.member);
  places_.push_back(std::move(place));
}

std::vector<std::string> Fleet::hosts() const {
  std::vector<std::string> all;
  for (const Place& place : places_) all.push_back(place.member.address);
  return all;
}

void Fleet::After(Millis wait, std::function<void()> then) {
  const auto timer = std::make_shared<asio::steady_timer>(io_, Wait(wait));
  timer->async_wait([timer, then = std::move(then)](error_code ec) {
    if (!ec) then();
  });
}

void Fleet::Begin(Millis start) {
  for (std::size_t i = 0; i < experiment_.troubles.size(); ++i) {
    const Trouble& trouble = experiment_.troubles[i];
    After(start + trouble.at - Clock(), [this, &trouble, i] { Befall(trouble, i); });
  }
}

std::vector<int> Fleet::Victims(const Trouble& trouble, Random& random) const {
  std::vector<int> all;
  for (std::size_t i = 0; i < places_.size(); ++i) {
    const bool in_hall = trouble.hall.empty() || places_[i].host->identity().hall == trouble.hall;
    if (in_hall && places_[i].host->up() && places_[i].member.phase == "up")
      all.push_back(static_cast<int>(i));
  }
  const bool whole = trouble.kind == Trouble::Kind::kHallDead || trouble.kind == Trouble::Kind::kHallSilent;
  const auto wanted =
      whole ? all.size()
            : static_cast<std::size_t>(std::lround(trouble.share * static_cast<double>(all.size())));
  for (std::size_t i = 0; i < std::min(std::max<std::size_t>(1, wanted), all.size()); ++i) {
    std::swap(all[i], all[i + random.Below(all.size() - i)]);
  }
  all.resize(std::min(std::max<std::size_t>(1, wanted), all.size()));
  return all;
}

void Fleet::Tell(int host, const std::string& phase) {
  Place& place = places_[static_cast<std::size_t>(host)];
  place.member.phase = phase;
  place.member.address = "127.0.0.1:" + std::to_string(place.host->address().port());
  discovery_.Change(host, place.member);
}

void Fleet::Restarted(int host) {
  Place& place = places_[static_cast<std::size_t>(host)];
  place.host->Start();
  place.member.up_since = UnixNow();
  Tell(host, "up");
}

// Down and up again in the list, though its process runs: told to drain, and told to go on.
void Fleet::Flap(int host, Millis until) {
  if (Clock() >= until) {
    places_[static_cast<std::size_t>(host)].host->Drain(false);
    return Tell(host, "up");
  }
  Tell(host, places_[static_cast<std::size_t>(host)].member.phase == "up" ? "draining" : "up");
  After(400 + 800 * random_.Uniform(), [this, host, until] { Flap(host, until); });
}

// Gone for good; another host takes its place under a new id.
void Fleet::Replace(int host) {
  Place& place = places_[static_cast<std::size_t>(host)];
  const KindSpec kind = place.host->identity().kind;
  const std::string hall = place.host->identity().hall;
  Tell(host, "draining");
  After(2500, [this, host, kind, hall] {
    places_[static_cast<std::size_t>(host)].host->Crash();
    Tell(host, "removed");
    Add(kind, hall, false);
    Restarted(static_cast<int>(places_.size()) - 1);
  });
}

// Duties among what gateways tell each other. Who is told of a host by another gateway was told of it.
void Fleet::Overheard(int from, int to, const char* bytes, std::size_t size, bool arrived) {
  if (!arrived) ++ledger_.peer_words;
  const auto word = coordination::DecodeMessage(reinterpret_cast<const std::uint8_t*>(bytes), size);
  if (!word) return;
  if (word->role == coordination::LeaseRole::kZoneState)
    return OverheardOfHalls(from, to, word->message, arrived);
  const auto* const part = std::get_if<coordination::EndpointListPart>(&word->message);
  if (part == nullptr) return;
  if (!arrived) return ledger_.acts.push_back({Clock(), from, to, part->token, part->revision, 0});
  for (const discovery::EndpointRecord& host : part->hosts) {
    const auto known = std::find(ledger_.hosts.begin(), ledger_.hosts.end(), host.endpoint.id);
    if (known == ledger_.hosts.end()) continue;
    ledger_.told.push_back({Clock(), to, static_cast<std::int32_t>(known - ledger_.hosts.begin()),
                            host.endpoint.state == EndpointState::kUp});
  }
}

void Fleet::OverheardOfHalls(int from, int to, const coordination::CoordinationMessage& word, bool arrived) {
  HallsWord seen;
  (arrived ? seen.arrived : seen.left) = Clock();
  seen.from = from, seen.to = to;
  if (const auto* const vote = std::get_if<coordination::ZoneStateVote>(&word)) {
    seen.kind = HallsWord::Kind::kVote, seen.term = vote->token, seen.version = vote->version;
  } else if (const auto* const stand = std::get_if<coordination::ZoneStateAnnouncement>(&word)) {
    seen.kind = static_cast<HallsWord::Kind>(stand->kind);
    seen.term = stand->state.term, seen.version = stand->state.version;
    for (const auto& zone : stand->state.zones) seen.health.push_back({zone.name, zone.health});
    if (!arrived && stand->token > 0) ledger_.acts.push_back({Clock(), from, to, stand->token, 0, 1});
  } else {
    return;
  }
  ledger_.words.push_back(std::move(seen));
}

Relay* Fleet::RelayOf(int gateway, int host) {
  const auto found = relays_.find({gateway, host});
  return found == relays_.end() ? nullptr : found->second.get();
}

void Fleet::Cut(const Trouble& t, Random& random) {
  const Millis until = Clock() + t.len;
  const bool to = t.way != Trouble::Way::kFrom, from = t.way != Trouble::Way::kTo;
  std::vector<int> side = t.side;
  if (t.holder) side = {ledger_.acts.empty() ? 0 : ledger_.acts.back().gateway};
  if (t.kind == Trouble::Kind::kPeerCut) {
    if (peer_links_) peer_links_->CutUntil(until, side, to, from);
    return;
  }
  for (const int host : Victims(t, random)) {
    for (const int g : side) {
      if (Relay* const relay = RelayOf(g, host)) relay->CutUntil(until, from, to);
    }
  }
}

void Fleet::Befall(const Trouble& t, std::size_t number) {
  using K = Trouble::Kind;
  Random random(seed_, "trouble " + std::to_string(number));
  if (t.kind == K::kDiscoveryDown) {
    discovery_.Dark(true);
    return After(t.len, [this] { discovery_.Dark(false); });
  }
  if (t.kind == K::kHostCut || t.kind == K::kPeerCut) return Cut(t, random);
  if (t.kind >= K::kLinkCut) return;  // not the fleet's
  for (const int host : Victims(t, random)) {
    StandInHost* const h = places_[static_cast<std::size_t>(host)].host.get();
    switch (t.kind) {
      case K::kCrash:
      case K::kHallDead:
        h->Crash();
        After(kNoticed, [this, host, h] {
          if (!h->up()) Tell(host, "removed");
        });
        After(t.len, [this, host] { Restarted(host); });
        break;
      case K::kHallSilent:
        h->Silence(true);
        After(t.len, [this, host, h] {
          h->Silence(false);
          Restarted(host);
        });
        break;
      case K::kSlow:
        h->Slow(t.factor);
        After(t.len, [h] { h->Slow(1); });
        break;
      case K::kErrors:
        h->Fail(std::min(1.0, t.factor));
        After(t.len, [h] { h->Fail(0); });
        break;
      case K::kFreeze:
        h->Freeze(true);
        After(t.len, [h] { h->Freeze(false); });
        break;
      case K::kFlap: Flap(host, Clock() + t.len); break;
      case K::kReplace: Replace(host); break;
      case K::kReset:
        h->BreakAnswers(t.factor);
        After(t.len, [h] { h->BreakAnswers(0); });
        break;
      case K::kSpoil:
        h->SpoilAnswers(t.factor);
        After(t.len, [h] { h->SpoilAnswers(0); });
        break;
      case K::kDrain:
        Tell(host, "draining");
        After(t.len, [this, host] { Tell(host, "up"); });
        break;
      default: break;
    }
  }
}

// ---- The fleet as a process: lines of JSON over a pair of sockets ----

namespace {

void WriteAll(int fd, const std::string& text) {
  for (std::size_t at = 0; at < text.size();) {
    const ssize_t wrote = ::write(fd, text.data() + at, text.size() - at);
    if (wrote <= 0) return;
    at += static_cast<std::size_t>(wrote);
  }
}

std::string ToText(const FleetLedger& l) {
  json executions = json::array(), told = json::array(), events = json::array(), uses = json::array();
  json acts = json::array();
  for (const DutyAct& a : l.acts) acts.push_back({a.at, a.gateway, a.to, a.token, a.revision, a.duty});
  json words = json::array();
  for (const HallsWord& w : l.words) {
    words.push_back({static_cast<int>(w.kind), w.left, w.arrived, w.from, w.to, w.term, w.version, w.health});
  }
  for (const HostUse& u : l.uses) uses.push_back({u.connections, u.most_connections, u.cold});
  for (const Execution& e : l.executions) {
    executions.push_back(
        {e.id, e.host, e.unsafe, e.first, e.last, e.started, e.ended, static_cast<int>(e.outcome)});
  }
  for (const Told& t : l.told) told.push_back({t.at, t.gateway, t.host, t.up});
  for (const HostEvent& e : l.events) events.push_back({e.at, e.host, e.what});
  return json{{"hosts", l.hosts},
              {"uses", uses},
              {"acts", acts},
              {"halls", l.halls},
              {"words", words},
              {"executions", executions},
              {"told", told},
              {"events", events},
              {"connections", l.connections},
              {"most_connections", l.most_connections},
              {"probes", l.probes},
              {"peer_words", l.peer_words},
              {"bad_requests", l.bad_requests},
              {"discovery_calls", l.discovery_calls}}
             .dump() +
         "\n";
}

FleetLedger FromText(const std::string& text) {
  const json j = json::parse(text);
  if (j.contains("error")) throw std::runtime_error("the fleet ended: " + j["error"].get<std::string>());
  FleetLedger l;
  l.hosts = j.at("hosts").get<std::vector<std::string>>();
  for (const json& e : j.at("executions")) {
    l.executions.push_back(
        {e[0], e[1], e[2], e[3], e[4], e[5], e[6], static_cast<Execution::Outcome>(e[7].get<int>())});
  }
  for (const json& a : j.at("acts")) l.acts.push_back({a[0], a[1], a[2], a[3], a[4], a[5]});
  l.halls = j.at("halls").get<std::vector<std::string>>();
  for (const json& w : j.at("words")) {
    l.words.push_back({static_cast<HallsWord::Kind>(w[0].get<int>()), w[1], w[2], w[3], w[4], w[5], w[6],
                       w[7].get<std::vector<std::pair<std::string, double>>>()});
  }
  for (const json& u : j.at("uses")) l.uses.push_back({u[0], u[1], u[2]});
  for (const json& t : j.at("told")) l.told.push_back({t[0], t[1], t[2], t[3]});
  for (const json& e : j.at("events")) l.events.push_back({e[0], e[1], e[2].get<std::string>()});
  l.connections = j.at("connections"), l.most_connections = j.at("most_connections"),
  l.probes = j.at("probes");
  l.peer_words = j.at("peer_words");
  l.bad_requests = j.at("bad_requests"), l.discovery_calls = j.at("discovery_calls");
  return l;
}

int RunFleet(int link, const Experiment& experiment, std::uint64_t seed) {
  try {
    asio::io_context io(1);
    Fleet fleet(io, experiment, seed);
    json lists = json::array();
    for (int g = 0; g < experiment.gateways.count; ++g) lists.push_back(fleet.List(g));
    WriteAll(link, json{{"discovery", fleet.discovery()},
                        {"hosts", fleet.hosts()},
                        {"lists", lists},
                        {"peers", fleet.peers()}}
                           .dump() +
                       "\n");
    // A descriptor of its own: what is thrown closes this one before the last word is written to the link.
    asio::posix::stream_descriptor control(io, ::dup(link));
    std::string read;
    std::function<void()> listen = [&] {
      asio::async_read_until(control, asio::dynamic_buffer(read), '\n', [&](error_code ec, std::size_t n) {
        if (ec) return io.stop();  // whoever started it has gone
        const std::string line = read.substr(0, n);
        read.erase(0, n);
        if (line.starts_with("begin ")) fleet.Begin(std::strtod(line.c_str() + 6, nullptr));
        if (line.starts_with("end")) return io.stop();
        listen();
      });
    };
    listen();
    io.run();
    error_code ignored;
    control.native_non_blocking(false, ignored);
    WriteAll(link, ToText(fleet.ledger()));
    return 0;
  } catch (const std::exception& error) {
    WriteAll(link, json{{"error", error.what()}}.dump() + "\n");
    return 1;
  }
}

}  // namespace

FleetProcess::FleetProcess(const Experiment& experiment, std::uint64_t seed) {
  int ends[2];
  if (::socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, ends) != 0)
    throw std::runtime_error("no pair of sockets");
  std::fflush(nullptr);
  pid_ = ::fork();
  if (pid_ < 0) throw std::runtime_error("can't start the fleet's process");
  if (pid_ == 0) {
    ::close(ends[0]);
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::signal(SIGINT, SIG_IGN);  // whoever started it ends it, and wants the ledger
    ::_exit(RunFleet(ends[1], experiment, seed));
  }
  ::close(ends[1]);
  link_ = ends[0];
  const json hello = json::parse(ReadLine(), nullptr, false);
  if (!hello.is_object() || hello.contains("error")) {
    throw std::runtime_error("the fleet did not start: " +
                             (hello.is_object() ? hello["error"].get<std::string>() : "it ended"));
  }
  discovery_ = hello.at("discovery").get<std::vector<std::string>>();
  hosts_ = hello.at("hosts").get<std::vector<std::string>>();
  lists_ = hello.at("lists").get<std::vector<json>>();
  peers_ = hello.at("peers").get<std::vector<std::vector<std::string>>>();
}

FleetProcess::~FleetProcess() {
  if (link_ >= 0) ::close(link_);
  if (pid_ > 0) {
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
  }
}

void FleetProcess::Begin(Millis start) { WriteAll(link_, fmt::format("begin {:.6f}\n", start)); }

std::string FleetProcess::ReadLine() {
  for (;;) {
    const std::size_t end = read_.find('\n');
    if (end != std::string::npos) {
      const std::string line = read_.substr(0, end);
      read_.erase(0, end + 1);
      return line;
    }
    char buffer[65536];
    const ssize_t got = ::read(link_, buffer, sizeof buffer);
    if (got <= 0) return "";
    read_.append(buffer, static_cast<std::size_t>(got));
  }
}

FleetLedger FleetProcess::Finish() {
  WriteAll(link_, "end\n");
  const std::string text = ReadLine();
  ::waitpid(pid_, nullptr, 0);
  pid_ = -1;
  if (text.empty()) throw std::runtime_error("the fleet's process ended without its ledger");
  return FromText(text);
}

}  // namespace meadowyard::lab
