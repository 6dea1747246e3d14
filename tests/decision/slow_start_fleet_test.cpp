/// @file
/// Slow start with many gateways that do not know each other: simulates them, one Policy each, with fixed
/// seeds and without sockets, and checks the sum of what they send to an endpoint that has just been started.
#include <gtest/gtest.h>

#include <cmath>
#include <memory>
#include <queue>
#include <random>

#include "decision/policy_driver.hpp"

namespace meadowyard::testing {
namespace {

enum class TrafficPattern {
  kSteady,
  kUnequalGateways,
  kBurstAfterLowTraffic,
  kAllGatewaysRestarted,
  kOtherEndpointsFail
};
constexpr const char* kTrafficPatternNames[] = {"Steady", "UnequalGateways", "BurstAfterLowTraffic",
                                                "AllGatewaysRestarted", "OtherEndpointsFail"};

constexpr int kEndpoints = 12;
constexpr double kCapacityPerSecond = 24;     // requests per second of mean work that a warm endpoint answers
constexpr double kLoadShare = 0.9;            // offered load, as a share of the capacity of all endpoints
constexpr double kSlowStartFraction = 0.1;    // share of its capacity that an endpoint has when it starts
constexpr Millis kSlowStartDuration = 22000;  // ms
constexpr double kOverloadMultiple = 2;  // an endpoint fails when sent this multiple of its current capacity
// If the overload multiple is raised by this factor, the policies must exceed the budget: this shows that the
// check detects an excess. A factor of 6 exceeds the budget only slightly, because the policies normally stay
// far below it.
constexpr double kExcessiveFactor = 20;
constexpr Millis kBudgetWindow = 1500;    // ms over which the budget is checked
constexpr Millis kEndpointStart = 6000;   // ms; until then the policies learn the rate of warm answers
constexpr Millis kSimulatedTime = 14000;  // ms
constexpr Millis kSweepInterval = 10;     // ms
constexpr int kSeeds = 10;
// Number of the kSeeds seeds that may exceed the bound by random variation; the bound allows for 2 standard
// deviations.
constexpr int kMaxSeedsOverBound = 1;

Settings SettingsFor(int gateways, int position, double overload_factor) {
  Settings settings = MakeSettings();
  settings.classes = {MakeClass("view")};
  settings.gateway_count = gateways, settings.gateway_index = position;
  settings.slow_start_fraction = kSlowStartFraction, settings.slow_start_duration = kSlowStartDuration;
  settings.overload_multiple = kOverloadMultiple * overload_factor;
  return settings;
}

// Simulates all gateways, and records when they send requests to the started endpoint.
class Simulation {
 public:
  Simulation(int gateways, TrafficPattern traffic, std::uint64_t seed, double overload_factor)
      : gateways_(gateways),
        traffic_(traffic),
        overload_factor_(overload_factor),
        seed_(seed),
        random_(seed) {
    for (int gateway = 0; gateway < gateways; ++gateway) StartGateway(gateway, false);
    for (now_ = 0; now_ < kSimulatedTime; now_ += kSweepInterval) {
      if (now_ == kEndpointStart) StartEndpoint();
      for (; !attempts_in_flight_.empty() && attempts_in_flight_.top().ends_at <= now_;
           attempts_in_flight_.pop()) {
        const AttemptInFlight& ended = attempts_in_flight_.top();
        const AttemptResult result = ended.fails ? AttemptResult::kError : AttemptResult::kServed;
        Deliver(ended.sender, AttemptOutcome{ended.request,
                                             ended.attempt,
                                             ended.endpoint_id,
                                             result,
                                             !ended.fails,
                                             ended.ends_at - ended.sent,
                                             {},
                                             false});
      }
      for (int gateway = 0; gateway < gateways; ++gateway) {
        const int arrivals =
            std::poisson_distribution<int>(ArrivalRate(gateway) * kSweepInterval / 1000)(random_);
        for (int i = 0; i < arrivals; ++i) {
          Request new_request;
          new_request.id = std::to_string(gateway) + "-" + std::to_string(++request_count_);
          new_request.class_name = "view", new_request.time_left = 2000;
          Deliver(gateway, new_request);
        }
        Deliver(gateway, TimerExpired{"sweep"});
      }
    }
  }

  // Requests that the started endpoint was sent.
  int sent() const { return static_cast<int>(send_times_.size()); }
  // The largest excess of any window over the bound, in requests; negative: none exceeds it. The bound is the
  // budget, at which the endpoint would fail, plus 2 standard deviations and 2 requests. Only windows that
  // begin with a request are checked, since no other window contains more.
  double MaxExcess() const {
    double max_excess = -1e9;
    for (std::size_t i = 0, end = 0; i < send_times_.size(); ++i) {
      while (end < send_times_.size() && send_times_[end] < send_times_[i] + kBudgetWindow) ++end;
      const double capacity_share = kSlowStartFraction + (1 - kSlowStartFraction) *
                                                             (send_times_[i] - kEndpointStart) /
                                                             kSlowStartDuration;
      const double budget = kOverloadMultiple * capacity_share * kCapacityPerSecond * kBudgetWindow / 1000;
      max_excess = std::max(max_excess, static_cast<double>(end - i) - (budget + 2 * std::sqrt(budget) + 2));
    }
    return max_excess;
  }

 private:
  struct AttemptInFlight {
    Millis ends_at, sent;  // times at which it ends and was sent
    int sender;
    std::string request, endpoint_id;
    int attempt;
    bool fails;
    bool operator<(const AttemptInFlight& other) const { return ends_at > other.ends_at; }
  };

