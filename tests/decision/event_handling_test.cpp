/// @file
/// Events with odd values, in odd orders, and determinism.
#include <gtest/gtest.h>

#include <limits>
#include <string>

#include "decision/policy_driver.hpp"

namespace meadowyard::testing {
namespace {

TEST(EventHandling, NonFiniteNumbersNeverReachAnEstimate) {
  PolicyDriver g;
  Endpoint odd = MakeEndpoint("s0");
  odd.weight = std::numeric_limits<double>::quiet_NaN();
  g.Snapshot({odd, MakeEndpoint("s1")});
  Request r;
  r.id = "nan";
  r.class_name = "view";
  r.time_left = std::numeric_limits<double>::infinity();
  const std::string server = PolicyDriver::SentTo(g.Handle(r));
  g.EndAttempt("nan", server, AttemptResult::kServed, std::numeric_limits<double>::quiet_NaN());
  g.Serve(50);
  EXPECT_GE(g.sent.size(), 50u);
  for (const StartAttempt& send : g.sent) EXPECT_TRUE(send.timeout > 0 && send.timeout < 1e6);
}

TEST(EventHandling, OutcomeReportedTwiceOrOfNoAttemptChangesNothing) {
  PolicyDriver g;
  g.ListEndpoints(2);
  const std::string server = PolicyDriver::SentTo(g.Arrive("a", "pay"));
  EXPECT_EQ(PolicyDriver::Count<Fail>(g.EndAttempt("a", server, AttemptResult::kError, 5)), 1);
  EXPECT_TRUE(g.EndAttempt("a", server, AttemptResult::kError, 5).empty());
  const std::string other = PolicyDriver::SentTo(g.Arrive("b"));
  for (const int attempt : {-1, 1, 1000000})
    EXPECT_TRUE(g.EndAttempt("b", other, AttemptResult::kServed, 5, attempt).empty());
  g.EndAttempt("b", other, AttemptResult::kServed, 5);
  EXPECT_TRUE(g.Handle(ClientDisconnected{"b"}).empty());
  EXPECT_TRUE(g.Handle(ResponseStarted{"b", 0}).empty());
}

TEST(EventHandling, OddTimesNeitherStopTheClockNorLoseARequest) {
  const double nan = std::numeric_limits<double>::quiet_NaN();
  for (const double odd : {nan, -1e12}) {
    PolicyDriver g;
    g.now = odd;  // the first event of all already
    g.ListEndpoints(2);
    g.now = 5000;
    const std::string server = PolicyDriver::SentTo(g.Arrive("a"));
    ASSERT_FALSE(server.empty());
    g.now = odd;
    g.EndAttempt("a", server, AttemptResult::kServed, -7);
    g.Snapshot({});
    EXPECT_EQ(PolicyDriver::Count<StartAttempt>(g.Arrive("held")), 0);
    g.now = 5000;
    EXPECT_EQ(PolicyDriver::Count<Reject>(g.Advance(300)), 1);
  }
}

TEST(EventHandling, ClockThatStandsStillNeitherCrashesNorFloods) {
  PolicyDriver g;
  g.ListEndpoints(3);
  int sent = 0, refused = 0;
  for (int i = 0; i < 3000; ++i) {
    for (const Action& a : g.Arrive("r" + std::to_string(i))) {
      sent += std::holds_alternative<StartAttempt>(a);
      refused += std::holds_alternative<Reject>(a);
    }
  }
  EXPECT_GT(sent, 0);
  EXPECT_GT(refused, 0);
  EXPECT_EQ(PolicyDriver::Count<Reject>(g.Advance(300)), 3000 - sent - refused);
}

TEST(EventHandling, EmptyAndStaleListsSendNothingToRemovedEndpoints) {
  PolicyDriver g;
  g.ListEndpoints(3);
  g.Snapshot({});
  EXPECT_EQ(PolicyDriver::SentTo(g.Arrive("a")), "");
  g.Snapshot({MakeEndpoint("s1", "0", 50)});
  EXPECT_EQ(PolicyDriver::Count<Reject>(g.Advance(300)) + static_cast<int>(g.sent.size()), 1);
  g.Handle(EndpointUpdate{EndpointUpdate::Kind::kFailed, {}});
  EXPECT_NE(PolicyDriver::SentTo(g.Arrive("b")), "s0");
}

TEST(EventHandling, SameEventsGiveTheSameActions) {
  PolicyDriver a(MakeSettings(), 7), b(MakeSettings(), 7);
  a.ListEndpoints(5);
  b.ListEndpoints(5);
  a.Serve(100);
  b.Serve(100);
  ASSERT_EQ(a.sent.size(), b.sent.size());
  for (std::size_t i = 0; i < a.sent.size(); ++i) EXPECT_EQ(a.sent[i].endpoint, b.sent[i].endpoint);
}

}  // namespace
}  // namespace meadowyard::testing
