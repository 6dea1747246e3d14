// A client that leaves while its request waits: whatever it sent before it went, no attempt begins for it
// more than 0.1 s later. Also where the settings let nothing be cancelled.
#include <gtest/gtest.h>

#include <filesystem>

#include "raw_peers.hpp"
#include "world.hpp"

namespace meadowyard::testing {
namespace {

enum class Stage { kQueued, kUploadHeldBack, kDialling, kBetweenAttempts };
enum class How { kCloses, kResets, kHalfCloses };
enum class Before { kNothing, kSomeBytes, kARequest, kMuch };
constexpr const char* kStages[] = {"Queued", "UploadHeldBack", "Dialling", "BetweenAttempts"};
constexpr const char* kHows[] = {"Closes", "Resets", "HalfCloses"};
constexpr const char* kBefores[] = {"", "AfterSomeBytes", "AfterARequest", "AfterMuch"};
constexpr Millis kNoticed = 100;

std::size_t Descriptors() {
  std::size_t n = 0;
  for ([[maybe_unused]] const auto& entry : std::filesystem::directory_iterator("/proc/self/fd")) ++n;
  return n;
}

std::string More(Before before) {
  switch (before) {
    case Before::kNothing: return "";
    case Before::kSomeBytes: return "GET /api HT";
    case Before::kARequest: return ApiCall("second");
    case Before::kMuch: break;
  }
  std::string much;
  for (int i = 0; much.size() < 20000; ++i) much += ApiCall("more" + std::to_string(i));
  return much;
}

struct Leaves : ::testing::TestWithParam<std::tuple<Stage, How, Before>> {
  static nlohmann::json Settings() {
    auto settings = TestSettings();
    settings["limits"]["cancelling"] = false;
    settings["limits"]["dialTimeoutMs"] = 20000.0;
    return settings;
  }
};

TEST_P(Leaves, AndNothingIsSentForIt) {
  const auto& [stage, how, more] = GetParam();
  World world(2, Settings(), 300, true);
  for (auto& host : world.hosts) host->serve = [](const Peer::Taken& taken) { taken.Answer(200, ""); };
  // A host whose queue is full for now: a dial to it hangs.
  tcp::acceptor crowded(world.io, tcp::v4());
  crowded.bind(Loopback());
  crowded.listen(0);
  crowded.non_blocking(true);
  tcp::socket fill(world.io);
  fill.connect(crowded.local_endpoint());
  const auto first = stage == Stage::kDialling ? crowded.local_endpoint() : world.host(0).address();
  const bool up = stage == Stage::kDialling || stage == Stage::kBetweenAttempts;
  world.Tell(50, {Member("h0", first, up ? "up" : "draining")}, true);
  ASSERT_TRUE(world.Until([&] { return world.discovery.requests.size() >= 2; }));
  if (stage == Stage::kBetweenAttempts) {
    world.host(0).serve = [](const Peer::Taken& taken) { taken.on->Reset(); };
  }
  const std::size_t before = Descriptors();

  const auto client = RawConnect(world.io, world.gateway->address());
  std::string text = ApiCall("left", "view", "9000m");
  if (stage == Stage::kUploadHeldBack) {
    text.insert(text.size() - 2, "Content-Length: 1000000\r\n");
    text += std::string(80000, 'x');
  }
  client->Say(text);
  ASSERT_TRUE(world.Until([&] {
    const bool tried = stage != Stage::kBetweenAttempts || !world.host(0).requests.empty();
    return client->said == text.size() && tried && world.Figures()["current"] >= (up ? 1 : 0);
  }));
  client->Say(More(more));
  ASSERT_TRUE(world.Until([&] { return client->said == text.size() + More(more).size(); }));
  while (world.io.poll() > 0) {  // the gateway has seen all of that before the end comes
  }
  ASSERT_EQ(client->all, 0u) << "it has its answer already: " << client->got;
  switch (how) {
    case How::kCloses: client->socket.close(); break;
    case How::kResets: client->Reset(); break;
    case How::kHalfCloses: client->HalfClose(); break;
  }
  world.io.run_for(std::chrono::microseconds(static_cast<int>(kNoticed * 1000)));
  error_code ignored;
  client->socket.close(ignored);

  // Now there is somewhere to go: for the client that left, and for another one.
  const std::size_t sent = world.host(0).requests.size();
  if (stage == Stage::kDialling) {
    std::string bytes;
    std::vector<tcp::socket> accepted;
    ASSERT_TRUE(world.Until([&] {
      error_code ec;
      tcp::socket socket = crowded.accept(ec);
      if (!ec) accepted.push_back(std::move(socket));
      for (tcp::socket& s : accepted) {
        char piece[4096];
        s.non_blocking(true);
        if (const std::size_t n = s.read_some(asio::buffer(piece), ec); !ec) bytes.append(piece, n);
      }
      return !bytes.empty() || Descriptors() <= before + accepted.size();
    }));
    EXPECT_EQ(bytes, "");
  }
  world.Tell(51, {Member("h0", world.host(0).address(), "draining"), Member("h1", world.host(1).address())},
             true);
  Client other(world.io, world.gateway->address());
  bool served = false;
  for (std::size_t i = 1; i <= 200 && !served; ++i) {
    other.Send(ApiCall("other" + std::to_string(i), "view", "400m"));
    served = other.Await(i).result_int() == 200;
  }
  EXPECT_TRUE(served);
  EXPECT_EQ(world.host(0).requests.size(), sent);
  for (const Peer::Taken& taken : world.host(1).requests) {
    EXPECT_TRUE(taken.http["Req-Id"].starts_with("other")) << taken.http["Req-Id"];
  }
  EXPECT_LE(world.host(1).connections.size(), world.host(1).requests.size()) << "half a request came";
  EXPECT_EQ(world.Figures()["current"], 0);
}

INSTANTIATE_TEST_SUITE_P(While, Leaves,
                         ::testing::Combine(::testing::Values(Stage::kQueued, Stage::kUploadHeldBack,
                                                              Stage::kDialling, Stage::kBetweenAttempts),
                                            ::testing::Values(How::kCloses, How::kResets, How::kHalfCloses),
                                            ::testing::Values(Before::kNothing, Before::kSomeBytes,
                                                              Before::kARequest, Before::kMuch)),
                         [](const auto& info) {
                           return std::string(kStages[static_cast<int>(std::get<0>(info.param))]) +
                                  kHows[static_cast<int>(std::get<1>(info.param))] +
                                  kBefores[static_cast<int>(std::get<2>(info.param))];
                         });

// The end of the client is there before the gateway looks: with its request, in the same turn of the loop as
// the failed attempt before, or as the dial that comes up. Nothing runs in between.
enum class Unseen { kInTheQueue, kOnAKeptConnection, kBesideAFailedAttempt, kBesideADial };
constexpr const char* kUnseens[] = {"InTheQueue", "OnAKeptConnection", "BesideAFailedAttempt", "BesideADial"};

void Leave(tcp::socket& socket, How how) {
  error_code ignored;
  if (how == How::kHalfCloses) return static_cast<void>(socket.shutdown(tcp::socket::shutdown_send, ignored));
  if (how == How::kResets) socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

struct LeavesUnseen : ::testing::TestWithParam<std::tuple<Unseen, How, Before>> {};

TEST_P(LeavesUnseen, AndNothingIsSentForIt) {
  const auto& [unseen, how, more] = GetParam();
  World world(2, Leaves::Settings());
  for (auto& host : world.hosts) {
    host->serve = [](const Peer::Taken& taken) {
      if (taken.http["Req-Id"] != "held") taken.Answer(200, "");
    };
  }
  const auto sent = [&] { return world.host(0).requests.size() + world.host(1).requests.size(); };
  // A host whose queue is full until room is made there.
  tcp::acceptor crowded(world.io, tcp::v4());
  crowded.bind(Loopback());
  crowded.listen(0);
  tcp::socket fill(world.io);
  fill.connect(crowded.local_endpoint());
  if (unseen == Unseen::kBesideADial) {
    world.Tell(50, {Member("h0", crowded.local_endpoint())}, true);
    ASSERT_TRUE(world.Until([&] { return world.discovery.requests.size() >= 2; }));
  }

  // Connections to hosts that rest: a request goes out on one of them in the turn that takes it.
  for (int i = 0; i < 20 && unseen != Unseen::kBesideADial; ++i) {
    if (!world.host(0).connections.empty() && !world.host(1).connections.empty()) break;
    Client one(world.io, world.gateway->address()), two(world.io, world.gateway->address());
    one.Send(ApiCall("warm1-" + std::to_string(i)));
    two.Send(ApiCall("warm2-" + std::to_string(i)));
    ASSERT_EQ(one.Await().result_int() + two.Await().result_int(), 400u);
  }
  world.LetHostsRest();
  for (auto& host : world.hosts) host->requests.clear();

  tcp::socket client(world.io);
  client.connect(world.gateway->address());
  const auto say = [&](const std::string& text) { asio::write(client, asio::buffer(text)); };
  error_code ec;
  int before = 0;
  if (unseen == Unseen::kOnAKeptConnection) {
    say(ApiCall("first"));
    ASSERT_TRUE(world.Until([&] { return client.available(ec) > 0; }));
    world.LetHostsRest();
    before = 1;
  } else if (unseen == Unseen::kBesideAFailedAttempt) {
    say(ApiCall("held"));
    ASSERT_TRUE(world.Until([&] { return sent() == 1; }));
    before = 1;
    Peer& host = world.host(world.host(0).requests.empty() ? 1 : 0);
    host.requests[0].on->Reset();
  } else if (unseen == Unseen::kBesideADial) {
    say(ApiCall("left"));
    Client beside(world.io, world.gateway->address());  // answered when the one above has been taken
    beside.Send("GET /up HTTP/1.1\r\nHost: x\r\n\r\n");
    ASSERT_EQ(beside.Await().result_int(), 200u);
    crowded.accept();  // the filling one: there is room now, and the gateway's dial comes up
  }
  tcp::socket dialled(world.io);
  if (unseen == Unseen::kBesideADial) {
    dialled = crowded.accept();
  } else if (unseen != Unseen::kBesideAFailedAttempt) {
    say(ApiCall("left"));
  }
  if (more != Before::kNothing) say(More(more));
  Leave(client, how);

  // Whoever comes behind it is served when all of that has been seen.
  world.Tell(51, {Member("h0", world.host(0).address()), Member("h1", world.host(1).address())}, true);
  Client other(world.io, world.gateway->address());
  bool served = false;
  for (std::size_t i = 1; i <= 200 && !served; ++i) {
    other.Send(ApiCall("other" + std::to_string(i), "view", "400m"));
    served = other.Await(i).result_int() == 200;
  }
  EXPECT_TRUE(served);
  if (unseen == Unseen::kBesideADial) {
    dialled.non_blocking(true);
    char byte = 0;
    EXPECT_EQ(dialled.read_some(asio::buffer(&byte, 1), ec), 0u) << "something was written for it";
  }
  for (const auto& host : world.hosts) {
    for (const Peer::Taken& taken : host->requests) {
      const std::string id(taken.http["Req-Id"]);
      EXPECT_TRUE(id.starts_with("other") || (before > 0 && (id == "first" || id == "held"))) << id;
      before -= id == "first" || id == "held";
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Just, LeavesUnseen,
                         ::testing::Combine(::testing::Values(Unseen::kInTheQueue, Unseen::kOnAKeptConnection,
                                                              Unseen::kBesideAFailedAttempt,
                                                              Unseen::kBesideADial),
                                            ::testing::Values(How::kCloses, How::kResets, How::kHalfCloses),
                                            ::testing::Values(Before::kNothing, Before::kARequest)),
                         [](const auto& info) {
                           return std::string(kUnseens[static_cast<int>(std::get<0>(info.param))]) +
                                  kHows[static_cast<int>(std::get<1>(info.param))] +
                                  kBefores[static_cast<int>(std::get<2>(info.param))];
                         });

}  // namespace
}  // namespace meadowyard::testing
