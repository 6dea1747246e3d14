/// @file
/// A client that misuses its connections, next to a normal client: compares what the normal client is served
/// without and with the other client, in one run. Prints a table row per case.
#include <gtest/gtest.h>

#include <cstdio>

#include "raw_peers.hpp"
#include "world.hpp"

namespace meadowyard::testing {
namespace {

enum class Misbehaviour {
  kSilentConnections,
  kSlowBodies,
  kSlowReaders,
  kPipelinedRequests,
  kIncompleteConnects,
  kStalledTunnels
};

struct Case {
  const char* name;
  Misbehaviour misbehaviour;
  int connections;
};
void PrintTo(const Case& c, std::ostream* out) { *out << c.name; }

class Connections : public ::testing::TestWithParam<Case> {
 protected:
  static constexpr int kRequestsPerRun = 150;
  static std::string EdgeConfiguration() {
    return "[tunnels]\nclass = \"tunnel\"\nmost = 50\n[[listener]]\nprotocol = \"connect\"\naddress = "
           "\"127.0.0.1:0\"\n[[pool]]\nname = \"fleet\"\ndiscovered = true\n[[route]]\nname = \"one\"\nto = "
           "\"one.internal\"\npool = \"fleet\"\n[default]\ndeny = true\n";
  }
  // Sends kRequestsPerRun requests one after another, each on a new connection. Returns the number that was
  // served and the longest response time in milliseconds.
  std::pair<int, double> MeasureNormalClient(const std::string& name) {
    int served = 0;
    double longest = 0;
    for (int i = 0; i < kRequestsPerRun; ++i) {
      const auto started_at = std::chrono::steady_clock::now();
      const auto client = world.Connect();
      client->Send(ApiCall(name + std::to_string(i), i % 3 == 0 ? "pay" : "view"));
      served += client->Await().result_int() == 200;
      const std::chrono::duration<double, std::milli> elapsed = std::chrono::steady_clock::now() - started_at;
      longest = std::max(longest, elapsed.count());
    }
    return {served, longest};
  }
  void OpenMisbehavingConnections(const Case& c) {
    for (int i = 0; i < c.connections; ++i) {
      const bool is_tunnel = c.misbehaviour == Misbehaviour::kIncompleteConnects ||
                             c.misbehaviour == Misbehaviour::kStalledTunnels;
      const auto gateway_address =
          is_tunnel ? world.gateway->edge().front().addresses()[0] : world.gateway->address();
      misbehaving_connections.push_back(RawConnect(world.io, gateway_address));
      const std::string id = "bad" + std::to_string(i);
      switch (c.misbehaviour) {
        case Misbehaviour::kSilentConnections: break;
        case Misbehaviour::kSlowBodies:
          misbehaving_connections.back()->SendBytes(
              "POST /api HTTP/1.1\r\nHost: b\r\nReq-Id: " + id +
              "\r\nReq-Kind: pay\r\nReq-Deadline: 5000m\r\nContent-Length: 60000\r\n\r\nslow");
          break;
        case Misbehaviour::kSlowReaders:
          misbehaving_connections.back()->reads_enabled = false;
          misbehaving_connections.back()->SendBytes(ApiCall(id, "view", "5000m", "", "Req-Key: long\r\n"));
          break;
        case Misbehaviour::kPipelinedRequests:
          for (int k = 0; k < 100; ++k)
            misbehaving_connections.back()->SendBytes(ApiCall(id + "-" + std::to_string(k)));
          break;
        case Misbehaviour::kIncompleteConnects:
          misbehaving_connections.back()->SendBytes("CONNECT one.int");
          break;
        case Misbehaviour::kStalledTunnels:
          misbehaving_connections.back()->reads_enabled = false;
          misbehaving_connections.back()->SendBytes(ConnectCall("one.internal:443") +
                                                    std::string(60000, 'x'));
          break;
      }
      world.io.poll();
    }
  }

  World world{2, TestSettings(), 600, false, EdgeConfiguration()};
  std::vector<std::shared_ptr<RawEnd>> misbehaving_connections;
};

// Guards against one client that exhausts connections, buffers or tunnels of the gateway and so keeps others
// from being served: at least 95 % of the normal client's requests must still succeed.
TEST_P(Connections, OfAMisbehavingClientDoNotDegradeANormalClient) {
  const Case& c = GetParam();
  for (const auto& host : world.hosts) {
    host->serve = [](const Peer::ReceivedRequest& taken) {
      taken.Answer(200, std::string(taken.http["Req-Key"] == "long" ? 3000000 : 10, 'y'));
    };
  }
  const auto baseline = MeasureNormalClient("before");
  OpenMisbehavingConnections(c);
  const auto with_misbehaviour = MeasureNormalClient("beside");
  std::printf("| %s, %d connections | %d of %d | %d of %d | %.0f ms | %.0f ms |\n", c.name, c.connections,
              baseline.first, kRequestsPerRun, with_misbehaviour.first, kRequestsPerRun, baseline.second,
              with_misbehaviour.second);
  EXPECT_EQ(baseline.first, kRequestsPerRun);
  EXPECT_GE(with_misbehaviour.first, kRequestsPerRun * 95 / 100);
}

INSTANTIATE_TEST_SUITE_P(Misbehaving, Connections,
                         ::testing::Values(Case{"Silent", Misbehaviour::kSilentConnections, 400},
                                           Case{"SlowBodies", Misbehaviour::kSlowBodies, 250},
                                           Case{"SlowReaders", Misbehaviour::kSlowReaders, 60},
                                           Case{"Pipelines", Misbehaviour::kPipelinedRequests, 5},
                                           Case{"HalfTunnels", Misbehaviour::kIncompleteConnects, 300},
                                           Case{"StalledTunnels", Misbehaviour::kStalledTunnels, 60}),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace meadowyard::testing
