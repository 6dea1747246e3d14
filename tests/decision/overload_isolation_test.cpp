/// @file
/// Isolation of tenants under overload. Two regular tenants send to simulated hosts on a virtual clock, first
/// alone and then together with a tenant that misbehaves within the protocol. Compares and prints, as a table
/// row, what the regular tenants are served in both phases.
#include <gtest/gtest.h>

#include <cmath>
#include <cstdio>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <set>

#include "decision/policy_driver.hpp"

namespace meadowyard::testing {
namespace {

constexpr Millis kPhaseDuration = 10000, kMeanWork = 50;  // ms; work is the time of a request on one core
// Together the hosts serve 320 requests per second. A host rejects requests when kMaxWaitingPerHost requests
// are waiting.
constexpr int kHostCount = 4, kCoresPerHost = 4, kMaxWaitingPerHost = 32;

// How the misbehaving tenant acts, and how well the regular tenants must be served in spite of it.
struct TenantBehaviour {
  const char* name;
  double requests_per_s = 0;
  int burst_size = 1;                // requests at the same instant
  Millis declared_time_left = 1500;  // deadline that its clients declare
  double work = 1;                   // mean work of a request, as a multiple of kMeanWork
  bool uses_one_key = false;
  bool retries_at_once = false;  // retries 1 ms after a rejection
  bool marked_as_retry = false;  // marks all requests as retries
  bool has_quotas = true;
  // Minimum of the share of requests answered in time, for the regular tenant with the lower share, relative
  // to the first phase.
  double min_service_ratio = 0;
};
void PrintTo(const TenantBehaviour& value, std::ostream* out) { *out << value.name; }

// Runs both phases with the Policy and simulated hosts.
class OverloadSimulation {
 public:
  explicit OverloadSimulation(const TenantBehaviour& behaviour)
      : behaviour_(behaviour), policy_(MakePolicySettings(behaviour), 3) {
    EndpointUpdate endpoint_update;
    for (int index = 0; index < kHostCount; ++index)
      endpoint_update.endpoints.push_back(MakeEndpoint("h" + std::to_string(index)));
    Handle(endpoint_update);
    for (const char* tenant : {"tenant_a", "tenant_b"})
      ScheduleArrivals(tenant, 80, 1, [this, tenant] { SendRegularRequest(tenant); });
    Schedule(kPhaseDuration, [this] {
      ScheduleArrivals("misbehaving", behaviour_.requests_per_s, behaviour_.burst_size, [this] {
        for (int i = 0; i < behaviour_.burst_size; ++i) SendMisbehavingRequest(behaviour_.marked_as_retry, 0);
      });
    });
    while (!scheduled_.empty() && scheduled_.top().at < 2 * kPhaseDuration + 3000) {
      const ScheduledCallback next = scheduled_.top();
      scheduled_.pop();
      now_ = next.at;
      next.callback();
    }
  }

  // Requests of one tenant in one phase.
  struct TenantStats {
    int request_count = 0, in_time_count = 0;
    double latency = 0;  // ms, sum over the served requests
  };
  // By tenant, without the misbehaving tenant (0) and with it (1).
  std::map<std::string, TenantStats> stats_by_tenant[2];

 private:
  struct ScheduledCallback {
    Millis at = 0;
    long sequence_number = 0;
    std::function<void()> callback;
    bool operator<(const ScheduledCallback& other) const {
      return std::pair(other.at, other.sequence_number) < std::pair(at, sequence_number);
    }
  };
  struct Job {
    std::string id;
    int attempt = 0;
    Millis work = 0;
  };
  struct Host {
    int busy_cores = 0;
    std::deque<Job> waiting;
  };
  struct RequestRecord {
    std::string tenant;
    Millis arrived_at = 0, work = kMeanWork;
    bool is_finished = false;
    int client_retries = 0, attempts = 0;
  };

  static Settings MakePolicySettings(const TenantBehaviour& behaviour) {
    Settings settings;
    TrafficClassSettings view_class = MakeClass("view", Idempotency::kIdempotent, 2);
    view_class.latency_objective = 600, view_class.deadline = 1500;
    settings.classes = {view_class};
    settings.max_attempts = 3;
    settings.can_cancel_attempts = settings.sends_retry_after = settings.clients_mark_retries =
        settings.key_affinity = true;
    settings.max_retry_after = 2000;
    if (behaviour.has_quotas) settings.tenants = {{"tenant_a", 110}, {"tenant_b", 110}, {"misbehaving", 100}};
    return settings;
  }

