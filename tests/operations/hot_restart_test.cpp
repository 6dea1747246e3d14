/// @file
/// The hot restart between two processes of one gateway, and the state that the predecessor hands over.
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <future>

#include "config/config.hpp"
#include "core/clock.hpp"
#include "operations/handover_state.hpp"
#include "operations/hot_restart_coordinator.hpp"
#include "operations/hot_restart_delegate.hpp"
#include "operations/predecessor_state.hpp"
#include "operations/successor_listener.hpp"
#include "operations/unix_socket.hpp"
#include "peers.hpp"
#include "service.hpp"

namespace meadowyard::testing {
namespace {

// The gateway of one process in a hot restart, which records its notifications.
class FakeGateway : public operations::HotRestartDelegate {
 public:
  std::string SerializeState() override { return state; }
  int ClientListener() override { return listener; }
  std::vector<operations::TunnelListener> TunnelListeners() override { return {}; }
  std::vector<std::string> PoolHostsInMaintenance() override { return pool_hosts_in_maintenance; }
  int RequestIdTable() override { return -1; }
  std::size_t CountDescriptors() override { return 7; }
  bool IsStopping() override { return stopping; }
  void OnSuccessorServing() override { ++successors_serving; }
  void OnSuccessorLost() override { ++successors_lost; }
  void OnSuccessorEndedFirst() override { ++successors_ended_first; }
  void OnPredecessorDescriptors(std::size_t count) override { predecessor_descriptors.push_back(count); }
  void AdoptClientConnection(std::string_view unread, operations::Descriptor connection) override {
    clients.push_back({std::string(unread), std::move(connection)});
  }
  void AdoptHostConnection(const operations::HostConnectionInfo& info, operations::Descriptor) override {
    hosts.push_back(info.host_id + "@" + ToText(info.address));
  }
  void AdoptTunnel(std::string_view, operations::Descriptor, operations::Descriptor) override {}
  void OnMaintenanceChanged(const operations::MaintenanceChange& change) override {
    maintenance.push_back((change.in_maintenance ? "-" : "+") + change.host_id);
  }
  void OnConfigurationChanged(const std::optional<operations::ConfigurationChange>& change) override {
    configuration_changes.push_back(change);
  }

