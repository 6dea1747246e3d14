/// @file
/// Settings of the decision module: their check, and changes while requests are open.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>

#include "decision/policy_driver.hpp"
#include "meadowyard/error.hpp"

namespace meadowyard::testing {
namespace {

TEST(SettingsValidation, SettingsThatCannotWorkNameTheField) {
  const auto fault = [](auto change) -> std::string {
    Settings s = MakeSettings();
    change(s);
    try {
      Policy policy(s, 1);
    } catch (const ConfigurationError& error) {
      return error.what();
    }
    return "";
  };
  EXPECT_NE(fault([](Settings& s) { s.classes.clear(); }).find("classes"), std::string::npos);
  EXPECT_NE(fault([](Settings& s) { s.classes[0].deadline = 0; }).find("deadline"), std::string::npos);
  EXPECT_NE(fault([](Settings& s) { s.classes[0].latency_objective = -1; }).find("latency_objective"),
            std::string::npos);
  EXPECT_NE(fault([](Settings& s) { s.tenants = {{"t", -1}}; }).find("quota"), std::string::npos);
  EXPECT_NE(fault([](Settings& s) { s.gateway_count = 0; }).find("gateway_count"), std::string::npos);
  EXPECT_EQ(fault([](Settings&) {}), "");
}

// Guards requests over a change of settings: the open one keeps its class, the old name is taken for a
// moment, and fewer attempts bind at once.
TEST(SettingsChange, BindsNewRequestsAndLeavesOpenOnesTheirClass) {
  Settings settings = MakeSettings();
  PolicyDriver g(settings);
  g.ListEndpoints(3);
  const auto ask = [&](const std::string& id, const std::string& cls, Idempotency effect) {
    Request r;
    r.id = id;
    r.class_name = cls;
    r.idempotency = effect;
    r.time_left = 2000;
    return PolicyDriver::SentTo(g.Handle(r));
  };
  const std::string first = ask("open", "view", Idempotency::kIdempotent);
  ASSERT_NE(first, "");
  settings.classes[0].idempotency = Idempotency::kNonIdempotent;
  settings.classes[2].name = "book";  // "pay" is dropped
  g.Handle(SettingsChanged{settings});
  using Admission = Policy::Admission;
  EXPECT_EQ(g.policy.CheckAdmission(g.now, "view", Idempotency::kIdempotent), Admission::kAccepted);
  EXPECT_EQ(g.policy.CheckAdmission(g.now, "view", Idempotency::kNonIdempotent), Admission::kAccepted);
  EXPECT_EQ(g.policy.CheckAdmission(g.now, "book", Idempotency::kNonIdempotent), Admission::kAccepted);
  EXPECT_EQ(g.policy.CheckAdmission(g.now, "book", Idempotency::kIdempotent),
            Admission::kIdempotencyMismatch);
  EXPECT_EQ(g.policy.CheckAdmission(g.now, "never", Idempotency::kIdempotent), Admission::kUnknownClass);
  EXPECT_NE(PolicyDriver::SentTo(g.EndAttempt("open", first, AttemptResult::kError, 10)),
            "");  // safe when it came
  const std::string unsafe = ask("new", "view", Idempotency::kNonIdempotent);
  EXPECT_EQ(PolicyDriver::Count<Fail>(g.EndAttempt("new", unsafe, AttemptResult::kError, 10)), 1);
  EXPECT_NE(ask("late", "pay", Idempotency::kNonIdempotent), "");
  g.Advance(2000);
  EXPECT_EQ(g.policy.CheckAdmission(g.now, "view", Idempotency::kIdempotent),
            Admission::kIdempotencyMismatch);
  EXPECT_EQ(g.policy.CheckAdmission(g.now, "pay", Idempotency::kNonIdempotent), Admission::kUnknownClass);
}

TEST(SettingsChange, FewerAttemptsBindOpenRequestsAndMoreDoNot) {
  for (const int most : {1, 5}) {
    Settings settings = MakeSettings();
    settings.max_attempts = 2;
    PolicyDriver g(settings);
    g.ListEndpoints(6);
    g.Serve(100);
    g.sent.clear();
    std::string at = PolicyDriver::SentTo(g.Arrive("r"));
    settings.max_attempts = most;
    g.Handle(SettingsChanged{settings});
    for (int i = 0; !at.empty(); ++i)
      at = PolicyDriver::SentTo(g.EndAttempt("r", at, AttemptResult::kRejected, 1, i));
    EXPECT_EQ(g.sent.size(), static_cast<std::size_t>(std::min(most, 2)));
  }
}

// Guards memory over a service life of changed files.
TEST(SettingsChange, HundredsOfChangesLeaveTheClassesThatAreInForce) {
  Settings settings = MakeSettings();
  PolicyDriver g(settings);
  g.ListEndpoints(2);
  for (int i = 0; i < 300; ++i) {
    settings.classes[0].name = "view" + std::to_string(i);
    g.Handle(SettingsChanged{settings});
    g.Serve(1, 20, settings.classes[0].name);
    g.Advance(1000);
  }
  EXPECT_EQ(g.policy.CheckAdmission(g.now, "view298", Idempotency::kIdempotent),
            Policy::Admission::kAccepted);
  EXPECT_EQ(g.policy.CheckAdmission(g.now, "view297", Idempotency::kIdempotent),
            Policy::Admission::kUnknownClass);
  settings.classes[0].deadline = 0;
  EXPECT_THROW(g.Handle(SettingsChanged{settings}), ConfigurationError);
  EXPECT_EQ(PolicyDriver::Count<StartAttempt>(g.Arrive("r", "view299")), 1);
}

}  // namespace
}  // namespace meadowyard::testing