  // Starts or restarts a gateway; `lists_started_endpoint`: its first endpoint list has the started endpoint.
  void StartGateway(int gateway, bool lists_started_endpoint) {
    const auto position = static_cast<std::size_t>(gateway);
    if (policies_.size() <= position) policies_.resize(position + 1);
    policies_[position] = std::make_unique<Policy>(
        SettingsFor(gateways_, gateway, overload_factor_),
        seed_ * 1000 + static_cast<std::uint64_t>(gateway) + (lists_started_endpoint ? 500 : 0));
    std::vector<Endpoint> endpoints;
    for (int i = 1; i < kEndpoints; ++i) endpoints.push_back(MakeEndpoint("s" + std::to_string(i)));
    if (lists_started_endpoint) endpoints.push_back(MakeEndpoint("cold", "0", kClockOrigin + now_));
    Deliver(gateway, EndpointUpdate{EndpointUpdate::Kind::kSnapshot, endpoints});
  }
  void StartEndpoint() {
    for (int gateway = 0; gateway < gateways_; ++gateway) {
      if (traffic_ == TrafficPattern::kAllGatewaysRestarted) {
        StartGateway(gateway, true);
      } else {
        Deliver(gateway, EndpointUpdate{EndpointUpdate::Kind::kDelta,
                                        {MakeEndpoint("cold", "0", kClockOrigin + now_)}});
      }
    }
  }
  // Requests per second that arrive at a gateway.
  double ArrivalRate(int gateway) const {
    const double mean = kLoadShare * kEndpoints * kCapacityPerSecond / gateways_;
    if (traffic_ == TrafficPattern::kUnequalGateways) return mean * (gateway % 4 == 0 ? 2.8 : 0.4);
    if (traffic_ != TrafficPattern::kBurstAfterLowTraffic || now_ < kEndpointStart - 1000) return mean;
    return now_ < kEndpointStart + 2500 ? mean * 0.15 : now_ < kEndpointStart + 4000 ? mean * 3 : mean;
  }
  void Deliver(int gateway, const Event& event) {
    std::vector<Action> actions;
    policies_[static_cast<std::size_t>(gateway)]->Handle(kClockOrigin + now_, event, actions);
    for (const Action& action : actions) {
      const auto* const send = std::get_if<StartAttempt>(&action);
      if (send == nullptr) continue;
      if (send->endpoint == "cold") send_times_.push_back(now_);
      const bool fails = traffic_ == TrafficPattern::kOtherEndpointsFail && send->endpoint != "cold" &&
                         std::uniform_real_distribution<>()(random_) < 0.15;
      const Millis latency = fails ? 5 : 20 + std::exponential_distribution<>(1 / 60.0)(random_);
      attempts_in_flight_.push({now_ + latency, now_, gateway, send->request, send->endpoint,
                                attempt_counts_[send->request]++, fails});
    }
  }

  static constexpr Millis kClockOrigin = 1e6;
  const int gateways_;
  const TrafficPattern traffic_;
  const double overload_factor_;
  const std::uint64_t seed_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<Policy>> policies_;
  std::priority_queue<AttemptInFlight> attempts_in_flight_;
  std::map<std::string, int> attempt_counts_;
  std::vector<Millis> send_times_;
  Millis now_ = 0;
  int request_count_ = 0;
};

// Each gateway knows only its own slow-start credit. Guards against credit that is small at each gateway but
// adds up to so many requests over all gateways that the started endpoint fails.
class SlowStartFleet : public ::testing::TestWithParam<std::tuple<int, TrafficPattern>> {};

TEST_P(SlowStartFleet, GatewaysTogetherStayWithinTheBudgetOfAStartedEndpoint) {
  const auto& [gateways, traffic] = GetParam();
  int seeds_over_bound = 0, sent = 0, seeds_detected = 0;
  double max_excess = -1e9;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const Simulation simulation(gateways, traffic, seed, 1);
    max_excess = std::max(max_excess, simulation.MaxExcess());
    seeds_over_bound += simulation.MaxExcess() > 0;
    sent += simulation.sent();
    if (seed <= 2) seeds_detected += Simulation(gateways, traffic, seed, kExcessiveFactor).MaxExcess() > 0;
  }
  std::printf("| %d gateways, %s | %d requests per run | %d of %d seeds over the bound | max excess %.1f |\n",
              gateways, kTrafficPatternNames[static_cast<int>(traffic)], sent / kSeeds, seeds_over_bound,
              kSeeds, max_excess);
  EXPECT_LE(seeds_over_bound, kMaxSeedsOverBound);
  EXPECT_GT(sent / kSeeds, 10) << "the endpoint was sent too few requests for the check";
  EXPECT_EQ(seeds_detected, 2) << "the check does not detect credit that grows too fast";
}

INSTANTIATE_TEST_SUITE_P(GatewaysAndTraffic, SlowStartFleet,
                         ::testing::Combine(::testing::Values(5, 20, 30),
                                            ::testing::Values(TrafficPattern::kSteady,
                                                              TrafficPattern::kUnequalGateways,
                                                              TrafficPattern::kBurstAfterLowTraffic,
                                                              TrafficPattern::kAllGatewaysRestarted,
                                                              TrafficPattern::kOtherEndpointsFail)),
                         [](const auto& info) {
                           return std::to_string(std::get<0>(info.param)) +
                                  kTrafficPatternNames[static_cast<int>(std::get<1>(info.param))];
                         });

}  // namespace
}  // namespace meadowyard::testing
