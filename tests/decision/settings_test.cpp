/// @file
/// Settings of the decision module: validation, and changes while requests are open.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>

#include "decision/policy_driver.hpp"
#include "meadowyard/error.hpp"

namespace meadowyard::testing {
namespace {

// Guards against a Policy that starts with settings it can't work with, and against errors that don't name
// the field that the operator has to correct.
TEST(SettingsValidation, InvalidSettingsAreRejectedWithTheNameOfTheField) {
  const auto error_text = [](auto apply_change) -> std::string {
    Settings changed_settings = MakeSettings();
    apply_change(changed_settings);
    try {
      Policy policy(changed_settings, 1);
    } catch (const ConfigurationError& error) {
      return error.what();
    }
    return "";
  };
  EXPECT_NE(error_text([](Settings& changed_settings) { changed_settings.classes.clear(); }).find("classes"),
            std::string::npos);
  EXPECT_NE(error_text([](Settings& changed_settings) {
              changed_settings.classes[0].deadline = 0;
            }).find("deadline"),
            std::string::npos);
  EXPECT_NE(error_text([](Settings& changed_settings) {
              changed_settings.classes[0].latency_objective = -1;
            }).find("latency_objective"),
            std::string::npos);
  EXPECT_NE(error_text([](Settings& changed_settings) {
              changed_settings.tenants = {{"t", -1}};
            }).find("quota"),
            std::string::npos);
  EXPECT_NE(error_text([](Settings& changed_settings) {
              changed_settings.gateway_count = 0;
            }).find("gateway_count"),
            std::string::npos);
  EXPECT_EQ(error_text([](Settings&) {}), "");
}

// Guards requests against a change of settings: an open request must keep the idempotency that it arrived
// with, and requests of a changed or removed class are still accepted for a short time, until clients
// have applied the change.
TEST(SettingsChange, AppliesToNewRequestsWhileOpenOnesKeepTheirClass) {
  Settings settings = MakeSettings();
  PolicyDriver driver(settings);
  driver.ListEndpoints(3);
  const auto arrive = [&](const std::string& id, const std::string& class_name_of_request,
                          Idempotency idempotency_of_request) {
    Request request;
    request.id = id;
    request.class_name = class_name_of_request;
    request.idempotency = idempotency_of_request;
    request.time_left = 2000;
    return PolicyDriver::SentTo(driver.Handle(request));
  };
  const std::string first_endpoint = arrive("open", "view", Idempotency::kIdempotent);
  ASSERT_NE(first_endpoint, "");
  settings.classes[0].idempotency = Idempotency::kNonIdempotent;
  settings.classes[2].name = "book";  // "pay" is dropped
  driver.Handle(SettingsChanged{settings});
  using Admission = Policy::Admission;
  EXPECT_EQ(driver.policy.CheckAdmission(driver.now, "view", Idempotency::kIdempotent), Admission::kAccepted);
  EXPECT_EQ(driver.policy.CheckAdmission(driver.now, "view", Idempotency::kNonIdempotent),
            Admission::kAccepted);
  EXPECT_EQ(driver.policy.CheckAdmission(driver.now, "book", Idempotency::kNonIdempotent),
            Admission::kAccepted);
  EXPECT_EQ(driver.policy.CheckAdmission(driver.now, "book", Idempotency::kIdempotent),
            Admission::kIdempotencyMismatch);
  EXPECT_EQ(driver.policy.CheckAdmission(driver.now, "never", Idempotency::kIdempotent),
            Admission::kUnknownClass);
  EXPECT_NE(PolicyDriver::SentTo(driver.EndAttempt("open", first_endpoint, AttemptResult::kError, 10)),
            "");  // it arrived as idempotent
  const std::string non_idempotent_endpoint = arrive("new", "view", Idempotency::kNonIdempotent);
  EXPECT_EQ(
      PolicyDriver::Count<Fail>(driver.EndAttempt("new", non_idempotent_endpoint, AttemptResult::kError, 10)),
      1);
  EXPECT_NE(arrive("late", "pay", Idempotency::kNonIdempotent), "");
  driver.Advance(2000);
  EXPECT_EQ(driver.policy.CheckAdmission(driver.now, "view", Idempotency::kIdempotent),
            Admission::kIdempotencyMismatch);
  EXPECT_EQ(driver.policy.CheckAdmission(driver.now, "pay", Idempotency::kNonIdempotent),
            Admission::kUnknownClass);
}

// Guards against open requests that exceed a lowered limit of attempts, or that gain attempts they did not
// have when they arrived.
TEST(SettingsChange, LowerAttemptLimitAppliesToOpenRequestsAndHigherDoesNot) {
  for (const int max_attempts_after_change : {1, 5}) {
    Settings settings = MakeSettings();
    settings.max_attempts = 2;
    PolicyDriver driver(settings);
    driver.ListEndpoints(6);
    driver.Serve(100);
    driver.sent.clear();
    std::string endpoint_id = PolicyDriver::SentTo(driver.Arrive("r"));
    settings.max_attempts = max_attempts_after_change;
    driver.Handle(SettingsChanged{settings});
    for (int i = 0; !endpoint_id.empty(); ++i)
      endpoint_id = PolicyDriver::SentTo(driver.EndAttempt("r", endpoint_id, AttemptResult::kRejected, 1, i));
    EXPECT_EQ(driver.sent.size(), static_cast<std::size_t>(std::min(max_attempts_after_change, 2)));
  }
}

// Guards against memory growth in a long-running gateway whose settings change often: classes that no request
// needs any more are dropped. Invalid settings change nothing.
TEST(SettingsChange, ReplacedClassesAreDroppedOverHundredsOfChanges) {
  Settings settings = MakeSettings();
  PolicyDriver driver(settings);
  driver.ListEndpoints(2);
  for (int i = 0; i < 300; ++i) {
    settings.classes[0].name = "view" + std::to_string(i);
    driver.Handle(SettingsChanged{settings});
    driver.Serve(1, 20, settings.classes[0].name);
    driver.Advance(1000);
  }
  EXPECT_EQ(driver.policy.CheckAdmission(driver.now, "view298", Idempotency::kIdempotent),
            Policy::Admission::kAccepted);
  EXPECT_EQ(driver.policy.CheckAdmission(driver.now, "view297", Idempotency::kIdempotent),
            Policy::Admission::kUnknownClass);
  settings.classes[0].deadline = 0;
  EXPECT_THROW(driver.Handle(SettingsChanged{settings}), ConfigurationError);
  EXPECT_EQ(PolicyDriver::Count<StartAttempt>(driver.Arrive("r", "view299")), 1);
}

}  // namespace
}  // namespace meadowyard::testing
