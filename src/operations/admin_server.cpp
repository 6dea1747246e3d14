#include "operations/admin_server.hpp"

#include <fcntl.h>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <optional>
#include <string_view>
#include <utility>

#include "core/clock.hpp"

namespace meadowyard::operations {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr std::size_t kMaxRequestSize = 4096;  // a head, and as much again for a body that nobody needs
constexpr Millis kAcceptRetryDelay = 50;       // after an accept that failed

HttpResponse PlainTextReply(http::status status, std::string text) {
  HttpResponse response(status, 11);
  response.set(http::field::content_type, "text/plain");
  response.body() = std::move(text);
  return response;
}

// Percent-decoded; nothing if it is malformed.
std::optional<std::string> PercentDecode(std::string_view text) {
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
std::optional<std::string> FindQueryParameter(std::string_view query, std::string_view name) {
  std::optional<std::string> found;
  while (!query.empty()) {
    const std::string_view pair = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), pair.size() + 1));
    const std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos || pair.substr(0, equals) != name) continue;
    if (found) return std::nullopt;
    found = PercentDecode(pair.substr(equals + 1));
    if (!found || found->empty()) return std::nullopt;
  }
  return found;
}

}  // namespace

// One caller: reads a call, answers it, and closes. Whatever it does or leaves undone, one timer ends it.
class AdminServer::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(AdminServer& server, tcp::socket socket)
      : server_(server), socket_(std::move(socket)), timer_(server.io_) {
    parser_.header_limit(kMaxRequestSize);
    parser_.body_limit(kMaxRequestSize);
  }

  void Start() {
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    StartTimer(server_.limits_.request_timeout);
    http::async_read(socket_, buffer_, parser_, [self = shared_from_this()](error_code ec, std::size_t) {
      if (self->closed_ || self->answered_) return;
      if (!ec) return self->Reply(self->server_.Handle(self->parser_.get()));
      // Whoever ended half a call can still read what was wrong with it; whoever reset it, or sent none, not.
      const bool gone = ec.category() != http::make_error_code(http::error::bad_version).category();
      if (gone || ec == http::error::end_of_stream) return self->Close();
      self->Reply(PlainTextReply(http::status::bad_request, ec.message() + "\n"));
    });
  }

  void Close() {
    if (std::exchange(closed_, true)) return;
    error_code ignored;
    socket_.close(ignored);
    server_.KeepSpareDescriptor();  // at once, before anything else takes what this one gave back
    timer_.cancel();
    server_.sessions_.remove(shared_from_this());
  }

 private:
  void StartTimer(Millis wait) {
    timer_.expires_after(core::ToDuration(wait));
    timer_.async_wait([self = shared_from_this()](error_code ec) {
      if (ec || self->closed_) return;
      if (self->answered_) return self->Close();
      self->Reply(PlainTextReply(http::status::request_timeout, "the call is not whole\n"));
    });
  }

  void Reply(HttpResponse response) {
    answered_ = true;
    response_ = std::move(response);
    response_.keep_alive(false);
    response_.prepare_payload();
    StartTimer(server_.limits_.request_timeout);
    http::async_write(socket_, response_, [self = shared_from_this()](error_code ec, std::size_t) {
      if (self->closed_) return;
      if (!ec) self->socket_.shutdown(tcp::socket::shutdown_send, ec);
      if (ec) return self->Close();
      self->StartTimer(self->server_.limits_.linger_timeout);
      self->DiscardInput();
    });
  }

  // Closing with bytes unread would reset the connection, and could take the answer from the caller.
  void DiscardInput() {
    socket_.async_read_some(asio::buffer(discarded_),
                            [self = shared_from_this()](error_code ec, std::size_t) {
                              if (self->closed_) return;
                              ec ? self->Close() : self->DiscardInput();
                            });
  }

  AdminServer& server_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_{2 * kMaxRequestSize};
  http::request_parser<http::string_body> parser_;
  HttpResponse response_;
  char discarded_[1024];
  bool answered_ = false;
  bool closed_ = false;
};

