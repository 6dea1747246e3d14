// Stand-ins that speak in bytes, for tests of tunnels: a server with a habit, and a client that says what it
// is told.
#ifndef MEADOWYARD_TESTS_RAW_PEERS_HPP_
#define MEADOWYARD_TESTS_RAW_PEERS_HPP_

#include <array>
#include <memory>
#include <string>
#include <vector>

#include "peers.hpp"

namespace meadowyard::testing {

// One end of a connection that reads all it can, unless it is told not to.
struct RawEnd : std::enable_shared_from_this<RawEnd> {
  explicit RawEnd(tcp::socket s) : socket(std::move(s)) {}

  void Read() {
    if (!reads) return;
    socket.async_read_some(asio::buffer(piece), [self = shared_from_this()](error_code ec, std::size_t n) {
      if (ec) {
        self->ended = ec == asio::error::eof;
        self->reset = !self->ended && ec != asio::error::operation_aborted;
        if (self->at_end) self->at_end();
        return;
      }
      self->all += n;
      if (self->keeps) self->got.append(self->piece.data(), n);
      if (self->heard) self->heard(std::string_view(self->piece.data(), n));
      self->Read();
    });
  }
  void Say(std::string text) {
    const auto kept = std::make_shared<std::string>(std::move(text));
    asio::async_write(socket, asio::buffer(*kept),
                      [kept, self = shared_from_this()](error_code, std::size_t n) { self->said += n; });
  }
  void HalfClose() {
    error_code ignored;
    socket.shutdown(tcp::socket::shutdown_send, ignored);
  }
  void Reset() {
    error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
  }
  bool over() const { return ended || reset; }

  tcp::socket socket;
  std::array<char, 16384> piece;
  std::string got;
  std::size_t all = 0, said = 0;
  bool reads = true, keeps = true, ended = false, reset = false;
  std::function<void(std::string_view)> heard;
  std::function<void()> at_end;
};

class RawServer {
 public:
  using Habit = std::function<void(const std::shared_ptr<RawEnd>&)>;
  explicit RawServer(asio::io_context& io, Habit habit = nullptr)
      : acceptor_(io, Loopback()), habit_(std::move(habit)) {
    Accept();
  }
  ~RawServer() {
    error_code ignored;
    for (const auto& end : ends) end->socket.close(ignored);
  }
  tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  void StopListening() { acceptor_.close(); }
  std::vector<std::shared_ptr<RawEnd>> ends;

  // Gives back what it gets, and its end.
  static void Echo(const std::shared_ptr<RawEnd>& end) {
    end->heard = [raw = end.get()](std::string_view text) { raw->Say(std::string(text)); };
    end->at_end = [raw = end.get()] { raw->HalfClose(); };
  }

 private:
  void Accept() {
    acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
      if (ec) return;
      ends.push_back(std::make_shared<RawEnd>(std::move(socket)));
      if (habit_) habit_(ends.back());
      ends.back()->Read();
      Accept();
    });
  }
  tcp::acceptor acceptor_;
  Habit habit_;
};

inline std::shared_ptr<RawEnd> RawConnect(asio::io_context& io, const tcp::endpoint& at) {
  tcp::socket socket(io);
  socket.connect(at);
  const auto end = std::make_shared<RawEnd>(std::move(socket));
  end->Read();
  return end;
}

// A whole SOCKS5 handshake for a name, without credentials or with them.
inline std::string SocksCall(const std::string& name, int port = 443, const std::string& user = "",
                             const std::string& password = "") {
  std::string text = user.empty() ? std::string("\x05\x01\x00", 3) : std::string("\x05\x01\x02", 3);
  if (!user.empty()) {
    text += std::string("\x01", 1) + static_cast<char>(user.size()) + user +
            static_cast<char>(password.size()) + password;
  }
  text += std::string("\x05\x01\x00\x03", 4) + static_cast<char>(name.size()) + name;
  return text + static_cast<char>(port >> 8) + static_cast<char>(port & 255);
}
constexpr std::size_t kSocksReply = 12;  // the method, and a reply with an IPv4 address

inline std::string ConnectCall(const std::string& authority) {
  return "CONNECT " + authority + " HTTP/1.1\r\nHost: " + authority + "\r\n\r\n";
}

}  // namespace meadowyard::testing

#endif  // MEADOWYARD_TESTS_RAW_PEERS_HPP_
