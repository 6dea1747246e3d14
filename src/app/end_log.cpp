#include "app/end_log.hpp"

#include <string>

#include "core/clock.hpp"
#include "log/log.hpp"

namespace meadowyard::app {
namespace {

bool IsOrdinary(core::AttemptEndReason reason) {
  using core::AttemptEndReason;
  return reason == AttemptEndReason::kResponseComplete || reason == AttemptEndReason::kCancelled ||
         reason == AttemptEndReason::kNotWanted;
}

// Of these the client learns nothing that it doesn't expect.
bool IsOrdinary(ConnectionEndReason reason) {
  return reason != ConnectionEndReason::kClientStalled && reason != ConnectionEndReason::kAnswerTruncated &&
         reason != ConnectionEndReason::kWriteFailed && reason != ConnectionEndReason::kEvicted;
}

std::string FormatDuration(Millis duration) { return std::to_string(static_cast<std::int64_t>(duration)); }

// `fields` is made only if the line is written.
template <typename MakeFields>
void WriteLimited(LineRateLimit& limit, bool is_ordinary, const char* event, MakeFields make_fields) {
  const log::Level level = is_ordinary ? log::Level::kDebug : log::Level::kInfo;
  if (!log::IsWritten(level)) return;
  if (!is_ordinary && !limit.Allows(core::Now())) return;
  log::Fields fields = make_fields();
  if (!is_ordinary) limit.AddSkipped(fields);
  log::Write(level, event, fields);
}

}  // namespace

void EndLog::Write(const core::AttemptEnd& end) {
  WriteLimited(attempts_, IsOrdinary(end.reason), "attempt_ended", [&] {
    return log::Fields{{"endpoint", end.endpoint},
                       {"request", end.request},
                       {"reason", core::ToString(end.reason)},
                       {"duration_ms", FormatDuration(end.duration)},
                       {"answer_begun", end.response_begun ? "yes" : "no"}};
  });
}

void EndLog::Write(const ConnectionEnd& end) {
  WriteLimited(connections_, IsOrdinary(end.reason), "client_connection_ended", [&] {
    return log::Fields{{"request", end.last_request},
                       {"reason", ToString(end.reason)},
                       {"duration_ms", FormatDuration(end.in_state_for)}};
  });
}

}  // namespace meadowyard::app
