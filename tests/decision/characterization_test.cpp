// Characterization of the decision module: seeded random sequences of every kind of event are driven through
// Policy, and a digest of all actions and of the final snapshot is compared with a recorded one.
//
// The recorded digests, tests/fixtures/decision_digests.txt, were written by the program of commit ff1d420.
// They must stay the same to the last bit through any change that is meant to keep every decision: names,
// structure, comments. The file may be written anew only by a commit that changes a decision on purpose and
// says so in its message; run the test with MEADOWYARD_WRITE_DIGESTS=FILE to have the digests written there.
// The text of log lines is no decision: only that a line is logged, and when, is part of the digest.
//
// Digests hold for x86-64 with the C library's exp and log for processors with fused multiply-add.
#include <gtest/gtest.h>

#include <algorithm>
#include <bit>
#include <cmath>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "meadowyard/policy.hpp"

namespace meadowyard {
namespace {

// The generator of the sequences; the standard distributions differ between libraries.
class SplitMix64 {
 public:
  explicit SplitMix64(std::uint64_t seed) : state_(seed) {}
  std::uint64_t Next() {
    std::uint64_t z = (state_ += 0x9e3779b97f4a7c15ULL);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
  }
  int Below(int bound) { return static_cast<int>(Next() % static_cast<std::uint64_t>(bound)); }
  double Fraction() { return static_cast<double>(Next() >> 11) / 9007199254740992.0; }
  double Between(double low, double high) { return low + (high - low) * Fraction(); }
  bool Chance(double probability) { return Fraction() < probability; }

 private:
  std::uint64_t state_;
};

// FNV-1a over the bytes of what is added.
class Digest {
 public:
  void Add(std::uint64_t value) {
    for (int shift = 0; shift < 64; shift += 8) {
      hash_ = (hash_ ^ ((value >> shift) & 0xff)) * 1099511628211ULL;
    }
  }
  void Add(int value) { Add(static_cast<std::uint64_t>(static_cast<std::int64_t>(value))); }
  void Add(bool value) { Add(static_cast<int>(value)); }
  void Add(double value) {
    // Every NaN counts as the same one: its sign and payload are no decision.
    Add(std::isnan(value) ? ~std::uint64_t{0} : std::bit_cast<std::uint64_t>(value));
  }
  void Add(const std::string& text) {
    Add(static_cast<std::uint64_t>(text.size()));
    for (const unsigned char c : text) hash_ = (hash_ ^ c) * 1099511628211ULL;
  }
  std::uint64_t value() const { return hash_; }

