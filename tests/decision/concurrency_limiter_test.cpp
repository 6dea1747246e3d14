/// @file
/// Concurrency limits and load reports.
#include <gtest/gtest.h>

#include <limits>
#include <string>

#include "decision/policy_driver.hpp"

namespace meadowyard::testing {
namespace {

TEST(ConcurrencyLimiter, CongestedEndpointHoldsRequestsBack) {
  PolicyDriver g;
  g.ListEndpoints(1);
  g.Serve(40);
  int out = 0;
  for (int i = 0; i < 200; ++i) out += PolicyDriver::Count<StartAttempt>(g.Arrive("r" + std::to_string(i)));
  EXPECT_GE(out, 1);
  EXPECT_LT(out, 60);
}

TEST(ConcurrencyLimiter, TrafficOverQuotaAvoidsBusyEndpoints) {
  Settings s = MakeSettings();
  s.tenants = {{"small", 1000}, {"big", 0.001}};
  s.load_report_fields = {"util"};
  const auto taken = [&](const char* tenant, double utilisation) {
    PolicyDriver g(s);
    g.ListEndpoints(1);
    for (int i = 0; i < 100; ++i) {
      const std::string id = "w" + std::to_string(i);
      g.Arrive(id, "view", 2000, "small");
      g.now += 20;
      g.Handle(AttemptOutcome{id, 0, "s0", AttemptResult::kServed, true, 20, {utilisation + i % 2 * 1e-3}});
    }
    int out = 0;
    g.Arrive("own", "view", 2000, "big");  // uses up big's share, if any
    g.EndAttempt("own", "s0", AttemptResult::kServed, 20);
    for (int i = 0; i < 30; ++i) {
      out += PolicyDriver::Count<StartAttempt>(g.Arrive("r" + std::to_string(i), "view", 2000, tenant));
    }
    return out;
  };
  EXPECT_GE(taken("small", 0.8), 2);
  EXPECT_LT(taken("big", 0.8), taken("small", 0.8));
  EXPECT_EQ(taken("big", 0.3), taken("small", 0.3));
}

// Serves requests one after the other with the endpoint's report of its utilisation, then counts how
// many it is given at once.
int TakenAfterReports(double utilisation, double first = 0.5) {
  constexpr int kReports = 60;
  Settings s = MakeSettings();
  s.load_report_fields = {"inflight", "util"};
  PolicyDriver g(s);
  g.ListEndpoints(1);
  int given = 0;
  for (int i = 0; given < kReports && i < 20 * kReports; ++i) {
    const std::string id = "r" + std::to_string(i);
    const bool sent = !PolicyDriver::SentTo(g.Arrive(id)).empty();
    g.Advance(50);
    if (!sent) continue;
    g.Handle(AttemptOutcome{
        id, 0, "s0", AttemptResult::kServed, true, 50, {3.0 + given % 2, given == 0 ? first : utilisation}});
    ++given;
  }
  g.Advance(5000);
  int out = 0;
  for (int i = 0; i < 30; ++i)
    out += PolicyDriver::Count<StartAttempt>(g.Arrive("burst" + std::to_string(i)));
  return out;
}

TEST(ConcurrencyLimiter, EndpointThatReportsItselfBusyGetsLessThoughItsLatencyIsLevel) {
  const int calm = TakenAfterReports(0.5);
  const int busy = TakenAfterReports(1.0);
  EXPECT_GE(calm, 2);
  EXPECT_EQ(busy, 1);  // never none: a endpoint that gets nothing could not show that it recovered
}

TEST(ConcurrencyLimiter, ManyGatewaysLeaveMoreOfAnEndpointFree) {
  // 0.85 busy is fine for few gateways, and too much where eight decide without each other.
  const auto sends = [](double utilisation) {
    Settings s = MakeSettings();
    s.gateway_count = 8;
    s.load_report_fields = {"util"};
    PolicyDriver g(s);
    g.ListEndpoints(1);
    std::size_t answered = 0;
    for (int i = 0; i < 4000; ++i) {
      g.Arrive("r" + std::to_string(i));
      g.Advance(50);
      for (; answered < g.sent.size(); ++answered) {
        const double noisy = utilisation + static_cast<double>(answered % 2) * 1e-3;
        g.Handle(
            AttemptOutcome{g.sent[answered].request, 0, "s0", AttemptResult::kServed, true, 50, {noisy}});
      }
    }
    return answered;
  };
  EXPECT_GT(sends(0.6), 2 * sends(0.85)) << sends(0.85);
}

TEST(ConcurrencyLimiter, ReportsThatAreShortOrNotNumbersAreSkipped) {
  const double nan = std::numeric_limits<double>::quiet_NaN();
  EXPECT_EQ(TakenAfterReports(1.0, nan), 1);  // later reports still count
  EXPECT_EQ(TakenAfterReports(1.0, -1e9), 1);
  Settings s = MakeSettings();
  s.load_report_fields = {"inflight", "util"};
  PolicyDriver g(s);
  g.ListEndpoints(1);
  g.Arrive("short");
  g.Handle(AttemptOutcome{"short", 0, "s0", AttemptResult::kServed, true, 50, {3}});
  EXPECT_FALSE(PolicyDriver::SentTo(g.Arrive("next")).empty());
}

TEST(ConcurrencyLimiter, InitialLimitIsHigherWithKeyAffinityAndLowWithLoadReports) {
  const auto taken = [](bool warm_keys, bool reports) {
    Settings s = MakeSettings();
    s.key_affinity = warm_keys;
    if (reports) s.load_report_fields = {"util"};
    PolicyDriver g(s);
    g.ListEndpoints(1);
    int out = 0;
    for (int i = 0; i < 40; ++i) out += PolicyDriver::Count<StartAttempt>(g.Arrive("r" + std::to_string(i)));
    return out;
  };
  EXPECT_GT(taken(true, false), taken(false, false));
  EXPECT_LT(taken(false, true), taken(false, false));
}

}  // namespace
}  // namespace meadowyard::testing
