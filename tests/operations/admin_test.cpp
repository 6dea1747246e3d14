/// @file
/// The listener for operators' calls: with a fake gateway, and with a real gateway and hosts.
#include <gtest/gtest.h>

#include "core/metrics.hpp"
#include "operations/admin_server.hpp"
#include "peers.hpp"
#include "world.hpp"

namespace meadowyard::testing {
namespace {

struct FakeGateway : operations::AdminDelegate {
  explicit FakeGateway(operations::AdminServer::Limits limits = operations::AdminServer::Limits())
      : server(io, Loopback(), limits, *this) {}
  unsigned StatusOf(const std::string& text) {
    Client client(io, server.address());
    client.Send(text);
    return client.Await().result_int();
  }

  bool IsReady() override { return ready; }
  std::string MetricsJson() override { return "{}"; }
  bool ChangeMaintenance(const operations::MaintenanceChange& change) override {
    maintenance_changes.emplace_back(change.host_id, change.in_maintenance);
    return change.host_id != "unknown";
  }
  std::optional<std::string> TunnelsJson() override { return std::nullopt; }
  bool CloseTunnel(std::uint64_t) override { return false; }
  std::optional<std::string> PeersJson() override { return std::nullopt; }

  asio::io_context io;
  bool ready = true;
  std::vector<std::pair<std::string, bool>> maintenance_changes;
  operations::AdminServer server;
};

// Guards the statuses on which operators' tools rely: 200 for valid calls, and a 4xx status for each kind of
// invalid call, which must not change a host's maintenance.
TEST(AdminServer, RespondsToEachCallWithItsStatus) {
  FakeGateway fake;
  const std::vector<std::pair<std::string, unsigned>> calls = {
      {"GET /status HTTP/1.1\r\nHost: a\r\n\r\n", 200},
      {"GET /status/metrics HTTP/1.1\r\nHost: a\r\n\r\n", 200},
      {"PUT /maintenance/enter?target=h1 HTTP/1.1\r\nHost: a\r\n\r\n", 200},
      {"PUT /maintenance/exit?x=1&target=h%31 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi", 200},
      {"PUT /maintenance/enter?target=unknown HTTP/1.1\r\n\r\n", 404},
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
  for (const auto& [text, status] : calls) EXPECT_EQ(fake.StatusOf(text), status) << text.substr(0, 80);
  const std::vector<std::pair<std::string, bool>> expected = {{"h1", true}, {"h1", false}, {"unknown", true}};
  EXPECT_EQ(fake.maintenance_changes, expected);
  fake.ready = false;
  EXPECT_EQ(fake.StatusOf(calls.front().first), 503u);
}

// Guards against callers that send nothing or an incomplete request and so use up all sessions: the oldest
// sessions are closed for new ones.
TEST(AdminServer, ClosesTheOldestSessionsAtTheLimit) {
  operations::AdminServer::Limits limits;
  limits.max_sessions = 4;
  limits.timeouts.request = 60000;
  FakeGateway fake(limits);
  std::vector<std::unique_ptr<Client>> stalled_clients;
  for (int i = 0; i < 12; ++i) {
    stalled_clients.push_back(std::make_unique<Client>(fake.io, fake.server.address()));
    if (i % 2 == 0) stalled_clients.back()->Send("GET /sta");
  }
  EXPECT_EQ(fake.StatusOf("GET /status HTTP/1.1\r\n\r\n"), 200u);
  EXPECT_TRUE(RunUntil(fake.io, [&] {
    return std::count_if(stalled_clients.begin(), stalled_clients.end(),
                         [](const auto& stalled_client) { return stalled_client->ended(); }) >= 9;
  }));
}

// Guards against a connection that an incomplete request holds open indefinitely.
TEST(AdminServer, ClosesAnIncompleteRequestAfterTheTimeout) {
  operations::AdminServer::Limits limits;
  limits.timeouts.request = 1;
  FakeGateway fake(limits);
  Client incomplete_client(fake.io, fake.server.address());
  incomplete_client.Send("GET /sta");
  EXPECT_EQ(incomplete_client.Await().result(), http::status::request_timeout);
  EXPECT_TRUE(incomplete_client.AwaitEnd());
}

// Guards the totals: a request that its client abandoned is counted under no result, and a class removed from
// the settings keeps its counts.
TEST(GatewayMetrics, CountEachRequestOnce) {
  core::Metrics metrics;
  TrafficClassSettings view, pay;
  view.name = "view";
  pay.name = "pay";
  metrics.SetClasses({view, pay});
  for (int i = 0; i < 5; ++i) metrics.OnRequestAccepted();
  metrics.OnRequestFinished("view", core::Metrics::RequestResult::kServed);
  metrics.OnRequestFinished("view", core::Metrics::RequestResult::kRejected);
  metrics.OnRequestFinished("view", core::Metrics::RequestResult::kUncounted);
  metrics.OnRequestFinished("pay", core::Metrics::RequestResult::kFailed);
  metrics.OnAttemptSent("pay");
  metrics.SetClasses({pay});
  metrics.OnConfigurationRead(true);
  metrics.OnConfigurationRead(false);
  metrics.OnConfigurationRead(false);
  metrics.OnAttemptEnded(core::AttemptEndReason::kResponseComplete);
  metrics.OnAttemptEnded(core::AttemptEndReason::kResponseStalled);
  metrics.OnAttemptEnded(core::AttemptEndReason::kResponseStalled);
  metrics.OnClientConnectionClosed("idle");
  metrics.OnConfigurationInForce({"file", "127.0.0.1:1", "environment"});
  metrics.OnConfigurationRejected("limits: missing");
  const auto json = nlohmann::json::parse(metrics.ToJson({7, 2}));
  const auto class_counts = [](int answered, int deferred, int errored, int sends) {
    return nlohmann::json{
        {"answered", answered}, {"deferred", deferred}, {"errored", errored}, {"sends", sends}};
  };
  const nlohmann::json expected = {
      {"transactions", {{"view", class_counts(1, 1, 0, 0)}, {"pay", class_counts(0, 0, 1, 1)}}},
      {"sends", 1},
      {"current", 1},
      {"cluster_size", 7},
      {"cluster_unhealthy", 2},
      {"attempt_ends", {{"response_complete", 1}, {"response_stalled", 2}}},
      {"client_connection_ends", {{"idle", 1}}},
      {"conf_loaded", 1},
      {"conf_invalid", 2},
      {"configuration",
       {{"settings_from", "file"},
        {"discovery", "127.0.0.1:1"},
        {"discovery_from", "environment"},
        {"last_rejection", "limits: missing"}}}};
  EXPECT_EQ(json, expected);
}

nlohmann::json Metrics(World& world) {
  Client client(world.io, world.gateway->admin_address());
  client.Send("GET /status/metrics HTTP/1.1\r\n\r\n");
  return nlohmann::json::parse(client.Await().body());
}

unsigned SendMaintenanceCall(World& world, const std::string& call, const std::string& host) {
  Client client(world.io, world.gateway->admin_address());
  client.Send("PUT /maintenance/" + call + "?target=" + host + " HTTP/1.1\r\n\r\n");
  return client.Await().result_int();
}

// Guards the metrics against miscounted requests: one is served, one fails, and one is counted as open until
// it is rejected.
TEST(Admin, CountsRequestsByResult) {
  World world(1, TestSettings(), 300, true);
  const auto served_client = world.Connect(), failed_client = world.Connect(),
             rejected_client = world.Connect();
  served_client->Send(ApiCall("r1"));
  ASSERT_TRUE(world.Until([&] { return world.host().requests.size() == 1; }));
  world.host().requests[0].Answer(200, "yes");
  served_client->Await();
  failed_client->Send(ApiCall("r2", "pay"));
  ASSERT_TRUE(world.Until([&] { return world.host().requests.size() == 2; }));
  world.host().requests[1].Answer(500, "no");
  EXPECT_EQ(failed_client->Await().result(), http::status::bad_gateway);
  rejected_client->Send(ApiCall("r3", "pay"));
  ASSERT_TRUE(world.Until([&] { return world.host().requests.size() == 3; }));
  const auto metrics = Metrics(world);
  EXPECT_EQ(metrics["transactions"]["view"]["answered"], 1);
  EXPECT_EQ(metrics["transactions"]["pay"]["errored"], 1);
  EXPECT_EQ(metrics["sends"], 3);
  EXPECT_EQ(metrics["current"], 1);
  EXPECT_EQ(metrics["cluster_size"], 1);
  world.host().requests[2].Answer(503, "", "Srv-Declined", "1");  // the only host: the request is rejected
  EXPECT_EQ(rejected_client->Await().result(), http::status::service_unavailable);
  EXPECT_EQ(Metrics(world)["transactions"]["pay"]["deferred"], 1);
  EXPECT_EQ(Metrics(world)["current"], 0);
}

// Guards a host in maintenance against requests: after the call's response the gateway sends it none, even if
// service discovery lists it again, and closes its idle connections. One call ends the maintenance.
TEST(Admin, SendsNoRequestsToAHostInMaintenance) {
  World world(2, TestSettings(), 300, true);
  for (const auto& host : world.hosts) {
    host->serve = [](const Peer::ReceivedRequest& taken) { taken.Answer(200, ""); };
  }
  const auto client = world.Connect();
  std::size_t requests_sent = 0;
  const auto send_requests = [&](std::size_t count) {
    while (count-- > 0) {
      client->Send(ApiCall("r" + std::to_string(requests_sent++)));
      client->Await(requests_sent);
    }
  };
  while (world.host(0).requests.empty() && requests_sent < 200) send_requests(1);
  ASSERT_FALSE(world.host(0).requests.empty());
  EXPECT_EQ(SendMaintenanceCall(world, "enter", "h0"), 200u);
  EXPECT_EQ(SendMaintenanceCall(world, "enter", "h0"), 200u);
  EXPECT_EQ(SendMaintenanceCall(world, "enter", "h9"), 404u);
  EXPECT_TRUE(world.Until([&] { return world.host(0).connections[0]->ended; }));
  EXPECT_EQ(Metrics(world)["cluster_unhealthy"], 1);
  const std::size_t requests_before = world.host(0).requests.size();
  ASSERT_TRUE(world.Until([&] { return !world.discovery.requests.empty(); }));
  world.discovery.requests[0].Answer(
      200,
      List(42, true, {Member("h0", world.host(0).address()), Member("h1", world.host(1).address())}).dump());
  ASSERT_TRUE(world.Until([&] { return world.discovery.requests.size() == 2; }));
  send_requests(50);
  EXPECT_EQ(world.host(0).requests.size(), requests_before);
  EXPECT_EQ(SendMaintenanceCall(world, "exit", "h0"), 200u);
  EXPECT_EQ(SendMaintenanceCall(world, "exit", "h9"), 404u);
  EXPECT_EQ(Metrics(world)["cluster_unhealthy"], 0);
  for (int i = 0; i < 3000 && world.host(0).requests.size() == requests_before; ++i) send_requests(1);
  EXPECT_GT(world.host(0).requests.size(), requests_before);
}

}  // namespace
}  // namespace meadowyard::testing
