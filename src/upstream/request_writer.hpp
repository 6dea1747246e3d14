/// @file
/// Writes an HTTP/1.1 request to a host; a body that is still arriving is written piece by piece.
#ifndef MEADOWYARD_UPSTREAM_REQUEST_WRITER_HPP_
#define MEADOWYARD_UPSTREAM_REQUEST_WRITER_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

#include "core/body_source.hpp"
#include "core/message.hpp"

namespace meadowyard {

/// Writes one request at a time to a socket that the caller owns.
class RequestWriter {
 public:
  struct Handlers {
    std::function<std::shared_ptr<void>()> owner;  // what it returns is kept alive during an operation
    std::function<void()> on_written;              // the kernel has accepted the last byte
    std::function<void()> on_write_failed;      // the last byte was not sent, so the request was not executed
    std::function<void()> on_body_broken;       // the same, but the client's side failed, not the host
    std::function<void()> on_waiting_for_host;  // body still arriving: the socket's send buffer is full
    std::function<void()> on_waiting_for_body;  // awaits the client's next piece, without a time limit here
  };
  RequestWriter(boost::asio::ip::tcp::socket& socket, Handlers handlers)
      : socket_(socket), handlers_(std::move(handlers)) {}

  /// `body_source`: remainder of the body; null if complete. `response_timeout`: how long the gateway waits
  /// for the response, in milliseconds; sent to the host as Req-Deadline.
  void Write(const core::RequestMessage& request, std::shared_ptr<core::BodySource> body_source,
             Millis response_timeout);
  /// Whether the kernel has accepted the complete request.
  bool IsFullyWritten() const { return has_last_piece_ && !text_.empty() && written_ == text_.size(); }
  /// Drops the request; callbacks of pending operations are ignored.
  void Reset();

 private:
  void WriteMore();
  void RequestNextPiece();

  boost::asio::ip::tcp::socket& socket_;
  const Handlers handlers_;
  std::shared_ptr<core::BodySource> body_source_;
  std::string text_;             // the complete request, or the latest piece of its body
  std::size_t written_ = 0;      // bytes of `text_` that the kernel has accepted
  bool has_last_piece_ = false;  // `text_` is the last piece of the request
  bool chunked_ = false;
  std::uint64_t generation_ = 0;  // increased by Reset; callbacks of an earlier generation are ignored
};

}  // namespace meadowyard

#endif  // MEADOWYARD_UPSTREAM_REQUEST_WRITER_HPP_
