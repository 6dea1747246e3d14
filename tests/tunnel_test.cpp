// Tunnels through a whole gateway, against scripted peers on loopback.
#include <gtest/gtest.h>

#include <random>

#include "raw_peers.hpp"
#include "world.hpp"

namespace meadowyard::testing {
namespace {

using namespace std::string_literals;

struct TunnelWorld {
  // `more` goes to the [tunnels] table, `pool` to the pool "stock" of one host "s1" at `target`.
  explicit TunnelWorld(const tcp::endpoint& target, const std::string& more = "",
                       const std::string& pool = "", nlohmann::json settings = TestSettings())
      : world(1, std::move(settings), 600, true, Edge(target, more, pool)) {}

  static std::string Edge(const tcp::endpoint& target, const std::string& more = "",
                          const std::string& pool = "") {
    return "[tunnels]\nclass = \"tunnel\"\nmost = 50\n" + more +
           "\n[[listener]]\nprotocol = \"socks5\"\naddress = \"127.0.0.1:0\"\n"
           "[[listener]]\nprotocol = \"connect\"\naddress = \"127.0.0.1:0\"\n"
           "[[pool]]\nname = \"stock\"\n" +
           pool + "\n[[pool.host]]\nid = \"s1\"\naddress = \"" + ToText(target) +
           "\"\n[[pool]]\nname = \"fleet\"\ndiscovered = true\n"
           "[[route]]\nname = \"stock\"\nsuffix = \"stock.internal\"\npool = \"stock\"\n"
           "[[route]]\nname = \"fleet\"\nsuffix = \"fleet.internal\"\npool = \"fleet\"\n"
           "[[route]]\nname = \"one\"\nto = \"one.internal\"\npool = \"fleet\"\nhost = \"h0\"\n"
           "[default]\ndeny = true\n";
  }
  TunnelServer& front() { return world.gateway->edge().front(); }
  std::shared_ptr<RawEnd> Socks() { return RawConnect(world.io, front().addresses()[0]); }
  std::shared_ptr<RawEnd> Connect() { return RawConnect(world.io, front().addresses()[1]); }
  // An open SOCKS tunnel; its first bytes are the two replies.
  std::shared_ptr<RawEnd> Opened(const std::string& to = "a.stock.internal") {
    const auto client = Socks();
    client->Say(SocksCall(to));
    EXPECT_TRUE(world.Until([&] { return client->got.size() >= kSocksReply || client->over(); }));
    EXPECT_EQ(client->got.substr(0, 4), "\x05\0\x05\0"s);
    client->got.clear();
    client->all = 0;
    return client;
  }
  // How many tunnels ended with this cause.
  int Ended(const std::string& cause) {
    const auto status = front().Status();
    return status["ended"].value(cause, 0);
  }
  int Asked(const std::string& what) { return front().Status()["asked"].value(what, 0); }
  nlohmann::json Figures() { return world.Figures(); }
  std::string Put(const std::string& path) {
    Client caller(world.io, world.gateway->admin_address());
    caller.Send("PUT " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
    return caller.Await().body();
  }

  World world;
};

std::string Noise(std::size_t n, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::string text(n, 0);
  for (char& c : text) c = static_cast<char>(random());
  return text;
}

// Guards the tunnel itself: both protocols, early data, large bodies both ways, half-close through to the
// end.
TEST(Tunnels, CarryWhatIsSaidAndTheEndOfIt) {
  asio::io_context unused;
  TunnelWorld t(Loopback(1));
  RawServer echo(t.world.io, RawServer::Echo);
  t.world.gateway->ReloadEdge(std::make_shared<const meadowyard::EdgeConfig>(
      meadowyard::ParseEdge("edge.toml", TunnelWorld::Edge(echo.address()))));
  const std::string text = Noise(3 << 20, 7);
  for (const bool socks : {true, false}) {
    const auto client = socks ? t.Socks() : t.Connect();
    client->Say((socks ? SocksCall("a.stock.internal") : ConnectCall("a.stock.internal:443")) + text);
    ASSERT_TRUE(t.world.Until([&] { return client->said > text.size(); }));
    client->HalfClose();
    ASSERT_TRUE(t.world.Until([&] { return client->over(); }));
    EXPECT_TRUE(client->ended);
    const std::string head = socks ? "\x05\0\x05\0\0\x01"s : "HTTP/1.1 200 Connection established\r\n\r\n"s;
    EXPECT_EQ(client->got.substr(0, head.size()), head);
    EXPECT_EQ(client->got.size(), text.size() + (socks ? kSocksReply : head.size()));
    EXPECT_TRUE(client->got.ends_with(text));
  }
  EXPECT_TRUE(t.world.Until([&] { return t.Ended("ended") == 2; }));
  EXPECT_EQ(t.front().open(), 0u);
}

// Guards each reply code: routes, limits, dials that fail, a silent host, and that each is counted once.
TEST(Tunnels, SayWhyNot) {
  tcp::endpoint nobody;
  {
    asio::io_context io;
    tcp::acceptor probe(io, Loopback());
    nobody = probe.local_endpoint();
  }
  TunnelWorld t(nobody, "most_per_address = 1\n");
  struct Case {
    std::string to;
    char socks;
    std::string status;
  };
  for (const Case& c : {Case{"denied.org", 2, "403"}, Case{"a.stock.internal", 5, "502"}}) {
    const auto socks = t.Socks(), connect = t.Connect();
    socks->Say(SocksCall(c.to));
    ASSERT_TRUE(t.world.Until([&] { return socks->ended; })) << c.to;
    EXPECT_EQ(socks->got.substr(2), "\x05"s + c.socks + "\0\x01\0\0\0\0\0\0"s) << c.to;
    connect->Say(ConnectCall(c.to + ":443"));
    ASSERT_TRUE(t.world.Until([&] { return connect->ended; })) << c.to;
    EXPECT_EQ(connect->got.substr(9, 3), c.status) << connect->got;
  }
  const auto open = t.Opened("b.fleet.internal");  // the one that this address may have
  const auto second = t.Connect();
  second->Say(ConnectCall("b.fleet.internal:443"));
  ASSERT_TRUE(t.world.Until([&] { return second->ended; }));
  EXPECT_EQ(second->got.substr(9, 3), "503");
  EXPECT_NE(second->got.find("\r\nRetry-After: 1\r\n"), std::string::npos);
  EXPECT_EQ(t.Asked("limit_address"), 1);
  EXPECT_EQ(t.Asked("denied"), 2);
  EXPECT_EQ(t.Asked("unreachable"), 2);
  EXPECT_EQ(t.Figures()["current"], 1);
  open->Reset();
  EXPECT_TRUE(t.world.Until([&] { return t.front().open() == 0; }));
  const auto figures = t.Figures();
  EXPECT_EQ(figures["current"], 0);
  EXPECT_EQ(figures["transactions"]["tunnel"]["answered"], 1);
}

// Guards drains: whoever tells it, tunnels to that host end at once with the cause, others stay, and none is
// opened.
TEST(Tunnels, EndWhenTheirHostIsToBeLeft) {
  TunnelWorld t(Loopback(1));
  RawServer echo(t.world.io, RawServer::Echo);
  t.world.gateway->ReloadEdge(std::make_shared<const meadowyard::EdgeConfig>(
      meadowyard::ParseEdge("edge.toml", TunnelWorld::Edge(echo.address()))));
  const auto fleet = t.Opened("a.fleet.internal"), one = t.Opened("one.internal"), stock = t.Opened();
  EXPECT_EQ(t.Put("/maintenance/enter?target=h0"), "left out\n");
  EXPECT_TRUE(t.world.Until([&] { return fleet->over() && one->over(); }));
  EXPECT_EQ(t.Ended("out by hand"), 2);
  EXPECT_FALSE(stock->over());
  const auto refused = t.Socks();
  refused->Say(SocksCall("one.internal"));
  EXPECT_TRUE(t.world.Until([&] { return refused->ended; }));
  EXPECT_EQ(refused->got[3], '\x01');
  EXPECT_EQ(t.Put("/maintenance/exit?target=h0"), "put back\n");
  const auto again = t.Opened("one.internal");
  ASSERT_TRUE(t.world.Until([&] { return !t.world.discovery.requests.empty(); }));
  t.world.discovery.requests.back().Answer(
      200, List(42, false, {Member("h0", t.world.host().address(), "draining")}).dump());
  EXPECT_TRUE(t.world.Until([&] { return again->over(); }));
  EXPECT_EQ(t.Put("/maintenance/enter?target=s1"), "left out\n");
  EXPECT_TRUE(t.world.Until([&] { return stock->over(); }));
  EXPECT_EQ(t.Ended("out by hand"), 3);
  EXPECT_EQ(t.front().open(), 0u);
}

// Guards the news that comes while a parent's handshake is under way: nothing opens.
TEST(Tunnels, DoNotOpenOnNewsDuringTheDial) {
  TunnelWorld t(Loopback(1));
  RawServer parent(t.world.io);  // says nothing until it is told
  t.world.gateway->ReloadEdge(std::make_shared<const meadowyard::EdgeConfig>(
      meadowyard::ParseEdge("edge.toml", TunnelWorld::Edge(Loopback(9), "",
                                                           "parent = { protocol = \"connect\", address = \"" +
                                                               ToText(parent.address()) + "\" }"))));
  const auto client = t.Socks();
  client->Say(SocksCall("a.stock.internal") + "early");
  ASSERT_TRUE(
      t.world.Until([&] { return parent.ends.size() == 1 && parent.ends[0]->got.ends_with("\r\n\r\n"); }));
  EXPECT_EQ(t.Put("/maintenance/enter?target=s1"), "left out\n");
  parent.ends[0]->Say("HTTP/1.1 200 OK\r\n\r\n");
  ASSERT_TRUE(t.world.Until([&] { return client->over(); }));
  EXPECT_EQ(client->got.substr(2, 1), "\x05");
  EXPECT_NE(client->got[3], '\0');
  EXPECT_EQ(t.Asked("opened"), 0);
  EXPECT_EQ(parent.ends[0]->got.find("early"), std::string::npos);  // no byte of the client's went there
}

// Guards parents: what they say behind the handshake is the host's, refusals and silence end in a reply.
TEST(Tunnels, GoThroughAParent) {
  struct Case {
    bool socks;
    std::string parent_says;  // empty: nothing, ever
    bool opens;
  };
  for (const Case& c :
       {Case{false, "HTTP/1.1 200 OK\r\n\r\nhello", true}, Case{false, "HTTP/1.1 403 No\r\n\r\n", false},
        Case{true, "\x05\0\x05\0\0\x01\0\0\0\0\0\0hello"s, true}, Case{true, "\x05\xff", false},
        Case{true, "", false}}) {
    TunnelWorld t(Loopback(1));
    RawServer parent(t.world.io, [&](const std::shared_ptr<RawEnd>& end) {
      end->heard = [raw = end.get(), &c, said = false](std::string_view) mutable {
        if (!std::exchange(said, true)) raw->Say(c.parent_says);
      };
    });
    t.world.gateway->ReloadEdge(std::make_shared<const meadowyard::EdgeConfig>(meadowyard::ParseEdge(
        "edge.toml", TunnelWorld::Edge(Loopback(9), "parent_ms = 300\n",
                                       "parent = { protocol = \""s + (c.socks ? "socks5" : "connect") +
                                           "\", address = \"" + ToText(parent.address()) + "\" }"))));
    const auto client = t.Socks();
    client->Say(SocksCall("a.stock.internal"));
    ASSERT_TRUE(t.world.Until(
        [&] { return client->got.size() >= kSocksReply + (c.opens ? 5 : 0) || client->over(); }));
    EXPECT_EQ(client->got[3] == '\0', c.opens) << c.parent_says;
    if (c.opens) {
      EXPECT_TRUE(client->got.ends_with("hello"));
    }
    if (!c.opens) {
      EXPECT_TRUE(t.world.Until([&] { return client->ended; }));
    }
  }
}

// Guards memory: a client that stalls while the server sends at full speed is bounded by what one side took.
TEST(Tunnels, BoundWhatAStalledReaderLeaves) {
  TunnelWorld t(Loopback(1));
  RawServer flood(t.world.io,
                  [](const std::shared_ptr<RawEnd>& end) { end->Say(std::string(64 << 20, 'x')); });
  t.world.gateway->ReloadEdge(std::make_shared<const meadowyard::EdgeConfig>(
      meadowyard::ParseEdge("edge.toml", TunnelWorld::Edge(flood.address()))));
  const auto client = t.Socks();
  client->reads = false;  // but for the piece that is under way
  client->Say(SocksCall("a.stock.internal"));
  std::uint64_t before = 1, now = 0;
  const auto down = [&] {
    const auto status = t.front().Status();
    return status["tunnels"].empty() ? std::uint64_t{0}
                                     : status["tunnels"][0]["bytes_down"].get<std::uint64_t>();
  };
  ASSERT_TRUE(t.world.Until([&] {
    now = down();
    for (int i = 0; i < 200; ++i) t.world.io.poll();
    return now > 0 && std::exchange(before, down()) == now && now == down();
  }));
  // What crossed lies in the two kernel buffers and in one piece; nothing like the whole was taken in.
  EXPECT_LT(now, 48u << 20);
  EXPECT_EQ(flood.ends[0]->said, 0u);
  client->keeps = false;
  client->reads = true;
  client->Read();
  EXPECT_TRUE(t.world.Until([&] { return client->all >= (64u << 20); }));
}

// Guards resets in every state: the other side learns of it, nothing stays behind.
TEST(Tunnels, PassResetsOn) {
  TunnelWorld t(Loopback(1));
  RawServer echo(t.world.io, RawServer::Echo);
  t.world.gateway->ReloadEdge(std::make_shared<const meadowyard::EdgeConfig>(
      meadowyard::ParseEdge("edge.toml", TunnelWorld::Edge(echo.address()))));
  const std::string call = SocksCall("a.stock.internal");
  for (std::size_t cut = 1; cut < call.size(); ++cut) {  // within the handshake
    const auto client = t.Socks();
    client->Say(call.substr(0, cut));
    ASSERT_TRUE(t.world.Until([&] { return client->said == cut; }));
    client->Reset();
  }
  EXPECT_TRUE(t.world.Until([&] { return t.front().Status()["handshakes"] == 0; }));
  const auto first = t.Opened();
  ASSERT_TRUE(t.world.Until([&] { return echo.ends.size() == 1; }));
  first->Reset();
  EXPECT_TRUE(t.world.Until([&] { return echo.ends[0]->reset; }));
  const auto second = t.Opened();
  ASSERT_TRUE(t.world.Until([&] { return echo.ends.size() == 2; }));
  echo.ends[1]->Reset();
  EXPECT_TRUE(t.world.Until([&] { return second->reset; }));
  const auto half = t.Opened();  // the client has ended its side: it is read from no more
  ASSERT_TRUE(t.world.Until([&] { return echo.ends.size() == 3; }));
  echo.ends[2]->at_end = nullptr;
  half->HalfClose();
  ASSERT_TRUE(t.world.Until([&] { return echo.ends[2]->ended; }));
  half->Reset();
  EXPECT_TRUE(t.world.Until([&] { return t.front().open() == 0; }));
  EXPECT_EQ(t.Ended("reset by client"), 2);
  EXPECT_EQ(t.Ended("reset by host"), 1);
}

// Guards the door: a thousand half handshakes keep nobody out, and each ends within its time.
TEST(Tunnels, LetNobodyHoldTheDoor) {
  TunnelWorld t(Loopback(1), "handshakes = 20\nhandshake_ms = 400\n");
  RawServer echo(t.world.io, RawServer::Echo);
  t.world.gateway->ReloadEdge(std::make_shared<const meadowyard::EdgeConfig>(meadowyard::ParseEdge(
      "edge.toml", TunnelWorld::Edge(echo.address(), "handshakes = 20\nhandshake_ms = 400\n"))));
  std::vector<std::shared_ptr<RawEnd>> half;
  for (int i = 0; i < 1000; ++i) {
    half.push_back(t.Socks());
    half.back()->Say("\x05");
    t.world.io.poll();
    EXPECT_LE(t.front().Status()["handshakes"], 20);
  }
  t.Opened();
  EXPECT_TRUE(t.world.Until(
      [&] { return std::all_of(half.begin(), half.end(), [](const auto& end) { return end->over(); }); }));
  EXPECT_EQ(t.Asked("handshake_evicted") + t.Asked("handshake_timeout"), 1000);
}

// Guards the operators' side: a tunnel is listed, closed by its number, and ends when it stands idle for too
// long.
TEST(Tunnels, AreListedAndClosed) {
  TunnelWorld t(Loopback(1));
  RawServer echo(t.world.io, RawServer::Echo);
  t.world.gateway->ReloadEdge(std::make_shared<const meadowyard::EdgeConfig>(
      meadowyard::ParseEdge("edge.toml", TunnelWorld::Edge(echo.address()))));
  const auto client = t.Opened();
  client->Say("hello");
  ASSERT_TRUE(t.world.Until([&] { return client->got == "hello"; }));
  Client caller(t.world.io, t.world.gateway->admin_address());
  caller.Send("GET /status/tunnels HTTP/1.1\r\nHost: x\r\n\r\n");
  const auto listed = nlohmann::json::parse(caller.Await().body());
  ASSERT_EQ(listed["tunnels"].size(), 1u) << listed;
  EXPECT_EQ(listed["tunnels"][0]["route"], "stock");
  EXPECT_EQ(listed["tunnels"][0]["host"], "s1");
  EXPECT_EQ(listed["tunnels"][0]["bytes_up"], 5);
  EXPECT_EQ(t.Put("/tunnels/close?id=x"), "id: one tunnel's number is wanted\n");
  EXPECT_EQ(t.Put("/tunnels/close?id=999"), "no tunnel has this number\n");
  EXPECT_EQ(t.Put("/tunnels/close?id=" + listed["tunnels"][0]["id"].dump()), "closed\n");
  EXPECT_TRUE(t.world.Until([&] { return client->over(); }));
  EXPECT_EQ(t.Ended("closed by operator"), 1);
  t.world.gateway->ReloadEdge(std::make_shared<const meadowyard::EdgeConfig>(
      meadowyard::ParseEdge("edge.toml", TunnelWorld::Edge(echo.address(), "idle_ms = 200\n"))));
  const auto idle = t.Opened();
  EXPECT_TRUE(t.world.Until([&] { return idle->over(); }));
  EXPECT_EQ(t.Ended("idle"), 1);
}

// Guards a pool that the file has no more: its core goes with all that it waits for.
TEST(Tunnels, LeaveNothingBehindOfAPoolThatGoes) {
  TunnelWorld t(Loopback(1));
  RawServer echo(t.world.io, RawServer::Echo);
  std::string without = TunnelWorld::Edge(echo.address());
  const auto load = [&](const std::string& text) {
    t.world.gateway->ReloadEdge(
        std::make_shared<const meadowyard::EdgeConfig>(meadowyard::ParseEdge("edge.toml", text)));
  };
  const std::string with = without;
  const auto pool = without.find("[[pool]]\nname = \"stock\""),
             next = without.find("[[pool]]\nname = \"fleet\"");
  without.erase(pool, next - pool);
  const auto route = without.find("[[route]]\nname = \"stock\"");
  without.erase(route, without.find("[[route]]\nname = \"fleet\"") - route);
  for (int i = 0; i < 20; ++i) {
    load(with);
    t.Opened()->Reset();
    load(without);
    ASSERT_TRUE(t.world.Until([&] { return t.front().open() == 0; }));
    load(without);                                      // now it is empty
    t.world.io.run_for(std::chrono::milliseconds(15));  // what it waited for would be due
  }
  load(with);
  t.Opened();
}

// Guards the door: those that were refused and stay make room, as those that never ask do.
TEST(Tunnels, RefusedOnesThatStayShutNobodyOut) {
  TunnelWorld t(Loopback(1), "handshakes = 8\n");
  std::vector<std::shared_ptr<RawEnd>> denied;
  for (int i = 0; i < 60; ++i) {
    denied.push_back(t.Connect());
    denied.back()->reads = false;  // it stays
    denied.back()->Say(ConnectCall("nobody.example:443"));
    ASSERT_TRUE(t.world.Until([&] { return t.Asked("denied") > i; }));
    EXPECT_LE(t.front().Status()["handshakes"].get<int>(), 8);
  }
}

// Guards the reload: a listener that can't be opened changes nothing; a pool that goes ends its tunnels.
TEST(Tunnels, FollowTheFileWholeOrNotAtAll) {
  TunnelWorld t(Loopback(1));
  RawServer echo(t.world.io, RawServer::Echo);
  const std::string file = TunnelWorld::Edge(echo.address());
  const auto load = [&](const std::string& text) {
    t.world.gateway->ReloadEdge(
        std::make_shared<const meadowyard::EdgeConfig>(meadowyard::ParseEdge("edge.toml", text)));
  };
  load(file);
  const auto client = t.Opened();
  tcp::acceptor taken(t.world.io, Loopback());
  std::string other = file;
  other.replace(other.find("127.0.0.1:0"), 11, ToText(taken.local_endpoint()));
  EXPECT_THROW(load(other), boost::system::system_error);
  EXPECT_THROW(load(std::string(file).replace(file.find("most = 50"), 9, "most = 500")),
               meadowyard::EdgeError);
  const auto still = t.Opened();
  EXPECT_FALSE(client->over());
  std::string without = file;
  without.replace(without.find("s1"), 2, "s2");
  load(without);
  EXPECT_TRUE(t.world.Until([&] { return client->over() && still->over(); }));
  EXPECT_EQ(t.Ended("gone"), 2);
  t.Opened();
}

}  // namespace
}  // namespace meadowyard::testing
