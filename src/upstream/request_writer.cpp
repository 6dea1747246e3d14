#include "upstream/request_writer.hpp"

#include <algorithm>
#include <utility>

#include "http/messages.hpp"

namespace meadowyard {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

std::string Serialize(const core::RequestMessage& request, const core::BodySource* body_source,
                      std::int64_t timeout_ms) {
  std::string text;
  text.reserve(512 + request.body.size());
  text.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
  request.fields.ForEach([&](std::string_view name, std::string_view value) {
    if (!core::EqualFieldNames(name, "Req-Deadline"))
      text.append(name).append(": ").append(value).append("\r\n");
  });
  text.append("Req-Deadline: ").append(std::to_string(std::max<std::int64_t>(1, timeout_ms))).append("m\r\n");
  if (body_source != nullptr && !body_source->length())
    return text.append("Transfer-Encoding: chunked\r\n\r\n").append(core::EncodeBodyData(request.body, true));
  const std::uint64_t length = body_source != nullptr ? *body_source->length() : request.body.size();
  const bool omits_length = length == 0 && (request.method == "GET" || request.method == "HEAD");
  if (!omits_length) text.append("Content-Length: ").append(std::to_string(length)).append("\r\n");
  return text.append("\r\n").append(request.body);
}

}  // namespace

void RequestWriter::Write(const core::RequestMessage& request, std::shared_ptr<core::BodySource> body_source,
                          Millis response_timeout) {
  body_source_ = std::move(body_source);
  has_last_piece_ = !body_source_;
  chunked_ = body_source_ && !body_source_->length();
  text_ = Serialize(request, body_source_.get(), static_cast<std::int64_t>(response_timeout));
  written_ = 0;
  WriteMore();
}

void RequestWriter::Reset() {
  ++generation_;
  body_source_.reset();
  text_ = {};
  written_ = 0;
  has_last_piece_ = false;
}

// Writes synchronously, so that the count of accepted bytes is always exact. An asynchronous write would
// report them later, and a timeout in between would treat a request as never sent although the host has it.
void RequestWriter::WriteMore() {
  error_code ec;
  while (written_ < text_.size() && (!ec || ec == asio::error::interrupted))
    written_ += socket_.write_some(asio::buffer(text_) + written_, ec);
  if (ec && ec != asio::error::would_block) return handlers_.on_write_failed();
  if (IsFullyWritten()) {
    body_source_.reset();
    return handlers_.on_written();
  }
  if (written_ == text_.size()) return RequestNextPiece();
  if (body_source_) handlers_.on_waiting_for_host();
  socket_.async_wait(asio::ip::tcp::socket::wait_write,
                     [this, owner = handlers_.owner(), generation = generation_](error_code) {
                       if (generation_ == generation) WriteMore();
                     });
}

// Requests the next piece of a body that is still arriving. A stalled client is detected by the source, which
// then reports kBroken.
void RequestWriter::RequestNextPiece() {
  handlers_.on_waiting_for_body();
  body_source_->RequestData([this, owner = handlers_.owner(), generation = generation_](
                                core::BodySource::Status next, std::string_view piece) {
    if (generation_ != generation) return;
    if (next == core::BodySource::Status::kBroken) return handlers_.on_body_broken();
    has_last_piece_ = next == core::BodySource::Status::kComplete;
    if (has_last_piece_ && !chunked_) return WriteMore();  // no last chunk: the length ends the body
    text_ = has_last_piece_ ? std::string(core::kLastChunk) : core::EncodeBodyData(piece, chunked_);
    written_ = 0;
    WriteMore();
  });
}

}  // namespace meadowyard
