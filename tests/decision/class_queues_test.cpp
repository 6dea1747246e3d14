/// @file
/// The queues of the traffic classes and the scheduling between them by credit.
#include <gtest/gtest.h>

#include <cmath>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "decision/policy_driver.hpp"

namespace meadowyard::testing {
namespace {

TEST(ClassQueues, RequestIsDispatchedAtOnceWhenQueuesAreEmpty) {
  PolicyDriver driver;
  driver.ListEndpoints(2);
  EXPECT_EQ(PolicyDriver::Count<StartAttempt>(driver.Arrive("a")), 1);
}

TEST(ClassQueues, RequestBeforeTheFirstEndpointListIsNotDispatchedAndIsRejectedInTime) {
  PolicyDriver driver;
  EXPECT_EQ(PolicyDriver::Count<StartAttempt>(driver.Arrive("a")), 0);
  EXPECT_EQ(
      PolicyDriver::Count<Reject>(driver.Advance(990)) + PolicyDriver::Count<Reject>(driver.Advance(20)), 1);
}

TEST(ClassQueues, QueuedRequestOfAnUnmeasuredClassIsAnsweredBeforeItsDeadline) {
  // Nothing can be sent, because there is no endpoint.
  for (const Millis remaining : {0.0, 1.0, 9.0, 21.0, 33.0, 456.6}) {
    PolicyDriver driver;
    int answered = PolicyDriver::Count<Reject>(driver.Arrive("a", "view", remaining));
    if (remaining > 0) answered += PolicyDriver::Count<Reject>(driver.Advance(remaining));
    EXPECT_EQ(answered, 1) << remaining;
  }
}

// Guards against a sweep that checks only the first request of a queue: the one behind it has the shorter
// deadline.
TEST(ClassQueues, RequestQueuedBehindOneWithMoreTimeIsAnsweredBeforeItsOwnDeadline) {
  Settings settings = MakeSettings();
  settings.classes[0].late_weight = 0.5;
  PolicyDriver driver(settings);
  driver.Arrive("long", "view", 2000);
  driver.Arrive("short", "view", 100);
  EXPECT_EQ(PolicyDriver::Count<Reject>(driver.Advance(110)), 1);
}

TEST(ClassQueues, UnknownClassIsRejectedAndUnknownRequestIdsAreIgnored) {
  PolicyDriver driver;
  driver.ListEndpoints(2);
  EXPECT_EQ(PolicyDriver::Count<Reject>(driver.Arrive("a", "no such class")), 1);
  EXPECT_TRUE(driver.EndAttempt("unknown", "s0", AttemptResult::kServed, 10).empty());
  EXPECT_TRUE(driver.Handle(ClientDisconnected{"unknown"}).empty());
}

// Sends one endpoint requests up to its limit, queues 30 requests each of the classes view and pay, and then
// ends `releases` attempts one by one. Returns how many queued requests were released, by the first three
// letters of their ids.
std::map<std::string, int> ReleasedByClass(Settings policy_settings, int releases) {
  PolicyDriver driver(std::move(policy_settings));
  driver.ListEndpoints(1);
  std::vector<std::string> in_flight;
  for (int i = 0; i < 40; ++i) {
    const std::string id = "fill" + std::to_string(i);
    if (!PolicyDriver::SentTo(driver.Arrive(id)).empty()) in_flight.push_back(id);
  }
  for (int i = 0; i < 30; ++i) {
    driver.Arrive("view" + std::to_string(i), "view");
    driver.Arrive("pay" + std::to_string(i), "pay");
  }
  std::map<std::string, int> released;
  for (int i = 0; i < releases && !in_flight.empty(); ++i) {
    const std::string id = in_flight.front();
    in_flight.erase(in_flight.begin());
    for (const Action& action : driver.EndAttempt(id, "s0", AttemptResult::kServed, 10)) {
      if (const auto* start = std::get_if<StartAttempt>(&action)) {
        in_flight.push_back(start->request);
        released[start->request.substr(0, 3)]++;
      }
    }
  }
  return released;
}

TEST(ClassScheduling, ReleasesBackloggedClassesByWeight) {
  Settings settings = MakeSettings();
  settings.classes = {MakeClass("view", Idempotency::kIdempotent, 1),
                      MakeClass("pay", Idempotency::kIdempotent, 3)};
  // The fill requests that were queued are of class view too and ahead of its other requests.
  const auto released = ReleasedByClass(settings, 24);
  int view_count = 0, pay_count = 0;
  for (const auto& [name, count] : released) (name == "pay" ? pay_count : view_count) += count;
  EXPECT_GE(view_count + pay_count, 20);
  EXPECT_NEAR(static_cast<double>(pay_count) / (view_count + pay_count), 0.75, 0.1);
}

// Guards against a class with little weight that is blocked by its negative credit although no other class is
// backlogged.
TEST(ClassScheduling, ClassWithNegativeCreditIsReleasedWhenOnlyItIsBacklogged) {
  Settings settings = MakeSettings();
  settings.classes = {MakeClass("view", Idempotency::kIdempotent, 1),
                      MakeClass("pay", Idempotency::kIdempotent, 99)};
  PolicyDriver driver(settings);
  driver.ListEndpoints(1);
  std::vector<std::string> in_flight;
  int served = 0;
  for (int i = 0; i < 60; ++i) {
    if (!PolicyDriver::SentTo(driver.Arrive("r" + std::to_string(i))).empty())
      in_flight.push_back("r" + std::to_string(i));
  }
  while (!in_flight.empty()) {
    const std::string id = in_flight.back();
    in_flight.pop_back();
    ++served;
    for (const Action& action : driver.EndAttempt(id, "s0", AttemptResult::kServed, 10)) {
      if (const auto* start = std::get_if<StartAttempt>(&action)) in_flight.push_back(start->request);
    }
  }
  EXPECT_GT(served, 30);
}

TEST(ClassQueues, RequestIsRejectedWhenItsQueueIsFull) {
  PolicyDriver driver;
  int rejected = 0;
  for (int i = 0; i < 5000; ++i)
    rejected += PolicyDriver::Count<Reject>(driver.Arrive("r" + std::to_string(i)));
  EXPECT_GT(rejected, 4000);
}

TEST(ClassQueues, RetryWhoseObjectiveHasPassedIsServedLast) {
  Settings settings = MakeSettings();  // latency objective of 1000 ms, deadline of 2000 ms
  settings.classes[0].late_weight = 0.5;
  PolicyDriver driver(settings);
  driver.Arrive("first", "view", 2000);
  driver.Arrive("late", "view", 900);    // 1100 ms have passed since its first attempt
  driver.Arrive("again", "view", 1500);  // a retry that can still be answered within its objective
  driver.Arrive("new", "view", 2000);
  driver.ListEndpoints(1);
  driver.Advance(10);
  for (int i = 0; i < 40 && driver.sent.size() < 4; ++i) {
    const std::string id = driver.sent.back().request;
    driver.now += 20;
    driver.EndAttempt(id, "s0", AttemptResult::kServed, 20);
  }
  ASSERT_EQ(driver.sent.size(), 4u);
  EXPECT_EQ(driver.sent[0].request, "first");
  EXPECT_EQ(driver.sent[1].request, "again");
  EXPECT_EQ(driver.sent[2].request, "new");
  EXPECT_EQ(driver.sent[3].request, "late");
}

TEST(ClassQueues, LateRetryIsRejectedAtOnceIfLateAnswersHaveNoWeight) {
  for (const bool has_late_weight : {false, true}) {
    Settings settings = MakeSettings();  // latency objective of 1000 ms, deadline of 2000 ms
    settings.clients_mark_retries = true;
    settings.classes[0].late_weight = has_late_weight ? 0.5 : 0;
    PolicyDriver driver(settings);
    driver.ListEndpoints(3);
    driver.Serve(5);
    Request arrival;
    arrival.class_name = "view";
    arrival.is_retry = true;
    arrival.id = "late", arrival.time_left = 900;
    EXPECT_EQ(PolicyDriver::Count<Reject>(driver.Handle(arrival)), has_late_weight ? 0 : 1);
    arrival.id = "again", arrival.time_left = 1500;
    EXPECT_EQ(PolicyDriver::Count<StartAttempt>(driver.Handle(arrival)), 1);
  }
}

// Guards against treating first attempts as late retries where all clients have shorter deadlines than their
// class allows.
TEST(ClassQueues, FirstAttemptsWithShortDeadlinesAreNotTreatedAsRetries) {
  Settings settings = MakeSettings();
  settings.classes[0].late_weight = 0.5;
  PolicyDriver driver(settings);
  driver.Arrive("short", "view", 900);  // all clients of this gateway have short deadlines
  driver.Arrive("longer", "view", 902);
  driver.Arrive("late", "view", 500);
  driver.Arrive("last", "view", 898);
  driver.ListEndpoints(1);
  driver.Advance(10);
  for (int i = 0; i < 40 && driver.sent.size() < 4; ++i) {
    driver.now += 20;
    driver.EndAttempt(driver.sent.back().request, "s0", AttemptResult::kServed, 20);
  }
  ASSERT_EQ(driver.sent.size(), 4u);
  EXPECT_EQ(driver.sent[2].request, "last");
  EXPECT_EQ(driver.sent[3].request, "late");
}

TEST(ClassQueues, NoRequestIsQueuedLongerThanAQuarterOfItsLatencyObjective) {
  PolicyDriver driver;  // no endpoint yet; latency objective of 1000 ms
  driver.Arrive("a");
  EXPECT_EQ(PolicyDriver::Count<Reject>(driver.Advance(200)), 0);
  EXPECT_EQ(PolicyDriver::Count<Reject>(driver.Advance(70)), 1);
}

// Guards against one client with a longer deadline than the others, which would make their first attempts
// look like late retries.
TEST(ClassQueues, FirstAttemptIsNotTreatedAsLateBecauseOfAnotherClientsLongDeadline) {
  for (const bool are_retries_marked : {true, false}) {
    Settings settings = MakeSettings();
    settings.clients_mark_retries = are_retries_marked;
    PolicyDriver driver(settings);
    driver.ListEndpoints(1);
    const auto serve = [&](const std::string& id, Millis remaining) {
      EXPECT_EQ(PolicyDriver::SentTo(driver.Arrive(id, "view", remaining)), "s0");
      driver.now += 20;
      driver.EndAttempt(id, "s0", AttemptResult::kServed, 20);
    };
    for (int i = 0; i < 50; ++i) serve("a" + std::to_string(i), 900);
    serve("long", 1900);
    // If it were a retry, 1100 of its 2000 ms would have passed.
    const auto next_actions = driver.Arrive("usual", "view", 900);
    EXPECT_EQ(PolicyDriver::Count<Reject>(next_actions), 0);
    if (!are_retries_marked) continue;
    Request marked_retry;
    marked_retry.id = "marked retry";
    marked_retry.class_name = "view";
    marked_retry.time_left = 700;
    marked_retry.is_retry = true;
    EXPECT_EQ(PolicyDriver::Count<Reject>(driver.Handle(marked_retry)), 1);
  }
}

// Guards against a gateway that runs out of file descriptors: requests over the limit stay queued, and cost
// neither a token nor an attempt.
TEST(ClassQueues, AttemptsInFlightStayWithinTheGatewaysLimit) {
  Settings settings = MakeSettings();
  settings.max_attempts_in_flight = 2;
  PolicyDriver driver(settings);
  driver.ListEndpoints(4);
  for (int i = 0; i < 5; ++i) driver.Arrive("r" + std::to_string(i));
  ASSERT_EQ(driver.sent.size(), 2u);
  const StartAttempt first = driver.sent[0];
  driver.EndAttempt(first.request, first.endpoint, AttemptResult::kServed, 20);
  EXPECT_EQ(driver.sent.size(), 3u);
}

// Guards against a Retry-After of 0 for requests that are rejected while the queues are empty.
TEST(ClassQueues, RejectionWithEmptyQueuesHasARetryAfter) {
  Settings settings = MakeSettings();
  settings.sends_retry_after = true;
  settings.max_retry_after = 2000;
  PolicyDriver driver(settings);
  driver.ListEndpoints(2);
  driver.Serve(50, 80);
  const auto actions = driver.Arrive("short", "view", 15);
  ASSERT_EQ(PolicyDriver::Count<Reject>(actions), 1);
  for (const Action& action : actions) {
    const auto* const reject = std::get_if<Reject>(&action);
    EXPECT_TRUE(reject == nullptr || std::abs(reject->retry_after - 40) < 5);
  }
}

}  // namespace
}  // namespace meadowyard::testing
