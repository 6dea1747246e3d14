#include "core/gateway.hpp"

#include <algorithm>
#include <charconv>
#include <limits>
#include <string_view>
#include <utility>
#include <variant>

namespace meadowyard::core {
namespace {

// The policy has to answer this long before the client gives up: the answer takes time to reach the client,
// and timers may fire late.
constexpr Millis kAnswerMargin = 10;
// A request that the policy has not answered this long before its client gives up is failed.
constexpr Millis kDeadlineTimerMargin = 4;
// A client may have waited with its request before it was read, for an unknown part of the time since
// ClientRequest::earliest_sent_at. A host may be given 150 ms more than the client has left: the rest of that
// is for delays of this process between reading its clock and writing.
constexpr Millis kMaxDeadlineExcess = 50;
// An answer that is 500 ms later than the client's timeout counts as lost.
constexpr Millis kMaxAnswerLateness = 400;
// A timer event whose handling threw an exception is repeated after this delay.
constexpr Millis kTimerRetryDelay = 10;
constexpr double kMaxLoadValue = 1e6;  // a reported value above this is invalid

// Parses a load report such as "inflight=7,util=0.61" into the order of `fields`; a field that is missing is
// NaN. Returns an empty vector if any part of the report is malformed or out of range.
std::vector<double> ParseLoad(std::string_view text, const std::vector<std::string>& fields) {
  if (text.empty()) return {};
  std::vector<double> load(fields.size(), std::numeric_limits<double>::quiet_NaN());
  while (!text.empty()) {
    const std::string_view pair = text.substr(0, text.find(','));
    text.remove_prefix(std::min(text.size(), pair.size() + 1));
    const std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos) return {};
    double value = 0;
    const char* const last = pair.data() + pair.size();
    const auto [end, error] = std::from_chars(pair.data() + equals + 1, last, value);
    if (error != std::errc() || end != last || !(value >= 0 && value <= kMaxLoadValue)) return {};
    const auto field = std::find(fields.begin(), fields.end(), pair.substr(0, equals));
    if (field != fields.end()) load[static_cast<std::size_t>(field - fields.begin())] = value;
  }
  return load;
}

// An answer of the gateway itself, without a host's response.
Answer LocalAnswer(Answer::Kind kind, Millis retry_after = 0) {
  Answer answer;
  answer.kind = kind;
  answer.retry_after = retry_after;
  return answer;
}

// Whether an attempt that ended like this may have been executed.
bool MayHaveRun(AttemptResult result) {
  return result != AttemptResult::kRejected && result != AttemptResult::kConnectFailed &&
         result != AttemptResult::kNotSent;
}

// Id of the request that an event refers to; empty if it refers to none.
std::string RequestIdOf(const Event& event) {
  if (const auto* request = std::get_if<Request>(&event)) return request->id;
  if (const auto* outcome = std::get_if<AttemptOutcome>(&event)) return outcome->request;
  if (const auto* disconnected = std::get_if<ClientDisconnected>(&event)) return disconnected->request;
  return {};
}

}  // namespace

Gateway::Gateway(Clock& clock, const Settings& settings, std::uint64_t seed, Upstream& upstream,
                 Handlers handlers)
    : clock_(clock),
      settings_(settings),
      policy_(settings_, seed),
      upstream_(upstream),
      handlers_(std::move(handlers)) {
  metrics_.SetClasses(settings_.classes);
}

Policy::Admission Gateway::CheckAdmission(const std::string& class_name, Idempotency declared_idempotency) {
  return policy_.CheckAdmission(clock_.Now(), class_name, declared_idempotency);
}

void Gateway::Configure(const Settings& settings) {
  settings_ = settings;
  metrics_.SetClasses(settings_.classes);
  Report(SettingsChanged{settings_});
}

void Gateway::FailAll() {
  std::vector<std::string> unfinished_ids;
  shutting_down_ = true;
  for (const auto& [id, open_request] : open_requests_) unfinished_ids.push_back(id);
  for (const std::string& id : unfinished_ids) OnDeadline(id);
}

void Gateway::ShareRequestIds(RequestIdRegistry* registry) {
  TakePublishedIds();  // the last ones of the registry that is left
  id_registry_ = registry;
  if (registry == nullptr) return;
  for (const UnresolvedId& id : replay_cache_.All(clock_.Now())) registry->Publish(id);
  for (const auto& [id, open_request] : open_requests_) {
    // They were open first: a claim that fails would only leave them unprotected.
    if (!open_request.is_tunnel) static_cast<void>(registry->Claim(id));
  }
}

