#include "operations/admin_server.hpp"

#include <fcntl.h>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <optional>
#include <string_view>
#include <utility>

#include "core/clock.hpp"

namespace meadowyard {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr std::size_t kMostCall = 4096;  // a head, and as much again for a body that nobody needs
constexpr Millis kAcceptAgain = 50;      // after an accept that failed

HttpResponse PlainReply(http::status status, std::string text) {
  HttpResponse response(status, 11);
  response.set(http::field::content_type, "text/plain");
  response.body() = std::move(text);
  return response;
}

// Percent-decoded; nothing if it is malformed.
std::optional<std::string> Decode(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      decoded += text[i] == '+' ? ' ' : text[i];
      continue;
    }
    unsigned value = 0;
    const char* const first = text.data() + i + 1;
    if (i + 2 >= text.size()) return std::nullopt;
    const auto [end, error] = std::from_chars(first, first + 2, value, 16);
    if (error != std::errc() || end != first + 2) return std::nullopt;
    decoded += static_cast<char>(value);
    i += 2;
  }
  return decoded;
}

// The one value of a name in a query; nothing if it is missing, empty, malformed or given twice.
std::optional<std::string> Parameter(std::string_view query, std::string_view name) {
  std::optional<std::string> found;
  while (!query.empty()) {
    const std::string_view pair = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), pair.size() + 1));
    const std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos || pair.substr(0, equals) != name) continue;
    if (found) return std::nullopt;
    found = Decode(pair.substr(equals + 1));
    if (!found || found->empty()) return std::nullopt;
  }
  return found;
}

}  // namespace

// One caller: reads a call, answers it, and closes. Whatever it does or leaves undone, one timer ends it.
class AdminServer::Call : public std::enable_shared_from_this<Call> {
 public:
  Call(AdminServer& server, tcp::socket socket)
      : server_(server), socket_(std::move(socket)), timer_(server.io_) {
    parser_.header_limit(kMostCall);
    parser_.body_limit(kMostCall);
  }

  void Begin() {
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    Arm(server_.limits_.whole_call);
    http::async_read(socket_, buffer_, parser_, [self = shared_from_this()](error_code ec, std::size_t) {
      if (self->closed_ || self->answered_) return;
      if (!ec) return self->Answer(self->server_.Handle(self->parser_.get()));
      // Whoever ended half a call can still read what was wrong with it; whoever reset it, or sent none, not.
      const bool gone = ec.category() != http::make_error_code(http::error::bad_version).category();
      if (gone || ec == http::error::end_of_stream) return self->Close();
      self->Answer(PlainReply(http::status::bad_request, ec.message() + "\n"));
    });
  }

  void Close() {
    if (std::exchange(closed_, true)) return;
    error_code ignored;
    socket_.close(ignored);
    server_.KeepSpare();  // at once, before anything else takes what this one gave back
    timer_.cancel();
    server_.calls_.remove(shared_from_this());
  }

 private:
  void Arm(Millis wait) {
    timer_.expires_after(core::ToDuration(wait));
    timer_.async_wait([self = shared_from_this()](error_code ec) {
      if (ec || self->closed_) return;
      if (self->answered_) return self->Close();
      self->Answer(PlainReply(http::status::request_timeout, "the call is not whole\n"));
    });
  }

  void Answer(HttpResponse response) {
    answered_ = true;
    response_ = std::move(response);
    response_.keep_alive(false);
    response_.prepare_payload();
    Arm(server_.limits_.whole_call);
    http::async_write(socket_, response_, [self = shared_from_this()](error_code ec, std::size_t) {
      if (self->closed_) return;
      if (!ec) self->socket_.shutdown(tcp::socket::shutdown_send, ec);
      if (ec) return self->Close();
      self->Arm(self->server_.limits_.linger);
      self->Discard();
    });
  }

  // Closing with bytes unread would reset the connection, and could take the answer from the caller.
  void Discard() {
    socket_.async_read_some(asio::buffer(sink_), [self = shared_from_this()](error_code ec, std::size_t) {
      if (self->closed_) return;
      ec ? self->Close() : self->Discard();
    });
  }

  AdminServer& server_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_{2 * kMostCall};
  http::request_parser<http::string_body> parser_;
  HttpResponse response_;
  char sink_[1024];
  bool answered_ = false;
  bool closed_ = false;
};

