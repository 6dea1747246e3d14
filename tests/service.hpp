// The program with its hosts, discovery and operators, for tests.
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

// The real program with operators' calls, in a folder of its own, among scripted peers; and the next version.
struct Service {
  Service() {
    char name[] = "/tmp/meadowyard-XXXXXX";
    folder = mkdtemp(name);
    for (int i = 0; i < 2; ++i) {
      hosts.push_back(std::make_unique<Peer>(io));
      hosts.back()->serve = [](const Peer::Taken& taken) {
        if (taken.http["Req-Key"] != "keep") taken.Answer(200, std::string(taken.http["Req-Id"]));
      };
    }
    listen = FreePort();
    config = {
        {"seed", "1f"},
        {"discovery", ToText(discovery.address())},
        {"known", List(1, true, {Member("h0", hosts[0]->address()), Member("h1", hosts[1]->address())})},
        {"settings", TestSettings()}};
    Write(config.dump());
  }
  ~Service() {
    std::remove((folder + "/config.json").c_str());
    std::remove((folder + "/meadowyard-" + listen.address().to_string() + "-" + std::to_string(listen.port()))
                    .c_str());
    rmdir(folder.c_str());
  }
  tcp::endpoint FreePort() { return Loopback(FreePortNumber()); }
  void Write(const std::string& text) const { std::ofstream(folder + "/config.json") << text; }

  struct Version {
    std::unique_ptr<Process> process;
    tcp::endpoint admin;
  };
  // `prepare` runs in the new process before the program does.
  Version Start(const std::function<void()>& prepare = nullptr, const std::string& tmpdir = "") {
    Version version;
    version.admin = FreePort();
    version.process = std::make_unique<Process>(
        std::vector<std::pair<std::string, std::string>>{{"NODE_CONFIG", folder + "/config.json"},
                                                         {"NODE_LISTEN", ToText(listen)},
                                                         {"NODE_ADMIN", ToText(version.admin)},
                                                         {"NODE_DISCOVERY", ToText(discovery.address())},
                                                         {"TMPDIR", tmpdir.empty() ? folder : tmpdir}},
        prepare);
    EXPECT_TRUE(RunUntil(io, [&] { return Call(version, "GET /status") == 200; }));
    return version;
  }
  // The status of an operator's call; 0 if nobody answers.
  unsigned Call(const Version& version, const std::string& call, std::string* body = nullptr) {
    error_code ec;
    tcp::socket probe(io);
    probe.connect(version.admin, ec);
    if (ec) {
      usleep(2000);
      return 0;
    }
    Client client(io, version.admin);
    client.Send(call + " HTTP/1.1\r\nHost: a\r\n\r\n");
    if (body != nullptr) *body = client.Await().body();
    return client.Await().result_int();
  }
  nlohmann::json Figures(const Version& version) {
    std::string body;
    EXPECT_EQ(Call(version, "GET /status/metrics", &body), 200u);
    return nlohmann::json::parse(body);
  }
  std::size_t Sent(std::size_t host) const { return hosts[host]->requests.size(); }

  asio::io_context io;
  Peer discovery{io};
  std::vector<std::unique_ptr<Peer>> hosts;
  std::string folder;
  tcp::endpoint listen;
  nlohmann::json config;
};

}  // namespace meadowyard::testing

#endif  // MEADOWYARD_TESTS_SERVICE_HPP_
