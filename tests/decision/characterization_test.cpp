/// @file
/// Characterization test of the decision module: passes seeded random sequences of all kinds of events to a
/// Policy, and compares a digest of all actions and of the final snapshot with a recorded one.
///
/// The recorded digests, tests/fixtures/decision_digests.txt, were written by the program of commit ff1d420.
/// A change that is meant to keep every decision (of names, structure or comments) must not change any of
/// them. Only a commit that changes a decision intentionally, and says so in its message, may rewrite the
/// file; with MEADOWYARD_WRITE_DIGESTS=FILE the test appends the digests to FILE. The texts of log entries
/// are not part of the digests, only whether and when an entry is logged.
///
/// The digests are valid on x86-64 with the exp and log of the C library for processors with fused
/// multiply-add.
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

// Random number generator of the event sequences. The distributions of the standard library are not used,
// because they differ between implementations.
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

// FNV-1a hash over the bytes of all added values.
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
    // All NaNs count as equal: the sign and payload of a NaN are not a decision.
    Add(std::isnan(value) ? ~std::uint64_t{0} : std::bit_cast<std::uint64_t>(value));
  }
  void Add(const std::string& text) {
    Add(static_cast<std::uint64_t>(text.size()));
    for (const unsigned char byte : text) hash_ = (hash_ ^ byte) * 1099511628211ULL;
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

void AddLearnedState(Digest& digest, const LearnedState& learned) {
  for (const auto& endpoint_state : learned.endpoints) {
    digest.Add(endpoint_state.id);
    digest.Add(endpoint_state.latency);
    digest.Add(endpoint_state.average_latency);
    digest.Add(endpoint_state.uncongested_latency);
    digest.Add(endpoint_state.concurrency_limit);
    digest.Add(endpoint_state.failure_rate);
    digest.Add(endpoint_state.samples);
    digest.Add(endpoint_state.ejected);
    digest.Add(endpoint_state.connection_failed);
    digest.Add(endpoint_state.last_served_at);
    digest.Add(endpoint_state.started_at);
    digest.Add(endpoint_state.slow_start_credit);
  }
  for (const auto& kind_state : learned.kinds) {
    digest.Add(kind_state.name);
    digest.Add(kind_state.latency);
    digest.Add(kind_state.average_latency);
    digest.Add(kind_state.uncongested_latency);
    digest.Add(kind_state.samples);
  }
  for (const auto& class_state : learned.classes) {
    digest.Add(class_state.name);
    digest.Add(class_state.latency);
    digest.Add(class_state.observed_time_budget);
    digest.Add(class_state.samples);
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
  AddLearnedState(digest, policy.Snapshot());
  const auto stats = policy.CollectStats();
  digest.Add(stats.endpoints);
  digest.Add(stats.unavailable);
  digest.Add(stats.open_requests);
  digest.Add(stats.queued);
  digest.Add(stats.in_flight);
  digest.Add(stats.tunnels);
  digest.Add(stats.subset);
  digest.Add(stats.active_gateways);
  const auto gossip = policy.CollectGossip();
  for (const auto& start : gossip.started) {
    digest.Add(start.endpoint);
    digest.Add(start.started_at);
  }
  for (const std::string& id : gossip.recovered) digest.Add(id);
  const auto zone_load = policy.CollectZoneLoad();
  digest.Add(zone_load.zone);
  digest.Add(zone_load.arrival_rate);
  for (const auto& observed_zone : zone_load.zones) {
    digest.Add(observed_zone.zone);
    digest.Add(observed_zone.capacity);
    digest.Add(observed_zone.available);
    digest.Add(observed_zone.completed);
    digest.Add(observed_zone.within_objective);
  }
  for (const auto& zone_weight : policy.ZoneWeights()) {
    digest.Add(zone_weight.zone);
    digest.Add(zone_weight.weight);
  }
}

// The settings of a sequence, and the kinds of events that occur in it in addition to requests, outcomes,
// timers and updates of the endpoint list.
struct Scenario {
  const char* name = "";
  Settings settings;
  int endpoint_count = 12;
  bool streamed_bodies = false;  // requests whose body is still arriving, and streamed responses
  bool tunnels = false;          // tunnel requests, and requests pinned to one endpoint
  bool restarts = false;         // endpoint processes restart
  bool membership_updates = false;
  bool zones = false;  // zone agreements
  bool maintenance = false;
  bool changes_settings = false;
  bool restores_state = false;        // a new Policy takes over the learned state of the old one
  double failure_probability = 0.05;  // of an attempt at a healthy endpoint
  double mean_interval = 4;           // between events, in ms
};

void PrintTo(const Scenario& scenario, std::ostream* stream) { *stream << scenario.name; }

Settings BaseSettings() {
  Settings settings;
  const char* const names[] = {"view", "order", "charge", "report"};
  for (int i = 0; i < 4; ++i) {
    TrafficClassSettings traffic_class;
    traffic_class.name = names[i];
    traffic_class.latency_objective = 150 + 100 * i;
    traffic_class.deadline = 400 + 300 * i;
    traffic_class.priority_weight = 1 + i;
    traffic_class.late_weight = i % 2 == 0 ? 0.4 : 0;
    traffic_class.idempotency = i == 1   ? Idempotency::kIdempotencyKey
                                : i == 2 ? Idempotency::kNonIdempotent
                                         : Idempotency::kIdempotent;
    traffic_class.dedup_scope = DedupScope::kZone;
    traffic_class.dedup_window = i == 1 ? 900 : 0;
    settings.classes.push_back(traffic_class);
  }
  settings.zone = "z0";
  settings.max_attempts = 3;
  settings.sends_retry_after = true;
  settings.max_retry_after = 800;
  return settings;
}

std::vector<Scenario> Scenarios() {
  std::vector<Scenario> scenarios;
  const auto add_scenario = [&scenarios](const char* name) -> Scenario& {
    Scenario scenario;
    scenario.name = name;
    scenario.settings = BaseSettings();
    scenarios.push_back(std::move(scenario));
    return scenarios.back();
  };
  add_scenario("pushed");
  {
    Scenario& s = add_scenario("polled");
    s.settings.polls_endpoints = true;
    s.settings.max_poll_interval = 3000;
    s.settings.gateway_count = 5;
    s.settings.gateway_index = 2;
  }
  {
    Scenario& s = add_scenario("overload");
    s.mean_interval = 0.6;
    s.endpoint_count = 5;
    s.settings.max_attempts_in_flight = 40;
    s.settings.can_cancel_attempts = true;
  }
  {
    Scenario& s = add_scenario("fleet");
    s.settings.gateway_count = 300;
    s.settings.gateway_index = 117;
    s.endpoint_count = 60;
    s.failure_probability = 0.2;
    s.mean_interval = 30;
  }
  {
    Scenario& s = add_scenario("fleet_multiplexed");
    s.settings.gateway_count = 90;
    s.settings.streams_per_connection = 8;
    s.endpoint_count = 40;
    s.restarts = true;
    s.settings.slow_start_fraction = 0.1;
    s.settings.slow_start_duration = 15000;
    s.maintenance = true;
  }
  {
    Scenario& s = add_scenario("tenants");
    for (int i = 0; i < 4; ++i) {
      TenantSettings tenant;
      tenant.name = "t" + std::to_string(i);
      tenant.quota_per_s = 25 * i;
      s.settings.tenants.push_back(tenant);
    }
    s.settings.clients_mark_retries = true;
    s.settings.gateway_count = 2;
    s.mean_interval = 2;
  }
  {
    Scenario& s = add_scenario("tenants_unmarked");
    TenantSettings tenant;
    tenant.name = "t1";
    tenant.quota_per_s = 60;
    s.settings.tenants.push_back(tenant);
    s.mean_interval = 2;
  }
  {
    Scenario& s = add_scenario("keyed_affinity");
    s.settings.key_affinity = true;
    s.settings.load_report_fields = {"inflight", "util"};
    s.settings.classes[1].dedup_scope = DedupScope::kCell;
    s.settings.classes[3].idempotency = Idempotency::kIdempotencyKey;
    s.settings.classes[3].dedup_window = 3000;
    s.settings.classes[3].dedup_scope = DedupScope::kAll;
    s.failure_probability = 0.15;
  }
  {
    Scenario& s = add_scenario("cold");
    s.settings.slow_start_fraction = 0.05;
    s.settings.slow_start_duration = 8000;
    s.settings.overload_multiple = 2.5;
    s.settings.load_report_fields = {"util"};
    s.restarts = true;
    s.maintenance = true;
  }
  {
    Scenario& s = add_scenario("peers");
    s.settings.gateway_count = 6;
    s.settings.subset_size = 4;
    s.settings.slow_start_fraction = 0.1;
    s.settings.slow_start_duration = 6000;
    s.endpoint_count = 24;
    s.membership_updates = true;
    s.restarts = true;
    s.failure_probability = 0.15;
  }
  {
    Scenario& s = add_scenario("zones");
    s.settings.zone_routing.enabled = true;
    s.settings.zone_routing.regions = {{"z0", 0}, {"z1", 0}, {"z2", 1}};
    s.settings.gateway_count = 4;
    s.zones = true;
    s.endpoint_count = 18;
    s.failure_probability = 0.1;
  }
  {
    Scenario& s = add_scenario("zones_peers");
    s.settings.zone_routing.enabled = true;
    s.settings.zone_routing.overprovisioning = 1.2;
    s.settings.zone_routing.max_overflow = 0.5;
    s.settings.gateway_count = 12;
    s.settings.subset_size = 8;
    s.zones = true;
    s.membership_updates = true;
    s.restarts = true;
    s.settings.slow_start_fraction = 0.2;
    s.settings.slow_start_duration = 4000;
    s.endpoint_count = 30;
  }
  {
    Scenario& s = add_scenario("tunnels");
    s.tunnels = true;
    s.settings.max_tunnels_per_endpoint = 4;
    s.settings.can_cancel_attempts = true;
    s.maintenance = true;
  }
  {
    Scenario& s = add_scenario("bodies");
    s.streamed_bodies = true;
    s.settings.can_cancel_attempts = true;
    s.settings.load_report_fields = {"util", "inflight"};
  }
  {
    Scenario& s = add_scenario("reconfigured");
    s.changes_settings = true;
    s.streamed_bodies = true;
    s.maintenance = true;
    s.settings.clients_mark_retries = true;
  }
  {
    Scenario& s = add_scenario("restored");
    s.restores_state = true;
    s.maintenance = true;
    s.restarts = true;
    s.settings.slow_start_fraction = 0.3;
    s.settings.slow_start_duration = 5000;
  }
  {
    Scenario& s = add_scenario("everything");
    s.streamed_bodies = s.tunnels = s.restarts = s.membership_updates = s.zones = s.maintenance =
        s.changes_settings = s.restores_state = true;
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
    s.endpoint_count = 24;
    s.failure_probability = 0.12;
  }
  return scenarios;
}

// Runs one sequence: generates random events, passes them to a Policy and tracks the attempts that it starts.
class ScenarioRunner {
 public:
  ScenarioRunner(const Scenario& scenario, std::uint64_t seed)
      : scenario_(scenario), random_(seed * 7919 + 13), settings_(scenario.settings) {
    policy_ = std::make_unique<Policy>(settings_, seed);
    for (int i = 0; i < scenario.endpoint_count; ++i) endpoint_list_.push_back(NewEndpoint());
  }

  std::uint64_t Run(int events) {
    SendEndpointList(EndpointUpdate::Kind::kSnapshot);
    for (int i = 0; i < events; ++i) {
      now_ += random_.Between(0, 2 * scenario_.mean_interval);
      if (random_.Chance(0.001)) now_ += random_.Between(100, 4000);
      FireTimers();
      GenerateEvent();
    }
    AddSnapshot(digest_, *policy_);
    return digest_.value();
  }

 private:
  struct OpenAttempt {
    std::string request;
    int attempt = 0;
    std::string endpoint_id;
    Millis sent_at = 0;
    Millis timeout = 0;
    bool is_streaming = false;
  };
  struct OpenRequest {
    int attempts = 0;
    bool answered = false;
    bool is_body_pending = false;
  };

  void GenerateEvent() {
    const int kind = random_.Below(1000);
    if (kind < 420) return SendRequest();
    if (kind < 860) return EndAttempt();
    if (kind < 880) return DisconnectClient();
    if (kind < 900) return SendListChange();
    if (kind < 904) return SendEndpointList(EndpointUpdate::Kind::kSnapshot);
    if (kind < 908) return SendFailedPoll();
    if (kind < 918 && scenario_.maintenance) return ChangeMaintenance();
    if (kind < 940 && scenario_.streamed_bodies) return CompleteBody();
    if (kind < 962 && (scenario_.streamed_bodies || scenario_.tunnels)) return StartResponse();
    if (kind < 970 && scenario_.tunnels) return ChangeTunnelCount();
    if (kind < 978 && scenario_.membership_updates) return SendMembershipUpdate();
    if (kind < 984 && scenario_.zones) return SendZoneAgreement();
    if (kind < 986 && scenario_.changes_settings) return ChangeSettings();
    if (kind < 987 && scenario_.restores_state) return ReplacePolicy();
    if (kind < 992) return SendInvalidEvent();
    EndAttempt();
  }

  void Handle(const Event& event) {
    std::vector<Action> actions;
    policy_->Handle(now_, event, actions);
    digest_.Add(static_cast<int>(actions.size()));
    for (const Action& action : actions) {
      std::visit(ActionDigest{digest_}, action);
      TrackAction(action);
    }
  }

  void TrackAction(const Action& action) {
    if (const auto* start_attempt = std::get_if<StartAttempt>(&action)) {
      OpenRequest& open = requests_[start_attempt->request];
      OpenAttempt attempt;
      attempt.request = start_attempt->request;
      attempt.attempt = open.attempts++;
      attempt.endpoint_id = start_attempt->endpoint;
      attempt.sent_at = now_;
      attempt.timeout = start_attempt->timeout;
      attempts_.push_back(attempt);
    } else if (const auto* reject = std::get_if<Reject>(&action)) {
      requests_[reject->request].answered = true;
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
      now_ = std::max(due, last_event_at_);
      last_event_at_ = now_;
      TimerExpired event;
      event.name = name;
      Handle(event);
    }
    now_ = until;
    last_event_at_ = now_;
  }

  Endpoint NewEndpoint() {
    const int number = next_endpoint_number_++;
    Endpoint entry;
    entry.id = "s" + std::to_string(number);
    entry.zone = "z" + std::to_string(number % 3);
    entry.kind = number % 4 == 3 ? "large" : "small";
    entry.cell = "c" + std::to_string(number % 5);
    entry.weight = number % 4 == 3 ? 2 : 1;
    entry.started_at = scenario_.restarts && random_.Chance(0.3) ? now_ - random_.Between(0, 4000) : 0;
    is_faulty_[entry.id] = random_.Chance(0.15);
    return entry;
  }

  void SendRequest() {
    Request request;
    request.id = "r" + std::to_string(next_request_number_++);
    const auto& classes = settings_.classes;
    const auto& traffic_class = classes[random_.Next() % classes.size()];
    request.class_name = random_.Chance(0.005) ? "unknown" : traffic_class.name;
    request.tenant = settings_.tenants.empty() ? "" : "t" + std::to_string(random_.Below(5));
    request.key = random_.Chance(0.7) ? "k" + std::to_string(random_.Below(60)) : "";
    request.time_left = traffic_class.deadline * (random_.Chance(0.7) ? 1 : random_.Between(0.02, 1.2));
    if (random_.Chance(0.002)) request.time_left = std::numeric_limits<double>::quiet_NaN();
    if (random_.Chance(0.002)) request.time_left = -5;
    request.is_retry = random_.Chance(0.15);
    request.body_pending = scenario_.streamed_bodies && random_.Chance(0.2);
    if (random_.Chance(0.1)) request.idempotency = traffic_class.idempotency;
    if (random_.Chance(0.01)) request.idempotency = Idempotency::kIdempotencyKey;
    if (scenario_.tunnels) {
      request.is_tunnel = random_.Chance(0.3);
      if (random_.Chance(0.15))
        request.pinned_endpoint = endpoint_list_[random_.Next() % endpoint_list_.size()].id;
    }
    requests_[request.id].is_body_pending = request.body_pending;
    latest_request_id_ = request.id;
    Handle(request);
  }

  std::size_t RandomAttemptIndex() { return static_cast<std::size_t>(random_.Next() % attempts_.size()); }

  AttemptResult DrawResult(const OpenAttempt& attempt, bool timed_out) {
    if (timed_out) return AttemptResult::kTimedOut;
    const double failure_probability = is_faulty_[attempt.endpoint_id] ? 0.7 : scenario_.failure_probability;
    if (!random_.Chance(failure_probability)) return AttemptResult::kServed;
    const AttemptResult results[] = {AttemptResult::kError,         AttemptResult::kRejected,
                                     AttemptResult::kConnectFailed, AttemptResult::kConnectFailed,
                                     AttemptResult::kReset,         AttemptResult::kCancelled,
                                     AttemptResult::kNotSent,       AttemptResult::kTimedOut};
    return results[random_.Below(8)];
  }

  void EndAttempt() {
    if (attempts_.empty()) return;
    std::size_t index = RandomAttemptIndex();
    for (std::size_t i = 0; i < attempts_.size(); ++i) {
      if (now_ - attempts_[i].sent_at >= attempts_[i].timeout) index = i;
    }
    const OpenAttempt attempt = attempts_[index];
    attempts_.erase(attempts_.begin() + static_cast<std::ptrdiff_t>(index));
    OpenRequest& open = requests_[attempt.request];
    const bool timed_out = now_ - attempt.sent_at >= attempt.timeout && !attempt.is_streaming;
    AttemptOutcome outcome;
    outcome.request = attempt.request;
    outcome.attempt = attempt.attempt;
    outcome.endpoint = attempt.endpoint_id;
    outcome.result = DrawResult(attempt, timed_out);
    outcome.request_finished = open.answered;
    outcome.latency =
        timed_out ? attempt.timeout : random_.Between(2, is_faulty_[attempt.endpoint_id] ? 500 : 120);
    if (random_.Chance(0.002)) outcome.latency = std::numeric_limits<double>::quiet_NaN();
    if (random_.Chance(0.9)) {
      for (std::size_t i = 0; i < settings_.load_report_fields.size(); ++i) {
        outcome.load.push_back(random_.Chance(0.02) ? std::numeric_limits<double>::quiet_NaN()
                                                    : random_.Between(0, 1.3));
      }
    }
    outcome.not_replayable = scenario_.streamed_bodies && random_.Chance(0.1);
    if (outcome.result == AttemptResult::kServed) open.answered = true;
    Handle(outcome);
  }

  void DisconnectClient() {
    ClientDisconnected event;
    event.request = attempts_.empty() || random_.Chance(0.3) ? latest_request_id_
                                                             : attempts_[RandomAttemptIndex()].request;
    requests_[event.request].answered = true;
    Handle(event);
  }

  void SendEndpointList(EndpointUpdate::Kind kind) {
    EndpointUpdate update;
    update.kind = kind;
    update.endpoints = endpoint_list_;
    Handle(update);
  }

  void SendFailedPoll() {
    EndpointUpdate update;
    update.kind = EndpointUpdate::Kind::kFailed;
    Handle(update);
  }

  void SendListChange() {
    EndpointUpdate update;
    update.kind = EndpointUpdate::Kind::kDelta;
    Endpoint& entry = endpoint_list_[random_.Next() % endpoint_list_.size()];
    const int change_kind = random_.Below(10);
    if (change_kind < 3) {
      entry.state = entry.state == EndpointState::kUp ? EndpointState::kDraining : EndpointState::kUp;
    } else if (change_kind < 5) {
      entry.state = EndpointState::kRemoved;
      update.endpoints.push_back(entry);
      entry = NewEndpoint();
    } else if (change_kind < 8 && scenario_.restarts) {
      entry.started_at = now_ - random_.Between(0, 500);
    } else if (change_kind == 8) {
      is_faulty_[entry.id] = !is_faulty_[entry.id];
    } else {
      entry.weight = random_.Chance(0.1) ? -1 : random_.Between(0.5, 3);
    }
    update.endpoints.push_back(entry);
    Handle(update);
  }

  void ChangeMaintenance() {
    const std::string& id = endpoint_list_[random_.Next() % endpoint_list_.size()].id;
    if (random_.Chance(0.45)) {
      MaintenanceStarted event;
      event.endpoint = random_.Chance(0.05) ? "unknown" : id;
      Handle(event);
    } else {
      MaintenanceEnded event;
      event.endpoint = id;
      const auto maintained_ids = policy_->Snapshot().in_maintenance;
      if (!maintained_ids.empty()) event.endpoint = maintained_ids[random_.Next() % maintained_ids.size()];
      Handle(event);
    }
  }

  void CompleteBody() {
    for (const auto& attempt : attempts_) {
      OpenRequest& open = requests_[attempt.request];
      if (!open.is_body_pending) continue;
      open.is_body_pending = false;
      RequestBodyComplete event;
      event.request = attempt.request;
      event.time_left = random_.Between(50, 600);
      return Handle(event);
    }
  }

  void StartResponse() {
    if (attempts_.empty()) return;
    OpenAttempt& attempt = attempts_[RandomAttemptIndex()];
    requests_[attempt.request].answered = true;
    attempt.is_streaming = true;
    ResponseStarted event;
    event.request = attempt.request;
    event.attempt = attempt.attempt;
    event.latency = random_.Chance(0.1) ? 0 : random_.Between(1, 150);
    Handle(event);
  }

  void ChangeTunnelCount() {
    TunnelCountChanged event;
    event.endpoint = endpoint_list_[random_.Next() % endpoint_list_.size()].id;
    event.delta = random_.Chance(0.5) ? 1 : -1;
    Handle(event);
  }

  void SendMembershipUpdate() {
    MembershipUpdate event;
    event.configured = random_.Chance(0.05) ? settings_.gateway_count + 1 : settings_.gateway_count;
    event.present = 1 + random_.Below(event.configured + 1);
    event.rank = random_.Below(event.configured);
    event.quorum_until = now_ + random_.Between(-200, 1500);
    if (random_.Chance(0.4)) {
      Gossip::Start start;
      start.endpoint = endpoint_list_[random_.Next() % endpoint_list_.size()].id;
      start.started_at = now_ - random_.Between(-100, 3000);
      event.gossip.started.push_back(start);
    }
    if (random_.Chance(0.4)) {
      event.gossip.recovered.push_back(endpoint_list_[random_.Next() % endpoint_list_.size()].id);
    }
    Handle(event);
  }

  void SendZoneAgreement() {
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

  void ChangeSettings() {
    TrafficClassSettings& traffic_class = settings_.classes[random_.Next() % settings_.classes.size()];
    traffic_class.latency_objective = random_.Between(60, 400);
    traffic_class.priority_weight = random_.Between(0.5, 4);
    if (random_.Chance(0.3))
      traffic_class.idempotency = traffic_class.idempotency == Idempotency::kIdempotent
                                      ? Idempotency::kNonIdempotent
                                      : Idempotency::kIdempotent;
    settings_.max_attempts = 1 + random_.Below(4);
    settings_.sends_retry_after = random_.Chance(0.5);
    if (settings_.classes.size() > 2 && random_.Chance(0.2)) settings_.classes.pop_back();
    SettingsChanged event;
    event.settings = settings_;
    Handle(event);
  }

  // Replaces the Policy by a new one, as in a hot restart: passes the endpoint list first, then the learned
  // state.
  void ReplacePolicy() {
    const LearnedState learned = policy_->Snapshot();
    AddLearnedState(digest_, learned);
    policy_ = std::make_unique<Policy>(settings_, ++policy_seed_);
    timers_.clear();
    attempts_.clear();
    requests_.clear();
    SendEndpointList(EndpointUpdate::Kind::kSnapshot);
    Handle(learned);
  }

  // Sends an outcome of an unknown or finished attempt, or a request with an id that is in use.
  void SendInvalidEvent() {
    if (random_.Chance(0.5)) {
      AttemptOutcome outcome;
      outcome.request = random_.Chance(0.5) ? "unknown" : latest_request_id_;
      outcome.attempt = random_.Below(4) - 1;
      outcome.endpoint = "s0";
      return Handle(outcome);
    }
    Request request;  // with an id that is in use
    request.id = latest_request_id_;
    request.class_name = settings_.classes[0].name;
    request.time_left = 100;
    Handle(request);
  }

  const Scenario& scenario_;
  SplitMix64 random_;
  Settings settings_;
  std::unique_ptr<Policy> policy_;
  Digest digest_;
  Millis now_ = 1000, last_event_at_ = 0;
  std::multimap<Millis, std::string> timers_;
  std::vector<Endpoint> endpoint_list_;
  std::map<std::string, bool> is_faulty_;
  std::vector<OpenAttempt> attempts_;
  std::map<std::string, OpenRequest> requests_;
  std::string latest_request_id_ = "none";
  int next_endpoint_number_ = 0, next_request_number_ = 0;
  std::uint64_t zone_version_ = 0, policy_seed_ = 1000;
};

constexpr int kEventsPerSequence = 6000;
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
  const char* const output_path = std::getenv("MEADOWYARD_WRITE_DIGESTS");
  for (const std::uint64_t seed : kSeeds) {
    const std::string name = std::string(scenario.name) + " " + std::to_string(seed);
    const std::string digest = ToHex(ScenarioRunner(scenario, seed).Run(kEventsPerSequence));
    if (output_path != nullptr) std::ofstream(output_path, std::ios::app) << name << ' ' << digest << '\n';
    const auto found = recorded.find(name);
    EXPECT_EQ(found == recorded.end() ? "nothing recorded" : found->second, digest) << name;
  }
}

INSTANTIATE_TEST_SUITE_P(Scenarios, DecisionCharacterization, ::testing::ValuesIn(Scenarios()),
                         [](const auto& parameter) { return std::string(parameter.param.name); });

}  // namespace
}  // namespace meadowyard
