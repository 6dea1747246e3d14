#include "operations/admin_session.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <memory>
#include <sstream>
#include <utility>

#include "core/clock.hpp"
#include "core/write_all.hpp"
#include "operations/admin_router.hpp"

namespace meadowyard::operations {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

AdminSession::AdminSession(tcp::socket socket, Timeouts timeouts, Callbacks callbacks)
    : socket_(std::move(socket)),
      step_timer_(socket_.get_executor()),
      timeouts_(timeouts),
      callbacks_(std::move(callbacks)) {
  parser_.header_limit(kMaxHeaderOrBodyBytes);
  parser_.body_limit(kMaxHeaderOrBodyBytes);
}

void AdminSession::Start() {
  error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  StartTimer(timeouts_.request);
  http::async_read(socket_, buffer_, parser_,
                   [self = shared_from_this()](error_code ec, std::size_t) { self->OnRequestRead(ec); });
}

void AdminSession::OnRequestRead(error_code ec) {
  if (closed_ || answered_) return;
  if (!ec) return SendResponse(callbacks_.on_request(parser_.get()));
  // Malformed and truncated requests are answered with the parser's error. No response is possible after a
  // reset, or needed if the caller closed the connection without a request.
  const bool malformed = ec.category() == http::make_error_code(http::error::bad_version).category();
  if (!malformed || ec == http::error::end_of_stream) return Close();
  SendResponse(PlainTextResponse(http::status::bad_request, ec.message() + "\n"));
}

void AdminSession::SendResponse(HttpResponse response) {
  answered_ = true;
  response.keep_alive(false);
  response.prepare_payload();
  std::ostringstream text;
  text << response;
  StartTimer(timeouts_.request);
  error_code ignored;
  socket_.non_blocking(true, ignored);
  core::WriteAll(socket_, std::make_shared<const std::string>(text.str()), 0,
                 [self = shared_from_this()](error_code ec) { self->OnResponseSent(ec); });
}

void AdminSession::OnResponseSent(error_code ec) {
  if (closed_) return;
  if (!ec) socket_.shutdown(tcp::socket::shutdown_send, ec);
  if (ec) return Close();
  StartTimer(timeouts_.linger);
  DiscardInput();
}

// Reads until the caller closes the connection: closing the socket with unread data would reset the
// connection, and the caller could lose the response.
void AdminSession::DiscardInput() {
  socket_.async_read_some(asio::buffer(discard_buffer_),
                          [self = shared_from_this()](error_code ec, std::size_t) {
                            if (self->closed_) return;
                            if (ec) return self->Close();
                            self->DiscardInput();
                          });
}

void AdminSession::StartTimer(Millis timeout) {
  step_timer_.expires_after(core::ToDuration(timeout));
  step_timer_.async_wait([self = shared_from_this()](error_code ec) {
    if (!ec) self->OnTimeout();
  });
}

void AdminSession::OnTimeout() {
  if (closed_) return;
  if (answered_) return Close();
  SendResponse(PlainTextResponse(http::status::request_timeout, "the call is not whole\n"));
}

void AdminSession::Close() {
  if (std::exchange(closed_, true)) return;
  error_code ignored;
  socket_.close(ignored);
  const auto self = shared_from_this();  // on_closed may release the owner's reference
  callbacks_.on_closed(self);
  step_timer_.cancel();
}

}  // namespace meadowyard::operations
