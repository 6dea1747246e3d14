#include "lab/relay.hpp"

#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <deque>
#include <stdexcept>

#include "lab/stream.hpp"

namespace meadowyard::lab {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;
using udp = asio::ip::udp;

constexpr std::size_t kMostHeld =
    256 * 1024;  // bytes on their way in one direction; then nothing more is read
constexpr std::size_t kMostPaths = 65536;

}  // namespace

tcp::endpoint ToEndpoint(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  return {asio::ip::make_address(address.substr(0, colon)),
          static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}

// Two sockets and what crosses between them.
struct Relay::Pair : std::enable_shared_from_this<Pair> {
  struct Way {
    Way(asio::io_context& io, const LinkSpec& link, std::uint64_t seed, std::string_view name,
        const Millis& cut)
        : model(link, seed, name), cut_until(cut), timer(io) {}
    LinkModel model;
    const Millis& cut_until;
    asio::steady_timer timer;
    std::array<char, 16384> buffer;
    std::deque<std::pair<Millis, std::string>> on_way;
    std::size_t held = 0;
    bool reading = false, ended = false;
  };
  Pair(Relay& r, tcp::socket c, std::uint64_t number)
      : relay(r),
        client(std::move(c)),
        server(r.io_),
        end(r.io_),
        poor(r.link_.on),
        there(r.io_, r.link_, r.seed_, "there " + std::to_string(number), r.cut_there_),
        back(r.io_, r.link_, r.seed_, "back " + std::to_string(number), r.cut_back_) {}

  void Start(const Endpoint& target, Millis reset_after) {
    server.async_connect(target, [self = shared_from_this()](error_code ec) {
      if (ec) return self->Close(true);
      error_code ignored;
      for (tcp::socket* s : {&self->client, &self->server}) s->set_option(tcp::no_delay(true), ignored);
      self->Read(self->client, self->server, self->there);
      self->Read(self->server, self->client, self->back);
    });
    if (reset_after < 0) return;
    end.expires_after(Wait(reset_after));
    end.async_wait([weak = weak_from_this()](error_code ec) {
      const auto self = weak.lock();
      if (!ec && self) self->Close(true);
    });
  }
  void Close(bool reset) {
    error_code ignored;
    for (tcp::socket* s : {&client, &server}) {
      if (reset) s->set_option(asio::socket_base::linger(true, 0), ignored);
      s->close(ignored);
    }
    end.cancel();
    there.timer.cancel();
    back.timer.cancel();
    relay.pairs_.erase(shared_from_this());
  }
  void Read(tcp::socket& from, tcp::socket& to, Way& way) {
    if (way.reading || way.ended || way.held >= kMostHeld) return;
    way.reading = true;
    from.async_read_some(asio::buffer(way.buffer),
                         [this, self = shared_from_this(), &from, &to, &way](error_code ec, std::size_t n) {
                           way.reading = false;
                           if (ec == asio::error::operation_aborted) return;
                           if (ec) {
                             way.ended = true;
                             const bool left = relay.ends_are_whole_ && Clock() < way.cut_until;
                             if (ec != asio::error::eof || left) return Close(true);
                             if (way.held == 0) HalfClose(to);
                             return;
                           }
                           poor ? Hold(from, to, way, n) : Pass(from, to, way, n);
                         });
  }
  void Pass(tcp::socket& from, tcp::socket& to, Way& way, std::size_t n) {
    asio::async_write(to, asio::buffer(way.buffer, n),
                      [this, self = shared_from_this(), &from, &to, &way](error_code ec, std::size_t) {
                        ec ? Close(true) : Read(from, to, way);
                      });
  }
  void Hold(tcp::socket& from, tcp::socket& to, Way& way, std::size_t n) {
    const Millis now = Clock();
    way.model.CutUntil(way.cut_until);
    way.on_way.emplace_back(way.model.Arrives(now, n), std::string(way.buffer.data(), n));
    way.held += n;
    if (way.on_way.size() == 1) Deliver(from, to, way);
    Read(from, to, way);
  }
  void Deliver(tcp::socket& from, tcp::socket& to, Way& way) {
    way.timer.expires_after(Wait(way.on_way.front().first - Clock()));
    way.timer.async_wait([this, self = shared_from_this(), &from, &to, &way](error_code ec) {
      if (ec) return;
      if (Clock() < way.cut_until) {  // cut while it was on its way
        way.on_way.front().first = way.cut_until;
        return Deliver(from, to, way);
      }
      asio::async_write(to, asio::buffer(way.on_way.front().second),
                        [this, self, &from, &to, &way](error_code write_ec, std::size_t) {
                          if (write_ec) return Close(true);
                          way.held -= way.on_way.front().second.size();
                          way.on_way.pop_front();
                          if (!way.on_way.empty()) {
                            Deliver(from, to, way);
                          } else if (way.ended) {
                            HalfClose(to);
                          }
                          Read(from, to, way);
                        });
    });
  }
  void HalfClose(tcp::socket& to) {
    error_code ignored;
    to.shutdown(tcp::socket::shutdown_send, ignored);
    if (there.ended && back.ended && there.held + back.held == 0) Close(false);
  }

  Relay& relay;
  tcp::socket client, server;
  asio::steady_timer end;
  const bool poor;
  Way there, back;
};

Relay::Relay(asio::io_context& io, std::vector<Endpoint> targets, const LinkSpec& link, std::uint64_t seed)
    : io_(io),
      acceptor_(io, Endpoint(asio::ip::address_v4::loopback(), 0)),
      targets_(std::move(targets)),
      link_(link),
      seed_(seed) {
  Accept();
}

Relay::~Relay() {
  const auto all = pairs_;
  for (const auto& pair : all) pair->Close(true);
}

void Relay::Accept() {
  acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
    if (ec) return;
    const std::uint64_t number = next_++;
    const auto pair = std::make_shared<Pair>(*this, std::move(socket), number);
    pairs_.insert(pair);
    Random random(seed_, "reset " + std::to_string(number));
    const bool resets = link_.on && random.Chance(link_.reset);
    pair->Start(targets_[number % targets_.size()], resets ? random.Between(0, 10000) : -1);
    Accept();
  });
}

