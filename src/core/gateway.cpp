#include "core/gateway.hpp"

#include <algorithm>
#include <charconv>
#include <limits>
#include <string_view>
#include <utility>
#include <variant>

namespace meadowyard {
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
  figures_.Know(settings_.classes);
}

Policy::Admission Gateway::Admits(const std::string& class_name, Idempotency effect) {
  return policy_.CheckAdmission(clock_.Now(), class_name, effect);
}

void Gateway::Configure(const Settings& settings) {
  settings_ = settings;
  figures_.Know(settings_.classes);
  Report(SettingsChanged{settings_});
}

void Gateway::FailAll() {
  std::vector<std::string> left;
  ending_ = true;
  for (const auto& [id, flow] : flows_) left.push_back(id);
  for (const std::string& id : left) Overdue(id);
}

void Gateway::Take(ClientRequest request) {
  if (flows_.contains(request.id)) {  // two answers for one id could not be told apart
    meadowyard::Answer answer;
    answer.kind = meadowyard::Answer::Kind::kInUse;
    return request.answer(std::move(answer));
  }
  if (ending_) {  // nobody would be here to pass the answer on
    figures_.Taken();
    figures_.Ended(request.class_name, Figures::End::kDeferred);
    return request.answer(Unserved(meadowyard::Answer::Kind::kRefused));
  }
  Flow& flow = flows_.try_emplace(request.id).first->second;
  flow.call = std::make_shared<const Call>(std::move(request.call));
  flow.answer = std::move(request.answer);
  flow.gone = std::move(request.gone);
  flow.class_name = request.class_name;
  flow.rest = std::move(request.rest);
  flow.tunnel = request.tunnel;
  flow.allowed = request.allowed;
  flow.leaves_at = request.received + request.allowed - kMargin;
  flow.sure_until = flow.leaves_at;
  if (request.sent_after > 0) flow.sure_until -= std::max(0.0, request.received - request.sent_after);
  const bool coming = flow.rest != nullptr;
  if (!coming) Count(request.id, flow);
  Report(Request{request.id, request.class_name, request.tenant, request.key, flow.leaves_at - clock_.Now(),
                 request.retry, coming, request.only, request.tunnel, request.effect});
}

void Gateway::Count(const std::string& id, Flow& flow) {
  flow.counted = true;
  flow.whole_at = clock_.Now();
  figures_.Taken();
  flow.overdue =
      clock_.After(flow.leaves_at + kMargin - kLastMargin - clock_.Now(), [this, id] { Overdue(id); });
}

void Gateway::Whole(const std::string& id) {
  Flow* const flow = Find(id);
  if (flow == nullptr || flow->answered) return;
  flow->spent = true;  // its pieces went to a host as they came; the first one alone is still here
  flow->rest.reset();
  flow->leaves_at = flow->sure_until = clock_.Now() + flow->allowed - kMargin;
  Count(id, *flow);
  Report(RequestBodyComplete{id, flow->leaves_at - clock_.Now()});
}

void Gateway::Begun(const std::string& id, std::size_t attempt, Reply reply,
                    std::shared_ptr<BodySource> rest) {
  Flow* const flow = Find(id);
  if (flow == nullptr || flow->answered) return rest->Abandon();
  flow->answered = true;
  flow->overdue.reset();
  flow->call.reset();
  const Millis latency = clock_.Now() - std::max(flow->attempts[attempt].sent, flow->whole_at);
  const auto answer = std::exchange(flow->answer, nullptr);
  answer({meadowyard::Answer::Kind::kServed, 0, std::move(reply), std::move(rest),
          [this, name = flow->class_name](bool whole) {
            figures_.Ended(name, whole ? Figures::End::kAnswered : Figures::End::kErrored);
          },
          true, nullptr, nullptr});
  Report(ResponseStarted{id, static_cast<int>(attempt), latency});
}

