// Clients beyond what there are places for: what closing them costs, and what is known of those that waited.
#include <gtest/gtest.h>
#include <sys/ioctl.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <cstdarg>
#include <string>

#include "raw_peers.hpp"
#include "world.hpp"

namespace {

std::size_t sockets_asked = 0;  // whether anything lies unread in them

}  // namespace

// In place of the C library's, for this program: counts, and calls the kernel.
extern "C" int ioctl(int fd, unsigned long request, ...) noexcept {
  va_list rest;
  va_start(rest, request);
  void* const argument = va_arg(rest, void*);
  va_end(rest);
  sockets_asked += request == FIONREAD;
  return static_cast<int>(::syscall(SYS_ioctl, fd, request, argument));
}

namespace meadowyard::testing {
namespace {

// Guards the core of a gateway that a crowd comes to: room for one more is made by asking the kernel about
// that one, not about hundreds, also where many have sent what is yet to be read.
TEST(Crowd, IsMadeRoomForByAskingOfFewConnections) {
  World world(1, TestSettings(), 400);
  const std::size_t places = meadowyard::ComputeBudget({400, 128, false}).client_sessions;
  const auto up = [&] {  // an answer that came behind all that was sent before
    Client client(world.io, world.gateway->address());
    client.Send("GET /up HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_EQ(client.Await().result_int(), 200u);
  };
  std::vector<std::shared_ptr<RawEnd>> crowd;
  while (crowd.size() < places) {
    crowd.push_back(RawConnect(world.io, world.gateway->address()));
    if (crowd.size() % 16 == 0) up();
  }
  up();
  for (const auto& one : crowd) {
    error_code ignored;
    asio::write(one->socket, asio::buffer(std::string("GET /api HTTP/1.1\r\nReq-")), ignored);
  }
  constexpr std::size_t kMore = 50, kMostEach = 4;
  sockets_asked = 0;
  std::vector<std::shared_ptr<RawEnd>> more;
  for (std::size_t i = 0; i < kMore; ++i) more.push_back(RawConnect(world.io, world.gateway->address()));
  up();
  EXPECT_LE(sockets_asked, kMostEach * (kMore + 1)) << "with " << places << " places";
  EXPECT_GT(sockets_asked, 0u) << "none is closed unasked";
}

// Guards hosts against being told more time than is left to a client that waited for its place, unseen: its
// first attempt may have all of its time, a further one what is sure.
TEST(Crowd, WhoWaitedForAPlaceHasForAFurtherAttemptWhatIsSure) {
  constexpr Millis kAllowed = 3000, kWaits = 400;
  World world(2, TestSettings(), 10);  // 3 places for clients, 2 for connections to hosts
  std::vector<Millis> told;
  bool held = true;
  for (auto& host : world.hosts) {
    host->serve = [&](const Peer::Taken& taken) {
      if (taken.http["Req-Id"] != "waits") return held ? void() : taken.Answer(200, "");
      told.push_back(std::stod(std::string(taken.http["Req-Deadline"])));
      told.size() == 1 ? taken.on->Reset() : taken.Answer(200, "");
    };
  }
  std::vector<std::unique_ptr<Client>> before;
  for (int i = 0; i < 3; ++i) {
    before.push_back(world.Connect());
    before.back()->Send(ApiCall("held" + std::to_string(i), "pay", "20000m"));
  }
  ASSERT_TRUE(
      world.Until([&] { return world.host(0).requests.size() + world.host(1).requests.size() == 2; }));
  const auto waits = world.Connect();
  waits->Send(ApiCall("waits", "view", std::to_string(static_cast<int>(kAllowed)) + "m"));
  const Millis from = core::Now();
  ASSERT_TRUE(world.Until([&] { return core::Now() - from > kWaits; }));
  ASSERT_TRUE(told.empty()) << "it has no place yet";
  held = false;
  for (auto& host : world.hosts) {
    for (const Peer::Taken& taken : host->requests) taken.Answer(200, "");
  }
  EXPECT_EQ(waits->Await().result_int(), 200u);
  ASSERT_EQ(told.size(), 2u);
  EXPECT_GT(told[0], kAllowed - kWaits);
  EXPECT_LE(told[1], kAllowed - kWaits);
}

}  // namespace
}  // namespace meadowyard::testing
