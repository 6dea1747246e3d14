// Long bodies, both ways: passed on in pieces, as fast as the slower side takes them, and never held whole.
#include <gtest/gtest.h>

#include "peers.hpp"
#include "world.hpp"

namespace meadowyard::testing {
namespace {

constexpr std::size_t kLong = 1 << 20;

std::string Pattern(std::size_t size) {
  std::string text(size, '\0');
  for (std::size_t i = 0; i < size; ++i) text[i] = static_cast<char>('a' + i * 7919 % 26);
  return text;
}

// A bare socket on which a test reads and writes what it likes, when it likes.
struct Raw {
  Raw(asio::io_context& io, const tcp::endpoint& at) : socket(io) {
    socket.connect(at);
    socket.non_blocking(true);
  }
  explicit Raw(tcp::socket accepted) : socket(std::move(accepted)) { socket.non_blocking(true); }
  // Reads what is there, up to `most` bytes.
  std::size_t Read(std::size_t most = 1 << 16) {
    std::string piece(most, '\0');
    error_code ec;
    const std::size_t got = socket.read_some(asio::buffer(piece), ec);
    if (ec && ec != asio::error::would_block) ended = true;
    text.append(piece, 0, got);
    return got;
  }
  std::size_t Write(std::string_view part) {
    error_code ec;
    return socket.write_some(asio::buffer(part.data(), part.size()), ec);
  }
  tcp::socket socket;
  std::string text;
  bool ended = false;
};

// A world whose one host is a bare listener.
struct RawWorld {
  RawWorld() : listener(world.io, Loopback()) {
    const auto list = List(42, true, {Member("h0", listener.local_endpoint())});
    world.Until([&] { return !world.discovery.requests.empty(); });
    world.discovery.requests[0].Answer(200, list.dump());
    world.Until([&] { return world.discovery.requests.size() == 2; });
    listener.non_blocking(true);
  }
  std::unique_ptr<Raw> Accept() {
    std::unique_ptr<Raw> host;
    EXPECT_TRUE(world.Until([&] {
      error_code ec;
      tcp::socket socket = listener.accept(ec);
      if (!ec) host = std::make_unique<Raw>(std::move(socket));
      return host != nullptr;
    }));
    return host;
  }
  // Writes all of `text`, while `other` may do something in between.
  template <typename Other>
  void Pump(Raw& to, std::string_view text, Other other) {
    EXPECT_TRUE(world.Until([&] {
      text.remove_prefix(to.Write(text));
      other();
      return text.empty();
    }));
  }

