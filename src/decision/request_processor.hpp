/// @file
/// The life cycle of requests and their attempts, from a request's arrival to its final answer.
#ifndef MEADOWYARD_DECISION_REQUEST_PROCESSOR_HPP_
#define MEADOWYARD_DECISION_REQUEST_PROCESSOR_HPP_

#include <cstddef>
#include <string>

#include "decision/action_writer.hpp"
#include "decision/arrival_rate.hpp"
#include "decision/class_queues.hpp"
#include "decision/endpoint_tracker.hpp"
#include "decision/load_balancer.hpp"
#include "decision/random_source.hpp"
#include "decision/rate_controller.hpp"
#include "decision/request_table.hpp"
#include "decision/retry_budget.hpp"
#include "decision/subset_selector.hpp"
#include "decision/tenant_quotas.hpp"
#include "decision/traffic_class_table.hpp"
#include "decision/zone_router.hpp"
#include "meadowyard/policy.hpp"

namespace meadowyard::decision {

/// The mechanisms that the life of a request passes through. All outlive the RequestProcessor.
struct RequestMechanisms {
  const Settings& settings;
  RandomSource& random;
  ActionWriter& actions;
  const SubsetSelector& subset;
  EndpointTracker& tracker;
  ZoneRouter& zones;
  LoadBalancer& balancer;
  TrafficClassTable& classes;
  ClassQueues& queues;
  TenantQuotas& quotas;
  RateController& rate;
  ArrivalRate& arrivals;
};

class RequestProcessor {
 public:
  explicit RequestProcessor(const RequestMechanisms& mechanisms) : use_(mechanisms) {}

  void OnRequest(const Request& event, Millis now);
  void OnBodyComplete(const RequestBodyComplete& event, Millis now);
  void OnResponseStarted(const ResponseStarted& event, Millis now);
  void OnOutcome(AttemptOutcome outcome, Millis now);
  void OnClientDisconnected(const ClientDisconnected& event);

  /// Dispatches the requests that wait, as tokens and endpoints allow.
  void DispatchQueued(Millis now);
  /// Answers the requests that can't wait any longer.
  void ExpireQueued(Millis now);

  /// Whether an open request may still go to an endpoint; true if there is no such request.
  [[nodiscard]] bool IsAllowed(const std::string& request, const EndpointRecord& endpoint, Millis now) const;
  [[nodiscard]] std::size_t open_count() const { return requests_.size(); }

 private:
  RequestState& Open(const Request& event, TrafficClass& traffic_class, Millis time_left, Millis now);
  // Whether a retry arrives so late that an answer can't be within the objective of the client's first
  // attempt.
  bool IsLateRetry(TrafficClass& traffic_class, Millis time_left, bool is_marked_retry) const;
  [[nodiscard]] bool IsHopeless(const RequestState& request, bool is_late_marked_retry, Millis now) const;
  [[nodiscard]] bool HasCapacity() const;
  bool TryDispatch(RequestState& request, Millis now);
  void Enqueue(RequestState& request);
  void Dispatch(RequestState& request, EndpointRecord& endpoint, Millis now);
  void EndAttempt(AttemptState& attempt, AttemptResult result);
  void Learn(EndpointRecord& endpoint, const RequestState& request, const AttemptOutcome& outcome,
             Millis now);
  void RetryOrAnswer(RequestState& request, const AttemptOutcome& outcome, Millis now);
  [[nodiscard]] bool MayRetry(const RequestState& request, const AttemptOutcome& outcome, Millis now) const;
  void Answer(RequestState& request);
  [[nodiscard]] Millis RetryAfter() const;
  void ReleaseIfFinished(RequestState& request);

  RequestMechanisms use_;
  RequestTable requests_;
  RetryBudget retry_budget_;
  int attempts_in_flight_ = 0;  // without the tunnels that are open
};

}  // namespace meadowyard::decision

#endif  // MEADOWYARD_DECISION_REQUEST_PROCESSOR_HPP_
