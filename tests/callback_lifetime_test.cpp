/// @file
/// Callbacks that end the object which holds them: what they captured must live until they return.
#include <gtest/gtest.h>

#include "core/clock.hpp"
#include "raw_peers.hpp"
#include "upstream/host_pool.hpp"
#include "world.hpp"

namespace meadowyard::testing {
namespace {

constexpr std::size_t kLongBodyBytes = 200000;  // more than the gateway buffers: the response is streamed

std::string LongResponse() {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kLongBodyBytes) + "\r\n\r\n" +
         std::string(kLongBodyBytes, 'y');
}

// Guards against a use of the request's id after it was freed, which crashed the gateway: the receiver of a
// long response cancels it inside the call that starts it, which ends the attempt.
TEST(CallbackLifetime, AResponseCancelledInsideItsCallbackKeepsWhatTheCallbackCaptured) {
  asio::io_context io;
  Peer host(io);
  host.serve = [](const Peer::ReceivedRequest& request) {
    request.source_connection->WriteRaw(LongResponse());
  };
  HostPool pool(io, {}, {[](const std::string&) { return true; }});
  discovery::EndpointList list;
  list.endpoints.push_back({Endpoint(), host.address()});
  list.endpoints[0].endpoint.id = "h0";
  pool.Update(list);
  struct Observations {
    std::weak_ptr<int> captured;
    bool alive_after_cancel = false;
    std::vector<AttemptResult> results;
  } observed;
  core::AttemptRequest attempt;
  attempt.message = std::make_shared<const core::RequestMessage>(core::RequestMessage{"GET", "/api", {}, ""});
  attempt.deadline = core::Now() + 20000;
  auto captured = std::make_shared<int>(0);
  observed.captured = captured;
  attempt.on_response_started = [captured = std::move(captured), &observed](
                                    core::ResponseMessage, std::shared_ptr<core::BodySource> remainder) {
    Observations& state = observed;  // copied to the stack: the captures may be destroyed below
    remainder->Cancel();
    state.alive_after_cancel = !state.captured.expired();
  };
  attempt.on_finished = [&observed](AttemptResult result, core::ResponseMessage) {
    observed.results.push_back(result);
  };
  pool.Start("h0", std::move(attempt));
  ASSERT_TRUE(RunUntil(io, [&] { return !observed.results.empty(); }));
  EXPECT_TRUE(observed.alive_after_cancel);
  EXPECT_EQ(observed.results, std::vector{AttemptResult::kCancelled});
  EXPECT_EQ(pool.connections(), 0u);
}

// Guards against a crash when a client sends many requests at once and resets its connection just before its
// long answer begins: the first write fails and ends the attempt. The gateway must go on serving other
// clients.
TEST(CallbackLifetime, AClientThatResetsBeforeItsLongAnswerLeavesTheGatewayServing) {
  constexpr int kLeavingClients = 20;
  World world(1, TestSettings(), 300, true);
  // More further requests than the gateway reads ahead, so that it doesn't see the reset at once.
  std::string calls;
  for (int i = 0; i < 200; ++i) calls += ApiCall("@" + std::to_string(i));
  for (int number = 0; number < kLeavingClients; ++number) {
    const auto client = RawConnect(world.io, world.gateway->address());
    std::string text = calls;
    for (std::size_t at = 0; (at = text.find('@', at)) != std::string::npos;)
      text.replace(at, 1, "c" + std::to_string(number) + "-");
    world.host().serve = [&client](const Peer::ReceivedRequest& request) {
      if (client->socket.is_open()) client->Reset();
      request.source_connection->WriteRaw(LongResponse());
    };
    client->SendBytes(std::move(text));
    ASSERT_TRUE(world.Until([&] { return !client->socket.is_open(); }));
    ASSERT_TRUE(world.Until([&] { return world.ReadMetrics()["current"] == 0; }));
  }
  world.host().serve = [](const Peer::ReceivedRequest& request) { request.Answer(200, "well"); };
  const auto usual_client = world.Connect();
  usual_client->Send(ApiCall("usual"));
  EXPECT_EQ(usual_client->Await().result(), http::status::ok);
}

}  // namespace
}  // namespace meadowyard::testing