  void Schedule(Millis at, std::function<void()> callback) {
    scheduled_.push({at, ++last_sequence_number_, std::move(callback)});
  }
  double Uniform() { return static_cast<double>(random_() >> 11) / 9007199254740992.0; }
  double Exponential(double mean) { return -mean * std::log(1 - Uniform()); }
  void ScheduleArrivals(const std::string& sender, double requests_per_s, int burst_size,
                        std::function<void()> callback) {
    Schedule(now_ + Exponential(1000.0 * burst_size / requests_per_s), [=, this] {
      if (now_ > 2 * kPhaseDuration) return;
      callback();
      ScheduleArrivals(sender, requests_per_s, burst_size, callback);
    });
  }

  void SendRegularRequest(const std::string& tenant) {
    SendRequest(tenant, 1500, kMeanWork, "k" + std::to_string(random_() % 300), false, 0);
  }
  void SendMisbehavingRequest(bool marked_as_retry, int client_retries) {
    SendRequest("misbehaving", behaviour_.declared_time_left, kMeanWork * behaviour_.work,
                behaviour_.uses_one_key ? "hot" : "k" + std::to_string(random_() % 300), marked_as_retry,
                client_retries);
  }
  void SendRequest(const std::string& tenant, Millis declared_time_left, Millis work, const std::string& key,
                   bool has_retry_mark, int client_retries) {
    Request arrival;
    arrival.id = "r" + std::to_string(next_request_number_++);
    arrival.class_name = "view", arrival.tenant = tenant, arrival.key = key,
    arrival.time_left = declared_time_left, arrival.is_retry = has_retry_mark;
    records_[arrival.id] = {tenant, now_, Exponential(work), false, client_retries, 0};
    ++stats_by_tenant[now_ >= kPhaseDuration][tenant].request_count;
    Handle(arrival);
  }

  void Handle(const Event& event) {
    std::vector<Action> actions;
    policy_.Handle(now_, event, actions);
    for (const Action& action : actions) {
      if (const auto* start = std::get_if<StartAttempt>(&action)) StartAttemptOnHost(*start);
      if (const auto* reject = std::get_if<Reject>(&action)) OnRejected(reject->request);
      if (const auto* timer = std::get_if<SetTimer>(&action))
        Schedule(now_ + timer->delay, [this, name = timer->name] { Handle(TimerExpired{name}); });
    }
  }
  void OnRejected(const std::string& id) {
    RequestRecord& record = records_[id];
    record.is_finished = true;
    if (record.tenant == "misbehaving" && behaviour_.retries_at_once && record.client_retries < 20) {
      const int client_retries = record.client_retries + 1;
      Schedule(now_ + 1, [this, client_retries] { SendMisbehavingRequest(true, client_retries); });
    }
  }
  void StartAttemptOnHost(const StartAttempt& start) {
    RequestRecord& record = records_[start.request];
    const int attempt = record.attempts++;
    Schedule(now_ + start.timeout, [=, this, id = start.request, host = start.endpoint] {
      if (in_flight_.contains({id, attempt}))
        EndAttempt(id, attempt, host, AttemptResult::kTimedOut, now_ - start.timeout);
    });
    in_flight_.insert({start.request, attempt});
    started_at_[{start.request, attempt}] = now_;
    Host& host = hosts_[start.endpoint];
    if (host.busy_cores >= kCoresPerHost && static_cast<int>(host.waiting.size()) >= kMaxWaitingPerHost) {
      Schedule(now_ + 0.5, [=, this, id = start.request, at = start.endpoint] {
        if (in_flight_.contains({id, attempt}))
          EndAttempt(id, attempt, at, AttemptResult::kRejected, now_ - 0.5);
      });
      return;
    }
    host.waiting.push_back({start.request, attempt, record.work});
    ProcessWaitingJobs(start.endpoint);
  }
  void ProcessWaitingJobs(const std::string& name) {
    Host& host = hosts_[name];
    while (host.busy_cores < kCoresPerHost && !host.waiting.empty()) {
      const Job job = host.waiting.front();
      host.waiting.pop_front();
      if (!in_flight_.contains({job.id, job.attempt})) continue;  // timed out
      ++host.busy_cores;
      Schedule(now_ + job.work, [=, this] {
        --hosts_[name].busy_cores;
        if (in_flight_.contains({job.id, job.attempt}))
          EndAttempt(job.id, job.attempt, name, AttemptResult::kServed, started_at_[{job.id, job.attempt}]);
        ProcessWaitingJobs(name);
      });
    }
  }
  void EndAttempt(const std::string& id, int attempt, const std::string& host, AttemptResult result,
                  Millis started_at) {
    in_flight_.erase({id, attempt});
    RequestRecord& record = records_[id];
    if (result == AttemptResult::kServed && !record.is_finished) {
      record.is_finished = true;
      TenantStats& stats = stats_by_tenant[record.arrived_at >= kPhaseDuration][record.tenant];
      stats.in_time_count += now_ - record.arrived_at <= 600;
      stats.latency += now_ - record.arrived_at;
    }
    Handle(AttemptOutcome{id, attempt, host, result, record.is_finished, now_ - started_at, {}});
  }

