#include "upstream/request_writer.hpp"

#include <algorithm>
#include <utility>

#include "http/messages.hpp"

namespace meadowyard {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

std::string Serialize(const core::RequestMessage& call, const core::BodySource* rest, std::int64_t left) {
  std::string text;
  text.reserve(512 + call.body.size());
  text.append(call.method).append(" ").append(call.target).append(" HTTP/1.1\r\n");
  call.fields.ForEach([&](std::string_view name, std::string_view value) {
    if (!core::EqualFieldNames(name, "Req-Deadline"))
      text.append(name).append(": ").append(value).append("\r\n");
  });
  text.append("Req-Deadline: ").append(std::to_string(std::max<std::int64_t>(1, left))).append("m\r\n");
  if (rest != nullptr && !rest->length())
    return text.append("Transfer-Encoding: chunked\r\n\r\n").append(core::EncodeBodyData(call.body, true));
  const std::uint64_t length = rest != nullptr ? *rest->length() : call.body.size();
  const bool bodiless = length == 0 && (call.method == "GET" || call.method == "HEAD");
  if (!bodiless) text.append("Content-Length: ").append(std::to_string(length)).append("\r\n");
  return text.append("\r\n").append(call.body);
}

}  // namespace

void RequestWriter::Write(const core::RequestMessage& call, std::shared_ptr<core::BodySource> rest,
                          Millis patience) {
  rest_ = std::move(rest);
  whole_ = !rest_;
  chunked_ = rest_ && !rest_->length();
  text_ = Serialize(call, rest_.get(), static_cast<std::int64_t>(patience));
  written_ = 0;
  WriteMore();
}

void RequestWriter::Reset() {
  ++turn_;
  rest_.reset();
  text_ = {};
  written_ = 0;
  whole_ = false;
}

// Counts what the kernel took at the moment it takes it: an asynchronous write would tell later, and a
// time-out in between would call a request never sent that its host has.
void RequestWriter::WriteMore() {
  error_code ec;
  while (written_ < text_.size() && !ec) written_ += socket_.write_some(asio::buffer(text_) + written_, ec);
  if (ec && ec != asio::error::would_block) return handlers_.failed();
  if (WrittenWhole()) {
    rest_.reset();
    return handlers_.whole();
  }
  if (written_ == text_.size()) return AskOn();
  if (rest_) handlers_.awaits_host();
  socket_.async_wait(asio::ip::tcp::socket::wait_write,
                     [this, owner = handlers_.owner(), turn = turn_](error_code) {
                       if (turn_ == turn) WriteMore();
                     });
}

// The next piece of a body that is still coming. If its client stalls, its side says so.
void RequestWriter::AskOn() {
  handlers_.awaits_body();
  rest_->RequestData(
      [this, owner = handlers_.owner(), turn = turn_](core::BodySource::Status next, std::string_view piece) {
        if (turn_ != turn) return;
        if (next == core::BodySource::Status::kBroken) return handlers_.broken();
        whole_ = next == core::BodySource::Status::kComplete;
        if (whole_ && !chunked_) return WriteMore();  // nothing is left to write
        text_ = whole_ ? std::string(core::kLastChunk) : core::EncodeBodyData(piece, chunked_);
        written_ = 0;
        WriteMore();
      });
}

}  // namespace meadowyard
