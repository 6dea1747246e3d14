#include "gateway.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <limits>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>
#include <variant>

#include "clock.hpp"

namespace opalswitch::gateway {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr Millis kMargin = 10;     // before a client leaves: answers travel, and timers may come late
constexpr Millis kLastMargin = 4;  // before it leaves: what the policy has not answered by then is failed
constexpr Millis kFlush = 200;     // for the last answers to leave
constexpr Millis kAskAgain = 200;  // where lists are pushed: from a call that failed to the next
constexpr std::size_t kSpareSockets = 24;  // listener, discovery, standard streams, the loop's own, and room
constexpr std::size_t kAdminSockets = 20;  // operators' listener, their calls and one that is being accepted
constexpr double kHostShare = 0.45;  // of the descriptors left; an attempt out holds one, as its client does
constexpr double kUsualShare = 0.3;  // of all descriptors: clients hold a third of them at the most
constexpr double kBodyShare = 0.15;  // of the memory: bodies are held twice while they are passed on
constexpr std::size_t kOwnSockets = 16;  // that a process holds beside those of clients and hosts, about
constexpr double kAttemptsPerMb = 6;     // of memory; one that streams both ways holds about 100 KiB
constexpr double kMostLoad = 1e6;        // no host can report more of anything

// Descriptors that may be used for clients and hosts, by the configuration and by the system.
// `others` are held by another process of this gateway.
std::size_t Usable(const Config& config, std::size_t others = 0) {
  rlimit limit{};
  std::size_t all = config.sockets;
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY) {
    all = std::min<std::size_t>(config.sockets, limit.rlim_cur);
  }
  const std::size_t spare = kSpareSockets + (config.admin ? kAdminSockets : 0);
  const std::size_t usable = all > 2 * spare ? all - spare : all / 2;
  return std::max(usable / 4, usable - std::min(usable, others));
}

std::size_t HostSockets(const Config& config, std::size_t others = 0) {
  const double by_descriptors = static_cast<double>(Usable(config, others)) * kHostShare;
  const double by_memory = config.memory_mb * kAttemptsPerMb - static_cast<double>(others);
  return static_cast<std::size_t>(std::max(1.0, std::min(by_descriptors, by_memory)));
}

// The module is told how many attempts there are descriptors for.
Settings Fitted(const Config& config, std::size_t others = 0) {
  Settings settings = config.settings;
  settings.most_out = static_cast<int>(HostSockets(config, others));
  return settings;
}

ClientLimits LimitsFor(const Config& config, std::size_t others = 0) {
  ClientLimits limits;
  const std::size_t usable = Usable(config, others), hosts = HostSockets(config, others);
  limits.sessions = usable > hosts ? usable - hosts : 1;
  limits.usual = static_cast<std::size_t>(static_cast<double>(config.sockets) * kUsualShare);
  limits.body_bytes = static_cast<std::uint64_t>(std::max(1.0, config.memory_mb * kBodyShare) * (1 << 20));
  return limits;
}

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

std::string Seconds(Millis ms) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f", ms / 1000);
  return text;
}

ServerNews ToNews(const HostList& list) {
  ServerNews news;
  news.kind = list.complete ? ServerNews::Kind::kFull : ServerNews::Kind::kDelta;
  for (const Host& host : list.hosts) news.servers.push_back(host.server);
  return news;
}

// The request that an event is about; empty if it is about none.
std::string RequestOf(const Event& event) {
  if (const auto* request = std::get_if<Request>(&event)) return request->id;
  if (const auto* outcome = std::get_if<Outcome>(&event)) return outcome->request;
  if (const auto* gone = std::get_if<ClientGone>(&event)) return gone->request;
  return {};
}

}  // namespace

// Hosts and clients have descriptors of their own: both sides together stay under the limit.
Gateway::Gateway(asio::io_context& io, const Config& config, std::optional<Inheritance> inheritance,
                 std::optional<GatewayState> state)
    : io_(io),
      settings_(Fitted(config, state ? state->descriptors : 0)),
      policy_(settings_, config.seed),
      hosts_(io, {config.dial_timeout, config.idle_timeout, static_cast<std::size_t>(settings_.most_out)},
             {[this](const std::string& host) { return policy_.may_use(host); }}),
      discovery_(io, config.discovery,
                 !state                  ? std::optional(config.known.revision)
                 : state->revision_known ? std::optional(state->hosts.revision)
                                         : std::nullopt,
                 {[this](const HostList& list) { Told(list); }, [this] { ListFailed(); }}),
      config_(config),
      file_(config.file),
      others_(state ? state->descriptors : 0),
      stop_(io),
      ask_again_(io),
      clients_(
          io, {config.listen, config.admin.has_value(), inheritance ? inheritance->listener.release() : -1},
          LimitsFor(config, others_),
          {[this] { return listed_ && !stopping_; },
           [this](const std::string& name, Effect effect) { return policy_.admits(Now(), name, effect); },
           [this](ClientRequest request) { Take(std::move(request)); },
           [this](const std::string& id) { Whole(id); }, [this](const std::string& id) { Left(id); }}) {
  figures_.Know(settings_.classes);
  if (config.admin) {
    admin_.emplace(
        io, *config.admin, AdminServer::Limits(),
        AdminServer::Handlers{[this] { return listed_ && !stopping_; },
                              [this] { return figures_.ToJson(policy_.census()); },
                              [this](const std::string& host, bool out) { return Maintain(host, out); }});
    succession_.emplace(io, config.handover, inheritance ? std::move(inheritance->link) : Descriptor(),
                        SuccessionHandlers());
  }
  Told(state ? state->hosts : config.known);
  if (state) Report(std::move(state->learned));
  if (!settings_.ask_for_list) discovery_.Watch();
}

