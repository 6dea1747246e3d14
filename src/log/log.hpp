/// @file
/// The program's log, written to standard error through spdlog. Each line has one event name and its fields,
/// as text or as JSON.
#ifndef MEADOWYARD_LOG_LOG_HPP_
#define MEADOWYARD_LOG_LOG_HPP_

#include <string>
#include <utility>
#include <vector>

namespace meadowyard::log {

enum class Level { kDebug, kInfo, kWarn, kError };
enum class Format { kText, kJson };

/// Names and values, in the order in which they are written.
using Fields = std::vector<std::pair<std::string, std::string>>;

/// Sets format and minimum level; to be called before the first Write(). `min_level` is "debug", "info",
/// "warn" or "error". Throws std::invalid_argument that names any other value.
void StartLog(Format line_format, const std::string& min_level);
/// Whether Write() writes lines of this level.
[[nodiscard]] bool IsWritten(Level level);
/// Writes one line. Never blocks. Drops the line if it can't be written or if memory runs out.
void Write(Level level, const std::string& event, const Fields& fields = {});
/// Formats a line as Write() does, for tests and tools.
std::string FormatLine(Format line_format, Level level, const std::string& time, const std::string& event,
                       const Fields& fields);

}  // namespace meadowyard::log

#endif  // MEADOWYARD_LOG_LOG_HPP_
