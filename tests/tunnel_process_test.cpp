// Tunnels through the real program: with curl as the client, and across a change of version.
#include <gtest/gtest.h>

#include <future>
#include <random>

#include "process.hpp"
#include "raw_peers.hpp"

namespace meadowyard::testing {
namespace {

struct Program {
  explicit Program(const std::string& edge) {
    char name[] = "/tmp/meadowyard-XXXXXX";
    folder = mkdtemp(name);
    for (tcp::endpoint* at : {&listen, &open, &closed, &connect, &connect_closed}) *at = FreePort();
    host.serve = [](const Peer::Taken& taken) {
      taken.Answer(200, "hello " + std::string(taken.http.target()));
    };
    const nlohmann::json config = {{"seed", "1f"},
                                   {"discovery", ToText(discovery.address())},
                                   {"limits", {{"sockets", 2000}}},
                                   {"known", List(1, true, {Member("h0", host.address())})},
                                   {"settings", TestSettings()}};
    std::ofstream(folder + "/config.json") << config;
    std::string text = "[tunnels]\nclass = \"tunnel\"\nmost = 700\n";
    for (const auto& [protocol, at, asks] :
         {std::tuple("socks5", open, false), std::tuple("socks5", closed, true),
          std::tuple("connect", connect, false), std::tuple("connect", connect_closed, true)}) {
      text += std::string("[[listener]]\nprotocol = \"") + protocol + "\"\naddress = \"" + ToText(at) +
              "\"\ncredentials = " + (asks ? "true\n" : "false\n");
    }
    std::ofstream(folder + "/edge.toml") << text + edge;
  }
  ~Program() {
    for (const std::string& file :
         {std::string("config.json"), std::string("edge.toml"), std::string("answer"),
          "meadowyard-" + listen.address().to_string() + "-" + std::to_string(listen.port())}) {
      std::remove((folder + "/" + file).c_str());
    }
    rmdir(folder.c_str());
  }
  tcp::endpoint FreePort() { return Loopback(FreePortNumber()); }
  // Starts a version and waits until it serves.
  std::unique_ptr<Process> Start() {
    const tcp::endpoint admin = FreePort();
    auto process = std::make_unique<Process>(
        std::vector<std::pair<std::string, std::string>>{{"NODE_CONFIG", folder + "/config.json"},
                                                         {"NODE_LISTEN", ToText(listen)},
                                                         {"NODE_ADMIN", ToText(admin)},
                                                         {"TMPDIR", folder},
                                                         {"MEADOWYARD_EDGE", folder + "/edge.toml"}});
    EXPECT_TRUE(RunUntil(io, [&] {
      tcp::socket probe(io);
      error_code ec;
      probe.connect(admin, ec);
      if (!ec) return true;
      io.run_for(std::chrono::milliseconds(5));
      return false;
    })) << process->Errors();
    Client caller(io, admin);
    caller.Send("GET /status HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_EQ(caller.Await().body(), "yes\n") << process->Errors();
    return process;
  }
  // What a command's exit status is, with the peers alive meanwhile.
  int Run(const std::string& command) {
    auto run = std::async(std::launch::async, [&] { return std::system(command.c_str()); });
    EXPECT_TRUE(
        RunUntil(io, [&] { return run.wait_for(std::chrono::seconds(0)) == std::future_status::ready; }));
    return WEXITSTATUS(run.get());
  }

  asio::io_context io;
  Peer discovery{io}, host{io};
  std::string folder;
  tcp::endpoint listen, open, closed, connect, connect_closed;
};

const char* const kRoutes =
    "[[user]]\nname = \"scanner\"\npassword = \"secret\"\n[[pool]]\nname = \"fleet\"\ndiscovered = true\n"
    "[[route]]\nname = \"shop\"\nsuffix = \"shop.internal\"\npool = \"fleet\"\n"
    "[[route]]\nname = \"loop\"\nnetwork = \"127.9.0.0/16\"\npool = \"fleet\"\n[default]\ndeny = true\n";

// The table of docs/tunnels.md: curl's three ways, with no, right and wrong credentials, at both kinds of
// listener.
TEST(TunnelProgram, ServesCurl) {
  Program p(kRoutes);
  const auto process = p.Start();
  const auto run = [&](const std::string& way, const tcp::endpoint& at, const std::string& user,
                       const std::string& to) {
    const std::string proxy = way == "--proxytunnel --proxy" ? "http://" + ToText(at) : ToText(at);
    return p.Run("curl -sS --noproxy '' --max-time 20 -o " + p.folder + "/answer " + way + " " + proxy +
                 (user.empty() ? "" : " --proxy-user " + user) + " " + to + " 2>/dev/null");
  };
  const auto answer = [&] {
    std::stringstream text;
    text << std::ifstream(p.folder + "/answer").rdbuf();
    std::remove((p.folder + "/answer").c_str());
    return text.str();
  };
  for (const std::string way : {"--socks5", "--socks5-hostname", "--proxytunnel --proxy"}) {
    const std::string to = way == "--socks5" ? "http://127.9.0.1/x" : "http://www.shop.internal/x";
    const bool socks = way.starts_with("--socks");
    for (const bool asks : {false, true}) {
      const tcp::endpoint at = socks ? asks ? p.closed : p.open : asks ? p.connect_closed : p.connect;
      for (const std::string user : {"", "scanner:secret", "scanner:wrong"}) {
        const bool good = !asks || user == "scanner:secret";
        EXPECT_EQ(run(way, at, user, to) == 0, good)
            << way << " " << asks << " " << user << process->Errors();
        EXPECT_EQ(answer(), good ? "hello /x" : "") << way << " " << asks << " " << user;
      }
    }
    EXPECT_NE(run(way, socks ? p.open : p.connect, "", "http://127.8.0.1/x"), 0);  // denied
  }
}

// Guards a new version under load: tunnels with a checked stream go on, half-written ones and half-closed
// ones too.
TEST(TunnelProgram, KeepsItsTunnelsAcrossAnUpgrade) {
  Program p(
      "[[user]]\nname = \"u\"\npassword = \"p\"\n[[pool]]\nname = \"echo\"\n[[pool.host]]\nid = "
      "\"e\"\naddress = \"@\"\n[default]\npool = \"echo\"\n");
  RawServer echo(p.io, RawServer::Echo);
  std::stringstream text;
  text << std::ifstream(p.folder + "/edge.toml").rdbuf();
  std::string edge = text.str();
  edge.replace(edge.find('@'), 1, ToText(echo.address()));
  std::ofstream(p.folder + "/edge.toml") << edge;
  auto before = p.Start();
  struct Stream {
    std::shared_ptr<RawEnd> end;
    std::mt19937_64 said, heard;
    std::size_t checked = 0;
    bool wrong = false;
  };
  constexpr std::size_t kTunnels = 60, kPiece = 4096;
  std::vector<std::unique_ptr<Stream>> streams;
  bool flowing = true;
  std::size_t opened = 0;
  const auto say = [&](Stream& s) {
    std::string piece(kPiece, 0);
    for (char& c : piece) c = static_cast<char>(s.said());
    s.end->Say(std::move(piece));
  };
  for (std::size_t i = 0; i < kTunnels; ++i) {
    streams.push_back(std::make_unique<Stream>());
    Stream& s = *streams.back();
    s.said.seed(i), s.heard.seed(i);
    s.end = RawConnect(p.io, p.open);
    s.end->keeps = false;
    s.end->heard = [&, skip = kSocksReply](std::string_view bytes) mutable {
      for (const char c : bytes) {
        if (skip > 0) {
          opened += --skip == 0;
          continue;
        }
        s.wrong = s.wrong || c != static_cast<char>(s.heard());
        if (++s.checked % kPiece == 0 && flowing) say(s);
      }
    };
    s.end->Say(SocksCall("x.y"));
    say(s);
    say(s);
  }
  ASSERT_TRUE(RunUntil(p.io, [&] { return opened == kTunnels; })) << before->Errors();
  const auto least = [&] {
    std::size_t n = streams[0]->checked;
    for (const auto& s : streams) n = std::min(n, s->checked);
    return n;
  };
  ASSERT_TRUE(RunUntil(p.io, [&] { return least() >= 4 * kPiece; }));
  const auto after = p.Start();
  before->Terminate();
  ASSERT_TRUE(RunUntil(p.io, [&] { return before->Ended(); }));
  EXPECT_EQ(before->Wait(), 0);
  const std::size_t mark = least();
  ASSERT_TRUE(RunUntil(p.io, [&] { return least() >= mark + 20 * kPiece; })) << after->Errors();
  flowing = false;
  for (const auto& s : streams) s->end->HalfClose();
  ASSERT_TRUE(RunUntil(p.io, [&] {
    return std::all_of(streams.begin(), streams.end(), [](const auto& s) { return s->end->over(); });
  }));
  for (const auto& s : streams) {
    EXPECT_FALSE(s->wrong);
    EXPECT_TRUE(s->end->ended);
    EXPECT_EQ(s->checked + SocksCall("x.y").size(), s->end->said);
  }
}

}  // namespace
}  // namespace meadowyard::testing