void Gateway::TakePublishedIds() {
  if (id_registry_ == nullptr) return;
  for (const UnresolvedId& id : id_registry_->TakePublished()) replay_cache_.Add(id, clock_.Now());
}

void Gateway::RememberUnresolved(const std::string& id) {
  const UnresolvedId unresolved = {HashRequestId(id), ReplayCache::kRetention};
  replay_cache_.Add(unresolved, clock_.Now());
  if (id_registry_ != nullptr) id_registry_->Publish(unresolved);
}

std::function<void(bool was_read)> Gateway::WatchDelivery(const std::string& id, OpenRequest& open_request) {
  if (open_request.is_repeatable || !open_request.is_answer_unread) return nullptr;
  unsettled_answers_[id] = std::move(open_request.is_answer_unread);
  return [this, id](bool was_read) { OnAnswerSettled(id, was_read); };
}

void Gateway::OnAnswerSettled(const std::string& id, bool was_read) {
  if (unsettled_answers_.erase(id) > 0 && !was_read) RememberUnresolved(id);
}

bool Gateway::IsRepeatable(const ClientRequest& request) const {
  const auto traffic_class =
      std::find_if(settings_.classes.begin(), settings_.classes.end(),
                   [&](const TrafficClassSettings& c) { return c.name == request.class_name; });
  return traffic_class != settings_.classes.end() && traffic_class->idempotency == Idempotency::kIdempotent;
}

// Two answers with the same id would be ambiguous, in another process of this gateway too, and an id that may
// have been executed must not be executed again. The ids of tunnels are each process's own.
bool Gateway::AnswerIfIdIsTaken(const ClientRequest& request) {
  IdClaim claim = IdClaim::kClaimed;
  if (open_requests_.contains(request.id)) {
    claim = IdClaim::kOpenElsewhere;
  } else if (id_registry_ != nullptr && !request.is_tunnel) {
    claim = id_registry_->Claim(request.id);
  }
  if (claim == IdClaim::kClaimed && !request.is_tunnel && !IsRepeatable(request)) {
    TakePublishedIds();
    const auto unsettled = unsettled_answers_.find(request.id);
    if (unsettled != unsettled_answers_.end() && unsettled->second()) RememberUnresolved(request.id);
    if (replay_cache_.Contains(HashRequestId(request.id), clock_.Now())) {
      if (id_registry_ != nullptr) id_registry_->Release(request.id);
      claim = IdClaim::kOpenElsewhere;
    }
  }
  if (claim == IdClaim::kClaimed) return false;
  if (claim == IdClaim::kOpenElsewhere) {
    request.on_answer(LocalAnswer(meadowyard::core::Answer::Kind::kDuplicateId));
  } else {
    RejectUnsent(request);
  }
  return true;
}

void Gateway::RejectUnsent(const ClientRequest& request) {
  metrics_.OnRequestAccepted();
  metrics_.OnRequestFinished(request.class_name, Metrics::RequestResult::kRejected);
  request.on_answer(LocalAnswer(meadowyard::core::Answer::Kind::kRejected));
}

void Gateway::Submit(ClientRequest request) {
  if (shutting_down_ && !open_requests_.contains(request.id))
    return RejectUnsent(request);  // the process exits before an attempt could be answered
  if (AnswerIfIdIsTaken(request)) return;
  OpenRequest& open_request = open_requests_.try_emplace(request.id).first->second;
  open_request.message = std::make_shared<const RequestMessage>(std::move(request.message));
  open_request.on_answer = std::move(request.on_answer);
  open_request.has_disconnected = std::move(request.has_disconnected);
  open_request.is_answer_unread = std::move(request.is_answer_unread);
  open_request.class_name = request.class_name;
  open_request.body_source = std::move(request.body_source);
  open_request.is_tunnel = request.is_tunnel;
  open_request.is_repeatable = IsRepeatable(request);
  open_request.client_timeout = request.client_timeout;
  SetDeadlines(open_request, request.received_at,
               request.earliest_sent_at > 0 ? std::min(request.earliest_sent_at, request.received_at)
                                            : request.received_at);
  const bool body_pending = open_request.body_source != nullptr;
  body_pending ? StartDeadlineTimer(request.id, open_request) : Accept(request.id, open_request);
  Report(Request{request.id, request.class_name, request.tenant, request.key,
                 open_request.answer_deadline - clock_.Now(), request.is_retry, body_pending,
                 request.pinned_endpoint, request.is_tunnel, request.idempotency});
}

