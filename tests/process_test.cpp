// The program as a process: how it starts, what it says when it can't, and how it ends.
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

// Guards the operator at a broken deployment: one line that names what is wrong, and no running gateway.
TEST(Program, NamesWhatIsWrongInItsConfiguration) {
  const auto config = [](const std::function<void(nlohmann::json&)>& spoil) {
    nlohmann::json file = {{"seed", "1f"}, {"settings", TestSettings()}};
    spoil(file);
    return file.dump();
  };
  const std::vector<std::tuple<std::string, std::string, std::string>> cases = {
      {"{\"settings\":", "127.0.0.1:0", "NODE_CONFIG"},
      {config([](auto&) {}), "127.0.0.1", "NODE_LISTEN"},
      {config([](auto&) {}), "127.0.0.1:99999", "NODE_LISTEN"},
      {config([](auto& f) { f["seed"] = "xyz"; }), "127.0.0.1:0", "seed"},
      {config([](auto& f) { f.erase("settings"); }), "127.0.0.1:0", "settings"},
      {config([](auto& f) { f["settings"]["categories"] = nlohmann::json::array(); }), "127.0.0.1:0",
       "classes"},
      {config([](auto& f) { f["settings"]["categories"][1]["sloMs"] = "fast"; }), "127.0.0.1:0", "sloMs"},
      {config([](auto& f) { f["settings"]["limits"]["dialTimeoutMs"] = -1; }), "127.0.0.1:0",
       "dialTimeoutMs"},
      {config([](auto& f) { f["known"] = "nobody"; }), "127.0.0.1:0", "known"},
  };
  for (const auto& [text, listen, named] : cases) {
    SCOPED_TRACE(named + ": " + text);
    const File file(text);
    Process process({{"NODE_CONFIG", file.path}, {"NODE_LISTEN", listen}, {"NODE_DISCOVERY", "127.0.0.1:1"}});
    EXPECT_EQ(process.Wait(), 1);
    const std::string errors = process.Errors();
    EXPECT_NE(errors.find(named), std::string::npos) << errors;
    EXPECT_EQ(std::count(errors.begin(), errors.end(), '\n'), 1) << errors;
  }
  Process process({{"NODE_LISTEN", "127.0.0.1:0"}, {"NODE_DISCOVERY", "127.0.0.1:1"}});
  EXPECT_EQ(process.Wait(), 1);
  EXPECT_NE(process.Errors().find("NODE_CONFIG"), std::string::npos);
}

