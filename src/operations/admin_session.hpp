/// @file
/// One connection from an operator or an operator's tool.
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

/// Reads one request, answers it and closes the connection. Each step has a timeout, so that an unresponsive
/// caller can't hold the connection open. Must be created with std::make_shared; keeps itself alive while an
/// operation is pending.
class AdminSession : public std::enable_shared_from_this<AdminSession> {
 public:
  struct Timeouts {
    Millis request = 2000;  ///< For receiving the request, and separately for sending the response.
    Millis linger = 300;    ///< For the caller to close the connection after the response.
  };
  struct Callbacks {
    /// Answers a complete request.
    std::function<HttpResponse(const HttpRequest&)> on_request;
    /// Called once, just after the socket was closed.
    std::function<void(const std::shared_ptr<AdminSession>&)> on_closed;
  };

  AdminSession(boost::asio::ip::tcp::socket socket, Timeouts timeouts, Callbacks callbacks);

  /// Starts to read the request. Must be called once.
  void Start();
  /// Closes the connection, whether or not the request was answered.
  void Close();

 private:
  // Limit for the header, and separately for the body, whose content is ignored.
  static constexpr std::size_t kMaxHeaderOrBodyBytes = 4096;
  static constexpr std::size_t kDiscardBufferBytes = 1024;

  void OnRequestRead(boost::system::error_code ec);
  void SendResponse(HttpResponse response);
  void OnResponseSent(boost::system::error_code ec);
  void DiscardInput();
  void StartTimer(Millis timeout);
  void OnTimeout();

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer step_timer_;
  const Timeouts timeouts_;
  const Callbacks callbacks_;
  boost::beast::flat_buffer buffer_{2 * kMaxHeaderOrBodyBytes};
  boost::beast::http::request_parser<boost::beast::http::string_body> parser_;
  std::array<char, kDiscardBufferBytes> discard_buffer_ = {};
  bool answered_ = false;
  bool closed_ = false;
};

}  // namespace meadowyard::operations

#endif  // MEADOWYARD_OPERATIONS_ADMIN_SESSION_HPP_
