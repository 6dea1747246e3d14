/// @file
/// Reads a host's HTTP/1.1 responses from a connection: short ones are buffered completely, long ones are
/// streamed piece by piece on request. A response that does not come at once is buffered until it has become
/// long or its owner calls StartStreaming.
///
/// A response is sound for as long as its host goes on giving it, in whatever framing and at whatever pace.
/// It is given up if the connection breaks, if it is not valid HTTP, or if it is longer than the longest body
/// or takes longer than `max_body_wait` in all. A body without a declared length ends with the connection
/// (RFC 9112, section 6.3): a close ends it, anything else cuts it off.
#ifndef MEADOWYARD_UPSTREAM_RESPONSE_READER_HPP_
#define MEADOWYARD_UPSTREAM_RESPONSE_READER_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/attempt_end.hpp"
#include "core/body_source.hpp"
#include "core/message.hpp"

namespace meadowyard {

/// Reads one response at a time from a socket that the caller owns.
class ResponseReader {
 public:
  struct Handlers {
    std::function<std::shared_ptr<void>()> owner;  // what it returns is kept alive while a read is pending
    // The response is complete. `keep_alive`: the host keeps the connection open (RFC 9112, section 9.3).
    std::function<void(AttemptResult, core::ResponseMessage, bool keep_alive)> on_response;
    // The head of the response was read, the body is still arriving. `served`: the response is successful,
    // and StartStreaming may be called from now on.
    std::function<void(bool served)> on_response_begun;
    // A streamed response has started; `on_stream_finished` or `on_failed` follows.
    std::function<void(core::ResponseMessage, std::shared_ptr<core::BodySource>)> on_stream_started;
    std::function<void(bool keep_alive)> on_stream_finished;
    std::function<void(bool waiting)> on_waiting_for_host;  // `waiting`: a read of a piece is pending
    std::function<void()> on_cancelled;                     // the receiver of the stream has cancelled it
    // The response is unreadable or not provably complete, so it is discarded: the request may have been
    // executed.
    std::function<void(AttemptResult, core::AttemptEndReason)> on_failed;
  };
  /// `max_body_wait`: how long the host may be waited for in all while one body arrives.
  ResponseReader(boost::asio::ip::tcp::socket& socket, Millis max_body_wait, Handlers handlers)
      : socket_(socket), max_body_wait_(max_body_wait), handlers_(std::move(handlers)) {}

  void Read();
  /// Streams the response that is being read from now on, with what has been received of it; false if there
  /// is none that may be streamed.
  bool StartStreaming();
  /// If the host has answered with an error status and the body is still arriving, reports the response
  /// without it; false otherwise.
  bool FinishWithErrorStatus();
  /// Since when the pending read of body data has been waiting for the host.
  Millis waiting_since() const { return waiting_since_; }
  /// Whether a streamed response is in progress.
  bool is_streaming() const { return stream_ != nullptr; }
  /// Whether bytes were received beyond the end of the last response, which belong to no request.
  bool HasUnrequestedBytes() const { return buffer_.size() > 0; }
  /// Drops the response in progress; its stream ends with kBroken.
  void Reset();
  /// Releases most memory, for an idle connection.
  void ReleaseBuffers();

 private:
  struct Stream;
  void ReadHead();
  void OnHeadRead(boost::system::error_code ec);
  template <typename Callback>
  void ReadPiece(Callback callback);
  void ReadBody();
  bool IsReadingBody() const { return read_pending_ && !stream_; }
  AttemptResult StatusResult() const;
  void BeginStream();
  void ReadNextPiece(core::BodySource::DataCallback on_data);
  void OnStreamPiece(boost::system::error_code ec, std::string_view piece);
  void EndStream(core::BodySource::Status end);
  core::ResponseMessage TakeResponse();

  boost::asio::ip::tcp::socket& socket_;
  const Millis max_body_wait_;
  const Handlers handlers_;
  boost::beast::flat_buffer buffer_{32768};  // large enough for a complete head; bodies pass through it
  std::optional<boost::beast::http::response_parser<boost::beast::http::buffer_body>> parser_;
  std::string body_;                        // of a short response, or the first part of a streamed one
  std::string piece_;                       // buffer of the read in progress
  std::shared_ptr<Stream> stream_;          // the streamed response in progress
  core::BodySource::DataCallback on_data_;  // of the pending RequestData call
  Millis begun_at_ = 0;                     // when the response's head was read
  Millis body_wait_ = 0;                    // how long its body was waited for in all
  Millis waiting_since_ = 0;                // when the last read of body data began
  bool read_pending_ = false;               // a read of body data is pending
  bool keep_alive_ = false;                 // the connection is persistent after this response
  int interim_responses_ = 0;               // 1xx responses before the final one
  std::uint64_t generation_ = 0;  // increased by Reset; callbacks of an earlier generation are ignored
};

}  // namespace meadowyard

#endif  // MEADOWYARD_UPSTREAM_RESPONSE_READER_HPP_