 private:
  std::uint64_t hash_ = 1469598103934665603ULL;
};

struct ActionDigest {
  Digest& digest;
  void operator()(const StartAttempt& action) {
    digest.Add(1);
    digest.Add(action.request);
    digest.Add(action.endpoint);
    digest.Add(action.timeout);
  }
  void operator()(const Reject& action) {
    digest.Add(2);
    digest.Add(action.request);
    digest.Add(action.retry_after);
  }
  void operator()(const Fail& action) {
    digest.Add(3);
    digest.Add(action.request);
  }
  void operator()(const CancelAttempt& action) {
    digest.Add(4);
    digest.Add(action.request);
    digest.Add(action.attempt);
  }
  void operator()(const SetTimer& action) {
    digest.Add(5);
    digest.Add(action.delay);
    digest.Add(action.name);
  }
  void operator()(const PollEndpoints&) { digest.Add(6); }
  void operator()(const Log&) { digest.Add(7); }
};

void AddLearned(Digest& digest, const LearnedState& learned) {
  for (const auto& of_server : learned.endpoints) {
    digest.Add(of_server.id);
    digest.Add(of_server.latency);
    digest.Add(of_server.average_latency);
    digest.Add(of_server.uncongested_latency);
    digest.Add(of_server.concurrency_limit);
    digest.Add(of_server.failure_rate);
    digest.Add(of_server.samples);
    digest.Add(of_server.ejected);
    digest.Add(of_server.connection_failed);
    digest.Add(of_server.last_served_at);
    digest.Add(of_server.started_at);
    digest.Add(of_server.slow_start_credit);
  }
  for (const auto& of_kind : learned.kinds) {
    digest.Add(of_kind.name);
    digest.Add(of_kind.latency);
    digest.Add(of_kind.average_latency);
    digest.Add(of_kind.uncongested_latency);
    digest.Add(of_kind.samples);
  }
  for (const auto& of_class : learned.classes) {
    digest.Add(of_class.name);
    digest.Add(of_class.latency);
    digest.Add(of_class.observed_time_budget);
    digest.Add(of_class.samples);
  }
  for (const std::string& id : learned.in_maintenance) digest.Add(id);
  digest.Add(learned.rate);
  digest.Add(learned.dispatch_rate);
  digest.Add(learned.arrival_rate);
  digest.Add(learned.untimely_share);
  digest.Add(learned.failure_rate);
  digest.Add(learned.warm_answers);
  digest.Add(learned.warm_time);
  digest.Add(learned.mean_latency);
  digest.Add(learned.samples);
}

void AddSnapshot(Digest& digest, const Policy& policy) {
  AddLearned(digest, policy.Snapshot());
  const auto census = policy.CollectStats();
  digest.Add(census.endpoints);
  digest.Add(census.unavailable);
  digest.Add(census.open_requests);
  digest.Add(census.queued);
  digest.Add(census.in_flight);
  digest.Add(census.tunnels);
  digest.Add(census.subset);
  digest.Add(census.active_gateways);
  const auto gossip = policy.CollectGossip();
  for (const auto& start : gossip.started) {
    digest.Add(start.endpoint);
    digest.Add(start.started_at);
  }
  for (const std::string& id : gossip.recovered) digest.Add(id);
  const auto sights = policy.CollectZoneLoad();
  digest.Add(sights.zone);
  digest.Add(sights.arrival_rate);
  for (const auto& sight : sights.zones) {
    digest.Add(sight.zone);
    digest.Add(sight.capacity);
    digest.Add(sight.available);
    digest.Add(sight.completed);
    digest.Add(sight.within_objective);
  }
  for (const auto& part : policy.ZoneWeights()) {
    digest.Add(part.zone);
    digest.Add(part.weight);
  }
}

// What a scenario lets happen, beside requests, outcomes, timers and updates of the list.
struct Scenario {
  const char* name = "";
  Settings settings;
  int servers = 12;
  bool bodies = false;    // requests whose body is still arriving, answers that are streamed
  bool tunnels = false;   // requests that hold their server, requests for one server alone
  bool restarts = false;  // servers start anew
  bool peers = false;
  bool zones = false;
  bool maintenance = false;
  bool reconfigures = false;
  bool restores = false;  // a new Policy takes over what the old one learned
  double failing = 0.05;  // share of attempts that fail at a good server
  double pause = 4;       // ms between events, on average
};

void PrintTo(const Scenario& scenario, std::ostream* out) { *out << scenario.name; }

Settings BaseSettings() {
  Settings settings;
  const char* const names[] = {"view", "order", "charge", "report"};
  for (int i = 0; i < 4; ++i) {
    TrafficClassSettings c;
    c.name = names[i];
    c.latency_objective = 150 + 100 * i;
    c.deadline = 400 + 300 * i;
    c.priority_weight = 1 + i;
    c.late_weight = i % 2 == 0 ? 0.4 : 0;
    c.idempotency = i == 1   ? Idempotency::kIdempotencyKey
                    : i == 2 ? Idempotency::kNonIdempotent
                             : Idempotency::kIdempotent;
    c.dedup_scope = DedupScope::kZone;
    c.dedup_window = i == 1 ? 900 : 0;
    settings.classes.push_back(c);
  }
  settings.zone = "z0";
  settings.max_attempts = 3;
  settings.sends_retry_after = true;
  settings.max_retry_after = 800;
  return settings;
}

std::vector<Scenario> Scenarios() {
  std::vector<Scenario> all;
  const auto add = [&all](const char* name) -> Scenario& {
    Scenario scenario;
    scenario.name = name;
    scenario.settings = BaseSettings();
    all.push_back(std::move(scenario));
    return all.back();
  };
  add("pushed");
  {
    Scenario& s = add("polled");
    s.settings.polls_endpoints = true;
    s.settings.max_poll_interval = 3000;
    s.settings.gateway_count = 5;
    s.settings.gateway_index = 2;
  }
  {
    Scenario& s = add("overload");
    s.pause = 0.6;
    s.servers = 5;
    s.settings.max_attempts_in_flight = 40;
    s.settings.can_cancel_attempts = true;
  }
  {
    Scenario& s = add("fleet");
    s.settings.gateway_count = 300;
    s.settings.gateway_index = 117;
    s.servers = 60;
    s.failing = 0.2;
    s.pause = 30;
  }
  {
    Scenario& s = add("fleet_multiplexed");
    s.settings.gateway_count = 90;
    s.settings.streams_per_connection = 8;
    s.servers = 40;
    s.restarts = true;
    s.settings.slow_start_fraction = 0.1;
    s.settings.slow_start_duration = 15000;
    s.maintenance = true;
  }
  {
    Scenario& s = add("tenants");
    for (int i = 0; i < 4; ++i) {
      TenantSettings tenant;
      tenant.name = "t" + std::to_string(i);
      tenant.quota_per_s = 25 * i;
      s.settings.tenants.push_back(tenant);
    }
    s.settings.clients_mark_retries = true;
    s.settings.gateway_count = 2;
    s.pause = 2;
  }
  {
    Scenario& s = add("tenants_unmarked");
    TenantSettings tenant;
    tenant.name = "t1";
    tenant.quota_per_s = 60;
    s.settings.tenants.push_back(tenant);
    s.pause = 2;
  }
  {
    Scenario& s = add("keyed_affinity");
    s.settings.key_affinity = true;
    s.settings.load_report_fields = {"inflight", "util"};
    s.settings.classes[1].dedup_scope = DedupScope::kCell;
    s.settings.classes[3].idempotency = Idempotency::kIdempotencyKey;
    s.settings.classes[3].dedup_window = 3000;
    s.settings.classes[3].dedup_scope = DedupScope::kAll;
    s.failing = 0.15;
  }
  {
    Scenario& s = add("cold");
    s.settings.slow_start_fraction = 0.05;
    s.settings.slow_start_duration = 8000;
    s.settings.overload_multiple = 2.5;
    s.settings.load_report_fields = {"util"};
    s.restarts = true;
    s.maintenance = true;
  }
  {
    Scenario& s = add("peers");
    s.settings.gateway_count = 6;
    s.settings.subset_size = 4;
    s.settings.slow_start_fraction = 0.1;
    s.settings.slow_start_duration = 6000;
    s.servers = 24;
    s.peers = true;
    s.restarts = true;
    s.failing = 0.15;
  }
  {
    Scenario& s = add("zones");
    s.settings.zone_routing.enabled = true;
    s.settings.zone_routing.regions = {{"z0", 0}, {"z1", 0}, {"z2", 1}};
    s.settings.gateway_count = 4;
    s.zones = true;
    s.servers = 18;
    s.failing = 0.1;
  }
  {
    Scenario& s = add("zones_peers");
    s.settings.zone_routing.enabled = true;
    s.settings.zone_routing.overprovisioning = 1.2;
    s.settings.zone_routing.max_overflow = 0.5;
    s.settings.gateway_count = 12;
    s.settings.subset_size = 8;
    s.zones = true;
    s.peers = true;
    s.restarts = true;
    s.settings.slow_start_fraction = 0.2;
    s.settings.slow_start_duration = 4000;
    s.servers = 30;
  }
  {
    Scenario& s = add("tunnels");
    s.tunnels = true;
    s.settings.max_tunnels_per_endpoint = 4;
    s.settings.can_cancel_attempts = true;
    s.maintenance = true;
  }
  {
    Scenario& s = add("bodies");
    s.bodies = true;
    s.settings.can_cancel_attempts = true;
    s.settings.load_report_fields = {"util", "inflight"};
  }
  {
    Scenario& s = add("reconfigured");
    s.reconfigures = true;
    s.bodies = true;
    s.maintenance = true;
    s.settings.clients_mark_retries = true;
  }
  {
    Scenario& s = add("restored");
    s.restores = true;
    s.maintenance = true;
    s.restarts = true;
    s.settings.slow_start_fraction = 0.3;
    s.settings.slow_start_duration = 5000;
  }
  {
    Scenario& s = add("everything");
    s.bodies = s.tunnels = s.restarts = s.peers = s.zones = s.maintenance = s.reconfigures = s.restores =
        true;
    s.settings.zone_routing.enabled = true;
    s.settings.zone_routing.regions = {{"z0", 0}, {"z1", 0}};
    s.settings.gateway_count = 10;
    s.settings.subset_size = 6;
    s.settings.max_tunnels_per_endpoint = 6;
    s.settings.can_cancel_attempts = true;
    s.settings.clients_mark_retries = true;
    s.settings.key_affinity = true;
    s.settings.load_report_fields = {"util"};
    s.settings.polls_endpoints = true;
    s.settings.slow_start_fraction = 0.1;
    s.settings.slow_start_duration = 5000;
    TenantSettings tenant;
    tenant.name = "t0";
    tenant.quota_per_s = 40;
    s.settings.tenants.push_back(tenant);
    s.servers = 24;
    s.failing = 0.12;
  }
  return all;
}

// Plays one sequence: invents events, tells them to a Policy and follows the attempts that it starts.
class Player {
 public:
  Player(const Scenario& scenario, std::uint64_t seed)
      : scenario_(scenario), random_(seed * 7919 + 13), settings_(scenario.settings) {
    policy_ = std::make_unique<Policy>(settings_, seed);
    for (int i = 0; i < scenario.servers; ++i) servers_.push_back(NewServer());
  }

