// Writes answers to a client: whole ones at once, long ones as they come.
#ifndef MEADOWYARD_FRONTS_HTTP_ANSWER_WRITER_HPP_
#define MEADOWYARD_FRONTS_HTTP_ANSWER_WRITER_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

#include "core/body_source.hpp"
#include "meadowyard/policy.hpp"

namespace meadowyard {

class AnswerWriter {
 public:
  enum class End { kWritten, kBroken, kCut };  // kCut: the client must be able to tell that it is not whole
  // `owner` is kept while a write or a piece is awaited.
  AnswerWriter(boost::asio::ip::tcp::socket& socket, std::function<std::shared_ptr<void>()> owner,
               std::function<void(End)> ended)
      : socket_(socket), owner_(std::move(owner)), ended_(std::move(ended)) {}

  void WriteWhole(std::string text);
  // `head` with the first of the body, framed already; `passed` is told whether all of it went out.
  void WriteStream(std::string head, std::shared_ptr<core::BodySource> rest, bool chunked,
                   std::function<void(bool)> passed);
  // The connection is closed.
  void Stop();

  bool streams() const { return rest_ != nullptr; }
  // A piece has waited for the client since then.
  bool writing() const { return writing_; }
  Millis came_on() const { return came_on_; }

 private:
  void WriteMore();
  void Wrote();
  void AskOn();
  void EndStream(bool whole);

  boost::asio::ip::tcp::socket& socket_;
  const std::function<std::shared_ptr<void>()> owner_;
  const std::function<void(End)> ended_;
  std::string text_;         // what is being written
  std::size_t written_ = 0;  // of it
  std::shared_ptr<core::BodySource> rest_;
  std::function<void(bool)> passed_;
  bool chunked_ = false;
  bool last_ = false;
  bool writing_ = false;
  std::uint64_t turn_ = 0;  // what an earlier wait brings means nothing any more
  Millis came_on_ = 0;
};

}  // namespace meadowyard

#endif  // MEADOWYARD_FRONTS_HTTP_ANSWER_WRITER_HPP_
