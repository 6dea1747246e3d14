#include "lab/parent_proxy.hpp"

#include <array>
#include <boost/asio/write.hpp>
#include <memory>

#include "fronts/tunnel/handshake.hpp"

namespace meadowyard::lab {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr std::size_t kMostHead = 8192;

}  // namespace

struct ParentProxy::Guest : std::enable_shared_from_this<Guest> {
  enum class Mood { kGood, kSilent, kRefuses };
  struct Way {
    std::array<char, 16384> piece;
  };
  Guest(ParentProxy& p, tcp::socket s, Mood m)
      : proxy(p),
        client(std::move(s)),
        target(p.io_),
        mood(m),
        handshake(p.spec_.socks ? MakeSocksHandshake(nullptr) : MakeConnectHandshake(nullptr, kMostHead)) {}

  void Read() {
    client.async_read_some(asio::buffer(up.piece), [self = shared_from_this()](error_code ec, std::size_t n) {
      if (ec) return self->Close();
      self->in.append(self->up.piece.data(), n);
      self->mood == Mood::kSilent ? self->Read() : self->Fed();
    });
  }
  void Fed() {
    const Handshake::Step step = handshake->Feed(in);
    Say(handshake->TakeOutput(), [this, step] {
      if (step == Handshake::Step::kMore) return Read();
      const auto& to = handshake->destination();
      if (step == Handshake::Step::kRejected) return Close();
      if (mood == Mood::kRefuses || !to.address) {
        return Say(handshake->Reply(TunnelReply::kDenied, 0, {}), [this] { Close(); });
      }
      target.async_connect({*to.address, to.port},
                           [self = shared_from_this()](error_code ec) { self->Dialled(ec); });
    });
  }
  void Dialled(error_code ec) {
    if (ec) return Say(handshake->Reply(TunnelReply::kUnreachable, 0, {}), [this] { Close(); });
    ++proxy.opened_;
    Say(handshake->Reply(TunnelReply::kOpen, 0, target.local_endpoint(ec)), [this] {
      Pass(client, target, up);
      Pass(target, client, down);
    });
  }
  template <typename Then>
  void Say(std::string text, Then then) {
    out = std::move(text);
    asio::async_write(
        client, asio::buffer(out),
        [self = shared_from_this(), then](error_code ec, std::size_t) { ec ? self->Close() : then(); });
  }
  void Pass(tcp::socket& from, tcp::socket& to, Way& way) {
    from.async_read_some(asio::buffer(way.piece), [this, self = shared_from_this(), &from, &to, &way](
                                                      error_code ec, std::size_t n) {
      if (ec) return Close();
      asio::async_write(to, asio::buffer(way.piece.data(), n),
                        [this, self, &from, &to, &way](error_code write_ec, std::size_t) {
                          write_ec ? Close() : Pass(from, to, way);
                        });
    });
  }
  void Close() {
    error_code ignored;
    client.close(ignored);
    target.close(ignored);
  }

  ParentProxy& proxy;
  tcp::socket client, target;
  const Mood mood;
  std::unique_ptr<Handshake> handshake;
  std::string in, out;
  Way up, down;
};

ParentProxy::ParentProxy(asio::io_context& io, const ParentSpec& spec, std::uint64_t seed)
    : io_(io),
      acceptor_(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      spec_(spec),
      random_(seed, "parent proxy") {
  Accept();
}

std::string ParentProxy::address() const {
  return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

void ParentProxy::Accept() {
  acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
    if (ec) return;
    const double draw = random_.Uniform();
    const bool silent = draw < spec_.silent, refuses = !silent && draw < spec_.silent + spec_.refuses;
    silent_ += silent;
    refused_ += refuses;
    std::make_shared<Guest>(*this, std::move(socket),
                            silent    ? Guest::Mood::kSilent
                            : refuses ? Guest::Mood::kRefuses
                                      : Guest::Mood::kGood)
        ->Read();
    Accept();
  });
}

}  // namespace meadowyard::lab