void Gateway::SetDeadlines(OpenRequest& open_request, Millis received_at, Millis earliest_sent_at) {
  open_request.retry_deadline = earliest_sent_at + open_request.client_timeout - kAnswerMargin;
  open_request.answer_deadline = std::min(received_at + open_request.client_timeout - kAnswerMargin,
                                          open_request.retry_deadline + kMaxAnswerLateness);
}

void Gateway::Accept(const std::string& id, OpenRequest& open_request) {
  open_request.accepted = true;
  open_request.body_complete_at = clock_.Now();
  metrics_.OnRequestAccepted();
  StartDeadlineTimer(id, open_request);
}

Millis Gateway::DeadlineTimerExpiry(const OpenRequest& open_request) {
  const Millis client_deadline =
      open_request.body_source ? open_request.body_source->EarliestCompleteAt() + open_request.client_timeout
                               : open_request.answer_deadline + kAnswerMargin;
  return client_deadline - kDeadlineTimerMargin;
}

void Gateway::StartDeadlineTimer(const std::string& id, OpenRequest& open_request) {
  open_request.deadline_timer = clock_.StartTimer(DeadlineTimerExpiry(open_request) - clock_.Now(),
                                                  [this, id] { OnDeadlineTimer(id); });
}

void Gateway::OnDeadlineTimer(const std::string& id) {
  OpenRequest* const open_request = Find(id);
  if (open_request == nullptr || open_request->answered) return;
  if (open_request->body_source && DeadlineTimerExpiry(*open_request) > clock_.Now())
    return StartDeadlineTimer(id, *open_request);
  OnDeadline(id);
}

void Gateway::OnBodyComplete(const std::string& id) {
  OpenRequest* const open_request = Find(id);
  if (open_request == nullptr || open_request->answered) return;
  open_request->not_replayable = true;  // its body was streamed to a host; only the first part is kept here
  const auto body_source = std::exchange(open_request->body_source, nullptr);
  const Millis complete_at = body_source ? body_source->EarliestCompleteAt() : clock_.Now();
  open_request->answer_deadline = open_request->retry_deadline =
      complete_at + open_request->client_timeout - kAnswerMargin;
  Accept(id, *open_request);
  Report(RequestBodyComplete{id, open_request->answer_deadline - clock_.Now()});
}

// `id` is a copy, because calling `answer` may end the attempt: the client's connection may have been reset,
// so that the first write fails. The policy then ignores ResponseStarted, which comes after the outcome.
void Gateway::OnResponseStarted(std::string id, std::size_t attempt, ResponseMessage response,
                                std::shared_ptr<BodySource> remaining_body) {
  OpenRequest* const open_request = Find(id);
  if (open_request == nullptr || open_request->answered) return remaining_body->Cancel();
  open_request->answered = true;
  open_request->is_resolved = true;
  open_request->deadline_timer.reset();
  open_request->message.reset();
  // The host has done its work when it begins to answer, however long the answer was held here.
  const Millis begun_at = response.begun_at > 0 ? response.begun_at : clock_.Now();
  const Millis latency =
      begun_at - std::max(open_request->attempts[attempt].sent_at, open_request->body_complete_at);
  const auto send_answer = std::exchange(open_request->on_answer, nullptr);
  meadowyard::core::Answer answer;
  answer.response = std::move(response);
  answer.body_source = std::move(remaining_body);
  answer.on_delivered = [this, id, name = open_request->class_name,
                         is_repeatable = open_request->is_repeatable](bool complete) {
    if (!complete && !is_repeatable) RememberUnresolved(id);
    metrics_.OnRequestFinished(name,
                               complete ? Metrics::RequestResult::kServed : Metrics::RequestResult::kFailed);
  };
  answer.on_settled = WatchDelivery(id, *open_request);
  answer.attempted = true;
  send_answer(std::move(answer));
  Report(ResponseStarted{std::move(id), static_cast<int>(attempt), latency});
}

