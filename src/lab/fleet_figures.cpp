#include "lab/fleet_figures.hpp"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <nlohmann/json.hpp>
#include <numeric>
#include <queue>
#include <stdexcept>
#include <unordered_map>

#include "decision/hashing.hpp"
#include "decision/subset_assignment.hpp"
#include "lab/host_model.hpp"
#include "lab/random.hpp"
#include "lab/stream.hpp"

namespace meadowyard::lab {
namespace {

constexpr Millis kSettled = 1000;  // after a change, beside the time until a gateway counts as gone
constexpr int kKinds = 2;
constexpr double kFirstKind = 0.3;

std::unordered_map<std::uint64_t, int> GatewaysOfTries(const Run& run) {
  std::unordered_map<std::uint64_t, int> gateways;
  for (const Try& t : run.tries) gateways[t.id] = t.gateway;
  return gateways;
}

using Choice = std::vector<std::vector<std::size_t>>;  // by place, sorted

std::vector<decision::SubsetAssignment::Candidate> Draw(std::size_t hosts, std::uint64_t seed) {
  Random random(seed, "hosts");
  std::vector<decision::SubsetAssignment::Candidate> items(hosts);
  for (decision::SubsetAssignment::Candidate& item : items) {
    item.group = random.Chance(kFirstKind) ? 0 : kKinds - 1;
    item.hash = random.Bits();
  }
  return items;
}

Choice Choose(std::vector<decision::SubsetAssignment::Candidate> items, std::size_t gateways,
              std::size_t size) {
  decision::SubsetAssignment subsets(std::move(items), size);
  Choice choice(gateways);
  for (auto& own : choice) {
    own = subsets.ChooseNextSubset();
    std::sort(own.begin(), own.end());
  }
  return choice;
}

std::vector<double> Loads(const Choice& choice, std::size_t hosts) {
  std::vector<double> loads(hosts, 0);
  for (const auto& own : choice) {
    for (const std::size_t host : own) loads[host] += 1;
  }
  return loads;
}

std::size_t Missing(const std::vector<std::size_t>& of, const std::vector<std::size_t>& in) {
  return static_cast<std::size_t>(std::count_if(of.begin(), of.end(), [&](std::size_t host) {
    return !std::binary_search(in.begin(), in.end(), host);
  }));
}

double Mean(const std::vector<double>& loads) {
  return std::accumulate(loads.begin(), loads.end(), 0.0) / static_cast<double>(loads.size());
}

// Pairs that have to be new for loads to lie as near to their mean as they did before.
double LeastMoves(const std::vector<double>& before, const std::vector<double>& after) {
  const auto [least, most] = std::minmax_element(before.begin(), before.end());
  const double up = *most - Mean(before), down = Mean(before) - *least, mean = Mean(after);
  double above = 0, below = 0;
  for (const double load : after) {
    above += std::max(0.0, load - std::ceil(mean + up));
    below += std::max(0.0, std::floor(mean - down) - load);
  }
  return std::max(above, below);
}

double NewPairs(const Choice& before, const Choice& after) {
  std::size_t moved = 0, all = 0;
  for (std::size_t g = 0; g < after.size(); ++g) {
    moved += g < before.size() ? Missing(after[g], before[g]) : after[g].size();
    all += after[g].size();
  }
  return static_cast<double>(moved) / static_cast<double>(all);
}

}  // namespace

std::set<std::pair<int, int>> PairsOf(const Run& run, Millis from, Millis to) {
  const auto gateways = GatewaysOfTries(run);
  std::set<std::pair<int, int>> pairs;
  for (const Execution& x : run.ledger.executions) {
    const auto found = gateways.find(x.id);
    if (found != gateways.end() && x.first >= from && x.first < to) pairs.insert({found->second, x.host});
  }
  return pairs;
}

FleetFigures FiguresOf(const Run& run) {
  FleetFigures f;
  const FleetLedger& ledger = run.ledger;
  std::vector<double> loads(ledger.hosts.size(), 0);
  for (const Execution& x : ledger.executions) loads[static_cast<std::size_t>(x.host)] += 1;
  std::vector<bool> disturbed(ledger.hosts.size(), false);
  for (const HostEvent& event : ledger.events) disturbed[static_cast<std::size_t>(event.host)] = true;
  double sum = 0, most = 0, least = INFINITY, hosts = 0;
  for (std::size_t i = 0; i < loads.size(); ++i) {
    const HostUse& use = ledger.uses[i];
    f.connections += static_cast<double>(use.connections) / static_cast<double>(loads.size());
    f.most_connections = std::max(f.most_connections, static_cast<double>(use.most_connections));
    f.cold = std::max(f.cold, use.cold);
    if (disturbed[i]) continue;
    hosts += 1, sum += loads[i], most = std::max(most, loads[i]), least = std::min(least, loads[i]);
  }
  if (sum > 0) f.most_load = most * hosts / sum, f.least_load = least * hosts / sum;
  const DutyAct* last = nullptr;
  for (const DutyAct& act : ledger.acts) {
    if (act.duty != (run.experiment.peers.share_list ? 0 : 1)) continue;
    ++f.acts;
    if (last != nullptr && last->gateway != act.gateway) f.gaps.push_back(act.at - last->at);
    last = &act;
  }
  f.hand_overs = f.gaps.size();
  f.pairs = PairsOf(run, run.start, INFINITY).size();
  f.pairs_a_gateway = static_cast<double>(f.pairs) / run.experiment.gateways.count;
  for (const Trouble& t : run.experiment.troubles) {
    if (t.kind != Trouble::Kind::kGatewayKill || t.gateway < 0) continue;
    const Millis at = run.start + t.at;
    const auto before = PairsOf(run, run.start, at);
    const auto after = PairsOf(run, at + run.experiment.peers.gone + kSettled,
                               std::min(run.start + run.experiment.duration, at + t.len));
    std::size_t moved = 0, all = 0;
    for (const auto& pair : after) {
      if (pair.first == t.gateway) continue;
      ++all;
      moved += !before.contains(pair);
    }
    f.lost_one = all > 0;
    if (f.lost_one) f.moved = static_cast<double>(moved) / static_cast<double>(all);
    break;
  }
  return f;
}

void WriteTrace(const Run& run, const std::string& path) {
  using nlohmann::ordered_json;
  std::ofstream out(path);
  const auto line = [&](const ordered_json& j) { out << j.dump() << '\n'; };
  const auto at = [&](Millis time) { return time > 0 ? std::round((time - run.start) * 1000) / 1e6 : -1; };
  line({{"run", run.experiment.name},
        {"seed", run.seed},
        {"gateways", run.experiment.gateways.count},
        {"hosts", run.ledger.hosts}});
  for (const Outage& o : run.outages)
    line({{"outage", o.gateway}, {"from_s", at(o.from)}, {"to_s", at(o.to)}, {"killed", o.killed}});
  for (const HostEvent& e : run.ledger.events)
    line({{"host", e.host}, {"at_s", at(e.at)}, {"event", e.what}});
  for (const Told& t : run.ledger.told)
    line({{"told", t.gateway}, {"at_s", at(t.at)}, {"host", t.host}, {"up", t.up}});
  for (const DutyAct& a : run.ledger.acts) {
    line({{"acted", a.gateway},
          {"at_s", at(a.at)},
          {"to", a.to},
          {"duty", a.duty == 0 ? "list" : "halls"},
          {"token", a.token},
          {"revision", a.revision}});
  }
  for (const HallsWord& w : run.ledger.words) {
    line({{"halls_word", static_cast<int>(w.kind)},
          {"from", w.from},
          {"to", w.to},
          {"left_s", at(w.left)},
          {"arrived_s", at(w.arrived)},
          {"term", w.term},
          {"version", w.version},
          {"health", w.health}});
  }
  for (const Try& t : run.tries) {
    line({{"try", t.id},
          {"arrival", t.arrival},
          {"number", t.number},
          {"gateway", t.gateway},
          {"due_s", at(t.due)},
          {"sent_s", at(t.sent)},
          {"ended_s", at(t.ended)},
          {"outcome", Name(t.outcome)}});
  }
  for (const Execution& x : run.ledger.executions) {
    line({{"attempt", x.id},
          {"host", x.host},
          {"first_s", at(x.first)},
          {"started_s", at(x.started)},
          {"ended_s", at(x.ended)},
          {"outcome", static_cast<int>(x.outcome)}});
  }
  if (!out.flush()) throw std::runtime_error("can't write " + path);
}

ColdFigures ModelCold(std::size_t gateways, std::size_t hosts, std::size_t size, std::uint64_t seed) {
  constexpr Millis kWork = 20, kWarm = 5000, kEnd = 12000, kBurstFrom = 8000, kBurstTo = 9000;
  const Millis began = Clock();
  size = std::max(size, (2 * hosts + gateways - 1) / gateways);  // as the module does: two gateways a host
  Random random(seed, "cold");
  EndpointUpdate news;
  std::vector<decision::SubsetAssignment::Candidate> items;
  for (std::size_t i = 0; i < hosts; ++i) {
    Endpoint server;
    server.id = "h" + std::to_string(i);
    items.push_back({0, decision::HashId(server.id)});
    news.endpoints.push_back(server);
  }
  const Choice choice = Choose(items, gateways, size);
  const auto loads = Loads(choice, hosts);
  const auto cold = static_cast<std::size_t>(std::max_element(loads.begin(), loads.end()) - loads.begin());

  Settings settings;
  TrafficClassSettings c;
  c.name = "view", c.latency_objective = 600, c.deadline = 1500, c.idempotency = Idempotency::kIdempotent;
  settings.classes = {c};
  settings.gateway_count = static_cast<int>(gateways), settings.subset_size = static_cast<int>(size);
  settings.slow_start_fraction = 0.13, settings.slow_start_duration = 15000, settings.overload_multiple = 2.5;
  KindSpec kind;
  kind.cores = 2, kind.cold_from = settings.slow_start_fraction, kind.cold_for = settings.slow_start_duration;
  kind.fall_multiple = settings.overload_multiple;
  HostModel host(kind);
  const double rate = 0.5 * kind.cores / kWork * static_cast<double>(hosts) / static_cast<double>(gateways);

  struct Due {
    Millis at;
    std::size_t user;
    Event event;
    bool operator<(const Due& other) const { return at > other.at; }
  };
  std::priority_queue<Due> due;
  std::vector<Policy> users;
  const auto act = [&](Millis now, std::size_t user, const Event& event) {
    std::vector<Action> actions;
    users[user].Handle(now, event, actions);
    for (const Action& action : actions) {
      if (const auto* const timer = std::get_if<SetTimer>(&action))
        due.push({now + timer->delay, user, TimerExpired{timer->name}});
      const auto* const send = std::get_if<StartAttempt>(&action);
      if (send == nullptr) continue;
      const Millis work = random.Exponential(kWork);
      if (send->endpoint == news.endpoints[cold].id) host.Offer(now, 1, work, 0);
      AttemptOutcome outcome;
      outcome.request = send->request, outcome.endpoint = send->endpoint, outcome.latency = work;
      due.push({now + work, user, outcome});
    }
  };
  std::vector<std::size_t> places;
  for (std::size_t place = 0; place < gateways; ++place) {
    if (std::binary_search(choice[place].begin(), choice[place].end(), cold)) places.push_back(place);
  }
  for (const std::size_t place : places) {
    settings.gateway_index = static_cast<int>(place);
    users.emplace_back(settings, seed + place);
    const std::size_t user = users.size() - 1;
    act(0, user, news);
    act(0, user,
        MembershipUpdate{settings.gateway_count, settings.gateway_count, settings.gateway_index, 1e12, {}});
    due.push({random.Exponential(1 / rate), user, Request()});
  }
  ColdFigures f;
  f.users = users.size();
  bool restarted = false;
  while (!due.empty() && due.top().at < kEnd) {
    Due next = due.top();
    due.pop();
    std::vector<HostModel::Done> done;
    host.Advance(next.at, done);
    if (!restarted && next.at >= kWarm) {
      restarted = true;
      host.Start(next.at, true);
      EndpointUpdate start{EndpointUpdate::Kind::kDelta, {news.endpoints[cold]}};
      start.endpoints[0].started_at = next.at;
      for (std::size_t user = 0; user < users.size(); ++user) act(next.at, user, start);
    }
    if (auto* const request = std::get_if<Request>(&next.event)) {
      const bool burst = next.at >= kBurstFrom && next.at < kBurstTo;
      due.push({next.at + random.Exponential(1 / (burst ? 2 * rate : rate)), next.user, Request()});
      request->id = std::to_string(f.requests++), request->class_name = "view",
      request->time_left = c.deadline;
    }
    act(next.at, next.user, next.event);
  }
  f.use = host.cold_use();
  f.took_ms = Clock() - began;
  return f;
}

SubsetFigures ModelSubsets(std::size_t gateways, std::size_t hosts, std::size_t size, std::uint64_t seed) {
  SubsetFigures f;
  f.gateways = gateways, f.hosts = hosts, f.size = std::min(size, hosts);
  const auto items = Draw(hosts, seed);
  const Millis began = Clock();
  const Choice choice = Choose(items, gateways, size);
  f.last_ms = Clock() - began;
  const auto loads = Loads(choice, hosts);
  f.most = *std::max_element(loads.begin(), loads.end());
  f.least = *std::min_element(loads.begin(), loads.end());
  const double pairs = static_cast<double>(gateways * f.size);
  f.mean = pairs / static_cast<double>(hosts);
  if (gateways > 1) {
    // One in the middle leaves: whoever had the last place takes its place over.
    Choice after = choice, gap = choice;
    const std::size_t leaves = gateways / 2;
    gap.erase(gap.begin() + static_cast<std::ptrdiff_t>(leaves));
    after.pop_back();
    const double rest = pairs - static_cast<double>(f.size);
    if (leaves + 1 < gateways) f.left = static_cast<double>(Missing(choice[leaves], choice.back())) / rest;
    f.left_least = LeastMoves(loads, Loads(gap, hosts)) / rest;
    f.joined = NewPairs(after, choice);
    f.joined_least = static_cast<double>(f.size) / pairs;
  }
  if (hosts > 1) {
    // A host's number is taken by nobody else, so that pairs can be compared.
    auto fewer = items;
    fewer.pop_back();
    const Choice without = Choose(fewer, gateways, size);
    f.host_left = NewPairs(choice, without);
    f.host_left_least = hosts > size ? loads.back() / pairs : 0;
    f.host_joined = NewPairs(without, choice);
    f.host_joined_least = hosts > size ? std::floor(f.mean) / pairs : static_cast<double>(gateways) / pairs;
  }
  return f;
}

}  // namespace meadowyard::lab