// Guards a planned restart as the platform does it: SIGTERM with work in hand, the answer, exit code 0.
TEST(Program, AnswersItsWorkOnSigtermAndExitsCleanly) {
  asio::io_context io;
  Peer host(io), discovery(io);
  const tcp::endpoint listen = Loopback(FreePortNumber());
  const nlohmann::json config = {
      {"seed", "1f"}, {"known", List(1, true, {Member("h0", host.address())})}, {"settings", TestSettings()}};
  const File file(config.dump());
  Process process({{"NODE_CONFIG", file.path},
                   {"NODE_LISTEN", ToText(listen)},
                   {"NODE_DISCOVERY", ToText(discovery.address())}});
  ASSERT_TRUE(RunUntil(io, [&] { return discovery.requests.size() == 1; }));  // it listens by then
  Client client(io, listen);
  client.Send(ApiCall("r1", "pay"));
  ASSERT_TRUE(RunUntil(io, [&] { return host.requests.size() == 1; }));
  process.Terminate();
  // The work is answered only once the gateway is seen to be stopping.
  bool stopping = false;
  for (int i = 0; i < 1000 && !stopping; ++i) {
    Client probe(io, listen);
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

// Guards a planned end whatever signals come with it: what was taken has its one answer, and the exit is
// clean. Without a list a request waits for a host, and is refused in time.
TEST(Program, EndsCleanlyWhateverSignalsCome) {
  struct Case {
    const char* name;
    std::vector<int> signals;
    bool listed;
    unsigned status;
  };
  for (const Case& c : {Case{"SIGTERM twice", {SIGTERM, SIGTERM}, true, 200},
                        Case{"SIGHUP, then SIGTERM", {SIGHUP, SIGTERM}, true, 200},
                        Case{"SIGTERM, then SIGHUP", {SIGTERM, SIGHUP, SIGTERM}, true, 200},
                        Case{"SIGTERM before the first list", {SIGTERM}, false, 503}}) {
    SCOPED_TRACE(c.name);
    asio::io_context io;
    Peer host(io), discovery(io);
    const tcp::endpoint listen = Loopback(FreePortNumber());
    auto members = std::vector<nlohmann::json>();
    if (c.listed) members.push_back(Member("h0", host.address()));
    const nlohmann::json config = {{"seed", "1f"},
                                   {"discovery", ToText(discovery.address())},
                                   {"known", List(1, true, members)},
                                   {"settings", TestSettings()}};
    const File file(config.dump());
    Process process({{"NODE_CONFIG", file.path},
                     {"NODE_LISTEN", ToText(listen)},
                     {"NODE_DISCOVERY", ToText(discovery.address())}});
    ASSERT_TRUE(RunUntil(io, [&] { return !discovery.requests.empty(); }));  // it listens by then
    Client client(io, listen);
    client.Send(ApiCall("r1", "pay", c.listed ? "15000m" : "2000m"));
    if (c.listed) {
      ASSERT_TRUE(RunUntil(io, [&] { return host.requests.size() == 1; }));
    } else {  // it was taken: this one came behind it
      Client probe(io, listen);
      probe.Send("GET /up HTTP/1.1\r\n\r\n");
      EXPECT_EQ(probe.Await().result_int(), 503u);
    }
    for (const int signal : c.signals) kill(process.id(), signal);
    bool stopping = !c.listed;
    for (int i = 0; i < 1000 && !stopping; ++i) {
      Client probe(io, listen);
      probe.Send("GET /up HTTP/1.1\r\n\r\n");
      stopping = probe.Await().result_int() == 503;
    }
    EXPECT_TRUE(stopping);
    if (c.listed) host.requests[0].Answer(200, "done");
    EXPECT_EQ(client.Await().result_int(), c.status);
    EXPECT_TRUE(client.AwaitEnd());
    EXPECT_EQ(client.answers().size(), 1u);
    client.Leave();
    EXPECT_TRUE(RunUntil(io, [&] { return process.Ended(); }));
    EXPECT_EQ(process.Wait(), 0);
    EXPECT_LE(host.requests.size(), 1u);
  }
}

// Guards a restart of many at once: each is ready within 10 s with the list that it was given, though
// discovery refuses, accepts and is silent, or turns every call away.
TEST(Program, IsReadyInTimeWhateverDiscoveryDoes) {
  enum class Does { kRefuses, kIsSilent, kTurnsAway };
  for (const Does does : {Does::kRefuses, Does::kIsSilent, Does::kTurnsAway}) {
    asio::io_context io;
    Peer host(io), discovery(io);
    const std::string at = ToText(discovery.address());
    if (does == Does::kRefuses) discovery.StopListening();
    if (does == Does::kTurnsAway) discovery.serve = [](const Peer::Taken& taken) { taken.Answer(503, ""); };
    const nlohmann::json config = {{"seed", "1f"},
                                   {"known", List(1, true, {Member("h0", host.address())})},
                                   {"settings", TestSettings()}};
    const File file(config.dump());
    constexpr int kProcesses = 10, kReady = 9;
    std::vector<std::unique_ptr<Process>> processes;
    std::vector<tcp::endpoint> waiting;
    const auto begun = std::chrono::steady_clock::now();
    for (int i = 0; i < kProcesses; ++i) {
      waiting.push_back(Loopback(FreePortNumber()));
      processes.push_back(std::make_unique<Process>(std::vector<std::pair<std::string, std::string>>{
          {"NODE_CONFIG", file.path}, {"NODE_LISTEN", ToText(waiting.back())}, {"NODE_DISCOVERY", at}}));
    }
    EXPECT_TRUE(RunUntil(io, [&] {
      std::erase_if(waiting, [&](const tcp::endpoint& listen) {
        error_code ec;
        tcp::socket probe(io);
        probe.connect(listen, ec);
        if (ec) return false;
        Client client(io, listen);
        client.Send("GET /up HTTP/1.1\r\n\r\n");
        return client.Await().result() == http::status::ok;
      });
      return waiting.size() <= kProcesses - kReady;
    }));
    EXPECT_LT(std::chrono::steady_clock::now() - begun, std::chrono::seconds(10));
  }
}

// Guards hosts against a process that was stopped and goes on: requests came first and the news behind them,
// or the news came when no call was there to bring it, or the call that is made then fails. Nothing goes to
// the host that leaves.
TEST(Program, SendsNothingByAnOldListWhenItGoesOnAfterAStop) {
  enum class News { kUnread, kNotAskedFor, kAtTheSecondCall };
  for (const News where : {News::kUnread, News::kNotAskedFor, News::kAtTheSecondCall}) {
    SCOPED_TRACE(static_cast<int>(where));
    Service service;
    auto version = service.Start();
    ASSERT_TRUE(RunUntil(service.io, [&] { return service.discovery.requests.size() == 1; }));
    const auto whole = [&](int revision, const char* phase) {
      return List(revision, true,
                  {Member("h0", service.hosts[0]->address(), phase),
                   Member("h1", service.hosts[1]->address())})
          .dump();
    };
    constexpr int kClients = 16;
    std::vector<std::unique_ptr<Client>> clients;
    for (int i = 0; i < kClients; ++i) {
      clients.push_back(std::make_unique<Client>(service.io, service.listen));
      clients.back()->Send("GET /up HTTP/1.1\r\n\r\n");
      ASSERT_EQ(clients.back()->Await().result_int(), 200u);
    }
    ASSERT_EQ(kill(version.process->id(), SIGSTOP), 0);
    for (auto& client : clients) client->Send(ApiCall("r" + std::to_string(&client - clients.data()), "pay"));
    if (where == News::kUnread) {
      const std::string news = whole(50, "draining");
      error_code ec;
      asio::write(service.discovery.requests.back().on->socket,
                  asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(news.size()) +
                               "\r\n\r\n" + news),
                  ec);
      ASSERT_FALSE(ec);
    }
    bool fails = where == News::kAtTheSecondCall;
    service.discovery.serve = [&](const Peer::Taken& call) {
      if (std::exchange(fails, false)) return call.on->Reset();
      if (call.http.target().find("after=50") == std::string::npos) call.Answer(200, whole(50, "draining"));
    };
    const auto told = std::chrono::steady_clock::now();
    ASSERT_TRUE(RunUntil(service.io, [&] {
      return std::chrono::steady_clock::now() - told > std::chrono::milliseconds(1100);
    }));
    ASSERT_EQ(service.Sent(0), 0u);
    kill(version.process->id(), SIGCONT);
    for (auto& client : clients) EXPECT_EQ(client->Await(2).result_int(), 200u);
    EXPECT_EQ(service.Sent(0), 0u);
    EXPECT_EQ(service.Sent(1), static_cast<std::size_t>(kClients));
  }
}

// Guards a changed configuration: SIGHUP ends nothing, a broken file changes nothing and is told in one line,
// and the file's discovery wins over the environment's, which still names the old one.
TEST(Program, FollowsItsConfigurationOnSighup) {
  asio::io_context io;
  Peer old(io), moved(io);
  nlohmann::json config = {{"seed", "1f"}, {"listen", "127.0.0.1:0"}, {"settings", TestSettings()}};
  const File file(config.dump());
  Process process({{"NODE_CONFIG", file.path}, {"NODE_DISCOVERY", ToText(old.address())}});
  ASSERT_TRUE(RunUntil(io, [&] { return old.requests.size() == 1; }));
  std::ofstream(file.path) << "{\"discovery\":";
  process.HangUp();
  ASSERT_TRUE(RunUntil(io, [&] { return !process.Errors().empty() && process.Errors().back() == '\n'; }));
  const std::string errors = process.Errors();
  EXPECT_EQ(std::count(errors.begin(), errors.end(), '\n'), 1) << errors;
  EXPECT_FALSE(old.connections[0]->ended);
  config["discovery"] = ToText(moved.address());
  std::ofstream(file.path) << config.dump();
  process.HangUp();
  ASSERT_TRUE(RunUntil(io, [&] { return moved.requests.size() == 1; }));
  EXPECT_TRUE(RunUntil(io, [&] { return old.connections[0]->ended; }));
  process.HangUp();
  process.Terminate();
  process.HangUp();
  EXPECT_TRUE(RunUntil(io, [&] { return process.Ended(); }));
  EXPECT_EQ(process.Wait(), 0);
  EXPECT_EQ(moved.requests.size(), 1u);
}

// Guards a change of version under load: no request is lost at the door, on connections old or new; what the
// old process has taken it answers; who was left out by hand stays out; and the old one ends by itself.
TEST(Program, GivesWayToTheNextVersion) {
  Service service;
  auto old = service.Start();
  EXPECT_EQ(service.Call(old, "PUT /maintenance/enter?target=h0"), 200u);
  Client kept(service.io, service.listen), busy(service.io, service.listen), half(service.io, service.listen);
  kept.Send(ApiCall("k1"));
  EXPECT_EQ(kept.Await().body(), "k1");
  busy.Send(ApiCall("b1", "pay", "9000m", "", "Req-Key: keep\r\n"));
  half.Send("GET /api HTTP/1.1\r\nReq-Id: half\r\nReq-K");
  ASSERT_TRUE(RunUntil(service.io, [&] { return service.Sent(1) == 2; }));
  auto next = service.Start();
  EXPECT_EQ(service.Call(next, "PUT /maintenance/enter?target=nobody"), 404u);
  half.Send("ind: view\r\nReq-Deadline: 5000m\r\n\r\n");
  EXPECT_EQ(half.Await().body(), "half");
  for (std::size_t i = 2; i < 40; ++i) {
    if (i == 10) old.process->Terminate();
    kept.Send(ApiCall("k" + std::to_string(i)));
    EXPECT_EQ(kept.Await(i).body(), "k" + std::to_string(i));
    Client fresh(service.io, service.listen);
    fresh.Send(ApiCall("f" + std::to_string(i)));
    EXPECT_EQ(fresh.Await().body(), "f" + std::to_string(i));
  }
  EXPECT_FALSE(old.process->Ended()) << "it still owes an answer";
  for (const auto& taken : service.hosts[1]->requests) {
    if (taken.http["Req-Id"] == "b1") taken.Answer(200, "b1");
  }
  EXPECT_EQ(busy.Await().body(), "b1");
  ASSERT_TRUE(RunUntil(service.io, [&] { return old.process->Ended(); }));
  EXPECT_EQ(old.process->Wait(), 0);
  busy.Send(ApiCall("b2"));  // its connection went over too
  EXPECT_EQ(busy.Await(2).body(), "b2");
  EXPECT_EQ(service.Sent(0), 0u);
  EXPECT_EQ(service.Figures(next)["cluster_unhealthy"], 1);
  EXPECT_EQ(service.Call(next, "PUT /maintenance/exit?target=h0"), 200u);
  EXPECT_EQ(service.Figures(next)["cluster_unhealthy"], 0);
  const auto third = service.Start();  // and that one gives way in its turn
  kept.Send(ApiCall("last"));
  EXPECT_EQ(kept.Await(40).body(), "last");
  EXPECT_EQ(service.Figures(third)["transactions"]["view"]["answered"], 1);
}

// Guards a planned end that comes while the next version asks to follow: both lie before the old process when
// it goes on. What it had taken it answers, what comes on its connections and on new ones is served by one of
// the two.
TEST(Program, EndsCleanlyThoughTheNextVersionAsksAtThatMoment) {
  Service service;
  auto old = service.Start();
  Client kept(service.io, service.listen), busy(service.io, service.listen);
  kept.Send(ApiCall("k1"));
  EXPECT_EQ(kept.Await().body(), "k1");
  busy.Send(ApiCall("b1", "pay", "9000m", "", "Req-Key: keep\r\n"));
  ASSERT_TRUE(RunUntil(service.io, [&] { return service.Sent(0) + service.Sent(1) == 2; }));
  ASSERT_EQ(kill(old.process->id(), SIGSTOP), 0);
  old.process->Terminate();
  const std::string asks = service.folder + "/meadowyard-" + service.listen.address().to_string() + "-" +
                           std::to_string(service.listen.port());
  ASSERT_EQ(access(asks.c_str(), F_OK), 0) << asks;
  // The next one is given its state as soon as the old one goes on, and waits for that until then.
  asio::steady_timer goes_on(service.io, std::chrono::milliseconds(300));
  goes_on.async_wait([&](error_code) { kill(old.process->id(), SIGCONT); });
  auto next = service.Start();
  for (const auto& host : service.hosts) {
    for (const auto& taken : host->requests) {
      if (taken.http["Req-Key"] == "keep") taken.Answer(200, "b1");
    }
  }
  EXPECT_EQ(busy.Await().body(), "b1");
  for (int i = 0; i < 20; ++i) {
    Client fresh(service.io, service.listen);
    fresh.Send(ApiCall("f" + std::to_string(i)));
    EXPECT_EQ(fresh.Await().body(), "f" + std::to_string(i));
  }
  kept.Send(ApiCall("k2"));
  EXPECT_TRUE(RunUntil(service.io, [&] { return kept.answers().size() == 2 || kept.ended(); }));
  if (!kept.ended()) {
    EXPECT_EQ(kept.Await(2).body(), "k2");
  }
  ASSERT_TRUE(RunUntil(service.io, [&] { return old.process->Ended(); }));
  EXPECT_EQ(old.process->Wait(), 0) << old.process->Errors();
  Client last(service.io, service.listen);
  last.Send(ApiCall("last"));
  EXPECT_EQ(last.Await().body(), "last");
}

// Guards operators during a change of version: what one process is told, both do.
TEST(Program, TellsTheOtherVersionWhatOperatorsWant) {
  Service service;
  auto old = service.Start(), next = service.Start();
  EXPECT_EQ(service.Call(old, "PUT /maintenance/enter?target=h0"), 200u);
  EXPECT_TRUE(RunUntil(service.io, [&] { return service.Figures(next)["cluster_unhealthy"] == 1; }));
  EXPECT_EQ(service.Call(next, "PUT /maintenance/exit?target=h0"), 200u);
  EXPECT_TRUE(RunUntil(service.io, [&] { return service.Figures(old)["cluster_unhealthy"] == 0; }));
}

// Guards against a new version that dies: the old one serves on.
TEST(Program, ServesAgainWhenTheNextVersionDies) {
  Service service;
  auto old = service.Start();
  {
    auto next = service.Start();
    ASSERT_TRUE(RunUntil(service.io, [&] {
      return old.process->Errors().find("hot_restart_completed") != std::string::npos;
    }));
  }
  ASSERT_TRUE(RunUntil(
      service.io, [&] { return old.process->Errors().find("hot_restart_abandoned") != std::string::npos; }));
  Client client(service.io, service.listen);
  client.Send(ApiCall("r1"));
  EXPECT_EQ(client.Await().body(), "r1");
  const auto next = service.Start();
  client.Send(ApiCall("r2"));
  EXPECT_EQ(client.Await(2).body(), "r2");
}

// Guards a change of version while a bad file lies about: the new process goes on with the one in force.
TEST(Program, RetunesAndKeepsASpoiltFileFromTheNextVersion) {
  Service service;
  auto old = service.Start();
  nlohmann::json changed = service.config;
  changed["settings"]["categories"].push_back(changed["settings"]["categories"][2]);
  changed["settings"]["categories"][3]["name"] = "book";
  service.Write(changed.dump());
  old.process->HangUp();
  EXPECT_TRUE(RunUntil(service.io, [&] { return service.Figures(old)["conf_loaded"] == 1; }));
  service.Write(changed.dump().substr(0, 200));
  old.process->HangUp();
  EXPECT_TRUE(RunUntil(service.io, [&] { return service.Figures(old)["conf_invalid"] == 1; }));
  EXPECT_EQ(service.Figures(old)["conf_loaded"], 1);
  const auto next = service.Start();
  Client client(service.io, service.listen);
  client.Send(ApiCall("r1", "book"));
  EXPECT_EQ(client.Await().body(), "r1");
}

}  // namespace
}  // namespace meadowyard::testing
