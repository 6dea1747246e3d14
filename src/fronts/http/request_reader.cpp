#include "fronts/http/request_reader.hpp"

namespace meadowyard {
namespace {

namespace http = boost::beast::http;
constexpr std::size_t kKeptBuffer = 4096;  // what a connection between requests may hold on to

}  // namespace

void RequestReader::Restart() {
  piece_ = {};
  if (buffer_.size() == 0 && buffer_.capacity() > kKeptBuffer) buffer_.shrink_to_fit();
  parser_.emplace();
  parser_->body_limit(core::kMaxBodyBytes);
  parser_->header_limit(kMaxHeaderBytes);
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
  const auto room = buffer_.prepare(unread.size());
  buffer_.commit(boost::asio::buffer_copy(room, boost::asio::buffer(unread.data(), unread.size())));
}

RequestReader::Error RequestReader::ReadAhead(std::size_t most) {
  Error ec;
  while (!ec && buffer_.size() < most) {
    buffer_.commit(socket_.read_some(buffer_.prepare(most - buffer_.size()), ec));
  }
  return ec;
}

bool IsMalformed(boost::system::error_code ec) {
  return ec.category() == http::make_error_code(http::error::bad_version).category() &&
         ec != http::error::end_of_stream && ec != http::error::partial_message;
}

Page MalformedPage(boost::system::error_code ec) {
  const bool large = ec == http::error::body_limit;
  const bool header = ec == http::error::header_limit || ec == http::error::buffer_overflow;
  return FaultPage(large ? 413 : header ? 431 : 400, ec.message());
}

void Upload::RequestData(DataCallback take) {
  begun_ = true;
  if (!asked_) {
    boost::asio::post(io_, [take = std::move(take)] { take(Status::kBroken, {}); });
    return;
  }
  take_ = std::move(take);
  asked_();
}

void Upload::Give(Status next, std::string_view piece) {
  if (const auto take = std::exchange(take_, nullptr)) take(next, piece);
}

void Upload::Detach() {
  asked_ = nullptr;
  Give(Status::kBroken, {});
}

}  // namespace meadowyard