Succession::Handlers Gateway::SuccessionHandlers() {
  return {
      [this] { return StateText(); },
      [this] { return clients_.listener(); },
      [this] { return clients_.sessions() + hosts_.connections() + kOwnSockets; },
      [this] { HandOver(); },
      [this] { TakeBack(); },
      [this](std::size_t others) { Share(others); },
      [this](std::string_view unread, Descriptor socket) { clients_.Adopt(socket.release(), unread); },
      [this](const std::string& host, const asio::ip::tcp::endpoint& address, Descriptor socket) {
        hosts_.Adopt(host, address, socket.release());
      },
      [this](const std::string& host, bool out) { Maintained(host, out); },
  };
}

std::string Gateway::StateText() {
  GatewayState state;
  state.file = file_->dump();
  state.discovery = ToText(discovery_.address());
  state.revision_known = discovery_.revision().has_value();
  state.hosts.revision = discovery_.revision().value_or(0);
  for (const auto& [id, host] : list_) state.hosts.hosts.push_back(host);
  state.learned = policy_.recall();
  state.descriptors = clients_.sessions() + hosts_.connections() + kOwnSockets;
  return ToText(state);
}

void Gateway::HandOver() {
  clients_.HandOver(
      [this](int socket, std::string_view unread) { return succession_->PassClient(socket, unread); });
  hosts_.PassIdle([this](const std::string& host, const asio::ip::tcp::endpoint& address, int socket) {
    return succession_->PassHost(host, address, socket);
  });
}

void Gateway::TakeBack() {
  hosts_.PassIdle(nullptr);
  clients_.TakeBack();
}

void Gateway::Share(std::size_t others) {
  if (others == std::exchange(others_, others)) return;
  const ClientLimits limits = LimitsFor(config_, others_);
  clients_.SetPlaces(limits.sessions, limits.usual);
  settings_.most_out = static_cast<int>(HostSockets(config_, others_));
  hosts_.SetMost(static_cast<std::size_t>(settings_.most_out));
  Report(SettingsChanged{settings_});
}

void Gateway::Reload(const Config& config) {
  file_ = config.file;
  settings_ = config.settings;
  settings_.most_out = static_cast<int>(HostSockets(config_, others_));
  hosts_.SetTimes(config.dial_timeout, config.idle_timeout);
  figures_.Know(settings_.classes);
  figures_.Configured(true);
  Report(SettingsChanged{settings_});
  discovery_.Move(config.discovery);
}

bool Gateway::Maintain(const std::string& host, bool out) {
  if (!policy_.knows(host)) return false;
  Maintained(host, out);
  succession_->Maintained(host, out);
  return true;
}

void Gateway::Maintained(const std::string& host, bool out) {
  if (!out) return Report(ServerBack{host});
  Report(ServerOut{host});
  hosts_.Rest(host);
}

void Gateway::Take(ClientRequest request) {
  if (flows_.contains(request.id)) {  // two answers for one id could not be told apart
    HttpResponse response(http::status::conflict, 11);
    response.body() = "Req-Id is in use\n";
    response.keep_alive(false);
    return request.answer({std::move(response), nullptr, nullptr});
  }
  Flow& flow = flows_.try_emplace(request.id, io_).first->second;
  flow.http = std::make_shared<const HttpRequest>(std::move(request.http));
  flow.answer = std::move(request.answer);
  flow.class_name = request.class_name;
  flow.rest = std::move(request.rest);
  flow.allowed = request.allowed;
  flow.leaves_at = request.received + request.allowed - kMargin;
  const bool coming = flow.rest != nullptr;
  if (!coming) Count(request.id, flow);
  Report(Request{request.id, request.class_name, request.tenant, request.key, flow.leaves_at - Now(),
                 request.retry, coming, request.effect});
}

