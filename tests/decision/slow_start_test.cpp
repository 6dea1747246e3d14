/// @file
/// Slow start: an endpoint that was started or unreachable is sent fewer requests until it is warm.
#include <gtest/gtest.h>

#include <string>

#include "decision/policy_driver.hpp"

namespace meadowyard::testing {
namespace {

// A started endpoint fails if it is sent as much as a warm one. Its share must follow its growing capacity.
TEST(SlowStart, StartedEndpointIsSentNoMoreThanItsCurrentCapacityShare) {
  Settings settings = MakeSettings();
  PolicyDriver driver(settings);
  driver.now = 100000;
  driver.Snapshot({MakeEndpoint("s0"), MakeEndpoint("s1"), MakeEndpoint("new", "0", driver.now)});
  auto sent = driver.Serve(200, 10);  // 2 s
  EXPECT_GE(sent["new"], 1);
  // It now has 0.36 of its capacity (0.2 at first, all after 10 s); each warm endpoint got about half of all
  // requests.
  EXPECT_LT(sent["new"], 0.36 * sent["s0"] + 1);
}

// A gateway can't tell whether an endpoint that was unreachable has been restarted. If it were not in slow
// start when it answers again, a restarted process would be overloaded.
TEST(SlowStart, EndpointThatWasUnreachableWarmsUpWhenItAnswersAgain) {
  PolicyDriver driver;
  driver.now = 100000;
  driver.ListEndpoints(3);
  driver.Serve(90, 10);
  int failures = 0;
  driver.now += 1100;
  for (int i = 0; i < 100 && failures < 2; ++i) {
    const std::string id = "f" + std::to_string(i);
    const std::string endpoint = PolicyDriver::SentTo(driver.Arrive(id, "pay"));
    driver.now += 10;
    if (endpoint == "s0") ++failures;
    driver.EndAttempt(id, endpoint, endpoint == "s0" ? AttemptResult::kConnectFailed : AttemptResult::kServed,
                      10);
  }
  driver.now += 1000;
  auto sent = driver.Serve(300, 10);
  EXPECT_GE(sent["s0"], 1);
  EXPECT_LT(sent["s0"], 75);  // a quarter of all requests; a warm endpoint would get a third
}

// A congested endpoint loses connections, too. If it were put into slow start for that although it still
// answers, most of its capacity would be left unused.
TEST(SlowStart, FailedConnectionsOfAnEndpointThatJustAnsweredDoNotStartSlowStart) {
  PolicyDriver driver;
  driver.now = 100000;
  driver.ListEndpoints(3);
  driver.Serve(90, 10);
  int sent = 0, failures = 0;
  for (int i = 0; i < 600; ++i) {
    const std::string id = "r" + std::to_string(i);
    const std::string endpoint = PolicyDriver::SentTo(driver.Arrive(id));
    driver.now += 10;
    if (i >= 300) sent += endpoint == "s0";
    if (endpoint == "s0" && failures < 2) {
      ++failures;
      const std::string next =
          PolicyDriver::SentTo(driver.EndAttempt(id, endpoint, AttemptResult::kConnectFailed, 10));
      if (!next.empty()) driver.EndAttempt(id, next, AttemptResult::kServed, 10, 1);
    } else if (!endpoint.empty()) {
      driver.EndAttempt(id, endpoint, AttemptResult::kServed, 10);
    }
  }
  EXPECT_EQ(failures, 2);
  EXPECT_GT(sent, 75);
}

// A started endpoint is overloaded if each of many gateways sends it its first request at once.
TEST(SlowStart, HundredsOfGatewaysTogetherDoNotOverloadAStartedEndpoint) {
  Settings settings = MakeSettings();  // slow start from 0.2 of the capacity, for 10 s
  settings.gateway_count = 200;
  int sent_to_started = 0, sent_to_others = 0, sent_to_started_later = 0;
  for (settings.gateway_index = 0; settings.gateway_index < settings.gateway_count;
       ++settings.gateway_index) {
    PolicyDriver driver(settings, settings.gateway_index);
    driver.now = 100000;
    auto endpoints = MakeEndpoints(20);
    driver.Snapshot(endpoints);
    driver.Serve(50, 200);
    endpoints.push_back(MakeEndpoint("new", "0", driver.now));
    driver.Snapshot(endpoints);
    const auto counts = driver.Serve(10, 200);  // 2 s from its start
    for (const auto& [id, count] : counts) (id == "new" ? sent_to_started : sent_to_others) += count;
    const auto later_counts = driver.Serve(30, 200);  // 6 s more
    if (later_counts.contains("new")) sent_to_started_later += later_counts.at("new");
  }
  // One request from each gateway that uses the endpoint would be 60 or more. A warm endpoint gets about 100.
  EXPECT_LT(sent_to_started, 0.3 * sent_to_others / 20);
  EXPECT_GT(sent_to_started_later, sent_to_started);
}

}  // namespace
}  // namespace meadowyard::testing
