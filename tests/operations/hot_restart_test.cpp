// What passes between two processes of one gateway: messages, descriptors, and what is told of the state.
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <future>

#include "config/config.hpp"
#include "operations/handover_channel.hpp"
#include "operations/handover_state.hpp"
#include "operations/hot_restart_coordinator.hpp"
#include "peers.hpp"

namespace meadowyard::testing {
namespace {

// One side of a change of version that counts what it is told.
struct Side {
  operations::HotRestartCoordinator::Handlers Handlers() {
    return {[this] { return state; },
            [this] { return listener; },
            [] { return std::size_t{7}; },
            [this] { ++succeeded; },
            [this] { ++abandoned; },
            [this](std::size_t n) { others.push_back(n); },
            [this](std::string_view unread, operations::Descriptor fd) {
              clients.emplace_back(std::string(unread), std::move(fd));
            },
            [this](const std::string& host, const tcp::endpoint& at, operations::Descriptor) {
              hosts.push_back(host + "@" + ToText(at));
            },
            [this](const std::string& host, bool out) { maintained.push_back((out ? "-" : "+") + host); },
            [] { return std::vector<std::pair<std::string, int>>(); },
            [](std::string_view, operations::Descriptor, operations::Descriptor) {}};
  }
  std::string state;
  int listener = -1, succeeded = 0, abandoned = 0;
  std::vector<std::size_t> others;
  std::vector<std::pair<std::string, operations::Descriptor>> clients;
  std::vector<std::string> hosts, maintained;
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
  Side first, second;
  first.state = std::string(100000, 's') + "end";
  first.listener = door.native_handle();
  operations::HotRestartCoordinator old(io, path, operations::Descriptor(), first.Handlers());
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
    operations::HotRestartCoordinator next(io, path, std::move(predecessor->channel), second.Handlers());
    next.StartServing();
    ASSERT_TRUE(RunUntil(io, [&] { return first.succeeded == 1; }));
    int pair[2];
    ASSERT_EQ(::socketpair(AF_UNIX, SOCK_STREAM, 0, pair), 0);
    operations::Descriptor ours(pair[0]);
    {
      operations::Descriptor passed(pair[1]);
      EXPECT_TRUE(old.PassClientConnection(passed.get(), "GET /"));
      EXPECT_TRUE(old.PassHostConnection("h1", Loopback(9), passed.get()));
    }
    ASSERT_TRUE(RunUntil(io, [&] { return second.hosts.size() == 1 && !second.others.empty(); }));
    EXPECT_EQ(second.hosts[0], "h1@127.0.0.1:9");
    EXPECT_EQ(second.others[0], 7u);
    ASSERT_EQ(second.clients.size(), 1u);
    EXPECT_EQ(second.clients[0].first, "GET /");
    char byte = 0;
    EXPECT_EQ(::write(ours.get(), "x", 1), 1);
    EXPECT_EQ(::read(second.clients[0].second.get(), &byte, 1), 1);
    old.ReplicateMaintenance("h1", true);
    next.ReplicateMaintenance("h2", false);
    ASSERT_TRUE(RunUntil(io, [&] { return !second.maintained.empty() && !first.maintained.empty(); }));
    EXPECT_EQ(second.maintained[0], "-h1");
    EXPECT_EQ(first.maintained[0], "+h2");
  }
  ASSERT_TRUE(RunUntil(io, [&] { return first.abandoned == 1; }));
  EXPECT_FALSE(old.successor_serving());
  EXPECT_FALSE(old.PassClientConnection(0, ""));
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