  std::uint64_t Play(int events) {
    TellList(EndpointUpdate::Kind::kSnapshot);
    for (int i = 0; i < events; ++i) {
      now_ += random_.Between(0, 2 * scenario_.pause);
      if (random_.Chance(0.001)) now_ += random_.Between(100, 4000);
      FireTimers();
      PlayOne();
    }
    AddSnapshot(digest_, *policy_);
    return digest_.value();
  }

 private:
  struct OpenAttempt {
    std::string request;
    int attempt = 0;
    std::string server;
    Millis sent = 0;
    Millis timeout = 0;
    bool streams = false;
  };
  struct OpenRequest {
    int attempts = 0;
    bool answered = false;
    bool coming = false;
  };

  void PlayOne() {
    const int kind = random_.Below(1000);
    if (kind < 420) return Arrive();
    if (kind < 860) return EndAttempt();
    if (kind < 880) return Leave();
    if (kind < 900) return TellChange();
    if (kind < 904) return TellList(EndpointUpdate::Kind::kSnapshot);
    if (kind < 908) return TellFailed();
    if (kind < 918 && scenario_.maintenance) return Maintain();
    if (kind < 940 && scenario_.bodies) return CompleteBody();
    if (kind < 962 && (scenario_.bodies || scenario_.tunnels)) return BeginAnswer();
    if (kind < 970 && scenario_.tunnels) return AdoptTunnel();
    if (kind < 978 && scenario_.peers) return TellPeers();
    if (kind < 984 && scenario_.zones) return TellZones();
    if (kind < 986 && scenario_.reconfigures) return Reconfigure();
    if (kind < 987 && scenario_.restores) return Restore();
    if (kind < 992) return TellNonsense();
    EndAttempt();
  }

