// Tests of long bodies in both directions: the gateway forwards them in parts, at the speed of the slower
// side, and never buffers a complete body.
#include <gtest/gtest.h>

#include "peers.hpp"
#include "world.hpp"

namespace meadowyard::testing {
namespace {

constexpr std::size_t kLongBodyBytes = 1 << 20;

// A text whose parts differ, so that missing, repeated or reordered parts are noticed.
std::string PatternText(std::size_t size) {
  std::string text(size, '\0');
  for (std::size_t i = 0; i < size; ++i) text[i] = static_cast<char>('a' + i * 7919 % 26);
  return text;
}

// A plain non-blocking socket: the test decides which bytes are read and written, and when.
struct RawSocket {
  RawSocket(asio::io_context& io, const tcp::endpoint& peer_address) : socket(io) {
    socket.connect(peer_address);
    socket.non_blocking(true);
  }
  explicit RawSocket(tcp::socket accepted) : socket(std::move(accepted)) { socket.non_blocking(true); }
  // Appends the bytes available now, up to `max_bytes`, to `text` and returns their number.
  std::size_t Read(std::size_t max_bytes = 1 << 16) {
    std::string piece(max_bytes, '\0');
    error_code ec;
    const std::size_t bytes_read = socket.read_some(asio::buffer(piece), ec);
    if (ec && ec != asio::error::would_block) ended = true;
    text.append(piece, 0, bytes_read);
    return bytes_read;
  }
  // Writes what the socket accepts without blocking and returns the number of bytes.
  std::size_t Write(std::string_view part) {
    error_code ec;
    return socket.write_some(asio::buffer(part.data(), part.size()), ec);
  }
  tcp::socket socket;
  std::string text;
  bool ended = false;  // the other side closed or reset the connection
};

// A gateway with a single host, which is a plain listening socket.
struct GatewayWithRawHost {
  GatewayWithRawHost() : listener(world.io, Loopback()) {
    const auto list = List(42, true, {Member("h0", listener.local_endpoint())});
    world.Until([&] { return !world.discovery.requests.empty(); });
    world.discovery.requests[0].Answer(200, list.dump());
    world.Until([&] { return world.discovery.requests.size() == 2; });
    listener.non_blocking(true);
  }
  std::unique_ptr<RawSocket> Accept() {
    std::unique_ptr<RawSocket> host;
    EXPECT_TRUE(world.Until([&] {
      error_code ec;
      tcp::socket socket = listener.accept(ec);
      if (!ec) host = std::make_unique<RawSocket>(std::move(socket));
      return host != nullptr;
    }));
    return host;
  }
  // Writes all of `text` to `receiver` and calls `after_each_write` after each partial write.
  template <typename Callback>
  void WriteAll(RawSocket& receiver, std::string_view text, Callback after_each_write) {
    EXPECT_TRUE(world.Until([&] {
      text.remove_prefix(receiver.Write(text));
      after_each_write();
      return text.empty();
    }));
  }

