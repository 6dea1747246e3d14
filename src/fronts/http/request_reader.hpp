// Reads a client's requests from its connection: heads, and bodies a piece at a time.
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

constexpr std::size_t kMostReadBuffer = 24 * 1024;  // holds a whole head; bodies pass through it

class RequestReader {
 public:
  using Error = boost::system::error_code;
  explicit RequestReader(boost::asio::ip::tcp::socket& socket) : socket_(socket) { Restart(); }

  // For the next request on the connection.
  void Restart();
  // `then(error)`, never before this returns; `owner` is kept until it was called. `at_once`: it is likely
  // there.
  template <typename Owner, typename Then>
  void ReadHead(Owner owner, Then then, bool at_once) {
    Read(std::move(owner), std::move(then), at_once || buffer_.size() > 0, [this] {
      Error ec;
      boost::beast::http::read_header(socket_, buffer_, *parser_, ec);
      return ec;
    });
  }
  // A piece of the body: `then(error, piece)`.
  template <typename Owner, typename Then>
  void ReadPiece(Owner owner, Then then) {
    // No more than the body can still have: most are far shorter than a piece.
    const std::uint64_t left = parser_->content_length_remaining().value_or(core::kMaxPieceBytes);
    piece_.resize(static_cast<std::size_t>(std::clamp<std::uint64_t>(left, 1, core::kMaxPieceBytes)));
    parser_->get().body() = {piece_.data(), piece_.size(), true};
    const auto told = [this, then = std::move(then)](Error ec) {
      const auto& body = parser_->get().body();
      then(ec, std::string_view(piece_.data(), piece_.empty() ? 0 : piece_.size() - body.size));
    };
    Read(std::move(owner), told, buffer_.size() > 0, [this] {
      Error ec;
      boost::beast::http::read_some(socket_, buffer_, *parser_, ec);
      return ec == boost::beast::http::error::need_buffer ? Error() : ec;
    });
  }

  const auto& head() const { return parser_->get(); }
  bool Begun() const { return buffer_.size() > 0 || parser_->got_some(); }
  bool got_some() const { return parser_->got_some(); }
  bool head_done() const { return parser_->is_header_done(); }
  bool done() const { return parser_->is_done(); }
  std::optional<std::uint64_t> length() const;
  // What was read beyond the request.
  std::string_view unread() const;
  void Feed(std::string_view unread);
  // Reads what has come behind the request until there is no more, or `most` of it is held; an error says
  // which end that is, if there is one.
  Error ReadAhead(std::size_t most);

 private:
  // Bytes are taken off the socket in the turn that uses them: until then they lie there, where whoever would
  // close the connection finds them. A read that had ended, and had yet to be told, would hide them.
  template <typename Owner, typename Then, typename Some>
  void Read(Owner owner, Then then, bool at_once, Some some) {
    if (at_once) {
      const Error ec = some();
      if (ec != boost::asio::error::would_block) {
        boost::asio::post(socket_.get_executor(), [owner = std::move(owner), then, ec] { then(ec); });
        return;
      }
    }
    socket_.async_wait(boost::asio::ip::tcp::socket::wait_read,
                       [this, owner = std::move(owner), then, some](Error ec) mutable {
                         if (!ec) ec = some();
                         if (ec != boost::asio::error::would_block) return then(ec);
                         Read(std::move(owner), std::move(then), false, std::move(some));
                       });
  }

  boost::asio::ip::tcp::socket& socket_;
  boost::beast::flat_buffer buffer_{kMostReadBuffer};
  std::optional<boost::beast::http::request_parser<boost::beast::http::buffer_body>> parser_;
  std::string piece_;
};

// A message that breaks HTTP, as opposed to a connection that ended.
bool IsMalformed(boost::system::error_code ec);
Page MalformedPage(boost::system::error_code ec);

// The rest of a request's long body, for whoever passes it on. It outlives its connection's part in it.
class Upload : public core::BodySource {
 public:
  // `asked` has the connection read a piece, which it gives.
  Upload(boost::asio::io_context& io, std::optional<std::uint64_t> size, std::function<void()> asked)
      : io_(io), size_(size), asked_(std::move(asked)) {}

  void RequestData(DataCallback take) override;
  void Cancel() override {}
  std::optional<std::uint64_t> length() const override { return size_; }
  bool data_requested() const override { return begun_; }

  bool waiting() const { return take_ != nullptr; }
  void Give(Status next, std::string_view piece);
  // The connection has no more part in it.
  void Detach();

 private:
  boost::asio::io_context& io_;
  const std::optional<std::uint64_t> size_;
  std::function<void()> asked_;
  DataCallback take_;
  bool begun_ = false;
};

}  // namespace meadowyard

#endif  // MEADOWYARD_FRONTS_HTTP_REQUEST_READER_HPP_
