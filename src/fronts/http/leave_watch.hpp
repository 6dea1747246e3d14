/// @file Detects that a client disconnects while its request is unanswered, even if it has sent further data.
#ifndef MEADOWYARD_FRONTS_HTTP_LEAVE_WATCH_HPP_
#define MEADOWYARD_FRONTS_HTTP_LEAVE_WATCH_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

#include "fronts/http/request_reader.hpp"

namespace meadowyard {

/// True if the peer has closed, half-closed or reset the connection, even with unread data in the socket.
bool IsClosedByPeer(int socket);

/// True if the connection has been reset or is broken otherwise.
bool IsBroken(int socket);

/// Watches the connection of an unanswered request. A read reports the close only after all data that the
/// client sent before it. So pipelined data is read ahead into the buffer for request heads, up to a limit.
/// Beyond the limit, and while flow control holds a request body back, the socket is polled periodically
/// instead. docs/design/gateway.md explains why a half-close counts as a disconnect.
class LeaveWatch {
 public:
  struct Handlers {
    /// Its result is held during each asynchronous wait.
    std::function<std::shared_ptr<void>()> owner_reference;
    /// Data after the end of the request has been read.
    std::function<void()> on_data;
    std::function<void()> on_disconnect;
  };
  LeaveWatch(boost::asio::io_context& io, boost::asio::ip::tcp::socket& socket, RequestReader& reader,
             Handlers handlers)
      : io_(io), socket_(socket), reader_(reader), handlers_(std::move(handlers)) {}

  /// Starts watching. With `read_ahead` false nothing is read, because the owner still reads the request's
  /// body.
  void Begin(bool read_ahead);
  void End() { ++generation_; }

 private:
  void ReadPipelined();
  void PollForClose();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::socket& socket_;
  RequestReader& reader_;
  const Handlers handlers_;
  std::optional<boost::asio::steady_timer> timer_;  // created on first use: most connections never need it
  std::uint64_t generation_ = 0;
};

}  // namespace meadowyard

#endif  // MEADOWYARD_FRONTS_HTTP_LEAVE_WATCH_HPP_