  const TenantBehaviour& behaviour_;
  Policy policy_;
  Millis now_ = 0;
  long last_sequence_number_ = 0, next_request_number_ = 0;
  std::mt19937_64 random_{11};
  std::priority_queue<ScheduledCallback> scheduled_;
  std::map<std::string, Host> hosts_;
  std::map<std::string, RequestRecord> records_;
  std::set<std::pair<std::string, int>> in_flight_;
  std::map<std::pair<std::string, int>, Millis> started_at_;
};

class OverloadIsolation : public ::testing::TestWithParam<TenantBehaviour> {};

TEST_P(OverloadIsolation, RegularTenantsAreServedBesideAMisbehavingTenant) {
  const TenantBehaviour& behaviour = GetParam();
  OverloadSimulation simulation(behaviour);
  double worst_share[2] = {1, 1}, latency[2] = {}, served_share[2] = {};
  for (int phase = 0; phase < 2; ++phase) {
    int request_count = 0, in_time_count = 0;
    for (const char* tenant : {"tenant_a", "tenant_b"}) {
      const auto& stats = simulation.stats_by_tenant[phase][tenant];
      request_count += stats.request_count, in_time_count += stats.in_time_count,
          latency[phase] += stats.latency;
      worst_share[phase] = std::min(worst_share[phase], 1.0 * stats.in_time_count / stats.request_count);
    }
    served_share[phase] = 1.0 * in_time_count / request_count;
    latency[phase] /= std::max(1, in_time_count);
  }
  std::printf("| %s | %.1f%% | %.1f%% | %.0f | %.0f | %.1f%% | %.1f%% |\n", behaviour.name,
              100 * served_share[0], 100 * served_share[1], latency[0], latency[1], 100 * worst_share[0],
              100 * worst_share[1]);
  EXPECT_GT(served_share[0], 0.9);
  EXPECT_GE(worst_share[1], behaviour.min_service_ratio * worst_share[0]);
}

// FloodWithoutQuotas and ExpensiveRequests have low bounds because there is no fair queueing between tenants.
// The bounds keep the service at least as good as it is now.
const TenantBehaviour kTenantBehaviours[] = {
    {.name = "Flood", .requests_per_s = 1600, .min_service_ratio = 0.95},
    {.name = "FloodWithoutQuotas", .requests_per_s = 1600, .has_quotas = false, .min_service_ratio = 0.1},
    {.name = "Bursts", .requests_per_s = 160, .burst_size = 80, .min_service_ratio = 0.9},
    {.name = "ExpensiveRequests", .requests_per_s = 30, .work = 10, .min_service_ratio = 0.5},
    {.name = "ShortDeadlines", .requests_per_s = 200, .declared_time_left = 45, .min_service_ratio = 0.95},
    {.name = "LongDeadlines", .requests_per_s = 200, .declared_time_left = 600000, .min_service_ratio = 0.95},
    {.name = "OneHotKey", .requests_per_s = 150, .uses_one_key = true, .min_service_ratio = 0.95},
    {.name = "ImmediateRetries", .requests_per_s = 400, .retries_at_once = true, .min_service_ratio = 0.9},
    {.name = "AllMarkedAsRetries",
     .requests_per_s = 1600,
     .marked_as_retry = true,
     .min_service_ratio = 0.95},
};

INSTANTIATE_TEST_SUITE_P(Misbehaviour, OverloadIsolation, ::testing::ValuesIn(kTenantBehaviours),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace meadowyard::testing
