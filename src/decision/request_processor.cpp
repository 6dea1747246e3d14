#include "decision/request_processor.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "decision/hashing.hpp"

namespace meadowyard::decision {
namespace {

constexpr double kBudgetWeight = 0.04;  // of a first attempt in the time that clients have left at one
constexpr double kFallingBudgetWeight = kBudgetWeight / 4;  // the same where retries can't be recognised
constexpr double kFirstAttemptShare = 0.95;  // part of the observed time budget below which it is a retry
constexpr double kInformativeTimeout = 2;    // of a class's latency: a time-out after less tells little
constexpr Millis kMinRetryAfter = 10;        // ms; "at once" would be no advice
constexpr Millis kMinTimeout = 1;            // ms
constexpr double kMillisPerSecond = 1000;

Millis NonNegativeTime(Millis time) { return std::isfinite(time) ? std::max(0.0, time) : 0.0; }

bool MayHaveRun(AttemptResult result) {
  return result != AttemptResult::kRejected && result != AttemptResult::kConnectFailed &&
         result != AttemptResult::kNotSent;
}

}  // namespace

bool RequestProcessor::IsAllowed(const std::string& request, const EndpointRecord& endpoint,
                                 Millis now) const {
  const RequestState* const state = requests_.Find(request);
  return state == nullptr || use_.balancer.IsAllowed(*state, endpoint, now);
}

// ---- Arrival -------------------------------------------------------------------------------------

void RequestProcessor::OnRequest(const Request& event, Millis now) {
  if (requests_.Find(event.id) != nullptr) return;
  TrafficClass* const traffic_class = use_.classes.Find(event.class_name, event.idempotency, now);
  if (traffic_class == nullptr) return use_.actions.Emit(Reject{event.id, 0});  // never dispatched
  // A client that claims more than its class allows must not hold a place for as long.
  const Millis deadline = traffic_class->settings.deadline;
  const Millis time_left = std::isfinite(event.time_left) ? std::clamp(event.time_left, 0.0, deadline) : 0.0;
  RequestState& request = Open(event, *traffic_class, time_left, now);
  const bool is_marked_retry = use_.settings.clients_mark_retries && event.is_retry;
  const bool is_late_retry = IsLateRetry(*traffic_class, time_left, is_marked_retry);
  // A late retry counts as little as what a tenant sends over its quota: congestion would feed on answers
  // that come too late.
  request.within_quota = !is_late_retry && use_.quotas.Admit(event.tenant, is_marked_retry, now);
  retry_budget_.Earn();
  if (IsHopeless(request, is_late_retry && is_marked_retry, now)) return Answer(request);
  if (use_.queues.size() == 0 && TryDispatch(request, now)) return;
  Enqueue(request);
}

RequestState& RequestProcessor::Open(const Request& event, TrafficClass& traffic_class, Millis time_left,
                                     Millis now) {
  RequestState& request = requests_.Add(event.id);
  ++traffic_class.open_requests;
  request.class_index = use_.classes.IndexOf(traffic_class);
  request.max_attempts = use_.settings.max_attempts;
  request.is_body_pending = event.body_pending;
  request.pinned_endpoint = HashOptionalId(event.pinned_endpoint);
  request.is_tunnel = event.is_tunnel;
  request.key = HashOptionalId(event.key);
  request.arrived_at = now;
  if (use_.settings.zone_routing.enabled) request.zone_draw = use_.random.Uniform();
  use_.arrivals.CountRequest();
  request.deadline_at = now + time_left;
  request.objective_at = std::min(now + traffic_class.settings.latency_objective, request.deadline_at);
  return request;
}

// A retry has less time left than a first attempt. Where clients mark retries no other request is one, and
// the time budget is the mean of what first attempts have left: a single client with more time than is usual
// must not make all others look late. Elsewhere it is a guess from all requests, which follows the longest; a
// guess rejects no request.
bool RequestProcessor::IsLateRetry(TrafficClass& traffic_class, Millis time_left,
                                   bool is_marked_retry) const {
  const bool retries_are_marked = use_.settings.clients_mark_retries;
  double& budget = traffic_class.observed_time_budget;
  const double weight = time_left > budget || retries_are_marked ? kBudgetWeight : kFallingBudgetWeight;
  if (!is_marked_retry) budget += (budget > 0 ? weight : 1) * (time_left - budget);
  const bool may_be_retry = is_marked_retry || !retries_are_marked;
  if (!may_be_retry || time_left >= kFirstAttemptShare * budget) return false;
  const Millis elapsed = std::max(0.0, traffic_class.settings.deadline - time_left);
  return elapsed >= traffic_class.settings.latency_objective;
}

bool RequestProcessor::IsHopeless(const RequestState& request, bool is_late_marked_retry, Millis now) const {
  const TrafficClassSettings& settings = use_.classes[request.class_index].settings;
  const bool earns_nothing = is_late_marked_retry && settings.late_weight <= 0;
  const bool is_out_of_time = now >= request.deadline_at - kAnswerMargin;  // no sweep may come in time
  return earns_nothing || is_out_of_time || use_.zones.ExceedsCapacity(request);
}

// A gateway out of connections could only fail to send, which would cost a token and an attempt.
bool RequestProcessor::HasCapacity() const {
  const int limit = use_.settings.max_attempts_in_flight;
  return limit <= 0 || attempts_in_flight_ < limit;
}

bool RequestProcessor::TryDispatch(RequestState& request, Millis now) {
  if (!use_.rate.HasToken() || !HasCapacity()) return false;
  EndpointRecord* const endpoint = use_.balancer.Pick(request, use_.rate.untimely_share(), now);
  if (endpoint == nullptr) return false;
  Dispatch(request, *endpoint, now);
  return true;
}

void RequestProcessor::Enqueue(RequestState& request) {
  if (RequestState* const displaced = use_.queues.ReserveSlot(request, use_.rate.dispatch_rate())) {
    const bool is_request_itself = displaced == &request;
    Answer(*displaced);
    if (is_request_itself) return;
  }
  use_.queues.Add(request);
}

void RequestProcessor::OnBodyComplete(const RequestBodyComplete& event, Millis now) {
  RequestState* const request = requests_.Find(event.request);
  if (request == nullptr || !std::exchange(request->is_body_pending, false)) return;
  const Millis objective = use_.classes[request->class_index].settings.latency_objective;
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
  use_.queues.BeginRound();
  while (use_.rate.HasToken() && HasCapacity()) {
    const auto release = use_.queues.TakeNext(use_.rate.untimely_share(), now);
    if (!release) return;
    Dispatch(*release->request, *release->endpoint, now);
  }
}

void RequestProcessor::Dispatch(RequestState& request, EndpointRecord& endpoint, Millis now) {
  const bool may_be_late = use_.classes[request.class_index].settings.late_weight > 0;
  const Millis until = may_be_late ? request.deadline_at : request.objective_at;
  use_.rate.OnDispatch();
  use_.tracker.slow_start().Spend(endpoint, now);
  const bool loads_endpoint = !request.is_body_pending;  // a body that is still arriving is no work yet
  if (loads_endpoint) ++endpoint.in_flight;
  ++attempts_in_flight_;
  ++endpoint.references;
  const Millis timeout = std::max(kMinTimeout, until - now);
  request.attempts.push_back(
      {.endpoint = &endpoint, .started_at = now, .timeout = timeout, .loads_endpoint = loads_endpoint});
  use_.actions.Emit(StartAttempt{request.id, endpoint.info.id, timeout});
}

// The client owns the response now; the outcome is still awaited. The endpoint has done its work when a
// response begins: how long the client takes to read it says nothing of the endpoint.
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
  AttemptOutcome begun;  // served, as far as the endpoint is concerned
  begun.latency = event.latency;
  Learn(endpoint, *request, begun, now);
}

