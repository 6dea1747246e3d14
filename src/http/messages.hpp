/// @file
/// HTTP/1.1 messages as the client and the host side of the gateway read and write them (RFC 9110, RFC 9112).
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

constexpr std::uint64_t kMaxBufferedBodyBytes = 64 << 10;  // longer bodies are streamed
constexpr std::uint32_t kMaxHeaderBytes = 16 * 1024;

inline std::string_view View(boost::beast::string_view text) { return {text.data(), text.size()}; }

/// Fields that concern a single connection and must not be forwarded (RFC 9110, section 7.6.1), and the
/// framing fields, which are generated anew for the next hop.
inline bool IsHopByHop(boost::beast::http::field name) {
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

/// The fields that are forwarded.
template <typename Head>
core::Fields EndToEnd(const Head& head) {
  core::Fields fields;
  for (const auto& field : head) {
    if (!IsHopByHop(field.name())) fields.Add(View(field.name_string()), View(field.value()));
  }
  return fields;
}

inline void AppendFields(std::string& text, const core::Fields& fields) {
  fields.ForEach([&](std::string_view name, std::string_view value) {
    text.append(name).append(": ").append(value).append("\r\n");
  });
}

/// How a head delimits its body (RFC 9112, section 6). kAmbiguous: a head with transfer codings or repeated
/// lengths for which two recipients may see the body end at different places (request smuggling). This
/// check is stricter than that of the parser, which accepts some of them.
enum class Framing { kNone, kDelimited, kAmbiguous };

template <typename Head>
Framing FramingOf(const Head& head) {
  using boost::beast::http::field;
  const auto lengths = head.count(field::content_length);
  const auto codings = head.count(field::transfer_encoding);
  if (lengths + codings == 0) return Framing::kNone;
  const bool only_chunked = codings == 0 || boost::beast::iequals(head[field::transfer_encoding], "chunked");
  return lengths + codings == 1 && only_chunked ? Framing::kDelimited : Framing::kAmbiguous;
}

}  // namespace meadowyard

#endif  // MEADOWYARD_HTTP_MESSAGES_HPP_