// Unlike a long answer, a tunnel may end while its client is told: the module hears of its beginning first.
void Gateway::Opened(const std::string& id, std::size_t attempt, std::unique_ptr<meadowyard::Opened> opened) {
  Flow* const flow = Find(id);
  if (flow == nullptr || flow->answered) return Ended(id, attempt, AttemptResult::kCancelled, {});
  flow->answered = true;
  flow->overdue.reset();
  flow->call.reset();
  figures_.Sent(flow->class_name);
  const Millis latency = clock_.Now() - flow->attempts[attempt].sent;
  const auto answer = std::exchange(flow->answer, nullptr);
  Report(ResponseStarted{id, static_cast<int>(attempt), latency});
  answer({meadowyard::Answer::Kind::kServed,
          0,
          {},
          nullptr,
          nullptr,
          true,
          std::move(opened),
          [this, id, attempt](TunnelEnd end) { Closed(id, attempt, end); }});
}

void Gateway::Closed(const std::string& id, std::size_t attempt, TunnelEnd end) {
  Flow* const flow = Find(id);
  if (flow == nullptr) return;
  figures_.Ended(flow->class_name, end == TunnelEnd::kEnded    ? Figures::End::kAnswered
                                   : end == TunnelEnd::kBroken ? Figures::End::kErrored
                                                               : Figures::End::kLeft);
  Ended(id, attempt, end == TunnelEnd::kBroken ? AttemptResult::kReset : AttemptResult::kServed, {});
}

std::function<void(TunnelEnd)> Gateway::AdoptTunnel(const std::string& class_name, const std::string& host) {
  figures_.Taken();
  Report(TunnelCountChanged{host, 1});
  return [this, class_name, host](TunnelEnd end) {
    figures_.Ended(class_name, end == TunnelEnd::kPassedOn ? Figures::End::kLeft : Figures::End::kAnswered);
    Report(TunnelCountChanged{host, -1});
  };
}

void Gateway::Left(const std::string& id) {
  Flow* const flow = Find(id);
  if (flow == nullptr || flow->answered) return Report(ClientDisconnected{id});
  End(*flow, Figures::End::kLeft);  // nothing is owed any more
  // What comes up from now on is not written, also where nothing may be cancelled: the first attempt that is
  // ended may be the last of the flow.
  std::vector<std::uint64_t> out;
  for (const Attempt& attempt : flow->attempts) {
    if (attempt.out) out.push_back(attempt.number);
  }
  for (const std::uint64_t number : out) upstream_.Withdraw(number);
  Report(ClientDisconnected{id});
}

void Gateway::Ended(const std::string& id, std::size_t attempt, AttemptResult result, Reply reply) {
  Flow* const flow = Find(id);
  if (flow == nullptr) return;
  flow->spent = flow->spent || (flow->rest && flow->rest->begun());
  Attempt& ended = flow->attempts[attempt];
  ended.out = false;
  AttemptOutcome outcome{id,
                         static_cast<int>(attempt),
                         ended.host,
                         result,
                         false,
                         clock_.Now() - std::max(ended.sent, std::min(flow->whole_at, clock_.Now())),
                         ParseLoad(reply.load_report, settings_.load_report_fields),
                         flow->spent || clock_.Now() >= flow->sure_until};
  if (result == AttemptResult::kServed && !flow->answered) {
    Answer(
        *flow, Figures::End::kAnswered,
        {meadowyard::Answer::Kind::kServed, 0, std::move(reply), nullptr, nullptr, true, nullptr, nullptr});
  }
  Report(std::move(outcome));
}

// The policy's own timers answer in time; this one is for when they came late.
void Gateway::Overdue(const std::string& id) {
  Flow* const flow = Find(id);
  if (flow == nullptr || flow->answered) return;
  Answer(*flow, Figures::End::kErrored, Unserved(meadowyard::Answer::Kind::kOverdue));
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
      if (const auto* const timer = std::get_if<TimerExpired>(&next)) Do(SetTimer{kTimerAgain, timer->name});
      throw;
    }
  }
}

void Gateway::Handle(const Event& event) {
  const std::string id = RequestOf(event);
  std::vector<Action> actions;
  if (const auto* const told = std::get_if<AttemptOutcome>(&event)) {
    AttemptOutcome outcome = *told;
    const Flow* const flow = Find(id);
    outcome.request_finished = flow == nullptr || flow->answered;
    policy_.Handle(clock_.Now(), outcome, actions);
  } else {
    policy_.Handle(clock_.Now(), event, actions);
  }
  for (const Action& action : actions) {
    std::visit([this](const auto& a) { Do(a); }, action);
  }
  Settle(id);
}

