#include "lab/tunnel_bed.hpp"

#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include "lab/relay.hpp"
#include "lab/stream.hpp"

namespace meadowyard::lab {
namespace {

namespace asio = boost::asio;
namespace fs = std::filesystem;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr Millis kMostStart = 6000;
constexpr std::size_t kReplies = 12;  // the method, and a reply with an IPv4 address

DiscoverySpec Prompt() {
  DiscoverySpec spec;
  spec.delay = 0;
  spec.call_work = 0;
  return spec;
}

}  // namespace

struct TunnelTarget::Guest : std::enable_shared_from_this<Guest> {
  Guest(tcp::socket s, std::shared_ptr<Visit> v)
      : socket(std::move(s)), visit(std::move(v)), pause(socket.get_executor()) {}
  void Echo() {
    socket.async_read_some(asio::buffer(piece), [self = shared_from_this()](error_code ec, std::size_t n) {
      if (ec) return self->Leave();
      asio::async_write(
          self->socket, asio::buffer(self->piece.data(), n),
          [self](error_code write_ec, std::size_t) { write_ec ? self->Leave() : self->Echo(); });
    });
  }
  void Send() {
    static const std::string block(256 * 1024, 'x');
    asio::async_write(socket, asio::buffer(block), [self = shared_from_this()](error_code ec, std::size_t) {
      ec ? self->Leave() : self->Send();
    });
  }
  // Takes all, and says nothing.
  void Swallow() {
    socket.async_read_some(asio::buffer(piece), [self = shared_from_this()](error_code ec, std::size_t) {
      ec ? self->Leave() : self->Swallow();
    });
  }
  // Whether the other side has closed, however much of what it sent is unread.
  bool Gone() {
    tcp_info info{};
    socklen_t size = sizeof info;
    return ::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
           info.tcpi_state != TCP_ESTABLISHED;
  }
  // Takes so many bytes every 50 ms.
  void Sip(std::size_t most) {
    if (Gone()) return Leave();
    if (most > 0) ::recv(socket.native_handle(), piece.data(), most, MSG_DONTWAIT);
    pause.expires_after(Wait(50));
    pause.async_wait([self = shared_from_this(), most](error_code ec) {
      if (!ec) self->Sip(most);
    });
  }
  void Leave() {
    error_code ignored;
    socket.close(ignored);
    visit->went = Clock();
  }
  tcp::socket socket;
  std::shared_ptr<Visit> visit;
  asio::steady_timer pause;
  std::array<char, 16384> piece;
};

TunnelTarget::TunnelTarget(asio::io_context& io, Habit habit)
    : acceptor_(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)), habit_(habit) {
  acceptor_.listen(4096);
  Accept();
}

std::string TunnelTarget::address() const {
  return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

void TunnelTarget::Accept() {
  acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
    if (ec) return;
    visits_.push_back(std::make_shared<Visit>());
    visits_.back()->came = Clock();
    const auto guest = std::make_shared<Guest>(std::move(socket), visits_.back());
    switch (habit_) {
      case Habit::kEcho: guest->Echo(); break;
      case Habit::kSource: guest->Send(); break;
      case Habit::kSink: guest->Swallow(); break;
      case Habit::kSlow: guest->Sip(128); break;
      case Habit::kSilent: guest->Sip(0); break;
    }
    Accept();
  });
}

TunnelClient::TunnelClient(asio::io_context& io, const std::string& listener, Handlers handlers)
    : socket_(io), handlers_(std::move(handlers)) {
  socket_.connect(ToEndpoint(listener));
  socket_.set_option(tcp::no_delay(true));
}

std::string TunnelClient::Call(const std::string& name) {
  return std::string("\x05\x01\x00\x05\x01\x00\x03", 7) + static_cast<char>(name.size()) + name +
         std::string("\x01\xbb", 2);
}

void TunnelClient::Say(std::string bytes) {
  const bool first = head_ == 0 && !over_;
  const auto kept = std::make_shared<std::string>(std::move(bytes));
  asio::async_write(socket_, asio::buffer(*kept),
                    [kept, self = shared_from_this()](error_code, std::size_t) {});
  if (first && std::exchange(head_, 1) == 0) Read();
}

void TunnelClient::HalfClose() {
  error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
}

void TunnelClient::Close() {
  over_ = true;
  error_code ignored;
  socket_.close(ignored);
}

void TunnelClient::Read() {
  socket_.async_read_some(asio::buffer(piece_), [self = shared_from_this()](error_code ec, std::size_t n) {
    if (self->over_) return;
    if (ec) {
      self->Close();
      return self->handlers_.ended(ec != asio::error::eof);
    }
    std::string_view bytes(self->piece_.data(), n);
    while (self->head_ <= kReplies && !bytes.empty()) {  // 1 more than has come
      if (self->head_ == 4) self->handlers_.replied(bytes.front() == 0);
      ++self->head_;
      bytes.remove_prefix(1);
    }
    if (!bytes.empty() && self->handlers_.heard) self->handlers_.heard(bytes);
    if (!self->over_) self->Read();
  });
}

