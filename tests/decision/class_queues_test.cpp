/// @file
/// Queues of the traffic classes, and most credit first between them.
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
  PolicyDriver g;
  g.ListEndpoints(2);
  EXPECT_EQ(PolicyDriver::Count<StartAttempt>(g.Arrive("a")), 1);
}

TEST(ClassQueues, NothingIsDispatchedBeforeTheFirstListAndTheQueuedRequestIsRejectedInTime) {
  PolicyDriver g;
  EXPECT_EQ(PolicyDriver::Count<StartAttempt>(g.Arrive("a")), 0);
  EXPECT_EQ(PolicyDriver::Count<Reject>(g.Advance(990)) + PolicyDriver::Count<Reject>(g.Advance(20)), 1);
}

TEST(ClassQueues, QueuedRequestOfAnUnmeasuredClassIsAnsweredBeforeItsDeadline) {
  for (const Millis left : {0.0, 1.0, 9.0, 21.0, 33.0, 456.6}) {  // no endpoint: nothing can be sent
    PolicyDriver g;
    int answered = PolicyDriver::Count<Reject>(g.Arrive("a", "view", left));
    if (left > 0) answered += PolicyDriver::Count<Reject>(g.Advance(left));
    EXPECT_EQ(answered, 1) << left;
  }
}

TEST(ClassQueues, QueuedRequestWithLessTimeBehindOthersIsAnsweredInItsTime) {
  Settings s = MakeSettings();
  s.classes[0].late_weight = 0.5;
  PolicyDriver g(s);
  g.Arrive("long", "view", 2000);
  g.Arrive("short", "view", 100);
  EXPECT_EQ(PolicyDriver::Count<Reject>(g.Advance(110)), 1);
}

TEST(ClassQueues, UnknownClassIsRejectedAndUnknownIdsAreIgnored) {
  PolicyDriver g;
  g.ListEndpoints(2);
  EXPECT_EQ(PolicyDriver::Count<Reject>(g.Arrive("a", "no such class")), 1);
  EXPECT_TRUE(g.EndAttempt("ghost", "s0", AttemptResult::kServed, 10).empty());
  EXPECT_TRUE(g.Handle(ClientDisconnected{"ghost"}).empty());
}

// Fills one endpoint to its limit, then frees it answer by answer, and counts who is released.
std::map<std::string, int> ReleasedByClass(Settings settings, int releases) {
  PolicyDriver g(std::move(settings));
  g.ListEndpoints(1);
  std::vector<std::string> out;
  for (int i = 0; i < 40; ++i) {
    const std::string id = "fill" + std::to_string(i);
    if (!PolicyDriver::SentTo(g.Arrive(id)).empty()) out.push_back(id);
  }
  for (int i = 0; i < 30; ++i) {
    g.Arrive("view" + std::to_string(i), "view");
    g.Arrive("pay" + std::to_string(i), "pay");
  }
  std::map<std::string, int> released;
  for (int i = 0; i < releases && !out.empty(); ++i) {
    const std::string id = out.front();
    out.erase(out.begin());
    for (const Action& a : g.EndAttempt(id, "s0", AttemptResult::kServed, 10)) {
      if (const auto* send = std::get_if<StartAttempt>(&a)) {
        out.push_back(send->request);
        released[send->request.substr(0, 3)]++;
      }
    }
  }
  return released;
}

TEST(MostCreditFirst, ReleasesBackloggedClassesByWeight) {
  Settings s = MakeSettings();
  s.classes = {MakeClass("view", Idempotency::kIdempotent, 1), MakeClass("pay", Idempotency::kIdempotent, 3)};
  // The fill requests are of class view too and stand before its others.
  const auto released = ReleasedByClass(s, 24);
  int view = 0, pay = 0;
  for (const auto& [name, n] : released) (name == "pay" ? pay : view) += n;
  EXPECT_GE(view + pay, 20);
  EXPECT_NEAR(static_cast<double>(pay) / (view + pay), 0.75, 0.1);
}

TEST(MostCreditFirst, OneBackloggedClassInDebtStillMoves) {
  Settings s = MakeSettings();
  s.classes = {MakeClass("view", Idempotency::kIdempotent, 1),
               MakeClass("pay", Idempotency::kIdempotent, 99)};
  PolicyDriver g(s);
  g.ListEndpoints(1);
  std::vector<std::string> out;
  int served = 0;
  for (int i = 0; i < 60; ++i) {
    if (!PolicyDriver::SentTo(g.Arrive("r" + std::to_string(i))).empty())
      out.push_back("r" + std::to_string(i));
  }
  while (!out.empty()) {
    const std::string id = out.back();
    out.pop_back();
    ++served;
    for (const Action& a : g.EndAttempt(id, "s0", AttemptResult::kServed, 10)) {
      if (const auto* send = std::get_if<StartAttempt>(&a)) out.push_back(send->request);
    }
  }
  EXPECT_GT(served, 30);
}

TEST(ClassQueues, FullQueueRejects) {
  PolicyDriver g;
  int refused = 0;
  for (int i = 0; i < 5000; ++i) refused += PolicyDriver::Count<Reject>(g.Arrive("r" + std::to_string(i)));
  EXPECT_GT(refused, 4000);
}

