#include "fronts/http/answer_writer.hpp"

#include <utility>

#include "core/clock.hpp"

namespace meadowyard {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr int kStreamBuffer = 256 * 1024;  // the kernel's, for an answer that a client may read slowly

}  // namespace

void AnswerWriter::WriteWhole(std::string text) {
  text_ = std::move(text);
  written_ = 0;
  last_ = true;
  WriteMore();
}

void AnswerWriter::WriteStream(std::string head, std::shared_ptr<core::BodySource> rest, bool chunked,
                               std::function<void(bool)> passed) {
  error_code ignored;
  socket_.set_option(asio::socket_base::send_buffer_size(kStreamBuffer), ignored);
  rest_ = std::move(rest);
  passed_ = std::move(passed);
  chunked_ = chunked;
  text_ = std::move(head);
  written_ = 0;
  last_ = false;
  WriteMore();
}

void AnswerWriter::Stop() {
  ++turn_;
  EndStream(false);
}

// Most answers fit into the kernel's buffer: those go out without a turn of the loop.
void AnswerWriter::WriteMore() {
  writing_ = true;
  came_on_ = core::Now();
  error_code ec;
  while (written_ < text_.size() && !ec) written_ += socket_.write_some(asio::buffer(text_) + written_, ec);
  if (written_ == text_.size()) return Wrote();
  if (ec != asio::error::would_block) return ended_(End::kBroken);
  socket_.async_wait(asio::ip::tcp::socket::wait_write,
                     [this, owner = owner_(), turn = turn_](error_code wait_ec) {
                       if (turn_ != turn) return;
                       wait_ec ? ended_(End::kBroken) : WriteMore();
                     });
}

void AnswerWriter::Wrote() {
  writing_ = false;
  if (!last_) return AskOn();
  text_ = {};
  EndStream(true);
  ended_(End::kWritten);
}

void AnswerWriter::AskOn() {
  rest_->RequestData(
      [this, owner = owner_(), turn = turn_](core::BodySource::Status next, std::string_view piece) {
        if (turn_ != turn || !rest_) return;
        if (next == core::BodySource::Status::kBroken) return ended_(End::kCut);
        last_ = next == core::BodySource::Status::kComplete;
        text_ = last_ ? std::string(chunked_ ? core::kLastChunk : "") : core::EncodeBodyData(piece, chunked_);
        written_ = 0;
        WriteMore();
      });
}

void AnswerWriter::EndStream(bool whole) {
  const auto rest = std::exchange(rest_, nullptr);
  if (rest && !whole) rest->Cancel();
  if (const auto passed = std::exchange(passed_, nullptr)) passed(whole);
}

}  // namespace meadowyard