// The tunnel may close inside the call to `answer`. ResponseStarted is therefore reported before it: the
// policy counts open tunnels by these events.
void Gateway::OnTunnelOpened(const std::string& id, std::size_t attempt,
                             std::unique_ptr<meadowyard::core::TunnelEndpoint> host_connection) {
  OpenRequest* const open_request = Find(id);
  if (open_request == nullptr || open_request->answered)
    return OnAttemptFinished(id, attempt, AttemptResult::kCancelled, {});
  open_request->answered = true;
  open_request->deadline_timer.reset();
  open_request->message.reset();
  metrics_.OnAttemptSent(open_request->class_name);
  const Millis latency = clock_.Now() - open_request->attempts[attempt].sent_at;
  const auto answer = std::exchange(open_request->on_answer, nullptr);
  Report(ResponseStarted{id, static_cast<int>(attempt), latency});
  meadowyard::core::Answer opened;
  opened.attempted = true;
  opened.tunnel_endpoint = std::move(host_connection);
  opened.on_tunnel_closed = [this, id, attempt](TunnelEnd end) { OnTunnelClosed(id, attempt, end); };
  answer(std::move(opened));
}

void Gateway::OnTunnelClosed(const std::string& id, std::size_t attempt, TunnelEnd end) {
  OpenRequest* const open_request = Find(id);
  if (open_request == nullptr) return;
  metrics_.OnRequestFinished(open_request->class_name,
                             end == TunnelEnd::kClosed          ? Metrics::RequestResult::kServed
                             : end == TunnelEnd::kFailedAtStart ? Metrics::RequestResult::kFailed
                                                                : Metrics::RequestResult::kUncounted);
  OnAttemptFinished(id, attempt,
                    end == TunnelEnd::kFailedAtStart ? AttemptResult::kReset : AttemptResult::kServed, {});
}

std::function<void(TunnelEnd)> Gateway::AdoptTunnel(const std::string& class_name, const std::string& host) {
  metrics_.OnRequestAccepted();
  Report(TunnelCountChanged{host, 1});
  return [this, class_name, host](TunnelEnd end) {
    metrics_.OnRequestFinished(class_name, end == TunnelEnd::kHandedOver ? Metrics::RequestResult::kUncounted
                                                                         : Metrics::RequestResult::kServed);
    Report(TunnelCountChanged{host, -1});
  };
}

void Gateway::OnClientDisconnected(const std::string& id) {
  OpenRequest* const open_request = Find(id);
  if (open_request == nullptr || open_request->answered) return Report(ClientDisconnected{id});
  Finish(*open_request, Metrics::RequestResult::kUncounted);  // no answer is due any more
  // Attempts that are not sent yet must not be sent, even where Settings::can_cancel_attempts is false.
  CancelUnsentAttempts(*open_request);
  Report(ClientDisconnected{id});
}

// The ids are copied first, because the end of an attempt may erase the open request.
void Gateway::CancelUnsentAttempts(const OpenRequest& open_request) {
  std::vector<std::uint64_t> in_flight_ids;
  for (const Attempt& attempt : open_request.attempts) {
    if (attempt.in_flight) in_flight_ids.push_back(attempt.id);
  }
  for (const std::uint64_t upstream_id : in_flight_ids) upstream_.CancelIfUnsent(upstream_id);
}

void Gateway::OnAttemptFinished(const std::string& id, std::size_t attempt, AttemptResult result,
                                ResponseMessage response) {
  OpenRequest* const open_request = Find(id);
  if (open_request == nullptr) return;
  open_request->not_replayable = open_request->not_replayable ||
                                 (open_request->body_source && open_request->body_source->data_requested());
  Attempt& finished_attempt = open_request->attempts[attempt];
  finished_attempt.in_flight = false;
  // The host has done its work when it begins to answer, however long its answer is.
  const Millis ended_at =
      result == AttemptResult::kServed && response.begun_at > 0 ? response.begun_at : clock_.Now();
  AttemptOutcome outcome{
      id,
      static_cast<int>(attempt),
      finished_attempt.endpoint,
      result,
      false,
      ended_at - std::max(finished_attempt.sent_at, std::min(open_request->body_complete_at, ended_at)),
      ParseLoad(response.load_report, settings_.load_report_fields),
      open_request->not_replayable || clock_.Now() >= open_request->retry_deadline};
  open_request->may_have_run = open_request->may_have_run || MayHaveRun(result);
  if (result == AttemptResult::kServed && !open_request->answered) {
    open_request->is_resolved = IsAwaited(open_request);  // its client may have left without the answer
    meadowyard::core::Answer answer;
    answer.response = std::move(response);
    if (open_request->is_resolved) answer.on_settled = WatchDelivery(id, *open_request);
    Answer(*open_request, Metrics::RequestResult::kServed, std::move(answer));
  }
  Report(std::move(outcome));
}

