#include <boost/beast/http.hpp>
#include <cmath>
#include <optional>
#include <utility>

#include "fronts/tunnel/handshake.hpp"

namespace meadowyard {
namespace {

namespace http = boost::beast::http;

std::string FormatReply(const std::string& status, const std::string& text,
                        const std::string& extra_fields = "") {
  return "HTTP/1.1 " + status + "\r\nContent-Type: text/plain\r\nConnection: close\r\n" + extra_fields +
         "Content-Length: " + std::to_string(text.size() + 1) + "\r\n\r\n" + text + "\n";
}

// Decodes Base64 (RFC 4648, section 4); returns nullopt if the text is malformed.
std::optional<std::string> DecodeBase64(std::string_view text) {
  while (text.ends_with('=')) text.remove_suffix(1);
  std::string bytes;
  unsigned group = 0;
  int pending_bits = 0;
  for (const char c : text) {
    const int digit = c >= 'A' && c <= 'Z'   ? c - 'A'
                      : c >= 'a' && c <= 'z' ? c - 'a' + 26
                      : c >= '0' && c <= '9' ? c - '0' + 52
                      : c == '+'             ? 62
                      : c == '/'             ? 63
                                             : -1;
    if (digit < 0) return std::nullopt;
    group = (group << 6 | static_cast<unsigned>(digit)) & 0xffffff;
    pending_bits += 6;
    if (pending_bits < 8) continue;
    pending_bits -= 8;
    bytes += static_cast<char>(group >> pending_bits & 255);
  }
  return bytes;
}

class ConnectHandshake : public Handshake {
 public:
  ConnectHandshake(Check check, std::size_t max_head_bytes)
      : check_(std::move(check)), max_head_bytes_(max_head_bytes) {}

  Step Feed(std::string& input) override {
    const std::size_t head_end = input.find("\r\n\r\n");
    if (head_end == std::string::npos ? input.size() > max_head_bytes_ : head_end + 4 > max_head_bytes_) {
      return Reject(FormatReply("431 Request Header Fields Too Large", "the head is too large"),
                    "head too large");
    }
    if (head_end == std::string::npos) return Step::kMore;
    http::request_parser<http::empty_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(max_head_bytes_ + 1));
    boost::system::error_code ec;
    parser.put(boost::asio::buffer(input.data(), head_end + 4), ec);
    input.erase(0, head_end + 4);
    if ((ec && ec != http::error::unexpected_body) || !parser.is_header_done()) {
      return Reject(FormatReply("400 Bad Request", "no request that can be read"), "bad request");
    }
    return HandleRequest(parser.get());
  }

  std::string Reply(TunnelReply reply, Millis retry_after,
                    const boost::asio::ip::tcp::endpoint&) const override {
    switch (reply) {
      case TunnelReply::kOpen: return "HTTP/1.1 200 Connection established\r\n\r\n";
      case TunnelReply::kDenied: return FormatReply("403 Forbidden", "the routes deny this destination");
      case TunnelReply::kUnavailable: {
        const auto seconds = static_cast<long>(std::ceil(retry_after / 1000));
        const std::string retry_after_field =
            retry_after > 0 ? "Retry-After: " + std::to_string(seconds) + "\r\n" : "";
        return FormatReply("503 Service Unavailable", "turned away; trying again is harmless",
                           retry_after_field);
      }
      case TunnelReply::kUnreachable: return FormatReply("502 Bad Gateway", "no host could be reached");
      case TunnelReply::kDeadlineExceeded:
        return FormatReply("504 Gateway Timeout", "no host was reached in time");
    }
    return "";
  }

 private:
  Step RejectBadRequest(const std::string& problem) {
    return Reject(FormatReply("400 Bad Request", problem), problem);
  }

  Step HandleRequest(const http::request<http::empty_body>& request) {
    if (request.method() != http::verb::connect) {
      return Reject(
          FormatReply("405 Method Not Allowed", "CONNECT alone is taken here", "Allow: CONNECT\r\n"),
          "another method");
    }
    if (request.count(http::field::content_length) + request.count(http::field::transfer_encoding) > 0) {
      return RejectBadRequest("a CONNECT has no body");
    }
    const std::size_t host_field_count = request.count(http::field::host);
    if (host_field_count > 1 || (host_field_count == 0 && request.version() >= 11))
      return RejectBadRequest("one Host field is wanted");
    if (check_ && !HasValidCredentials(request)) {
      return Reject(FormatReply("407 Proxy Authentication Required", "credentials are wanted",
                                "Proxy-Authenticate: Basic realm=\"meadowyard\"\r\n"),
                    "no credentials, or wrong ones");
    }
    std::string parse_error;
    const auto destination =
        ParseDestination({request.target().data(), request.target().size()}, parse_error);
    if (!destination) return RejectBadRequest("bad authority: " + parse_error);
    destination_ = *destination;
    return Step::kRequestComplete;
  }

  bool HasValidCredentials(const http::request<http::empty_body>& request) {
    if (request.count(http::field::proxy_authorization) != 1) return false;
    const auto field = request[http::field::proxy_authorization];
    std::string_view value(field.data(), field.size());
    const std::size_t scheme_end = value.find(' ');
    if (scheme_end == std::string_view::npos || !boost::beast::iequals({value.data(), scheme_end}, "Basic"))
      return false;
    value.remove_prefix(value.find_first_not_of(' ', scheme_end) == std::string_view::npos
                            ? value.size()
                            : value.find_first_not_of(' ', scheme_end));
    const auto user_and_password = DecodeBase64(value);
    const std::size_t colon = user_and_password ? user_and_password->find(':') : std::string::npos;
    if (colon == std::string::npos) return false;
    user_ = user_and_password->substr(0, colon);
    return check_(user_, std::string_view(*user_and_password).substr(colon + 1));
  }

  const Check check_;
  const std::size_t max_head_bytes_;
};

}  // namespace

std::unique_ptr<Handshake> MakeConnectHandshake(Handshake::Check check, std::size_t max_head_bytes) {
  return std::make_unique<ConnectHandshake>(std::move(check), max_head_bytes);
}

}  // namespace meadowyard
