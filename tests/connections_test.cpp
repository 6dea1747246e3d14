// One client that behaves badly with its connections, beside one that doesn't: what the usual one is served
// with it and without it, in one run. Prints a table.
#include <gtest/gtest.h>

#include <cstdio>

#include "raw_peers.hpp"
#include "world.hpp"

namespace meadowyard::testing {
namespace {

enum class Habit { kSilent, kSlowBodies, kSlowReaders, kPipelines, kHalfTunnels, kStalledTunnels };

struct Case {
  const char* name;
  Habit habit;
  int connections;
};
void PrintTo(const Case& c, std::ostream* out) { *out << c.name; }

class Connections : public ::testing::TestWithParam<Case> {
 protected:
  static constexpr int kCalls = 150;
  static std::string Edge() {
    return "[tunnels]\nclass = \"tunnel\"\nmost = 50\n[[listener]]\nprotocol = \"connect\"\naddress = "
           "\"127.0.0.1:0\"\n[[pool]]\nname = \"fleet\"\ndiscovered = true\n[[route]]\nname = \"one\"\nto = "
           "\"one.internal\"\npool = \"fleet\"\n[default]\ndeny = true\n";
  }
  // Of so many calls one after the other, each on a new connection: those that were served, and the longest.
  std::pair<int, double> Usual(const std::string& name) {
    int served = 0;
    double longest = 0;
    for (int i = 0; i < kCalls; ++i) {
      const auto from = std::chrono::steady_clock::now();
      const auto client = world.Connect();
      client->Send(ApiCall(name + std::to_string(i), i % 3 == 0 ? "pay" : "view"));
      served += client->Await().result_int() == 200;
      const std::chrono::duration<double, std::milli> took = std::chrono::steady_clock::now() - from;
      longest = std::max(longest, took.count());
    }
    return {served, longest};
  }
  void Misbehave(const Case& c) {
    for (int i = 0; i < c.connections; ++i) {
      const bool tunnels = c.habit == Habit::kHalfTunnels || c.habit == Habit::kStalledTunnels;
      const auto at = tunnels ? world.gateway->edge().front().addresses()[0] : world.gateway->address();
      bad.push_back(RawConnect(world.io, at));
      const std::string id = "bad" + std::to_string(i);
      switch (c.habit) {
        case Habit::kSilent: break;
        case Habit::kSlowBodies:
          bad.back()->Say("POST /api HTTP/1.1\r\nHost: b\r\nReq-Id: " + id +
                          "\r\nReq-Kind: pay\r\nReq-Deadline: 5000m\r\nContent-Length: 60000\r\n\r\nslow");
          break;
        case Habit::kSlowReaders:
          bad.back()->reads = false;
          bad.back()->Say(ApiCall(id, "view", "5000m", "", "Req-Key: long\r\n"));
          break;
        case Habit::kPipelines:
          for (int k = 0; k < 100; ++k) bad.back()->Say(ApiCall(id + "-" + std::to_string(k)));
          break;
        case Habit::kHalfTunnels: bad.back()->Say("CONNECT one.int"); break;
        case Habit::kStalledTunnels:
          bad.back()->reads = false;
          bad.back()->Say(ConnectCall("one.internal:443") + std::string(60000, 'x'));
          break;
      }
      world.io.poll();
    }
  }

  World world{2, TestSettings(), 600, false, Edge()};
  std::vector<std::shared_ptr<RawEnd>> bad;
};

TEST_P(Connections, OfOneLeaveTheOthersTheirs) {
  const Case& c = GetParam();
  for (const auto& host : world.hosts) {
    host->serve = [](const Peer::Taken& taken) {
      taken.Answer(200, std::string(taken.http["Req-Key"] == "long" ? 3000000 : 10, 'y'));
    };
  }
  const auto without = Usual("before");
  Misbehave(c);
  const auto with = Usual("beside");
  std::printf("| %s, %d connections | %d of %d | %d of %d | %.0f ms | %.0f ms |\n", c.name, c.connections,
              without.first, kCalls, with.first, kCalls, without.second, with.second);
  EXPECT_EQ(without.first, kCalls);
  EXPECT_GE(with.first, kCalls * 95 / 100);
}

INSTANTIATE_TEST_SUITE_P(Beside, Connections,
                         ::testing::Values(Case{"Silent", Habit::kSilent, 400},
                                           Case{"SlowBodies", Habit::kSlowBodies, 250},
                                           Case{"SlowReaders", Habit::kSlowReaders, 60},
                                           Case{"Pipelines", Habit::kPipelines, 5},
                                           Case{"HalfTunnels", Habit::kHalfTunnels, 300},
                                           Case{"StalledTunnels", Habit::kStalledTunnels, 60}),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace meadowyard::testing