// Fallback for policy timers that fire late, and for bodies that are still being forwarded: normally the
// policy answers before the deadline.
void Gateway::OnDeadline(const std::string& id) {
  OpenRequest* open_request = Find(id);
  if (open_request == nullptr || open_request->answered) return;
  if (!open_request->is_tunnel) {
    // The time is over: the end of an attempt must not start another one.
    open_request->not_replayable = true;
    CancelUnsentAttempts(*open_request);
    open_request = Find(id);
    if (open_request == nullptr || open_request->answered) return;
  }
  Answer(*open_request, Metrics::RequestResult::kFailed,
         LocalAnswer(meadowyard::core::Answer::Kind::kTimedOut));
  Report(ClientDisconnected{id});
}

void Gateway::Report(Event event) {
  pending_events_.push_back(std::move(event));
  if (handling_events_) return;
  // Resets the flag even if an exception is thrown below: if it stayed set, all later events would be queued
  // and never handled.
  const std::unique_ptr<bool, void (*)(bool*)> handling_guard(&handling_events_,
                                                              [](bool* flag) { *flag = false; });
  handling_events_ = true;
  while (!pending_events_.empty()) {
    const Event next = std::move(pending_events_.front());
    pending_events_.pop_front();
    try {
      Handle(next);
    } catch (...) {  // e.g. std::bad_alloc: a lost timer event would stop the policy's periodic work
      if (const auto* const timer = std::get_if<TimerExpired>(&next))
        Execute(SetTimer{kTimerRetryDelay, timer->name});
      throw;
    }
  }
}

void Gateway::Handle(const Event& event) {
  const std::string id = RequestIdOf(event);
  std::vector<Action> actions;
  if (const auto* const reported_outcome = std::get_if<AttemptOutcome>(&event)) {
    AttemptOutcome outcome = *reported_outcome;
    const OpenRequest* const open_request = Find(id);
    outcome.request_finished = open_request == nullptr || open_request->answered;
    policy_.Handle(clock_.Now(), outcome, actions);
  } else {
    policy_.Handle(clock_.Now(), event, actions);
  }
  for (const Action& action : actions) {
    std::visit([this](const auto& a) { Execute(a); }, action);
  }
  ReleaseIfFinished(id);
}

void Gateway::Execute(const StartAttempt& start) {
  OpenRequest* const open_request = Find(start.request);
  const Millis now = clock_.Now();
  // The client may have closed its connection without the front having read that yet. Then no attempt is sent
  // either, whichever of the two events is handled first.
  if (open_request != nullptr && !open_request->answered && !IsAwaited(open_request))
    OnClientDisconnected(start.request);
  // The action may be outdated by now: nothing is sent for an answered request or beyond max_attempts.
  if (open_request == nullptr || open_request->answered ||
      static_cast<int>(open_request->attempts.size()) >= settings_.max_attempts) {
    const int attempt = open_request == nullptr ? 0 : static_cast<int>(open_request->attempts.size());
    if (open_request != nullptr) open_request->attempts.push_back({start.endpoint, now, 0, false});
    return Report(
        AttemptOutcome{start.request, attempt, start.endpoint, AttemptResult::kNotSent, true, 0, {}});
  }
  const std::size_t attempt_index = open_request->attempts.size();
  open_request->attempts.push_back({start.endpoint, now});
  // An attempt ends before the client gives up. If the request may have waited in the socket before it was
  // read, that time is not known exactly: a retry may last until the earliest possible time, the first
  // attempt a little longer.
  const Millis latest_deadline =
      attempt_index == 0
          ? std::min(open_request->answer_deadline, open_request->retry_deadline + kMaxDeadlineExcess)
          : open_request->retry_deadline;
  const Millis attempt_deadline =
      start.timeout > 0 ? std::min(now + start.timeout, latest_deadline) : latest_deadline;
  AttemptRequest attempt_request;
  attempt_request.message = open_request->message;
  attempt_request.body_source = open_request->body_source;
  attempt_request.deadline = attempt_deadline;
  attempt_request.stream_at = std::min(now + start.stream_after, attempt_deadline - kAnswerMargin);
  attempt_request.upload_timeout = open_request->client_timeout - kAnswerMargin;
  attempt_request.still_wanted = [this, id = start.request, endpoint_id = start.endpoint] {
    return IsAwaited(Find(id)) && policy_.IsEligible(endpoint_id, id);
  };
  attempt_request.on_written = [this, name = open_request->class_name] { metrics_.OnAttemptSent(name); };
  attempt_request.on_response_started = [this, id = start.request, attempt_index](
                                            ResponseMessage response,
                                            std::shared_ptr<BodySource> remaining_body) {
    OnResponseStarted(id, attempt_index, std::move(response), std::move(remaining_body));
  };
  if (open_request->is_tunnel) {
    attempt_request.on_tunnel_opened =
        [this, id = start.request,
         attempt_index](std::unique_ptr<meadowyard::core::TunnelEndpoint> host_connection) {
          OnTunnelOpened(id, attempt_index, std::move(host_connection));
        };
  }
  attempt_request.on_finished = [this, id = start.request, attempt_index](AttemptResult result,
                                                                          ResponseMessage response) {
    OnAttemptFinished(id, attempt_index, result, std::move(response));
  };
  const std::uint64_t upstream_id = upstream_.Start(start.endpoint, std::move(attempt_request));
  if (OpenRequest* const remaining_request = Find(start.request))
    remaining_request->attempts[attempt_index].id = upstream_id;
}

