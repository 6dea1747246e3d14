#include <algorithm>
#include <array>
#include <utility>

#include "fronts/tunnel/handshake.hpp"

namespace meadowyard {
namespace {

namespace ip = boost::asio::ip;

constexpr unsigned char kSocksVersion = 5, kPasswordAuthVersion = 1;
constexpr unsigned char kNoAcceptableMethod = 0xff, kNoAuthentication = 0, kUsernamePassword = 2;
// RFC 1928, section 6.
enum ReplyCode : unsigned char {
  kSuccess = 0,
  kGeneralFailure = 1,
  kNotAllowed = 2,  // by the ruleset
  kHostUnreachable = 4,
  kConnectionRefused = 5,
  kCommandNotSupported = 7,
  kAddressTypeNotSupported = 8,
};

std::string Bytes(std::initializer_list<unsigned char> bytes) { return {bytes.begin(), bytes.end()}; }

std::string FormatReply(ReplyCode code, const ip::tcp::endpoint& bound = {}) {
  std::string text = Bytes({kSocksVersion, code, 0});
  const auto append = [&](const auto& bytes) { text.append(bytes.begin(), bytes.end()); };
  if (bound.address().is_v6()) {
    text += '\x04';
    append(bound.address().to_v6().to_bytes());
  } else {
    text += '\x01';
    append(bound.address().to_v4().to_bytes());
  }
  return text + static_cast<char>(bound.port() >> 8) + static_cast<char>(bound.port() & 255);
}

class SocksHandshake : public Handshake {
 public:
  explicit SocksHandshake(Check check) : check_(std::move(check)) {}

  Step Feed(std::string& input) override {
    while (true) {
      const Stage stage_before = stage_;
      const Step step = stage_ == Stage::kMethods            ? ReadMethods(input)
                        : stage_ == Stage::kUsernamePassword ? ReadPassword(input)
                                                             : ReadRequest(input);
      if (step != Step::kMore || stage_ == stage_before) return step;
    }
  }

  std::string Reply(TunnelReply reply, Millis, const ip::tcp::endpoint& bound) const override {
    switch (reply) {
      case TunnelReply::kOpen: return FormatReply(kSuccess, bound);
      case TunnelReply::kDenied: return FormatReply(kNotAllowed);
      case TunnelReply::kUnavailable: return FormatReply(kGeneralFailure);
      case TunnelReply::kUnreachable: return FormatReply(kConnectionRefused);
      case TunnelReply::kDeadlineExceeded: return FormatReply(kHostUnreachable);
    }
    return FormatReply(kGeneralFailure);
  }

 private:
  enum class Stage { kMethods, kUsernamePassword, kRequest };
  static unsigned char ByteAt(const std::string& input, std::size_t index) {
    return static_cast<unsigned char>(input[index]);
  }

  // A client of another SOCKS version could not parse a SOCKS5 reply, so it gets none.
  Step ReadMethods(std::string& input) {
    if (!input.empty() && ByteAt(input, 0) != kSocksVersion) return Reject("", "not SOCKS5");
    if (input.size() < 2 || input.size() < 2u + ByteAt(input, 1)) return Step::kMore;
    const unsigned char requested = check_ ? kUsernamePassword : kNoAuthentication;
    const auto methods = std::string_view(input).substr(2, ByteAt(input, 1));
    if (methods.find(static_cast<char>(requested)) == std::string_view::npos) {
      return Reject(Bytes({kSocksVersion, kNoAcceptableMethod}),
                    check_ ? "no credentials offered" : "no method in common");
    }
    input.erase(0, 2u + methods.size());
    output_ += Bytes({kSocksVersion, requested});
    stage_ = check_ ? Stage::kUsernamePassword : Stage::kRequest;
    return Step::kMore;
  }

  Step ReadPassword(std::string& input) {
    if (!input.empty() && ByteAt(input, 0) != kPasswordAuthVersion) {
      return Reject(Bytes({kPasswordAuthVersion, 1}), "credentials of another version");
    }
    if (input.size() < 2) return Step::kMore;
    const std::size_t user = ByteAt(input, 1);
    if (input.size() < 3 + user) return Step::kMore;
    const std::size_t password = ByteAt(input, 2 + user);
    if (input.size() < 3 + user + password) return Step::kMore;
    user_ = input.substr(2, user);
    if (!check_(user_, std::string_view(input).substr(3 + user, password))) {
      return Reject(Bytes({kPasswordAuthVersion, 1}), "wrong credentials");
    }
    input.erase(0, 3 + user + password);
    output_ += Bytes({kPasswordAuthVersion, 0});
    stage_ = Stage::kRequest;
    return Step::kMore;
  }

  // If the length of the request is known, reads all of it before rejecting it: closing a connection with
  // unread bytes resets it, and the client could lose the reply.
  Step ReadRequest(std::string& input) {
    if (!input.empty() && ByteAt(input, 0) != kSocksVersion)
      return Reject(FormatReply(kGeneralFailure), "a request of another version");
    if (input.size() < 4) return Step::kMore;
    const unsigned char address_type = ByteAt(input, 3);
    if (address_type != 1 && address_type != 3 && address_type != 4)
      return Reject(FormatReply(kAddressTypeNotSupported), "unknown form of address");
    if (input.size() < 5) return Step::kMore;
    const std::size_t size = address_type == 1 ? 4 : address_type == 4 ? 16 : 1u + ByteAt(input, 4);
    if (input.size() < 4 + size + 2) return Step::kMore;
    const std::string address = input.substr(4, size);
    const auto port = static_cast<std::uint16_t>(ByteAt(input, 4 + size) << 8 | ByteAt(input, 5 + size));
    const unsigned char command = ByteAt(input, 1);
    input.erase(0, 4 + size + 2);
    if (command != 1) return Reject(FormatReply(kCommandNotSupported), "another command than CONNECT");
    std::string error;
    const auto requested = MakeDestination(FormatHost(address_type, address), port, error);
    if (!requested) return Reject(FormatReply(kGeneralFailure), "bad destination: " + error);
    destination_ = *requested;
    return Step::kRequestComplete;
  }

  static std::string FormatHost(unsigned char address_type, const std::string& bytes) {
    if (address_type == 3) return bytes.substr(1);
    if (address_type == 1) {
      ip::address_v4::bytes_type ipv4_bytes;
      std::copy(bytes.begin(), bytes.end(), ipv4_bytes.begin());
      return ip::address_v4(ipv4_bytes).to_string();
    }
    ip::address_v6::bytes_type ipv6_bytes;
    std::copy(bytes.begin(), bytes.end(), ipv6_bytes.begin());
    return ip::address_v6(ipv6_bytes).to_string();
  }

  const Check check_;
  Stage stage_ = Stage::kMethods;
};

}  // namespace

std::unique_ptr<Handshake> MakeSocksHandshake(Handshake::Check check) {
  return std::make_unique<SocksHandshake>(std::move(check));
}

}  // namespace meadowyard
