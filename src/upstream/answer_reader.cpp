#include "upstream/answer_reader.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/beast/http/read.hpp>
#include <utility>

#include "http/messages.hpp"

namespace meadowyard {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr int kMostInterim = 8;  // 1xx answers ahead of the final one

// Only 503 and 504 with Srv-Declined prove that a request never ran.
template <typename Head>
AttemptResult ToResult(const Head& response) {
  const http::status status = response.result();
  if (status == http::status::ok) return AttemptResult::kServed;
  const bool declines =
      status == http::status::service_unavailable || status == http::status::gateway_timeout;
  return declines && response["Srv-Declined"] == "1" ? AttemptResult::kRejected : AttemptResult::kError;
}

}  // namespace

// The rest of a long answer, for whoever passes it on. It outlives the connection's part in it.
struct AnswerReader::Stream : core::BodySource {
  Stream(AnswerReader& from, std::optional<std::uint64_t> size)
      : reader(&from), owner(from.handlers_.owner()), executor(from.socket_.get_executor()), total(size) {}
  void RequestData(DataCallback take) override {
    asked = true;
    const auto held = owner.lock();
    if (!end && held) return reader->ReadOn(std::move(take));
    asio::post(executor, [next = end.value_or(Status::kBroken), take = std::move(take)] { take(next, {}); });
  }
  void Cancel() override {
    const auto held = owner.lock();
    if (!end && held) reader->handlers_.abandoned();
  }
  std::optional<std::uint64_t> length() const override { return total; }
  bool data_requested() const override { return asked; }

  AnswerReader* const reader;  // while its owner lives
  const std::weak_ptr<void> owner;
  boost::asio::ip::tcp::socket::executor_type executor;
  const std::optional<std::uint64_t> total;
  std::optional<Status> end;  // once the connection has no more part in it
  bool asked = false;
};

void AnswerReader::Read() {
  interim_ = 0;
  body_.clear();
  ReadHead();
}

void AnswerReader::Reset() {
  ++turn_;
  EndStream(core::BodySource::Status::kBroken);
}

void AnswerReader::Rest() {
  parser_.reset();
  if (buffer_.capacity() > 4096) buffer_.shrink_to_fit();
}

void AnswerReader::ReadHead() {
  parser_.emplace();
  parser_->body_limit(core::kMaxBodyBytes);
  parser_->header_limit(kMaxHeaderBytes);
  http::async_read_header(socket_, buffer_, *parser_,
                          [this, owner = handlers_.owner(), turn = turn_](error_code ec, std::size_t) {
                            if (turn_ == turn) HeadRead(ec);
                          });
}

void AnswerReader::HeadRead(error_code ec) {
  if (ec) return handlers_.failed(AttemptResult::kReset);
  const auto& head = parser_->get();
  if (head.result_int() / 100 == 1) {  // by number: the library has no name for all of them
    if (++interim_ > kMostInterim || head.result() == http::status::switching_protocols) {
      return handlers_.failed(AttemptResult::kReset);
    }
    return ReadHead();
  }
  const auto length = parser_->content_length();
  if (FramingOf(head) != Framing::kDelimited || (length && *length > core::kMaxBodyBytes)) {
    return handlers_.failed(AttemptResult::kReset);
  }
  keep_alive_ = head.keep_alive();
  if (parser_->is_done()) return handlers_.received(ToResult(head), TakeReply(), keep_alive_);
  ReadBody();
}

// A piece of the body into `piece_`; `then` is given the error, if it is one, and the piece.
template <typename Then>
void AnswerReader::ReadPiece(Then then) {
  // No more than the body can still have: most are far shorter than a piece.
  const std::uint64_t left = parser_->content_length_remaining().value_or(core::kMaxPieceBytes);
  piece_.resize(static_cast<std::size_t>(std::clamp<std::uint64_t>(left, 1, core::kMaxPieceBytes)));
  parser_->get().body() = {piece_.data(), piece_.size(), true};
  http::async_read_some(socket_, buffer_, *parser_,
                        [this, owner = handlers_.owner(), turn = turn_, then](error_code ec, std::size_t) {
                          if (turn_ != turn) return;
                          if (ec == http::error::need_buffer) ec = {};
                          then(ec,
                               std::string_view(piece_.data(), piece_.size() - parser_->get().body().size));
                        });
}

// A short answer is judged once it is whole; a long one is passed on from its first piece.
void AnswerReader::ReadBody() {
  ReadPiece([this](error_code ec, std::string_view piece) {
    if (ec) return handlers_.failed(AttemptResult::kReset);
    body_.append(piece);
    const AttemptResult result = ToResult(parser_->get());
    if (parser_->is_done() && body_.size() <= kMaxBufferedBodyBytes) {
      return handlers_.received(result, TakeReply(), keep_alive_);
    }
    if (body_.size() <= kMaxBufferedBodyBytes &&
        parser_->content_length().value_or(0) <= kMaxBufferedBodyBytes)
      return ReadBody();
    if (result != AttemptResult::kServed) return handlers_.failed(result);  // nobody wants the rest of it
    BeginStream();
  });
}

core::ResponseMessage AnswerReader::TakeReply() {
  core::ResponseMessage reply;
  const auto& head = parser_->get();
  reply.fields = EndToEnd(head);
  reply.load_report = reply.fields.Get("Srv-Load");
  if (!reply.load_report.empty()) reply.fields.Erase("Srv-Load");
  reply.body = std::exchange(body_, {});
  piece_ = {};
  return reply;
}

void AnswerReader::BeginStream() {
  std::optional<std::uint64_t> length;
  if (const auto told = parser_->content_length()) length = *told;
  const auto stream = stream_ = std::make_shared<Stream>(*this, length);
  handlers_.awaits_host(false);
  const auto owner = handlers_.owner();  // who is told may abandon it
  handlers_.begun(TakeReply(), stream);
  if (stream_ == stream && parser_->is_done()) {
    EndStream(core::BodySource::Status::kComplete);
    handlers_.streamed(keep_alive_);
  }
}

void AnswerReader::ReadOn(core::BodySource::DataCallback take) {
  ask_ = std::move(take);
  handlers_.awaits_host(true);
  ReadPiece([this](error_code ec, std::string_view piece) {
    if (!ask_) return;
    if (ec) return handlers_.failed(AttemptResult::kReset);
    handlers_.awaits_host(false);  // the client may take its time now
    const auto take = std::exchange(ask_, nullptr);
    const std::string text(piece);  // the connection may go on to other work
    if (parser_->is_done()) {
      EndStream(core::BodySource::Status::kComplete);
      handlers_.streamed(keep_alive_);
    }
    if (!text.empty()) return take(core::BodySource::Status::kData, text);
    stream_ ? ReadOn(take) : take(core::BodySource::Status::kComplete, {});
  });
}

void AnswerReader::EndStream(core::BodySource::Status end) {
  if (stream_) stream_->end = end;
  stream_.reset();
  if (const auto take = std::exchange(ask_, nullptr)) take(end, {});
}

}  // namespace meadowyard