TunnelBed::TunnelBed(asio::io_context& io, const std::string& name,
                     const std::vector<TunnelTarget::Habit>& habits, const ParentProxy* parent)
    : io_(io),
      folder_((fs::temp_directory_path() / fmt::format("meadowyard-{}-{}", name, ::getpid())).string()),
      discovery_(io, Prompt(), 1, ledger_),
      listen_(FreeAddress()),
      listener_(FreeAddress()) {
  fs::create_directories(folder_);
  std::string edge =
      "[tunnels]\nclass = \"tunnel\"\nmost = 3000\nhandshakes = 3000\nparent_ms = "
      "250\n[[listener]]\nprotocol = \"socks5\"\n";
  edge += "address = \"" + listener_ + "\"\n[[pool]]\nname = \"fleet\"\ndiscovered = true\n";
  for (std::size_t i = 0; i < habits.size(); ++i) {
    ledger_.hosts.push_back("h" + std::to_string(i));
    targets_.push_back(std::make_unique<TunnelTarget>(io, habits[i]));
    discovery_.Put(static_cast<int>(i), MemberOf(i, "up"));
    edge += fmt::format(
        "[[route]]\nname = \"h{0}\"\nto = \"h{0}.internal\"\npool = \"fleet\"\nhost = \"h{0}\"\n", i);
  }
  if (parent != nullptr) {
    edge += fmt::format("[[pool]]\nname = \"far\"\nparent = {{ protocol = \"socks5\", address = \"{}\" }}\n",
                        parent->address());
    for (std::size_t i = 0; i < habits.size(); ++i) {
      edge += fmt::format("[[pool.host]]\nid = \"f{}\"\naddress = \"{}\"\n", i, targets_[i]->address());
    }
    for (std::size_t i = 0; i < habits.size(); ++i) {
      edge += fmt::format(
          "[[route]]\nname = \"f{0}\"\nto = \"f{0}.internal\"\npool = \"far\"\nhost = \"f{0}\"\n", i);
    }
  }
  std::ofstream(folder_ + "/edge.toml") << edge << "[default]\npool = \"fleet\"\n";
  Experiment e;
  ClassSpec c;
  c.name = "view";
  e.classes = {c};
  e.fleet.kinds = {KindSpec()};
  const nlohmann::json file = {{"listen", listen_},
                               {"discovery", discovery_.addresses()[0]},
                               {"seed", "7"},
                               {"limits", {{"memory_mb", 512}, {"sockets", 12000}}},
                               {"known", discovery_.List(0)},
                               {"settings", GatewaySettings(e, 0)}};
  std::ofstream(folder_ + "/config.json") << file.dump(2);
}

TunnelBed::~TunnelBed() {
  std::error_code ignored;
  fs::remove_all(folder_, ignored);
}

DiscoveryStandIn::Member TunnelBed::MemberOf(std::size_t target, const std::string& phase) const {
  DiscoveryStandIn::Member member;
  member.id = "h" + std::to_string(target);
  member.address = targets_[target]->address();
  member.hall = "a";
  member.kind = "m";
  member.phase = phase;
  return member;
}

void TunnelBed::Phase(std::size_t target, const std::string& phase) {
  discovery_.Change(static_cast<int>(target), MemberOf(target, phase));
}

std::unique_ptr<Child> TunnelBed::Start() {
  admin_ = FreeAddress();
  const fs::path here = fs::read_symlink("/proc/self/exe").parent_path();
  auto child = std::make_unique<Child>(
      std::vector<std::string>{(here / "meadowyard").string(), "serve", "--log-level", "warn"},
      std::map<std::string, std::string>{{"NODE_CONFIG", folder_ + "/config.json"},
                                         {"NODE_LISTEN", listen_},
                                         {"NODE_ADMIN", admin_},
                                         {"TMPDIR", folder_},
                                         {"MEADOWYARD_EDGE", folder_ + "/edge.toml"}},
      folder_ + "/log");
  const bool serves = Until(kMostStart, [&] { return child->Ended() || Ask(admin_, "/status", 200) == 200; });
  if (!serves || child->Ended()) throw std::runtime_error("the gateway does not serve: " + child->LastLine());
  return child;
}

bool TunnelBed::Until(Millis most, const std::function<bool()>& done) {
  for (const Millis end = Clock() + most; !done();) {
    if (Clock() > end) return false;
    io_.run_for(std::chrono::milliseconds(5));
  }
  return true;
}

std::string TunnelBed::CallAdmin(const std::string& method, const std::string& path) {
  asio::io_context io;
  tcp::socket socket(io);
  socket.connect(ToEndpoint(admin_));
  asio::write(socket,
              asio::buffer(method + " " + path + " HTTP/1.1\r\nHost: lab\r\nContent-Length: 0\r\n\r\n"));
  std::string text;
  error_code ec;
  asio::read(socket, asio::dynamic_buffer(text), ec);
  const std::size_t body = text.find("\r\n\r\n");
  return body == std::string::npos ? "" : text.substr(body + 4);
}

std::string TunnelBed::Get(const std::string& path) { return CallAdmin("GET", path); }
std::string TunnelBed::Put(const std::string& path) { return CallAdmin("PUT", path); }

}  // namespace meadowyard::lab