void Relay::CutUntil(Millis until, bool there, bool back) {
  if (there) cut_there_ = std::max(cut_there_, until);
  if (back) cut_back_ = std::max(cut_back_, until);
}

DatagramRelay::DatagramRelay(asio::io_context& io, const Endpoint& target, const DatagramSpec& spec,
                             std::uint64_t seed)
    : io_(io),
      socket_(io, Endpoint(asio::ip::address_v4::loopback(), 0)),
      target_(target),
      there_(spec, seed, "there"),
      back_(spec, seed, "back") {
  Read();
}

void DatagramRelay::CutUntil(Millis until) {
  there_.CutUntil(until);
  back_.CutUntil(until);
}

void DatagramRelay::Later(Millis at, std::vector<char> bytes,
                          std::function<void(const std::vector<char>&)> send) {
  const auto timer = std::make_shared<asio::steady_timer>(io_, Wait(at - Clock()));
  timer->async_wait([timer, bytes = std::move(bytes), send = std::move(send)](error_code ec) {
    if (!ec) send(bytes);
  });
}

void DatagramRelay::Read() {
  socket_.async_receive_from(asio::buffer(buffer_), from_, [this](error_code ec, std::size_t n) {
    if (ec == asio::error::operation_aborted) return;
    if (!ec && (paths_.contains(from_) || paths_.size() < kMostPaths)) {
      auto& path = paths_[from_];
      if (!path) {
        path = std::make_shared<Path>(io_);
        path->client = from_;
        path->socket.open(udp::v4());
        path->socket.bind(Endpoint(asio::ip::address_v4::loopback(), 0));
        ReadBack(path);
      }
      for (const Millis at : there_.Arrives(Clock())) {
        Later(at, {buffer_.begin(), buffer_.begin() + static_cast<std::ptrdiff_t>(n)},
              [this, path](const std::vector<char>& bytes) {
                error_code ignored;
                path->socket.send_to(asio::buffer(bytes), target_, 0, ignored);
              });
      }
    }
    Read();
  });
}

void DatagramRelay::ReadBack(const std::shared_ptr<Path>& path) {
  path->socket.async_receive_from(
      asio::buffer(path->buffer), path->from, [this, path](error_code ec, std::size_t n) {
        if (ec == asio::error::operation_aborted) return;
        for (const Millis at : ec ? std::vector<Millis>() : back_.Arrives(Clock())) {
          Later(at, {path->buffer.begin(), path->buffer.begin() + static_cast<std::ptrdiff_t>(n)},
                [this, path](const std::vector<char>& bytes) {
                  error_code ignored;
                  socket_.send_to(asio::buffer(bytes), path->client, 0, ignored);
                });
        }
        ReadBack(path);
      });
}

RelayProcess::RelayProcess(const std::vector<std::string>& targets, const LinkSpec& link, std::uint64_t seed,
                           bool each) {
  int ends[2];
  if (::socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, ends) != 0)
    throw std::runtime_error("no pair of sockets");
  std::fflush(nullptr);
  pid_ = ::fork();
  if (pid_ < 0) throw std::runtime_error("can't start the relay's process");
  if (pid_ == 0) {
    ::close(ends[0]);
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::signal(SIGINT, SIG_IGN);
    asio::io_context io(1);
    std::vector<Relay::Endpoint> all;
    std::string text;
    std::vector<std::unique_ptr<Relay>> relays;
    for (const std::string& target : targets) all.push_back(ToEndpoint(target));
    for (std::size_t i = 0; i < (each ? all.size() : 1); ++i) {
      relays.push_back(std::make_unique<Relay>(io, each ? std::vector{all[i]} : all, link, seed + i));
      text += "127.0.0.1:" + std::to_string(relays.back()->address().port()) + " ";
    }
    asio::posix::stream_descriptor control(io, ends[1]);
    asio::write(control, asio::buffer(text + "\n"));
    std::string read;
    std::function<void()> listen = [&] {
      asio::async_read_until(control, asio::dynamic_buffer(read), '\n', [&](error_code ec, std::size_t n) {
        if (ec) return io.stop();
        const Millis until = Clock() + std::strtod(read.substr(0, n).c_str(), nullptr);
        read.erase(0, n);
        for (const auto& relay : relays) relay->CutUntil(until);
        listen();
      });
    };
    listen();
    io.run();
    ::_exit(0);
  }
  ::close(ends[1]);
  link_ = ends[0];
  std::string text;
  char byte = 0;
  while (::read(link_, &byte, 1) == 1 && byte != '\n') {
    if (byte != ' ') {
      text += byte;
    } else {
      addresses_.push_back(std::exchange(text, {}));
    }
  }
  if (addresses_.empty()) throw std::runtime_error("the relay did not start");
}

RelayProcess::~RelayProcess() {
  ::close(link_);
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, nullptr, 0);
}

void RelayProcess::CutFor(Millis len) {
  const std::string line = std::to_string(len) + "\n";
  if (::write(link_, line.data(), line.size()) < 0) std::perror("relay");
}

}  // namespace meadowyard::lab
