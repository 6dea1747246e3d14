#include "log/log.hpp"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace meadowyard {
namespace {

LogForm form_in_force = LogForm::kText;

spdlog::level::level_enum ToSpdlog(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug: return spdlog::level::debug;
    case LogLevel::kInfo: return spdlog::level::info;
    case LogLevel::kWarn: return spdlog::level::warn;
    case LogLevel::kError: return spdlog::level::err;
  }
  return spdlog::level::info;
}

const char* Name(LogLevel level) {
  constexpr const char* kNames[] = {"debug", "info", "warn", "error"};
  return kNames[static_cast<int>(level)];
}

// Without a thread of its own and without locks: the gateway has one thread.
spdlog::logger& Logger() {
  static const auto logger = [] {
    auto made =
        std::make_shared<spdlog::logger>("meadowyard", std::make_shared<spdlog::sinks::stderr_sink_st>());
    made->set_pattern("%v");
    made->flush_on(spdlog::level::debug);
    return made;
  }();
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

std::string LogLine(LogForm form, LogLevel level, const std::string& time, const std::string& event,
                    const LogFields& fields) {
  if (form == LogForm::kJson) {
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

void StartLog(LogForm form, const std::string& least) {
  const LogLevel all[] = {LogLevel::kDebug, LogLevel::kInfo, LogLevel::kWarn, LogLevel::kError};
  for (const LogLevel level : all) {
    if (least != Name(level)) continue;
    form_in_force = form;
    Logger().set_level(ToSpdlog(level));
    return;
  }
  throw std::invalid_argument("log level '" + least + "': not debug, info, warn or error");
}

void LogEvent(LogLevel level, const std::string& event, const LogFields& fields) {
  if (!Logger().should_log(ToSpdlog(level))) return;
  Logger().log(ToSpdlog(level), "{}", LogLine(form_in_force, level, Time(), event, fields));
}

}  // namespace meadowyard
