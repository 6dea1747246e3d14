#include "upstream/response_reader.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/beast/http/read.hpp>
#include <utility>

#include "core/clock.hpp"
#include "http/messages.hpp"

namespace meadowyard {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr int kMaxInterimResponses = 8;  // 1xx responses before the final one

// Only a 503 or 504 with Srv-Declined proves that the request was not executed.
template <typename Head>
AttemptResult ToResult(const Head& message) {
  const http::status status = message.result();
  if (status == http::status::ok) return AttemptResult::kServed;
  const bool declines =
      status == http::status::service_unavailable || status == http::status::gateway_timeout;
  return declines && message["Srv-Declined"] == "1" ? AttemptResult::kRejected : AttemptResult::kError;
}

core::AttemptEndReason ToReason(error_code ec) {
  using core::AttemptEndReason;
  if (ec == http::error::body_limit) return AttemptEndReason::kResponseTooLong;
  if (ec == asio::error::eof || ec == http::error::end_of_stream || ec == http::error::partial_message)
    return AttemptEndReason::kClosedByEndpoint;
  // The parser's errors have no category that could be compared with, other than by an example.
  const bool is_malformed = ec.category() == http::make_error_code(http::error::bad_version).category();
  return is_malformed ? AttemptEndReason::kMalformedResponse : AttemptEndReason::kConnectionBroken;
}

}  // namespace

// The remainder of a streamed response. It may outlive the connection, so it refers to it weakly.
struct ResponseReader::Stream : core::BodySource {
  Stream(ResponseReader& response_reader, std::optional<std::uint64_t> size)
      : reader(&response_reader),
        owner(response_reader.handlers_.owner()),
        executor(response_reader.socket_.get_executor()),
        total_length(size) {}
  void RequestData(DataCallback on_data) override {
    requested = true;
    if (!unread.empty()) {
      asio::post(executor, [piece = std::exchange(unread, {}), on_data = std::move(on_data)] {
        on_data(Status::kData, piece);
      });
      return;
    }
    const auto owner_alive = owner.lock();
    if (!end && owner_alive) return reader->ReadNextPiece(std::move(on_data));
    asio::post(executor,
               [next = end.value_or(Status::kBroken), on_data = std::move(on_data)] { on_data(next, {}); });
  }
  void Cancel() override {
    const auto owner_alive = owner.lock();
    if (!end && owner_alive) reader->handlers_.on_cancelled();
  }
  std::optional<std::uint64_t> length() const override { return total_length; }
  bool data_requested() const override { return requested; }

  ResponseReader* const reader;  // valid while `owner` is alive
  const std::weak_ptr<void> owner;
  boost::asio::ip::tcp::socket::executor_type executor;
  const std::optional<std::uint64_t> total_length;
  std::string unread;         // received before it was requested
  std::optional<Status> end;  // set once the stream has ended and the connection no longer serves it
  bool requested = false;
};

void ResponseReader::Read() {
  interim_responses_ = 0;
  body_.clear();
  body_wait_ = 0;
  ReadHead();
}

void ResponseReader::Reset() {
  ++generation_;
  read_pending_ = false;
  EndStream(core::BodySource::Status::kBroken);
}

void ResponseReader::ReleaseBuffers() {
  parser_.reset();
  if (buffer_.capacity() > 4096) buffer_.shrink_to_fit();
}

void ResponseReader::ReadHead() {
  parser_.emplace();
  parser_->body_limit(core::kMaxBodyBytes);
  parser_->header_limit(kMaxHeaderBytes);
  http::async_read_header(
      socket_, buffer_, *parser_,
      [this, owner = handlers_.owner(), generation = generation_](error_code ec, std::size_t) {
        if (generation_ == generation) OnHeadRead(ec);
      });
}

void ResponseReader::OnHeadRead(error_code ec) {
  if (ec) return handlers_.on_failed(AttemptResult::kReset, ToReason(ec));
  const auto& head = parser_->get();
  if (head.result_int() / 100 == 1) {  // by number: the library does not define all 1xx codes
    if (++interim_responses_ > kMaxInterimResponses || head.result() == http::status::switching_protocols) {
      return handlers_.on_failed(AttemptResult::kReset, core::AttemptEndReason::kMalformedResponse);
    }
    return ReadHead();
  }
  const auto length = parser_->content_length();
  if (FramingOf(head) == Framing::kAmbiguous)
    return handlers_.on_failed(AttemptResult::kReset, core::AttemptEndReason::kMalformedResponse);
  if (length && *length > core::kMaxBodyBytes)
    return handlers_.on_failed(AttemptResult::kReset, core::AttemptEndReason::kResponseTooLong);
  keep_alive_ = parser_->keep_alive();
  begun_at_ = core::Now();
  const bool served = StatusResult() == AttemptResult::kServed;
  // The status is all that counts of an error: its body is read only so that the connection can be kept.
  if (parser_->is_done() || (!served && !keep_alive_))
    return handlers_.on_response(StatusResult(), TakeResponse(), keep_alive_);
  handlers_.on_response_begun(served);
  ReadBody();
}

AttemptResult ResponseReader::StatusResult() const { return ToResult(parser_->get()); }

