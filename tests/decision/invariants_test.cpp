/// @file
/// Invariants of a Policy under random events. The checker tracks requests and attempts itself and shares no
/// code with the decision module.
///
/// - Nothing is sent to an endpoint that is draining or removed.
/// - A request has at most one attempt in flight and at most Settings::max_attempts attempts.
/// - A request that may have been executed is retried, or rejected as safe to retry, only if its idempotency
///   allows it.
/// - Each request gets exactly one final answer, at most 20 ms after its deadline.
#include <gtest/gtest.h>

#include <map>
#include <random>

#include "decision/policy_driver.hpp"

namespace meadowyard::testing {
namespace {

struct TrackedAttempt {
  std::string endpoint_id;
  Millis sent_at = 0;
  Millis ends_at = 0;
  bool in_flight = true;
  bool was_not_executed = false;  // the outcome proves that it was not executed
};

struct TrackedRequest {
  const TrafficClassSettings* traffic_class = nullptr;
  Millis deadline_at = 0;
  std::vector<TrackedAttempt> attempts;
  bool is_answered = false;
};

struct InvariantChecker {
  const Settings& settings;
  std::map<std::string, TrackedRequest> requests;
  std::map<std::string, Endpoint> endpoints;  // as last reported to the policy
  std::map<std::string, bool> is_up;

  void Apply(Millis now, const std::vector<Action>& actions) {
    for (const Action& action : actions) {
      if (const auto* concrete_action = std::get_if<StartAttempt>(&action))
        OnStartAttempt(now, *concrete_action);
      if (const auto* concrete_action = std::get_if<Reject>(&action))
        OnFinalAnswer(now, concrete_action->request, true);
      if (const auto* concrete_action = std::get_if<Fail>(&action))
        OnFinalAnswer(now, concrete_action->request, false);
    }
  }

  void OnStartAttempt(Millis now, const StartAttempt& start_attempt) {
    TrackedRequest& tracked_request = requests.at(start_attempt.request);
    ASSERT_FALSE(tracked_request.is_answered) << "sent after its final answer: " << start_attempt.request;
    ASSERT_TRUE(is_up[start_attempt.endpoint]) << "sent to an endpoint that is draining or removed";
    ASSERT_LT(static_cast<int>(tracked_request.attempts.size()), settings.max_attempts);
    for (const TrackedAttempt& attempt : tracked_request.attempts) {
      ASSERT_TRUE(!attempt.in_flight) << "two attempts of one request in flight";
      if (tracked_request.traffic_class->idempotency == Idempotency::kNonIdempotent) {
        ASSERT_TRUE(!attempt.in_flight && attempt.was_not_executed)
            << "non-idempotent request sent twice, though the first attempt may have been executed";
      }
    }
    if (tracked_request.traffic_class->idempotency == Idempotency::kIdempotencyKey) {
      for (const TrackedAttempt& attempt : tracked_request.attempts) {
        if (attempt.was_not_executed) continue;
        ASSERT_EQ(endpoints.at(attempt.endpoint_id).cell, endpoints.at(start_attempt.endpoint).cell)
            << "retry left the cell that drops its repeats";
        ASSERT_LT(now - attempt.sent_at, tracked_request.traffic_class->dedup_window)
            << "retry after the deduplication window";
      }
    }
    tracked_request.attempts.push_back({start_attempt.endpoint, now,
                                        std::min(now + start_attempt.timeout, tracked_request.deadline_at),
                                        true, false});
  }

