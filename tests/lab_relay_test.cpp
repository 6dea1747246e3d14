// The lab's relays on real sockets: what crosses a poor link arrives whole and in order, or is lost as
// planned.
#include <gtest/gtest.h>

#include <boost/asio.hpp>
#include <string>

#include "lab/relay.hpp"
#include "lab/stream.hpp"

namespace meadowyard::lab {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;
using boost::system::error_code;

template <typename Done>
bool Until(asio::io_context& io, Done done) {
  const Millis end = Clock() + 30000;
  while (!done() && Clock() < end) io.run_one_for(std::chrono::milliseconds(50));
  return done();
}

// Sends back what it gets, until its client has ended; then ends too.
struct Echo : std::enable_shared_from_this<Echo> {
  explicit Echo(tcp::socket s) : socket(std::move(s)) {}
  void Read() {
    socket.async_read_some(asio::buffer(buffer), [this, self = shared_from_this()](error_code ec,
                                                                                   std::size_t n) {
      error_code ignored;
      if (ec) return (void)socket.shutdown(tcp::socket::shutdown_send, ignored);
      asio::async_write(socket, asio::buffer(buffer, n), [this, self](error_code, std::size_t) { Read(); });
    });
  }
  tcp::socket socket;
  std::array<char, 4096> buffer;
};

TEST(LabRelay, PassesAllBytesInOrderOverEachLink) {
  LinkSpec poor;
  poor.on = true, poor.delay = 2, poor.jitter = 3, poor.loss = 0.1, poor.stall = 20, poor.bandwidth = 4e6;
  for (const LinkSpec& link : {LinkSpec(), poor}) {
    asio::io_context io;
    tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
    acceptor.async_accept([](error_code ec, tcp::socket socket) {
      if (!ec) std::make_shared<Echo>(std::move(socket))->Read();
    });
    Relay relay(io, {acceptor.local_endpoint()}, link, 1);
    if (link.on) relay.CutUntil(Clock() + 100);
    const Millis begun = Clock();
    tcp::socket client(io);
    client.connect(relay.address());
    std::string sent, got;
    for (int i = 0; sent.size() < 200000; ++i) sent += std::to_string(i) + ";";
    asio::async_write(client, asio::buffer(sent), [&](error_code, std::size_t) {
      error_code ignored;
      client.shutdown(tcp::socket::shutdown_send, ignored);
    });
    error_code end;
    asio::async_read(client, asio::dynamic_buffer(got), [&](error_code ec, std::size_t) { end = ec; });
    ASSERT_TRUE(Until(io, [&] { return end.failed(); }));
    EXPECT_EQ(end, asio::error::eof);  // the half-close went through both ways
    EXPECT_EQ(got, sent);
    EXPECT_TRUE(Until(io, [&] { return relay.pairs() == 0; }));
    if (link.on) {
      EXPECT_GE(Clock() - begun, 100);
    }
  }
}

TEST(LabRelay, ResetsConnectionsAsItsLinkSays) {
  asio::io_context io;
  tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
  LinkSpec link;
  link.on = true, link.reset = 1;
  Relay relay(io, {acceptor.local_endpoint()}, link, 1);
  tcp::socket client(io);
  client.connect(relay.address());
  char byte = 0;
  error_code end;
  client.async_receive(asio::buffer(&byte, 1), [&](error_code ec, std::size_t) { end = ec; });
  ASSERT_TRUE(Until(io, [&] { return end.failed(); }));
  EXPECT_EQ(end, asio::error::connection_reset);
}

TEST(LabRelay, LosesAndDoublesDatagrams) {
  asio::io_context io;
  udp::socket server(io, {asio::ip::address_v4::loopback(), 0}),
      client(io, {asio::ip::address_v4::loopback(), 0});
  DatagramSpec spec;
  spec.loss = 0.25, spec.twice = 0.25, spec.late = 0.2, spec.late_by = 5;
  DatagramRelay relay(io, server.local_endpoint(), spec, 1);
  // What the model draws from the same seed is what must arrive.
  DatagramModel model(spec, 1, "there");
  std::size_t wanted = 0, arrived = 0;
  constexpr int kSent = 200;
  std::array<char, 64> buffer;
  udp::endpoint from;
  std::function<void()> read = [&] {
    server.async_receive_from(asio::buffer(buffer), from, [&](error_code ec, std::size_t) {
      arrived += !ec;
      if (!ec) read();
    });
  };
  read();
  for (int i = 0; i < kSent; ++i) {
    client.send_to(asio::buffer("x", 1), relay.address());
    wanted += model.Arrives(0).size();
    io.run_for(std::chrono::milliseconds(1));
  }
  EXPECT_TRUE(Until(io, [&] { return arrived == wanted; })) << arrived << " of " << wanted;
  EXPECT_NE(wanted, static_cast<std::size_t>(kSent));
}

}  // namespace
}  // namespace meadowyard::lab
