/// @file Writes answers to a client connection: buffered answers in one piece, long answers as a stream.
#ifndef MEADOWYARD_FRONTS_HTTP_ANSWER_WRITER_HPP_
#define MEADOWYARD_FRONTS_HTTP_ANSWER_WRITER_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

#include "core/body_source.hpp"
#include "meadowyard/policy.hpp"

namespace meadowyard {

/// Writes one answer at a time to `socket`, which has to outlive it and be in non-blocking mode.
class AnswerWriter {
 public:
  /// How writing ended. kBroken: writing to the client failed. kTruncated: the body source failed; the
  /// connection has to be reset so that the client can tell that the answer is incomplete.
  enum class End { kWritten, kBroken, kTruncated };
  /// The result of `owner_reference` is held during each asynchronous wait for the socket or for body data.
  /// `on_end` is called once for each answer, unless Stop() comes first.
  AnswerWriter(boost::asio::ip::tcp::socket& socket, std::function<std::shared_ptr<void>()> owner_reference,
               std::function<void(End)> on_end)
      : socket_(socket), owner_reference_(std::move(owner_reference)), on_end_(std::move(on_end)) {}

  /// Writes a complete answer, head and body.
  void WriteComplete(std::string text);
  /// Writes `head`, which includes the first part of the body with its framing, and then `remaining_body`.
  /// `on_delivered(true)` follows when everything was written, `on_delivered(false)` when it ended earlier.
  void WriteStream(std::string head, std::shared_ptr<core::BodySource> remaining_body, bool chunked,
                   std::function<void(bool)> on_delivered);
  /// Cancels the answer that is being written; has to be called when the connection is closed.
  void Stop();

  bool is_streaming() const { return remaining_body_ != nullptr; }
  /// While writing(), the client has accepted no data since last_progress_at().
  bool writing() const { return writing_; }
  Millis last_progress_at() const { return last_progress_at_; }

 private:
  void WriteMore();
  void OnTextWritten();
  void RequestNextPiece();
  void EndStream(bool complete);

  boost::asio::ip::tcp::socket& socket_;
  const std::function<std::shared_ptr<void>()> owner_reference_;
  const std::function<void(End)> on_end_;
  std::string output_;             // the bytes being written
  std::size_t written_bytes_ = 0;  // how many bytes of output_ were written
  std::shared_ptr<core::BodySource> remaining_body_;
  std::function<void(bool)> on_delivered_;
  bool chunked_ = false;
  bool is_last_ = false;  // output_ ends the answer
  bool writing_ = false;
  std::uint64_t generation_ = 0;  // a callback of an earlier generation is ignored
  Millis last_progress_at_ = 0;
};

}  // namespace meadowyard

#endif  // MEADOWYARD_FRONTS_HTTP_ANSWER_WRITER_HPP_