void Gateway::Do(const StartAttempt& send) {
  Flow* const flow = Find(send.request);
  const Millis now = clock_.Now();
  // Its client's end may lie in the socket unread: what came first, a chance to send or that end, is no
  // matter.
  if (flow != nullptr && !flow->answered && !Wanted(flow)) Left(send.request);
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
  const Millis last = index == 0 ? flow->leaves_at : flow->sure_until;
  const Millis until = send.timeout > 0 ? std::min(now + send.timeout, last) : last;
  Errand errand;
  errand.call = flow->call;
  errand.rest = flow->rest;
  errand.deadline = until;
  errand.wanted = [this, id = send.request, server = send.endpoint] {
    return Wanted(Find(id)) && policy_.IsEligible(server, id);
  };
  errand.written = [this, name = flow->class_name] { figures_.Sent(name); };
  errand.begun = [this, id = send.request, index](Reply reply, std::shared_ptr<BodySource> rest) {
    Begun(id, index, std::move(reply), std::move(rest));
  };
  if (flow->tunnel) {
    errand.opened = [this, id = send.request, index](std::unique_ptr<meadowyard::Opened> opened) {
      Opened(id, index, std::move(opened));
    };
  }
  errand.done = [this, id = send.request, index](AttemptResult result, Reply reply) {
    Ended(id, index, result, std::move(reply));
  };
  const std::uint64_t number = upstream_.Start(send.endpoint, std::move(errand));
  if (Flow* const still = Find(send.request)) still->attempts[index].number = number;
}

void Gateway::Do(const Reject& refuse) {
  Flow* const flow = Find(refuse.request);
  if (flow == nullptr) return;
  Answer(*flow, Figures::End::kDeferred, Unserved(meadowyard::Answer::Kind::kRefused, refuse.retry_after));
  Settle(refuse.request);
}

void Gateway::Do(const Fail& fail) {
  Flow* const flow = Find(fail.request);
  if (flow == nullptr) return;
  Answer(*flow, Figures::End::kErrored, Unserved(meadowyard::Answer::Kind::kFailed));
  Settle(fail.request);
}

void Gateway::Do(const CancelAttempt& cancel) {
  Flow* const flow = Find(cancel.request);
  const auto attempt = static_cast<std::size_t>(cancel.attempt);
  if (flow != nullptr && attempt < flow->attempts.size()) upstream_.Cancel(flow->attempts[attempt].number);
}

void Gateway::Do(const SetTimer& timer) {
  timers_[timer.name] = clock_.After(timer.delay, [this, name = timer.name] { Report(TimerExpired{name}); });
}

void Gateway::Do(const PollEndpoints&) { handlers_.watch(); }

void Gateway::Do(const Log& log) { handlers_.log(log); }

Gateway::Flow* Gateway::Find(const std::string& id) {
  const auto found = flows_.find(id);
  return found == flows_.end() ? nullptr : &found->second;
}

// Somebody waits for its answer.
bool Gateway::Wanted(const Flow* flow) const {
  return flow != nullptr && !flow->answered && !(flow->gone && flow->gone());
}

void Gateway::Answer(Flow& flow, Figures::End end, meadowyard::Answer answer) {
  if (flow.answered) return;
  End(flow, end);
  answer.tried = !flow.attempts.empty();
  std::exchange(flow.answer, nullptr)(std::move(answer));
}

void Gateway::End(Flow& flow, Figures::End end) {
  flow.answered = true;
  flow.overdue.reset();
  flow.call.reset();  // attempts that are still out have their own
  figures_.Ended(flow.class_name, end, flow.counted);
}

void Gateway::Settle(const std::string& id) {
  const auto found = flows_.find(id);
  if (found == flows_.end() || !found->second.answered) return;
  const auto& attempts = found->second.attempts;
  if (std::none_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.out; })) {
    flows_.erase(found);
  }
}

}  // namespace meadowyard
