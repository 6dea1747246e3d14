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

Format active_format = Format::kText;

spdlog::level::level_enum ToSpdlog(Level level) {
  switch (level) {
    case Level::kDebug: return spdlog::level::debug;
    case Level::kInfo: return spdlog::level::info;
    case Level::kWarn: return spdlog::level::warn;
    case Level::kError: return spdlog::level::err;
  }
  return spdlog::level::info;
}

const char* LevelName(Level level) {
  constexpr const char* kNames[] = {"debug", "info", "warn", "error"};
  return kNames[static_cast<int>(level)];
}

std::string FormatCurrentTime();

// Writes to standard error without ever blocking: a stalled reader or a full device must not block the
// gateway. A line is written completely or dropped; the next line that can be written is preceded by the
// number of dropped lines.
class NonBlockingStderrSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    const std::string_view line(message.payload.data(), message.payload.size());
    if (dropped_lines_ > 0 &&
        Write(fmt::format("{} warn log_lines_lost count={}", FormatCurrentTime(), dropped_lines_)))
      dropped_lines_ = 0;
    if (!Write(line)) ++dropped_lines_;
  }
  void flush_() override {}

 private:
  // A write of at most PIPE_BUF bytes to a pipe is atomic, so longer lines are truncated.
  static bool Write(std::string_view line) {
    std::string text(line.substr(0, PIPE_BUF - 1));
    text += '\n';
    pollfd descriptor{STDERR_FILENO, POLLOUT, 0};
    if (::poll(&descriptor, 1, 0) != 1 || (descriptor.revents & POLLOUT) == 0) return false;
    return ::write(STDERR_FILENO, text.data(), text.size()) == static_cast<ssize_t>(text.size());
  }
  std::uint64_t dropped_lines_ = 0;
};

// Uses neither a background thread nor locks: the gateway has a single thread.
spdlog::logger& Logger() {
  static const auto logger =
      std::make_shared<spdlog::logger>("meadowyard", std::make_shared<NonBlockingStderrSink>());
  return *logger;
}

std::string FormatCurrentTime() {
  const auto now = std::chrono::system_clock::now();
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(std::chrono::system_clock::to_time_t(now)),
                     ms);
}

bool IsPlainValue(const std::string& value) {
  return !value.empty() && value.find_first_of(" \"=\\\n\r\t") == std::string::npos;
}

// Replaces invalid UTF-8, which would otherwise throw an exception and end the program.
std::string DumpReplacingInvalidUtf8(const nlohmann::ordered_json& json) {
  return json.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

}  // namespace

std::string FormatLine(Format line_format, Level level, const std::string& time, const std::string& event,
                       const Fields& fields) {
  if (line_format == Format::kJson) {
    nlohmann::ordered_json line = {{"time", time}, {"level", LevelName(level)}, {"event", event}};
    for (const auto& [name, value] : fields) line[name] = value;
    return DumpReplacingInvalidUtf8(line);
  }
  std::string line = fmt::format("{} {} {}", time, LevelName(level), event);
  for (const auto& [name, value] : fields) {
    line += fmt::format(" {}={}", name, IsPlainValue(value) ? value : DumpReplacingInvalidUtf8(value));
  }
  return line;
}

void StartLog(Format line_format, const std::string& min_level) {
  const Level levels[] = {Level::kDebug, Level::kInfo, Level::kWarn, Level::kError};
  for (const Level level : levels) {
    if (min_level != LevelName(level)) continue;
    active_format = line_format;
    Logger().set_level(ToSpdlog(level));
    return;
  }
  throw std::invalid_argument("log level '" + min_level + "': must be debug, info, warn or error");
}

bool IsWritten(Level level) { return Logger().should_log(ToSpdlog(level)); }

void Write(Level level, const std::string& event, const Fields& fields) {
  if (!IsWritten(level)) return;
  try {
    Logger().log(ToSpdlog(level), "{}", FormatLine(active_format, level, FormatCurrentTime(), event, fields));
  } catch (const std::bad_alloc&) {  // drops the line: lack of memory must not stop the caller
  }
}

}  // namespace meadowyard::log
