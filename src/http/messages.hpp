// HTTP/1.1 messages as both sides of the gateway read and write them (RFC 9110, RFC 9112).
#ifndef MEADOWYARD_HTTP_MESSAGES_HPP_
#define MEADOWYARD_HTTP_MESSAGES_HPP_

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <string>
#include <string_view>

#include "core/message.hpp"

namespace meadowyard {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

constexpr std::uint64_t kMaxBufferedBodyBytes = 64 << 10;  // that is buffered; a longer body is streamed
constexpr std::uint32_t kMaxHeaderBytes = 16 * 1024;

inline std::string_view View(boost::beast::string_view text) { return {text.data(), text.size()}; }

// What concerns one connection alone, and so must not be passed on (RFC 9110, section 7.6.1); and what says
// where a body ends, which is said anew.
inline bool HopByHop(boost::beast::http::field name) {
  using boost::beast::http::field;
  switch (name) {
    case field::connection:
    case field::keep_alive:
    case field::proxy_connection:
    case field::te:
    case field::trailer:
    case field::transfer_encoding:
    case field::upgrade:
    case field::expect:
    case field::content_length: return true;
    default: return false;
  }
}

// The fields that are passed on.
template <typename Head>
core::Fields EndToEnd(const Head& head) {
  core::Fields fields;
  for (const auto& field : head) {
    if (!HopByHop(field.name())) fields.Add(View(field.name_string()), View(field.value()));
  }
  return fields;
}

inline void AppendFields(std::string& text, const core::Fields& fields) {
  fields.ForEach([&](std::string_view name, std::string_view value) {
    text.append(name).append(": ").append(value).append("\r\n");
  });
}

// What a head says of where its body ends, beyond what the parser demands: it lets some codings and repeated
// lengths pass, by which two readers of one message may find different ends.
enum class Framing { kNone, kDelimited, kAmbiguous };

template <typename Head>
Framing FramingOf(const Head& head) {
  using boost::beast::http::field;
  const auto lengths = head.count(field::content_length);
  const auto codings = head.count(field::transfer_encoding);
  if (lengths + codings == 0) return Framing::kNone;
  const bool plain = codings == 0 || boost::beast::iequals(head[field::transfer_encoding], "chunked");
  return lengths + codings == 1 && plain ? Framing::kDelimited : Framing::kAmbiguous;
}

}  // namespace meadowyard

#endif  // MEADOWYARD_HTTP_MESSAGES_HPP_