  World world{1};
  tcp::acceptor listener;
};

std::string Head(const std::string& id, const std::string& framing) {
  return "POST /api HTTP/1.1\r\nHost: b\r\nReq-Id: " + id + "\r\nReq-Kind: pay\r\nReq-Deadline: 9000m\r\n" +
         framing + "\r\n\r\n";
}

// Guards long answers: the first bytes reach the client long before the last ones exist, all arrive
// unchanged, and both connections serve on.
TEST(Stream, PassesALongAnswerOnAsItComes) {
  RawWorld raw;
  const std::string body = Pattern(kLong);
  for (const bool chunked : {false, true}) {
    const auto client = std::make_unique<Raw>(raw.world.io, raw.world.gateway->address());
    client->Write(ApiCall(chunked ? "r1" : "r0"));
    const auto host = raw.Accept();
    ASSERT_TRUE(raw.world.Until([&] { return host->Read() > 0; }));
    std::string answer = "HTTP/1.1 200 OK\r\n";
    if (chunked) {
      answer += "Transfer-Encoding: chunked\r\n\r\n";
      for (std::size_t at = 0; at < body.size(); at += 100000) {
        char size[16];
        std::snprintf(size, sizeof size, "%zx;x=y\r\n", std::min<std::size_t>(100000, body.size() - at));
        answer += size + body.substr(at, 100000) + "\r\n";
      }
      answer += "0\r\nTrailer-Field: t\r\n\r\n";
    } else {
      answer += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    raw.Pump(*host, std::string_view(answer).substr(0, 200000), [] {});
    EXPECT_TRUE(raw.world.Until([&] {
      client->Read();
      return client->text.size() > 50000;
    })) << "the rest does not exist yet";
    raw.Pump(*host, std::string_view(answer).substr(200000), [&] { client->Read(); });
    boost::beast::http::response_parser<http::string_body> parser;
    parser.body_limit(kLong * 2);
    parser.eager(true);
    std::size_t used = 0;
    EXPECT_TRUE(raw.world.Until([&] {
      client->Read();
      error_code ec;
      if (client->text.size() > used) {
        used += parser.put(asio::buffer(client->text.data() + used, client->text.size() - used), ec);
      }
      return parser.is_done();
    }));
    EXPECT_EQ(parser.get().result(), http::status::ok);
    EXPECT_TRUE(parser.get().body() == body);
    EXPECT_TRUE(parser.get().keep_alive());
    host->text.clear();
    raw.world.LetHostsRest();
    client->Write(ApiCall(chunked ? "s1" : "s0"));  // on the same two connections
    ASSERT_TRUE(raw.world.Until([&] { return host->Read() > 0; }));
    error_code ignored;
    host->socket.close(ignored);
  }
}

// Guards memory: from a host that gives much, no more is taken than its client reads.
TEST(Stream, TakesNoMoreThanTheClientReads) {
  RawWorld raw;
  Raw client(raw.world.io, raw.world.gateway->address());
  client.socket.set_option(asio::socket_base::receive_buffer_size(64 * 1024));
  client.Write(ApiCall("r1"));
  const auto host = raw.Accept();
  ASSERT_TRUE(raw.world.Until([&] { return host->Read() > 0; }));
  host->Write("HTTP/1.1 200 OK\r\nContent-Length: 30000000\r\n\r\n");
  const std::string piece(65536, 'x');
  std::size_t given = 0;
  int idle = 0;
  EXPECT_TRUE(raw.world.Until([&] {  // until the host is stopped for good by what is not read
    const std::size_t wrote = host->Write(piece);
    given += wrote;
    idle = wrote == 0 ? idle + 1 : 0;
    return idle > 5;
  }));
  EXPECT_LT(given, 25000000u);
  const std::size_t before = given;
  EXPECT_TRUE(raw.world.Until([&] {
    client.Read();
    given += host->Write(piece);
    return given > before + 2000000;
  })) << "it goes on as the client reads";
}

// Guards a client against an answer that breaks off: it must not look whole.
TEST(Stream, CutsTheClientOffWhereTheHostBreaksOff) {
  for (const std::string framing : {"Content-Length: 200000", "Transfer-Encoding: chunked"}) {
    RawWorld raw;
    Raw client(raw.world.io, raw.world.gateway->address());
    client.Write(ApiCall("r1"));
    const auto host = raw.Accept();
    ASSERT_TRUE(raw.world.Until([&] { return host->Read() > 0; }));
    const std::string body(100000, 'x');
    raw.Pump(*host,
             "HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n" +
                 (framing[0] == 'T' ? "186a0\r\n" + body + "\r\n" : body),
             [&] { client.Read(); });
    EXPECT_TRUE(raw.world.Until([&] {
      client.Read();
      return client.text.size() > 90000;
    }));
    error_code ignored;
    host->socket.close(ignored);
    EXPECT_TRUE(raw.world.Until([&] {
      client.Read();
      return client.ended;
    }));
    EXPECT_LT(client.text.size(), 200000u);
    EXPECT_FALSE(client.text.ends_with("0\r\n\r\n"));
  }
}

// Guards long requests: they go to the host as they come, arrive unchanged, and their time counts from the
// end.
TEST(Stream, PassesALongRequestOnAsItComes) {
  RawWorld raw;
  const std::string body = Pattern(kLong);
  Raw client(raw.world.io, raw.world.gateway->address());
  raw.Pump(client, Head("r1", "Content-Length: " + std::to_string(kLong)) + body.substr(0, 100000), [] {});
  const auto host = raw.Accept();
  EXPECT_TRUE(raw.world.Until([&] {
    host->Read();
    return host->text.size() > 80000;
  })) << "the rest does not exist yet";
  raw.Pump(client, std::string_view(body).substr(100000), [&] { host->Read(); });
  EXPECT_TRUE(raw.world.Until([&] {
    host->Read();
    return host->text.ends_with(body.substr(kLong - 50)) && host->text.size() > kLong;
  }));
  const std::size_t at = host->text.find("\r\n\r\n") + 4;
  EXPECT_TRUE(host->text.substr(at) == body);
  EXPECT_NE(host->text.find("Req-Id: r1"), std::string::npos);
  host->Write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  EXPECT_TRUE(raw.world.Until([&] {
    client.Read();
    return client.text.ends_with("ok");
  }));
  EXPECT_TRUE(client.text.starts_with("HTTP/1.1 200"));
  raw.world.LetHostsRest();
  client.Write(ApiCall("r2"));
  host->text.clear();
  EXPECT_TRUE(raw.world.Until([&] { return host->Read() > 0; })) << "both connections serve on";
}

TEST(Stream, PassesALongRequestOfUnknownLengthOnInChunks) {
  RawWorld raw;
  Raw client(raw.world.io, raw.world.gateway->address());
  const std::string piece = Pattern(50000);
  std::string text = Head("r1", "Transfer-Encoding: chunked");
  for (int i = 0; i < 4; ++i) text += "c350\r\n" + piece + "\r\n";
  raw.Pump(client, text + "0\r\n\r\n", [] {});
  const auto host = raw.Accept();
  EXPECT_TRUE(raw.world.Until([&] {
    host->Read();
    return host->text.ends_with("0\r\n\r\n");
  }));
  http::request_parser<http::string_body> parser;
  parser.body_limit(kLong);
  parser.eager(true);
  error_code ec;
  for (std::size_t used = 0; !ec && !parser.is_done();) {
    used += parser.put(asio::buffer(host->text.data() + used, host->text.size() - used), ec);
  }
  EXPECT_FALSE(ec) << ec.message();
  EXPECT_TRUE(parser.get().body() == piece + piece + piece + piece);
}

// Guards what may never run twice: a long request that broke off at its host was never whole there, and the
// gateway has no more of it, so its client is told to come again; a client that breaks off leaves nothing.
TEST(Stream, RefusesALongRequestThatItCantSendAgain) {
  RawWorld raw;
  Raw client(raw.world.io, raw.world.gateway->address());
  raw.Pump(client, Head("r1", "Content-Length: 3000000") + std::string(300000, 'x'), [] {});
  auto host = raw.Accept();
  EXPECT_TRUE(raw.world.Until([&] {
    host->Read();
    return host->text.size() > 300000;
  }));
  error_code ignored;
  host->socket.set_option(asio::socket_base::linger(true, 0), ignored);
  host->socket.close(ignored);
  EXPECT_TRUE(raw.world.Until([&] {
    client.Write(std::string(1000, 'x'));
    client.Read();
    return client.text.find("\r\n\r\n") != std::string::npos;
  }));
  EXPECT_TRUE(client.text.starts_with("HTTP/1.1 503")) << client.text.substr(0, 80);
  {
    Raw leaver(raw.world.io, raw.world.gateway->address());
    raw.Pump(leaver, Head("r2", "Content-Length: 3000000") + std::string(300000, 'x'), [] {});
    host = raw.Accept();
    EXPECT_TRUE(raw.world.Until([&] { return host->Read() > 0; }));
  }
  EXPECT_TRUE(raw.world.Until([&] {
    host->Read();
    return host->ended;
  }));
}

// Guards clients that ask first whether their body is wanted.
// Guards hosts against clients that break their uploads off: that says nothing of a host.
TEST(Stream, HoldsABodyThatItsClientBreaksAgainstNoHost) {
  World world(2, TestSettings(), 300, true);
  const auto dialled = [&] { return world.host(0).connections.size() + world.host(1).connections.size(); };
  for (std::size_t i = 0; i < 8; ++i) {
    const auto client = world.Connect();
    client->Send(Head("r" + std::to_string(i), "Content-Length: 1000000") + Pattern(100000));
    ASSERT_TRUE(world.Until([&] { return dialled() > i; }));
    client->Leave();
    ASSERT_TRUE(world.Until([&] {
      return std::all_of(world.hosts.begin(), world.hosts.end(), [](const auto& host) {
        return std::all_of(host->connections.begin(), host->connections.end(),
                           [](const auto& connection) { return connection->ended; });
      });
    }));
  }
  EXPECT_EQ(world.Figures()["cluster_unhealthy"], 0);
}

TEST(Stream, TellsAClientToGoOn) {
  World world;
  world.host().serve = [](const Peer::Taken& taken) { taken.Answer(200, taken.http.body()); };
  Raw client(world.io, world.gateway->address());
  client.Write(Head("r1", "Content-Length: 4\r\nExpect: 100-continue"));
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
