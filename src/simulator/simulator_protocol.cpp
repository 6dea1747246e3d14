#include "simulator/simulator_protocol.hpp"

#include <limits>
#include <variant>

namespace meadowyard::simulator {
namespace {

constexpr std::string_view kAbsent = "-";
constexpr int kTimeDecimals = 3;  // digits after the decimal point of a time in milliseconds

// Result codes of the protocol.
enum ResultCode {
  kServedCode = 10,
  kErrorCode = 20,
  kRejectedCode = 30,
  kTimedOutCode = 40,
  kConnectFailedCode = 50,
  kResetCode = 60,
  kCancelledCode = 70,
  kNotSentCode = 80,
};

void AppendTime(std::string& output, Millis value) {
  char buffer[32];
  const auto [end, error] =
      std::to_chars(buffer, buffer + sizeof buffer, value, std::chars_format::fixed, kTimeDecimals);
  output.append(buffer, end);
}

// These texts are part of the protocol's output and must not change.
std::string ToText(const Log& entry) {
  switch (entry.event) {
    case Log::Event::kEndpointEjected: return "server " + entry.endpoint + " not ready: failing";
    case Log::Event::kEndpointRestored: return "server " + entry.endpoint + " ready again";
    case Log::Event::kMaintenanceStarted: return "server " + entry.endpoint + " left out by hand";
    case Log::Event::kMaintenanceEnded: return "server " + entry.endpoint + " put back by hand";
    case Log::Event::kDispatchRateReduced: return "rate cut to " + std::to_string(entry.rate_per_s) + "/s";
  }
  return {};
}

struct ActionPrinter {
  std::string& output;

  void operator()(const StartAttempt& action) {
    output += "PASS_ON " + action.request + ' ' + action.endpoint + ' ';
    AppendTime(output, action.timeout);
  }
  void operator()(const Reject& action) {
    output += "PUSH_BACK " + action.request + ' ';
    AppendTime(output, action.retry_after);
  }
  void operator()(const Fail& action) { output += "ERROR " + action.request; }
  void operator()(const CancelAttempt& action) {
    output += "UNDO_SEND " + action.request + ' ' + std::to_string(action.attempt);
  }
  void operator()(const SetTimer& action) {
    output += "AFTER ";
    AppendTime(output, action.delay);
    output += ' ' + action.name;
  }
  void operator()(const PollEndpoints&) { output += "LISTEN 1"; }
  void operator()(const Log& entry) { output += "PRINT " + ToText(entry); }
};

EndpointState ParseState(std::string_view health) {
  if (health == "up") return EndpointState::kUp;
  if (health == "draining") return EndpointState::kDraining;
  if (health == "removed") return EndpointState::kRemoved;
  throw SimulatorProtocolError("unknown health '" + std::string(health) + "'");
}

}  // namespace

void Split(std::string_view text, char separator, Words& words) {
  words.clear();
  std::size_t end = text.find(separator);
  while (end != std::string_view::npos) {
    words.push_back(text.substr(0, end));
    text.remove_prefix(end + 1);
    end = text.find(separator);
  }
  words.push_back(text);
}

std::string_view OptionalWord(const Words& words, std::size_t index) {
  const bool is_present = index < words.size() && words[index] != kAbsent;
  return is_present ? words[index] : std::string_view();
}

std::string_view RequiredWord(const Words& words, std::size_t index, const char* word_name) {
  const std::string_view text = OptionalWord(words, index);
  if (text.empty()) throw SimulatorProtocolError(std::string(words[0]) + " lacks its " + word_name);
  return text;
}

bool ParseFlag(std::string_view text, const char* word_name) {
  if (text == "1" || text == "true") return true;
  if (text == "0" || text == "false") return false;
  throw SimulatorProtocolError(std::string(word_name) + " is not a flag: '" + std::string(text) + "'");
}

AttemptResult ParseResult(std::string_view code) {
  switch (ParseNumber<int>(code, "rc")) {
    case kServedCode: return AttemptResult::kServed;
    case kErrorCode: return AttemptResult::kError;
    case kRejectedCode: return AttemptResult::kRejected;
    case kTimedOutCode: return AttemptResult::kTimedOut;
    case kConnectFailedCode: return AttemptResult::kConnectFailed;
    case kResetCode: return AttemptResult::kReset;
    case kCancelledCode: return AttemptResult::kCancelled;
    case kNotSentCode: return AttemptResult::kNotSent;
    default: throw SimulatorProtocolError("unknown rc " + std::string(code));
  }
}

std::vector<double> ParseLoad(std::string_view text) {
  std::vector<double> load;
  if (text.empty()) return load;
  Words values;
  Split(text, ',', values);
  for (const std::string_view value : values) {
    const bool is_absent = value == kAbsent;
    load.push_back(is_absent ? std::numeric_limits<double>::quiet_NaN()
                             : ParseNumber<double>(value, "load report"));
  }
  return load;
}

Endpoint ParseEndpoint(const Words& words) {
  Endpoint endpoint;
  endpoint.id = RequiredWord(words, 1, "host");
  endpoint.zone = OptionalWord(words, 2);
  endpoint.kind = OptionalWord(words, 3);
  endpoint.cell = OptionalWord(words, 4);
  endpoint.state = ParseState(RequiredWord(words, 5, "health"));
  endpoint.weight = OptionalNumber(words, 6, "weight", 1.0);
  endpoint.started_at = OptionalNumber(words, 7, "sinceMs", 0.0);
  return endpoint;
}

void PrintAction(const Action& action, std::string& output) {
  std::visit(ActionPrinter{output}, action);
  output += '\n';
}

}  // namespace meadowyard::simulator