  World world{1};
  tcp::acceptor listener;
};

// The request line and header fields of an unsafe request; `framing` is the field that gives its body's
// length.
std::string RequestHeader(const std::string& id, const std::string& framing) {
  return "POST /api HTTP/1.1\r\nHost: b\r\nReq-Id: " + id + "\r\nReq-Kind: pay\r\nReq-Deadline: 9000m\r\n" +
         framing + "\r\n\r\n";
}

// Guards against long answers being buffered before they are forwarded: the first bytes must reach the client
// before the host has sent the last ones. All bytes must arrive unchanged, and both connections must stay
// usable.
TEST(Stream, ForwardsALongAnswerWhileItArrives) {
  GatewayWithRawHost fixture;
  const std::string body = PatternText(kLongBodyBytes);
  for (const bool chunked : {false, true}) {
    const auto client = std::make_unique<RawSocket>(fixture.world.io, fixture.world.gateway->address());
    client->Write(ApiCall(chunked ? "r1" : "r0"));
    const auto host = fixture.Accept();
    ASSERT_TRUE(fixture.world.Until([&] { return host->Read() > 0; }));
    std::string answer = "HTTP/1.1 200 OK\r\n";
    if (chunked) {
      answer += "Transfer-Encoding: chunked\r\n\r\n";
      for (std::size_t offset = 0; offset < body.size(); offset += 100000) {
        char size[16];
        std::snprintf(size, sizeof size, "%zx;x=y\r\n", std::min<std::size_t>(100000, body.size() - offset));
        answer += size + body.substr(offset, 100000) + "\r\n";
      }
      answer += "0\r\nTrailer-Field: t\r\n\r\n";
    } else {
      answer += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    fixture.WriteAll(*host, std::string_view(answer).substr(0, 200000), [] {});
    EXPECT_TRUE(fixture.world.Until([&] {
      client->Read();
      return client->text.size() > 50000;
    })) << "client did not get the first part of the answer before the host sent the rest";
    fixture.WriteAll(*host, std::string_view(answer).substr(200000), [&] { client->Read(); });
    boost::beast::http::response_parser<http::string_body> parser;
    parser.body_limit(kLongBodyBytes * 2);
    parser.eager(true);
    std::size_t parsed_bytes = 0;
    EXPECT_TRUE(fixture.world.Until([&] {
      client->Read();
      error_code ec;
      if (client->text.size() > parsed_bytes) {
        parsed_bytes += parser.put(
            asio::buffer(client->text.data() + parsed_bytes, client->text.size() - parsed_bytes), ec);
      }
      return parser.is_done();
    }));
    EXPECT_EQ(parser.get().result(), http::status::ok);
    EXPECT_TRUE(parser.get().body() == body);
    EXPECT_TRUE(parser.get().keep_alive());
    host->text.clear();
    fixture.world.WaitUntilConnectionsReusable();
    client->Write(ApiCall(chunked ? "s1" : "s0"));  // on the same two connections
    ASSERT_TRUE(fixture.world.Until([&] { return host->Read() > 0; }));
    error_code ignored;
    host->socket.close(ignored);
  }
}

// Guards against unbounded buffering of a long answer: the gateway must read from the host only as fast as
// the client reads.
TEST(Stream, ReadsFromTheHostOnlyAsFastAsTheClientReads) {
  GatewayWithRawHost fixture;
  RawSocket client(fixture.world.io, fixture.world.gateway->address());
  client.socket.set_option(asio::socket_base::receive_buffer_size(64 * 1024));
  client.Write(ApiCall("r1"));
  const auto host = fixture.Accept();
  ASSERT_TRUE(fixture.world.Until([&] { return host->Read() > 0; }));
  host->Write("HTTP/1.1 200 OK\r\nContent-Length: 30000000\r\n\r\n");
  const std::string piece(65536, 'x');
  std::size_t sent_bytes = 0;
  int writes_blocked_in_a_row = 0;
  EXPECT_TRUE(fixture.world.Until([&] {  // until the unread bytes block the host's writes for good
    const std::size_t written = host->Write(piece);
    sent_bytes += written;
    writes_blocked_in_a_row = written == 0 ? writes_blocked_in_a_row + 1 : 0;
    return writes_blocked_in_a_row > 5;
  }));
  EXPECT_LT(sent_bytes, 25000000u);
  const std::size_t sent_before_reading = sent_bytes;
  EXPECT_TRUE(fixture.world.Until([&] {
    client.Read();
    sent_bytes += host->Write(piece);
    return sent_bytes > sent_before_reading + 2000000;
  })) << "the gateway did not resume reading from the host when the client read";
}

// Guards against an answer that the host truncates looking complete to the client: the gateway must close the
// client connection without completing the body.
TEST(Stream, ClosesTheClientConnectionWhenTheHostTruncatesItsAnswer) {
  for (const std::string framing : {"Content-Length: 200000", "Transfer-Encoding: chunked"}) {
    GatewayWithRawHost fixture;
    RawSocket client(fixture.world.io, fixture.world.gateway->address());
    client.Write(ApiCall("r1"));
    const auto host = fixture.Accept();
    ASSERT_TRUE(fixture.world.Until([&] { return host->Read() > 0; }));
    const std::string body(100000, 'x');
    fixture.WriteAll(*host,
                     "HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n" +
                         (framing[0] == 'T' ? "186a0\r\n" + body + "\r\n" : body),
                     [&] { client.Read(); });
    EXPECT_TRUE(fixture.world.Until([&] {
      client.Read();
      return client.text.size() > 90000;
    }));
    error_code ignored;
    host->socket.close(ignored);
    EXPECT_TRUE(fixture.world.Until([&] {
      client.Read();
      return client.ended;
    }));
    EXPECT_LT(client.text.size(), 200000u);
    EXPECT_FALSE(client.text.ends_with("0\r\n\r\n"));
  }
}

// Guards against long requests being buffered before they are forwarded: the host must get the first bytes
// before the client has sent the last ones, and all bytes unchanged. The deadline counts from the end of the
// request.
TEST(Stream, ForwardsALongRequestWhileItArrives) {
  GatewayWithRawHost fixture;
  const std::string body = PatternText(kLongBodyBytes);
  RawSocket client(fixture.world.io, fixture.world.gateway->address());
  fixture.WriteAll(
      client,
      RequestHeader("r1", "Content-Length: " + std::to_string(kLongBodyBytes)) + body.substr(0, 100000),
      [] {});
  const auto host = fixture.Accept();
  EXPECT_TRUE(fixture.world.Until([&] {
    host->Read();
    return host->text.size() > 80000;
  })) << "host did not get the first part of the request before the client sent the rest";
  fixture.WriteAll(client, std::string_view(body).substr(100000), [&] { host->Read(); });
  EXPECT_TRUE(fixture.world.Until([&] {
    host->Read();
    return host->text.ends_with(body.substr(kLongBodyBytes - 50)) && host->text.size() > kLongBodyBytes;
  }));
  const std::size_t body_offset = host->text.find("\r\n\r\n") + 4;
  EXPECT_TRUE(host->text.substr(body_offset) == body);
  EXPECT_NE(host->text.find("Req-Id: r1"), std::string::npos);
  host->Write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  EXPECT_TRUE(fixture.world.Until([&] {
    client.Read();
    return client.text.ends_with("ok");
  }));
  EXPECT_TRUE(client.text.starts_with("HTTP/1.1 200"));
  fixture.world.WaitUntilConnectionsReusable();
  client.Write(ApiCall("r2"));
  host->text.clear();
  EXPECT_TRUE(fixture.world.Until([&] { return host->Read() > 0; }))
      << "the connections were not reused for a second request";
}

// Guards against a long request without a Content-Length being forwarded with wrong chunk framing or altered
// bytes.
TEST(Stream, ForwardsALongRequestOfUnknownLengthInChunks) {
  GatewayWithRawHost fixture;
  RawSocket client(fixture.world.io, fixture.world.gateway->address());
  const std::string piece = PatternText(50000);
  std::string text = RequestHeader("r1", "Transfer-Encoding: chunked");
  for (int i = 0; i < 4; ++i) text += "c350\r\n" + piece + "\r\n";
  fixture.WriteAll(client, text + "0\r\n\r\n", [] {});
  const auto host = fixture.Accept();
  EXPECT_TRUE(fixture.world.Until([&] {
    host->Read();
    return host->text.ends_with("0\r\n\r\n");
  }));
  http::request_parser<http::string_body> parser;
  parser.body_limit(kLongBodyBytes);
  parser.eager(true);
  error_code ec;
  for (std::size_t parsed_bytes = 0; !ec && !parser.is_done();) {
    parsed_bytes +=
        parser.put(asio::buffer(host->text.data() + parsed_bytes, host->text.size() - parsed_bytes), ec);
  }
  EXPECT_FALSE(ec) << ec.message();
  EXPECT_TRUE(parser.get().body() == piece + piece + piece + piece);
}

// Guards against a wrong outcome when a long unsafe request is interrupted. If the host resets the
// connection, it has not got the complete request, so the request was not executed; the gateway no longer has
// the forwarded bytes and cannot retry, so the client must get 503. If the client disconnects, the host
// connection must be closed.
TEST(Stream, RejectsAnInterruptedLongRequestThatItCannotRetry) {
  GatewayWithRawHost fixture;
  RawSocket client(fixture.world.io, fixture.world.gateway->address());
  fixture.WriteAll(client, RequestHeader("r1", "Content-Length: 3000000") + std::string(300000, 'x'), [] {});
  auto host = fixture.Accept();
  EXPECT_TRUE(fixture.world.Until([&] {
    host->Read();
    return host->text.size() > 300000;
  }));
  error_code ignored;
  host->socket.set_option(asio::socket_base::linger(true, 0), ignored);
  host->socket.close(ignored);
  EXPECT_TRUE(fixture.world.Until([&] {
    client.Write(std::string(1000, 'x'));
    client.Read();
    return client.text.find("\r\n\r\n") != std::string::npos;
  }));
  EXPECT_TRUE(client.text.starts_with("HTTP/1.1 503")) << client.text.substr(0, 80);
  {
    RawSocket disconnecting_client(fixture.world.io, fixture.world.gateway->address());
    fixture.WriteAll(disconnecting_client,
                     RequestHeader("r2", "Content-Length: 3000000") + std::string(300000, 'x'), [] {});
    host = fixture.Accept();
    EXPECT_TRUE(fixture.world.Until([&] { return host->Read() > 0; }));
  }
  EXPECT_TRUE(fixture.world.Until([&] {
    host->Read();
    return host->ended;
  }));
}

// Guards against uploads that clients abort being counted as failures of the hosts.
TEST(Stream, DoesNotBlameHostsForUploadsAbortedByClients) {
  World world(2, TestSettings(), 300, true);
  const auto connections_to_hosts = [&] {
    return world.host(0).connections.size() + world.host(1).connections.size();
  };
  for (std::size_t i = 0; i < 8; ++i) {
    const auto client = world.Connect();
    client->Send(RequestHeader("r" + std::to_string(i), "Content-Length: 1000000") + PatternText(100000));
    ASSERT_TRUE(world.Until([&] { return connections_to_hosts() > i; }));
    client->CloseConnection();
    ASSERT_TRUE(world.Until([&] {
      return std::all_of(world.hosts.begin(), world.hosts.end(), [](const auto& host) {
        return std::all_of(host->connections.begin(), host->connections.end(),
                           [](const auto& connection) { return connection->ended; });
      });
    }));
  }
  EXPECT_EQ(world.ReadMetrics()["cluster_unhealthy"], 0);
}

// Guards against clients that send Expect: 100-continue waiting forever for permission to send the body.
TEST(Stream, AnswersExpectContinueWithAnInterimAnswer) {
  World world;
  world.host().serve = [](const Peer::ReceivedRequest& taken) { taken.Answer(200, taken.http.body()); };
  RawSocket client(world.io, world.gateway->address());
  client.Write(RequestHeader("r1", "Content-Length: 4\r\nExpect: 100-continue"));
  EXPECT_TRUE(world.Until([&] {
    client.Read();
    return client.text == "HTTP/1.1 100 Continue\r\n\r\n";
  }));
  client.Write("body");
  EXPECT_TRUE(world.Until([&] {
    client.Read();
    return client.text.ends_with("body");
  }));
}

}  // namespace
}  // namespace meadowyard::testing