TEST(ClassQueues, RetryWhoseObjectiveHasPassedIsServedLast) {
  Settings s = MakeSettings();  // aim 1000 of a deadline of 2000
  s.classes[0].late_weight = 0.5;
  PolicyDriver g(s);
  g.Arrive("first", "view", 2000);
  g.Arrive("late", "view", 900);    // 1100 have passed since its first try
  g.Arrive("again", "view", 1500);  // still to be answered within its aim
  g.Arrive("new", "view", 2000);
  g.ListEndpoints(1);
  g.Advance(10);
  for (int i = 0; i < 40 && g.sent.size() < 4; ++i) {
    const std::string id = g.sent.back().request;
    g.now += 20;
    g.EndAttempt(id, "s0", AttemptResult::kServed, 20);
  }
  ASSERT_EQ(g.sent.size(), 4u);
  EXPECT_EQ(g.sent[0].request, "first");
  EXPECT_EQ(g.sent[1].request, "again");
  EXPECT_EQ(g.sent[2].request, "new");
  EXPECT_EQ(g.sent[3].request, "late");
}

TEST(ClassQueues, RetryThatCanEarnNothingIsRejectedAtOnce) {
  for (const bool earns : {false, true}) {
    Settings s = MakeSettings();  // aim 1000 of a deadline of 2000
    s.clients_mark_retries = true;
    s.classes[0].late_weight = earns ? 0.5 : 0;
    PolicyDriver g(s);
    g.ListEndpoints(3);
    g.Serve(5);
    Request r;
    r.class_name = "view";
    r.is_retry = true;
    r.id = "late", r.time_left = 900;
    EXPECT_EQ(PolicyDriver::Count<Reject>(g.Handle(r)), earns ? 0 : 1);
    r.id = "again", r.time_left = 1500;
    EXPECT_EQ(PolicyDriver::Count<StartAttempt>(g.Handle(r)), 1);
  }
}

TEST(ClassQueues, FirstAttemptsThatAreAllShortAreNotTakenForRetries) {
  Settings s = MakeSettings();
  s.classes[0].late_weight = 0.5;
  PolicyDriver g(s);
  g.Arrive("short", "view", 900);  // a gateway whose clients all give up early
  g.Arrive("longer", "view", 902);
  g.Arrive("late", "view", 500);
  g.Arrive("last", "view", 898);
  g.ListEndpoints(1);
  g.Advance(10);
  for (int i = 0; i < 40 && g.sent.size() < 4; ++i) {
    g.now += 20;
    g.EndAttempt(g.sent.back().request, "s0", AttemptResult::kServed, 20);
  }
  ASSERT_EQ(g.sent.size(), 4u);
  EXPECT_EQ(g.sent[2].request, "last");
  EXPECT_EQ(g.sent[3].request, "late");
}

TEST(ClassQueues, NoRequestWaitsMoreThanAQuarterOfItsTime) {
  PolicyDriver g;  // no endpoint yet; aim 1000
  g.Arrive("a");
  EXPECT_EQ(PolicyDriver::Count<Reject>(g.Advance(200)), 0);
  EXPECT_EQ(PolicyDriver::Count<Reject>(g.Advance(70)), 1);
}

// Guards usual clients against one that has more time than they: theirs are first attempts, and not late.
TEST(ClassQueues, FirstAttemptIsNotLateForAnotherClientsLongDeadline) {
  for (const bool marks : {true, false}) {
    Settings s = MakeSettings();
    s.clients_mark_retries = marks;
    PolicyDriver g(s);
    g.ListEndpoints(1);
    const auto serve = [&](const std::string& id, Millis left) {
      EXPECT_EQ(PolicyDriver::SentTo(g.Arrive(id, "view", left)), "s0");
      g.now += 20;
      g.EndAttempt(id, "s0", AttemptResult::kServed, 20);
    };
    for (int i = 0; i < 50; ++i) serve("a" + std::to_string(i), 900);
    serve("long", 1900);
    const auto next = g.Arrive("usual", "view", 900);  // 1100 of 2000 ms gone, if it were a retry
    EXPECT_EQ(PolicyDriver::Count<Reject>(next), 0);
    if (!marks) continue;
    Request further;
    further.id = "further";
    further.class_name = "view";
    further.time_left = 700;
    further.is_retry = true;
    EXPECT_EQ(PolicyDriver::Count<Reject>(g.Handle(further)), 1);
  }
}

// Guards the gateway's descriptors: what can't be sent is held, and costs neither a token nor an attempt.
TEST(ClassQueues, DispatchesNoMoreThanTheGatewayHasCapacityFor) {
  Settings s = MakeSettings();
  s.max_attempts_in_flight = 2;
  PolicyDriver g(s);
  g.ListEndpoints(4);
  for (int i = 0; i < 5; ++i) g.Arrive("r" + std::to_string(i));
  ASSERT_EQ(g.sent.size(), 2u);
  const StartAttempt first = g.sent[0];
  g.EndAttempt(first.request, first.endpoint, AttemptResult::kServed, 20);
  EXPECT_EQ(g.sent.size(), 3u);
}

// Guards a rejected client against being advised to come back at once.
TEST(ClassQueues, RejectionWithoutAQueueStillGivesRetryAfter) {
  Settings s = MakeSettings();
  s.sends_retry_after = true;
  s.max_retry_after = 2000;
  PolicyDriver g(s);
  g.ListEndpoints(2);
  g.Serve(50, 80);
  const auto actions = g.Arrive("short", "view", 15);
  ASSERT_EQ(PolicyDriver::Count<Reject>(actions), 1);
  for (const Action& a : actions) {
    const auto* const refuse = std::get_if<Reject>(&a);
    EXPECT_TRUE(refuse == nullptr || std::abs(refuse->retry_after - 40) < 5);
  }
}

}  // namespace
}  // namespace meadowyard::testing
