/// @file
/// The hot restart between two processes of one gateway, and the state that the first hands over.
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <future>

#include "config/config.hpp"
#include "operations/handover_state.hpp"
#include "operations/hot_restart_coordinator.hpp"
#include "operations/hot_restart_delegate.hpp"
#include "operations/predecessor_state.hpp"
#include "peers.hpp"

namespace meadowyard::testing {
namespace {

// One process of a hot restart, which records what it is notified of.
class FakeGateway : public operations::HotRestartDelegate {
 public:
  std::string SerializeState() override { return state; }
  int ClientListener() override { return listener; }
  std::vector<operations::TunnelListener> TunnelListeners() override { return {}; }
  std::size_t CountDescriptors() override { return 7; }
  void OnSuccessorServing() override { ++successors_serving; }
  void OnSuccessorLost() override { ++successors_lost; }
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

  struct AdoptedClient {
    std::string unread;
    operations::Descriptor connection;
  };
  std::string state;
  int listener = -1;
  int successors_serving = 0;
  int successors_lost = 0;
  std::vector<std::size_t> predecessor_descriptors;
  std::vector<AdoptedClient> clients;
  std::vector<std::string> hosts;
  std::vector<std::string> maintenance;
};

struct Folder {
  Folder() {
    char name[] = "/tmp/meadowyard-XXXXXX";
    path = mkdtemp(name);
  }
  ~Folder() {
    std::remove(meadowyard::config::HandoverSocketPath(path, "x").c_str());
    rmdir(path.c_str());
  }
  std::string path;
};

// Guards the whole course of a change of version, with a state longer than one message.
TEST(HotRestartCoordinator, PassesEverythingOnAndResumes) {
  asio::io_context io;
  Folder folder;
  const std::string path = meadowyard::config::HandoverSocketPath(folder.path, "x");
  EXPECT_FALSE(operations::RequestPredecessorState(path));
  tcp::acceptor door(io, Loopback());
  FakeGateway first;
  FakeGateway second;
  first.state = std::string(100000, 's') + "end";
  first.listener = door.native_handle();
  operations::HotRestartCoordinator old(io, path, operations::Descriptor(), first);
  old.StartServing();
  auto asked = std::async(std::launch::async, [&] { return operations::RequestPredecessorState(path); });
  ASSERT_TRUE(
      RunUntil(io, [&] { return asked.wait_for(std::chrono::seconds(0)) == std::future_status::ready; }));
  auto predecessor = asked.get();
  ASSERT_TRUE(predecessor);
  EXPECT_EQ(predecessor->state, first.state);
  tcp::acceptor same(io, tcp::v4(), predecessor->client_listener.release());
  EXPECT_EQ(same.local_endpoint(), door.local_endpoint());
  EXPECT_FALSE(old.successor_serving()) << "it has not said yet that it serves";
  {
    operations::HotRestartCoordinator next(io, path, std::move(predecessor->channel), second);
    next.StartServing();
    ASSERT_TRUE(RunUntil(io, [&] { return first.successors_serving == 1; }));
    int pair[2];
    ASSERT_EQ(::socketpair(AF_UNIX, SOCK_STREAM, 0, pair), 0);
    operations::Descriptor ours(pair[0]);
    {
      operations::Descriptor passed(pair[1]);
      EXPECT_TRUE(old.PassClientConnection("GET /", passed.get()));
      EXPECT_TRUE(old.PassHostConnection({.host_id = "h1", .address = Loopback(9)}, passed.get()));
    }
    ASSERT_TRUE(
        RunUntil(io, [&] { return second.hosts.size() == 1 && !second.predecessor_descriptors.empty(); }));
    EXPECT_EQ(second.hosts[0], "h1@127.0.0.1:9");
    EXPECT_EQ(second.predecessor_descriptors[0], 7u);
    ASSERT_EQ(second.clients.size(), 1u);
    EXPECT_EQ(second.clients[0].unread, "GET /");
    char byte = 0;
    EXPECT_EQ(::write(ours.get(), "x", 1), 1);
    EXPECT_EQ(::read(second.clients[0].connection.get(), &byte, 1), 1);
    old.ReplicateMaintenance({.host_id = "h1", .in_maintenance = true});
    next.ReplicateMaintenance({.host_id = "h2", .in_maintenance = false});
    ASSERT_TRUE(RunUntil(io, [&] { return !second.maintenance.empty() && !first.maintenance.empty(); }));
    EXPECT_EQ(second.maintenance[0], "-h1");
    EXPECT_EQ(first.maintenance[0], "+h2");
  }
  ASSERT_TRUE(RunUntil(io, [&] { return first.successors_lost == 1; }));
  EXPECT_FALSE(old.successor_serving());
  EXPECT_FALSE(old.PassClientConnection("", 0));
}

// Guards what the module knows against a change of version: who is out, who is cold, and what was learned.
TEST(HandoverState, CarriesWhatThePolicyLearned) {
  operations::HandoverState state;
  state.configuration = "{}";
  state.discovery_address = "127.0.0.1:1";
  state.hosts.revision = 41;
  Endpoint server;
  server.id = "h0";
  server.zone = "a";
  server.cell = "3";
  server.state = EndpointState::kDraining;
  server.started_at = 12.5;
  state.hosts.endpoints.push_back({server, Loopback(80)});
  state.revision_known = true;
  state.descriptors = 9;
  state.learned.endpoints.push_back({"h0", 1.5, 2, 3, 0.25, 0.1, 7, true, true, -1e15, 99, 0.5});
  state.learned.classes.push_back({"view", 20, 500, 3});
  state.learned.in_maintenance = {"h0", "h7"};
  state.learned.rate = 123;
  const auto read = operations::ParseHandoverState(operations::SerializeHandoverState(state));
  ASSERT_TRUE(read);
  EXPECT_EQ(operations::SerializeHandoverState(*read), operations::SerializeHandoverState(state));
  EXPECT_EQ(read->hosts.endpoints[0].endpoint.cell, "3");
  EXPECT_EQ(read->hosts.endpoints[0].endpoint.state, EndpointState::kDraining);
  EXPECT_TRUE(read->learned.endpoints[0].ejected);
  EXPECT_EQ(read->learned.in_maintenance.size(), 2u);
  EXPECT_FALSE(operations::ParseHandoverState("{}"));
  EXPECT_FALSE(operations::ParseHandoverState(operations::SerializeHandoverState(state).substr(0, 50)));
}

}  // namespace
}  // namespace meadowyard::testing
