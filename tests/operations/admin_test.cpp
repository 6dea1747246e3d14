/// @file
/// The listener for operators' calls: on its own, and on a gateway with hosts.
#include <gtest/gtest.h>

#include "core/metrics.hpp"
#include "operations/admin_server.hpp"
#include "peers.hpp"
#include "world.hpp"

namespace meadowyard::testing {
namespace {

struct Listener : operations::AdminDelegate {
  explicit Listener(operations::AdminServer::Limits limits = operations::AdminServer::Limits())
      : server(io, Loopback(), limits, *this) {}
  unsigned Ask(const std::string& text) {
    Client client(io, server.address());
    client.Send(text);
    return client.Await().result_int();
  }

  bool IsReady() override { return ready; }
  std::string MetricsJson() override { return "{}"; }
  bool ChangeMaintenance(const operations::MaintenanceChange& change) override {
    maintained.emplace_back(change.host_id, change.in_maintenance);
    return change.host_id != "nobody";
  }
  std::optional<std::string> TunnelsJson() override { return std::nullopt; }
  bool CloseTunnel(std::uint64_t) override { return false; }
  std::optional<std::string> PeersJson() override { return std::nullopt; }

  asio::io_context io;
  bool ready = true;
  std::vector<std::pair<std::string, bool>> maintained;
  operations::AdminServer server;
};

// Guards what operators' tools rely on: which calls are a yes, and that each kind of mistake is a no.
TEST(AdminServer, AnswersEachCallAsItDeserves) {
  Listener listener;
  const std::vector<std::pair<std::string, unsigned>> calls = {
      {"GET /status HTTP/1.1\r\nHost: a\r\n\r\n", 200},
      {"GET /status/metrics HTTP/1.1\r\nHost: a\r\n\r\n", 200},
      {"PUT /maintenance/enter?target=h1 HTTP/1.1\r\nHost: a\r\n\r\n", 200},
      {"PUT /maintenance/exit?x=1&target=h%31 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi", 200},
      {"PUT /maintenance/enter?target=nobody HTTP/1.1\r\n\r\n", 404},
      {"PUT /maintenance/enter HTTP/1.1\r\n\r\n", 400},
      {"PUT /maintenance/enter?target= HTTP/1.1\r\n\r\n", 400},
      {"PUT /maintenance/enter?target=h1&target=h2 HTTP/1.1\r\n\r\n", 400},
      {"PUT /maintenance/enter?target=%zz HTTP/1.1\r\n\r\n", 400},
      {"PUT /maintenance/enter?target=%4 HTTP/1.1\r\n\r\n", 400},
      {"GET /maintenance/enter?target=h1 HTTP/1.1\r\n\r\n", 405},
      {"POST /status HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 405},
      {"GET /standby HTTP/1.1\r\n\r\n", 404},
      {"GET / HTTP/1.1\r\n\r\n", 404},
      {"BOGUS\r\n\r\n", 400},
      {"GET /status HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
      {"GET /status HTTP/1.1\r\nX: " + std::string(9000, 'x') + "\r\n\r\n", 400},
  };
  for (const auto& [text, status] : calls) EXPECT_EQ(listener.Ask(text), status) << text.substr(0, 80);
  const std::vector<std::pair<std::string, bool>> expected = {{"h1", true}, {"h1", false}, {"nobody", true}};
  EXPECT_EQ(listener.maintained, expected);
  listener.ready = false;
  EXPECT_EQ(listener.Ask(calls.front().first), 503u);
}

// Guards operators against callers who say nothing or half a call: they make room, and none stays for long.
TEST(AdminServer, AnswersBesideCallersWhoSayNothing) {
  operations::AdminServer::Limits limits;
  limits.max_sessions = 4;
  limits.timeouts.request = 60000;
  Listener listener(limits);
  std::vector<std::unique_ptr<Client>> silent;
  for (int i = 0; i < 12; ++i) {
    silent.push_back(std::make_unique<Client>(listener.io, listener.server.address()));
    if (i % 2 == 0) silent.back()->Send("GET /sta");
  }
  EXPECT_EQ(listener.Ask("GET /status HTTP/1.1\r\n\r\n"), 200u);
  EXPECT_TRUE(RunUntil(listener.io, [&] {
    return std::count_if(silent.begin(), silent.end(), [](const auto& c) { return c->ended(); }) >= 9;
  }));
}

TEST(AdminServer, EndsHalfACall) {
  operations::AdminServer::Limits limits;
  limits.timeouts.request = 1;
  Listener listener(limits);
  Client half(listener.io, listener.server.address());
  half.Send("GET /sta");
  EXPECT_EQ(half.Await().result(), http::status::request_timeout);
  EXPECT_TRUE(half.AwaitEnd());
}

// Guards the sums: a request that its client left counts under nothing, and a dropped class keeps its
// figures.
TEST(Figures, CountEachRequestOnce) {
  core::Metrics figures;
  TrafficClassSettings view, pay;
  view.name = "view";
  pay.name = "pay";
  figures.SetClasses({view, pay});
  for (int i = 0; i < 5; ++i) figures.OnRequestAccepted();
  figures.OnRequestFinished("view", core::Metrics::RequestResult::kServed);
  figures.OnRequestFinished("view", core::Metrics::RequestResult::kRejected);
  figures.OnRequestFinished("view", core::Metrics::RequestResult::kUncounted);
  figures.OnRequestFinished("pay", core::Metrics::RequestResult::kFailed);
  figures.OnAttemptSent("pay");
  figures.SetClasses({pay});
  figures.OnConfigurationRead(true);
  figures.OnConfigurationRead(false);
  figures.OnConfigurationRead(false);
  const auto json = nlohmann::json::parse(figures.ToJson({7, 2}));
  const auto counts = [](int answered, int deferred, int errored, int sends) {
    return nlohmann::json{
        {"answered", answered}, {"deferred", deferred}, {"errored", errored}, {"sends", sends}};
  };
  const nlohmann::json expected = {
      {"transactions", {{"view", counts(1, 1, 0, 0)}, {"pay", counts(0, 0, 1, 1)}}},
      {"sends", 1},
      {"current", 1},
      {"cluster_size", 7},
      {"cluster_unhealthy", 2},
      {"conf_loaded", 1},
      {"conf_invalid", 2}};
  EXPECT_EQ(json, expected);
}

nlohmann::json Metrics(World& world) {
  Client client(world.io, world.gateway->admin_address());
  client.Send("GET /status/metrics HTTP/1.1\r\n\r\n");
  return nlohmann::json::parse(client.Await().body());
}

unsigned Maintain(World& world, const std::string& call, const std::string& host) {
  Client client(world.io, world.gateway->admin_address());
  client.Send("PUT /maintenance/" + call + "?target=" + host + " HTTP/1.1\r\n\r\n");
  return client.Await().result_int();
}

// Guards the figures on the way of real requests: served, failed, refused, and one still open.
TEST(Admin, ShowsWhatBecameOfRequests) {
  World world(1, TestSettings(), 300, true);
  const auto one = world.Connect(), two = world.Connect(), three = world.Connect();
  one->Send(ApiCall("r1"));
  ASSERT_TRUE(world.Until([&] { return world.host().requests.size() == 1; }));
  world.host().requests[0].Answer(200, "yes");
  one->Await();
  two->Send(ApiCall("r2", "pay"));
  ASSERT_TRUE(world.Until([&] { return world.host().requests.size() == 2; }));
  world.host().requests[1].Answer(500, "no");
  EXPECT_EQ(two->Await().result(), http::status::bad_gateway);
  three->Send(ApiCall("r3", "pay"));
  ASSERT_TRUE(world.Until([&] { return world.host().requests.size() == 3; }));
  const auto figures = Metrics(world);
  EXPECT_EQ(figures["transactions"]["view"]["answered"], 1);
  EXPECT_EQ(figures["transactions"]["pay"]["errored"], 1);
  EXPECT_EQ(figures["sends"], 3);
  EXPECT_EQ(figures["current"], 1);
  EXPECT_EQ(figures["cluster_size"], 1);
  world.host().requests[2].Answer(503, "", "Srv-Declined", "1");  // the only host: a refusal follows
  EXPECT_EQ(three->Await().result(), http::status::service_unavailable);
  EXPECT_EQ(Metrics(world)["transactions"]["pay"]["deferred"], 1);
  EXPECT_EQ(Metrics(world)["current"], 0);
}

// Guards a host that operators work on: nothing goes to it from the yes on, no list brings it back, its idle
// connections close, and one call puts it back.
TEST(Admin, LeavesAHostOutUntilItIsPutBack) {
  World world(2, TestSettings(), 300, true);
  for (const auto& host : world.hosts) {
    host->serve = [](const Peer::Taken& taken) { taken.Answer(200, ""); };
  }
  const auto client = world.Connect();
  std::size_t asked = 0;
  const auto ask = [&](std::size_t n) {
    while (n-- > 0) {
      client->Send(ApiCall("r" + std::to_string(asked++)));
      client->Await(asked);
    }
  };
  while (world.host(0).requests.empty() && asked < 200) ask(1);
  ASSERT_FALSE(world.host(0).requests.empty());
  EXPECT_EQ(Maintain(world, "enter", "h0"), 200u);
  EXPECT_EQ(Maintain(world, "enter", "h0"), 200u);
  EXPECT_EQ(Maintain(world, "enter", "h9"), 404u);
  EXPECT_TRUE(world.Until([&] { return world.host(0).connections[0]->ended; }));
  EXPECT_EQ(Metrics(world)["cluster_unhealthy"], 1);
  const std::size_t before = world.host(0).requests.size();
  ASSERT_TRUE(world.Until([&] { return !world.discovery.requests.empty(); }));
  world.discovery.requests[0].Answer(
      200,
      List(42, true, {Member("h0", world.host(0).address()), Member("h1", world.host(1).address())}).dump());
  ASSERT_TRUE(world.Until([&] { return world.discovery.requests.size() == 2; }));
  ask(50);
  EXPECT_EQ(world.host(0).requests.size(), before);
  EXPECT_EQ(Maintain(world, "exit", "h0"), 200u);
  EXPECT_EQ(Maintain(world, "exit", "h9"), 404u);
  EXPECT_EQ(Metrics(world)["cluster_unhealthy"], 0);
  for (int i = 0; i < 3000 && world.host(0).requests.size() == before; ++i) ask(1);
  EXPECT_GT(world.host(0).requests.size(), before);
}

}  // namespace
}  // namespace meadowyard::testing
