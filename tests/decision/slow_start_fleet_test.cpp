// A cold server under what many gateways that know nothing of each other send it together. One account of the
// sums over as many decision modules; no sockets, fixed seeds.
#include <gtest/gtest.h>

#include <cmath>
#include <memory>
#include <queue>
#include <random>

#include "decision/policy_driver.hpp"

namespace meadowyard::testing {
namespace {

enum class Traffic { kSteady, kUnequal, kBurstAfterQuiet, kAllRestarted, kOthersFail };
constexpr const char* kTraffics[] = {"Steady", "Unequal", "BurstAfterQuiet", "AllRestarted", "OthersFail"};

constexpr int kServers = 12;
constexpr double kCapacity = 24;   // requests of mean work that a warm server answers in a second
constexpr double kLoad = 0.9;      // part of what all can do that is asked for
constexpr double kColdFrom = 0.1;  // part of it that one has which was just started
constexpr Millis kColdFor = 22000;
constexpr double kMultiple = 2;  // of what it can do, that fells it
constexpr double kTooSteep =
    20;  // times the ramp: the module keeps so far below its budget that 6 are just over
constexpr Millis kWindow = 1500;   // in which the budget holds
constexpr Millis kStart = 6000;    // when the server starts; before that the modules learn
constexpr Millis kLength = 14000;  // of a play
constexpr Millis kSweep = 10;
constexpr int kSeeds = 10;
constexpr int kByChance =
    1;  // seeds of these in which chance alone may pass the bound: it is 2 deviations wide

Settings SettingsFor(int gateways, int index, double steeper) {
  Settings s = MakeSettings();
  s.classes = {MakeClass("view")};
  s.gateway_count = gateways, s.gateway_index = index;
  s.slow_start_fraction = kColdFrom, s.slow_start_duration = kColdFor;
  s.overload_multiple = kMultiple * steeper;
  return s;
}

// What all send to the server that starts, and the most by which a window is over its budget, in requests.
class Play {
 public:
  Play(int gateways, Traffic traffic, std::uint64_t seed, double steeper)
      : gateways_(gateways), traffic_(traffic), steeper_(steeper), seed_(seed), random_(seed) {
    for (int g = 0; g < gateways; ++g) Begin(g, false);
    for (now_ = 0; now_ < kLength; now_ += kSweep) {
      if (now_ == kStart) Started();
      for (; !ends_.empty() && ends_.top().at <= now_; ends_.pop()) {
        const End& e = ends_.top();
        const AttemptResult result = e.fails ? AttemptResult::kError : AttemptResult::kServed;
        Give(e.gateway,
             AttemptOutcome{e.request, e.attempt, e.server, result, !e.fails, e.at - e.sent, {}, false});
      }
      for (int g = 0; g < gateways; ++g) {
        const int asked = std::poisson_distribution<int>(Rate(g) * kSweep / 1000)(random_);
        for (int i = 0; i < asked; ++i) {
          Request r;
          r.id = std::to_string(g) + "-" + std::to_string(++requests_);
          r.class_name = "view", r.time_left = 2000;
          Give(g, r);
        }
        Give(g, TimerExpired{"sweep"});
      }
    }
  }

  int sent() const { return static_cast<int>(at_cold_.size()); }
  // Windows begin with a request: any other holds no more.
  double MostOver() const {
    double most = -1e9;
    for (std::size_t i = 0, end = 0; i < at_cold_.size(); ++i) {
      while (end < at_cold_.size() && at_cold_[end] < at_cold_[i] + kWindow) ++end;
      const double warmth = kColdFrom + (1 - kColdFrom) * (at_cold_[i] - kStart) / kColdFor;
      const double n = kMultiple * warmth * kCapacity * kWindow / 1000;
      most = std::max(most, static_cast<double>(end - i) - (n + 2 * std::sqrt(n) + 2));
    }
    return most;
  }

 private:
  struct End {
    Millis at, sent;
    int gateway;
    std::string request, server;
    int attempt;
    bool fails;
    bool operator<(const End& other) const { return at > other.at; }
  };

