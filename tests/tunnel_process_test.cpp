// Tests of tunnels through the gateway program in a process of its own: with curl as the client, and across a
// hot restart.
#include <gtest/gtest.h>

#include <future>
#include <random>

#include "process.hpp"
#include "raw_peers.hpp"

namespace meadowyard::testing {
namespace {

struct ProgramFixture {
  explicit ProgramFixture(const std::string& edge) {
    char name[] = "/tmp/meadowyard-XXXXXX";
    folder = mkdtemp(name);
    for (tcp::endpoint* listen_address :
         {&listen, &socks, &socks_with_credentials, &connect, &connect_with_credentials})
      *listen_address = FreePort();
    host.serve = [](const Peer::ReceivedRequest& request) {
      request.Answer(200, "hello " + std::string(request.http.target()));
    };
    const nlohmann::json config = {{"seed", "1f"},
                                   {"discovery", ToText(discovery.address())},
                                   {"limits", {{"sockets", 2000}}},
                                   {"known", List(1, true, {Member("h0", host.address())})},
                                   {"settings", TestSettings()}};
    std::ofstream(folder + "/config.json") << config;
    std::string text = "[tunnels]\nclass = \"tunnel\"\nmost = 700\n";
    for (const auto& [protocol, listen_address, requires_credentials] :
         {std::tuple("socks5", socks, false), std::tuple("socks5", socks_with_credentials, true),
          std::tuple("connect", connect, false), std::tuple("connect", connect_with_credentials, true)}) {
      text += std::string("[[listener]]\nprotocol = \"") + protocol + "\"\naddress = \"" +
              ToText(listen_address) + "\"\ncredentials = " + (requires_credentials ? "true\n" : "false\n");
    }
    std::ofstream(folder + "/edge.toml") << text + edge;
  }
  ~ProgramFixture() {
    for (const std::string& file :
         {std::string("config.json"), std::string("edge.toml"), std::string("answer"),
          "meadowyard-" + listen.address().to_string() + "-" + std::to_string(listen.port())}) {
      std::remove((folder + "/" + file).c_str());
    }
    rmdir(folder.c_str());
  }
  tcp::endpoint FreePort() { return Loopback(FreePortNumber()); }
  void ReplaceInEdgeFile(char placeholder, const std::string& replacement) const {
    std::stringstream text;
    text << std::ifstream(folder + "/edge.toml").rdbuf();
    std::string edge = text.str();
    edge.replace(edge.find(placeholder), 1, replacement);
    std::ofstream(folder + "/edge.toml") << edge;
  }
  // Starts a process of the program and waits until it is serving.
  std::unique_ptr<Process> Start() {
    admin = FreePort();
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
    Client admin_client(io, admin);
    admin_client.Send("GET /status HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_EQ(admin_client.Await().body(), "yes\n") << process->Errors();
    return process;
  }
  // The HTTP status of an operator's call to the process that was started last.
  unsigned CallAdmin(const std::string& call) {
    Client client(io, admin);
    client.Send(call + " HTTP/1.1\r\nHost: a\r\n\r\n");
    return client.Await().result_int();
  }
  // Returns the exit status of a shell command; the host and discovery peers are served while it runs.
  int RunCommand(const std::string& command) {
    auto run = std::async(std::launch::async, [&] { return std::system(command.c_str()); });
    EXPECT_TRUE(
        RunUntil(io, [&] { return run.wait_for(std::chrono::seconds(0)) == std::future_status::ready; }));
    return WEXITSTATUS(run.get());
  }

  asio::io_context io;
  Peer discovery{io}, host{io};
  std::string folder;
  tcp::endpoint admin;  // of the process that was started last
  tcp::endpoint listen, socks, socks_with_credentials, connect, connect_with_credentials;
};

const char* const kRoutes =
    "[[user]]\nname = \"scanner\"\npassword = \"secret\"\n[[pool]]\nname = \"fleet\"\ndiscovered = true\n"
    "[[route]]\nname = \"shop\"\nsuffix = \"shop.internal\"\npool = \"fleet\"\n"
    "[[route]]\nname = \"loop\"\nnetwork = \"127.9.0.0/16\"\npool = \"fleet\"\n[default]\ndeny = true\n";

// Guards the use of curl described in docs/tunnels.md: its three proxy options, with no, valid and wrong
// credentials, on listeners that require credentials and listeners that don't.
TEST(TunnelProgram, AcceptsCurlWithValidCredentialsOnly) {
  ProgramFixture fixture(kRoutes);
  const auto process = fixture.Start();
  const auto run = [&](const std::string& proxy_option, const tcp::endpoint& listen_address,
                       const std::string& credentials, const std::string& url) {
    const std::string proxy =
        proxy_option == "--proxytunnel --proxy" ? "http://" + ToText(listen_address) : ToText(listen_address);
    return fixture.RunCommand(
        "curl -sS --noproxy '' --max-time 20 -o " + fixture.folder + "/answer " + proxy_option + " " + proxy +
        (credentials.empty() ? "" : " --proxy-user " + credentials) + " " + url + " 2>/dev/null");
  };
  const auto answer = [&] {
    std::stringstream text;
    text << std::ifstream(fixture.folder + "/answer").rdbuf();
    std::remove((fixture.folder + "/answer").c_str());
    return text.str();
  };
  for (const std::string proxy_option : {"--socks5", "--socks5-hostname", "--proxytunnel --proxy"}) {
    const std::string url = proxy_option == "--socks5" ? "http://127.9.0.1/x" : "http://www.shop.internal/x";
    const bool is_socks = proxy_option.starts_with("--socks");
    for (const bool requires_credentials : {false, true}) {
      const tcp::endpoint listen_address =
          is_socks               ? requires_credentials ? fixture.socks_with_credentials : fixture.socks
          : requires_credentials ? fixture.connect_with_credentials
                                 : fixture.connect;
      for (const std::string credentials : {"", "scanner:secret", "scanner:wrong"}) {
        const bool allowed = !requires_credentials || credentials == "scanner:secret";
        EXPECT_EQ(run(proxy_option, listen_address, credentials, url) == 0, allowed)
            << proxy_option << " " << requires_credentials << " " << credentials << process->Errors();
        EXPECT_EQ(answer(), allowed ? "hello /x" : "")
            << proxy_option << " " << requires_credentials << " " << credentials;
      }
    }
    // The routes deny this destination.
    EXPECT_NE(run(proxy_option, is_socks ? fixture.socks : fixture.connect, "", "http://127.8.0.1/x"), 0);
  }
}

// Guards against a new process that opens tunnels to a host that an operator has taken out of one of the
// file's pools before the hot restart, and against a host that stays out after it was put back.
TEST(TunnelProgram, KeepsHostsOfPoolsInMaintenanceAcrossAHotRestart) {
  ProgramFixture fixture(
      "[[user]]\nname = \"u\"\npassword = \"p\"\n[[pool]]\nname = \"echo\"\n[[pool.host]]\nid = "
      "\"e\"\naddress = \"@\"\n[default]\npool = \"echo\"\n");
  RawServer echo(fixture.io, RawServer::Echo);
  fixture.ReplaceInEdgeFile('@', ToText(echo.address()));
  const auto open_tunnel = [&] {
    const auto client = RawConnect(fixture.io, fixture.connect);
    client->SendBytes(ConnectCall("x.y:443"));
    EXPECT_TRUE(RunUntil(fixture.io, [&] { return client->received_byte_count > 0; }));
    return client->received_bytes.substr(0, 12);
  };
  auto old_process = fixture.Start();
  EXPECT_EQ(open_tunnel(), "HTTP/1.1 200");
  ASSERT_EQ(fixture.CallAdmin("PUT /maintenance/enter?target=e"), 200u);
  EXPECT_EQ(open_tunnel(), "HTTP/1.1 503");
  const auto new_process = fixture.Start();
  old_process->Terminate();
  ASSERT_TRUE(RunUntil(fixture.io, [&] { return old_process->Ended(); }));
  EXPECT_EQ(open_tunnel(), "HTTP/1.1 503") << new_process->Errors();
  ASSERT_EQ(fixture.CallAdmin("PUT /maintenance/exit?target=e"), 200u);
  EXPECT_EQ(open_tunnel(), "HTTP/1.1 200") << new_process->Errors();
}

// Guards against data that is lost, repeated or changed in a tunnel that is handed over to a new process
// while data is in transit. At the end each client half-closes, and the end of its stream must come back from
// the host.
TEST(TunnelProgram, KeepsTunnelsAcrossAHotRestart) {
  ProgramFixture fixture(
      "[[user]]\nname = \"u\"\npassword = \"p\"\n[[pool]]\nname = \"echo\"\n[[pool.host]]\nid = "
      "\"e\"\naddress = \"@\"\n[default]\npool = \"echo\"\n");
  RawServer echo(fixture.io, RawServer::Echo);
  fixture.ReplaceInEdgeFile('@', ToText(echo.address()));
  auto old_process = fixture.Start();
  struct Stream {
    std::shared_ptr<RawEnd> end;
    std::mt19937_64 sent_pattern, expected_pattern;
    std::size_t checked = 0;
    bool mismatch = false;
  };
  constexpr std::size_t kTunnelCount = 60, kPieceBytes = 4096;
  std::vector<std::unique_ptr<Stream>> streams;
  bool sending = true;
  std::size_t opened = 0;
  const auto send_piece = [&](Stream& stream) {
    std::string piece(kPieceBytes, 0);
    for (char& c : piece) c = static_cast<char>(stream.sent_pattern());
    stream.end->SendBytes(std::move(piece));
  };
  for (std::size_t i = 0; i < kTunnelCount; ++i) {
    streams.push_back(std::make_unique<Stream>());
    Stream& stream = *streams.back();
    stream.sent_pattern.seed(i), stream.expected_pattern.seed(i);
    stream.end = RawConnect(fixture.io, fixture.socks);
    stream.end->stores_received_bytes = false;
    stream.end->on_bytes_received = [&, reply_bytes_left = kSocksReplyBytes](std::string_view bytes) mutable {
      for (const char c : bytes) {
        if (reply_bytes_left > 0) {
          opened += --reply_bytes_left == 0;
          continue;
        }
        stream.mismatch = stream.mismatch || c != static_cast<char>(stream.expected_pattern());
        if (++stream.checked % kPieceBytes == 0 && sending) send_piece(stream);
      }
    };
    stream.end->SendBytes(SocksCall("x.y"));
    send_piece(stream);
    send_piece(stream);
  }
  ASSERT_TRUE(RunUntil(fixture.io, [&] { return opened == kTunnelCount; })) << old_process->Errors();
  const auto min_checked_bytes = [&] {
    std::size_t minimum = streams[0]->checked;
    for (const auto& stream : streams) minimum = std::min(minimum, stream->checked);
    return minimum;
  };
  ASSERT_TRUE(RunUntil(fixture.io, [&] { return min_checked_bytes() >= 4 * kPieceBytes; }));
  const auto new_process = fixture.Start();
  old_process->Terminate();
  ASSERT_TRUE(RunUntil(fixture.io, [&] { return old_process->Ended(); }));
  EXPECT_EQ(old_process->Wait(), 0);
  const std::size_t checked_at_restart = min_checked_bytes();
  ASSERT_TRUE(RunUntil(fixture.io, [&] {
    return min_checked_bytes() >= checked_at_restart + 20 * kPieceBytes;
  })) << new_process->Errors();
  sending = false;
  for (const auto& stream : streams) stream->end->HalfClose();
  ASSERT_TRUE(RunUntil(fixture.io, [&] {
    return std::all_of(streams.begin(), streams.end(),
                       [](const auto& stream) { return stream->end->is_read_closed(); });
  }));
  for (const auto& stream : streams) {
    EXPECT_FALSE(stream->mismatch);
    EXPECT_TRUE(stream->end->ended);
    EXPECT_EQ(stream->checked + SocksCall("x.y").size(), stream->end->sent_byte_count);
  }
}

}  // namespace
}  // namespace meadowyard::testing