  void Handle(const Event& event) {
    std::vector<Action> actions;
    policy_->Handle(now_, event, actions);
    digest_.Add(static_cast<int>(actions.size()));
    for (const Action& action : actions) {
      std::visit(ActionDigest{digest_}, action);
      Follow(action);
    }
  }

  void Follow(const Action& action) {
    if (const auto* send = std::get_if<StartAttempt>(&action)) {
      OpenRequest& open = requests_[send->request];
      OpenAttempt attempt;
      attempt.request = send->request;
      attempt.attempt = open.attempts++;
      attempt.server = send->endpoint;
      attempt.sent = now_;
      attempt.timeout = send->timeout;
      attempts_.push_back(attempt);
    } else if (const auto* refuse = std::get_if<Reject>(&action)) {
      requests_[refuse->request].answered = true;
    } else if (const auto* fail = std::get_if<Fail>(&action)) {
      requests_[fail->request].answered = true;
    } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
      timers_.emplace(now_ + timer->delay, timer->name);
    }
  }

  void FireTimers() {
    const Millis until = now_;
    while (!timers_.empty() && timers_.begin()->first <= until) {
      const auto [due, name] = *timers_.begin();
      timers_.erase(timers_.begin());
      now_ = std::max(due, last_);
      last_ = now_;
      TimerExpired event;
      event.name = name;
      Handle(event);
    }
    now_ = until;
    last_ = now_;
  }

