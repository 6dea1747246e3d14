// A gateway among scripted peers, for tests that look at the whole of it.
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

// One gateway, its discovery and some hosts.
struct World {
  // Starts the gateway, which knows hosts h0, h1 ... from its configuration.
  explicit World(std::size_t hosts_wanted = 1, nlohmann::json settings = TestSettings(),
                 std::size_t sockets = 300, bool admin = false, const std::string& edge = "") {
    std::vector<nlohmann::json> members;
    for (std::size_t i = 0; i < hosts_wanted; ++i) {
      hosts.push_back(std::make_unique<Peer>(io));
      members.push_back(Member("h" + std::to_string(i), hosts.back()->address()));
    }
    const nlohmann::json file = {{"seed", "5"},
                                 {"limits", {{"sockets", sockets}}},
                                 {"known", List(41, true, members)},
                                 {"settings", std::move(settings)}};
    const std::string path = ::testing::TempDir() + "meadowyard-" + std::to_string(getpid()) + ".json";
    std::ofstream(path) << file;
    std::map<std::string, std::string> variables = {{"NODE_CONFIG", path},
                                                    {"NODE_LISTEN", "127.0.0.1:0"},
                                                    {"NODE_DISCOVERY", ToText(discovery.address())}};
    if (admin) variables["NODE_ADMIN"] = "127.0.0.1:0";
    config = meadowyard::config::LoadConfiguration([&](const char* name) {
      const auto found = variables.find(name);
      return found == variables.end() ? nullptr : found->second.c_str();
    });
    std::remove(path.c_str());
    std::shared_ptr<const meadowyard::EdgeConfig> file_of_operators;
    if (!edge.empty()) {
      file_of_operators =
          std::make_shared<const meadowyard::EdgeConfig>(meadowyard::ParseEdge("edge.toml", edge));
    }
    gateway.emplace(io, config, file_of_operators);
  }

  template <typename Done>
  ::testing::AssertionResult Until(Done done) {
    if (RunUntil(io, done)) return ::testing::AssertionSuccess();
    return ::testing::AssertionFailure() << "did not come about";
  }

  // What discovery has from now on: told to the call that waits, or to the next one where that was given up.
  void Tell(int revision, std::vector<nlohmann::json> members, bool complete = false) {
    news = List(revision, complete, std::move(members));
    const auto tell = [this](const Peer::Taken& call) {
      const std::string target(call.http.target());
      const std::size_t after = target.find("after=");
      const bool knows =
          after != std::string::npos && std::stoi(target.substr(after + 6)) >= news["revision"];
      if (!knows) call.Answer(200, news.dump());
    };
    if (!discovery.requests.empty()) tell(discovery.requests.back());
    discovery.serve = tell;
  }
  // Until connections to hosts have rested for as long as a second answer may take: then they are used again.
  void LetHostsRest() {
    const Millis until = core::Now() + 2 * meadowyard::HostPool::Limits().min_idle_before_reuse;
    EXPECT_TRUE(Until([&] { return core::Now() > until; }));
  }
  std::unique_ptr<Client> Connect() { return std::make_unique<Client>(io, gateway->address()); }
  Peer& host(std::size_t i = 0) { return *hosts[i]; }
  // As operators read them; the world needs its `admin`.
  nlohmann::json Figures() {
    Client caller(io, gateway->admin_address());
    caller.Send("GET /status/metrics HTTP/1.1\r\nHost: x\r\n\r\n");
    return nlohmann::json::parse(caller.Await().body());
  }

  asio::io_context io;
  Peer discovery{io};
  std::vector<std::unique_ptr<Peer>> hosts;
  nlohmann::json news;
  meadowyard::config::Configuration config;
  std::optional<meadowyard::app::Service> gateway;
};

}  // namespace meadowyard::testing

#endif  // MEADOWYARD_TESTS_WORLD_HPP_
