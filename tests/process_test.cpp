// The program as a process: start and its errors, signals, shutdown, reload and hot restart.
#include "process.hpp"

#include <gtest/gtest.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "service.hpp"

namespace meadowyard::testing {
namespace {

// Guards operators against a deployment with an invalid configuration that fails without a usable message or
// leaves a gateway running: the program must exit with 1 and print one line that names the error.
TEST(Program, ExitsWithOneLineThatNamesTheConfigurationError) {
  const auto config = [](const std::function<void(nlohmann::json&)>& modify) {
    nlohmann::json file = {{"seed", "1f"}, {"settings", TestSettings()}};
    modify(file);
    return file.dump();
  };
  const std::vector<std::tuple<std::string, std::string, std::string>> cases = {
      {"{\"settings\":", "127.0.0.1:0", "NODE_CONFIG"},
      {config([](auto&) {}), "127.0.0.1", "NODE_LISTEN"},
      {config([](auto&) {}), "127.0.0.1:99999", "NODE_LISTEN"},
      {config([](auto& document) { document["seed"] = "xyz"; }), "127.0.0.1:0", "seed"},
      {config([](auto& document) { document.erase("settings"); }), "127.0.0.1:0", "settings"},
      {config([](auto& document) { document["settings"]["categories"] = nlohmann::json::array(); }),
       "127.0.0.1:0", "classes"},
      {config([](auto& document) { document["settings"]["categories"][1]["sloMs"] = "fast"; }), "127.0.0.1:0",
       "sloMs"},
      {config([](auto& document) { document["settings"]["limits"]["dialTimeoutMs"] = -1; }), "127.0.0.1:0",
       "dialTimeoutMs"},
      {config([](auto& document) { document["known"] = "nobody"; }), "127.0.0.1:0", "known"},
  };
  for (const auto& [text, listen_address, expected_text] : cases) {
    SCOPED_TRACE(expected_text + ": " + text);
    const TemporaryFile file(text);
    Process process(
        {{"NODE_CONFIG", file.path}, {"NODE_LISTEN", listen_address}, {"NODE_DISCOVERY", "127.0.0.1:1"}});
    EXPECT_EQ(process.Wait(), 1);
    const std::string errors = process.Errors();
    EXPECT_NE(errors.find(expected_text), std::string::npos) << errors;
    EXPECT_EQ(std::count(errors.begin(), errors.end(), '\n'), 1) << errors;
  }
  Process process({{"NODE_LISTEN", "127.0.0.1:0"}, {"NODE_DISCOVERY", "127.0.0.1:1"}});
  EXPECT_EQ(process.Wait(), 1);
  EXPECT_NE(process.Errors().find("NODE_CONFIG"), std::string::npos);
}

// Guards against a planned restart that loses a request: the platform sends SIGTERM while one is open.
TEST(Program, AnswersOpenRequestsOnSigtermAndExitsWithZero) {
  asio::io_context io;
  Peer host(io), discovery(io);
  const tcp::endpoint listen_address = Loopback(FreePortNumber());
  const nlohmann::json config = {
      {"seed", "1f"}, {"known", List(1, true, {Member("h0", host.address())})}, {"settings", TestSettings()}};
  const TemporaryFile file(config.dump());
  Process process({{"NODE_CONFIG", file.path},
                   {"NODE_LISTEN", ToText(listen_address)},
                   {"NODE_DISCOVERY", ToText(discovery.address())}});
  ASSERT_TRUE(RunUntil(io, [&] { return discovery.requests.size() == 1; }));  // the gateway listens by then
  Client client(io, listen_address);
  client.Send(ApiCall("r1", "pay"));
  ASSERT_TRUE(RunUntil(io, [&] { return host.requests.size() == 1; }));
  process.Terminate();
  // The host answers only after the gateway reports that it is stopping.
  bool stopping = false;
  for (int i = 0; i < 1000 && !stopping; ++i) {
    Client probe(io, listen_address);
    probe.Send("GET /up HTTP/1.1\r\n\r\n");
    stopping = probe.Await().result() == http::status::service_unavailable;
  }
  EXPECT_TRUE(stopping);
  host.requests[0].Answer(200, "done");
  EXPECT_EQ(client.Await().body(), "done");
  EXPECT_TRUE(client.AwaitEnd());
  EXPECT_TRUE(RunUntil(io, [&] { return process.Ended(); }));
  EXPECT_EQ(process.Wait(), 0);
}

// Guards against a graceful shutdown that further signals disturb: an accepted request must get exactly one
// answer, and the exit code must be 0. Without an endpoint list a request waits for a host and must be
// rejected before its deadline.
TEST(Program, AnswersOnceAndExitsWithZeroUnderRepeatedAndMixedSignals) {
  struct Case {
    const char* name;
    std::vector<int> signals;
    bool has_endpoints;
    unsigned status;
  };
  for (const Case& test_case : {Case{"SIGTERM twice", {SIGTERM, SIGTERM}, true, 200},
                                Case{"SIGHUP, then SIGTERM", {SIGHUP, SIGTERM}, true, 200},
                                Case{"SIGTERM, then SIGHUP", {SIGTERM, SIGHUP, SIGTERM}, true, 200},
                                Case{"SIGTERM before the first list", {SIGTERM}, false, 503}}) {
    SCOPED_TRACE(test_case.name);
    asio::io_context io;
    Peer host(io), discovery(io);
    const tcp::endpoint listen_address = Loopback(FreePortNumber());
    auto members = std::vector<nlohmann::json>();
    if (test_case.has_endpoints) members.push_back(Member("h0", host.address()));
    const nlohmann::json config = {{"seed", "1f"},
                                   {"discovery", ToText(discovery.address())},
                                   {"known", List(1, true, members)},
                                   {"settings", TestSettings()}};
    const TemporaryFile file(config.dump());
    Process process({{"NODE_CONFIG", file.path},
                     {"NODE_LISTEN", ToText(listen_address)},
                     {"NODE_DISCOVERY", ToText(discovery.address())}});
    ASSERT_TRUE(RunUntil(io, [&] { return !discovery.requests.empty(); }));  // the gateway listens by then
    Client client(io, listen_address);
    client.Send(ApiCall("r1", "pay", test_case.has_endpoints ? "15000m" : "2000m"));
    if (test_case.has_endpoints) {
      ASSERT_TRUE(RunUntil(io, [&] { return host.requests.size() == 1; }));
    } else {  // an answer to this later request shows that the first one was accepted
      Client probe(io, listen_address);
      probe.Send("GET /up HTTP/1.1\r\n\r\n");
      EXPECT_EQ(probe.Await().result_int(), 503u);
    }
    for (const int signal : test_case.signals) kill(process.id(), signal);
    bool stopping = !test_case.has_endpoints;
    for (int i = 0; i < 1000 && !stopping; ++i) {
      Client probe(io, listen_address);
      probe.Send("GET /up HTTP/1.1\r\n\r\n");
      stopping = probe.Await().result_int() == 503;
    }
    EXPECT_TRUE(stopping);
    if (test_case.has_endpoints) host.requests[0].Answer(200, "done");
    EXPECT_EQ(client.Await().result_int(), test_case.status);
    EXPECT_TRUE(client.AwaitEnd());
    EXPECT_EQ(client.answers().size(), 1u);
    client.CloseConnection();
    EXPECT_TRUE(RunUntil(io, [&] { return process.Ended(); }));
    EXPECT_EQ(process.Wait(), 0);
    EXPECT_LE(host.requests.size(), 1u);
  }
}

// Guards against gateways that wait for discovery when many restart at once: with the endpoint list of their
// configuration they must be ready within 10 s, though discovery is unreachable, never answers, or
// rejects every call.
TEST(Program, IsReadyWithin10sWithKnownEndpointsWhileDiscoveryFails) {
  enum class DiscoveryFault { kUnreachable, kNeverAnswers, kRejectsCalls };
  for (const DiscoveryFault fault :
       {DiscoveryFault::kUnreachable, DiscoveryFault::kNeverAnswers, DiscoveryFault::kRejectsCalls}) {
    asio::io_context io;
    Peer host(io), discovery(io);
    const std::string discovery_address = ToText(discovery.address());
    if (fault == DiscoveryFault::kUnreachable) discovery.StopListening();
    if (fault == DiscoveryFault::kRejectsCalls)
      discovery.serve = [](const Peer::ReceivedRequest& request) { request.Answer(503, ""); };
    const nlohmann::json config = {{"seed", "1f"},
                                   {"known", List(1, true, {Member("h0", host.address())})},
                                   {"settings", TestSettings()}};
    const TemporaryFile file(config.dump());
    constexpr int kProcessCount = 10, kMinReady = 9;
    std::vector<std::unique_ptr<Process>> processes;
    std::vector<tcp::endpoint> not_ready;
    const auto started_at = std::chrono::steady_clock::now();
    for (int i = 0; i < kProcessCount; ++i) {
      not_ready.push_back(Loopback(FreePortNumber()));
      processes.push_back(std::make_unique<Process>(
          std::vector<std::pair<std::string, std::string>>{{"NODE_CONFIG", file.path},
                                                           {"NODE_LISTEN", ToText(not_ready.back())},
                                                           {"NODE_DISCOVERY", discovery_address}}));
    }
    EXPECT_TRUE(RunUntil(io, [&] {
      std::erase_if(not_ready, [&](const tcp::endpoint& listen_address) {
        error_code ec;
        tcp::socket probe(io);
        probe.connect(listen_address, ec);
        if (ec) return false;
        Client client(io, listen_address);
        client.Send("GET /up HTTP/1.1\r\n\r\n");
        return client.Await().result() == http::status::ok;
      });
      return not_ready.size() <= kProcessCount - kMinReady;
    }));
    EXPECT_LT(std::chrono::steady_clock::now() - started_at, std::chrono::seconds(10));
  }
}

// Guards draining hosts against requests from a gateway that SIGSTOP has stalled. At SIGCONT, the requests
// were received before the endpoint update, or the update came while no poll was pending, or the poll that
// follows the stall fails.
TEST(Program, SendsNoRequestToDrainingHostAfterSigstopAndSigcont) {
  enum class UpdateArrival { kPendingInSocket, kNotYetPolled, kAfterFailedPoll };
  for (const UpdateArrival arrival :
       {UpdateArrival::kPendingInSocket, UpdateArrival::kNotYetPolled, UpdateArrival::kAfterFailedPoll}) {
    SCOPED_TRACE(static_cast<int>(arrival));
    ProgramHarness harness;
    auto instance = harness.Start();
    ASSERT_TRUE(RunUntil(harness.io, [&] { return harness.discovery.requests.size() == 1; }));
    const auto snapshot = [&](int revision, const char* phase) {
      return List(revision, true,
                  {Member("h0", harness.hosts[0]->address(), phase),
                   Member("h1", harness.hosts[1]->address())})
          .dump();
    };
    constexpr int kClientCount = 16;
    std::vector<std::unique_ptr<Client>> clients;
    for (int i = 0; i < kClientCount; ++i) {
      clients.push_back(std::make_unique<Client>(harness.io, harness.listen_address));
      clients.back()->Send("GET /up HTTP/1.1\r\n\r\n");
      ASSERT_EQ(clients.back()->Await().result_int(), 200u);
    }
    ASSERT_EQ(kill(instance.process->id(), SIGSTOP), 0);
    for (auto& client : clients) client->Send(ApiCall("r" + std::to_string(&client - clients.data()), "pay"));
    if (arrival == UpdateArrival::kPendingInSocket) {
      const std::string update = snapshot(50, "draining");
      error_code ec;
      asio::write(harness.discovery.requests.back().source_connection->socket,
                  asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(update.size()) +
                               "\r\n\r\n" + update),
                  ec);
      ASSERT_FALSE(ec);
    }
    bool fail_next_call = arrival == UpdateArrival::kAfterFailedPoll;
    harness.discovery.serve = [&](const Peer::ReceivedRequest& call) {
      if (std::exchange(fail_next_call, false)) return call.source_connection->Reset();
      if (call.http.target().find("after=50") == std::string::npos)
        call.Answer(200, snapshot(50, "draining"));
    };
    const auto stall_start = std::chrono::steady_clock::now();
    ASSERT_TRUE(RunUntil(harness.io, [&] {
      return std::chrono::steady_clock::now() - stall_start > std::chrono::milliseconds(1100);
    }));
    ASSERT_EQ(harness.RequestCount(0), 0u);
    kill(instance.process->id(), SIGCONT);
    for (auto& client : clients) EXPECT_EQ(client->Await(2).result_int(), 200u);
    EXPECT_EQ(harness.RequestCount(0), 0u);
    EXPECT_EQ(harness.RequestCount(1), static_cast<std::size_t>(kClientCount));
  }
}

// Guards against an answer that was cut off leaving no trace: the log tells why the attempt, and why the
// client's connection, was ended, with the request's id.
TEST(Program, LogsWhyAnAnswerWasCutOff) {
  ProgramHarness harness;
  for (const auto& host : harness.hosts) {
    host->serve = [](const Peer::ReceivedRequest& request) {
      request.source_connection->WriteRaw("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" +
                                          std::string(100000, 'x'));
    };
  }
  auto instance = harness.Start();
  Client client(harness.io, harness.listen_address);
  client.Send(ApiCall("cut", "pay"));
  ASSERT_TRUE(RunUntil(harness.io, [&] { return harness.RequestCount(0) + harness.RequestCount(1) == 1; }));
  harness.io.run_for(std::chrono::milliseconds(100));
  Peer& host = *harness.hosts[harness.RequestCount(0) == 1 ? 0 : 1];
  host.requests[0].source_connection->Reset();
  ASSERT_TRUE(client.AwaitEnd());
  const auto is_logged = [&](const std::string& text) {
    return RunUntil(harness.io, [&] { return instance.process->Errors().find(text) != std::string::npos; });
  };
  EXPECT_TRUE(is_logged("request=cut reason=connection_broken")) << instance.process->Errors();
  EXPECT_TRUE(is_logged("client_connection_ended request=cut reason=answer_truncated"))
      << instance.process->Errors();
  EXPECT_EQ(harness.Metrics(instance)["client_connection_ends"]["answer_truncated"], 1);
}

// Guards reloads by SIGHUP: the process must not end, an invalid file must change nothing and be logged in
// one line, and discovery's address in the file must take precedence over the environment, which still has
// the previous one.
TEST(Program, ReloadsConfigurationOnSighup) {
  asio::io_context io;
  Peer old_discovery(io), new_discovery(io);
  nlohmann::json config = {{"seed", "1f"}, {"listen", "127.0.0.1:0"}, {"settings", TestSettings()}};
  const TemporaryFile file(config.dump());
  Process process({{"NODE_CONFIG", file.path}, {"NODE_DISCOVERY", ToText(old_discovery.address())}});
  ASSERT_TRUE(RunUntil(io, [&] { return old_discovery.requests.size() == 1; }));
  const std::string start_log = process.Errors();
  EXPECT_EQ(std::count(start_log.begin(), start_log.end(), '\n'), 1) << start_log;
  std::ofstream(file.path) << "{\"discovery\":";
  process.HangUp();
  const auto reload_log = [&] { return process.Errors().substr(start_log.size()); };
  ASSERT_TRUE(RunUntil(io, [&] { return !reload_log().empty() && reload_log().back() == '\n'; }));
  const std::string errors = reload_log();
  EXPECT_EQ(std::count(errors.begin(), errors.end(), '\n'), 1) << errors;
  EXPECT_NE(errors.find("configuration_kept"), std::string::npos) << errors;
  EXPECT_FALSE(old_discovery.connections[0]->ended);
  config["discovery"] = ToText(new_discovery.address());
  std::ofstream(file.path) << config.dump();
  process.HangUp();
  ASSERT_TRUE(RunUntil(io, [&] { return new_discovery.requests.size() == 1; }));
  EXPECT_TRUE(RunUntil(io, [&] { return old_discovery.connections[0]->ended; }));
  process.HangUp();
  process.Terminate();
  process.HangUp();
  EXPECT_TRUE(RunUntil(io, [&] { return process.Ended(); }));
  EXPECT_EQ(process.Wait(), 0);
  EXPECT_EQ(new_discovery.requests.size(), 1u);
}

// Guards against a hot restart that loses requests under load, on existing or new connections. The
// predecessor must answer the requests that it has accepted and then exit. Maintenance must not end.
TEST(Program, HotRestartLosesNoRequest) {
  ProgramHarness harness;
  auto predecessor = harness.Start();
  EXPECT_EQ(harness.CallAdmin(predecessor, "PUT /maintenance/enter?target=h0"), 200u);
  Client keep_alive_client(harness.io, harness.listen_address),
      pending_client(harness.io, harness.listen_address),
      partial_request_client(harness.io, harness.listen_address);
  keep_alive_client.Send(ApiCall("k1"));
  EXPECT_EQ(keep_alive_client.Await().body(), "k1");
  pending_client.Send(ApiCall("b1", "pay", "9000m", "", "Req-Key: keep\r\n"));
  partial_request_client.Send("GET /api HTTP/1.1\r\nReq-Id: half\r\nReq-K");
  ASSERT_TRUE(RunUntil(harness.io, [&] { return harness.RequestCount(1) == 2; }));
  auto successor = harness.Start();
  EXPECT_EQ(harness.CallAdmin(successor, "PUT /maintenance/enter?target=nobody"), 404u);
  partial_request_client.Send("ind: view\r\nReq-Deadline: 5000m\r\n\r\n");
  EXPECT_EQ(partial_request_client.Await().body(), "half");
  for (std::size_t i = 2; i < 40; ++i) {
    if (i == 10) predecessor.process->Terminate();
    keep_alive_client.Send(ApiCall("k" + std::to_string(i)));
    EXPECT_EQ(keep_alive_client.Await(i).body(), "k" + std::to_string(i));
    Client new_client(harness.io, harness.listen_address);
    new_client.Send(ApiCall("f" + std::to_string(i)));
    EXPECT_EQ(new_client.Await().body(), "f" + std::to_string(i));
  }
  EXPECT_FALSE(predecessor.process->Ended()) << "a request is still unanswered";
  for (const auto& request : harness.hosts[1]->requests) {
    if (request.http["Req-Id"] == "b1") request.Answer(200, "b1");
  }
  EXPECT_EQ(pending_client.Await().body(), "b1");
  ASSERT_TRUE(RunUntil(harness.io, [&] { return predecessor.process->Ended(); }));
  EXPECT_EQ(predecessor.process->Wait(), 0);
  pending_client.Send(ApiCall("b2"));  // on a connection that was passed to the successor too
  EXPECT_EQ(pending_client.Await(2).body(), "b2");
  EXPECT_EQ(harness.RequestCount(0), 0u);
  EXPECT_EQ(harness.Metrics(successor)["cluster_unhealthy"], 1);
  EXPECT_EQ(harness.CallAdmin(successor, "PUT /maintenance/exit?target=h0"), 200u);
  EXPECT_EQ(harness.Metrics(successor)["cluster_unhealthy"], 0);
  const auto second_successor = harness.Start();  // a hot restart of the successor
  keep_alive_client.Send(ApiCall("last"));
  EXPECT_EQ(keep_alive_client.Await(40).body(), "last");
  EXPECT_EQ(harness.Metrics(second_successor)["transactions"]["view"]["answered"], 1);
}

// Guards callers against two hot restarts in a row: under a steady load, neither may cost a request.
TEST(Program, TwoHotRestartsInARowLoseNoRequest) {
  constexpr int kRequests = 150;
  constexpr int kFirstRestart = 40, kFirstStop = 50, kSecondRestart = 60, kSecondStop = 70;  // request counts
  constexpr std::chrono::milliseconds kRequestInterval{20};
  ProgramHarness harness;
  std::vector<ProgramHarness::ProgramInstance> instances;
  instances.push_back(harness.Start());
  std::vector<std::unique_ptr<Client>> clients;
  for (int i = 0; i < kRequests; ++i) {
    if (i == kFirstRestart || i == kSecondRestart) instances.push_back(harness.Start());
    if (i == kFirstStop) instances[0].process->Terminate();
    if (i == kSecondStop) instances[1].process->Terminate();
    clients.push_back(std::make_unique<Client>(harness.io, harness.listen_address));
    clients.back()->Send(ApiCall("r" + std::to_string(i), i % 3 == 0 ? "pay" : "view"));
    harness.io.run_for(kRequestInterval);
  }
  for (const auto& client : clients) EXPECT_EQ(client->Await().result_int(), 200u);
  EXPECT_EQ(harness.RequestCount(0) + harness.RequestCount(1), static_cast<std::size_t>(kRequests));
}

// Guards a graceful shutdown that coincides with a hot restart: after a stall the process finds both SIGTERM
// and the successor's connection. It must answer the requests that it has accepted; requests on its existing
// connections and on new ones must be served by one of the two processes.
TEST(Program, ExitsWithZeroWhenSuccessorConnectsAtTheTimeOfSigterm) {
  ProgramHarness harness;
  auto predecessor = harness.Start();
  Client keep_alive_client(harness.io, harness.listen_address),
      pending_client(harness.io, harness.listen_address);
  keep_alive_client.Send(ApiCall("k1"));
  EXPECT_EQ(keep_alive_client.Await().body(), "k1");
  pending_client.Send(ApiCall("b1", "pay", "9000m", "", "Req-Key: keep\r\n"));
  ASSERT_TRUE(RunUntil(harness.io, [&] { return harness.RequestCount(0) + harness.RequestCount(1) == 2; }));
  ASSERT_EQ(kill(predecessor.process->id(), SIGSTOP), 0);
  predecessor.process->Terminate();
  const std::string handover_path = harness.directory + "/meadowyard-" +
                                    harness.listen_address.address().to_string() + "-" +
                                    std::to_string(harness.listen_address.port());
  ASSERT_EQ(access(handover_path.c_str(), F_OK), 0) << handover_path;
  // The successor waits for the predecessor's state, which is sent once SIGCONT resumes the predecessor.
  asio::steady_timer resume_timer(harness.io, std::chrono::milliseconds(300));
  resume_timer.async_wait([&](error_code) { kill(predecessor.process->id(), SIGCONT); });
  auto successor = harness.Start();
  for (const auto& host : harness.hosts) {
    for (const auto& request : host->requests) {
      if (request.http["Req-Key"] == "keep") request.Answer(200, "b1");
    }
  }
  EXPECT_EQ(pending_client.Await().body(), "b1");
  for (int i = 0; i < 20; ++i) {
    Client new_client(harness.io, harness.listen_address);
    new_client.Send(ApiCall("f" + std::to_string(i)));
    EXPECT_EQ(new_client.Await().body(), "f" + std::to_string(i));
  }
  keep_alive_client.Send(ApiCall("k2"));
  EXPECT_TRUE(RunUntil(harness.io,
                       [&] { return keep_alive_client.answers().size() == 2 || keep_alive_client.ended(); }));
  if (!keep_alive_client.ended()) {
    EXPECT_EQ(keep_alive_client.Await(2).body(), "k2");
  }
  ASSERT_TRUE(RunUntil(harness.io, [&] { return predecessor.process->Ended(); }));
  EXPECT_EQ(predecessor.process->Wait(), 0) << predecessor.process->Errors();
  Client last_client(harness.io, harness.listen_address);
  last_client.Send(ApiCall("last"));
  EXPECT_EQ(last_client.Await().body(), "last");
}

// Guards operators against a maintenance change during a hot restart that reaches only one of the processes.
TEST(Program, ReplicatesMaintenanceBetweenPredecessorAndSuccessor) {
  ProgramHarness harness;
  auto predecessor = harness.Start(), successor = harness.Start();
  EXPECT_EQ(harness.CallAdmin(predecessor, "PUT /maintenance/enter?target=h0"), 200u);
  EXPECT_TRUE(RunUntil(harness.io, [&] { return harness.Metrics(successor)["cluster_unhealthy"] == 1; }));
  EXPECT_EQ(harness.CallAdmin(successor, "PUT /maintenance/exit?target=h0"), 200u);
  EXPECT_TRUE(RunUntil(harness.io, [&] { return harness.Metrics(predecessor)["cluster_unhealthy"] == 0; }));
}

// Guards against a maintenance call that the successor of a hot restart ignores, because discovery removed
// the host before the successor's first list: the host has to stay out when discovery lists it again.
TEST(Program, KeepsARemovedHostInMaintenanceAtTheSuccessor) {
  ProgramHarness harness;
  nlohmann::json list = harness.config["known"];
  std::vector<Peer::ReceivedRequest> held_polls;
  const auto answer_poll = [&](const Peer::ReceivedRequest& call) {
    const std::string target(call.http.target());
    const std::size_t after = target.find("after=");
    const bool up_to_date =
        after != std::string::npos && std::stoi(target.substr(after + 6)) >= list["revision"];
    up_to_date ? held_polls.push_back(call) : call.Answer(200, list.dump());
  };
  harness.discovery.serve = answer_poll;
  const auto publish = [&](int revision, std::vector<nlohmann::json> members) {
    list = List(revision, true, std::move(members));
    for (const auto& poll : std::exchange(held_polls, {})) answer_poll(poll);
  };
  const auto await_host_count = [&](const ProgramHarness::ProgramInstance& instance, int count) {
    return RunUntil(harness.io, [&] { return harness.Metrics(instance)["cluster_size"] == count; });
  };
  auto predecessor = harness.Start();
  ASSERT_TRUE(RunUntil(harness.io, [&] { return !held_polls.empty(); }));
  publish(2, {Member("h0", harness.hosts[0]->address())});
  ASSERT_TRUE(await_host_count(predecessor, 1));
  auto successor = harness.Start();
  ASSERT_TRUE(await_host_count(successor, 1));
  EXPECT_EQ(harness.CallAdmin(predecessor, "PUT /maintenance/enter?target=h1"), 200u);
  publish(3, {Member("h0", harness.hosts[0]->address()), Member("h1", harness.hosts[1]->address())});
  ASSERT_TRUE(await_host_count(predecessor, 2));
  ASSERT_TRUE(await_host_count(successor, 2));
  EXPECT_EQ(harness.Metrics(successor)["cluster_unhealthy"], 1);
  for (int i = 0; i < 20; ++i) {
    Client client(harness.io, harness.listen_address);
    client.Send(ApiCall("r" + std::to_string(i)));
    EXPECT_EQ(client.Await().result_int(), 200u);
  }
  EXPECT_EQ(harness.RequestCount(1), 0u);
}

// Guards against an outage when the successor of a hot restart dies while the predecessor still runs.
TEST(Program, PredecessorServesAgainAfterSuccessorDies) {
  ProgramHarness harness;
  auto predecessor = harness.Start();
  {
    auto successor = harness.Start();
    ASSERT_TRUE(RunUntil(harness.io, [&] {
      return predecessor.process->Errors().find("hot_restart_completed") != std::string::npos;
    }));
  }
  ASSERT_TRUE(RunUntil(harness.io, [&] {
    return predecessor.process->Errors().find("hot_restart_abandoned") != std::string::npos;
  }));
  Client client(harness.io, harness.listen_address);
  client.Send(ApiCall("r1"));
  EXPECT_EQ(client.Await().body(), "r1");
  const auto successor = harness.Start();
  client.Send(ApiCall("r2"));
  EXPECT_EQ(client.Await(2).body(), "r2");
}

// Guards against a hot restart that fails, or falls back to old settings, because the configuration file is
// invalid: the successor must use the configuration that its predecessor loaded last.
TEST(Program, SuccessorUsesConfigurationInForceWhenFileIsInvalid) {
  ProgramHarness harness;
  auto predecessor = harness.Start();
  nlohmann::json changed = harness.config;
  changed["settings"]["categories"].push_back(changed["settings"]["categories"][2]);
  changed["settings"]["categories"][3]["name"] = "book";
  harness.WriteConfig(changed.dump());
  predecessor.process->HangUp();
  EXPECT_TRUE(RunUntil(harness.io, [&] { return harness.Metrics(predecessor)["conf_loaded"] == 1; }));
  harness.WriteConfig(changed.dump().substr(0, 200));
  predecessor.process->HangUp();
  EXPECT_TRUE(RunUntil(harness.io, [&] { return harness.Metrics(predecessor)["conf_invalid"] == 1; }));
  EXPECT_EQ(harness.Metrics(predecessor)["conf_loaded"], 1);
  const auto successor = harness.Start();
  Client client(harness.io, harness.listen_address);
  client.Send(ApiCall("r1", "book"));
  EXPECT_EQ(client.Await().body(), "r1");
}

}  // namespace
}  // namespace meadowyard::testing