AdminServer::AdminServer(asio::io_context& io, const tcp::endpoint& address, Limits limits, Handlers handlers)
    : io_(io), acceptor_(io), accept_retry_(io), limits_(limits), handlers_(std::move(handlers)) {
  acceptor_.open(address.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.non_blocking(true);
  acceptor_.bind(address);
  acceptor_.listen();
  Accept();
}

AdminServer::~AdminServer() = default;

void AdminServer::Accept() {
  KeepSpareDescriptor();
  acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
    if (!acceptor_.is_open()) return;
    if (!ec) {
      Accept();  // first: whatever becomes of this call, the next is taken
      return StartSession(std::move(socket));
    }
    accept_retry_.expires_after(core::ToDuration(kAcceptRetryDelay));  // at once would spin
    accept_retry_.async_wait([this](error_code wait_ec) {
      if (!wait_ec) Accept();
    });
    if (ec != asio::error::no_descriptors) return;
    if (spare_descriptor_) {
      spare_descriptor_ = Descriptor();
    } else if (!sessions_.empty()) {
      const auto oldest = sessions_.front();
      oldest->Close();
    }
    socket = acceptor_.accept(ec);
    if (!ec) return StartSession(std::move(socket));
    KeepSpareDescriptor();  // the caller had gone: back at once, before anything else takes it
  });
}

void AdminServer::KeepSpareDescriptor() {
  if (!spare_descriptor_) spare_descriptor_ = Descriptor(::open("/dev/null", O_RDONLY | O_CLOEXEC));
}

void AdminServer::StartSession(tcp::socket socket) {
  if (sessions_.size() >= limits_.max_sessions) {
    const auto oldest = sessions_.front();
    oldest->Close();
  }
  const auto session = std::make_shared<Session>(*this, std::move(socket));
  sessions_.push_back(session);
  session->Start();
}

HttpResponse AdminServer::Handle(const HttpRequest& request) {
  if (FramingOf(request) == Framing::kAmbiguous) {
    return PlainTextReply(http::status::bad_request, "where the body ends is not clear\n");
  }
  const std::string target(request.target().data(), request.target().size());
  const std::string path = target.substr(0, target.find('?'));
  const std::string query = path.size() < target.size() ? target.substr(path.size() + 1) : "";
  const bool tunnels = path == "/status/tunnels", close = path == "/tunnels/close";
  const bool peers = path == "/status/peers";
  const bool reads = path == "/status" || path == "/status/metrics" || tunnels || peers;
  const bool out = path == "/maintenance/enter";
  if (!reads && !out && !close && path != "/maintenance/exit")
    return PlainTextReply(http::status::not_found, "no such path\n");
  if (request.method() != (reads ? http::verb::get : http::verb::put)) {
    HttpResponse response =
        PlainTextReply(http::status::method_not_allowed, "the path takes another method\n");
    response.set(http::field::allow, reads ? "GET" : "PUT");
    return response;
  }
  if (peers) return JsonReplyIfAny(handlers_.peers_json);
  if (tunnels || close) return Tunnels(query, close);
  if (!reads) return ChangeMaintenance(query, out);
  if (path == "/status") {
    return handlers_.is_ready() ? PlainTextReply(http::status::ok, "yes\n")
                                : PlainTextReply(http::status::service_unavailable, "no\n");
  }
  HttpResponse response = PlainTextReply(http::status::ok, handlers_.metrics_json());
  response.set(http::field::content_type, "application/json");
  return response;
}

HttpResponse AdminServer::JsonReplyIfAny(const std::function<std::optional<std::string>()>& what) const {
  const auto text = what ? what() : std::nullopt;
  if (!text) return PlainTextReply(http::status::not_found, "no such path\n");
  HttpResponse response = PlainTextReply(http::status::ok, *text);
  response.set(http::field::content_type, "application/json");
  return response;
}

HttpResponse AdminServer::Tunnels(const std::string& query, bool close) {
  if (close) {
    if (!handlers_.tunnels_json || !handlers_.tunnels_json())
      return PlainTextReply(http::status::not_found, "no such path\n");
    const auto text = FindQueryParameter(query, "id");
    std::uint64_t id = 0;
    if (!text ||
        std::from_chars(text->data(), text->data() + text->size(), id).ptr != text->data() + text->size()) {
      return PlainTextReply(http::status::bad_request, "id: one tunnel's number is wanted\n");
    }
    if (!handlers_.close_tunnel(id))
      return PlainTextReply(http::status::not_found, "no tunnel has this number\n");
    return PlainTextReply(http::status::ok, "closed\n");
  }
  return JsonReplyIfAny(handlers_.tunnels_json);
}

HttpResponse AdminServer::ChangeMaintenance(const std::string& query, bool out) {
  const auto host = FindQueryParameter(query, "target");
  if (!host) return PlainTextReply(http::status::bad_request, "target: one host id is wanted\n");
  if (!handlers_.change_maintenance(*host, out))
    return PlainTextReply(http::status::not_found, "no host has this id\n");
  return PlainTextReply(http::status::ok, out ? "left out\n" : "put back\n");
}

}  // namespace meadowyard::operations