  void Begin(int g, bool told) {
    const auto index = static_cast<std::size_t>(g);
    if (modules_.size() <= index) modules_.resize(index + 1);
    modules_[index] = std::make_unique<Policy>(
        SettingsFor(gateways_, g, steeper_), seed_ * 1000 + static_cast<std::uint64_t>(g) + (told ? 500 : 0));
    std::vector<Endpoint> servers;
    for (int i = 1; i < kServers; ++i) servers.push_back(MakeEndpoint("s" + std::to_string(i)));
    if (told) servers.push_back(MakeEndpoint("cold", "0", kEpoch + now_));
    Give(g, EndpointUpdate{EndpointUpdate::Kind::kSnapshot, servers});
  }
  void Started() {
    for (int g = 0; g < gateways_; ++g) {
      if (traffic_ == Traffic::kAllRestarted) {
        Begin(g, true);
      } else {
        Give(g, EndpointUpdate{EndpointUpdate::Kind::kDelta, {MakeEndpoint("cold", "0", kEpoch + now_)}});
      }
    }
  }
  // Requests a second that this gateway is asked.
  double Rate(int g) const {
    const double mean = kLoad * kServers * kCapacity / gateways_;
    if (traffic_ == Traffic::kUnequal) return mean * (g % 4 == 0 ? 2.8 : 0.4);
    if (traffic_ != Traffic::kBurstAfterQuiet || now_ < kStart - 1000) return mean;
    return now_ < kStart + 2500 ? mean * 0.15 : now_ < kStart + 4000 ? mean * 3 : mean;
  }
  void Give(int g, const Event& event) {
    std::vector<Action> actions;
    modules_[static_cast<std::size_t>(g)]->Handle(kEpoch + now_, event, actions);
    for (const Action& action : actions) {
      const auto* const send = std::get_if<StartAttempt>(&action);
      if (send == nullptr) continue;
      if (send->endpoint == "cold") at_cold_.push_back(now_);
      const bool fails = traffic_ == Traffic::kOthersFail && send->endpoint != "cold" &&
                         std::uniform_real_distribution<>()(random_) < 0.15;
      const Millis latency = fails ? 5 : 20 + std::exponential_distribution<>(1 / 60.0)(random_);
      ends_.push({now_ + latency, now_, g, send->request, send->endpoint, attempts_[send->request]++, fails});
    }
  }

  static constexpr Millis kEpoch = 1e6;
  const int gateways_;
  const Traffic traffic_;
  const double steeper_;
  const std::uint64_t seed_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<Policy>> modules_;
  std::priority_queue<End> ends_;
  std::map<std::string, int> attempts_;
  std::vector<Millis> at_cold_;
  Millis now_ = 0;
  int requests_ = 0;
};

class ColdFleet : public ::testing::TestWithParam<std::tuple<int, Traffic>> {};

TEST_P(ColdFleet, SendsAStartedServerNoMoreThanItsBudgetAndChance) {
  const auto& [gateways, traffic] = GetParam();
  int over = 0, sent = 0, over_when_steep = 0;
  double most = -1e9;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const Play play(gateways, traffic, seed, 1);
    most = std::max(most, play.MostOver());
    over += play.MostOver() > 0;
    sent += play.sent();
    if (seed <= 2) over_when_steep += Play(gateways, traffic, seed, kTooSteep).MostOver() > 0;
  }
  std::printf("| %d gateways, %s | %d sent a play | %d of %d seeds over | most %.1f beyond the bound |\n",
              gateways, kTraffics[static_cast<int>(traffic)], sent / kSeeds, over, kSeeds, most);
  EXPECT_LE(over, kByChance);
  EXPECT_GT(sent / kSeeds, 10) << "it is used";
  EXPECT_EQ(over_when_steep, 2) << "a ramp that is too steep would not show";
}

INSTANTIATE_TEST_SUITE_P(Of, ColdFleet,
                         ::testing::Combine(::testing::Values(5, 20, 30),
                                            ::testing::Values(Traffic::kSteady, Traffic::kUnequal,
                                                              Traffic::kBurstAfterQuiet,
                                                              Traffic::kAllRestarted, Traffic::kOthersFail)),
                         [](const auto& info) {
                           return std::to_string(std::get<0>(info.param)) +
                                  kTraffics[static_cast<int>(std::get<1>(info.param))];
                         });

}  // namespace
}  // namespace meadowyard::testing