  void OnFinalAnswer(Millis now, const std::string& id, bool is_reject) {
    TrackedRequest& tracked_request = requests.at(id);
    ASSERT_FALSE(tracked_request.is_answered) << "answered twice: " << id;
    ASSERT_LE(now, tracked_request.deadline_at + 20) << "answered too late: " << id;
    if (is_reject && tracked_request.traffic_class->idempotency != Idempotency::kIdempotent) {
      for (const TrackedAttempt& attempt : tracked_request.attempts)
        ASSERT_TRUE(!attempt.in_flight && attempt.was_not_executed)
            << "rejected though it may have been executed";
    }
    tracked_request.is_answered = true;
  }
};

// Runs 6000 steps of 5 ms each with random requests, outcomes, disconnects and changes of six endpoints in
// two cells. No request arrives in the last 500 steps, so that all must be answered at the end.
void RunRandomEvents(std::uint64_t seed, bool is_polling) {
  std::mt19937_64 random_engine(seed);
  const auto with_probability = [&](double probability) {
    return std::uniform_real_distribution<>(0, 1)(random_engine) < probability;
  };
  Settings settings = MakeSettings();
  settings.polls_endpoints = is_polling;
  settings.gateway_count = 1 + static_cast<int>(random_engine() % 4);
  PolicyDriver driver(settings, seed);
  InvariantChecker checker{settings, {}, {}, {}};

  std::map<std::string, Endpoint> discovered_endpoints;
  for (int i = 0; i < 6; ++i) {
    Endpoint discovered_endpoint = MakeEndpoint("s" + std::to_string(i), std::to_string(i % 2));
    discovered_endpoints[discovered_endpoint.id] = discovered_endpoint;
  }
  const auto handle = [&](const Event& event) { checker.Apply(driver.now, driver.Handle(event)); };
  const auto update_endpoint = [&](const Endpoint& discovered_endpoint) {
    discovered_endpoints[discovered_endpoint.id] = checker.endpoints[discovered_endpoint.id] =
        discovered_endpoint;
    checker.is_up[discovered_endpoint.id] = discovered_endpoint.state == EndpointState::kUp;
    handle(EndpointUpdate{EndpointUpdate::Kind::kDelta, {discovered_endpoint}});
  };
  for (const auto& [id, discovered_endpoint] : std::map(discovered_endpoints))
    update_endpoint(discovered_endpoint);

  int request_count = 0;
  double failure_probability = 0.1;
  for (int step = 0; step < 6000 && !::testing::Test::HasFatalFailure(); ++step) {
    driver.now += 5;
    if (step % 500 == 0) failure_probability = with_probability(0.5) ? 0.5 : 0.05;
    if (step % 2 == 0) handle(TimerExpired{"sweep"});
    while (step < 5500 && with_probability(0.4)) {
      Request new_request;
      new_request.id = "q" + std::to_string(request_count++);
      const auto& traffic_class = settings.classes[random_engine() % 3];
      new_request.class_name = traffic_class.name;
      new_request.time_left = 50 + static_cast<double>(random_engine() % 1950);
      checker.requests[new_request.id] = {&traffic_class, driver.now + new_request.time_left, {}, false};
      handle(new_request);
    }
    // An endpoint drains, is removed, or is up again, possibly as a new process.
    if (with_probability(0.01)) {
      Endpoint discovered_endpoint =
          std::next(discovered_endpoints.begin(),
                    static_cast<long>(random_engine() % discovered_endpoints.size()))
              ->second;
      const auto change = random_engine() % 4;
      discovered_endpoint.state = change == 0   ? EndpointState::kDraining
                                  : change == 1 ? EndpointState::kRemoved
                                                : EndpointState::kUp;
      if (change == 2) discovered_endpoint.started_at = driver.now;
      update_endpoint(discovered_endpoint);
    }
    if (with_probability(0.002)) handle(EndpointUpdate{EndpointUpdate::Kind::kFailed, {}});
    std::vector<Event> events;
    for (auto& [id, tracked_request] : checker.requests) {
      for (std::size_t i = 0; i < tracked_request.attempts.size(); ++i) {
        TrackedAttempt& attempt = tracked_request.attempts[i];
        if (!attempt.in_flight) continue;
        AttemptOutcome outcome{id,
                               static_cast<int>(i),
                               attempt.endpoint_id,
                               AttemptResult::kServed,
                               tracked_request.is_answered,
                               driver.now - attempt.sent_at,
                               {}};
        if (driver.now >= attempt.ends_at) {
          outcome.result = AttemptResult::kTimedOut;
        } else if (!with_probability(0.08)) {
          continue;
        } else if (with_probability(failure_probability)) {
          constexpr AttemptResult kFailures[] = {AttemptResult::kError,         AttemptResult::kRejected,
                                                 AttemptResult::kConnectFailed, AttemptResult::kReset,
                                                 AttemptResult::kNotSent,       AttemptResult::kCancelled};
          outcome.result = kFailures[random_engine() % 6];
        }
        attempt.in_flight = false;
        attempt.was_not_executed = outcome.result == AttemptResult::kRejected ||
                                   outcome.result == AttemptResult::kConnectFailed ||
                                   outcome.result == AttemptResult::kNotSent;
        if (outcome.result == AttemptResult::kServed)
          tracked_request.is_answered = outcome.request_finished = true;
        events.push_back(outcome);
        if (tracked_request.is_answered) break;
      }
      if (!tracked_request.is_answered && with_probability(0.0005)) events.push_back(ClientDisconnected{id});
    }
    for (const Event& event : events) {
      if (const auto* disconnected = std::get_if<ClientDisconnected>(&event))
        checker.requests.at(disconnected->request).is_answered = true;
      handle(event);
    }
    std::erase_if(checker.requests, [&](const auto& entry) {
      const TrackedRequest& tracked_request = entry.second;
      return tracked_request.is_answered &&
             std::none_of(tracked_request.attempts.begin(), tracked_request.attempts.end(),
                          [](const TrackedAttempt& attempt) { return attempt.in_flight; });
    });
    for (const auto& [id, tracked_request] : checker.requests) {
      ASSERT_TRUE(tracked_request.is_answered || driver.now <= tracked_request.deadline_at + 20)
          << "never answered: " << id;
    }
  }
  EXPECT_GT(request_count, 1000);
  EXPECT_TRUE(checker.requests.empty()) << checker.requests.size() << " requests are still open";
}

// 12 seeds, alternately with a pushed and a polled endpoint list.
TEST(Invariants, HoldUnderRandomEvents) {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    SCOPED_TRACE(seed);
    RunRandomEvents(seed, seed % 2 == 0);
    if (HasFatalFailure()) return;
  }
}

}  // namespace
}  // namespace meadowyard::testing
