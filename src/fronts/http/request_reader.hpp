/// @file Reads requests from a client connection: complete heads, and bodies in pieces.
#ifndef MEADOWYARD_FRONTS_HTTP_REQUEST_READER_HPP_
#define MEADOWYARD_FRONTS_HTTP_REQUEST_READER_HPP_

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "core/body_source.hpp"
#include "fronts/http/request_rules.hpp"
#include "http/messages.hpp"

namespace meadowyard {

constexpr std::size_t kMaxReadBufferBytes = 24 * 1024;  // fits a complete head; body data passes through it

/// Parses the requests of one connection in turn. `socket` has to outlive it and be in non-blocking mode.
class RequestReader {
 public:
  using Error = boost::system::error_code;
  explicit RequestReader(boost::asio::ip::tcp::socket& socket) : socket_(socket) { Restart(); }

  /// Prepares for the next request on the connection; data read beyond the last one is kept.
  void Restart();
  /// Reads a head and calls `handler(error)`, never before this function returns; `keep_alive` is held until
  /// then. `try_immediately` reads before waiting, for when the data has probably arrived.
  template <typename KeepAlive, typename Then>
  void ReadHead(KeepAlive keep_alive, Then handler, bool try_immediately) {
    Read(std::move(keep_alive), std::move(handler), try_immediately || buffer_.size() > 0, [this] {
      Error ec;
      boost::beast::http::read_header(socket_, buffer_, *parser_, ec);
      return ec;
    });
  }
  /// Reads a piece of the body and calls `handler(error, piece)`; the piece is valid during the call only.
  template <typename KeepAlive, typename Then>
  void ReadBodyPiece(KeepAlive keep_alive, Then handler) {
    // Limits the buffer to the rest of the body: most bodies are far shorter than kMaxPieceBytes.
    const std::uint64_t remaining_bytes = parser_->content_length_remaining().value_or(core::kMaxPieceBytes);
    piece_.resize(
        static_cast<std::size_t>(std::clamp<std::uint64_t>(remaining_bytes, 1, core::kMaxPieceBytes)));
    parser_->get().body() = {piece_.data(), piece_.size(), true};
    const auto on_read = [this, handler = std::move(handler)](Error ec) {
      const auto& body = parser_->get().body();
      handler(ec, std::string_view(piece_.data(), piece_.empty() ? 0 : piece_.size() - body.size));
    };
    Read(std::move(keep_alive), on_read, buffer_.size() > 0, [this] {
      Error ec;
      boost::beast::http::read_some(socket_, buffer_, *parser_, ec);
      return ec == boost::beast::http::error::need_buffer ? Error() : ec;
    });
  }

  const auto& head() const { return parser_->get(); }
  /// True if any part of a request has been read.
  bool HasStarted() const { return buffer_.size() > 0 || parser_->got_some(); }
  /// True if the parser has consumed a part of the current request.
  bool got_some() const { return parser_->got_some(); }
  bool head_done() const { return parser_->is_header_done(); }
  bool done() const { return parser_->is_done(); }
  /// Bytes that have arrived after the part of the request that was read.
  std::size_t ArrivedBytes() const;
  /// True if the client can't have sent the complete body yet; `arrived_bytes` is the result of
  /// ArrivedBytes(). False if it may have: the end of the body has arrived, or may be held back at the client
  /// because unread data fills the buffers in between. `settled`: the client has had time to send what it
  /// held back earlier.
  bool IsBodyKnownIncomplete(std::size_t arrived_bytes, bool settled) const;
  /// The body length by Content-Length, if there is one.
  std::optional<std::uint64_t> length() const;
  /// Data that was read beyond the current request.
  std::string_view unread() const;
  /// Adds data that another process read from this connection.
  void Feed(std::string_view unread);
  /// Reads available data after the request until `max_bytes` are buffered (then without an error) or a read
  /// fails. Returns that error: would_block where no more data is available, or the reason of a disconnect.
  Error ReadAhead(std::size_t max_bytes);

 private:
  // Waits for readiness and reads in the handler, so that data leaves the socket only when it is processed.
  // Code that is about to close the connection checks the socket for unread data; it would miss data of an
  // asynchronous read that has completed but whose handler has not run yet.
  template <typename KeepAlive, typename Then, typename TryRead>
  void Read(KeepAlive keep_alive, Then handler, bool try_immediately, TryRead try_read) {
    if (try_immediately) {
      const Error ec = RepeatIfInterrupted(try_read);
      if (ec != boost::asio::error::would_block) {
        boost::asio::post(socket_.get_executor(),
                          [keep_alive = std::move(keep_alive), handler, ec] { handler(ec); });
        return;
      }
    }
    socket_.async_wait(boost::asio::ip::tcp::socket::wait_read,
                       [this, keep_alive = std::move(keep_alive), handler, try_read](Error ec) mutable {
                         if (!ec) ec = RepeatIfInterrupted(try_read);
                         if (ec != boost::asio::error::would_block) return handler(ec);
                         Read(std::move(keep_alive), std::move(handler), false, std::move(try_read));
                       });
  }

  // A signal may interrupt a read before it has received anything: the connection is not broken then.
  template <typename TryRead>
  static Error RepeatIfInterrupted(TryRead& try_read) {
    Error ec = try_read();
    while (ec == boost::asio::error::interrupted) ec = try_read();
    return ec;
  }

  boost::asio::ip::tcp::socket& socket_;
  boost::beast::flat_buffer buffer_{kMaxReadBufferBytes};
  std::optional<boost::beast::http::request_parser<boost::beast::http::buffer_body>> parser_;
  std::string piece_;
};

/// True if the error is a malformed HTTP message, false if it is a failed or closed connection.
bool IsMalformed(boost::system::error_code ec);
/// The error page for a malformed message: 413, 431 or 400.
Page MalformedPage(boost::system::error_code ec);

}  // namespace meadowyard

#endif  // MEADOWYARD_FRONTS_HTTP_REQUEST_READER_HPP_