  struct AdoptedClient {
    std::string unread;
    operations::Descriptor connection;
  };
  std::string state;
  std::vector<std::string> pool_hosts_in_maintenance;
  int listener = -1;
  bool stopping = false;
  int successors_serving = 0;
  int successors_lost = 0;
  int successors_ended_first = 0;
  std::vector<std::size_t> predecessor_descriptors;
  std::vector<AdoptedClient> clients;
  std::vector<std::string> hosts;
  std::vector<std::string> maintenance;
  std::vector<std::optional<operations::ConfigurationChange>> configuration_changes;
};

struct TemporaryFolder {
  TemporaryFolder() {
    char name[] = "/tmp/meadowyard-XXXXXX";
    path = mkdtemp(name);
  }
  ~TemporaryFolder() {
    std::remove(meadowyard::config::HandoverSocketPath(path, "x").c_str());
    rmdir(path.c_str());
  }
  std::string path;
};

// Guards against lost state, sockets, connections or maintenance changes in any step of a hot restart, and
// against a gateway that doesn't resume after its successor exits. The state is longer than one message.
TEST(HotRestartCoordinator, HandsOverAndResumesAfterTheSuccessorExits) {
  asio::io_context io;
  TemporaryFolder folder;
  const std::string path = meadowyard::config::HandoverSocketPath(folder.path, "x");
  EXPECT_FALSE(operations::FindPredecessor(path).found);
  tcp::acceptor listening_socket(io, Loopback());
  FakeGateway old_gateway;
  FakeGateway new_gateway;
  old_gateway.state = std::string(100000, 's') + "end";
  old_gateway.listener = listening_socket.native_handle();
  operations::HotRestartCoordinator old_coordinator(io, path, operations::Descriptor(), old_gateway);
  old_coordinator.StartServing();
  auto state_request =
      std::async(std::launch::async, [&] { return operations::FindPredecessor(path).predecessor; });
  ASSERT_TRUE(RunUntil(
      io, [&] { return state_request.wait_for(std::chrono::seconds(0)) == std::future_status::ready; }));
  auto predecessor = state_request.get();
  ASSERT_TRUE(predecessor);
  EXPECT_EQ(predecessor->state, old_gateway.state);
  tcp::acceptor adopted_listener(io, tcp::v4(), predecessor->client_listener.release());
  EXPECT_EQ(adopted_listener.local_endpoint(), listening_socket.local_endpoint());
  EXPECT_FALSE(old_coordinator.successor_serving()) << "the successor has not reported yet that it serves";
  {
    operations::HotRestartCoordinator new_coordinator(io, path, std::move(predecessor->channel), new_gateway);
    new_coordinator.StartServing();
    ASSERT_TRUE(RunUntil(io, [&] { return old_gateway.successors_serving == 1; }));
    int socket_ends[2];
    ASSERT_EQ(::socketpair(AF_UNIX, SOCK_STREAM, 0, socket_ends), 0);
    operations::Descriptor kept_end(socket_ends[0]);
    {
      operations::Descriptor passed_end(socket_ends[1]);
      EXPECT_TRUE(old_coordinator.PassClientConnection("GET /", passed_end.get()));
      EXPECT_TRUE(
          old_coordinator.PassHostConnection({.host_id = "h1", .address = Loopback(9)}, passed_end.get()));
    }
    ASSERT_TRUE(RunUntil(
        io, [&] { return new_gateway.hosts.size() == 1 && !new_gateway.predecessor_descriptors.empty(); }));
    EXPECT_EQ(new_gateway.hosts[0], "h1@127.0.0.1:9");
    EXPECT_EQ(new_gateway.predecessor_descriptors[0], 7u);
    ASSERT_EQ(new_gateway.clients.size(), 1u);
    EXPECT_EQ(new_gateway.clients[0].unread, "GET /");
    char byte = 0;
    EXPECT_EQ(::write(kept_end.get(), "x", 1), 1);
    EXPECT_EQ(::read(new_gateway.clients[0].connection.get(), &byte, 1), 1);
    old_coordinator.ReplicateMaintenance({.host_id = "h1", .in_maintenance = true});
    new_coordinator.ReplicateMaintenance({.host_id = "h2", .in_maintenance = false});
    ASSERT_TRUE(
        RunUntil(io, [&] { return !new_gateway.maintenance.empty() && !old_gateway.maintenance.empty(); }));
    EXPECT_EQ(new_gateway.maintenance[0], "-h1");
    EXPECT_EQ(old_gateway.maintenance[0], "+h2");
  }
  ASSERT_TRUE(RunUntil(io, [&] { return old_gateway.successors_lost == 1; }));
  EXPECT_FALSE(old_coordinator.successor_serving());
  EXPECT_FALSE(old_coordinator.PassClientConnection("", 0));
}

// A predecessor whose state is that of a large fleet: many times what the channel's socket buffers hold.
struct LargePredecessor {
  LargePredecessor() : client_listener(io, Loopback()) {
    for (int i = 0; gateway.state.size() < 3000000; ++i) gateway.state += std::to_string(i) + ' ';
    gateway.listener = client_listener.native_handle();
    gateway.pool_hosts_in_maintenance = {"pool-host"};
    coordinator.emplace(io, path, operations::Descriptor(), gateway);
    coordinator->StartServing();
  }
  // A successor that has connected and been accepted, and reads only when the test does.
  operations::Descriptor ConnectSuccessor() {
    operations::Descriptor channel = operations::ConnectUnixSocket(path);
    EXPECT_TRUE(channel);
    while (io.run_one_for(std::chrono::milliseconds(20)) > 0) {
    }
    return channel;
  }
  // Requests the state as a starting process does, in a thread, while this predecessor's event loop runs.
  std::optional<operations::PredecessorState> RequestState(const std::function<void()>& meanwhile = [] {}) {
    auto request =
        std::async(std::launch::async, [&] { return operations::FindPredecessor(path).predecessor; });
    EXPECT_TRUE(RunUntil(io, [&] {
      meanwhile();
      return request.wait_for(std::chrono::seconds(0)) == std::future_status::ready;
    }));
    return request.get();
  }

