// What one client's requests claim, or one that behaves badly does, must not bind the others: each test sets
// one such client beside usual ones.
#include <gtest/gtest.h>

#include "decision/policy_driver.hpp"

namespace meadowyard::testing {
namespace {

Request Call(std::string id, Millis left, std::string tenant = "", bool retry = false) {
  Request r;
  r.id = std::move(id);
  r.class_name = "view";
  r.tenant = std::move(tenant);
  r.time_left = left;
  r.is_retry = retry;
  return r;
}

// Guards the quota: whoever marks every request as a further try is within its share no more often than by
// its share once again.
TEST(Claims, MarkedFurtherTriesHaveABoundOfTheirOwn) {
  Settings s = MakeSettings();
  s.tenants = {{"t", 10}, {"u", 10}};
  s.clients_mark_retries = true;
  s.max_attempts_in_flight = 1;
  PolicyDriver g(s);
  g.ListEndpoints(1);
  g.Advance(2000);
  g.Arrive("out");
  for (int i = 0; i < 25; ++i) g.Handle(Call("marked" + std::to_string(i), 2000, "t", true));
  g.Handle(Call("usual", 2000, "u"));
  // Ten of the flood are within its share; the others wait behind the usual one.
  std::size_t ahead = 0;
  for (std::string last = "out"; last != "usual" && ahead <= 25; ++ahead) {
    g.now += 1;
    g.EndAttempt(last, "s0", AttemptResult::kServed, 1);
    last = g.sent.back().request;
  }
  EXPECT_LE(ahead, 11u);
}

// Guards against a mark that the settings say nobody makes.
TEST(Claims, AMarkCountsOnlyWhereClientsMarkFurtherTries) {
  Settings s = MakeSettings();
  s.tenants = {{"t", 10}};
  s.max_attempts_in_flight = 1;
  PolicyDriver g(s);
  g.ListEndpoints(1);
  g.Advance(2000);
  g.Arrive("out");
  for (int i = 0; i < 10; ++i) g.Handle(Call("marked" + std::to_string(i), 2000, "t", true));
  g.Handle(Call("beyond", 2000, "t"));  // the marks took the share up
  g.Handle(Call("no share", 2000, "nobody"));
  EXPECT_EQ(PolicyDriver::Count<Reject>(g.Advance(100)),
            2);  // both wait for as little as what is beyond a share
}

// Guards short-lived clients where nobody marks further tries: one long deadline, again and again, puts them
// last, but has none of them turned away.
TEST(Claims, ALongDeadlineHasNobodyTurnedAway) {
  PolicyDriver g;  // aim 1000 of a deadline of 2000, no worth after the aim
  g.ListEndpoints(1);
  for (int i = 0; i < 100; ++i) {
    g.Handle(Call("long" + std::to_string(i), 2000));
    g.now += 20;
    g.EndAttempt("long" + std::to_string(i), "s0", AttemptResult::kServed, 20);
    EXPECT_EQ(PolicyDriver::SentTo(g.Handle(Call("usual" + std::to_string(i), 900))), "s0");
    g.now += 20;
    g.EndAttempt("usual" + std::to_string(i), "s0", AttemptResult::kServed, 20);
  }
}

TEST(Claims, ADeadlineBeyondTheClassHoldsNoPlaceForLonger) {
  Settings s = MakeSettings();
  s.classes[0].late_weight = 0.5;  // attempts may last to the deadline
  PolicyDriver g(s);
  g.ListEndpoints(1);
  g.Handle(Call("greedy", 600000));
  ASSERT_EQ(g.sent.size(), 1u);
  EXPECT_LE(g.sent[0].timeout, 2000);
}

// Guards servers and the rate against a client that never gives an answer the time to come.
TEST(Claims, DeadlinesTooShortToBeMetSayNothingOfServers) {
  Settings s = MakeSettings();
  s.clients_mark_retries = true;
  PolicyDriver g(s);
  g.ListEndpoints(2);
  g.Serve(200, 200);
  for (int i = 0; i < 60; ++i) {
    const std::string id = "hasty" + std::to_string(i);
    const std::string to = PolicyDriver::SentTo(g.Arrive(id, "view", 60));
    g.Advance(60);
    if (to.empty()) continue;
    const auto actions = g.EndAttempt(id, to, AttemptResult::kTimedOut, 60);
    EXPECT_FALSE(PolicyDriver::Logged(actions, Log::Event::kEndpointEjected)) << i;
    EXPECT_FALSE(PolicyDriver::Logged(actions, Log::Event::kDispatchRateReduced)) << i;
  }
  EXPECT_EQ(g.policy.CollectStats().unavailable, 0);
}

// The other side of it: time-outs of usual attempts still have a server left out.
TEST(Claims, UsualTimeOutsStillSaySomething) {
  PolicyDriver g;
  g.ListEndpoints(2);
  g.Serve(50, 200);
  for (int i = 0; i < 12; ++i) {
    const std::string id = "hung" + std::to_string(i);
    const std::string to = PolicyDriver::SentTo(g.Arrive(id));
    g.Advance(to == "s0" ? 1000 : 200);
    g.EndAttempt(id, to, to == "s0" ? AttemptResult::kTimedOut : AttemptResult::kServed,
                 to == "s0" ? 1000 : 200);
  }
  EXPECT_EQ(g.policy.CollectStats().unavailable, 1);
}

// Guards classes that must not repeat where they are alone: servers that all failed are tried again.
TEST(Trials, AreMadeByAnyRequestWhereNoServerIsTrusted) {
  for (const char* cls : {"view", "pay"}) {
    PolicyDriver g;
    g.ListEndpoints(2);
    std::map<std::string, int> attempts;
    std::size_t ended = 0;
    const auto run = [&](int n, const std::string& name, AttemptResult result) {
      for (int i = 0; i < n; ++i) {
        g.Arrive(name + std::to_string(i), cls);
        g.Advance(50);
        for (; ended < g.sent.size(); ++ended) {
          const StartAttempt send = g.sent[ended];
          g.EndAttempt(send.request, send.endpoint, result, 20, attempts[send.request]++);
        }
      }
    };
    run(40, "fails", AttemptResult::kConnectFailed);
    ASSERT_EQ(g.policy.CollectStats().unavailable, 2) << cls;
    g.Advance(10000);
    const std::size_t before = g.sent.size();
    run(200, "well", AttemptResult::kServed);
    EXPECT_GT(g.sent.size(), before + 15) << cls;  // as to a cold server: it may be a new process
    EXPECT_EQ(g.policy.CollectStats().unavailable, 0) << cls;
  }
}

// But a class that must not repeat does not try out servers while others are trusted.
TEST(Trials, AreLeftToWhatMayRepeatWhereAnyServerIsTrusted) {
  PolicyDriver g;
  g.ListEndpoints(2);
  g.Serve(20);
  for (int i = 0; i < 40 && g.policy.CollectStats().unavailable == 0; ++i) {
    const std::string id = "fails" + std::to_string(i);
    const std::string to = PolicyDriver::SentTo(g.Arrive(id, "pay"));
    g.Advance(20);
    g.EndAttempt(id, to, to == "s0" ? AttemptResult::kError : AttemptResult::kServed, 20);
  }
  ASSERT_EQ(g.policy.CollectStats().unavailable, 1);
  g.Advance(10000);
  for (int i = 0; i < 10; ++i) {
    const std::string id = "pay" + std::to_string(i);
    EXPECT_EQ(PolicyDriver::SentTo(g.Arrive(id, "pay")), "s1");
    g.Advance(20);
    g.EndAttempt(id, "s1", AttemptResult::kServed, 20);
  }
}

// Guards the floor of the learned rate: a fleet that was gone while attempts failed is served at one request
// a second and server when it is back, not at what was left of the rate.
TEST(Rate, KeepsItsFloorOverATimeWithoutServers) {
  Settings s = MakeSettings();
  s.classes[0].latency_objective = s.classes[0].deadline = 60000;
  PolicyDriver g(s);
  g.ListEndpoints(4);
  for (int i = 0; i < 60; ++i) g.Arrive("r" + std::to_string(i));
  const auto out = g.sent;
  g.Snapshot({});
  std::map<std::string, int> attempts;
  for (const StartAttempt& send : out) {  // what was out fails, a little later each
    g.Advance(200);
    g.EndAttempt(send.request, send.endpoint, AttemptResult::kError, 20, attempts[send.request]++);
  }
  g.Advance(60000);
  g.ListEndpoints(4);
  const std::size_t before = g.sent.size();
  for (int i = 0; i < 60; ++i) {
    g.Arrive("new" + std::to_string(i));
    g.Advance(100);
  }
  EXPECT_GE(g.sent.size() - before, 15u);  // 4 servers, 6 seconds
}

// Guards a class against its own head: a further try that no server may take holds up nobody behind it.
TEST(Queues, AFurtherTryWithoutAServerHoldsNobodyUp) {
  PolicyDriver g;
  g.Snapshot({MakeEndpoint("s0", "0"), MakeEndpoint("s1", "1")});
  EXPECT_EQ(PolicyDriver::Count<StartAttempt>(g.Arrive("warm", "key")), 1);
  g.now += 20;
  g.EndAttempt("warm", g.sent.back().endpoint, AttemptResult::kServed, 20);
  g.Arrive("stays", "key");  // may have run at its server: it must stay in that one's cell
  const std::string at = g.sent.back().endpoint;
  g.now += 20;
  g.EndAttempt("stays", at, AttemptResult::kError, 20);
  const std::size_t before = g.sent.size();
  g.Arrive("next", "key");
  ASSERT_EQ(g.sent.size(), before + 1);
  EXPECT_EQ(g.sent.back().request, "next");
}

// Guards the bucket: what could not be sent at all bought nothing with its token.
TEST(Rate, AnAttemptThatWasNeverSentCostsNoToken) {
  Settings s = MakeSettings();
  s.classes[0].latency_objective = s.classes[0].deadline = 60000;
  const auto sent = [&](AttemptResult result) {
    PolicyDriver g(s);
    g.ListEndpoints(1);
    int n = 0;
    for (; n < 500; ++n) {  // at one moment: nothing is refilled
      const std::string id = "r" + std::to_string(n);
      const std::string to = PolicyDriver::SentTo(g.Arrive(id));
      if (to.empty()) break;
      AttemptOutcome o{id, 0, to, result, false, 0, {}};
      o.not_replayable = true;  // no further try
      g.Handle(o);
    }
    return n;
  };
  EXPECT_EQ(sent(AttemptResult::kNotSent), 500);
  EXPECT_LT(sent(AttemptResult::kCancelled), 100);
}

// Guards a request that waits for its next try against late news of the one before.
TEST(Events, AStreamOfAnAttemptThatHasEndedChangesNothing) {
  Settings s = MakeSettings();
  s.max_attempts_in_flight = 1;
  PolicyDriver g(s);
  g.ListEndpoints(2);
  g.Arrive("a");
  const std::string at = g.sent.back().endpoint;
  g.EndAttempt("a", at, AttemptResult::kRejected, 5);  // it is sent on at once
  ASSERT_EQ(g.sent.size(), 2u);
  g.Handle(ResponseStarted{"a", 0, 5});
  const auto actions = g.EndAttempt("a", g.sent.back().endpoint, AttemptResult::kRejected, 5, 1);
  EXPECT_EQ(PolicyDriver::Count<StartAttempt>(actions) + PolicyDriver::Count<Reject>(actions), 1);
}

}  // namespace
}  // namespace meadowyard::testing
