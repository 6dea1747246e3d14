#include "fronts/http/request_rules.hpp"

#include <algorithm>
#include <boost/beast/http/status.hpp>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <string_view>
#include <utility>

namespace meadowyard {
namespace {

namespace http = boost::beast::http;

// Longer client timeouts are reduced to this, because timers must not overflow.
constexpr Millis kMaxClientTimeout = 600000;
constexpr std::size_t kMaxRequestIdBytes = 256;

// Converts "480m" (milliseconds) or "480000u" (microseconds) to milliseconds.
std::optional<Millis> ParseDeadline(std::string_view text) {
  if (text.size() < 2) return std::nullopt;
  const double milliseconds_per_unit = text.back() == 'm' ? 1 : text.back() == 'u' ? 0.001 : 0;
  double value = 0;
  const char* const number_end = text.data() + text.size() - 1;
  const auto [end, error] = std::from_chars(text.data(), number_end, value, std::chars_format::fixed);
  if (milliseconds_per_unit == 0 || error != std::errc() || end != number_end) return std::nullopt;
  if (!std::isfinite(value) || value < 0) return std::nullopt;
  return std::min(value * milliseconds_per_unit, kMaxClientTimeout);
}

// Values of the fields that the gateway interprets. They are collected in one pass over the head, because
// heads are short but this runs for every request.
struct RequestFields {
  std::string_view id, kind, owner, key, deadline, retry, cost, extra, idempotency, host;
  const char* repeated = nullptr;
};

RequestFields CollectRequestFields(const RequestHead& head) {
  RequestFields values;
  const std::pair<std::string_view, std::string_view RequestFields::*> known_fields[] = {
      {"Req-Id", &RequestFields::id},
      {"Req-Kind", &RequestFields::kind},
      {"Req-Owner", &RequestFields::owner},
      {"Req-Key", &RequestFields::key},
      {"Req-Retry", &RequestFields::retry},
      {"Req-Deadline", &RequestFields::deadline},
      {"Req-Cost", &RequestFields::cost},
      {"Req-Extra", &RequestFields::extra},
      {"Idempotency-Key", &RequestFields::idempotency},
      {"Host", &RequestFields::host},
  };
  unsigned seen_mask = 0;
  for (const auto& field : head) {
    const std::string_view name = View(field.name_string());
    for (std::size_t i = 0; i < std::size(known_fields); ++i) {
      if (!core::EqualFieldNames(name, known_fields[i].first)) continue;
      if (seen_mask & (1u << i)) values.repeated = known_fields[i].first.data();
      seen_mask |= 1u << i;
      values.*known_fields[i].second = View(field.value());
    }
  }
  return values;
}

}  // namespace

Page ErrorPage(int status, std::string text) {
  Page page;
  page.status = status;
  page.fields.Add("Content-Type", "text/plain");
  if (status == 405) page.fields.Add("Allow", "GET, POST");
  page.body = std::move(text) + "\n";
  page.close = true;
  return page;
}

Page ToPage(core::Answer& answer) {
  Page page;
  switch (answer.kind) {
    case core::Answer::Kind::kServed:
      page.fields = std::move(answer.response.fields);
      page.body = std::move(answer.response.body);
      break;
    case core::Answer::Kind::kRejected:
      page.status = 503;
      if (answer.retry_after > 0) {
        char seconds[32];
        std::snprintf(seconds, sizeof seconds, "%.3f", answer.retry_after / 1000);
        page.fields.Add("Retry-After", seconds);
      }
      break;
    case core::Answer::Kind::kFailed: page.status = 502; break;
    case core::Answer::Kind::kTimedOut: page.status = 504; break;
    case core::Answer::Kind::kDuplicateId:
      page.status = 409;
      page.body = "Req-Id is in use\n";
      page.close = true;
      break;
  }
  return page;
}

std::string FormatHead(const Page& page, unsigned version, bool keep_alive,
                       std::optional<std::uint64_t> length, bool chunked) {
  std::string text = version >= 11 ? "HTTP/1.1 " : "HTTP/1.0 ";
  text.reserve(256 + page.body.size());
  text += std::to_string(page.status);
  text += ' ';
  text += View(http::obsolete_reason(static_cast<http::status>(page.status)));
  text += "\r\n";
  AppendFields(text, page.fields);
  if (length) text.append("Content-Length: ").append(std::to_string(*length)).append("\r\n");
  if (chunked) text += "Transfer-Encoding: chunked\r\n";
  if (!keep_alive && version >= 11) text += "Connection: close\r\n";
  if (keep_alive && version < 11) text += "Connection: keep-alive\r\n";
  return text += "\r\n";
}

std::optional<Page> ParseRequestHead(const RequestHead& head, const AdmissionCheck& check_admission,
                                     core::ClientRequest& request) {
  const std::string_view target = View(head.target());
  const std::string_view path = target.substr(0, target.find('?'));
  if (path != "/api" && !path.starts_with("/api/")) return ErrorPage(404, "no such path");
  const RequestFields values = CollectRequestFields(head);
  // If a field is repeated, this gateway and a host might each use a different one of the values.
  if (values.repeated != nullptr) return ErrorPage(400, std::string(values.repeated) + " is repeated");
  request.id = values.id;
  if (request.id.empty() || request.id.size() > kMaxRequestIdBytes)
    return ErrorPage(400, "Req-Id is missing or too long");
  request.class_name = values.kind;
  const auto client_timeout_ms = ParseDeadline(values.deadline);
  if (!client_timeout_ms) return ErrorPage(400, "Req-Deadline is missing or malformed");
  request.client_timeout = *client_timeout_ms;
  // Method and Idempotency-Key determine whether a request may be repeated safely; its class has to declare
  // the same, so that either one is sufficient to decide.
  const bool is_get = head.method() == http::verb::get;
  const bool has_key = !values.idempotency.empty();
  request.idempotency = is_get    ? Idempotency::kIdempotent
                        : has_key ? Idempotency::kIdempotencyKey
                                  : Idempotency::kNonIdempotent;
  const auto admission = check_admission(request.class_name, request.idempotency);
  if (admission == Policy::Admission::kUnknownClass) return ErrorPage(400, "Req-Kind names no class");
  if (!is_get && head.method() != http::verb::post) return ErrorPage(405, "the class takes another method");
  if (admission == Policy::Admission::kIdempotencyMismatch) {
    const bool key_missing = !is_get && check_admission(request.class_name, Idempotency::kIdempotencyKey) ==
                                            Policy::Admission::kAccepted;
    return key_missing ? ErrorPage(400, "Idempotency-Key is missing")
                       : ErrorPage(405, "the class takes another method");
  }
  request.tenant = values.owner;
  request.is_retry = values.retry == "1";
  request.key = values.key;
  request.message.method = View(head.method_string());
  request.message.target = target;
  request.message.fields = EndToEnd(head);
  return std::nullopt;
}

}  // namespace meadowyard
