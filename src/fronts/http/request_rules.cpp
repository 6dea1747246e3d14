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

constexpr Millis kMostAllowed = 600000;  // longer deadlines are cut to this: timers must not overflow
constexpr std::size_t kMostId = 256;

// "480m" or "480000u": milliseconds.
std::optional<Millis> ParseDeadline(std::string_view text) {
  if (text.size() < 2) return std::nullopt;
  const double unit = text.back() == 'm' ? 1 : text.back() == 'u' ? 0.001 : 0;
  double value = 0;
  const char* const last = text.data() + text.size() - 1;
  const auto [end, error] = std::from_chars(text.data(), last, value, std::chars_format::fixed);
  if (unit == 0 || error != std::errc() || end != last) return std::nullopt;
  if (!std::isfinite(value) || value < 0) return std::nullopt;
  return std::min(value * unit, kMostAllowed);
}

// The fields that decide what a request becomes, found in one pass over the head: most heads are short, but
// there are many of them.
struct Named {
  std::string_view id, kind, owner, key, deadline, retry, cost, extra, idempotency, host;
  const char* repeated = nullptr;
};

Named ReadNamed(const RequestHead& head) {
  Named named;
  const std::pair<std::string_view, std::string_view Named::*> all[] = {
      {"Req-Id", &Named::id},     {"Req-Kind", &Named::kind},   {"Req-Owner", &Named::owner},
      {"Req-Key", &Named::key},   {"Req-Retry", &Named::retry}, {"Req-Deadline", &Named::deadline},
      {"Req-Cost", &Named::cost}, {"Req-Extra", &Named::extra}, {"Idempotency-Key", &Named::idempotency},
      {"Host", &Named::host},
  };
  unsigned seen = 0;
  for (const auto& field : head) {
    const std::string_view name = View(field.name_string());
    for (std::size_t i = 0; i < std::size(all); ++i) {
      if (!core::EqualFieldNames(name, all[i].first)) continue;
      if (seen & (1u << i)) named.repeated = all[i].first.data();
      seen |= 1u << i;
      named.*all[i].second = View(field.value());
    }
  }
  return named;
}

}  // namespace

Page FaultPage(int status, std::string text) {
  Page page;
  page.status = status;
  page.fields.Add("Content-Type", "text/plain");
  if (status == 405) page.fields.Add("Allow", "GET, POST");
  page.body = std::move(text) + "\n";
  page.close = true;
  return page;
}

Page PageOf(core::Answer& answer) {
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

std::string HeadText(const Page& page, unsigned version, bool keep_alive, std::optional<std::uint64_t> length,
                     bool chunked) {
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

std::optional<Page> Check(const RequestHead& head, const Admits& admits, core::ClientRequest& request) {
  const std::string_view target = View(head.target());
  const std::string_view path = target.substr(0, target.find('?'));
  if (path != "/api" && !path.starts_with("/api/")) return FaultPage(404, "no such path");
  const Named named = ReadNamed(head);
  // Of two fields with one name, this gateway and a host might each believe another.
  if (named.repeated != nullptr) return FaultPage(400, std::string(named.repeated) + " is repeated");
  request.id = named.id;
  if (request.id.empty() || request.id.size() > kMostId)
    return FaultPage(400, "Req-Id is missing or too long");
  request.class_name = named.kind;
  const auto allowed = ParseDeadline(named.deadline);
  if (!allowed) return FaultPage(400, "Req-Deadline is missing or malformed");
  request.client_timeout = *allowed;
  // A repeat of a request that is not safe must be possible to tell from its class and method alike.
  const bool get = head.method() == http::verb::get;
  const bool keyed = !named.idempotency.empty();
  request.idempotency = get     ? Idempotency::kIdempotent
                        : keyed ? Idempotency::kIdempotencyKey
                                : Idempotency::kNonIdempotent;
  const auto admission = admits(request.class_name, request.idempotency);
  if (admission == Policy::Admission::kUnknownClass) return FaultPage(400, "Req-Kind names no class");
  if (!get && head.method() != http::verb::post) return FaultPage(405, "the class takes another method");
  if (admission == Policy::Admission::kIdempotencyMismatch) {
    const bool lacks_key =
        !get && admits(request.class_name, Idempotency::kIdempotencyKey) == Policy::Admission::kAccepted;
    return lacks_key ? FaultPage(400, "Idempotency-Key is missing")
                     : FaultPage(405, "the class takes another method");
  }
  request.tenant = named.owner;
  request.is_retry = named.retry == "1";
  request.key = named.key;
  request.message.method = View(head.method_string());
  request.message.target = target;
  request.message.fields = EndToEnd(head);
  return std::nullopt;
}

}  // namespace meadowyard
