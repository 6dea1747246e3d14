// Tests of tunnels through a complete gateway, with scripted clients, hosts and parent proxies on loopback.
#include <gtest/gtest.h>

#include <random>

#include "raw_peers.hpp"
#include "world.hpp"

namespace meadowyard::testing {
namespace {

using namespace std::string_literals;

struct TunnelFixture {
  // `extra_settings` are added to the [tunnels] table, `pool_settings` to the pool "stock", whose one host
  // "s1" is at `target`.
  explicit TunnelFixture(const tcp::endpoint& target, const std::string& extra_settings = "",
                         const std::string& pool_settings = "", nlohmann::json settings = TestSettings())
      : world(1, std::move(settings), 600, true, EdgeToml(target, extra_settings, pool_settings)) {}

  static std::string EdgeToml(const tcp::endpoint& target, const std::string& extra_settings = "",
                              const std::string& pool_settings = "") {
    return "[tunnels]\nclass = \"tunnel\"\nmost = 50\n" + extra_settings +
           "\n[[listener]]\nprotocol = \"socks5\"\naddress = \"127.0.0.1:0\"\n"
           "[[listener]]\nprotocol = \"connect\"\naddress = \"127.0.0.1:0\"\n"
           "[[pool]]\nname = \"stock\"\n" +
           pool_settings + "\n[[pool.host]]\nid = \"s1\"\naddress = \"" + ToText(target) +
           "\"\n[[pool]]\nname = \"fleet\"\ndiscovered = true\n"
           "[[route]]\nname = \"stock\"\nsuffix = \"stock.internal\"\npool = \"stock\"\n"
           "[[route]]\nname = \"fleet\"\nsuffix = \"fleet.internal\"\npool = \"fleet\"\n"
           "[[route]]\nname = \"one\"\nto = \"one.internal\"\npool = \"fleet\"\nhost = \"h0\"\n"
           "[default]\ndeny = true\n";
  }
  TunnelServer& front() { return world.gateway->edge().front(); }
  std::shared_ptr<RawEnd> ConnectToSocksListener() { return RawConnect(world.io, front().addresses()[0]); }
  std::shared_ptr<RawEnd> ConnectToHttpListener() { return RawConnect(world.io, front().addresses()[1]); }
  // Opens a SOCKS5 tunnel and discards what was received until then: the two replies.
  std::shared_ptr<RawEnd> OpenSocksTunnel(const std::string& to = "a.stock.internal") {
    const auto client = ConnectToSocksListener();
    client->SendBytes(SocksCall(to));
    EXPECT_TRUE(world.Until(
        [&] { return client->received_bytes.size() >= kSocksReplyBytes || client->is_read_closed(); }));
    EXPECT_EQ(client->received_bytes.substr(0, 4), "\x05\0\x05\0"s);
    client->received_bytes.clear();
    client->received_byte_count = 0;
    return client;
  }
  // The number of tunnels that ended with this cause.
  int CountEndedWith(const std::string& cause) {
    const auto status = front().Status();
    return status["ended"].value(cause, 0);
  }
  int CountRequestsWith(const std::string& outcome) { return front().Status()["asked"].value(outcome, 0); }
  nlohmann::json ReadMetrics() { return world.ReadMetrics(); }
  std::string PutToAdmin(const std::string& path) {
    Client admin_client(world.io, world.gateway->admin_address());
    admin_client.Send("PUT " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
    return admin_client.Await().body();
  }

  World world;
};

std::string RandomBytes(std::size_t byte_count, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::string text(byte_count, 0);
  for (char& c : text) c = static_cast<char>(random());
  return text;
}

// Guards against data that is lost or changed in a tunnel of either protocol: data sent right after the
// request, large data in both directions, and data still in transit when the client half-closes.
TEST(Tunnels, RelayDataAndHalfCloseInBothDirections) {
  asio::io_context unused;
  TunnelFixture fixture(Loopback(1));
  RawServer echo(fixture.world.io, RawServer::Echo);
  fixture.world.gateway->ReloadEdge(std::make_shared<const meadowyard::EdgeConfig>(
      meadowyard::ParseEdge("edge.toml", TunnelFixture::EdgeToml(echo.address()))));
  const std::string text = RandomBytes(3 << 20, 7);
  for (const bool socks : {true, false}) {
    const auto client = socks ? fixture.ConnectToSocksListener() : fixture.ConnectToHttpListener();
    client->SendBytes((socks ? SocksCall("a.stock.internal") : ConnectCall("a.stock.internal:443")) + text);
    ASSERT_TRUE(fixture.world.Until([&] { return client->sent_byte_count > text.size(); }));
    client->HalfClose();
    ASSERT_TRUE(fixture.world.Until([&] { return client->is_read_closed(); }));
    EXPECT_TRUE(client->ended);
    const std::string reply_head =
        socks ? "\x05\0\x05\0\0\x01"s : "HTTP/1.1 200 Connection established\r\n\r\n"s;
    EXPECT_EQ(client->received_bytes.substr(0, reply_head.size()), reply_head);
    EXPECT_EQ(client->received_bytes.size(), text.size() + (socks ? kSocksReplyBytes : reply_head.size()));
    EXPECT_TRUE(client->received_bytes.ends_with(text));
  }
  EXPECT_TRUE(fixture.world.Until([&] { return fixture.CountEndedWith("ended") == 2; }));
  EXPECT_EQ(fixture.front().open(), 0u);
}

// Guards against a wrong reply code: for destinations that the routes deny, hosts that can't be reached and
// the limit per address; each outcome is counted once.
TEST(Tunnels, RejectWithTheReplyCodeOfTheCause) {
  tcp::endpoint closed_port;
  {
    asio::io_context io;
    tcp::acceptor probe(io, Loopback());
    closed_port = probe.local_endpoint();
  }
  TunnelFixture fixture(closed_port, "most_per_address = 1\n");
  struct Case {
    std::string to;
    char socks;
    std::string status;
  };
  for (const Case& c : {Case{"denied.org", 2, "403"}, Case{"a.stock.internal", 5, "502"}}) {
    const auto socks = fixture.ConnectToSocksListener(), connect = fixture.ConnectToHttpListener();
    socks->SendBytes(SocksCall(c.to));
    ASSERT_TRUE(fixture.world.Until([&] { return socks->ended; })) << c.to;
    EXPECT_EQ(socks->received_bytes.substr(2), "\x05"s + c.socks + "\0\x01\0\0\0\0\0\0"s) << c.to;
    connect->SendBytes(ConnectCall(c.to + ":443"));
    ASSERT_TRUE(fixture.world.Until([&] { return connect->ended; })) << c.to;
    EXPECT_EQ(connect->received_bytes.substr(9, 3), c.status) << connect->received_bytes;
  }
  const auto open = fixture.OpenSocksTunnel("b.fleet.internal");  // reaches the limit of this client address
  const auto second = fixture.ConnectToHttpListener();
  second->SendBytes(ConnectCall("b.fleet.internal:443"));
  ASSERT_TRUE(fixture.world.Until([&] { return second->ended; }));
  EXPECT_EQ(second->received_bytes.substr(9, 3), "503");
  EXPECT_NE(second->received_bytes.find("\r\nRetry-After: 1\r\n"), std::string::npos);
  EXPECT_EQ(fixture.CountRequestsWith("limit_address"), 1);
  EXPECT_EQ(fixture.CountRequestsWith("denied"), 2);
  EXPECT_EQ(fixture.CountRequestsWith("unreachable"), 2);
  EXPECT_EQ(fixture.ReadMetrics()["current"], 1);
  open->Reset();
  EXPECT_TRUE(fixture.world.Until([&] { return fixture.front().open() == 0; }));
  const auto metrics = fixture.ReadMetrics();
  EXPECT_EQ(metrics["current"], 0);
  EXPECT_EQ(metrics["transactions"]["tunnel"]["answered"], 1);
}

// Guards against tunnels that stay open, or are opened, to a host that the operator takes out of service or
// that discovery lists as draining: they close at once with the cause, and tunnels to other hosts stay open.
TEST(Tunnels, CloseWhenTheirHostIsDrained) {
  TunnelFixture fixture(Loopback(1));
  RawServer echo(fixture.world.io, RawServer::Echo);
  fixture.world.gateway->ReloadEdge(std::make_shared<const meadowyard::EdgeConfig>(
      meadowyard::ParseEdge("edge.toml", TunnelFixture::EdgeToml(echo.address()))));
  const auto fleet = fixture.OpenSocksTunnel("a.fleet.internal"),
             one = fixture.OpenSocksTunnel("one.internal"), stock = fixture.OpenSocksTunnel();
  EXPECT_EQ(fixture.PutToAdmin("/maintenance/enter?target=h0"), "left out\n");
  EXPECT_TRUE(fixture.world.Until([&] { return fleet->is_read_closed() && one->is_read_closed(); }));
  EXPECT_EQ(fixture.CountEndedWith("out by hand"), 2);
  EXPECT_FALSE(stock->is_read_closed());
  const auto rejected = fixture.ConnectToSocksListener();
  rejected->SendBytes(SocksCall("one.internal"));
  EXPECT_TRUE(fixture.world.Until([&] { return rejected->ended; }));
  EXPECT_EQ(rejected->received_bytes[3], '\x01');
  EXPECT_EQ(fixture.PutToAdmin("/maintenance/exit?target=h0"), "put back\n");
  const auto reopened = fixture.OpenSocksTunnel("one.internal");
  ASSERT_TRUE(fixture.world.Until([&] { return !fixture.world.discovery.requests.empty(); }));
  fixture.world.discovery.requests.back().Answer(
      200, List(42, false, {Member("h0", fixture.world.host().address(), "draining")}).dump());
  EXPECT_TRUE(fixture.world.Until([&] { return reopened->is_read_closed(); }));
  EXPECT_EQ(fixture.PutToAdmin("/maintenance/enter?target=s1"), "left out\n");
  EXPECT_TRUE(fixture.world.Until([&] { return stock->is_read_closed(); }));
  EXPECT_EQ(fixture.CountEndedWith("out by hand"), 3);
  EXPECT_EQ(fixture.front().open(), 0u);
}

// Guards against a tunnel that opens although its host was taken out of service during the handshake with the
// parent proxy.
TEST(Tunnels, DoNotOpenIfTheHostIsDrainedDuringTheDial) {
  TunnelFixture fixture(Loopback(1));
  RawServer parent(fixture.world.io);  // sends nothing until the test does so
  fixture.world.gateway->ReloadEdge(std::make_shared<const meadowyard::EdgeConfig>(meadowyard::ParseEdge(
      "edge.toml", TunnelFixture::EdgeToml(Loopback(9), "",
                                           "parent = { protocol = \"connect\", address = \"" +
                                               ToText(parent.address()) + "\" }"))));
  const auto client = fixture.ConnectToSocksListener();
  client->SendBytes(SocksCall("a.stock.internal") + "early");
  ASSERT_TRUE(fixture.world.Until(
      [&] { return parent.ends.size() == 1 && parent.ends[0]->received_bytes.ends_with("\r\n\r\n"); }));
  EXPECT_EQ(fixture.PutToAdmin("/maintenance/enter?target=s1"), "left out\n");
  parent.ends[0]->SendBytes("HTTP/1.1 200 OK\r\n\r\n");
  ASSERT_TRUE(fixture.world.Until([&] { return client->is_read_closed(); }));
  EXPECT_EQ(client->received_bytes.substr(2, 1), "\x05");
  EXPECT_NE(client->received_bytes[3], '\0');
  EXPECT_EQ(fixture.CountRequestsWith("opened"), 0);
  EXPECT_EQ(parent.ends[0]->received_bytes.find("early"),
            std::string::npos);  // no data of the client was sent to it
}

// Guards tunnels through a parent proxy: data that follows its handshake reply is the host's and reaches the
// client; if the parent proxy rejects the request or does not reply, the client gets an error reply.
TEST(Tunnels, OpenThroughAParentProxy) {
  struct Case {
    bool socks;
    std::string parent_says;  // empty: it never replies
    bool opens;
  };
  for (const Case& c :
       {Case{false, "HTTP/1.1 200 OK\r\n\r\nhello", true}, Case{false, "HTTP/1.1 403 No\r\n\r\n", false},
        Case{true, "\x05\0\x05\0\0\x01\0\0\0\0\0\0hello"s, true}, Case{true, "\x05\xff", false},
        Case{true, "", false}}) {
    TunnelFixture fixture(Loopback(1));
    RawServer parent(fixture.world.io, [&](const std::shared_ptr<RawEnd>& end) {
      end->on_bytes_received = [raw = end.get(), &c, has_replied = false](std::string_view) mutable {
        if (!std::exchange(has_replied, true)) raw->SendBytes(c.parent_says);
      };
    });
    fixture.world.gateway->ReloadEdge(std::make_shared<const meadowyard::EdgeConfig>(meadowyard::ParseEdge(
        "edge.toml", TunnelFixture::EdgeToml(Loopback(9), "parent_ms = 300\n",
                                             "parent = { protocol = \""s + (c.socks ? "socks5" : "connect") +
                                                 "\", address = \"" + ToText(parent.address()) + "\" }"))));
    const auto client = fixture.ConnectToSocksListener();
    client->SendBytes(SocksCall("a.stock.internal"));
    ASSERT_TRUE(fixture.world.Until([&] {
      return client->received_bytes.size() >= kSocksReplyBytes + (c.opens ? 5 : 0) ||
             client->is_read_closed();
    }));
    EXPECT_EQ(client->received_bytes[3] == '\0', c.opens) << c.parent_says;
    if (c.opens) {
      EXPECT_TRUE(client->received_bytes.ends_with("hello"));
    }
    if (!c.opens) {
      EXPECT_TRUE(fixture.world.Until([&] { return client->ended; }));
    }
  }
}

// Guards against unbounded memory for a client that stops reading while the host sends at full speed.
TEST(Tunnels, BoundTheDataBufferedForAStalledReader) {
  TunnelFixture fixture(Loopback(1));
  RawServer sending_host(fixture.world.io, [](const std::shared_ptr<RawEnd>& end) {
    end->SendBytes(std::string(64 << 20, 'x'));
  });
  fixture.world.gateway->ReloadEdge(std::make_shared<const meadowyard::EdgeConfig>(
      meadowyard::ParseEdge("edge.toml", TunnelFixture::EdgeToml(sending_host.address()))));
  const auto client = fixture.ConnectToSocksListener();
  client->reads_enabled = false;  // applies after the read in progress
  client->SendBytes(SocksCall("a.stock.internal"));
  std::uint64_t before = 1, now = 0;
  const auto bytes_down = [&] {
    const auto status = fixture.front().Status();
    return status["tunnels"].empty() ? std::uint64_t{0}
                                     : status["tunnels"][0]["bytes_down"].get<std::uint64_t>();
  };
  ASSERT_TRUE(fixture.world.Until([&] {
    now = bytes_down();
    for (int i = 0; i < 200; ++i) fixture.world.io.poll();
    return now > 0 && std::exchange(before, bytes_down()) == now && now == bytes_down();
  }));
  // The data in transit is held by the kernel buffers of the two connections and one relay buffer: far less
  // than the 64 MiB that the host sends.
  EXPECT_LT(now, 48u << 20);
  EXPECT_EQ(sending_host.ends[0]->sent_byte_count, 0u);
  client->stores_received_bytes = false;
  client->reads_enabled = true;
  client->Read();
  EXPECT_TRUE(fixture.world.Until([&] { return client->received_byte_count >= (64u << 20); }));
}

// Guards against sockets that stay open after a reset in any state; a reset of an open tunnel reaches the
// other side.
TEST(Tunnels, PropagateResets) {
  TunnelFixture fixture(Loopback(1));
  RawServer echo(fixture.world.io, RawServer::Echo);
  fixture.world.gateway->ReloadEdge(std::make_shared<const meadowyard::EdgeConfig>(
      meadowyard::ParseEdge("edge.toml", TunnelFixture::EdgeToml(echo.address()))));
  const std::string handshake = SocksCall("a.stock.internal");
  for (std::size_t cut = 1; cut < handshake.size(); ++cut) {  // reset within the handshake
    const auto client = fixture.ConnectToSocksListener();
    client->SendBytes(handshake.substr(0, cut));
    ASSERT_TRUE(fixture.world.Until([&] { return client->sent_byte_count == cut; }));
    client->Reset();
  }
  EXPECT_TRUE(fixture.world.Until([&] { return fixture.front().Status()["handshakes"] == 0; }));
  const auto first = fixture.OpenSocksTunnel();
  ASSERT_TRUE(fixture.world.Until([&] { return echo.ends.size() == 1; }));
  first->Reset();
  EXPECT_TRUE(fixture.world.Until([&] { return echo.ends[0]->reset; }));
  const auto second = fixture.OpenSocksTunnel();
  ASSERT_TRUE(fixture.world.Until([&] { return echo.ends.size() == 2; }));
  echo.ends[1]->Reset();
  EXPECT_TRUE(fixture.world.Until([&] { return second->reset; }));
  const auto half_closed =
      fixture.OpenSocksTunnel();  // the client half-closes, so it is not read from any more
  ASSERT_TRUE(fixture.world.Until([&] { return echo.ends.size() == 3; }));
  echo.ends[2]->on_connection_end = nullptr;
  half_closed->HalfClose();
  ASSERT_TRUE(fixture.world.Until([&] { return echo.ends[2]->ended; }));
  half_closed->Reset();
  EXPECT_TRUE(fixture.world.Until([&] { return fixture.front().open() == 0; }));
  EXPECT_EQ(fixture.CountEndedWith("reset by client"), 2);
  EXPECT_EQ(fixture.CountEndedWith("reset by host"), 1);
}

// Guards against a thousand clients that never complete their handshake: they don't block a client that does,
// and each is closed within the handshake time-out.
TEST(Tunnels, IncompleteHandshakesDoNotBlockNewClients) {
  TunnelFixture fixture(Loopback(1), "handshakes = 20\nhandshake_ms = 400\n");
  RawServer echo(fixture.world.io, RawServer::Echo);
  fixture.world.gateway->ReloadEdge(std::make_shared<const meadowyard::EdgeConfig>(meadowyard::ParseEdge(
      "edge.toml", TunnelFixture::EdgeToml(echo.address(), "handshakes = 20\nhandshake_ms = 400\n"))));
  std::vector<std::shared_ptr<RawEnd>> incomplete;
  for (int i = 0; i < 1000; ++i) {
    incomplete.push_back(fixture.ConnectToSocksListener());
    incomplete.back()->SendBytes("\x05");
    fixture.world.io.poll();
    EXPECT_LE(fixture.front().Status()["handshakes"], 20);
  }
  fixture.OpenSocksTunnel();
  EXPECT_TRUE(fixture.world.Until([&] {
    return std::all_of(incomplete.begin(), incomplete.end(),
                       [](const auto& end) { return end->is_read_closed(); });
  }));
  EXPECT_EQ(fixture.CountRequestsWith("handshake_evicted") + fixture.CountRequestsWith("handshake_timeout"),
            1000);
}

// Guards the operators' commands: an open tunnel is listed and can be closed by its number. An idle tunnel is
// closed after the idle time-out.
TEST(Tunnels, AreListedAndClosedByTheOperatorOrWhenIdle) {
  TunnelFixture fixture(Loopback(1));
  RawServer echo(fixture.world.io, RawServer::Echo);
  fixture.world.gateway->ReloadEdge(std::make_shared<const meadowyard::EdgeConfig>(
      meadowyard::ParseEdge("edge.toml", TunnelFixture::EdgeToml(echo.address()))));
  const auto client = fixture.OpenSocksTunnel();
  client->SendBytes("hello");
  ASSERT_TRUE(fixture.world.Until([&] { return client->received_bytes == "hello"; }));
  Client admin_client(fixture.world.io, fixture.world.gateway->admin_address());
  admin_client.Send("GET /status/tunnels HTTP/1.1\r\nHost: x\r\n\r\n");
  const auto listed = nlohmann::json::parse(admin_client.Await().body());
  ASSERT_EQ(listed["tunnels"].size(), 1u) << listed;
  EXPECT_EQ(listed["tunnels"][0]["route"], "stock");
  EXPECT_EQ(listed["tunnels"][0]["host"], "s1");
  EXPECT_EQ(listed["tunnels"][0]["bytes_up"], 5);
  EXPECT_EQ(fixture.PutToAdmin("/tunnels/close?id=x"), "id: one tunnel's number is wanted\n");
  EXPECT_EQ(fixture.PutToAdmin("/tunnels/close?id=999"), "no tunnel has this number\n");
  EXPECT_EQ(fixture.PutToAdmin("/tunnels/close?id=" + listed["tunnels"][0]["id"].dump()), "closed\n");
  EXPECT_TRUE(fixture.world.Until([&] { return client->is_read_closed(); }));
  EXPECT_EQ(fixture.CountEndedWith("closed by operator"), 1);
  fixture.world.gateway->ReloadEdge(std::make_shared<const meadowyard::EdgeConfig>(
      meadowyard::ParseEdge("edge.toml", TunnelFixture::EdgeToml(echo.address(), "idle_ms = 200\n"))));
  const auto idle = fixture.OpenSocksTunnel();
  EXPECT_TRUE(fixture.world.Until([&] { return idle->is_read_closed(); }));
  EXPECT_EQ(fixture.CountEndedWith("idle"), 1);
}

// Guards against the use of a destroyed core: when the file removes a pool, its core is destroyed together
// with its pending timers and operations.
TEST(Tunnels, ReleaseTheCoreOfARemovedPool) {
  TunnelFixture fixture(Loopback(1));
  RawServer echo(fixture.world.io, RawServer::Echo);
  std::string reduced_file = TunnelFixture::EdgeToml(echo.address());
  const auto load_edge = [&](const std::string& text) {
    fixture.world.gateway->ReloadEdge(
        std::make_shared<const meadowyard::EdgeConfig>(meadowyard::ParseEdge("edge.toml", text)));
  };
  const std::string complete_file = reduced_file;
  const auto pool_begin = reduced_file.find("[[pool]]\nname = \"stock\""),
             next_pool = reduced_file.find("[[pool]]\nname = \"fleet\"");
  reduced_file.erase(pool_begin, next_pool - pool_begin);
  const auto route_begin = reduced_file.find("[[route]]\nname = \"stock\"");
  reduced_file.erase(route_begin, reduced_file.find("[[route]]\nname = \"fleet\"") - route_begin);
  for (int i = 0; i < 20; ++i) {
    load_edge(complete_file);
    fixture.OpenSocksTunnel()->Reset();
    load_edge(reduced_file);
    ASSERT_TRUE(fixture.world.Until([&] { return fixture.front().open() == 0; }));
    load_edge(reduced_file);                                  // the pool has no tunnels any more
    fixture.world.io.run_for(std::chrono::milliseconds(15));  // its pending timers would fire
  }
  load_edge(complete_file);
  fixture.OpenSocksTunnel();
}

// Guards against rejected clients that stay connected and use up the handshake limit: they are evicted, as
// are clients that never complete their handshake.
TEST(Tunnels, RejectedClientsThatStayDoNotBlockNewClients) {
  TunnelFixture fixture(Loopback(1), "handshakes = 8\n");
  std::vector<std::shared_ptr<RawEnd>> denied;
  for (int i = 0; i < 60; ++i) {
    denied.push_back(fixture.ConnectToHttpListener());
    denied.back()->reads_enabled = false;  // so it does not close
    denied.back()->SendBytes(ConnectCall("nobody.example:443"));
    ASSERT_TRUE(fixture.world.Until([&] { return fixture.CountRequestsWith("denied") > i; }));
    EXPECT_LE(fixture.front().Status()["handshakes"].get<int>(), 8);
  }
}

// Guards against a settings file that is applied in part: a listener that can't be opened, or an invalid
// file, changes nothing. A host that the file removes loses its tunnels.
TEST(Tunnels, ApplyASettingsFileCompletelyOrNotAtAll) {
  TunnelFixture fixture(Loopback(1));
  RawServer echo(fixture.world.io, RawServer::Echo);
  const std::string file = TunnelFixture::EdgeToml(echo.address());
  const auto load_edge = [&](const std::string& text) {
    fixture.world.gateway->ReloadEdge(
        std::make_shared<const meadowyard::EdgeConfig>(meadowyard::ParseEdge("edge.toml", text)));
  };
  load_edge(file);
  const auto client = fixture.OpenSocksTunnel();
  tcp::acceptor occupied(fixture.world.io, Loopback());
  std::string conflicting_file = file;
  conflicting_file.replace(conflicting_file.find("127.0.0.1:0"), 11, ToText(occupied.local_endpoint()));
  EXPECT_THROW(load_edge(conflicting_file), boost::system::system_error);
  EXPECT_THROW(load_edge(std::string(file).replace(file.find("most = 50"), 9, "most = 500")),
               meadowyard::EdgeError);
  const auto second_client = fixture.OpenSocksTunnel();
  EXPECT_FALSE(client->is_read_closed());
  std::string reduced_file = file;
  reduced_file.replace(reduced_file.find("s1"), 2, "s2");
  load_edge(reduced_file);
  EXPECT_TRUE(
      fixture.world.Until([&] { return client->is_read_closed() && second_client->is_read_closed(); }));
  EXPECT_EQ(fixture.CountEndedWith("gone"), 2);
  fixture.OpenSocksTunnel();
}

}  // namespace
}  // namespace meadowyard::testing
