// A client disconnects while its request is unanswered. Whatever data it sent before, no attempt may begin
// for it more than 0.1 s later, even with cancelling switched off in the settings.
#include <gtest/gtest.h>

#include <filesystem>

#include "raw_peers.hpp"
#include "world.hpp"

namespace meadowyard::testing {
namespace {

enum class Stage { kQueued, kUploadHeldBack, kConnecting, kBetweenAttempts };
enum class Disconnect { kClose, kReset, kHalfClose };
enum class ExtraData { kNone, kPartialRequest, kPipelinedRequest, kManyPipelinedRequests };
constexpr const char* kStageNames[] = {"Queued", "UploadHeldBack", "Connecting", "BetweenAttempts"};
constexpr const char* kDisconnectNames[] = {"Closes", "Resets", "HalfCloses"};
constexpr const char* kExtraDataNames[] = {"", "AfterPartialRequest", "AfterPipelinedRequest",
                                           "AfterManyPipelinedRequests"};
constexpr Millis kMaxDetectionTime = 100;

std::size_t CountOpenDescriptors() {
  std::size_t count = 0;
  for ([[maybe_unused]] const auto& entry : std::filesystem::directory_iterator("/proc/self/fd")) ++count;
  return count;
}

std::string TextOf(ExtraData sent_data) {
  switch (sent_data) {
    case ExtraData::kNone: return "";
    case ExtraData::kPartialRequest: return "GET /api HT";
    case ExtraData::kPipelinedRequest: return ApiCall("second");
    case ExtraData::kManyPipelinedRequests: break;
  }
  std::string request_texts;
  for (int i = 0; request_texts.size() < 20000; ++i) request_texts += ApiCall("more" + std::to_string(i));
  return request_texts;
}

struct ClientDisconnect : ::testing::TestWithParam<std::tuple<Stage, Disconnect, ExtraData>> {
  static nlohmann::json Settings() {
    auto settings = TestSettings();
    settings["limits"]["cancelling"] = false;
    settings["limits"]["dialTimeoutMs"] = 20000.0;
    return settings;
  }
};

TEST_P(ClientDisconnect, NoAttemptIsSentAfterwards) {
  const auto& [stage, disconnect, extra_data] = GetParam();
  World world(2, Settings(), 300, true);
  for (auto& host : world.hosts)
    host->serve = [](const Peer::ReceivedRequest& taken) { taken.Answer(200, ""); };
  // A host whose accept queue is full: connecting to it hangs.
  tcp::acceptor full_listener(world.io, tcp::v4());
  full_listener.bind(Loopback());
  full_listener.listen(0);
  full_listener.non_blocking(true);
  tcp::socket queue_filler(world.io);
  queue_filler.connect(full_listener.local_endpoint());
  const auto initial_address =
      stage == Stage::kConnecting ? full_listener.local_endpoint() : world.host(0).address();
  const bool is_available = stage == Stage::kConnecting || stage == Stage::kBetweenAttempts;
  world.SetDiscoveredHosts(50, {Member("h0", initial_address, is_available ? "up" : "draining")}, true);
  ASSERT_TRUE(world.Until([&] { return world.discovery.requests.size() >= 2; }));
  if (stage == Stage::kBetweenAttempts) {
    world.host(0).serve = [](const Peer::ReceivedRequest& taken) { taken.source_connection->Reset(); };
  }
  const std::size_t descriptors_before = CountOpenDescriptors();

  const auto client = RawConnect(world.io, world.gateway->address());
  std::string text = ApiCall("left", "view", "9000m");
  if (stage == Stage::kUploadHeldBack) {
    text.insert(text.size() - 2, "Content-Length: 1000000\r\n");
    text += std::string(80000, 'x');
  }
  client->SendBytes(text);
  ASSERT_TRUE(world.Until([&] {
    const bool attempt_sent = stage != Stage::kBetweenAttempts || !world.host(0).requests.empty();
    return client->sent_byte_count == text.size() && attempt_sent &&
           world.ReadMetrics()["current"] >= (is_available ? 1 : 0);
  }));
  client->SendBytes(TextOf(extra_data));
  ASSERT_TRUE(
      world.Until([&] { return client->sent_byte_count == text.size() + TextOf(extra_data).size(); }));
  while (world.io.poll() > 0) {  // the gateway processes all of this data before the disconnect
  }
  ASSERT_EQ(client->received_byte_count, 0u) << "answered before the disconnect: " << client->received_bytes;
  switch (disconnect) {
    case Disconnect::kClose: client->socket.close(); break;
    case Disconnect::kReset: client->Reset(); break;
    case Disconnect::kHalfClose: client->HalfClose(); break;
  }
  world.io.run_for(std::chrono::microseconds(static_cast<int>(kMaxDetectionTime * 1000)));
  error_code ignored;
  client->socket.close(ignored);

  // Makes a host available, to which a request of the disconnected client could be sent as well as a later
  // one.
  const std::size_t requests_sent = world.host(0).requests.size();
  if (stage == Stage::kConnecting) {
    std::string bytes;
    std::vector<tcp::socket> accepted;
    ASSERT_TRUE(world.Until([&] {
      error_code ec;
      tcp::socket socket = full_listener.accept(ec);
      if (!ec) accepted.push_back(std::move(socket));
      for (tcp::socket& connection : accepted) {
        char piece[4096];
        connection.non_blocking(true);
        if (const std::size_t count = connection.read_some(asio::buffer(piece), ec); !ec)
          bytes.append(piece, count);
      }
      return !bytes.empty() || CountOpenDescriptors() <= descriptors_before + accepted.size();
    }));
    EXPECT_EQ(bytes, "");
  }
  world.SetDiscoveredHosts(
      51, {Member("h0", world.host(0).address(), "draining"), Member("h1", world.host(1).address())}, true);
  Client other_client(world.io, world.gateway->address());
  bool served = false;
  for (std::size_t i = 1; i <= 200 && !served; ++i) {
    other_client.Send(ApiCall("other" + std::to_string(i), "view", "400m"));
    served = other_client.Await(i).result_int() == 200;
  }
  EXPECT_TRUE(served);
  EXPECT_EQ(world.host(0).requests.size(), requests_sent);
  for (const Peer::ReceivedRequest& taken : world.host(1).requests) {
    EXPECT_TRUE(taken.http["Req-Id"].starts_with("other")) << taken.http["Req-Id"];
  }
  EXPECT_LE(world.host(1).connections.size(), world.host(1).requests.size())
      << "received an incomplete request";
  EXPECT_EQ(world.ReadMetrics()["current"], 0);
}

INSTANTIATE_TEST_SUITE_P(
    During, ClientDisconnect,
    ::testing::Combine(::testing::Values(Stage::kQueued, Stage::kUploadHeldBack, Stage::kConnecting,
                                         Stage::kBetweenAttempts),
                       ::testing::Values(Disconnect::kClose, Disconnect::kReset, Disconnect::kHalfClose),
                       ::testing::Values(ExtraData::kNone, ExtraData::kPartialRequest,
                                         ExtraData::kPipelinedRequest, ExtraData::kManyPipelinedRequests)),
    [](const auto& info) {
      return std::string(kStageNames[static_cast<int>(std::get<0>(info.param))]) +
             kDisconnectNames[static_cast<int>(std::get<1>(info.param))] +
             kExtraDataNames[static_cast<int>(std::get<2>(info.param))];
    });

// The client disconnects while an event on which the gateway would send an attempt is still unprocessed: the
// arrival of the request, the failure of an attempt, or the completion of a connection setup. The gateway
// finds both in the same pass of its event loop, because the loop doesn't run in between.
enum class PendingEvent {
  kRequestOnNewConnection,
  kRequestOnPersistentConnection,
  kFailedAttempt,
  kConnectionSetup
};
constexpr const char* kPendingEventNames[] = {"RequestOnNewConnection", "RequestOnPersistentConnection",
                                              "FailedAttempt", "ConnectionSetup"};

void DisconnectClient(tcp::socket& socket, Disconnect disconnect) {
  error_code ignored;
  if (disconnect == Disconnect::kHalfClose)
    return static_cast<void>(socket.shutdown(tcp::socket::shutdown_send, ignored));
  if (disconnect == Disconnect::kReset) socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

struct DisconnectWithPendingEvent
    : ::testing::TestWithParam<std::tuple<PendingEvent, Disconnect, ExtraData>> {};

TEST_P(DisconnectWithPendingEvent, NoAttemptIsSentAfterwards) {
  const auto& [pending_event, disconnect, extra_data] = GetParam();
  World world(2, ClientDisconnect::Settings());
  for (auto& host : world.hosts) {
    host->serve = [](const Peer::ReceivedRequest& taken) {
      if (taken.http["Req-Id"] != "held") taken.Answer(200, "");
    };
  }
  const auto count_requests = [&] { return world.host(0).requests.size() + world.host(1).requests.size(); };
  // A host whose accept queue is full until a connection is accepted from it.
  tcp::acceptor full_listener(world.io, tcp::v4());
  full_listener.bind(Loopback());
  full_listener.listen(0);
  tcp::socket queue_filler(world.io);
  queue_filler.connect(full_listener.local_endpoint());
  if (pending_event == PendingEvent::kConnectionSetup) {
    world.SetDiscoveredHosts(50, {Member("h0", full_listener.local_endpoint())}, true);
    ASSERT_TRUE(world.Until([&] { return world.discovery.requests.size() >= 2; }));
  }

  // Opens idle connections to the hosts, so that a request is sent in the same pass of the event loop that
  // reads it.
  for (int i = 0; i < 20 && pending_event != PendingEvent::kConnectionSetup; ++i) {
    if (!world.host(0).connections.empty() && !world.host(1).connections.empty()) break;
    Client first_client(world.io, world.gateway->address()),
        second_client(world.io, world.gateway->address());
    first_client.Send(ApiCall("warm1-" + std::to_string(i)));
    second_client.Send(ApiCall("warm2-" + std::to_string(i)));
    ASSERT_EQ(first_client.Await().result_int() + second_client.Await().result_int(), 400u);
  }
  world.WaitUntilConnectionsReusable();
  for (auto& host : world.hosts) host->requests.clear();

  tcp::socket client(world.io);
  client.connect(world.gateway->address());
  const auto write_to_gateway = [&](const std::string& text) { asio::write(client, asio::buffer(text)); };
  error_code ec;
  int earlier_requests = 0;
  if (pending_event == PendingEvent::kRequestOnPersistentConnection) {
    write_to_gateway(ApiCall("first"));
    ASSERT_TRUE(world.Until([&] { return client.available(ec) > 0; }));
    world.WaitUntilConnectionsReusable();
    earlier_requests = 1;
  } else if (pending_event == PendingEvent::kFailedAttempt) {
    write_to_gateway(ApiCall("held"));
    ASSERT_TRUE(world.Until([&] { return count_requests() == 1; }));
    earlier_requests = 1;
    Peer& host = world.host(world.host(0).requests.empty() ? 1 : 0);
    host.requests[0].source_connection->Reset();
  } else if (pending_event == PendingEvent::kConnectionSetup) {
    write_to_gateway(ApiCall("left"));
    Client probe(world.io, world.gateway->address());  // its answer shows that the request above was read
    probe.Send("GET /up HTTP/1.1\r\nHost: x\r\n\r\n");
    ASSERT_EQ(probe.Await().result_int(), 200u);
    full_listener.accept();  // removes the filler, so that the gateway's connection setup completes
  }
  tcp::socket host_connection(world.io);
  if (pending_event == PendingEvent::kConnectionSetup) {
    host_connection = full_listener.accept();
  } else if (pending_event != PendingEvent::kFailedAttempt) {
    write_to_gateway(ApiCall("left"));
  }
  if (extra_data != ExtraData::kNone) write_to_gateway(TextOf(extra_data));
  DisconnectClient(client, disconnect);

  // A later client is served only after the gateway has processed all of these events.
  world.SetDiscoveredHosts(51, {Member("h0", world.host(0).address()), Member("h1", world.host(1).address())},
                           true);
  Client other_client(world.io, world.gateway->address());
  bool served = false;
  for (std::size_t i = 1; i <= 200 && !served; ++i) {
    other_client.Send(ApiCall("other" + std::to_string(i), "view", "400m"));
    served = other_client.Await(i).result_int() == 200;
  }
  EXPECT_TRUE(served);
  if (pending_event == PendingEvent::kConnectionSetup) {
    host_connection.non_blocking(true);
    char byte = 0;
    EXPECT_EQ(host_connection.read_some(asio::buffer(&byte, 1), ec), 0u)
        << "data was sent for the disconnected client";
  }
  for (const auto& host : world.hosts) {
    for (const Peer::ReceivedRequest& taken : host->requests) {
      const std::string id(taken.http["Req-Id"]);
      EXPECT_TRUE(id.starts_with("other") || (earlier_requests > 0 && (id == "first" || id == "held"))) << id;
      earlier_requests -= id == "first" || id == "held";
    }
  }
}

INSTANTIATE_TEST_SUITE_P(
    On, DisconnectWithPendingEvent,
    ::testing::Combine(::testing::Values(PendingEvent::kRequestOnNewConnection,
                                         PendingEvent::kRequestOnPersistentConnection,
                                         PendingEvent::kFailedAttempt, PendingEvent::kConnectionSetup),
                       ::testing::Values(Disconnect::kClose, Disconnect::kReset, Disconnect::kHalfClose),
                       ::testing::Values(ExtraData::kNone, ExtraData::kPipelinedRequest)),
    [](const auto& info) {
      return std::string(kPendingEventNames[static_cast<int>(std::get<0>(info.param))]) +
             kDisconnectNames[static_cast<int>(std::get<1>(info.param))] +
             kExtraDataNames[static_cast<int>(std::get<2>(info.param))];
    });

}  // namespace
}  // namespace meadowyard::testing