void Gateway::Count(const std::string& id, Flow& flow) {
  flow.counted = true;
  flow.whole_at = Now();
  figures_.Taken();
  flow.overdue.expires_after(Span(flow.leaves_at + kMargin - kLastMargin - Now()));
  flow.overdue.async_wait([this, id](error_code ec) {
    if (!ec) Overdue(id);
  });
}

void Gateway::Whole(const std::string& id) {
  Flow* const flow = Find(id);
  if (flow == nullptr || flow->answered) return;
  flow->rest.reset();
  flow->leaves_at = Now() + flow->allowed - kMargin;
  Count(id, *flow);
  Report(RequestWhole{id, flow->leaves_at - Now()});
}

void Gateway::Begun(const std::string& id, std::size_t attempt, HttpResponse response,
                    std::shared_ptr<BodySource> rest) {
  Flow* const flow = Find(id);
  if (flow == nullptr || flow->answered) return rest->Abandon();
  flow->answered = true;
  flow->overdue.cancel();
  flow->http.reset();
  StripHopByHop(response);
  response.erase("Srv-Load");
  const Millis latency = Now() - std::max(flow->attempts[attempt].sent, flow->whole_at);
  const auto answer = std::exchange(flow->answer, nullptr);
  answer({std::move(response), std::move(rest), [this, name = flow->class_name](bool whole) {
            figures_.Ended(name, whole ? Figures::End::kAnswered : Figures::End::kErrored);
          }});
  Report(StreamStarted{id, static_cast<int>(attempt), latency});
}

void Gateway::Left(const std::string& id) {
  Flow* const flow = Find(id);
  if (flow != nullptr && !flow->answered) End(*flow, Figures::End::kLeft);  // nothing is owed any more
  Report(ClientGone{id});
}

void Gateway::Told(const HostList& list) {
  hosts_.Update(list);  // first: nothing may be sent by the old list any more
  if (list.complete) list_.clear();
  for (const Host& host : list.hosts) {
    if (host.server.state == ServerState::kGone) {
      list_.erase(host.server.id);
    } else {
      list_[host.server.id] = host;
    }
  }
  listed_ = listed_ || !list.hosts.empty();
  Report(ToNews(list));
  if (listed_ && succession_) succession_->Serve();
}

void Gateway::ListFailed() {
  Report(ServerNews{ServerNews::Kind::kFailed, {}});
  if (settings_.ask_for_list) return;  // the policy says when to ask again
  ask_again_.expires_after(Span(kAskAgain));
  ask_again_.async_wait([this](error_code ec) {
    if (!ec) discovery_.Watch();
  });
}

void Gateway::Ended(const std::string& id, std::size_t attempt, Result result, HttpResponse response) {
  Flow* const flow = Find(id);
  if (flow == nullptr) return;
  flow->spent = flow->spent || (flow->rest && flow->rest->begun());
  Attempt& ended = flow->attempts[attempt];
  ended.out = false;
  const auto report = response["Srv-Load"];
  Outcome outcome{id,
                  static_cast<int>(attempt),
                  ended.host,
                  result,
                  false,
                  Now() - std::max(ended.sent, std::min(flow->whole_at, Now())),
                  ParseLoad({report.data(), report.size()}, settings_.report_fields),
                  flow->spent};
  if (result == Result::kServed && !flow->answered) {
    StripHopByHop(response);
    response.erase("Srv-Load");
    Answer(*flow, Figures::End::kAnswered, std::move(response));
  }
  Report(std::move(outcome));
}

// The policy's own timers answer in time; this one is for when they came late.
void Gateway::Overdue(const std::string& id) {
  Flow* const flow = Find(id);
  if (flow == nullptr || flow->answered) return;
  Answer(*flow, Figures::End::kErrored, HttpResponse(http::status::gateway_timeout, 11));
  Report(ClientGone{id});
}

void Gateway::Report(Event event) {
  events_.push_back(std::move(event));
  if (reporting_) return;
  reporting_ = true;
  std::vector<Action> actions;
  while (!events_.empty()) {
    Event next = std::move(events_.front());
    events_.pop_front();
    const std::string id = RequestOf(next);
    if (auto* const outcome = std::get_if<Outcome>(&next)) {
      const Flow* const flow = Find(id);
      outcome->finished = flow == nullptr || flow->answered;
    }
    actions.clear();
    policy_.handle(Now(), next, actions);
    for (const Action& action : actions) {
      std::visit([this](const auto& a) { Do(a); }, action);
    }
    Settle(id);
  }
  reporting_ = false;
}

