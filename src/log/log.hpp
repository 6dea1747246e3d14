// The program's log: one event name and its fields a line, as text or as JSON (through spdlog, to standard
// error).
#ifndef MEADOWYARD_LOG_LOG_HPP_
#define MEADOWYARD_LOG_LOG_HPP_

#include <string>
#include <utility>
#include <vector>

namespace meadowyard::log {

enum class Level { kDebug, kInfo, kWarn, kError };
enum class Format { kText, kJson };

using Fields = std::vector<std::pair<std::string, std::string>>;

// Before the first line; `least` is "debug", "info", "warn" or "error". Throws std::invalid_argument naming
// what it can't use.
void StartLog(Format form, const std::string& least);
void Write(Level level, const std::string& event, const Fields& fields = {});
// The line as it is written, for tests and tools.
std::string FormatLine(Format form, Level level, const std::string& time, const std::string& event,
                       const Fields& fields);

}  // namespace meadowyard::log

#endif  // MEADOWYARD_LOG_LOG_HPP_
