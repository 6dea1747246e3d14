// Ends a request at each stage, by each cause and in each class, over real sockets: the client disconnects,
// the deadline passes, or the host drains or is removed. The request must end once and be counted once,
// nothing may be sent for it afterwards, and all descriptors and counts must be released.
#include <gtest/gtest.h>

#include <filesystem>

#include "raw_peers.hpp"
#include "world.hpp"

namespace meadowyard::testing {
namespace {

enum class Stage {
  kReceivingHead,
  kReceivingBody,
  kQueued,
  kConnecting,
  kSendingBody,
  kAwaitingAnswer,
  kStreamingAnswer
};
enum class Cause { kClientCloses, kClientResets, kDeadline, kHostDrains, kHostRemoved };
constexpr const char* kStageNames[] = {"ReceivingHead", "ReceivingBody",  "Queued",         "Connecting",
                                       "SendingBody",   "AwaitingAnswer", "StreamingAnswer"};
constexpr const char* kCauseNames[] = {"ClientCloses", "ClientResets", "Deadline", "HostDrains",
                                       "HostRemoved"};

std::size_t CountOpenDescriptors() {
  std::size_t count = 0;
  for ([[maybe_unused]] const auto& entry : std::filesystem::directory_iterator("/proc/self/fd")) ++count;
  return count;
}

// A host to which no connection can be established, because its accept queue is full.
struct FullListener {
  explicit FullListener(asio::io_context& io) : acceptor(io) {
    acceptor.open(tcp::v4());
    acceptor.bind(Loopback());
    acceptor.listen(0);
    const tcp::endpoint at = acceptor.local_endpoint();
    for (int i = 0; i < 4; ++i) {
      queue_fillers.emplace_back(io, tcp::v4());
      queue_fillers.back().non_blocking(true);
      ::connect(queue_fillers.back().native_handle(), at.data(), static_cast<socklen_t>(at.size()));
    }
  }
  tcp::acceptor acceptor;
  std::vector<tcp::socket> queue_fillers;
};

struct RequestEnd : ::testing::TestWithParam<std::tuple<Stage, Cause, const char*>> {
  static nlohmann::json Settings() {
    auto settings = TestSettings();
    settings["limits"]["dialTimeoutMs"] = 300.0;
    settings["limits"]["maxAttempts"] = 2;
    return settings;
  }
  static void UpdateHost(World& world, int revision, const std::string& phase, const tcp::endpoint& at) {
    world.SetDiscoveredHosts(revision, {Member("h0", at, phase)});
  }
};

TEST_P(RequestEnd, IsCountedOnceAndReleasesEverything) {
  const auto& [stage, cause, class_name] = GetParam();
  const bool is_safe = std::string(class_name) == "view";
  World world(1, Settings(), 300, true);
  FullListener full_listener(world.io);
  const tcp::endpoint host =
      stage == Stage::kConnecting ? full_listener.acceptor.local_endpoint() : world.host().address();
  if (stage == Stage::kConnecting) UpdateHost(world, 50, "up", host);
  if (stage == Stage::kQueued) UpdateHost(world, 50, "draining", host);
  ASSERT_TRUE(world.Until([&] {
    return world.discovery.requests.size() >=
           (stage == Stage::kConnecting || stage == Stage::kQueued ? 2u : 1u);
  }));
  const std::size_t descriptors_before = CountOpenDescriptors();

  const std::string deadline = cause == Cause::kDeadline ? "250m" : "3000m";
  const std::string key = std::string(class_name) == "key" ? "Idempotency-Key: k\r\n" : "";
  std::string text = ApiCall("r1", class_name, deadline, "", key);
  const auto client = RawConnect(world.io, world.gateway->address());
  const bool has_incomplete_body = stage == Stage::kSendingBody || stage == Stage::kReceivingBody;
  if (has_incomplete_body) {
    const std::size_t length = stage == Stage::kReceivingBody ? 30000 : 1000000;
    const auto at = text.find("Content-Length: 0");
    if (at != std::string::npos) {
      text.replace(at, 17, "Content-Length: " + std::to_string(length));
    } else {
      text.insert(text.size() - 2, "Content-Length: " + std::to_string(length) + "\r\n");
    }
    text += std::string(stage == Stage::kReceivingBody ? 20000 : 200000, 'x');
  }
  client->SendBytes(stage == Stage::kReceivingHead ? text.substr(0, 40) : text);
  const auto is_host_connected = [&] { return !world.host().connections.empty(); };
  const auto is_request_received = [&] { return !world.host().requests.empty(); };
  switch (stage) {
    case Stage::kReceivingHead:
    case Stage::kReceivingBody: ASSERT_TRUE(world.Until([&] { return client->sent_byte_count > 0; })); break;
    case Stage::kQueued:
    case Stage::kConnecting:
      ASSERT_TRUE(world.Until(
          [&] { return world.ReadMetrics()["current"] == 1 || client->received_byte_count > 0; }));
      break;
    case Stage::kSendingBody: ASSERT_TRUE(world.Until(is_host_connected)); break;
    case Stage::kAwaitingAnswer: ASSERT_TRUE(world.Until(is_request_received)); break;
    case Stage::kStreamingAnswer:
      ASSERT_TRUE(world.Until(is_request_received));
      world.host().requests[0].source_connection->WriteRaw(
          "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + std::string(300000, 'y'));
      ASSERT_TRUE(world.Until([&] { return client->received_byte_count > 100000; }));
      break;
  }

  switch (cause) {
    case Cause::kClientCloses: {
      error_code ignored;
      client->socket.close(ignored);
      break;
    }
    case Cause::kClientResets: client->Reset(); break;
    case Cause::kDeadline: break;
    case Cause::kHostDrains: UpdateHost(world, 60, "draining", host); break;
    case Cause::kHostRemoved:
      UpdateHost(world, 60, "removed", host);
      if (stage == Stage::kAwaitingAnswer || stage == Stage::kStreamingAnswer ||
          stage == Stage::kSendingBody) {
        for (const auto& connection : world.host().connections) connection->Reset();
      }
      break;
  }
  const bool client_left = cause == Cause::kClientCloses || cause == Cause::kClientResets;
  // A drain lets a request in progress finish: its host answers, or the client disconnects.
  if (cause == Cause::kHostDrains && stage == Stage::kAwaitingAnswer)
    world.host().requests[0].Answer(200, "done");
  const bool needs_client_reset = !client_left && (stage == Stage::kReceivingHead || has_incomplete_body ||
                                                   stage == Stage::kStreamingAnswer);
  if (needs_client_reset) {  // ended only by their client or by an idle timeout
    world.io.run_for(std::chrono::milliseconds(cause == Cause::kDeadline ? 300 : 20));
    client->Reset();
  } else if (!client_left) {
    ASSERT_TRUE(world.Until([&] { return client->received_byte_count > 0 || client->is_read_closed(); }));
    EXPECT_EQ(client->received_bytes.find("HTTP/1.1 "), 0u);
    EXPECT_EQ(client->received_bytes.find("HTTP/1.1 ", 9), std::string::npos) << "answered twice";
    if (cause == Cause::kHostDrains && stage == Stage::kAwaitingAnswer) {
      EXPECT_EQ(client->received_bytes.substr(9, 3), "200");
    }
    client->Reset();
  }
  const std::size_t requests_sent = world.host().requests.size();
  ASSERT_TRUE(world.Until([&] { return world.ReadMetrics()["current"] == 0; }));
  const auto class_counts = world.ReadMetrics()["transactions"][class_name];
  EXPECT_LE(class_counts["answered"].get<int>() + class_counts["deferred"].get<int>() +
                class_counts["errored"].get<int>(),
            1);
  EXPECT_LE(requests_sent, is_safe || stage == Stage::kConnecting ? 2u : 1u);
  for (const auto& connection : world.host().connections) connection->Close();
  world.host().connections.clear();
  EXPECT_TRUE(world.Until([&] { return CountOpenDescriptors() <= descriptors_before; }))
      << CountOpenDescriptors() << " of " << descriptors_before;
  EXPECT_EQ(world.host().requests.size(), requests_sent) << "a request was sent after the end";
  // The gateway serves further requests once a host is available.
  world.host().requests.clear();
  UpdateHost(world, 70, "up", world.host().address());
  Client next_client(world.io, world.gateway->address());
  bool served = false;
  world.host().serve = [&](const Peer::ReceivedRequest& received) { received.Answer(200, "well"); };
  for (int i = 0; i < 50 && !served; ++i) {
    next_client.Send(ApiCall("n" + std::to_string(i), "view", "400m"));
    served = next_client.Await(static_cast<std::size_t>(i) + 1).result_int() == 200;
    world.io.run_for(std::chrono::milliseconds(5));
  }
  EXPECT_TRUE(served);
}

INSTANTIATE_TEST_SUITE_P(
    AtStage, RequestEnd,
    ::testing::Combine(::testing::Values(Stage::kReceivingHead, Stage::kReceivingBody, Stage::kQueued,
                                         Stage::kConnecting, Stage::kSendingBody, Stage::kAwaitingAnswer,
                                         Stage::kStreamingAnswer),
                       ::testing::Values(Cause::kClientCloses, Cause::kClientResets, Cause::kDeadline,
                                         Cause::kHostDrains, Cause::kHostRemoved),
                       ::testing::Values("view", "key", "pay")),
    [](const auto& info) {
      return std::string(kStageNames[static_cast<int>(std::get<0>(info.param))]) +
             kCauseNames[static_cast<int>(std::get<1>(info.param))] + "_" + std::get<2>(info.param);
    });

}  // namespace
}  // namespace meadowyard::testing
