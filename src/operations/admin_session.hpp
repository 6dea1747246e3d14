/// @file
/// One connection of an operator or an operator's tool.
#ifndef MEADOWYARD_OPERATIONS_ADMIN_SESSION_HPP_
#define MEADOWYARD_OPERATIONS_ADMIN_SESSION_HPP_

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <functional>
#include <memory>

#include "http/messages.hpp"
#include "meadowyard/policy.hpp"

namespace meadowyard::operations {

/// Reads one call, answers it and closes the connection. Whatever the caller does or fails to do, a timer
/// ends each step. Created by std::make_shared; it keeps itself alive while an operation is pending.
class AdminSession : public std::enable_shared_from_this<AdminSession> {
 public:
  struct Timeouts {
    Millis request = 2000;  ///< To receive the request, and again to send the response.
    Millis linger = 300;    ///< For the caller to close the connection once it was answered.
  };
  struct Callbacks {
    /// Answers a complete request.
    std::function<HttpResponse(const HttpRequest&)> on_request;
    /// The socket has just been closed; called once.
    std::function<void(const std::shared_ptr<AdminSession>&)> on_closed;
  };

  AdminSession(boost::asio::ip::tcp::socket socket, Timeouts timeouts, Callbacks callbacks);

  /// Begins to read. Call it once.
  void Start();
  /// Closes the connection, whether or not the call was answered.
  void Close();

 private:
  static constexpr std::size_t kMaxRequestSize = 4096;  // of the head, and again of the body, which is unused
  static constexpr std::size_t kDiscardSize = 1024;

  void OnRead(boost::system::error_code ec);
  void Reply(HttpResponse response);
  void OnReplied(boost::system::error_code ec);
  void DiscardInput();
  void StartTimer(Millis timeout);
  void OnTimeout();

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  const Timeouts timeouts_;
  const Callbacks callbacks_;
  boost::beast::flat_buffer buffer_{2 * kMaxRequestSize};
  boost::beast::http::request_parser<boost::beast::http::string_body> parser_;
  HttpResponse response_;
  std::array<char, kDiscardSize> discarded_ = {};
  bool answered_ = false;
  bool closed_ = false;
};

}  // namespace meadowyard::operations

#endif  // MEADOWYARD_OPERATIONS_ADMIN_SESSION_HPP_
