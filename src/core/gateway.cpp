#include "core/gateway.hpp"

#include <algorithm>
#include <charconv>
#include <limits>
#include <string_view>
#include <utility>
#include <variant>

namespace meadowyard::core {
namespace {

constexpr Millis kMargin = 10;     // before a client leaves: answers travel, and timers may come late
constexpr Millis kLastMargin = 4;  // before it leaves: what the policy has not answered by then is failed
constexpr Millis kTimerAgain = 10;
constexpr double kMostLoad = 1e6;  // no host can report more of anything

// "inflight=7,util=0.61" in the order of the settings' fields; what is missing is not a number. A report that
// can't be read in any part, or tells what no host can have, is none.
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
    if (error != std::errc() || end != last || !(value >= 0 && value <= kMostLoad)) return {};
    const auto field = std::find(fields.begin(), fields.end(), pair.substr(0, equals));
    if (field != fields.end()) load[static_cast<std::size_t>(field - fields.begin())] = value;
  }
  return load;
}

Answer Unserved(Answer::Kind kind, Millis retry_after = 0) {
  Answer answer;
  answer.kind = kind;
  answer.retry_after = retry_after;
  return answer;
}

// The request that an event is about; empty if it is about none.
std::string RequestOf(const Event& event) {
  if (const auto* request = std::get_if<Request>(&event)) return request->id;
  if (const auto* outcome = std::get_if<AttemptOutcome>(&event)) return outcome->request;
  if (const auto* gone = std::get_if<ClientDisconnected>(&event)) return gone->request;
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

Policy::Admission Gateway::CheckAdmission(const std::string& class_name, Idempotency effect) {
  return policy_.CheckAdmission(clock_.Now(), class_name, effect);
}

void Gateway::Configure(const Settings& settings) {
  settings_ = settings;
  metrics_.SetClasses(settings_.classes);
  Report(SettingsChanged{settings_});
}

void Gateway::FailAll() {
  std::vector<std::string> left;
  ending_ = true;
  for (const auto& [id, flow] : exchanges_) left.push_back(id);
  for (const std::string& id : left) OnDeadline(id);
}

void Gateway::Submit(ClientRequest request) {
  if (exchanges_.contains(request.id)) {  // two answers for one id could not be told apart
    meadowyard::core::Answer answer;
    answer.kind = meadowyard::core::Answer::Kind::kDuplicateId;
    return request.on_answer(std::move(answer));
  }
  if (ending_) {  // nobody would be here to pass the answer on
    metrics_.OnRequestAccepted();
    metrics_.OnRequestFinished(request.class_name, Metrics::RequestResult::kRejected);
    return request.on_answer(Unserved(meadowyard::core::Answer::Kind::kRejected));
  }
  Exchange& flow = exchanges_.try_emplace(request.id).first->second;
  flow.message = std::make_shared<const RequestMessage>(std::move(request.message));
  flow.on_answer = std::move(request.on_answer);
  flow.has_disconnected = std::move(request.has_disconnected);
  flow.class_name = request.class_name;
  flow.body_source = std::move(request.body_source);
  flow.is_tunnel = request.is_tunnel;
  flow.client_timeout = request.client_timeout;
  flow.answer_deadline = request.received_at + request.client_timeout - kMargin;
  flow.retry_deadline = flow.answer_deadline;
  if (request.earliest_sent_at > 0)
    flow.retry_deadline -= std::max(0.0, request.received_at - request.earliest_sent_at);
  const bool coming = flow.body_source != nullptr;
  if (!coming) Accept(request.id, flow);
  Report(Request{request.id, request.class_name, request.tenant, request.key,
                 flow.answer_deadline - clock_.Now(), request.is_retry, coming, request.pinned_endpoint,
                 request.is_tunnel, request.idempotency});
}

void Gateway::Accept(const std::string& id, Exchange& flow) {
  flow.accepted = true;
  flow.body_complete_at = clock_.Now();
  metrics_.OnRequestAccepted();
  flow.deadline_timer = clock_.StartTimer(flow.answer_deadline + kMargin - kLastMargin - clock_.Now(),
                                          [this, id] { OnDeadline(id); });
}

void Gateway::OnBodyComplete(const std::string& id) {
  Exchange* const flow = Find(id);
  if (flow == nullptr || flow->answered) return;
  flow->not_replayable = true;  // its pieces went to a host as they came; the first one alone is still here
  flow->body_source.reset();
  flow->answer_deadline = flow->retry_deadline = clock_.Now() + flow->client_timeout - kMargin;
  Accept(id, *flow);
  Report(RequestBodyComplete{id, flow->answer_deadline - clock_.Now()});
}

void Gateway::OnResponseStarted(const std::string& id, std::size_t attempt, ResponseMessage reply,
                                std::shared_ptr<BodySource> rest) {
  Exchange* const flow = Find(id);
  if (flow == nullptr || flow->answered) return rest->Cancel();
  flow->answered = true;
  flow->deadline_timer.reset();
  flow->message.reset();
  const Millis latency = clock_.Now() - std::max(flow->attempts[attempt].sent_at, flow->body_complete_at);
  const auto answer = std::exchange(flow->on_answer, nullptr);
  answer({meadowyard::core::Answer::Kind::kServed, 0, std::move(reply), std::move(rest),
          [this, name = flow->class_name](bool whole) {
            metrics_.OnRequestFinished(
                name, whole ? Metrics::RequestResult::kServed : Metrics::RequestResult::kFailed);
          },
          true, nullptr, nullptr});
  Report(ResponseStarted{id, static_cast<int>(attempt), latency});
}

// Unlike a long answer, a tunnel may end while its client is told: the module hears of its beginning first.
void Gateway::OnTunnelOpened(const std::string& id, std::size_t attempt,
                             std::unique_ptr<meadowyard::core::TunnelEndpoint> opened) {
  Exchange* const flow = Find(id);
  if (flow == nullptr || flow->answered) return OnAttemptFinished(id, attempt, AttemptResult::kCancelled, {});
  flow->answered = true;
  flow->deadline_timer.reset();
  flow->message.reset();
  metrics_.OnAttemptSent(flow->class_name);
  const Millis latency = clock_.Now() - flow->attempts[attempt].sent_at;
  const auto answer = std::exchange(flow->on_answer, nullptr);
  Report(ResponseStarted{id, static_cast<int>(attempt), latency});
  answer({meadowyard::core::Answer::Kind::kServed,
          0,
          {},
          nullptr,
          nullptr,
          true,
          std::move(opened),
          [this, id, attempt](TunnelEnd end) { OnTunnelClosed(id, attempt, end); }});
}

void Gateway::OnTunnelClosed(const std::string& id, std::size_t attempt, TunnelEnd end) {
  Exchange* const flow = Find(id);
  if (flow == nullptr) return;
  metrics_.OnRequestFinished(flow->class_name, end == TunnelEnd::kClosed ? Metrics::RequestResult::kServed
                                               : end == TunnelEnd::kFailedAtStart
                                                   ? Metrics::RequestResult::kFailed
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
  Exchange* const flow = Find(id);
  if (flow == nullptr || flow->answered) return Report(ClientDisconnected{id});
  Finish(*flow, Metrics::RequestResult::kUncounted);  // nothing is owed any more
  // What comes up from now on is not written, also where nothing may be cancelled: the first attempt that is
  // ended may be the last of the flow.
  std::vector<std::uint64_t> out;
  for (const Attempt& attempt : flow->attempts) {
    if (attempt.in_flight) out.push_back(attempt.id);
  }
  for (const std::uint64_t number : out) upstream_.CancelIfUnsent(number);
  Report(ClientDisconnected{id});
}

void Gateway::OnAttemptFinished(const std::string& id, std::size_t attempt, AttemptResult result,
                                ResponseMessage reply) {
  Exchange* const flow = Find(id);
  if (flow == nullptr) return;
  flow->not_replayable = flow->not_replayable || (flow->body_source && flow->body_source->data_requested());
  Attempt& ended = flow->attempts[attempt];
  ended.in_flight = false;
  AttemptOutcome outcome{
      id,
      static_cast<int>(attempt),
      ended.endpoint,
      result,
      false,
      clock_.Now() - std::max(ended.sent_at, std::min(flow->body_complete_at, clock_.Now())),
      ParseLoad(reply.load_report, settings_.load_report_fields),
      flow->not_replayable || clock_.Now() >= flow->retry_deadline};
  if (result == AttemptResult::kServed && !flow->answered) {
    Answer(*flow, Metrics::RequestResult::kServed,
           {meadowyard::core::Answer::Kind::kServed, 0, std::move(reply), nullptr, nullptr, true, nullptr,
            nullptr});
  }
  Report(std::move(outcome));
}

// The policy's own timers answer in time; this one is for when they came late.
void Gateway::OnDeadline(const std::string& id) {
  Exchange* const flow = Find(id);
  if (flow == nullptr || flow->answered) return;
  Answer(*flow, Metrics::RequestResult::kFailed, Unserved(meadowyard::core::Answer::Kind::kTimedOut));
  Report(ClientDisconnected{id});
}

void Gateway::Report(Event event) {
  events_.push_back(std::move(event));
  if (reporting_) return;
  // Whatever is thrown below, the next event finds the queue open: a gateway must not go deaf.
  const std::unique_ptr<bool, void (*)(bool*)> reporting(&reporting_, [](bool* flag) { *flag = false; });
  reporting_ = true;
  while (!events_.empty()) {
    const Event next = std::move(events_.front());
    events_.pop_front();
    try {
      Handle(next);
    } catch (...) {  // out of memory, perhaps: the module's time goes on all the same
      if (const auto* const timer = std::get_if<TimerExpired>(&next))
        Execute(SetTimer{kTimerAgain, timer->name});
      throw;
    }
  }
}

void Gateway::Handle(const Event& event) {
  const std::string id = RequestOf(event);
  std::vector<Action> actions;
  if (const auto* const told = std::get_if<AttemptOutcome>(&event)) {
    AttemptOutcome outcome = *told;
    const Exchange* const flow = Find(id);
    outcome.request_finished = flow == nullptr || flow->answered;
    policy_.Handle(clock_.Now(), outcome, actions);
  } else {
    policy_.Handle(clock_.Now(), event, actions);
  }
  for (const Action& action : actions) {
    std::visit([this](const auto& a) { Execute(a); }, action);
  }
  ReleaseIfFinished(id);
}

void Gateway::Execute(const StartAttempt& send) {
  Exchange* const flow = Find(send.request);
  const Millis now = clock_.Now();
  // Its client's end may lie in the socket unread: what came first, a chance to send or that end, is no
  // matter.
  if (flow != nullptr && !flow->answered && !IsAwaited(flow)) OnClientDisconnected(send.request);
  // A request that is over, or one attempt too many, is never sent, whatever was decided a moment ago.
  if (flow == nullptr || flow->answered ||
      static_cast<int>(flow->attempts.size()) >= settings_.max_attempts) {
    const int attempt = flow == nullptr ? 0 : static_cast<int>(flow->attempts.size());
    if (flow != nullptr) flow->attempts.push_back({send.endpoint, now, 0, false});
    return Report(AttemptOutcome{send.request, attempt, send.endpoint, AttemptResult::kNotSent, true, 0, {}});
  }
  const std::size_t index = flow->attempts.size();
  flow->attempts.push_back({send.endpoint, now});
  // A host is told no more time than is left to the client. Where it may have waited unread for longer than
  // is known the first attempt has what it may have; a further one, what it surely has.
  const Millis last = index == 0 ? flow->answer_deadline : flow->retry_deadline;
  const Millis until = send.timeout > 0 ? std::min(now + send.timeout, last) : last;
  AttemptRequest errand;
  errand.message = flow->message;
  errand.body_source = flow->body_source;
  errand.deadline = until;
  errand.still_wanted = [this, id = send.request, server = send.endpoint] {
    return IsAwaited(Find(id)) && policy_.IsEligible(server, id);
  };
  errand.on_written = [this, name = flow->class_name] { metrics_.OnAttemptSent(name); };
  errand.on_response_started = [this, id = send.request, index](ResponseMessage reply,
                                                                std::shared_ptr<BodySource> rest) {
    OnResponseStarted(id, index, std::move(reply), std::move(rest));
  };
  if (flow->is_tunnel) {
    errand.on_tunnel_opened = [this, id = send.request,
                               index](std::unique_ptr<meadowyard::core::TunnelEndpoint> opened) {
      OnTunnelOpened(id, index, std::move(opened));
    };
  }
  errand.on_finished = [this, id = send.request, index](AttemptResult result, ResponseMessage reply) {
    OnAttemptFinished(id, index, result, std::move(reply));
  };
  const std::uint64_t number = upstream_.Start(send.endpoint, std::move(errand));
  if (Exchange* const still = Find(send.request)) still->attempts[index].id = number;
}

void Gateway::Execute(const Reject& refuse) {
  Exchange* const flow = Find(refuse.request);
  if (flow == nullptr) return;
  Answer(*flow, Metrics::RequestResult::kRejected,
         Unserved(meadowyard::core::Answer::Kind::kRejected, refuse.retry_after));
  ReleaseIfFinished(refuse.request);
}

void Gateway::Execute(const Fail& fail) {
  Exchange* const flow = Find(fail.request);
  if (flow == nullptr) return;
  Answer(*flow, Metrics::RequestResult::kFailed, Unserved(meadowyard::core::Answer::Kind::kFailed));
  ReleaseIfFinished(fail.request);
}

void Gateway::Execute(const CancelAttempt& cancel) {
  Exchange* const flow = Find(cancel.request);
  const auto attempt = static_cast<std::size_t>(cancel.attempt);
  if (flow != nullptr && attempt < flow->attempts.size()) upstream_.Cancel(flow->attempts[attempt].id);
}

void Gateway::Execute(const SetTimer& timer) {
  timers_[timer.name] =
      clock_.StartTimer(timer.delay, [this, name = timer.name] { Report(TimerExpired{name}); });
}

void Gateway::Execute(const PollEndpoints&) { handlers_.poll_endpoints(); }

void Gateway::Execute(const Log& log) { handlers_.log(log); }

Gateway::Exchange* Gateway::Find(const std::string& id) {
  const auto found = exchanges_.find(id);
  return found == exchanges_.end() ? nullptr : &found->second;
}

// Somebody waits for its answer.
bool Gateway::IsAwaited(const Exchange* flow) const {
  return flow != nullptr && !flow->answered && !(flow->has_disconnected && flow->has_disconnected());
}

void Gateway::Answer(Exchange& flow, Metrics::RequestResult end, meadowyard::core::Answer answer) {
  if (flow.answered) return;
  Finish(flow, end);
  answer.attempted = !flow.attempts.empty();
  std::exchange(flow.on_answer, nullptr)(std::move(answer));
}

void Gateway::Finish(Exchange& flow, Metrics::RequestResult end) {
  flow.answered = true;
  flow.deadline_timer.reset();
  flow.message.reset();  // attempts that are still out have their own
  metrics_.OnRequestFinished(flow.class_name, end, flow.accepted);
}

void Gateway::ReleaseIfFinished(const std::string& id) {
  const auto found = exchanges_.find(id);
  if (found == exchanges_.end() || !found->second.answered) return;
  const auto& attempts = found->second.attempts;
  if (std::none_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.in_flight; })) {
    exchanges_.erase(found);
  }
}

}  // namespace meadowyard::core
