/// @file
/// Example: handles one request from its arrival to its outcome, using only the public header.
#include <iostream>
#include <meadowyard/policy.hpp>
#include <string>
#include <vector>

namespace {

// Instants on the clock of this example, in milliseconds.
constexpr meadowyard::Millis kArrivedAt = 5;
constexpr meadowyard::Millis kRespondedAt = 36;

meadowyard::Settings MakeSettings() {
  meadowyard::TrafficClassSettings page;
  page.name = "page";
  page.latency_objective = 500;
  page.deadline = 2000;
  page.idempotency = meadowyard::Idempotency::kIdempotent;
  meadowyard::Settings settings;
  settings.classes.push_back(page);
  return settings;
}

/// Reports a list of one endpoint. Policy starts no attempt before it has received an endpoint list.
void ReportEndpoints(meadowyard::Policy& policy, std::vector<meadowyard::Action>& actions) {
  meadowyard::Endpoint endpoint;
  endpoint.id = "10.0.0.7:8080";
  meadowyard::EndpointUpdate update;
  update.kind = meadowyard::EndpointUpdate::Kind::kSnapshot;
  update.endpoints.push_back(endpoint);
  policy.Handle(0, update, actions);
}

/// Reports that the endpoint has served an attempt, as a gateway does when the response is complete.
void ReportServed(meadowyard::Policy& policy, const meadowyard::StartAttempt& attempt) {
  meadowyard::AttemptOutcome outcome;
  outcome.request = attempt.request;
  outcome.endpoint = attempt.endpoint;
  outcome.result = meadowyard::AttemptResult::kServed;
  outcome.request_finished = true;
  outcome.latency = kRespondedAt - kArrivedAt;
  std::vector<meadowyard::Action> actions;
  policy.Handle(kRespondedAt, outcome, actions);
}

}  // namespace

int main() {
  meadowyard::Policy policy(MakeSettings(), /*seed=*/42);
  std::vector<meadowyard::Action> actions;
  ReportEndpoints(policy, actions);

  meadowyard::Request request;
  request.id = "r1";
  request.class_name = "page";
  request.time_left = 1000;
  actions.clear();
  policy.Handle(kArrivedAt, request, actions);
  for (const meadowyard::Action& action : actions) {
    if (const auto* attempt = std::get_if<meadowyard::StartAttempt>(&action)) {
      std::cout << "start " << attempt->request << " at " << attempt->endpoint << "\n";
      ReportServed(policy, *attempt);
      std::cout << "served\n";
      return 0;
    }
  }
  return 1;
}
