#include <boost/beast/http.hpp>
#include <cmath>
#include <optional>
#include <utility>

#include "fronts/tunnel/handshake.hpp"

namespace meadowyard {
namespace {

namespace http = boost::beast::http;

std::string ReplyText(const std::string& status, const std::string& text, const std::string& more = "") {
  return "HTTP/1.1 " + status + "\r\nContent-Type: text/plain\r\nConnection: close\r\n" + more +
         "Content-Length: " + std::to_string(text.size() + 1) + "\r\n\r\n" + text + "\n";
}

// RFC 4648, section 4; nothing if it is malformed.
std::optional<std::string> FromBase64(std::string_view text) {
  while (text.ends_with('=')) text.remove_suffix(1);
  std::string bytes;
  unsigned group = 0;
  int bits = 0;
  for (const char c : text) {
    const int digit = c >= 'A' && c <= 'Z'   ? c - 'A'
                      : c >= 'a' && c <= 'z' ? c - 'a' + 26
                      : c >= '0' && c <= '9' ? c - '0' + 52
                      : c == '+'             ? 62
                      : c == '/'             ? 63
                                             : -1;
    if (digit < 0) return std::nullopt;
    group = (group << 6 | static_cast<unsigned>(digit)) & 0xffffff;
    bits += 6;
    if (bits < 8) continue;
    bits -= 8;
    bytes += static_cast<char>(group >> bits & 255);
  }
  return bytes;
}

class ConnectHandshake : public Handshake {
 public:
  ConnectHandshake(Check check, std::size_t most) : check_(std::move(check)), most_(most) {}

  Step Feed(std::string& in) override {
    const std::size_t end = in.find("\r\n\r\n");
    if (end == std::string::npos ? in.size() > most_ : end + 4 > most_) {
      return Refuse(ReplyText("431 Request Header Fields Too Large", "the head is too large"),
                    "head too large");
    }
    if (end == std::string::npos) return Step::kMore;
    http::request_parser<http::empty_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(most_ + 1));
    boost::system::error_code ec;
    parser.put(boost::asio::buffer(in.data(), end + 4), ec);
    in.erase(0, end + 4);
    if ((ec && ec != http::error::unexpected_body) || !parser.is_header_done()) {
      return Refuse(ReplyText("400 Bad Request", "no request that can be read"), "bad request");
    }
    return Ask(parser.get());
  }

  std::string Reply(TunnelReply reply, Millis retry_after,
                    const boost::asio::ip::tcp::endpoint&) const override {
    switch (reply) {
      case TunnelReply::kOpen: return "HTTP/1.1 200 Connection established\r\n\r\n";
      case TunnelReply::kDenied: return ReplyText("403 Forbidden", "the routes deny this destination");
      case TunnelReply::kTurnedAway: {
        const auto seconds = static_cast<long>(std::ceil(retry_after / 1000));
        const std::string advice = retry_after > 0 ? "Retry-After: " + std::to_string(seconds) + "\r\n" : "";
        return ReplyText("503 Service Unavailable", "turned away; trying again is harmless", advice);
      }
      case TunnelReply::kUnreachable: return ReplyText("502 Bad Gateway", "no host could be reached");
      case TunnelReply::kOverdue: return ReplyText("504 Gateway Timeout", "no host was reached in time");
    }
    return "";
  }

 private:
  Step Bad(const std::string& what) { return Refuse(ReplyText("400 Bad Request", what), what); }

  Step Ask(const http::request<http::empty_body>& request) {
    if (request.method() != http::verb::connect) {
      return Refuse(ReplyText("405 Method Not Allowed", "CONNECT alone is taken here", "Allow: CONNECT\r\n"),
                    "another method");
    }
    if (request.count(http::field::content_length) + request.count(http::field::transfer_encoding) > 0) {
      return Bad("a CONNECT has no body");
    }
    const std::size_t hosts = request.count(http::field::host);
    if (hosts > 1 || (hosts == 0 && request.version() >= 11)) return Bad("one Host field is wanted");
    if (check_ && !Allowed(request)) {
      return Refuse(ReplyText("407 Proxy Authentication Required", "credentials are wanted",
                              "Proxy-Authenticate: Basic realm=\"meadowyard\"\r\n"),
                    "no credentials, or wrong ones");
    }
    std::string why;
    const auto wanted = ParseDestination({request.target().data(), request.target().size()}, why);
    if (!wanted) return Bad("bad authority: " + why);
    destination_ = *wanted;
    return Step::kAsked;
  }

  bool Allowed(const http::request<http::empty_body>& request) {
    if (request.count(http::field::proxy_authorization) != 1) return false;
    const auto field = request[http::field::proxy_authorization];
    std::string_view value(field.data(), field.size());
    const std::size_t space = value.find(' ');
    if (space == std::string_view::npos || !boost::beast::iequals({value.data(), space}, "Basic"))
      return false;
    value.remove_prefix(value.find_first_not_of(' ', space) == std::string_view::npos
                            ? value.size()
                            : value.find_first_not_of(' ', space));
    const auto pair = FromBase64(value);
    const std::size_t colon = pair ? pair->find(':') : std::string::npos;
    if (colon == std::string::npos) return false;
    user_ = pair->substr(0, colon);
    return check_(user_, std::string_view(*pair).substr(colon + 1));
  }

  const Check check_;
  const std::size_t most_;
};

}  // namespace

std::unique_ptr<Handshake> MakeConnectHandshake(Handshake::Check check, std::size_t most) {
  return std::make_unique<ConnectHandshake>(std::move(check), most);
}

}  // namespace meadowyard