  asio::io_context io;
  TemporaryFolder folder;
  const std::string path = meadowyard::config::HandoverSocketPath(folder.path, "x");
  tcp::acceptor client_listener;
  FakeGateway gateway;
  std::optional<operations::HotRestartCoordinator> coordinator;
};

// Guards against a hot restart without its state, which forgot the hosts in maintenance of a large fleet: the
// successor reads more slowly than the predecessor writes. Changes made meanwhile arrive after the state.
TEST(HotRestartCoordinator, HandsOverAStateThatTheSuccessorReadsSlowly) {
  LargePredecessor predecessor;
  const operations::Descriptor channel = predecessor.ConnectSuccessor();
  predecessor.coordinator->ReplicateMaintenance({.host_id = "h1", .in_maintenance = true});
  std::string state;
  std::vector<std::string> changes;
  bool complete = false;
  ASSERT_TRUE(RunUntil(predecessor.io, [&] {
    const operations::ReceiveResult received = operations::ReceiveMessage(channel.get());
    if (received.status != operations::ReceiveStatus::kReceived) return false;
    const auto change = operations::ToMaintenanceChange(received.message);
    if (change) changes.push_back((complete ? "" : "before the end: ") + change->host_id);
    if (received.message.kind == operations::HandoverMessageKind::kState) state += received.message.text;
    complete = complete || received.message.kind == operations::HandoverMessageKind::kStateComplete;
    return changes.size() == 2;
  }));
  EXPECT_TRUE(state == predecessor.gateway.state)
      << state.size() << " of " << predecessor.gateway.state.size();
  EXPECT_EQ(changes, (std::vector<std::string>{"pool-host", "h1"}));
}

// Guards against a successor that starts without its predecessor's state: the first request fails, because
// the predecessor still serves a successor that has stalled in the middle of the state and then dies.
TEST(HotRestartCoordinator, ServesTheNextSuccessorAfterOneDiedWhileReading) {
  LargePredecessor predecessor;
  operations::Descriptor stalled = predecessor.ConnectSuccessor();
  const Millis started_at = core::Now();
  const auto received = predecessor.RequestState([&] {
    constexpr Millis kTimeOfDeath = 300;
    if (core::Now() - started_at > kTimeOfDeath) stalled = operations::Descriptor();
  });
  ASSERT_TRUE(received);
  EXPECT_TRUE(received->state == predecessor.gateway.state);
  EXPECT_TRUE(received->client_listener);
}

// Guards against a successor that starts as if it had no predecessor when an earlier version gives up
// sending: it ends the connection in the middle of the state, and sends the complete state at the next
// request.
TEST(HotRestartCoordinator, RequestsTheStateAgainFromAPredecessorThatGaveUp) {
  asio::io_context io;
  TemporaryFolder folder;
  const std::string path = meadowyard::config::HandoverSocketPath(folder.path, "x");
  tcp::acceptor client_listener(io, Loopback());
  int requests = 0;
  operations::SuccessorListener listener(io, path, [&](operations::Descriptor connection) {
    const bool gives_up = ++requests < 3;
    EXPECT_TRUE(operations::SendMessage(connection.get(), {.kind = operations::HandoverMessageKind::kState,
                                                           .text = gives_up ? "first part" : "state",
                                                           .descriptor = client_listener.native_handle()}));
    if (gives_up) return;
    EXPECT_TRUE(operations::SendMessage(connection.get(), {}));  // kStateComplete
  });
  ASSERT_TRUE(listener.Listen());
  auto request =
      std::async(std::launch::async, [&] { return operations::FindPredecessor(path).predecessor; });
  ASSERT_TRUE(
      RunUntil(io, [&] { return request.wait_for(std::chrono::seconds(0)) == std::future_status::ready; }));
  const auto received = request.get();
  ASSERT_TRUE(received);
  EXPECT_EQ(received->state, "state");
  EXPECT_EQ(requests, 3);
}

// A predecessor whose configuration is reloaded right after it has passed its state on.
struct ReloadedGateway : FakeGateway {
  std::string SerializeState() override {
    if (on_state_sent) asio::post(*io, on_state_sent);
    return FakeGateway::SerializeState();
  }
  asio::io_context* io = nullptr;
  std::function<void()> on_state_sent;
};

// Guards against a reload that the successor misses, because it comes between the predecessor's state and the
// time at which the successor serves. The successor serves once the new discovery has given it hosts.
TEST(HotRestart, ReloadBetweenStateAndReadinessReachesTheSuccessor) {
  ProgramHarness harness;
  Peer new_discovery(harness.io);
  new_discovery.serve = [&](const Peer::ReceivedRequest& call) {
    if (call.http.target() == "/discovery/hosts") call.Answer(200, harness.config["known"].dump());
  };
  harness.config.erase("known");
  harness.WriteConfig(harness.config.dump());
  ReloadedGateway predecessor;
  operations::HandoverState state;
  state.configuration = harness.config.dump();
  state.discovery_address = ToText(harness.discovery.address());
  predecessor.state = operations::SerializeHandoverState(state);
  operations::HotRestartCoordinator coordinator(
      harness.io, meadowyard::config::HandoverSocketPath(harness.directory, ToText(harness.listen_address)),
      operations::Descriptor(), predecessor);
  coordinator.StartServing();
  predecessor.io = &harness.io;
  predecessor.on_state_sent = [&] {
    coordinator.ReplicateConfiguration(
        {.configuration = state.configuration, .discovery_address = ToText(new_discovery.address())});
  };
  harness.config["known"] = List(1, true, {Member("h0", harness.hosts[0]->address())});
  const auto successor = harness.Start();
  EXPECT_EQ(harness.Metrics(successor)["cluster_size"], 1);
  EXPECT_EQ(harness.Metrics(successor)["configuration"]["discovery"], ToText(new_discovery.address()));
}

// Guards against state lost in a hot restart: hosts in maintenance, ejected hosts, hosts in slow start, and
// the latencies and rates measured so far.
TEST(HandoverState, PreservesTheLearnedState) {
  operations::HandoverState state;
  state.configuration = "{}";
  state.discovery_address = "127.0.0.1:1";
  state.hosts.revision = 41;
  Endpoint draining_endpoint;
  draining_endpoint.id = "h0";
  draining_endpoint.zone = "a";
  draining_endpoint.cell = "3";
  draining_endpoint.state = EndpointState::kDraining;
  draining_endpoint.started_at = 12.5;
  state.hosts.endpoints.push_back({draining_endpoint, Loopback(80)});
  state.revision_known = true;
  state.descriptors = 9;
  state.learned.endpoints.push_back({"h0", 1.5, 2, 3, 0.25, 0.1, 7, true, true, -1e15, 99, 0.5});
  state.learned.classes.push_back({"view", 20, 500, 3});
  state.learned.in_maintenance = {"h0", "h7"};
  state.learned.rate = 123;
  state.pool_hosts_in_maintenance = {"pool-host"};
  const auto read = operations::ParseHandoverState(operations::SerializeHandoverState(state));
  ASSERT_TRUE(read);
  EXPECT_EQ(operations::SerializeHandoverState(*read), operations::SerializeHandoverState(state));
  EXPECT_EQ(read->hosts.endpoints[0].endpoint.cell, "3");
  EXPECT_EQ(read->hosts.endpoints[0].endpoint.state, EndpointState::kDraining);
  EXPECT_TRUE(read->learned.endpoints[0].ejected);
  EXPECT_EQ(read->learned.in_maintenance.size(), 2u);
  EXPECT_EQ(read->pool_hosts_in_maintenance, state.pool_hosts_in_maintenance);
  EXPECT_FALSE(operations::ParseHandoverState("{}"));
  EXPECT_FALSE(operations::ParseHandoverState(operations::SerializeHandoverState(state).substr(0, 50)));
}

}  // namespace
}  // namespace meadowyard::testing
