// One end of an HTTP/1.1 connection as the lab's stand-ins and clients use it: messages in whole, bytes out
// as fast as the other side takes them. Parsed by Beast, read and written without a turn of the loop where
// possible, for the generator must not be the slowest part.
#ifndef MEADOWYARD_LAB_STREAM_HPP_
#define MEADOWYARD_LAB_STREAM_HPP_

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "meadowyard/policy.hpp"

namespace meadowyard::lab {

// Milliseconds on the machine's monotonic clock: the same for all processes of a run.
inline Millis Clock() {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now().time_since_epoch())
      .count();
}
inline std::chrono::nanoseconds Wait(Millis ms) {
  return std::chrono::nanoseconds(ms > 0 ? static_cast<std::int64_t>(ms * 1e6) : 0);
}

template <bool isRequest>
class Stream : public std::enable_shared_from_this<Stream<isRequest>> {
 public:
  using Message = boost::beast::http::message<isRequest, boost::beast::http::string_body>;
  using Error = boost::system::error_code;
  enum class End { kClosed, kReset, kMalformed };
  struct Handlers {
    std::function<void(Message&, Millis first, Millis last)> got;  // when its first and last byte were read
    std::function<void()> written;                                 // all bytes so far have left
    std::function<void(End)> ended;  // by the other side; not called after Close or Reset
  };

  explicit Stream(boost::asio::ip::tcp::socket socket)
      : socket_(std::move(socket)), pace_(socket_.get_executor()) {}

  void Start(Handlers handlers) {
    handlers_ = std::move(handlers);
    Error ignored;
    socket_.non_blocking(true, ignored);
    socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    Restart();
    AwaitBytes();
  }
  // Reads no faster than this from now on; 0: as fast as it comes.
  void ReadAt(double bytes_per_second) { read_rate_ = bytes_per_second; }
  // Reads nothing until it is let go on.
  void Hold(bool held) {
    if (std::exchange(held_, held) && !held && open()) ReadNow();
  }
  void Write(std::string_view bytes) {
    if (!open()) return;
    outgoing_.append(bytes);
    if (!writing_) WriteMore();
  }
  void Close() {
    Error ignored;
    ++turn_;
    socket_.close(ignored);
    handlers_ = {};
  }
  void Reset() {
    Error ignored;
    socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    Close();
  }
  bool open() const { return socket_.is_open(); }
  bool begun() const { return first_ > 0; }  // a part of a message was read
  boost::asio::ip::tcp::socket& socket() { return socket_; }

 private:
  using Parser = boost::beast::http::parser<isRequest, boost::beast::http::string_body>;

  void Restart() {
    parser_.emplace();
    parser_->eager(true);
    parser_->body_limit(64u << 20);
    parser_->header_limit(64u << 10);
    first_ = 0;
  }
  void AwaitBytes() {
    socket_.async_wait(boost::asio::ip::tcp::socket::wait_read,
                       [this, self = this->shared_from_this(), turn = turn_](Error ec) {
                         if (!ec && turn == turn_) ReadNow();
                       });
  }
  void ReadNow() {
    if (held_) return;
    for (;;) {
      const std::size_t most =
          read_rate_ > 0 ? std::max<std::size_t>(256, static_cast<std::size_t>(read_rate_ / 50)) : 65536;
      Error ec;
      const std::size_t got = socket_.read_some(buffer_.prepare(most), ec);
      if (ec == boost::asio::error::would_block) return AwaitBytes();
      if (ec) return Ended(ec);
      buffer_.commit(got);
      const auto turn = turn_;
      const auto self = this->shared_from_this();
      Parse();
      if (turn != turn_ || held_) return;
      if (read_rate_ > 0) {
        pace_.expires_after(Wait(1000.0 * static_cast<double>(got) / read_rate_));
        return pace_.async_wait([this, self, turn](Error wait_ec) {
          if (!wait_ec && turn == turn_) ReadNow();
        });
      }
      if (got < most) return AwaitBytes();
    }
  }
  void Parse() {
    const auto turn = turn_;
    while (buffer_.size() > 0) {
      const Millis now = Clock();
      if (first_ == 0) first_ = now;
      Error ec;
      buffer_.consume(parser_->put(buffer_.data(), ec));
      if (ec == boost::beast::http::error::need_more) return;
      if (ec) return Tell(End::kMalformed);
      if (!parser_->is_done()) return;
      Deliver(now);
      if (turn != turn_) return;
    }
  }
  void Deliver(Millis now) {
    Message message = parser_->release();
    const Millis first = first_;
    Restart();
    const auto got = handlers_.got;
    got(message, first, now);
  }
  void Ended(Error ec) {
    // A body up to the close is whole now.
    if (ec == boost::asio::error::eof && first_ > 0 && parser_->is_header_done() && !parser_->is_done()) {
      Error end;
      parser_->put_eof(end);
      if (!end && parser_->is_done()) {
        const auto turn = turn_;
        Deliver(Clock());
        if (turn != turn_) return;
      }
    }
    Tell(ec == boost::asio::error::eof ? End::kClosed : End::kReset);
  }
  void Tell(End end) {
    const auto ended = handlers_.ended;
    Close();
    if (ended) ended(end);
  }
  void WriteMore() {
    Error ec;
    while (written_ < outgoing_.size() && !ec) {
      written_ += socket_.write_some(boost::asio::buffer(outgoing_) + written_, ec);
    }
    if (ec && ec != boost::asio::error::would_block) {
      writing_ = false;
      return;  // the read side tells how it ended
    }
    if (written_ == outgoing_.size()) {
      outgoing_.clear();
      written_ = 0;
      writing_ = false;
      if (const auto written = handlers_.written) written();  // it may close, which drops the handlers
      return;
    }
    writing_ = true;
    socket_.async_wait(boost::asio::ip::tcp::socket::wait_write,
                       [this, self = this->shared_from_this(), turn = turn_](Error wait_ec) {
                         if (!wait_ec && turn == turn_) WriteMore();
                       });
  }

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer pace_;
  Handlers handlers_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  std::string outgoing_;
  std::size_t written_ = 0;
  double read_rate_ = 0;
  Millis first_ = 0;
  std::uint64_t turn_ = 0;
  bool writing_ = false, held_ = false;
};

using ServerStream = Stream<true>;
using ClientStream = Stream<false>;

}  // namespace meadowyard::lab

#endif  // MEADOWYARD_LAB_STREAM_HPP_
