#include "fronts/http/answer_writer.hpp"

#include <utility>

#include "core/clock.hpp"

namespace meadowyard {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr int kStreamSendBufferBytes = 256 * 1024;  // SO_SNDBUF for streams, whose clients may read slowly

}  // namespace

void AnswerWriter::WriteComplete(std::string text) {
  output_ = std::move(text);
  written_bytes_ = 0;
  is_last_ = true;
  WriteMore();
}

void AnswerWriter::WriteStream(std::string head, std::shared_ptr<core::BodySource> remaining_body,
                               bool chunked, std::function<void(bool)> on_delivered) {
  error_code ignored;
  socket_.set_option(asio::socket_base::send_buffer_size(kStreamSendBufferBytes), ignored);
  remaining_body_ = std::move(remaining_body);
  on_delivered_ = std::move(on_delivered);
  chunked_ = chunked;
  output_ = std::move(head);
  written_bytes_ = 0;
  is_last_ = false;
  WriteMore();
}

void AnswerWriter::Stop() {
  ++generation_;
  EndStream(false);
}

// Writes synchronously first: most answers fit into the socket's send buffer and need no further pass of the
// event loop.
void AnswerWriter::WriteMore() {
  writing_ = true;
  last_progress_at_ = core::Now();
  error_code ec;
  while (written_bytes_ < output_.size() && (!ec || ec == asio::error::interrupted))
    written_bytes_ += socket_.write_some(asio::buffer(output_) + written_bytes_, ec);
  if (written_bytes_ == output_.size()) return OnTextWritten();
  if (ec != asio::error::would_block) return on_end_(End::kBroken);
  socket_.async_wait(asio::ip::tcp::socket::wait_write, [this, owner_reference = owner_reference_(),
                                                         generation = generation_](error_code wait_ec) {
    if (generation_ != generation) return;
    wait_ec ? on_end_(End::kBroken) : WriteMore();
  });
}

void AnswerWriter::OnTextWritten() {
  writing_ = false;
  if (!is_last_) return RequestNextPiece();
  output_ = {};
  EndStream(true);
  on_end_(End::kWritten);
}

void AnswerWriter::RequestNextPiece() {
  remaining_body_->RequestData([this, owner_reference = owner_reference_(), generation = generation_](
                                   core::BodySource::Status status, std::string_view piece) {
    if (generation_ != generation || !remaining_body_) return;
    if (status == core::BodySource::Status::kBroken) return on_end_(End::kTruncated);
    is_last_ = status == core::BodySource::Status::kComplete;
    output_ =
        is_last_ ? std::string(chunked_ ? core::kLastChunk : "") : core::EncodeBodyData(piece, chunked_);
    written_bytes_ = 0;
    WriteMore();
  });
}

void AnswerWriter::EndStream(bool complete) {
  const auto remaining_body = std::exchange(remaining_body_, nullptr);
  if (remaining_body && !complete) remaining_body->Cancel();
  if (const auto on_delivered = std::exchange(on_delivered_, nullptr)) on_delivered(complete);
}

}  // namespace meadowyard
