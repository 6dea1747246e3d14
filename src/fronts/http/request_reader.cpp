#include "fronts/http/request_reader.hpp"

namespace meadowyard {
namespace {

namespace http = boost::beast::http;
constexpr std::size_t kMaxIdleBufferBytes = 4096;  // for an idle persistent connection
// Largest part of a body that a client's kernel holds unsent: Linux's default limit (net.ipv4.tcp_wmem).
constexpr std::uint64_t kMaxClientSendBufferBytes = 4u << 20;

}  // namespace

void RequestReader::Restart() {
  piece_ = {};
  if (buffer_.size() == 0 && buffer_.capacity() > kMaxIdleBufferBytes) buffer_.shrink_to_fit();
  parser_.emplace();
  parser_->body_limit(core::kMaxBodyBytes);
  parser_->header_limit(kMaxHeaderBytes);
}

std::size_t RequestReader::ArrivedBytes() const {
  Error ignored;
  return buffer_.size() + socket_.available(ignored);
}

bool RequestReader::IsBodyKnownIncomplete(std::size_t arrived_bytes, bool settled) const {
  if (parser_->is_done() || !socket_.is_open()) return false;
  const auto remaining_bytes = parser_->content_length_remaining();  // none: a chunked body can end anywhere
  if (remaining_bytes && *remaining_bytes > arrived_bytes + kMaxClientSendBufferBytes) return true;
  return settled && arrived_bytes == 0;
}

std::optional<std::uint64_t> RequestReader::length() const {
  const auto length = parser_->content_length();
  return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

std::string_view RequestReader::unread() const {
  const auto unread = buffer_.data();
  return {static_cast<const char*>(unread.data()), unread.size()};
}

void RequestReader::Feed(std::string_view unread) {
  const auto space = buffer_.prepare(unread.size());
  buffer_.commit(boost::asio::buffer_copy(space, boost::asio::buffer(unread.data(), unread.size())));
}

RequestReader::Error RequestReader::ReadAhead(std::size_t max_bytes) {
  Error ec;
  while ((!ec || ec == boost::asio::error::interrupted) && buffer_.size() < max_bytes) {
    buffer_.commit(socket_.read_some(buffer_.prepare(max_bytes - buffer_.size()), ec));
  }
  return ec;
}

bool IsMalformed(boost::system::error_code ec) {
  return ec.category() == http::make_error_code(http::error::bad_version).category() &&
         ec != http::error::end_of_stream && ec != http::error::partial_message;
}

Page MalformedPage(boost::system::error_code ec) {
  const bool body_too_large = ec == http::error::body_limit;
  const bool head_too_large = ec == http::error::header_limit || ec == http::error::buffer_overflow;
  return ErrorPage(body_too_large ? 413 : head_too_large ? 431 : 400, ec.message());
}

}  // namespace meadowyard
