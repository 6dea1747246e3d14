// The program's log: one event name and its fields a line, as text or as JSON (through spdlog, to standard
// error).
#ifndef MEADOWYARD_LOG_LOG_HPP_
#define MEADOWYARD_LOG_LOG_HPP_

#include <string>
#include <utility>
#include <vector>

namespace meadowyard {

enum class LogLevel { kDebug, kInfo, kWarn, kError };
enum class LogForm { kText, kJson };

using LogFields = std::vector<std::pair<std::string, std::string>>;

// Before the first line; `least` is "debug", "info", "warn" or "error". Throws std::invalid_argument naming
// what it can't use.
void StartLog(LogForm form, const std::string& least);
void LogEvent(LogLevel level, const std::string& event, const LogFields& fields = {});
// The line as it is written, for tests and tools.
std::string LogLine(LogForm form, LogLevel level, const std::string& time, const std::string& event,
                    const LogFields& fields);

}  // namespace meadowyard

#endif  // MEADOWYARD_LOG_LOG_HPP_
