// News of the hosts within the platform's 6 s, whatever became of a call: through sockets, discovery being a
// stand-in that holds back what the case says.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <unistd.h>

#include <thread>

#include "core/clock.hpp"
#include "discovery/times.hpp"
#include "world.hpp"

namespace meadowyard::testing {
namespace {

enum class Silence { kOfAWatch, kFromTheFirstByte, kInAnAnswer, kTrickles };
constexpr const char* kSilences[] = {"OfAWatch", "FromTheFirstByte", "InAnAnswer", "Trickles"};

class SilentDiscovery : public ::testing::TestWithParam<Silence> {};

// Guards hosts that were announced as leaving against requests of a gateway whose watch has fallen silent.
// The silence begins with the call: no later than that can a change be missed.
TEST_P(SilentDiscovery, IsGivenUpInTimeForTheNews) {
  World world(2);
  Peer& discovery = world.discovery;
  for (auto& host : world.hosts) host->serve = [](const Peer::Taken& taken) { taken.Answer(200, ""); };
  ASSERT_TRUE(world.Until([&] { return discovery.requests.size() == 1; }));
  if (GetParam() != Silence::kFromTheFirstByte) {
    discovery.requests[0].Answer(200, List(42, false, {}).dump());
    ASSERT_TRUE(world.Until([&] { return discovery.requests.size() == 2; }));
  }
  const Millis silent_at = core::Now();
  const std::size_t calls = discovery.requests.size();
  const auto silent = discovery.requests.back().on;
  const bool trickles = GetParam() == Silence::kTrickles;
  if (trickles || GetParam() == Silence::kInAnAnswer) {
    silent->Raw("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n{\"revision\":");
  }
  Millis said_at = 0;
  ASSERT_TRUE(world.Until([&] {
    if (trickles && core::Now() - said_at > 20) silent->Raw(" "), said_at = core::Now();
    return discovery.requests.size() > calls;
  }));
  EXPECT_NE(discovery.requests.back().on, silent) << "what is broken is opened anew";
  discovery.requests.back().Answer(
      200, List(43, false, {Member("h0", world.host(0).address(), "draining")}).dump());
  ASSERT_TRUE(world.Until([&] { return discovery.requests.size() > calls + 1; }));
  EXPECT_LE(core::Now() - silent_at, discovery::kNotificationTime);
  const auto client = world.Connect();
  const std::size_t before = world.host(0).requests.size();
  for (std::size_t i = 1; i <= 20; ++i) {
    client->Send(ApiCall("r" + std::to_string(i)));
    EXPECT_EQ(client->Await(i).result(), http::status::ok);
  }
  EXPECT_EQ(world.host(0).requests.size(), before);
}

INSTANTIATE_TEST_SUITE_P(Is, SilentDiscovery,
                         ::testing::Values(Silence::kOfAWatch, Silence::kFromTheFirstByte,
                                           Silence::kInAnAnswer, Silence::kTrickles),
                         [](const auto& info) { return kSilences[static_cast<int>(info.param)]; });

// Guards a process that was stopped: its dial had come up in time, though the time to wait for it is over
// when the loop runs again. Both are ready in one turn of the loop, the connection first.
TEST(DiscoveryDial, ThatCameUpIsKeptThoughItsTimerIsDue) {
  World world;
  std::this_thread::sleep_for(
      std::chrono::milliseconds(static_cast<int>(discovery::kConnectTimeout) + 100));  // SIGSTOP's part
  ASSERT_TRUE(world.Until([&] { return world.discovery.requests.size() == 1; }));
  world.discovery.requests[0].Answer(200, List(42, false, {}).dump());
  ASSERT_TRUE(world.Until([&] { return world.discovery.requests.size() == 2; }));
  EXPECT_EQ(world.discovery.connections.size(), 1u);
  EXPECT_EQ(world.discovery.requests[1].on, world.discovery.requests[0].on);
}

// Guards a discovery that answers against a loop that stands still when the time of a call runs out: the
// answer lies in the socket, in more pieces than one turn reads.
TEST(DiscoveryCall, ThatWasAnsweredIsKeptThoughItsTimerIsDue) {
  constexpr Millis kStandsStill = 400;  // too short for a pause that has discovery asked anew
  World world;
  ASSERT_TRUE(world.Until([&] { return world.discovery.requests.size() == 1; }));
  const Millis asked_at = core::Now();
  ASSERT_TRUE(
      world.Until([&] { return core::Now() - asked_at > discovery::kFirstPollTimeout - kStandsStill / 2; }));
  std::vector<nlohmann::json> members;
  for (int i = 0; i < 300; ++i) members.push_back(Member("m" + std::to_string(i), Loopback(9)));
  const std::string body = List(42, true, members).dump();
  error_code ec;
  asio::write(
      world.discovery.requests[0].on->socket,
      asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body),
      ec);
  ASSERT_FALSE(ec);
  std::this_thread::sleep_for(std::chrono::milliseconds(static_cast<int>(kStandsStill)));
  ASSERT_TRUE(world.Until([&] { return world.discovery.requests.size() == 2; }));
  EXPECT_EQ(world.discovery.connections.size(), 1u);
  EXPECT_NE(world.discovery.requests[1].http.target().find("after=42"), std::string::npos);
}

// Guards what is learned of hosts that leave against clients that hold every other descriptor: the next
// connection's is there when the last one breaks, whoever takes all that are free just then.
TEST(DiscoveryDial, HasADescriptorWhenThereIsNoneLeft) {
  asio::io_context io;
  Peer peer(io);
  rlimit before{};
  ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &before), 0);
  std::vector<int> taken;
  const auto take_all = [&] {
    for (int fd = 0; (fd = ::open("/dev/null", O_RDONLY | O_CLOEXEC)) >= 0;) taken.push_back(fd);
  };
  int failed = 0;
  meadowyard::discovery::DiscoveryClient* asked = nullptr;
  meadowyard::discovery::DiscoveryClient discovery(io, peer.address(), 41,
                                                   {[](const meadowyard::discovery::EndpointList&) {},
                                                    [&] {
                                                      ++failed;
                                                      take_all();
                                                      asked->Start();
                                                      ::close(taken.back());  // that the stand-in may accept
                                                      taken.pop_back();
                                                    }});
  asked = &discovery;
  discovery.Start();
  ASSERT_TRUE(RunUntil(io, [&] { return peer.requests.size() == 1; }));
  const int next = ::dup(0);
  ::close(next);
  const rlimit few{static_cast<rlim_t>(next) + 10, before.rlim_max};
  ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &few), 0);
  take_all();
  peer.requests[0].on->Close();
  EXPECT_TRUE(RunUntil(io, [&] { return peer.requests.size() == 2 || failed > 1; }));
  EXPECT_EQ(failed, 1);
  for (const int fd : taken) ::close(fd);
  setrlimit(RLIMIT_NOFILE, &before);
}

