// A complete gateway with scripted discovery and hosts, for end-to-end tests within one process.
#ifndef MEADOWYARD_TESTS_WORLD_HPP_
#define MEADOWYARD_TESTS_WORLD_HPP_

#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "app/service.hpp"
#include "config/config.hpp"
#include "core/clock.hpp"
#include "peers.hpp"

namespace meadowyard::testing {

// A gateway with its scripted discovery server and hosts, all on one event loop.
struct World {
  // Starts the gateway; its configuration lists the hosts h0, h1 ... as known. `edge_text` is the text of an
  // edge configuration file, or empty for none.
  explicit World(std::size_t host_count = 1, nlohmann::json settings = TestSettings(),
                 std::size_t socket_limit = 300, bool enable_admin = false,
                 const std::string& edge_text = "") {
    std::vector<nlohmann::json> members;
    for (std::size_t i = 0; i < host_count; ++i) {
      hosts.push_back(std::make_unique<Peer>(io));
      members.push_back(Member("h" + std::to_string(i), hosts.back()->address()));
    }
    const nlohmann::json file = {{"seed", "5"},
                                 {"limits", {{"sockets", socket_limit}}},
                                 {"known", List(41, true, members)},
                                 {"settings", std::move(settings)}};
    const std::string path = ::testing::TempDir() + "meadowyard-" + std::to_string(getpid()) + ".json";
    std::ofstream(path) << file;
    std::map<std::string, std::string> variables = {{"NODE_CONFIG", path},
                                                    {"NODE_LISTEN", "127.0.0.1:0"},
                                                    {"NODE_DISCOVERY", ToText(discovery.address())}};
    if (enable_admin) variables["NODE_ADMIN"] = "127.0.0.1:0";
    config = meadowyard::config::LoadConfiguration([&](const char* name) {
      const auto found = variables.find(name);
      return found == variables.end() ? nullptr : found->second.c_str();
    });
    std::remove(path.c_str());
    std::shared_ptr<const meadowyard::EdgeConfig> edge_config;
    if (!edge_text.empty()) {
      edge_config =
          std::make_shared<const meadowyard::EdgeConfig>(meadowyard::ParseEdge("edge.toml", edge_text));
    }
    gateway.emplace(io, config, edge_config);
  }

  // Runs the event loop until `condition` returns true; fails after the time-out of RunUntil.
  template <typename Condition>
  ::testing::AssertionResult Until(Condition condition) {
    if (RunUntil(io, condition)) return ::testing::AssertionSuccess();
    return ::testing::AssertionFailure() << "the condition did not become true within 30 s";
  }

  // Sets the host list that discovery serves from now on. A pending long poll is answered at once; if the
  // gateway has abandoned it, its next poll gets the list.
  void SetDiscoveredHosts(int revision, std::vector<nlohmann::json> members, bool complete = false) {
    discovery_response = List(revision, complete, std::move(members));
    const auto answer_poll = [this](const Peer::ReceivedRequest& call) {
      const std::string target(call.http.target());
      const std::size_t after = target.find("after=");
      const bool is_up_to_date =
          after != std::string::npos && std::stoi(target.substr(after + 6)) >= discovery_response["revision"];
      if (!is_up_to_date) call.Answer(200, discovery_response.dump());
    };
    if (!discovery.requests.empty()) answer_poll(discovery.requests.back());
    discovery.serve = answer_poll;
  }
  // Waits for twice the idle time after which the gateway reuses a connection to a host. The gateway leaves a
  // connection idle that long in case the host sends a surplus response.
  void WaitUntilConnectionsReusable() {
    const Millis until = core::Now() + 2 * meadowyard::HostPool::Limits().min_idle_before_reuse;
    EXPECT_TRUE(Until([&] { return core::Now() > until; }));
  }
  std::unique_ptr<Client> Connect() { return std::make_unique<Client>(io, gateway->address()); }
  Peer& host(std::size_t i = 0) { return *hosts[i]; }
  // Fetches the metrics from the admin listener; requires that the World was created with `enable_admin`.
  nlohmann::json ReadMetrics() {
    Client caller(io, gateway->admin_address());
    caller.Send("GET /status/metrics HTTP/1.1\r\nHost: x\r\n\r\n");
    return nlohmann::json::parse(caller.Await().body());
  }

  asio::io_context io;
  Peer discovery{io};
  std::vector<std::unique_ptr<Peer>> hosts;
  nlohmann::json discovery_response;
  meadowyard::config::Configuration config;
  std::optional<meadowyard::app::Service> gateway;
};

}  // namespace meadowyard::testing

#endif  // MEADOWYARD_TESTS_WORLD_HPP_
