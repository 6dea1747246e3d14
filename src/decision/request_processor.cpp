#include "decision/request_processor.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "decision/hashing.hpp"

namespace meadowyard::decision {
namespace {

// Weight of a new sample in a class's observed time budget, the typical time left of a first attempt.
constexpr double kTimeBudgetSampleWeight = 0.04;
// Weight of a sample below the time budget if clients don't mark retries: such a sample may be a retry.
constexpr double kFallingTimeBudgetSampleWeight = kTimeBudgetSampleWeight / 4;
// A request that has less than this share of the time budget left is assumed to be a retry.
constexpr double kMinFirstAttemptBudgetShare = 0.95;
// A time-out after less than this multiple of the class's latency is no evidence about the endpoint.
constexpr double kMinInformativeTimeoutFactor = 2;
constexpr Millis kMinRetryAfter = 10;  // ms; a Retry-After of 0 would not tell the client when to retry
constexpr Millis kMinTimeout = 1;      // ms
constexpr double kMillisPerSecond = 1000;

Millis NonNegativeTime(Millis time) { return std::isfinite(time) ? std::max(0.0, time) : 0.0; }

bool MayHaveBeenExecuted(AttemptResult result) {
  return result != AttemptResult::kRejected && result != AttemptResult::kConnectFailed &&
         result != AttemptResult::kNotSent;
}

}  // namespace

bool RequestProcessor::IsAllowed(const std::string& request, const EndpointRecord& endpoint,
                                 Millis now) const {
  const RequestState* const state = requests_.Find(request);
  return state == nullptr || mechanisms_.balancer.IsAllowed(*state, endpoint, now);
}

// ---- Arrival -------------------------------------------------------------------------------------

void RequestProcessor::OnRequest(const Request& event, Millis now) {
  if (requests_.Find(event.id) != nullptr) return;
  TrafficClass* const traffic_class = mechanisms_.classes.Find(event.class_name, event.idempotency, now);
  // A Reject is correct here, because the request was never dispatched.
  if (traffic_class == nullptr) return mechanisms_.actions.Emit(Reject{event.id, 0});
  // Limited to the class's deadline, so that a client that claims more can't occupy a queue slot for longer.
  const Millis deadline = traffic_class->settings.deadline;
  const Millis time_left = std::isfinite(event.time_left) ? std::clamp(event.time_left, 0.0, deadline) : 0.0;
  RequestState& request = OpenRequest(event, *traffic_class, time_left, now);
  const bool is_marked_retry = mechanisms_.settings.clients_mark_retries && event.is_retry;
  const bool is_late_retry = IsLateRetry(*traffic_class, time_left, is_marked_retry);
  // A late retry is treated like a request over its tenant's quota. At full priority, late retries would use
  // up capacity for answers that come too late, which would prolong the congestion.
  request.within_quota = !is_late_retry && mechanisms_.quotas.Admit(event.tenant, is_marked_retry, now);
  retry_budget_.Earn();
  if (IsRejectedOnArrival(request, is_late_retry && is_marked_retry, now)) return SendFinalAnswer(request);
  if (mechanisms_.queues.size() == 0 && TryDispatch(request, now)) return;
  Enqueue(request);
}

RequestState& RequestProcessor::OpenRequest(const Request& event, TrafficClass& traffic_class,
                                            Millis time_left, Millis now) {
  RequestState& request = requests_.Add(event.id);
  ++traffic_class.open_requests;
  request.class_index = mechanisms_.classes.IndexOf(traffic_class);
  request.max_attempts = mechanisms_.settings.max_attempts;
  request.is_body_pending = event.body_pending;
  request.pinned_endpoint = HashOptionalId(event.pinned_endpoint);
  request.is_tunnel = event.is_tunnel;
  request.key = HashOptionalId(event.key);
  request.arrived_at = now;
  if (mechanisms_.settings.zone_routing.enabled) request.zone_draw = mechanisms_.random.Uniform();
  mechanisms_.arrivals.CountRequest();
  request.deadline_at = now + time_left;
  request.objective_at = std::min(now + traffic_class.settings.latency_objective, request.deadline_at);
  return request;
}

// A retry has less time left than a first attempt. If clients mark their retries, all other requests are
// first attempts, and the time budget is the mean of their time left: if it followed the longest times, a
// single client with more time than usual would make the requests of all others look late. If clients don't
// mark retries, the time budget is estimated from all requests and follows the longest times. That estimate
// may be wrong, so no request is rejected because of it.
bool RequestProcessor::IsLateRetry(TrafficClass& traffic_class, Millis time_left,
                                   bool is_marked_retry) const {
  const bool retries_are_marked = mechanisms_.settings.clients_mark_retries;
  double& time_budget = traffic_class.observed_time_budget;
  const double sample_weight = time_left > time_budget || retries_are_marked ? kTimeBudgetSampleWeight
                                                                             : kFallingTimeBudgetSampleWeight;
  if (!is_marked_retry) time_budget += (time_budget > 0 ? sample_weight : 1) * (time_left - time_budget);
  const bool may_be_retry = is_marked_retry || !retries_are_marked;
  if (!may_be_retry || time_left >= kMinFirstAttemptBudgetShare * time_budget) return false;
  const Millis elapsed = std::max(0.0, traffic_class.settings.deadline - time_left);
  return elapsed >= traffic_class.settings.latency_objective;
}

bool RequestProcessor::IsRejectedOnArrival(const RequestState& request, bool is_late_marked_retry,
                                           Millis now) const {
  const TrafficClassSettings& settings = mechanisms_.classes[request.class_index].settings;
  const bool answer_has_no_value = is_late_marked_retry && settings.late_weight <= 0;
  // The sweep that would answer the request may run only after the client's deadline.
  const bool expires_before_answer = now >= request.deadline_at - kAnswerMargin;
  return answer_has_no_value || expires_before_answer || mechanisms_.zones.ExceedsCapacity(request);
}

// When all connections of the gateway are in use, a dispatched attempt would end as kNotSent, which costs a
// token and one of the request's attempts.
bool RequestProcessor::HasCapacity() const {
  const int limit = mechanisms_.settings.max_attempts_in_flight;
  return limit <= 0 || attempts_in_flight_ < limit;
}

bool RequestProcessor::TryDispatch(RequestState& request, Millis now) {
  if (!mechanisms_.rate.HasToken() || !HasCapacity()) return false;
  EndpointRecord* const endpoint = mechanisms_.balancer.Pick(request, mechanisms_.rate.untimely_share(), now);
  if (endpoint == nullptr) return false;
  Dispatch(request, *endpoint, now);
  return true;
}

void RequestProcessor::Enqueue(RequestState& request) {
  if (RequestState* const displaced =
          mechanisms_.queues.ReserveSlot(request, mechanisms_.rate.dispatch_rate())) {
    const bool is_request_displaced = displaced == &request;
    SendFinalAnswer(*displaced);
    if (is_request_displaced) return;
  }
  mechanisms_.queues.Add(request);
}

void RequestProcessor::OnBodyComplete(const RequestBodyComplete& event, Millis now) {
  RequestState* const request = requests_.Find(event.request);
  if (request == nullptr || !std::exchange(request->is_body_pending, false)) return;
  const Millis objective = mechanisms_.classes[request->class_index].settings.latency_objective;
  request->arrived_at = now;
  request->deadline_at = now + NonNegativeTime(event.time_left);
  request->objective_at = std::min(now + objective, request->deadline_at);
  for (AttemptState& attempt : request->attempts) {
    if (!attempt.is_in_flight || std::exchange(attempt.loads_endpoint, true)) continue;
    ++attempt.endpoint->in_flight;
  }
}

// ---- Attempts ------------------------------------------------------------------------------------

void RequestProcessor::DispatchQueued(Millis now) {
  mechanisms_.queues.BeginRound();
  while (mechanisms_.rate.HasToken() && HasCapacity()) {
    const auto release = mechanisms_.queues.TakeNext(mechanisms_.rate.untimely_share(), now);
    if (!release) return;
    Dispatch(*release->request, *release->endpoint, now);
  }
}

void RequestProcessor::Dispatch(RequestState& request, EndpointRecord& endpoint, Millis now) {
  const bool has_late_value = mechanisms_.classes[request.class_index].settings.late_weight > 0;
  const Millis answer_needed_by = has_late_value ? request.deadline_at : request.objective_at;
  mechanisms_.rate.OnDispatch();
  mechanisms_.tracker.slow_start().Spend(endpoint, now);
  const bool loads_endpoint = !request.is_body_pending;  // the endpoint starts to work when it has the body
  if (loads_endpoint) ++endpoint.in_flight;
  ++attempts_in_flight_;
  ++endpoint.references;
  const Millis timeout = std::max(kMinTimeout, answer_needed_by - now);
  request.attempts.push_back(
      {.endpoint = &endpoint, .started_at = now, .timeout = timeout, .loads_endpoint = loads_endpoint});
  const Millis stream_after = std::max(0.0, request.objective_at - kAnswerMargin - now);
  mechanisms_.actions.Emit(StartAttempt{request.id, endpoint.info.id, timeout, stream_after});
}

// The answer is being forwarded to the client, so the request needs no other final answer, but the attempt's
// outcome is still to come. The endpoint has done its work when the answer begins: the time that the client
// takes to read it is no evidence about the endpoint.
void RequestProcessor::OnResponseStarted(const ResponseStarted& event, Millis now) {
  RequestState* const request = requests_.Find(event.request);
  AttemptState* const attempt = request == nullptr ? nullptr : request->FindAttempt(event.attempt);
  if (attempt == nullptr || !attempt->is_in_flight) return;
  request->is_answered = true;
  if (!(event.latency > 0) || std::exchange(attempt->is_streaming, true)) return;
  EndpointRecord& endpoint = *attempt->endpoint;
  if (std::exchange(attempt->loads_endpoint, false)) --endpoint.in_flight;
  if (request->is_tunnel) {
    attempt->occupies_endpoint = true;
    ++endpoint.tunnels;
    --attempts_in_flight_;
  }
  AttemptOutcome endpoint_outcome;  // kServed by default: the endpoint has done its work
  endpoint_outcome.latency = event.latency;
  UpdateEstimates(endpoint, *request, endpoint_outcome, now);
}

void RequestProcessor::EndAttempt(AttemptState& attempt, AttemptResult result) {
  attempt.is_in_flight = false;
  attempt.was_unreachable = result == AttemptResult::kConnectFailed;
  attempt.may_have_been_executed = MayHaveBeenExecuted(result);
  if (std::exchange(attempt.loads_endpoint, false)) --attempt.endpoint->in_flight;
  if (attempt.occupies_endpoint) {
    --attempt.endpoint->tunnels;
  } else {
    --attempts_in_flight_;
  }
  if (result == AttemptResult::kNotSent) mechanisms_.rate.OnNotSent();
}

void RequestProcessor::OnOutcome(AttemptOutcome outcome, Millis now) {
  RequestState* const request = requests_.Find(outcome.request);
  AttemptState* const attempt = request == nullptr ? nullptr : request->FindAttempt(outcome.attempt);
  if (attempt == nullptr || !attempt->is_in_flight) return;
  const bool is_latency_known = std::isfinite(outcome.latency) && outcome.latency >= 0;
  if (!is_latency_known) outcome.latency = now - attempt->started_at;
  EndAttempt(*attempt, outcome.result);
  // The lifetime of a tunnel or of a streamed response is no evidence about its endpoint, but a response that
  // breaks off, or a tunnel right after it was opened, is a failure of the endpoint.
  const bool broke_off = attempt->is_streaming && outcome.result == AttemptResult::kReset;
  if (!attempt->is_streaming || broke_off) UpdateEstimates(*attempt->endpoint, *request, outcome, now);
  if (outcome.request_finished || outcome.result == AttemptResult::kServed) request->is_answered = true;
  const bool needs_answer = !request->is_answered && !request->HasAttemptInFlight() && !request->is_queued;
  if (needs_answer) return RetryOrSendFinalAnswer(*request, outcome, now);
  EraseIfFinished(*request);
}

void RequestProcessor::UpdateEstimates(EndpointRecord& endpoint, const RequestState& request,
                                       const AttemptOutcome& outcome, Millis now) {
  TrafficClass& traffic_class = mechanisms_.classes[request.class_index];
  const Millis objective = traffic_class.settings.latency_objective;
  const bool served = outcome.result == AttemptResult::kServed;
  if (served) mechanisms_.classes.LearnLatency(traffic_class, outcome.latency);
  // The gateway itself ended these attempts, so they are no evidence about the endpoint.
  if (outcome.result == AttemptResult::kCancelled || outcome.result == AttemptResult::kNotSent) return;
  if (outcome.result == AttemptResult::kTimedOut) {
    // A time-out too short for most answers is no evidence either: a client whose requests have very little
    // time left would get every endpoint ejected, and the dispatch rate reduced for all clients.
    const Millis timeout = request.attempts[static_cast<std::size_t>(outcome.attempt)].timeout;
    if (timeout < std::min(kMinInformativeTimeoutFactor * traffic_class.latency, objective / 2)) return;
  }
  mechanisms_.zones.CountAttempt(endpoint.info.zone, served && outcome.latency <= objective, now);
  // Must run before the tracker, which may eject or restore the endpoint: the rate controller only counts
  // outcomes of endpoints that were not ejected before this outcome.
  mechanisms_.rate.OnOutcome(endpoint, outcome.result, served && now <= request.objective_at,
                             attempts_in_flight_, now);
  mechanisms_.tracker.OnLoadReport(endpoint, outcome.load);
  mechanisms_.tracker.OnOutcome(endpoint, outcome, mechanisms_.classes.RelativeLatency(request.class_index),
                                now);
}

// ---- Retries and final answers -------------------------------------------------------------------

// A request is retried only if a second execution is impossible or harmless, if the retry can still meet the
// latency objective, and if the failure was caused by the endpoint rather than the request: a time-out at an
// endpoint that is not ejected is attributed to a slow request.
bool RequestProcessor::MayRetry(const RequestState& request, const AttemptOutcome& outcome,
                                Millis now) const {
  const TrafficClass& traffic_class = mechanisms_.classes[request.class_index];
  const bool is_safe =
      request.WasNeverExecuted() || traffic_class.settings.idempotency != Idempotency::kNonIdempotent;
  const bool request_is_slow =
      outcome.result == AttemptResult::kTimedOut && !request.attempts.back().endpoint->outlier.ejected;
  const bool can_meet_objective = now + traffic_class.latency < request.objective_at;
  const int max_attempts = std::min(request.max_attempts, mechanisms_.settings.max_attempts);
  const bool has_attempts_left = static_cast<int>(request.attempts.size()) < max_attempts;
  return is_safe && !outcome.not_replayable && !request_is_slow && can_meet_objective && has_attempts_left;
}

void RequestProcessor::RetryOrSendFinalAnswer(RequestState& request, const AttemptOutcome& outcome,
                                              Millis now) {
  // An attempt whose connection failed caused no work at any endpoint.
  const bool caused_no_work =
      outcome.result == AttemptResult::kConnectFailed && mechanisms_.subset.IsHeavilyShared();
  const double retry_cost = caused_no_work ? 0 : 1;
  if (!MayRetry(request, outcome, now) || !retry_budget_.CanAfford(retry_cost))
    return SendFinalAnswer(request);
  retry_budget_.Spend(retry_cost);
  mechanisms_.queues.AddRetry(request);
}

// Sends the final answer to a request with no attempt in flight: a Reject if a retry by the client is safe,
// because the request was never executed or because a repeat is harmless or is dropped; otherwise a Fail.
void RequestProcessor::SendFinalAnswer(RequestState& request) {
  const TrafficClassSettings& settings = mechanisms_.classes[request.class_index].settings;
  const bool repeats_are_dropped =
      settings.idempotency == Idempotency::kIdempotencyKey && settings.dedup_scope == DedupScope::kAll;
  const bool is_retry_harmless =
      request.WasNeverExecuted() || settings.idempotency == Idempotency::kIdempotent || repeats_are_dropped;
  if (is_retry_harmless) {
    mechanisms_.actions.Emit(Reject{request.id, RetryAfter()});
  } else {
    mechanisms_.actions.Emit(Fail{request.id});
  }
  request.is_answered = true;
  EraseIfFinished(request);
}

Millis RequestProcessor::RetryAfter() const {
  if (!mechanisms_.settings.sends_retry_after) return 0;
  // If the queues are empty, an endpoint is expected to have capacity again after half of the mean latency:
  // on average that much is left of an attempt in flight.
  const Millis queueing_delay = kMillisPerSecond * static_cast<double>(mechanisms_.queues.size()) /
                                std::max(mechanisms_.rate.dispatch_rate(), 1.0);
  const Millis retry_after =
      std::max({queueing_delay, mechanisms_.classes.mean_latency() / 2, kMinRetryAfter});
  return std::min(mechanisms_.settings.max_retry_after, retry_after);
}

void RequestProcessor::OnClientDisconnected(const ClientDisconnected& event) {
  RequestState* const request = requests_.Find(event.request);
  if (request == nullptr) return;
  mechanisms_.queues.Remove(*request);
  request->is_answered = true;
  if (mechanisms_.settings.can_cancel_attempts) {
    for (std::size_t i = 0; i < request->attempts.size(); ++i) {
      if (!request->attempts[i].is_in_flight) continue;
      mechanisms_.actions.Emit(CancelAttempt{request->id, static_cast<int>(i)});
    }
  }
  EraseIfFinished(*request);
}

void RequestProcessor::ExpireQueued(Millis now) {
  for (RequestState* const request : mechanisms_.queues.CollectExpired(now)) {
    const std::string* const zone = mechanisms_.zones.ZoneFor(*request);
    // The zone had no endpoint for the request in time, which counts like an attempt that missed its
    // objective.
    if (zone != nullptr && request->within_quota) mechanisms_.zones.CountAttempt(*zone, false, now);
    mechanisms_.queues.Remove(*request);
    SendFinalAnswer(*request);
  }
}

// Erases a request that is answered, not queued and has no attempt in flight. `request` may be invalid
// afterwards.
void RequestProcessor::EraseIfFinished(RequestState& request) {
  if (!request.is_answered || request.is_queued || request.HasAttemptInFlight()) return;
  for (const AttemptState& attempt : request.attempts) --attempt.endpoint->references;
  --mechanisms_.classes[request.class_index].open_requests;
  requests_.Erase(request);
}

}  // namespace meadowyard::decision
