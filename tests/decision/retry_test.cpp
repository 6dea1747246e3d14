/// @file
/// Retries: which requests may be retried, at which endpoints, and the retry budget.
#include <gtest/gtest.h>

#include <string>
#include <utility>

#include "decision/policy_driver.hpp"

namespace meadowyard::testing {
namespace {

// A rejected attempt was not executed, so even a non-idempotent request may be retried. Guards against a
// retry at the endpoint that has just rejected it.
TEST(Retry, RejectedAttemptIsRetriedAtAnotherEndpoint) {
  PolicyDriver driver;
  driver.ListEndpoints(2);
  const std::string first_endpoint = PolicyDriver::SentTo(driver.Arrive("a", "pay"));
  const std::string second_endpoint =
      PolicyDriver::SentTo(driver.EndAttempt("a", first_endpoint, AttemptResult::kRejected, 1));
  EXPECT_FALSE(second_endpoint.empty());
  EXPECT_NE(first_endpoint, second_endpoint);
}

// Guards against executing a non-idempotent request twice: after an error it may have been executed.
TEST(Retry, NonIdempotentRequestThatMayHaveBeenExecutedFails) {
  PolicyDriver driver;
  driver.ListEndpoints(2);
  const std::string first_endpoint = PolicyDriver::SentTo(driver.Arrive("a", "pay"));
  const auto actions = driver.EndAttempt("a", first_endpoint, AttemptResult::kError, 1);
  EXPECT_EQ(PolicyDriver::Count<StartAttempt>(actions), 0);
  EXPECT_EQ(PolicyDriver::Count<Fail>(actions), 1);
}

// Guards against executing a request twice: with DedupScope::kCell only the endpoints of the cell of the
// first attempt drop its repeats.
TEST(Retry, RetryWithAnIdempotencyKeyStaysInTheCellOfTheFirstAttempt) {
  for (int seed = 0; seed < 20; ++seed) {
    PolicyDriver driver(MakeSettings(), seed);
    driver.Snapshot(
        {MakeEndpoint("a0", "0"), MakeEndpoint("a1", "0"), MakeEndpoint("b0", "1"), MakeEndpoint("b1", "1")});
    const std::string first_endpoint = PolicyDriver::SentTo(driver.Arrive("a", "key"));
    const std::string second_endpoint =
        PolicyDriver::SentTo(driver.EndAttempt("a", first_endpoint, AttemptResult::kError, 1));
    ASSERT_FALSE(second_endpoint.empty());
    EXPECT_EQ(first_endpoint[0], second_endpoint[0]);
    EXPECT_NE(first_endpoint, second_endpoint);
  }
}

// Guards against executing a request twice: with DedupScope::kZone only the endpoints of the zone of the
// first attempt drop its repeats. Over 20 seeds, so that first attempts are spread over both zones.
TEST(Retry, RetryWithAKeyOfZoneScopeStaysInTheZoneOfTheFirstAttempt) {
  Settings settings = MakeSettings();
  settings.classes[1].dedup_scope = DedupScope::kZone;
  const auto make_endpoint = [](std::string id, std::string zone, std::string cell) {
    Endpoint zone_endpoint = MakeEndpoint(std::move(id), std::move(cell));
    zone_endpoint.zone = std::move(zone);
    return zone_endpoint;
  };
  int retried_requests = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    PolicyDriver driver(settings, seed);
    driver.Snapshot({make_endpoint("a0", "a", "0"), make_endpoint("a1", "a", "1"),
                     make_endpoint("b0", "b", "0"), make_endpoint("b1", "b", "1")});
    const std::string first_endpoint = PolicyDriver::SentTo(driver.Arrive("r", "key"));
    driver.now += 20;
    driver.EndAttempt("r", first_endpoint, AttemptResult::kError, 20);
    if (driver.sent.size() < 2) continue;
    ++retried_requests;
    EXPECT_EQ(driver.sent[1].endpoint[0], first_endpoint[0]) << "another zone does not drop the repeat";
    EXPECT_NE(driver.sent[1].endpoint, first_endpoint);
  }
  EXPECT_GT(retried_requests, 10);
}

// Guards against retries that multiply the load when every endpoint rejects: 0.1 retries per request.
TEST(Retry, BudgetLimitsRetriesToATenthOfTheRequests) {
  PolicyDriver driver;
  driver.ListEndpoints(300);
  driver.Serve(200);
  int first_attempts = 0, retries = 0;
  for (int i = 0; i < 400; ++i) {
    const std::string id = "r" + std::to_string(i);
    const std::string endpoint_id = PolicyDriver::SentTo(driver.Arrive(id));
    driver.now += 20;
    if (endpoint_id.empty()) continue;
    ++first_attempts;
    std::string retry_endpoint;
    for (const Action& action : driver.EndAttempt(id, endpoint_id, AttemptResult::kRejected, 20)) {
      const auto* start_attempt = std::get_if<StartAttempt>(&action);
      if (start_attempt != nullptr && start_attempt->request == id) retry_endpoint = start_attempt->endpoint;
    }
    if (retry_endpoint.empty()) continue;
    ++retries;
    driver.now += 20;
    driver.EndAttempt(id, retry_endpoint, AttemptResult::kServed, 20, 1);
  }
  EXPECT_GT(first_attempts, 100);
  EXPECT_GT(retries, 0);
  EXPECT_LT(retries, 0.1 * (first_attempts + 200) + 2);
}

}  // namespace
}  // namespace meadowyard::testing