  Endpoint NewServer() {
    const int number = next_server_++;
    Endpoint server;
    server.id = "s" + std::to_string(number);
    server.zone = "z" + std::to_string(number % 3);
    server.kind = number % 4 == 3 ? "large" : "small";
    server.cell = "c" + std::to_string(number % 5);
    server.weight = number % 4 == 3 ? 2 : 1;
    server.started_at = scenario_.restarts && random_.Chance(0.3) ? now_ - random_.Between(0, 4000) : 0;
    bad_[server.id] = random_.Chance(0.15);
    return server;
  }

  void Arrive() {
    Request request;
    request.id = "r" + std::to_string(next_request_++);
    const auto& classes = settings_.classes;
    const auto& c = classes[random_.Next() % classes.size()];
    request.class_name = random_.Chance(0.005) ? "unknown" : c.name;
    request.tenant = settings_.tenants.empty() ? "" : "t" + std::to_string(random_.Below(5));
    request.key = random_.Chance(0.7) ? "k" + std::to_string(random_.Below(60)) : "";
    request.time_left = c.deadline * (random_.Chance(0.7) ? 1 : random_.Between(0.02, 1.2));
    if (random_.Chance(0.002)) request.time_left = std::numeric_limits<double>::quiet_NaN();
    if (random_.Chance(0.002)) request.time_left = -5;
    request.is_retry = random_.Chance(0.15);
    request.body_pending = scenario_.bodies && random_.Chance(0.2);
    if (random_.Chance(0.1)) request.idempotency = c.idempotency;
    if (random_.Chance(0.01)) request.idempotency = Idempotency::kIdempotencyKey;
    if (scenario_.tunnels) {
      request.is_tunnel = random_.Chance(0.3);
      if (random_.Chance(0.15)) request.pinned_endpoint = servers_[random_.Next() % servers_.size()].id;
    }
    requests_[request.id].coming = request.body_pending;
    latest_ = request.id;
    Handle(request);
  }

  std::size_t AnyAttempt() { return static_cast<std::size_t>(random_.Next() % attempts_.size()); }

  AttemptResult DrawResult(const OpenAttempt& attempt, bool timed_out) {
    if (timed_out) return AttemptResult::kTimedOut;
    const double failing = bad_[attempt.server] ? 0.7 : scenario_.failing;
    if (!random_.Chance(failing)) return AttemptResult::kServed;
    const AttemptResult results[] = {AttemptResult::kError,         AttemptResult::kRejected,
                                     AttemptResult::kConnectFailed, AttemptResult::kConnectFailed,
                                     AttemptResult::kReset,         AttemptResult::kCancelled,
                                     AttemptResult::kNotSent,       AttemptResult::kTimedOut};
    return results[random_.Below(8)];
  }

  void EndAttempt() {
    if (attempts_.empty()) return;
    std::size_t index = AnyAttempt();
    for (std::size_t i = 0; i < attempts_.size(); ++i) {
      if (now_ - attempts_[i].sent >= attempts_[i].timeout) index = i;
    }
    const OpenAttempt attempt = attempts_[index];
    attempts_.erase(attempts_.begin() + static_cast<std::ptrdiff_t>(index));
    OpenRequest& open = requests_[attempt.request];
    const bool timed_out = now_ - attempt.sent >= attempt.timeout && !attempt.streams;
    AttemptOutcome outcome;
    outcome.request = attempt.request;
    outcome.attempt = attempt.attempt;
    outcome.endpoint = attempt.server;
    outcome.result = DrawResult(attempt, timed_out);
    outcome.request_finished = open.answered;
    outcome.latency = timed_out ? attempt.timeout : random_.Between(2, bad_[attempt.server] ? 500 : 120);
    if (random_.Chance(0.002)) outcome.latency = std::numeric_limits<double>::quiet_NaN();
    if (random_.Chance(0.9)) {
      for (std::size_t i = 0; i < settings_.load_report_fields.size(); ++i) {
        outcome.load.push_back(random_.Chance(0.02) ? std::numeric_limits<double>::quiet_NaN()
                                                    : random_.Between(0, 1.3));
      }
    }
    outcome.not_replayable = scenario_.bodies && random_.Chance(0.1);
    if (outcome.result == AttemptResult::kServed) open.answered = true;
    Handle(outcome);
  }