void RequestProcessor::EndAttempt(AttemptState& attempt, AttemptResult result) {
  attempt.is_in_flight = false;
  attempt.was_unreachable = result == AttemptResult::kConnectFailed;
  attempt.may_have_run = MayHaveRun(result);
  if (std::exchange(attempt.loads_endpoint, false)) --attempt.endpoint->in_flight;
  if (attempt.occupies_endpoint) {
    --attempt.endpoint->tunnels;
  } else {
    --attempts_in_flight_;
  }
  if (result == AttemptResult::kNotSent) use_.rate.OnNotSent();
}

void RequestProcessor::OnOutcome(AttemptOutcome outcome, Millis now) {
  RequestState* const request = requests_.Find(outcome.request);
  AttemptState* const attempt = request == nullptr ? nullptr : request->FindAttempt(outcome.attempt);
  if (attempt == nullptr || !attempt->is_in_flight) return;
  const bool is_latency_known = std::isfinite(outcome.latency) && outcome.latency >= 0;
  if (!is_latency_known) outcome.latency = now - attempt->started_at;
  EndAttempt(*attempt, outcome.result);
  // How long a tunnel lives says nothing of its endpoint; that it broke at its beginning does.
  const bool broke_at_start = attempt->occupies_endpoint && outcome.result == AttemptResult::kReset;
  if (!attempt->is_streaming || broke_at_start) Learn(*attempt->endpoint, *request, outcome, now);
  if (outcome.request_finished || outcome.result == AttemptResult::kServed) request->is_answered = true;
  const bool needs_answer = !request->is_answered && !request->HasAttemptInFlight() && !request->is_queued;
  if (needs_answer) return RetryOrAnswer(*request, outcome, now);
  ReleaseIfFinished(*request);
}

