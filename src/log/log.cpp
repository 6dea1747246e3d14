#include "log/log.hpp"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <limits.h>
#include <poll.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <chrono>
#include <memory>
#include <new>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace meadowyard::log {
namespace {

Format form_in_force = Format::kText;

spdlog::level::level_enum ToSpdlog(Level level) {
  switch (level) {
    case Level::kDebug: return spdlog::level::debug;
    case Level::kInfo: return spdlog::level::info;
    case Level::kWarn: return spdlog::level::warn;
    case Level::kError: return spdlog::level::err;
  }
  return spdlog::level::info;
}

const char* Name(Level level) {
  constexpr const char* kNames[] = {"debug", "info", "warn", "error"};
  return kNames[static_cast<int>(level)];
}

std::string Time();

// Standard error, which is never waited for: a reader that stalls, or a device that is full, must not hold
// the gateway up. A line is written whole or not at all; those that were not are counted.
class ErrorSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    const std::string_view line(message.payload.data(), message.payload.size());
    if (lost_ > 0 && Write(fmt::format("{} warn log_lines_lost count={}", Time(), lost_))) lost_ = 0;
    if (!Write(line)) ++lost_;
  }
  void flush_() override {}

 private:
  // What fits a pipe's least room is taken at once or not.
  static bool Write(std::string_view line) {
    std::string text(line.substr(0, PIPE_BUF - 1));
    text += '\n';
    pollfd room{STDERR_FILENO, POLLOUT, 0};
    if (::poll(&room, 1, 0) != 1 || (room.revents & POLLOUT) == 0) return false;
    return ::write(STDERR_FILENO, text.data(), text.size()) == static_cast<ssize_t>(text.size());
  }
  std::uint64_t lost_ = 0;
};

// Without a thread of its own and without locks: the gateway has one thread.
spdlog::logger& Logger() {
  static const auto logger = std::make_shared<spdlog::logger>("meadowyard", std::make_shared<ErrorSink>());
  return *logger;
}

std::string Time() {
  const auto now = std::chrono::system_clock::now();
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(std::chrono::system_clock::to_time_t(now)),
                     ms);
}

bool Plain(const std::string& value) {
  return !value.empty() && value.find_first_of(" \"=\\\n\r\t") == std::string::npos;
}

std::string Dump(const nlohmann::ordered_json& json) {  // bytes that are no UTF-8 must not end the program
  return json.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

}  // namespace

std::string FormatLine(Format form, Level level, const std::string& time, const std::string& event,
                       const Fields& fields) {
  if (form == Format::kJson) {
    nlohmann::ordered_json line = {{"time", time}, {"level", Name(level)}, {"event", event}};
    for (const auto& [name, value] : fields) line[name] = value;
    return Dump(line);
  }
  std::string line = fmt::format("{} {} {}", time, Name(level), event);
  for (const auto& [name, value] : fields) {
    line += fmt::format(" {}={}", name, Plain(value) ? value : Dump(value));
  }
  return line;
}

void StartLog(Format form, const std::string& least) {
  const Level all[] = {Level::kDebug, Level::kInfo, Level::kWarn, Level::kError};
  for (const Level level : all) {
    if (least != Name(level)) continue;
    form_in_force = form;
    Logger().set_level(ToSpdlog(level));
    return;
  }
  throw std::invalid_argument("log level '" + least + "': not debug, info, warn or error");
}

void Write(Level level, const std::string& event, const Fields& fields) {
  if (!Logger().should_log(ToSpdlog(level))) return;
  try {
    Logger().log(ToSpdlog(level), "{}", FormatLine(form_in_force, level, Time(), event, fields));
  } catch (const std::bad_alloc&) {  // the line is lost; whoever had something to say goes on
  }
}

}  // namespace meadowyard::log