  void Leave() {
    ClientDisconnected event;
    event.request = attempts_.empty() || random_.Chance(0.3) ? latest_ : attempts_[AnyAttempt()].request;
    requests_[event.request].answered = true;
    Handle(event);
  }

  void TellList(EndpointUpdate::Kind kind) {
    EndpointUpdate news;
    news.kind = kind;
    news.endpoints = servers_;
    Handle(news);
  }

  void TellFailed() {
    EndpointUpdate news;
    news.kind = EndpointUpdate::Kind::kFailed;
    Handle(news);
  }

  void TellChange() {
    EndpointUpdate news;
    news.kind = EndpointUpdate::Kind::kDelta;
    Endpoint& server = servers_[random_.Next() % servers_.size()];
    const int what = random_.Below(10);
    if (what < 3) {
      server.state = server.state == EndpointState::kUp ? EndpointState::kDraining : EndpointState::kUp;
    } else if (what < 5) {
      server.state = EndpointState::kRemoved;
      news.endpoints.push_back(server);
      server = NewServer();
    } else if (what < 8 && scenario_.restarts) {
      server.started_at = now_ - random_.Between(0, 500);
    } else if (what == 8) {
      bad_[server.id] = !bad_[server.id];
    } else {
      server.weight = random_.Chance(0.1) ? -1 : random_.Between(0.5, 3);
    }
    news.endpoints.push_back(server);
    Handle(news);
  }

  void Maintain() {
    const std::string& id = servers_[random_.Next() % servers_.size()].id;
    if (random_.Chance(0.45)) {
      MaintenanceStarted event;
      event.endpoint = random_.Chance(0.05) ? "unknown" : id;
      Handle(event);
    } else {
      MaintenanceEnded event;
      event.endpoint = id;
      const auto out = policy_->Snapshot().in_maintenance;
      if (!out.empty()) event.endpoint = out[random_.Next() % out.size()];
      Handle(event);
    }
  }

  void CompleteBody() {
    for (const auto& attempt : attempts_) {
      OpenRequest& open = requests_[attempt.request];
      if (!open.coming) continue;
      open.coming = false;
      RequestBodyComplete event;
      event.request = attempt.request;
      event.time_left = random_.Between(50, 600);
      return Handle(event);
    }
  }

  void BeginAnswer() {
    if (attempts_.empty()) return;
    OpenAttempt& attempt = attempts_[AnyAttempt()];
    requests_[attempt.request].answered = true;
    attempt.streams = true;
    ResponseStarted event;
    event.request = attempt.request;
    event.attempt = attempt.attempt;
    event.latency = random_.Chance(0.1) ? 0 : random_.Between(1, 150);
    Handle(event);
  }

  void AdoptTunnel() {
    TunnelCountChanged event;
    event.endpoint = servers_[random_.Next() % servers_.size()].id;
    event.delta = random_.Chance(0.5) ? 1 : -1;
    Handle(event);
  }

  void TellPeers() {
    MembershipUpdate event;
    event.configured = random_.Chance(0.05) ? settings_.gateway_count + 1 : settings_.gateway_count;
    event.present = 1 + random_.Below(event.configured + 1);
    event.rank = random_.Below(event.configured);
    event.quorum_until = now_ + random_.Between(-200, 1500);
    if (random_.Chance(0.4)) {
      Gossip::Start start;
      start.endpoint = servers_[random_.Next() % servers_.size()].id;
      start.started_at = now_ - random_.Between(-100, 3000);
      event.gossip.started.push_back(start);
    }
    if (random_.Chance(0.4)) {
      event.gossip.recovered.push_back(servers_[random_.Next() % servers_.size()].id);
    }
    Handle(event);
  }

  void TellZones() {
    ZoneAgreement event;
    event.term = 1 + static_cast<std::uint64_t>(random_.Below(3));
    event.version = ++zone_version_;
    for (int i = 0; i < 3; ++i) {
      if (random_.Chance(0.05)) continue;
      ZoneAgreement::Zone zone;
      zone.name = "z" + std::to_string(i);
      zone.health = random_.Chance(0.4) ? 1 : 0.1 * random_.Below(11);
      zone.capacity = 4 + random_.Below(6);
      zone.demand = random_.Between(0, 200);
      event.zones.push_back(zone);
    }
    Handle(event);
  }