// Only successful responses are streamed.
bool ResponseReader::StartStreaming() {
  if (!IsReadingBody() || StatusResult() != AttemptResult::kServed) return false;
  BeginStream();
  return true;
}

bool ResponseReader::FinishWithErrorStatus() {
  if (!IsReadingBody() || StatusResult() == AttemptResult::kServed) return false;
  const AttemptResult result = StatusResult();
  ++generation_;
  read_pending_ = false;
  handlers_.on_response(result, TakeResponse(), /*keep_alive=*/false);
  return true;
}

// Reads a piece of the body into `piece_` and calls `callback` with the error code and the piece.
template <typename Callback>
void ResponseReader::ReadPiece(Callback callback) {
  // Sized to what remains of the body: most bodies are far shorter than the largest piece.
  const std::uint64_t remaining = parser_->content_length_remaining().value_or(core::kMaxPieceBytes);
  piece_.resize(static_cast<std::size_t>(std::clamp<std::uint64_t>(remaining, 1, core::kMaxPieceBytes)));
  parser_->get().body() = {piece_.data(), piece_.size(), true};
  waiting_since_ = core::Now();
  read_pending_ = true;
  http::async_read_some(
      socket_, buffer_, *parser_,
      [this, owner = handlers_.owner(), generation = generation_, callback](error_code ec, std::size_t) {
        if (generation_ != generation) return;
        read_pending_ = false;
        body_wait_ += core::Now() - waiting_since_;
        if (ec == http::error::need_buffer) ec = {};
        if (!ec && body_wait_ > max_body_wait_) ec = http::error::body_limit;
        callback(ec, std::string_view(piece_.data(), piece_.size() - parser_->get().body().size));
      });
}

// A short response is reported once it is complete; a long one is streamed from its first piece.
void ResponseReader::ReadBody() {
  ReadPiece([this](error_code ec, std::string_view piece) {
    if (stream_) return OnStreamPiece(ec, piece);  // StartStreaming was called during this read
    const AttemptResult result = StatusResult();
    if (ec && result != AttemptResult::kServed)
      return handlers_.on_response(result, TakeResponse(), /*keep_alive=*/false);
    if (ec) return handlers_.on_failed(AttemptResult::kReset, ToReason(ec));
    body_.append(piece);
    if (parser_->is_done() && body_.size() <= kMaxBufferedBodyBytes) {
      return handlers_.on_response(result, TakeResponse(), keep_alive_);
    }
    if (body_.size() <= kMaxBufferedBodyBytes &&
        parser_->content_length().value_or(0) <= kMaxBufferedBodyBytes)
      return ReadBody();
    if (result != AttemptResult::kServed)
      return handlers_.on_response(result, TakeResponse(), /*keep_alive=*/false);
    BeginStream();
  });
}

core::ResponseMessage ResponseReader::TakeResponse() {
  core::ResponseMessage response;
  const auto& head = parser_->get();
  response.fields = EndToEnd(head);
  response.load_report = response.fields.Get("Srv-Load");
  if (!response.load_report.empty()) response.fields.Erase("Srv-Load");
  response.body = std::exchange(body_, {});
  response.begun_at = begun_at_;
  if (!read_pending_) piece_ = {};
  return response;
}

void ResponseReader::BeginStream() {
  std::optional<std::uint64_t> length;
  if (const auto declared = parser_->content_length()) length = *declared;
  const auto stream = stream_ = std::make_shared<Stream>(*this, length);
  handlers_.on_waiting_for_host(false);
  const auto owner = handlers_.owner();  // the callback may cancel the stream and so release the connection
  handlers_.on_stream_started(TakeResponse(), stream);
  // The handler of a pending read, which may have parsed the last piece already, delivers that and ends the
  // stream.
  if (stream_ == stream && !read_pending_ && parser_->is_done()) {
    EndStream(core::BodySource::Status::kComplete);
    handlers_.on_stream_finished(keep_alive_);
  }
}

void ResponseReader::ReadNextPiece(core::BodySource::DataCallback on_data) {
  on_data_ = std::move(on_data);
  if (!read_pending_) ReadPiece([this](error_code ec, std::string_view piece) { OnStreamPiece(ec, piece); });
  handlers_.on_waiting_for_host(true);
}

void ResponseReader::OnStreamPiece(error_code ec, std::string_view piece) {
  if (ec) return handlers_.on_failed(AttemptResult::kReset, ToReason(ec));
  handlers_.on_waiting_for_host(false);  // a slow client must not count against the host's time limit
  const auto stream = stream_;
  const auto on_data = std::exchange(on_data_, nullptr);
  const std::string text(piece);  // copied: the connection may be reused before the callback reads it
  if (!on_data) stream->unread = text;
  if (parser_->is_done()) {
    EndStream(core::BodySource::Status::kComplete);
    handlers_.on_stream_finished(keep_alive_);
  }
  if (!on_data) return;
  if (!text.empty()) return on_data(core::BodySource::Status::kData, text);
  stream_ ? ReadNextPiece(on_data) : on_data(core::BodySource::Status::kComplete, {});
}

void ResponseReader::EndStream(core::BodySource::Status end) {
  if (stream_) stream_->end = end;
  stream_.reset();
  if (const auto on_data = std::exchange(on_data_, nullptr)) on_data(end, {});
}

}  // namespace meadowyard
