/// @file
/// Isolation between clients: what one client declares in its requests, and how it behaves, must not degrade
/// the service of the others. Each test has one such client next to regular ones.
#include <gtest/gtest.h>

#include "decision/policy_driver.hpp"

namespace meadowyard::testing {
namespace {

Request MakeRequest(std::string id, Millis remaining, std::string tenant = "", bool is_marked_retry = false) {
  Request arrival;
  arrival.id = std::move(id);
  arrival.class_name = "view";
  arrival.tenant = std::move(tenant);
  arrival.time_left = remaining;
  arrival.is_retry = is_marked_retry;
  return arrival;
}

// Guards against a tenant that evades its quota by marking all of its requests as retries: marked retries are
// limited by a quota of the same size.
TEST(ClientIsolation, MarkedRetriesHaveTheirOwnQuota) {
  Settings settings = MakeSettings();
  settings.tenants = {{"t", 10}, {"u", 10}};
  settings.clients_mark_retries = true;
  settings.max_attempts_in_flight = 1;
  PolicyDriver driver(settings);
  driver.ListEndpoints(1);
  driver.Advance(2000);
  driver.Arrive("in flight");
  for (int i = 0; i < 25; ++i) driver.Handle(MakeRequest("marked" + std::to_string(i), 2000, "t", true));
  driver.Handle(MakeRequest("regular", 2000, "u"));
  // Ten of the marked requests are within quota; the others are queued behind the regular one.
  std::size_t ahead = 0;
  for (std::string last_served = "in flight"; last_served != "regular" && ahead <= 25; ++ahead) {
    driver.now += 1;
    driver.EndAttempt(last_served, "s0", AttemptResult::kServed, 1);
    last_served = driver.sent.back().request;
  }
  EXPECT_LE(ahead, 11u);
}

// Guards against requests that are marked as retries although the settings say that clients don't mark them.
TEST(ClientIsolation, RetryMarksAreIgnoredUnlessClientsMarkRetries) {
  Settings settings = MakeSettings();
  settings.tenants = {{"t", 10}};
  settings.max_attempts_in_flight = 1;
  PolicyDriver driver(settings);
  driver.ListEndpoints(1);
  driver.Advance(2000);
  driver.Arrive("in flight");
  for (int i = 0; i < 10; ++i) driver.Handle(MakeRequest("marked" + std::to_string(i), 2000, "t", true));
  driver.Handle(MakeRequest("over quota", 2000, "t"));  // the marked requests have consumed the quota
  driver.Handle(MakeRequest("without quota", 2000, "unknown"));
  // Both have the short queueing time of requests over quota.
  EXPECT_EQ(PolicyDriver::Count<Reject>(driver.Advance(100)), 2);
}

// Guards clients with short deadlines where clients don't mark retries: requests with a long deadline make
// theirs look like late retries. These then have a lower priority, but must not be rejected.
TEST(ClientIsolation, LongDeadlinesOfOneClientDoNotCauseRejectionsOfOthers) {
  PolicyDriver driver;  // latency objective of 1000 ms, deadline of 2000 ms, late answers have no weight
  driver.ListEndpoints(1);
  for (int i = 0; i < 100; ++i) {
    driver.Handle(MakeRequest("long" + std::to_string(i), 2000));
    driver.now += 20;
    driver.EndAttempt("long" + std::to_string(i), "s0", AttemptResult::kServed, 20);
    EXPECT_EQ(PolicyDriver::SentTo(driver.Handle(MakeRequest("regular" + std::to_string(i), 900))), "s0");
    driver.now += 20;
    driver.EndAttempt("regular" + std::to_string(i), "s0", AttemptResult::kServed, 20);
  }
}

// Guards against a client that declares a deadline far above that of its class and occupies an endpoint until
// then.
TEST(ClientIsolation, AttemptTimeoutIsLimitedByTheDeadlineOfTheClass) {
  Settings settings = MakeSettings();
  settings.classes[0].late_weight = 0.5;  // attempts may last to the deadline
  PolicyDriver driver(settings);
  driver.ListEndpoints(1);
  driver.Handle(MakeRequest("long", 600000));
  ASSERT_EQ(driver.sent.size(), 1u);
  EXPECT_LE(driver.sent[0].timeout, 2000);
}

// Guards against ejections of endpoints and rate reductions that are caused by a client whose deadlines are
// too short for any answer.
TEST(ClientIsolation, TimeoutsOfTooShortDeadlinesEjectNoEndpointAndReduceNoRate) {
  Settings settings = MakeSettings();
  settings.clients_mark_retries = true;
  PolicyDriver driver(settings);
  driver.ListEndpoints(2);
  driver.Serve(200, 200);
  for (int i = 0; i < 60; ++i) {
    const std::string id = "short" + std::to_string(i);
    const std::string target = PolicyDriver::SentTo(driver.Arrive(id, "view", 60));
    driver.Advance(60);
    if (target.empty()) continue;
    const auto actions = driver.EndAttempt(id, target, AttemptResult::kTimedOut, 60);
    EXPECT_FALSE(PolicyDriver::Logged(actions, Log::Event::kEndpointEjected)) << i;
    EXPECT_FALSE(PolicyDriver::Logged(actions, Log::Event::kDispatchRateReduced)) << i;
  }
  EXPECT_EQ(driver.policy.CollectStats().unavailable, 0);
}

// Guards against ignoring too many time-outs: those of attempts with regular deadlines must still count.
TEST(ClientIsolation, TimeoutsOfRegularDeadlinesStillEjectTheEndpoint) {
  PolicyDriver driver;
  driver.ListEndpoints(2);
  driver.Serve(50, 200);
  for (int i = 0; i < 12; ++i) {
    const std::string id = "timeout" + std::to_string(i);
    const std::string target = PolicyDriver::SentTo(driver.Arrive(id));
    driver.Advance(target == "s0" ? 1000 : 200);
    driver.EndAttempt(id, target, target == "s0" ? AttemptResult::kTimedOut : AttemptResult::kServed,
                      target == "s0" ? 1000 : 200);
  }
  EXPECT_EQ(driver.policy.CollectStats().unavailable, 1);
}

// Guards against endpoints that stay ejected because all requests are of a non-idempotent class: once all
// endpoints are ejected, any request may serve as a health probe.
TEST(HealthProbes, AnyRequestMayProbeIfAllEndpointsAreEjected) {
  for (const char* traffic_class : {"view", "pay"}) {
    PolicyDriver driver;
    driver.ListEndpoints(2);
    std::map<std::string, int> next_attempt;
    std::size_t ended = 0;
    const auto send_and_end = [&](int request_count, const std::string& name, AttemptResult result) {
      for (int i = 0; i < request_count; ++i) {
        driver.Arrive(name + std::to_string(i), traffic_class);
        driver.Advance(50);
        for (; ended < driver.sent.size(); ++ended) {
          const StartAttempt start = driver.sent[ended];
          driver.EndAttempt(start.request, start.endpoint, result, 20, next_attempt[start.request]++);
        }
      }
    };
    send_and_end(40, "fails", AttemptResult::kConnectFailed);
    ASSERT_EQ(driver.policy.CollectStats().unavailable, 2) << traffic_class;
    driver.Advance(10000);
    const std::size_t sent_before = driver.sent.size();
    send_and_end(200, "served", AttemptResult::kServed);
    // The endpoint's process may be new, so slow start limits the requests.
    EXPECT_GT(driver.sent.size(), sent_before + 15) << traffic_class;
    EXPECT_EQ(driver.policy.CollectStats().unavailable, 0) << traffic_class;
  }
}

// Guards against health probes with requests that may not be retried, while another endpoint can serve them.
TEST(HealthProbes, NonIdempotentRequestsDoNotProbeWhileAnEndpointIsNotEjected) {
  PolicyDriver driver;
  driver.ListEndpoints(2);
  driver.Serve(20);
  for (int i = 0; i < 40 && driver.policy.CollectStats().unavailable == 0; ++i) {
    const std::string id = "fails" + std::to_string(i);
    const std::string target = PolicyDriver::SentTo(driver.Arrive(id, "pay"));
    driver.Advance(20);
    driver.EndAttempt(id, target, target == "s0" ? AttemptResult::kError : AttemptResult::kServed, 20);
  }
  ASSERT_EQ(driver.policy.CollectStats().unavailable, 1);
  driver.Advance(10000);
  for (int i = 0; i < 10; ++i) {
    const std::string id = "pay" + std::to_string(i);
    EXPECT_EQ(PolicyDriver::SentTo(driver.Arrive(id, "pay")), "s1");
    driver.Advance(20);
    driver.EndAttempt(id, "s1", AttemptResult::kServed, 20);
  }
}

// Guards the minimum of the learned rate: if attempts fail while no endpoint is listed, the rate is reduced
// to almost 0. Once endpoints are listed again it is at least one request per second and endpoint.
TEST(RateController, MinimumRateAppliesAfterATimeWithoutEndpoints) {
  Settings settings = MakeSettings();
  settings.classes[0].latency_objective = settings.classes[0].deadline = 60000;
  PolicyDriver driver(settings);
  driver.ListEndpoints(4);
  for (int i = 0; i < 60; ++i) driver.Arrive("r" + std::to_string(i));
  const auto in_flight = driver.sent;
  driver.Snapshot({});
  std::map<std::string, int> next_attempt;
  for (const StartAttempt& start : in_flight) {  // the attempts in flight fail, one after the other
    driver.Advance(200);
    driver.EndAttempt(start.request, start.endpoint, AttemptResult::kError, 20,
                      next_attempt[start.request]++);
  }
  driver.Advance(60000);
  driver.ListEndpoints(4);
  const std::size_t sent_before = driver.sent.size();
  for (int i = 0; i < 60; ++i) {
    driver.Arrive("new" + std::to_string(i));
    driver.Advance(100);
  }
  EXPECT_GE(driver.sent.size() - sent_before, 15u);  // 4 endpoints, 6 seconds
}

// Guards against head-of-line blocking in the queue of a class by a retry that no endpoint may serve.
TEST(ClassQueues, RetryWithoutAnEndpointDoesNotBlockRequestsBehindIt) {
  PolicyDriver driver;
  driver.Snapshot({MakeEndpoint("s0", "0"), MakeEndpoint("s1", "1")});
  EXPECT_EQ(PolicyDriver::Count<StartAttempt>(driver.Arrive("warm", "key")), 1);
  driver.now += 20;
  driver.EndAttempt("warm", driver.sent.back().endpoint, AttemptResult::kServed, 20);
  driver.Arrive("retried", "key");  // may have been executed, so it must stay in the cell of its endpoint
  const std::string first_endpoint = driver.sent.back().endpoint;
  driver.now += 20;
  driver.EndAttempt("retried", first_endpoint, AttemptResult::kError, 20);
  const std::size_t sent_before = driver.sent.size();
  driver.Arrive("next", "key");
  ASSERT_EQ(driver.sent.size(), sent_before + 1);
  EXPECT_EQ(driver.sent.back().request, "next");
}

// Guards against a rate that is used up by attempts that the gateway could not send.
TEST(RateController, AttemptThatCouldNotBeSentReturnsItsToken) {
  Settings settings = MakeSettings();
  settings.classes[0].latency_objective = settings.classes[0].deadline = 60000;
  const auto sent = [&](AttemptResult result) {
    PolicyDriver driver(settings);
    driver.ListEndpoints(1);
    int request_count = 0;
    for (; request_count < 500; ++request_count) {  // at the same instant: no token is refilled
      const std::string id = "r" + std::to_string(request_count);
      const std::string target = PolicyDriver::SentTo(driver.Arrive(id));
      if (target.empty()) break;
      AttemptOutcome outcome{id, 0, target, result, false, 0, {}};
      outcome.not_replayable = true;  // no retry
      driver.Handle(outcome);
    }
    return request_count;
  };
  EXPECT_EQ(sent(AttemptResult::kNotSent), 500);
  EXPECT_LT(sent(AttemptResult::kCancelled), 100);
}

// Guards a request that waits for its next attempt against a late ResponseStarted event of the previous one.
TEST(LateEvents, ResponseStartOfAnEndedAttemptIsIgnored) {
  Settings settings = MakeSettings();
  settings.max_attempts_in_flight = 1;
  PolicyDriver driver(settings);
  driver.ListEndpoints(2);
  driver.Arrive("a");
  const std::string first_endpoint = driver.sent.back().endpoint;
  driver.EndAttempt("a", first_endpoint, AttemptResult::kRejected, 5);  // it is retried at once
  ASSERT_EQ(driver.sent.size(), 2u);
  driver.Handle(ResponseStarted{"a", 0, 5});
  const auto actions = driver.EndAttempt("a", driver.sent.back().endpoint, AttemptResult::kRejected, 5, 1);
  EXPECT_EQ(PolicyDriver::Count<StartAttempt>(actions) + PolicyDriver::Count<Reject>(actions), 1);
}

}  // namespace
}  // namespace meadowyard::testing