  void Reconfigure() {
    TrafficClassSettings& c = settings_.classes[random_.Next() % settings_.classes.size()];
    c.latency_objective = random_.Between(60, 400);
    c.priority_weight = random_.Between(0.5, 4);
    if (random_.Chance(0.3))
      c.idempotency =
          c.idempotency == Idempotency::kIdempotent ? Idempotency::kNonIdempotent : Idempotency::kIdempotent;
    settings_.max_attempts = 1 + random_.Below(4);
    settings_.sends_retry_after = random_.Chance(0.5);
    if (settings_.classes.size() > 2 && random_.Chance(0.2)) settings_.classes.pop_back();
    SettingsChanged event;
    event.settings = settings_;
    Handle(event);
  }

  // A successor takes over: it gets the list first, then what was learned.
  void Restore() {
    const LearnedState learned = policy_->Snapshot();
    AddLearned(digest_, learned);
    policy_ = std::make_unique<Policy>(settings_, ++restores_);
    timers_.clear();
    attempts_.clear();
    requests_.clear();
    TellList(EndpointUpdate::Kind::kSnapshot);
    Handle(learned);
  }

  // Events about what does not exist, or no more.
  void TellNonsense() {
    if (random_.Chance(0.5)) {
      AttemptOutcome outcome;
      outcome.request = random_.Chance(0.5) ? "unknown" : latest_;
      outcome.attempt = random_.Below(4) - 1;
      outcome.endpoint = "s0";
      return Handle(outcome);
    }
    Request request;  // again under an id that is in use
    request.id = latest_;
    request.class_name = settings_.classes[0].name;
    request.time_left = 100;
    Handle(request);
  }

  const Scenario& scenario_;
  SplitMix64 random_;
  Settings settings_;
  std::unique_ptr<Policy> policy_;
  Digest digest_;
  Millis now_ = 1000, last_ = 0;
  std::multimap<Millis, std::string> timers_;
  std::vector<Endpoint> servers_;
  std::map<std::string, bool> bad_;
  std::vector<OpenAttempt> attempts_;
  std::map<std::string, OpenRequest> requests_;
  std::string latest_ = "none";
  int next_server_ = 0, next_request_ = 0;
  std::uint64_t zone_version_ = 0, restores_ = 1000;
};

constexpr int kEvents = 6000;
constexpr std::uint64_t kSeeds[] = {1, 2, 3, 4};

std::map<std::string, std::string> RecordedDigests() {
  std::map<std::string, std::string> recorded;
  std::ifstream file(MEADOWYARD_FIXTURES "/decision_digests.txt");
  std::string scenario, seed, digest;
  while (file >> scenario >> seed >> digest) recorded[scenario + " " + seed] = digest;
  return recorded;
}

std::string ToHex(std::uint64_t value) {
  std::string text(16, '0');
  for (int i = 15; i >= 0; --i, value >>= 4)
    text[static_cast<std::size_t>(i)] = "0123456789abcdef"[value & 15];
  return text;
}

class DecisionCharacterization : public ::testing::TestWithParam<Scenario> {};

TEST_P(DecisionCharacterization, KeepsEveryDecision) {
  const Scenario& scenario = GetParam();
  const auto recorded = RecordedDigests();
  const char* const write_to = std::getenv("MEADOWYARD_WRITE_DIGESTS");
  for (const std::uint64_t seed : kSeeds) {
    const std::string name = std::string(scenario.name) + " " + std::to_string(seed);
    const std::string digest = ToHex(Player(scenario, seed).Play(kEvents));
    if (write_to != nullptr) std::ofstream(write_to, std::ios::app) << name << ' ' << digest << '\n';
    const auto found = recorded.find(name);
    EXPECT_EQ(found == recorded.end() ? "nothing recorded" : found->second, digest) << name;
  }
}

INSTANTIATE_TEST_SUITE_P(Scenarios, DecisionCharacterization, ::testing::ValuesIn(Scenarios()),
                         [](const auto& parameter) { return std::string(parameter.param.name); });

}  // namespace
}  // namespace meadowyard
