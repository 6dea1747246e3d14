/// @file
/// Events with invalid values or in an unexpected order, and determinism.
#include <gtest/gtest.h>

#include <limits>
#include <string>

#include "decision/policy_driver.hpp"

namespace meadowyard::testing {
namespace {

// Guards the latency and capacity estimates: a NaN or an infinity that enters a smoothed value never leaves
// it again, and every later time-out would be unusable.
TEST(EventHandling, NonFiniteValuesDoNotEnterEstimates) {
  PolicyDriver driver;
  Endpoint endpoint_with_nan_weight = MakeEndpoint("s0");
  endpoint_with_nan_weight.weight = std::numeric_limits<double>::quiet_NaN();
  driver.Snapshot({endpoint_with_nan_weight, MakeEndpoint("s1")});
  Request request;
  request.id = "nan";
  request.class_name = "view";
  request.time_left = std::numeric_limits<double>::infinity();
  const std::string endpoint_id = PolicyDriver::SentTo(driver.Handle(request));
  driver.EndAttempt("nan", endpoint_id, AttemptResult::kServed, std::numeric_limits<double>::quiet_NaN());
  driver.Serve(50);
  EXPECT_GE(driver.sent.size(), 50u);
  for (const StartAttempt& start_attempt : driver.sent)
    EXPECT_TRUE(start_attempt.timeout > 0 && start_attempt.timeout < 1e6);
}

// Guards against two final answers to one request, and against reading past the list of its attempts.
TEST(EventHandling, DuplicateOrUnknownOutcomeIsIgnored) {
  PolicyDriver driver;
  driver.ListEndpoints(2);
  const std::string endpoint_id = PolicyDriver::SentTo(driver.Arrive("a", "pay"));
  EXPECT_EQ(PolicyDriver::Count<Fail>(driver.EndAttempt("a", endpoint_id, AttemptResult::kError, 5)), 1);
  EXPECT_TRUE(driver.EndAttempt("a", endpoint_id, AttemptResult::kError, 5).empty());
  const std::string second_endpoint_id = PolicyDriver::SentTo(driver.Arrive("b"));
  for (const int attempt : {-1, 1, 1000000})
    EXPECT_TRUE(driver.EndAttempt("b", second_endpoint_id, AttemptResult::kServed, 5, attempt).empty());
  driver.EndAttempt("b", second_endpoint_id, AttemptResult::kServed, 5);
  EXPECT_TRUE(driver.Handle(ClientDisconnected{"b"}).empty());
  EXPECT_TRUE(driver.Handle(ResponseStarted{"b", 0}).empty());
}

// Guards against a clock that stops: if a NaN or a negative time became the current time, queued requests
// would never expire.
TEST(EventHandling, InvalidEventTimesNeitherStopTheClockNorLoseRequests) {
  const double nan = std::numeric_limits<double>::quiet_NaN();
  for (const double invalid_time : {nan, -1e12}) {
    PolicyDriver driver;
    driver.now = invalid_time;  // already at the first event
    driver.ListEndpoints(2);
    driver.now = 5000;
    const std::string endpoint_id = PolicyDriver::SentTo(driver.Arrive("a"));
    ASSERT_FALSE(endpoint_id.empty());
    driver.now = invalid_time;
    driver.EndAttempt("a", endpoint_id, AttemptResult::kServed, -7);
    driver.Snapshot({});
    EXPECT_EQ(PolicyDriver::Count<StartAttempt>(driver.Arrive("held")), 0);
    driver.now = 5000;
    EXPECT_EQ(PolicyDriver::Count<Reject>(driver.Advance(300)), 1);
  }
}

// Guards against a division by an elapsed time of 0, and against queues that grow without bound: each
// request is dispatched, rejected at once, or queued and rejected when its wait time is over.
TEST(EventHandling, BurstAtOneInstantIsDispatchedQueuedOrRejected) {
  PolicyDriver driver;
  driver.ListEndpoints(3);
  int sent = 0, rejected = 0;
  for (int i = 0; i < 3000; ++i) {
    for (const Action& action : driver.Arrive("r" + std::to_string(i))) {
      sent += std::holds_alternative<StartAttempt>(action);
      rejected += std::holds_alternative<Reject>(action);
    }
  }
  EXPECT_GT(sent, 0);
  EXPECT_GT(rejected, 0);
  EXPECT_EQ(PolicyDriver::Count<Reject>(driver.Advance(300)), 3000 - sent - rejected);
}

// Guards against attempts at endpoints that service discovery has removed. A failed update keeps the last
// list.
TEST(EventHandling, RemovedEndpointGetsNoAttemptsAfterEmptyOrFailedUpdate) {
  PolicyDriver driver;
  driver.ListEndpoints(3);
  driver.Snapshot({});
  EXPECT_EQ(PolicyDriver::SentTo(driver.Arrive("a")), "");
  driver.Snapshot({MakeEndpoint("s1", "0", 50)});
  EXPECT_EQ(PolicyDriver::Count<Reject>(driver.Advance(300)) + static_cast<int>(driver.sent.size()), 1);
  driver.Handle(EndpointUpdate{EndpointUpdate::Kind::kFailed, {}});
  EXPECT_NE(PolicyDriver::SentTo(driver.Arrive("b")), "s0");
}

// Guards determinism: recorded runs are reproducible only if equal settings, seed and events give equal
// actions.
TEST(EventHandling, SameEventsGiveTheSameActions) {
  PolicyDriver first_driver(MakeSettings(), 7), second_driver(MakeSettings(), 7);
  first_driver.ListEndpoints(5);
  second_driver.ListEndpoints(5);
  first_driver.Serve(100);
  second_driver.Serve(100);
  ASSERT_EQ(first_driver.sent.size(), second_driver.sent.size());
  for (std::size_t i = 0; i < first_driver.sent.size(); ++i)
    EXPECT_EQ(first_driver.sent[i].endpoint, second_driver.sent[i].endpoint);
}

}  // namespace
}  // namespace meadowyard::testing
