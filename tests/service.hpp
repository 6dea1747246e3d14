// Runs the program with scripted hosts and a scripted discovery, for tests.
#ifndef MEADOWYARD_TESTS_SERVICE_HPP_
#define MEADOWYARD_TESTS_SERVICE_HPP_

#include <gtest/gtest.h>

#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "peers.hpp"
#include "process.hpp"

namespace meadowyard::testing {

// Two scripted hosts, a scripted discovery and a directory for the program's files. Starts the program with
// an admin server, any number of times: further instances are successors of a hot restart.
struct ProgramHarness {
  ProgramHarness() {
    char name[] = "/tmp/meadowyard-XXXXXX";
    directory = mkdtemp(name);
    for (int i = 0; i < 2; ++i) {
      hosts.push_back(std::make_unique<Peer>(io));
      hosts.back()->serve = [](const Peer::ReceivedRequest& request) {
        if (request.http["Req-Key"] != "keep") request.Answer(200, std::string(request.http["Req-Id"]));
      };
    }
    listen_address = FreePort();
    config = {
        {"seed", "1f"},
        {"discovery", ToText(discovery.address())},
        {"known", List(1, true, {Member("h0", hosts[0]->address()), Member("h1", hosts[1]->address())})},
        {"settings", TestSettings()}};
    WriteConfig(config.dump());
  }
  ~ProgramHarness() {
    std::remove((directory + "/config.json").c_str());
    std::remove((directory + "/meadowyard-" + listen_address.address().to_string() + "-" +
                 std::to_string(listen_address.port()))
                    .c_str());
    rmdir(directory.c_str());
  }
  tcp::endpoint FreePort() { return Loopback(FreePortNumber()); }
  void WriteConfig(const std::string& text) const { std::ofstream(directory + "/config.json") << text; }

  struct ProgramInstance {
    std::unique_ptr<Process> process;
    tcp::endpoint admin_address;
  };
  // Starts the program and waits until its admin server answers. `before_exec` runs in the child process,
  // immediately before the program is executed.
  ProgramInstance Start(const std::function<void()>& before_exec = nullptr, const std::string& tmpdir = "") {
    ProgramInstance instance;
    instance.admin_address = FreePort();
    instance.process = std::make_unique<Process>(
        std::vector<std::pair<std::string, std::string>>{{"NODE_CONFIG", directory + "/config.json"},
                                                         {"NODE_LISTEN", ToText(listen_address)},
                                                         {"NODE_ADMIN", ToText(instance.admin_address)},
                                                         {"NODE_DISCOVERY", ToText(discovery.address())},
                                                         {"TMPDIR", tmpdir.empty() ? directory : tmpdir}},
        before_exec);
    EXPECT_TRUE(RunUntil(io, [&] { return CallAdmin(instance, "GET /status") == 200; }));
    return instance;
  }
  // The HTTP status of an operator's call; 0 if no connection can be opened.
  unsigned CallAdmin(const ProgramInstance& instance, const std::string& call, std::string* body = nullptr) {
    error_code ec;
    tcp::socket probe(io);
    probe.connect(instance.admin_address, ec);
    if (ec) {
      usleep(2000);
      return 0;
    }
    Client client(io, instance.admin_address);
    client.Send(call + " HTTP/1.1\r\nHost: a\r\n\r\n");
    if (body != nullptr) *body = client.Await().body();
    return client.Await().result_int();
  }
  nlohmann::json Metrics(const ProgramInstance& instance) {
    std::string body;
    EXPECT_EQ(CallAdmin(instance, "GET /status/metrics", &body), 200u);
    return nlohmann::json::parse(body);
  }
  // How many requests the host has received.
  std::size_t RequestCount(std::size_t host) const { return hosts[host]->requests.size(); }

  asio::io_context io;
  Peer discovery{io};
  std::vector<std::unique_ptr<Peer>> hosts;
  std::string directory;
  tcp::endpoint listen_address;
  nlohmann::json config;
};

}  // namespace meadowyard::testing

#endif  // MEADOWYARD_TESTS_SERVICE_HPP_
