/// @file
/// Handles requests and their attempts from a request's arrival to its final answer: admission, dispatch,
/// retries and rejection.
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

/// The mechanisms of the decision module that RequestProcessor uses. All must outlive it.
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

/// Owns the open requests. Emits the StartAttempt, CancelAttempt, Reject and Fail actions.
class RequestProcessor {
 public:
  explicit RequestProcessor(const RequestMechanisms& mechanisms) : mechanisms_(mechanisms) {}

  void OnRequest(const Request& event, Millis now);
  void OnBodyComplete(const RequestBodyComplete& event, Millis now);
  void OnResponseStarted(const ResponseStarted& event, Millis now);
  void OnOutcome(AttemptOutcome outcome, Millis now);
  void OnClientDisconnected(const ClientDisconnected& event);

  /// Dispatches queued requests while there are tokens and endpoints with capacity.
  void DispatchQueued(Millis now);
  /// Sends the final answer to the requests whose maximum time in a queue has expired.
  void ExpireQueued(Millis now);

  /// Whether the open request with this id may still be sent to an endpoint; true if there is no such
  /// request.
  [[nodiscard]] bool IsAllowed(const std::string& request, const EndpointRecord& endpoint, Millis now) const;
  [[nodiscard]] std::size_t open_count() const { return requests_.size(); }

 private:
  RequestState& OpenRequest(const Request& event, TrafficClass& traffic_class, Millis time_left, Millis now);
  // Whether the request is a client's retry that arrives so late that its answer can't meet the latency
  // objective, counted from the client's first attempt. Also updates the class's observed time budget.
  bool IsLateRetry(TrafficClass& traffic_class, Millis time_left, bool is_marked_retry) const;
  [[nodiscard]] bool IsRejectedOnArrival(const RequestState& request, bool is_late_marked_retry,
                                         Millis now) const;
  // Whether the limit of attempts in flight allows another one.
  [[nodiscard]] bool HasCapacity() const;
  bool TryDispatch(RequestState& request, Millis now);
  void Enqueue(RequestState& request);
  void Dispatch(RequestState& request, EndpointRecord& endpoint, Millis now);
  void EndAttempt(AttemptState& attempt, AttemptResult result);
  void UpdateEstimates(EndpointRecord& endpoint, const RequestState& request, const AttemptOutcome& outcome,
                       Millis now);
  void RetryOrSendFinalAnswer(RequestState& request, const AttemptOutcome& outcome, Millis now);
  [[nodiscard]] bool MayRetry(const RequestState& request, const AttemptOutcome& outcome, Millis now) const;
  void SendFinalAnswer(RequestState& request);
  [[nodiscard]] Millis RetryAfter() const;
  void EraseIfFinished(RequestState& request);

  RequestMechanisms mechanisms_;
  RequestTable requests_;
  RetryBudget retry_budget_;
  int attempts_in_flight_ = 0;  // excluding open tunnels
};

}  // namespace meadowyard::decision

#endif  // MEADOWYARD_DECISION_REQUEST_PROCESSOR_HPP_
