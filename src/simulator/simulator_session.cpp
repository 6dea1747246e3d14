#include "simulator/simulator_session.hpp"

#include <algorithm>
#include <exception>
#include <iterator>
#include <utility>

#include "meadowyard/error.hpp"
#include "simulator/settings_parser.hpp"

namespace meadowyard::simulator {
namespace {

constexpr unsigned kRetryOption = 2;  // this bit of a request's options marks a retry

std::string Quoted(std::string_view text) { return "'" + std::string(text) + "'"; }

std::string RequiredText(const Words& words, std::size_t index, const char* word_name) {
  return std::string(RequiredWord(words, index, word_name));
}

}  // namespace

const SimulatorSession::EventHandler SimulatorSession::kEventHandlers[] = {
    {"KNOCK", &SimulatorSession::HandleRequest},
    {"COMPLETED", &SimulatorSession::HandleOutcome},
    {"FIRED", &SimulatorSession::HandleTimer},
    {"EXPIRED", &SimulatorSession::HandleDisconnect},
    {"REGISTRY", &SimulatorSession::HandleEndpointUpdate},
    {"FLOWING", &SimulatorSession::HandleResponseStarted},
    {"ECHO", &SimulatorSession::HandleProbeAnswer},
    {"CRASH_NOW", &SimulatorSession::HandleCrash},
    {"MESSAGE", &SimulatorSession::HandleMessage},
};

void SimulatorSession::ConsumeLine(std::string_view line) {
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  Split(line, ' ', words_);
  const std::string_view word = words_[0];
  if (entries_due_ > 0 && word != "ENTRY") {
    throw SimulatorProtocolError("ENTRY lines missing before " + Quoted(word));
  }
  if (word == "TURN") return BeginBatch(words_);
  if (!in_batch_) throw SimulatorProtocolError(Quoted(word) + " outside a batch");
  if (word == "EOF_BATCH") return EndBatch();
  if (word == "SNAPSHOT_ROWS") return BeginList(words_);
  if (word == "ENTRY") return AddToList(words_);
  if (word == "INSTANCE") {
    instance_ = RequiredNumber<std::int64_t>(words_, 1, "number");
    return;
  }
  HandleEvent(words_);
}

std::string SimulatorSession::TakeReply() { return std::exchange(reply_, {}); }

void SimulatorSession::BeginBatch(const Words& words) {
  if (in_batch_) throw SimulatorProtocolError("TURN inside a batch");
  now_ = RequiredNumber<double>(words, 1, "clock");
  in_batch_ = true;
  instance_.reset();
}

void SimulatorSession::EndBatch() {
  in_batch_ = false;
  reply_instance_.reset();
  reply_ = std::move(body_);
  body_.clear();
  reply_ += "OK\n";
}

void SimulatorSession::BeginList(const Words& words) {
  open_list_ = RequiredNumber<std::size_t>(words, 1, "list");
  if (open_list_ >= lists_.size()) throw SimulatorProtocolError("list number above 15");
  lists_[open_list_].clear();
  entries_due_ = RequiredNumber<std::size_t>(words, 2, "lines");
}

void SimulatorSession::AddToList(const Words& words) {
  if (entries_due_ == 0) throw SimulatorProtocolError("ENTRY outside a list");
  lists_[open_list_].push_back(ParseEndpoint(words));
  --entries_due_;
}

void SimulatorSession::HandleEvent(const Words& words) {
  const std::string_view word = words[0];
  if (!instance_) throw SimulatorProtocolError(Quoted(word) + " before any INSTANCE");
  if (word == "CREATE") return HandleCreate(words);
  if (!policies_.contains(*instance_)) {
    throw SimulatorProtocolError("instance " + std::to_string(*instance_) + " does not exist");
  }
  const auto handler = std::find_if(std::begin(kEventHandlers), std::end(kEventHandlers),
                                    [word](const EventHandler& candidate) { return candidate.word == word; });
  if (handler == std::end(kEventHandlers)) throw SimulatorProtocolError("unknown message " + Quoted(word));
  (this->*handler->handle)(words);
}

void SimulatorSession::HandleCreate(const Words& words) {
  const auto seed = RequiredNumber<std::uint64_t>(words, 1, "nonce64");
  policies_.erase(*instance_);
  try {
    policies_.try_emplace(*instance_, ParseSettings(Words(words.begin() + 2, words.end())), seed);
  } catch (const ConfigurationError& error) {
    throw SimulatorProtocolError(std::string("settings that cannot work: ") + error.what());
  }
}

void SimulatorSession::HandleRequest(const Words& words) {
  Request request;
  request.id = RequiredWord(words, 1, "ticket");
  request.class_name = RequiredWord(words, 2, "qos");
  request.tenant = OptionalWord(words, 3);
  request.key = OptionalWord(words, 4);
  request.time_left = RequiredNumber<double>(words, 5, "graceMs");
  request.is_retry = (OptionalNumber<unsigned>(words, 7, "opts", 0) & kRetryOption) != 0;
  Deliver(request);
}

void SimulatorSession::HandleOutcome(const Words& words) {
  AttemptOutcome outcome;
  outcome.request = RequiredWord(words, 1, "ticket");
  outcome.attempt = RequiredNumber<int>(words, 2, "trial");
  outcome.endpoint = RequiredWord(words, 3, "host");
  outcome.result = ParseResult(RequiredWord(words, 4, "rc"));
  outcome.request_finished = ParseFlag(RequiredWord(words, 5, "ended"), "ended");
  outcome.latency = OptionalNumber(words, 6, "costTimeMs", 0.0);
  outcome.load = ParseLoad(OptionalWord(words, 7));
  Deliver(outcome);
}

void SimulatorSession::HandleTimer(const Words& words) {
  Deliver(TimerExpired{RequiredText(words, 1, "keyBack")});
}

void SimulatorSession::HandleDisconnect(const Words& words) {
  Deliver(ClientDisconnected{RequiredText(words, 1, "ticket")});
}

void SimulatorSession::HandleEndpointUpdate(const Words& words) {
  const std::string_view kind = RequiredWord(words, 3, "kind");
  EndpointUpdate update;
  if (kind == "X") {
    update.kind = EndpointUpdate::Kind::kFailed;
  } else if (kind == "D" || kind == "F" || kind == "C") {
    const auto list = RequiredNumber<std::size_t>(words, 1, "list");
    if (list >= lists_.size()) throw SimulatorProtocolError("list number above 15");
    update.kind = kind == "D" ? EndpointUpdate::Kind::kDelta : EndpointUpdate::Kind::kSnapshot;
    update.endpoints = lists_[list];
  } else {
    throw SimulatorProtocolError("unknown list kind " + Quoted(kind));
  }
  Deliver(update);
}

void SimulatorSession::HandleResponseStarted(const Words& words) {
  ResponseStarted started;
  started.request = RequiredWord(words, 1, "ticket");
  started.attempt = RequiredNumber<int>(words, 3, "trial");
  started.latency = OptionalNumber(words, 4, "costTimeMs", 0.0);
  Deliver(started);
}

// The decision module sends no probes of its own: the line is checked and ignored.
void SimulatorSession::HandleProbeAnswer(const Words& words) {
  static_cast<void>(ParseResult(RequiredWord(words, 2, "rc")));
  static_cast<void>(OptionalNumber(words, 3, "costTimeMs", 0.0));
  static_cast<void>(ParseLoad(OptionalWord(words, 4)));
}

void SimulatorSession::HandleCrash(const Words& /*words*/) { policies_.erase(*instance_); }

// Simulated gateways exchange no messages: the line is checked and ignored.
void SimulatorSession::HandleMessage(const Words& words) {
  static_cast<void>(RequiredNumber<std::int64_t>(words, 1, "by"));
}

void SimulatorSession::Deliver(const Event& event) {
  actions_.clear();
  std::optional<std::string> fault;
  try {
    policies_.at(*instance_).Handle(now_, event, actions_);
  } catch (const std::exception& error) {
    actions_.clear();
    fault = error.what();
  }
  if (actions_.empty() && !fault) return;
  if (reply_instance_ != instance_) body_ += "CONTEXT " + std::to_string(*instance_) + "\n";
  reply_instance_ = instance_;
  for (const Action& action : actions_) PrintAction(action, body_);
  if (fault) body_ += "BAIL_OUT " + *fault + "\n";
}

}  // namespace meadowyard::simulator
