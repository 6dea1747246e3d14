// Notices that the client of a request which still waits has left, whatever it sent before it went.
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

// The other side has closed, half-closed or reset the connection, whatever lies unread before that.
bool HasEnded(int socket);

// The end of what a client sends lies behind all that it sent. So what comes is read on, into the head's
// buffer and up to a bound; beyond that, and while a body is held back, the kernel is asked every now and
// then whether the end has come. Why a half-close is an end: docs/design/gateway.md.
class LeaveWatch {
 public:
  struct Handlers {
    std::function<std::shared_ptr<void>()> owner;  // is kept while something is under way
    std::function<void()> came;                    // something was read of what follows the request
    std::function<void()> left;
  };
  LeaveWatch(boost::asio::io_context& io, boost::asio::ip::tcp::socket& socket, RequestReader& reader,
             Handlers handlers)
      : io_(io), socket_(socket), reader_(reader), handlers_(std::move(handlers)) {}

  // Without `reads` nothing is read: the body of the request is read elsewhere.
  void Begin(bool reads);
  void End() { ++turn_; }

 private:
  void ReadOn();
  void Glance();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::socket& socket_;
  RequestReader& reader_;
  const Handlers handlers_;
  std::optional<boost::asio::steady_timer> timer_;  // most never need one
  std::uint64_t turn_ = 0;
};

}  // namespace meadowyard

#endif  // MEADOWYARD_FRONTS_HTTP_LEAVE_WATCH_HPP_
