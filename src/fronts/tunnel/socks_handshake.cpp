#include <algorithm>
#include <array>
#include <utility>

#include "fronts/tunnel/handshake.hpp"

namespace meadowyard {
namespace {

namespace ip = boost::asio::ip;

constexpr unsigned char kVersion = 5, kPasswordVersion = 1;
constexpr unsigned char kNoMethod = 0xff, kNoCredentials = 0, kPassword = 2;
enum Code : unsigned char {
  kSucceeded = 0,
  kGeneralFailure = 1,
  kNotAllowed = 2,
  kHostUnreachable = 4,
  kRefusedThere = 5,
  kUnknownCommand = 7,
  kUnknownAddress = 8,
};

std::string Bytes(std::initializer_list<unsigned char> bytes) { return {bytes.begin(), bytes.end()}; }

std::string ReplyText(Code code, const ip::tcp::endpoint& bound = {}) {
  std::string text = Bytes({kVersion, code, 0});
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

  Step Feed(std::string& in) override {
    while (true) {
      const Stage before = stage_;
      const Step step = stage_ == Stage::kMethods    ? Methods(in)
                        : stage_ == Stage::kPassword ? Password(in)
                                                     : Ask(in);
      if (step != Step::kMore || stage_ == before) return step;
    }
  }

  std::string Reply(TunnelReply reply, Millis, const ip::tcp::endpoint& bound) const override {
    switch (reply) {
      case TunnelReply::kOpen: return ReplyText(kSucceeded, bound);
      case TunnelReply::kDenied: return ReplyText(kNotAllowed);
      case TunnelReply::kTurnedAway: return ReplyText(kGeneralFailure);
      case TunnelReply::kUnreachable: return ReplyText(kRefusedThere);
      case TunnelReply::kOverdue: return ReplyText(kHostUnreachable);
    }
    return ReplyText(kGeneralFailure);
  }

 private:
  enum class Stage { kMethods, kPassword, kRequest };
  static unsigned char At(const std::string& in, std::size_t i) { return static_cast<unsigned char>(in[i]); }

  // Another version's client would not understand an answer: it gets none.
  Step Methods(std::string& in) {
    if (!in.empty() && At(in, 0) != kVersion) return Refuse("", "not SOCKS5");
    if (in.size() < 2 || in.size() < 2u + At(in, 1)) return Step::kMore;
    const unsigned char wanted = check_ ? kPassword : kNoCredentials;
    const auto methods = std::string_view(in).substr(2, At(in, 1));
    if (methods.find(static_cast<char>(wanted)) == std::string_view::npos) {
      return Refuse(Bytes({kVersion, kNoMethod}), check_ ? "no credentials offered" : "no method in common");
    }
    in.erase(0, 2u + methods.size());
    output_ += Bytes({kVersion, wanted});
    stage_ = check_ ? Stage::kPassword : Stage::kRequest;
    return Step::kMore;
  }

  Step Password(std::string& in) {
    if (!in.empty() && At(in, 0) != kPasswordVersion) {
      return Refuse(Bytes({kPasswordVersion, 1}), "credentials of another version");
    }
    if (in.size() < 2) return Step::kMore;
    const std::size_t user = At(in, 1);
    if (in.size() < 3 + user) return Step::kMore;
    const std::size_t password = At(in, 2 + user);
    if (in.size() < 3 + user + password) return Step::kMore;
    user_ = in.substr(2, user);
    if (!check_(user_, std::string_view(in).substr(3 + user, password))) {
      return Refuse(Bytes({kPasswordVersion, 1}), "wrong credentials");
    }
    in.erase(0, 3 + user + password);
    output_ += Bytes({kPasswordVersion, 0});
    stage_ = Stage::kRequest;
    return Step::kMore;
  }

  // The whole request is read before any refusal, so that no byte of it is left to reset the connection.
  Step Ask(std::string& in) {
    if (!in.empty() && At(in, 0) != kVersion)
      return Refuse(ReplyText(kGeneralFailure), "a request of another version");
    if (in.size() < 4) return Step::kMore;
    const unsigned char form = At(in, 3);
    if (form != 1 && form != 3 && form != 4)
      return Refuse(ReplyText(kUnknownAddress), "unknown form of address");
    if (in.size() < 5) return Step::kMore;
    const std::size_t size = form == 1 ? 4 : form == 4 ? 16 : 1u + At(in, 4);
    if (in.size() < 4 + size + 2) return Step::kMore;
    const std::string address = in.substr(4, size);
    const auto port = static_cast<std::uint16_t>(At(in, 4 + size) << 8 | At(in, 5 + size));
    const unsigned char command = At(in, 1);
    in.erase(0, 4 + size + 2);
    if (command != 1) return Refuse(ReplyText(kUnknownCommand), "another command than CONNECT");
    std::string why;
    const auto wanted = MakeDestination(Host(form, address), port, why);
    if (!wanted) return Refuse(ReplyText(kGeneralFailure), "bad destination: " + why);
    destination_ = *wanted;
    return Step::kAsked;
  }

  static std::string Host(unsigned char form, const std::string& bytes) {
    if (form == 3) return bytes.substr(1);
    if (form == 1) {
      ip::address_v4::bytes_type four;
      std::copy(bytes.begin(), bytes.end(), four.begin());
      return ip::address_v4(four).to_string();
    }
    ip::address_v6::bytes_type sixteen;
    std::copy(bytes.begin(), bytes.end(), sixteen.begin());
    return ip::address_v6(sixteen).to_string();
  }

  const Check check_;
  Stage stage_ = Stage::kMethods;
};

}  // namespace

std::unique_ptr<Handshake> MakeSocksHandshake(Handshake::Check check) {
  return std::make_unique<SocksHandshake>(std::move(check));
}

}  // namespace meadowyard
