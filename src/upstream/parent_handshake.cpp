#include "upstream/parent_handshake.hpp"

#include "discovery/discovery.hpp"

namespace meadowyard {
namespace {

constexpr std::size_t kMaxResponseHeadBytes = 8192;

// Maps a SOCKS5 reply code (RFC 1928, section 6): 3 to 6 are failures to reach the host, all others are
// rejections or failures of the parent.
AttemptResult ToAttemptResult(unsigned char reply) {
  if (reply == 0) return AttemptResult::kServed;
  return reply >= 3 && reply <= 6 ? AttemptResult::kConnectFailed : AttemptResult::kRejected;
}

}  // namespace

std::string ToBase64(std::string_view bytes) {
  constexpr char kDigits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    unsigned group = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      group = group << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0u);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      text += i + k > bytes.size() ? '=' : kDigits[group >> (18 - 6 * k) & 63];
    }
  }
  return text;
}

ParentHandshake::ParentHandshake(const ParentAccess& parent, const boost::asio::ip::tcp::endpoint& target)
    : parent_(parent), target_(target) {
  if (parent_.socks) {
    output_ = parent_.user.empty() ? std::string("\x05\x01\x00", 3) : std::string("\x05\x01\x02", 3);
    return;
  }
  stage_ = Stage::kConnectResponse;
  const std::string authority = discovery::FormatAddress(target_);
  output_ = "CONNECT " + authority + " HTTP/1.1\r\nHost: " + authority + "\r\n";
  if (!parent_.user.empty()) {
    output_ += "Proxy-Authorization: Basic " + ToBase64(parent_.user + ":" + parent_.password) + "\r\n";
  }
  output_ += "\r\n";
}

std::optional<AttemptResult> ParentHandshake::Feed(std::string& input) {
  return stage_ == Stage::kConnectResponse ? FeedConnectResponse(input) : FeedSocks(input);
}

void ParentHandshake::WriteSocksRequest() {
  stage_ = Stage::kSocksReply;
  output_ = std::string("\x05\x01\x00", 3);
  const auto append = [this](const auto& bytes) { output_.append(bytes.begin(), bytes.end()); };
  if (target_.address().is_v4()) {
    output_ += '\x01';
    append(target_.address().to_v4().to_bytes());
  } else {
    output_ += '\x04';
    append(target_.address().to_v6().to_bytes());
  }
  output_ += static_cast<char>(target_.port() >> 8);
  output_ += static_cast<char>(target_.port() & 255);
}

std::optional<AttemptResult> ParentHandshake::FeedSocks(std::string& input) {
  const auto byte = [&](std::size_t i) { return static_cast<unsigned char>(input[i]); };
  if (stage_ == Stage::kSocksMethod) {
    if (input.size() < 2) return std::nullopt;
    const unsigned char expected_method = parent_.user.empty() ? 0 : 2;
    if (byte(0) != 5) return AttemptResult::kConnectFailed;
    if (byte(1) != expected_method) return AttemptResult::kRejected;
    input.erase(0, 2);
    if (expected_method == 0) {
      WriteSocksRequest();
    } else {
      stage_ = Stage::kSocksPassword;
      output_ = std::string("\x01", 1) + static_cast<char>(parent_.user.size()) + parent_.user +
                static_cast<char>(parent_.password.size()) + parent_.password;
    }
    return std::nullopt;
  }
  if (stage_ == Stage::kSocksPassword) {
    if (input.size() < 2) return std::nullopt;
    if (byte(1) != 0) return AttemptResult::kRejected;
    input.erase(0, 2);
    WriteSocksRequest();
    return std::nullopt;
  }
  if (input.size() < 5) return std::nullopt;
  if (byte(0) != 5) return AttemptResult::kConnectFailed;
  const std::size_t address = byte(3) == 1 ? 4 : byte(3) == 4 ? 16 : byte(3) == 3 ? 1u + byte(4) : 0;
  if (address == 0) return AttemptResult::kConnectFailed;
  const AttemptResult result = ToAttemptResult(byte(1));
  if (result != AttemptResult::kServed) return result;
  if (input.size() < 4 + address + 2) return std::nullopt;
  input.erase(0, 4 + address + 2);
  return result;
}

// Any 2xx opens the tunnel and has no body (RFC 9110, section 9.3.6).
std::optional<AttemptResult> ParentHandshake::FeedConnectResponse(std::string& input) {
  const std::size_t end = input.find("\r\n\r\n");
  if (end == std::string::npos) {
    const bool is_not_http = input.size() >= 5 && !input.starts_with("HTTP/");
    return is_not_http || input.size() > kMaxResponseHeadBytes ? std::optional(AttemptResult::kConnectFailed)
                                                               : std::nullopt;
  }
  if (!input.starts_with("HTTP/1.") || input.size() < 12 || input[8] != ' ')
    return AttemptResult::kConnectFailed;
  const std::string status = input.substr(9, 3);
  input.erase(0, end + 4);
  if (status[0] == '2') return AttemptResult::kServed;
  const bool is_host_unreachable = status == "502" || status == "504";
  return is_host_unreachable ? AttemptResult::kConnectFailed : AttemptResult::kRejected;
}

}  // namespace meadowyard
