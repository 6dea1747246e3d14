/// @file
/// Retries: which are legal, where they go, and the retry budget.
#include <gtest/gtest.h>

#include <string>
#include <utility>

#include "decision/policy_driver.hpp"

namespace meadowyard::testing {
namespace {

TEST(Retry, RejectedRequestGoesToAnotherEndpoint) {
  PolicyDriver g;
  g.ListEndpoints(2);
  const std::string first = PolicyDriver::SentTo(g.Arrive("a", "pay"));
  const std::string second = PolicyDriver::SentTo(g.EndAttempt("a", first, AttemptResult::kRejected, 1));
  EXPECT_FALSE(second.empty());
  EXPECT_NE(first, second);
}

TEST(Retry, NonIdempotentRequestThatMayHaveRunFails) {
  PolicyDriver g;
  g.ListEndpoints(2);
  const std::string first = PolicyDriver::SentTo(g.Arrive("a", "pay"));
  const auto actions = g.EndAttempt("a", first, AttemptResult::kError, 1);
  EXPECT_EQ(PolicyDriver::Count<StartAttempt>(actions), 0);
  EXPECT_EQ(PolicyDriver::Count<Fail>(actions), 1);
}

TEST(Retry, RequestWithAKeyThatMayHaveRunStaysInItsCell) {
  for (int seed = 0; seed < 20; ++seed) {
    PolicyDriver g(MakeSettings(), seed);
    g.Snapshot(
        {MakeEndpoint("a0", "0"), MakeEndpoint("a1", "0"), MakeEndpoint("b0", "1"), MakeEndpoint("b1", "1")});
    const std::string first = PolicyDriver::SentTo(g.Arrive("a", "key"));
    const std::string second = PolicyDriver::SentTo(g.EndAttempt("a", first, AttemptResult::kError, 1));
    ASSERT_FALSE(second.empty());
    EXPECT_EQ(first[0], second[0]);
    EXPECT_NE(first, second);
  }
}

TEST(Retry, RequestWithAKeyOfZoneScopeStaysInItsZone) {
  Settings s = MakeSettings();
  s.classes[1].dedup_scope = DedupScope::kZone;
  const auto server = [](std::string id, std::string zone, std::string cell) {
    Endpoint made = MakeEndpoint(std::move(id), std::move(cell));
    made.zone = std::move(zone);
    return made;
  };
  int moved = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    PolicyDriver g(s, seed);
    g.Snapshot(
        {server("a0", "a", "0"), server("a1", "a", "1"), server("b0", "b", "0"), server("b1", "b", "1")});
    const std::string first = PolicyDriver::SentTo(g.Arrive("r", "key"));
    g.now += 20;
    g.EndAttempt("r", first, AttemptResult::kError, 20);
    if (g.sent.size() < 2) continue;
    ++moved;
    EXPECT_EQ(g.sent[1].endpoint[0], first[0]) << "another zone does not drop the repeat";
    EXPECT_NE(g.sent[1].endpoint, first);
  }
  EXPECT_GT(moved, 10);
}

TEST(Retry, BudgetBoundsRetries) {
  PolicyDriver g;
  g.ListEndpoints(300);
  g.Serve(200);
  int first = 0, further = 0;
  for (int i = 0; i < 400; ++i) {
    const std::string id = "r" + std::to_string(i);
    const std::string server = PolicyDriver::SentTo(g.Arrive(id));
    g.now += 20;
    if (server.empty()) continue;
    ++first;
    std::string next;
    for (const Action& a : g.EndAttempt(id, server, AttemptResult::kRejected, 20)) {
      const auto* send = std::get_if<StartAttempt>(&a);
      if (send != nullptr && send->request == id) next = send->endpoint;
    }
    if (next.empty()) continue;
    ++further;
    g.now += 20;
    g.EndAttempt(id, next, AttemptResult::kServed, 20, 1);
  }
  EXPECT_GT(first, 100);
  EXPECT_GT(further, 0);
  EXPECT_LT(further, 0.1 * (first + 200) + 2);
}

}  // namespace
}  // namespace meadowyard::testing