void Gateway::Do(const Send& send) {
  Flow* const flow = Find(send.request);
  const Millis now = Now();
  // A request that is over, or one attempt too many, is never sent, whatever was decided a moment ago.
  if (flow == nullptr || flow->answered ||
      static_cast<int>(flow->attempts.size()) >= settings_.max_attempts) {
    const int attempt = flow == nullptr ? 0 : static_cast<int>(flow->attempts.size());
    if (flow != nullptr) flow->attempts.push_back({send.server, now, 0, false});
    return Report(Outcome{send.request, attempt, send.server, Result::kNotSent, true, 0, {}});
  }
  const std::size_t index = flow->attempts.size();
  flow->attempts.push_back({send.server, now});
  const Millis until = send.timeout > 0 ? std::min(now + send.timeout, flow->leaves_at) : flow->leaves_at;
  HostPool::Errand errand;
  errand.request = flow->http;
  errand.rest = flow->rest;
  errand.deadline = until;
  errand.written = [this, name = flow->class_name] { figures_.Sent(name); };
  errand.begun = [this, id = send.request, index](HttpResponse response, std::shared_ptr<BodySource> rest) {
    Begun(id, index, std::move(response), std::move(rest));
  };
  errand.done = [this, id = send.request, index](Result result, HttpResponse response) {
    Ended(id, index, result, std::move(response));
  };
  const std::uint64_t number = hosts_.Start(send.server, std::move(errand));
  if (Flow* const still = Find(send.request)) still->attempts[index].number = number;
}

void Gateway::Do(const Refuse& refuse) {
  Flow* const flow = Find(refuse.request);
  if (flow == nullptr) return;
  HttpResponse response(http::status::service_unavailable, 11);
  if (refuse.retry_after > 0) response.set(http::field::retry_after, Seconds(refuse.retry_after));
  Answer(*flow, Figures::End::kDeferred, std::move(response));
  Settle(refuse.request);
}

void Gateway::Do(const Fail& fail) {
  Flow* const flow = Find(fail.request);
  if (flow == nullptr) return;
  Answer(*flow, Figures::End::kErrored, HttpResponse(http::status::bad_gateway, 11));
  Settle(fail.request);
}

void Gateway::Do(const Cancel& cancel) {
  Flow* const flow = Find(cancel.request);
  const auto attempt = static_cast<std::size_t>(cancel.attempt);
  if (flow != nullptr && attempt < flow->attempts.size()) hosts_.Cancel(flow->attempts[attempt].number);
}

void Gateway::Do(const SetTimer& timer) {
  const auto wait = std::make_shared<asio::steady_timer>(io_, Span(timer.delay));
  wait->async_wait([this, wait, name = timer.name](error_code ec) {
    if (!ec) Report(TimerDue{name});
  });
}

void Gateway::Do(const Watch&) { discovery_.Watch(); }

void Gateway::Do(const Log& log) { std::fprintf(stderr, "%s\n", log.text.c_str()); }

Gateway::Flow* Gateway::Find(const std::string& id) {
  const auto found = flows_.find(id);
  return found == flows_.end() ? nullptr : &found->second;
}

void Gateway::Answer(Flow& flow, Figures::End end, HttpResponse response) {
  if (flow.answered) return;
  End(flow, end);
  std::exchange(flow.answer, nullptr)({std::move(response), nullptr, nullptr});
}

void Gateway::End(Flow& flow, Figures::End end) {
  flow.answered = true;
  flow.overdue.cancel();
  flow.http.reset();  // attempts that are still out have their own
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

// SIGKILL comes 700 ms after the longest deadline, which counts as 3 s where it is longer.
void Gateway::Stop(std::function<void()> done) {
  Millis longest = 0;
  for (const ClassSettings& c : settings_.classes) longest = std::max(longest, c.deadline);
  const Millis sooner = 3000 - std::min(3000.0, longest);
  StopTimes times;
  times.answer = std::max(times.accept, times.answer - sooner);
  times.serve = std::max(times.accept, times.serve - sooner);
  Stop(std::move(done), times);
}

void Gateway::Stop(std::function<void()> done, StopTimes times) {
  if (std::exchange(stopping_, true)) return;
  const auto after = [this](Millis wait, auto next) {
    stop_.expires_after(Span(wait));
    stop_.async_wait([next = std::move(next)](error_code) { next(); });
  };
  const auto fail_rest = [this, after, done] {
    std::vector<std::string> left;
    for (const auto& [id, flow] : flows_) left.push_back(id);
    for (const std::string& id : left) Overdue(id);
    after(kFlush, done);
  };
  const auto drain = [this, after, done, times, fail_rest] {
    clients_.Drain(done);
    after(times.answer - times.serve, fail_rest);
  };
  // The next process takes what comes; here only what was taken is finished.
  if (succession_ && succession_->succeeded()) {
    clients_.Drain(done);
    return after(times.answer, fail_rest);
  }
  after(times.accept, [this, after, times, drain] {
    clients_.StopListening();
    after(times.serve - times.accept, drain);
  });
}

}  // namespace opalswitch::gateway