// Guards against changes to another list than the one that is held: hosts that left in between would stay.
TEST(DiscoveryChanges, ThatDoNotFollowAreAskedForAsAWholeList) {
  World world(2);
  Peer& discovery = world.discovery;
  ASSERT_TRUE(world.Until([&] { return discovery.requests.size() == 1; }));
  discovery.requests[0].Answer(200, List(7, false, {}).dump());  // after 41
  ASSERT_TRUE(world.Until([&] { return discovery.requests.size() == 2; }));
  EXPECT_EQ(discovery.requests[1].http.target(), "/discovery/hosts");
  discovery.requests[1].Answer(200, List(8, false, {Member("h1", world.host(1).address())}).dump());
  ASSERT_TRUE(world.Until([&] { return discovery.requests.size() == 3; }));
  EXPECT_EQ(discovery.requests[2].http.target(), "/discovery/hosts") << "changes where all was asked for";
  discovery.requests[2].Answer(200, List(8, true, {Member("h1", world.host(1).address())}).dump());
  ASSERT_TRUE(world.Until([&] { return discovery.requests.size() == 4; }));
  EXPECT_EQ(std::string(discovery.requests[3].http.target()).find("/discovery/hosts?after=8&"), 0u);
}

}  // namespace
}  // namespace meadowyard::testing
