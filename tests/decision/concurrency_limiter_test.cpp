/// @file
/// Concurrency limits of endpoints, and how load reports and quotas change them.
#include <gtest/gtest.h>

#include <limits>
#include <string>

#include "decision/policy_driver.hpp"

namespace meadowyard::testing {
namespace {

TEST(ConcurrencyLimiter, RequestsInFlightPerEndpointAreLimited) {
  PolicyDriver driver;
  driver.ListEndpoints(1);
  driver.Serve(40);
  int dispatched = 0;
  for (int i = 0; i < 200; ++i)
    dispatched += PolicyDriver::Count<StartAttempt>(driver.Arrive("r" + std::to_string(i)));
  EXPECT_GE(dispatched, 1);
  EXPECT_LT(dispatched, 60);
}

TEST(ConcurrencyLimiter, BusyEndpointIsSentFewerRequestsOverQuota) {
  Settings settings = MakeSettings();
  settings.tenants = {{"small", 1000}, {"big", 0.001}};
  settings.load_report_fields = {"util"};
  const auto count_dispatched = [&](const char* tenant, double utilization) {
    PolicyDriver driver(settings);
    driver.ListEndpoints(1);
    for (int i = 0; i < 100; ++i) {
      const std::string id = "w" + std::to_string(i);
      driver.Arrive(id, "view", 2000, "small");
      driver.now += 20;
      driver.Handle(
          AttemptOutcome{id, 0, "s0", AttemptResult::kServed, true, 20, {utilization + i % 2 * 1e-3}});
    }
    int dispatched = 0;
    driver.Arrive("own", "view", 2000, "big");  // consumes the quota of "big", if any is left
    driver.EndAttempt("own", "s0", AttemptResult::kServed, 20);
    for (int i = 0; i < 30; ++i) {
      dispatched +=
          PolicyDriver::Count<StartAttempt>(driver.Arrive("r" + std::to_string(i), "view", 2000, tenant));
    }
    return dispatched;
  };
  EXPECT_GE(count_dispatched("small", 0.8), 2);
  EXPECT_LT(count_dispatched("big", 0.8), count_dispatched("small", 0.8));
  EXPECT_EQ(count_dispatched("big", 0.3), count_dispatched("small", 0.3));
}

// Serves 60 requests one after the other, each with a load report of `utilization` (`first_report` for the
// first one). Returns how many requests the endpoint is then sent at once.
int DispatchedAfterReports(double utilization, double first_report = 0.5) {
  constexpr int kReports = 60;
  Settings settings = MakeSettings();
  settings.load_report_fields = {"inflight", "util"};
  PolicyDriver driver(settings);
  driver.ListEndpoints(1);
  int report_count = 0;
  for (int i = 0; report_count < kReports && i < 20 * kReports; ++i) {
    const std::string id = "r" + std::to_string(i);
    const bool sent = !PolicyDriver::SentTo(driver.Arrive(id)).empty();
    driver.Advance(50);
    if (!sent) continue;
    driver.Handle(AttemptOutcome{id,
                                 0,
                                 "s0",
                                 AttemptResult::kServed,
                                 true,
                                 50,
                                 {3.0 + report_count % 2, report_count == 0 ? first_report : utilization}});
    ++report_count;
  }
  driver.Advance(5000);
  int dispatched = 0;
  for (int i = 0; i < 30; ++i)
    dispatched += PolicyDriver::Count<StartAttempt>(driver.Arrive("burst" + std::to_string(i)));
  return dispatched;
}

TEST(ConcurrencyLimiter, HighReportedUtilizationLowersTheLimitAtConstantLatency) {
  const int at_half_utilization = DispatchedAfterReports(0.5);
  const int at_full_utilization = DispatchedAfterReports(1.0);
  EXPECT_GE(at_half_utilization, 2);
  // Never 0: an endpoint without requests can't report that it has recovered.
  EXPECT_EQ(at_full_utilization, 1);
}

TEST(ConcurrencyLimiter, ManyGatewaysKeepMoreOfAnEndpointInReserve) {
  // A utilization of 0.85 is acceptable for few gateways and too high for eight, which decide independently.
  const auto count_answered = [](double utilization) {
    Settings settings = MakeSettings();
    settings.gateway_count = 8;
    settings.load_report_fields = {"util"};
    PolicyDriver driver(settings);
    driver.ListEndpoints(1);
    std::size_t answered = 0;
    for (int i = 0; i < 4000; ++i) {
      driver.Arrive("r" + std::to_string(i));
      driver.Advance(50);
      for (; answered < driver.sent.size(); ++answered) {
        const double noisy_utilization = utilization + static_cast<double>(answered % 2) * 1e-3;
        driver.Handle(AttemptOutcome{
            driver.sent[answered].request, 0, "s0", AttemptResult::kServed, true, 50, {noisy_utilization}});
      }
    }
    return answered;
  };
  EXPECT_GT(count_answered(0.6), 2 * count_answered(0.85)) << count_answered(0.85);
}

TEST(ConcurrencyLimiter, ReportsThatAreTooShortNegativeOrNotANumberAreIgnored) {
  const double nan = std::numeric_limits<double>::quiet_NaN();
  EXPECT_EQ(DispatchedAfterReports(1.0, nan), 1);  // later reports are still used
  EXPECT_EQ(DispatchedAfterReports(1.0, -1e9), 1);
  Settings settings = MakeSettings();
  settings.load_report_fields = {"inflight", "util"};
  PolicyDriver driver(settings);
  driver.ListEndpoints(1);
  driver.Arrive("short");
  driver.Handle(AttemptOutcome{"short", 0, "s0", AttemptResult::kServed, true, 50, {3}});
  EXPECT_FALSE(PolicyDriver::SentTo(driver.Arrive("next")).empty());
}

TEST(ConcurrencyLimiter, InitialLimitIsHigherWithKeyAffinityAndLowWithLoadReports) {
  const auto count_dispatched = [](bool has_key_affinity, bool has_load_reports) {
    Settings settings = MakeSettings();
    settings.key_affinity = has_key_affinity;
    if (has_load_reports) settings.load_report_fields = {"util"};
    PolicyDriver driver(settings);
    driver.ListEndpoints(1);
    int dispatched = 0;
    for (int i = 0; i < 40; ++i)
      dispatched += PolicyDriver::Count<StartAttempt>(driver.Arrive("r" + std::to_string(i)));
    return dispatched;
  };
  EXPECT_GT(count_dispatched(true, false), count_dispatched(false, false));
  EXPECT_LT(count_dispatched(false, true), count_dispatched(false, false));
}

}  // namespace
}  // namespace meadowyard::testing
