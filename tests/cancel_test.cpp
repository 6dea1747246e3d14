// A request cancelled, timed out or left by its host at each stage, by each cause, in each class, through
// sockets: one end, counted once; nothing goes out later; descriptors and counts are back to what they were.
#include <gtest/gtest.h>

#include <filesystem>

#include "raw_peers.hpp"
#include "world.hpp"

namespace meadowyard::testing {
namespace {

enum class Stage { kHead, kBody, kQueued, kDialling, kUploading, kInFlight, kPassedOn };
enum class Cause { kClientCloses, kClientResets, kTime, kDrains, kGone };
constexpr const char* kStages[] = {"Head", "Body", "Queued", "Dialling", "Uploading", "InFlight", "PassedOn"};
constexpr const char* kCauses[] = {"ClientCloses", "ClientResets", "Time", "Drains", "Gone"};

std::size_t Descriptors() {
  std::size_t n = 0;
  for ([[maybe_unused]] const auto& entry : std::filesystem::directory_iterator("/proc/self/fd")) ++n;
  return n;
}

// A host that answers nobody's dial: its queue is full.
struct SilentListener {
  explicit SilentListener(asio::io_context& io) : acceptor(io) {
    acceptor.open(tcp::v4());
    acceptor.bind(Loopback());
    acceptor.listen(0);
    const tcp::endpoint at = acceptor.local_endpoint();
    for (int i = 0; i < 4; ++i) {
      fill.emplace_back(io, tcp::v4());
      fill.back().non_blocking(true);
      ::connect(fill.back().native_handle(), at.data(), static_cast<socklen_t>(at.size()));
    }
  }
  tcp::acceptor acceptor;
  std::vector<tcp::socket> fill;
};

struct Cancelled : ::testing::TestWithParam<std::tuple<Stage, Cause, const char*>> {
  static nlohmann::json Settings() {
    auto settings = TestSettings();
    settings["limits"]["dialTimeoutMs"] = 300.0;
    settings["limits"]["maxAttempts"] = 2;
    return settings;
  }
  static void News(World& world, int revision, const std::string& phase, const tcp::endpoint& at) {
    world.Tell(revision, {Member("h0", at, phase)});
  }
};

TEST_P(Cancelled, EndsOnceAndLeavesNothing) {
  const auto& [stage, cause, cls] = GetParam();
  const bool safe = std::string(cls) == "view";
  World world(1, Settings(), 300, true);
  SilentListener silent(world.io);
  const tcp::endpoint host =
      stage == Stage::kDialling ? silent.acceptor.local_endpoint() : world.host().address();
  if (stage == Stage::kDialling) News(world, 50, "up", host);
  if (stage == Stage::kQueued) News(world, 50, "draining", host);
  ASSERT_TRUE(world.Until([&] {
    return world.discovery.requests.size() >=
           (stage == Stage::kDialling || stage == Stage::kQueued ? 2u : 1u);
  }));
  const std::size_t before = Descriptors();

  const std::string deadline = cause == Cause::kTime ? "250m" : "3000m";
  const std::string key = std::string(cls) == "key" ? "Idempotency-Key: k\r\n" : "";
  std::string text = ApiCall("r1", cls, deadline, "", key);
  const auto client = RawConnect(world.io, world.gateway->address());
  const bool uploads = stage == Stage::kUploading || stage == Stage::kBody;
  if (uploads) {
    const std::size_t length = stage == Stage::kBody ? 30000 : 1000000;
    const auto at = text.find("Content-Length: 0");
    if (at != std::string::npos) {
      text.replace(at, 17, "Content-Length: " + std::to_string(length));
    } else {
      text.insert(text.size() - 2, "Content-Length: " + std::to_string(length) + "\r\n");
    }
    text += std::string(stage == Stage::kBody ? 20000 : 200000, 'x');
  }
  client->Say(stage == Stage::kHead ? text.substr(0, 40) : text);
  const auto dialled = [&] { return !world.host().connections.empty(); };
  const auto taken = [&] { return !world.host().requests.empty(); };
  switch (stage) {
    case Stage::kHead:
    case Stage::kBody: ASSERT_TRUE(world.Until([&] { return client->said > 0; })); break;
    case Stage::kQueued:
    case Stage::kDialling:
      ASSERT_TRUE(world.Until([&] { return world.Figures()["current"] == 1 || client->all > 0; }));
      break;
    case Stage::kUploading: ASSERT_TRUE(world.Until(dialled)); break;
    case Stage::kInFlight: ASSERT_TRUE(world.Until(taken)); break;
    case Stage::kPassedOn:
      ASSERT_TRUE(world.Until(taken));
      world.host().requests[0].on->Raw("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" +
                                       std::string(300000, 'y'));
      ASSERT_TRUE(world.Until([&] { return client->all > 100000; }));
      break;
  }

  switch (cause) {
    case Cause::kClientCloses: {
      error_code ignored;
      client->socket.close(ignored);
      break;
    }
    case Cause::kClientResets: client->Reset(); break;
    case Cause::kTime: break;
    case Cause::kDrains: News(world, 60, "draining", host); break;
    case Cause::kGone:
      News(world, 60, "removed", host);
      if (stage == Stage::kInFlight || stage == Stage::kPassedOn || stage == Stage::kUploading) {
        for (const auto& connection : world.host().connections) connection->Reset();
      }
      break;
  }
  const bool client_left = cause == Cause::kClientCloses || cause == Cause::kClientResets;
  // What a drain leaves to finish is finished by its host, or by the client's going.
  if (cause == Cause::kDrains && stage == Stage::kInFlight) world.host().requests[0].Answer(200, "done");
  const bool stays = !client_left && (stage == Stage::kHead || uploads || stage == Stage::kPassedOn);
  if (stays) {  // nothing ends these but their own client, or a pause that the limits set
    world.io.run_for(std::chrono::milliseconds(cause == Cause::kTime ? 300 : 20));
    client->Reset();
  } else if (!client_left) {
    ASSERT_TRUE(world.Until([&] { return client->all > 0 || client->over(); }));
    EXPECT_EQ(client->got.find("HTTP/1.1 "), 0u);
    EXPECT_EQ(client->got.find("HTTP/1.1 ", 9), std::string::npos) << "answered twice";
    if (cause == Cause::kDrains && stage == Stage::kInFlight) {
      EXPECT_EQ(client->got.substr(9, 3), "200");
    }
    client->Reset();
  }
  const std::size_t sent = world.host().requests.size();
  ASSERT_TRUE(world.Until([&] { return world.Figures()["current"] == 0; }));
  const auto of = world.Figures()["transactions"][cls];
  EXPECT_LE(of["answered"].get<int>() + of["deferred"].get<int>() + of["errored"].get<int>(), 1);
  EXPECT_LE(sent, safe || stage == Stage::kDialling ? 2u : 1u);
  for (const auto& connection : world.host().connections) connection->Close();
  world.host().connections.clear();
  EXPECT_TRUE(world.Until([&] { return Descriptors() <= before; })) << Descriptors() << " of " << before;
  EXPECT_EQ(world.host().requests.size(), sent) << "sent later";
  // And it serves on, once there is a host.
  world.host().requests.clear();
  News(world, 70, "up", world.host().address());
  Client next(world.io, world.gateway->address());
  bool served = false;
  world.host().serve = [&](const Peer::Taken& t) { t.Answer(200, "well"); };
  for (int i = 0; i < 50 && !served; ++i) {
    next.Send(ApiCall("n" + std::to_string(i), "view", "400m"));
    served = next.Await(static_cast<std::size_t>(i) + 1).result_int() == 200;
    world.io.run_for(std::chrono::milliseconds(5));
  }
  EXPECT_TRUE(served);
}

INSTANTIATE_TEST_SUITE_P(At, Cancelled,
                         ::testing::Combine(::testing::Values(Stage::kHead, Stage::kBody, Stage::kQueued,
                                                              Stage::kDialling, Stage::kUploading,
                                                              Stage::kInFlight, Stage::kPassedOn),
                                            ::testing::Values(Cause::kClientCloses, Cause::kClientResets,
                                                              Cause::kTime, Cause::kDrains, Cause::kGone),
                                            ::testing::Values("view", "key", "pay")),
                         [](const auto& info) {
                           return std::string(kStages[static_cast<int>(std::get<0>(info.param))]) +
                                  kCauses[static_cast<int>(std::get<1>(info.param))] + "_" +
                                  std::get<2>(info.param);
                         });

}  // namespace
}  // namespace meadowyard::testing