void Gateway::Execute(const Reject& reject) {
  OpenRequest* const open_request = Find(reject.request);
  if (open_request == nullptr) return;
  Answer(*open_request, Metrics::RequestResult::kRejected,
         LocalAnswer(meadowyard::core::Answer::Kind::kRejected, reject.retry_after));
  ReleaseIfFinished(reject.request);
}

void Gateway::Execute(const Fail& fail) {
  OpenRequest* const open_request = Find(fail.request);
  if (open_request == nullptr) return;
  Answer(*open_request, Metrics::RequestResult::kFailed,
         LocalAnswer(meadowyard::core::Answer::Kind::kFailed));
  ReleaseIfFinished(fail.request);
}

void Gateway::Execute(const CancelAttempt& cancel) {
  OpenRequest* const open_request = Find(cancel.request);
  const auto attempt = static_cast<std::size_t>(cancel.attempt);
  if (open_request != nullptr && attempt < open_request->attempts.size())
    upstream_.Cancel(open_request->attempts[attempt].id);
}

void Gateway::Execute(const SetTimer& timer) {
  timers_[timer.name] =
      clock_.StartTimer(timer.delay, [this, name = timer.name] { Report(TimerExpired{name}); });
}

void Gateway::Execute(const PollEndpoints&) { handlers_.poll_endpoints(); }

void Gateway::Execute(const Log& log) { handlers_.log(log); }

Gateway::OpenRequest* Gateway::Find(const std::string& id) {
  const auto found = open_requests_.find(id);
  return found == open_requests_.end() ? nullptr : &found->second;
}

bool Gateway::IsAwaited(const OpenRequest* open_request) const {
  return open_request != nullptr && !open_request->answered &&
         !(open_request->has_disconnected && open_request->has_disconnected());
}

void Gateway::Answer(OpenRequest& open_request, Metrics::RequestResult request_result,
                     meadowyard::core::Answer answer) {
  if (open_request.answered) return;
  Finish(open_request, request_result);
  answer.attempted = !open_request.attempts.empty();
  std::exchange(open_request.on_answer, nullptr)(std::move(answer));
}

void Gateway::Finish(OpenRequest& open_request, Metrics::RequestResult request_result) {
  open_request.answered = true;
  open_request.deadline_timer.reset();
  open_request.message.reset();  // attempts in flight share ownership of it
  metrics_.OnRequestFinished(open_request.class_name, request_result, open_request.accepted);
}

void Gateway::ReleaseIfFinished(const std::string& id) {
  const auto found = open_requests_.find(id);
  if (found == open_requests_.end() || !found->second.answered) return;
  const auto& attempts = found->second.attempts;
  if (std::none_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.in_flight; })) {
    const OpenRequest& ended = found->second;
    if (ended.may_have_run && !ended.is_resolved && !ended.is_repeatable && !ended.is_tunnel)
      RememberUnresolved(id);
    open_requests_.erase(found);
    if (id_registry_ != nullptr) id_registry_->Release(id);
  }
}

}  // namespace meadowyard::core