void RequestProcessor::Learn(EndpointRecord& endpoint, const RequestState& request,
                             const AttemptOutcome& outcome, Millis now) {
  TrafficClass& traffic_class = use_.classes[request.class_index];
  const Millis objective = traffic_class.settings.latency_objective;
  const bool served = outcome.result == AttemptResult::kServed;
  if (served) use_.classes.LearnLatency(traffic_class, outcome.latency);
  // These say nothing of the endpoint.
  if (outcome.result == AttemptResult::kCancelled || outcome.result == AttemptResult::kNotSent) return;
  if (outcome.result == AttemptResult::kTimedOut) {
    // Nor does it say much that an attempt timed out after so little that few are answered by then: a client
    // with hardly any time would have every endpoint ejected, and the rate reduced for all.
    const Millis timeout = request.attempts[static_cast<std::size_t>(outcome.attempt)].timeout;
    if (timeout < std::min(kInformativeTimeout * traffic_class.latency, objective / 2)) return;
  }
  use_.zones.CountAttempt(endpoint.info.zone, served && outcome.latency <= objective, now);
  // First, for it depends on whether the endpoint was trusted until now.
  use_.rate.OnOutcome(endpoint, outcome.result, served && now <= request.objective_at, attempts_in_flight_,
                      now);
  use_.tracker.OnLoadReport(endpoint, outcome.load);
  use_.tracker.OnOutcome(endpoint, outcome, use_.classes.RelativeLatency(request.class_index), now);
}

// ---- Retries and answers -------------------------------------------------------------------------

// Only where it is legal, can still be in time, and the endpoint was to blame.
bool RequestProcessor::MayRetry(const RequestState& request, const AttemptOutcome& outcome,
                                Millis now) const {
  const TrafficClass& traffic_class = use_.classes[request.class_index];
  const bool is_legal =
      request.WasNeverExecuted() || traffic_class.settings.idempotency != Idempotency::kNonIdempotent;
  const bool is_slow_request =
      outcome.result == AttemptResult::kTimedOut && !request.attempts.back().endpoint->outlier.ejected;
  const bool is_in_time = now + traffic_class.latency < request.objective_at;
  const int max_attempts = std::min(request.max_attempts, use_.settings.max_attempts);
  const bool has_attempts_left = static_cast<int>(request.attempts.size()) < max_attempts;
  return is_legal && !outcome.not_replayable && !is_slow_request && is_in_time && has_attempts_left;
}

void RequestProcessor::RetryOrAnswer(RequestState& request, const AttemptOutcome& outcome, Millis now) {
  // A connection that never came up cost no endpoint any work.
  const bool is_free = outcome.result == AttemptResult::kConnectFailed && use_.subset.IsHeavilyShared();
  const double price = is_free ? 0 : 1;
  if (!MayRetry(request, outcome, now) || !retry_budget_.CanAfford(price)) return Answer(request);
  retry_budget_.Spend(price);
  use_.queues.AddRetry(request);
}

// The final answer to a request with no attempt in flight. A rejection says that a retry is harmless.
void RequestProcessor::Answer(RequestState& request) {
  const TrafficClassSettings& settings = use_.classes[request.class_index].settings;
  const bool repeats_are_dropped =
      settings.idempotency == Idempotency::kIdempotencyKey && settings.dedup_scope == DedupScope::kAll;
  const bool is_retry_harmless =
      request.WasNeverExecuted() || settings.idempotency == Idempotency::kIdempotent || repeats_are_dropped;
  if (is_retry_harmless) {
    use_.actions.Emit(Reject{request.id, RetryAfter()});
  } else {
    use_.actions.Emit(Fail{request.id});
  }
  request.is_answered = true;
  ReleaseIfFinished(request);
}

Millis RequestProcessor::RetryAfter() const {
  if (!use_.settings.sends_retry_after) return 0;
  // With no queue a place comes free, on average, within half of the time that an answer takes.
  const Millis queueing =
      kMillisPerSecond * static_cast<double>(use_.queues.size()) / std::max(use_.rate.dispatch_rate(), 1.0);
  const Millis advice = std::max({queueing, use_.classes.mean_latency() / 2, kMinRetryAfter});
  return std::min(use_.settings.max_retry_after, advice);
}

void RequestProcessor::OnClientDisconnected(const ClientDisconnected& event) {
  RequestState* const request = requests_.Find(event.request);
  if (request == nullptr) return;
  use_.queues.Remove(*request);
  request->is_answered = true;
  if (use_.settings.can_cancel_attempts) {
    for (std::size_t i = 0; i < request->attempts.size(); ++i) {
      if (!request->attempts[i].is_in_flight) continue;
      use_.actions.Emit(CancelAttempt{request->id, static_cast<int>(i)});
    }
  }
  ReleaseIfFinished(*request);
}

void RequestProcessor::ExpireQueued(Millis now) {
  for (RequestState* const request : use_.queues.CollectExpired(now)) {
    const std::string* const zone = use_.zones.ZoneFor(*request);
    // The zone could not take it in time.
    if (zone != nullptr && request->within_quota) use_.zones.CountAttempt(*zone, false, now);
    use_.queues.Remove(*request);
    Answer(*request);
  }
}

// Forgets a request that is answered and has nothing in flight. `request` may be gone afterwards.
void RequestProcessor::ReleaseIfFinished(RequestState& request) {
  if (!request.is_answered || request.is_queued || request.HasAttemptInFlight()) return;
  for (const AttemptState& attempt : request.attempts) --attempt.endpoint->references;
  --use_.classes[request.class_index].open_requests;
  requests_.Erase(request);
}

}  // namespace meadowyard::decision
