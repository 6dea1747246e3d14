// Reads a host's answers in HTTP/1.1: short ones whole, long ones as they are asked for.
#ifndef MEADOWYARD_UPSTREAM_ANSWER_READER_HPP_
#define MEADOWYARD_UPSTREAM_ANSWER_READER_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/body_source.hpp"
#include "core/message.hpp"

namespace meadowyard {

class AnswerReader {
 public:
  struct Handlers {
    std::function<std::shared_ptr<void>()> owner;  // kept while something is awaited
    // It was read whole; `keep_alive`: the connection can be used again.
    std::function<void(AttemptResult, core::ResponseMessage, bool keep_alive)> received;
    // A long one has begun; `streamed` or `failed` follows.
    std::function<void(core::ResponseMessage, std::shared_ptr<core::BodySource>)> begun;
    std::function<void(bool keep_alive)> streamed;
    std::function<void(bool waiting)> awaits_host;  // a piece is awaited from the host, or was taken in
    std::function<void()> abandoned;                // by whoever passes the long one on
    // What can't be read, or can't be proved whole, is no answer: the request may have run.
    std::function<void(AttemptResult)> failed;
  };
  AnswerReader(boost::asio::ip::tcp::socket& socket, Handlers handlers)
      : socket_(socket), handlers_(std::move(handlers)) {}

  void Read();
  bool streams() const { return stream_ != nullptr; }
  // Bytes that no request asked for.
  bool Unasked() const { return buffer_.size() > 0; }
  // Forgets the answer; a stream of it is broken.
  void Reset();
  // The connection idles: holds on to little.
  void Rest();

 private:
  struct Stream;
  void ReadHead();
  void HeadRead(boost::system::error_code ec);
  template <typename Then>
  void ReadPiece(Then then);
  void ReadBody();
  void BeginStream();
  void ReadOn(core::BodySource::DataCallback take);
  void EndStream(core::BodySource::Status end);
  core::ResponseMessage TakeReply();

  boost::asio::ip::tcp::socket& socket_;
  const Handlers handlers_;
  boost::beast::flat_buffer buffer_{32768};  // holds a whole head; bodies pass through it
  std::optional<boost::beast::http::response_parser<boost::beast::http::buffer_body>> parser_;
  std::string body_;                    // of a short answer, or the first of a long one
  std::string piece_;                   // as it is read
  std::shared_ptr<Stream> stream_;      // the long answer that is being passed on
  core::BodySource::DataCallback ask_;  // who waits for a piece of it
  bool keep_alive_ = false;             // after it
  int interim_ = 0;
  std::uint64_t turn_ = 0;
};

}  // namespace meadowyard

#endif  // MEADOWYARD_UPSTREAM_ANSWER_READER_HPP_