AdminServer::AdminServer(asio::io_context& io, const tcp::endpoint& address, Limits limits, Handlers handlers)
    : io_(io), acceptor_(io), accept_again_(io), limits_(limits), handlers_(std::move(handlers)) {
  acceptor_.open(address.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.non_blocking(true);
  acceptor_.bind(address);
  acceptor_.listen();
  Accept();
}

AdminServer::~AdminServer() = default;

void AdminServer::Accept() {
  KeepSpare();
  acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
    if (!acceptor_.is_open()) return;
    if (!ec) {
      Accept();  // first: whatever becomes of this call, the next is taken
      return Take(std::move(socket));
    }
    accept_again_.expires_after(core::ToDuration(kAcceptAgain));  // at once would spin
    accept_again_.async_wait([this](error_code wait_ec) {
      if (!wait_ec) Accept();
    });
    if (ec != asio::error::no_descriptors) return;
    if (spare_) {
      spare_ = Descriptor();
    } else if (!calls_.empty()) {
      const auto oldest = calls_.front();
      oldest->Close();
    }
    socket = acceptor_.accept(ec);
    if (!ec) return Take(std::move(socket));
    KeepSpare();  // the caller had gone: back at once, before anything else takes it
  });
}

void AdminServer::KeepSpare() {
  if (!spare_) spare_ = Descriptor(::open("/dev/null", O_RDONLY | O_CLOEXEC));
}

void AdminServer::Take(tcp::socket socket) {
  if (calls_.size() >= limits_.places) {
    const auto oldest = calls_.front();
    oldest->Close();
  }
  const auto call = std::make_shared<Call>(*this, std::move(socket));
  calls_.push_back(call);
  call->Begin();
}

HttpResponse AdminServer::Handle(const HttpRequest& request) {
  if (FramingOf(request) == Framing::kAmbiguous) {
    return PlainReply(http::status::bad_request, "where the body ends is not clear\n");
  }
  const std::string target(request.target().data(), request.target().size());
  const std::string path = target.substr(0, target.find('?'));
  const std::string query = path.size() < target.size() ? target.substr(path.size() + 1) : "";
  const bool tunnels = path == "/status/tunnels", close = path == "/tunnels/close";
  const bool peers = path == "/status/peers";
  const bool reads = path == "/status" || path == "/status/metrics" || tunnels || peers;
  const bool out = path == "/maintenance/enter";
  if (!reads && !out && !close && path != "/maintenance/exit")
    return PlainReply(http::status::not_found, "no such path\n");
  if (request.method() != (reads ? http::verb::get : http::verb::put)) {
    HttpResponse response = PlainReply(http::status::method_not_allowed, "the path takes another method\n");
    response.set(http::field::allow, reads ? "GET" : "PUT");
    return response;
  }
  if (peers) return Shown(handlers_.peers);
  if (tunnels || close) return Tunnels(query, close);
  if (!reads) return Maintain(query, out);
  if (path == "/status") {
    return handlers_.ready() ? PlainReply(http::status::ok, "yes\n")
                             : PlainReply(http::status::service_unavailable, "no\n");
  }
  HttpResponse response = PlainReply(http::status::ok, handlers_.figures());
  response.set(http::field::content_type, "application/json");
  return response;
}

HttpResponse AdminServer::Shown(const std::function<std::optional<std::string>()>& what) const {
  const auto text = what ? what() : std::nullopt;
  if (!text) return PlainReply(http::status::not_found, "no such path\n");
  HttpResponse response = PlainReply(http::status::ok, *text);
  response.set(http::field::content_type, "application/json");
  return response;
}

HttpResponse AdminServer::Tunnels(const std::string& query, bool close) {
  if (close) {
    if (!handlers_.tunnels || !handlers_.tunnels())
      return PlainReply(http::status::not_found, "no such path\n");
    const auto text = Parameter(query, "id");
    std::uint64_t id = 0;
    if (!text ||
        std::from_chars(text->data(), text->data() + text->size(), id).ptr != text->data() + text->size()) {
      return PlainReply(http::status::bad_request, "id: one tunnel's number is wanted\n");
    }
    if (!handlers_.close_tunnel(id))
      return PlainReply(http::status::not_found, "no tunnel has this number\n");
    return PlainReply(http::status::ok, "closed\n");
  }
  return Shown(handlers_.tunnels);
}

HttpResponse AdminServer::Maintain(const std::string& query, bool out) {
  const auto host = Parameter(query, "target");
  if (!host) return PlainReply(http::status::bad_request, "target: one host id is wanted\n");
  if (!handlers_.maintain(*host, out)) return PlainReply(http::status::not_found, "no host has this id\n");
  return PlainReply(http::status::ok, out ? "left out\n" : "put back\n");
}

}  // namespace meadowyard
