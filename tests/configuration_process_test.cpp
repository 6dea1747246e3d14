/// @file
/// Which configuration and which discovery processes use after reloads and hot restarts.
#include <sys/stat.h>

#include <filesystem>
#include <optional>

#include "service.hpp"

namespace meadowyard::testing {
namespace {

// A discovery service with revisions of its own, which holds long polls until its list changes.
struct ScriptedDiscovery {
  explicit ScriptedDiscovery(Peer& scripted_peer) : peer(scripted_peer) {
    peer.serve = [this](const Peer::ReceivedRequest& call) { Serve(call); };
  }
  void Serve(const Peer::ReceivedRequest& call) {
    const std::string target(call.http.target());
    const std::size_t after = target.find("after=");
    const bool up_to_date =
        after != std::string::npos && std::stoi(target.substr(after + 6)) >= list["revision"];
    up_to_date ? held_polls.push_back(call) : call.Answer(200, list.dump());
  }
  void Publish(nlohmann::json published) {
    list = std::move(published);
    for (const auto& poll : std::exchange(held_polls, {})) Serve(poll);
  }
  // Polls that are held on connections which are still open: one for each process that asks this discovery.
  std::size_t CountWatches() const {
    return static_cast<std::size_t>(std::count_if(held_polls.begin(), held_polls.end(), [](const auto& poll) {
      return !poll.source_connection->ended;
    }));
  }

  Peer& peer;
  nlohmann::json list;
  std::vector<Peer::ReceivedRequest> held_polls;
};

// Three discovery services; NODE_DISCOVERY has the address of the first one throughout.
struct ConfigurationHarness : ProgramHarness {
  using Instance = ProgramInstance;
  ConfigurationHarness() {
    // The services number their lists differently: a revision of the first one exceeds all of the second.
    first.list = ListOf(50);
    second.list = ListOf(5);
    third.list = ListOf(20);
    config["known"] = first.list;
    WriteConfig(config.dump());
  }
  ~ConfigurationHarness() { std::filesystem::remove_all(directory + "/config.json"); }

  nlohmann::json ListOf(int revision, const std::string& phase_of_first_host = "up") {
    return List(revision, true,
                {Member("h0", hosts[0]->address(), phase_of_first_host), Member("h1", hosts[1]->address())});
  }
  void NameDiscovery(const ScriptedDiscovery& named) {
    config["discovery"] = ToText(named.peer.address());
    WriteConfig(config.dump());
  }
  void Reload(const Instance& instance) {
    const auto loaded = Metrics(instance)["conf_loaded"];
    instance.process->HangUp();
    EXPECT_TRUE(RunUntil(io, [&] { return Metrics(instance)["conf_loaded"] > loaded; }));
  }
  void Move(const Instance& instance, ScriptedDiscovery& to) {
    NameDiscovery(to);
    Reload(instance);
    EXPECT_TRUE(AwaitWatches(to, 1));
  }
  bool AwaitWatches(const ScriptedDiscovery& discovery_service, std::size_t count) {
    return RunUntil(io, [&] { return discovery_service.CountWatches() == count; });
  }
  // Whether the process learns from this discovery that a host drains.
  ::testing::AssertionResult Follows(const Instance& instance, ScriptedDiscovery& discovery_service) {
    discovery_service.Publish(ListOf(discovery_service.list["revision"].get<int>() + 1, "draining"));
    const bool learned = RunUntil(io, [&] { return Metrics(instance)["cluster_unhealthy"] == 1; });
    return learned ? ::testing::AssertionSuccess() : ::testing::AssertionFailure() << Metrics(instance);
  }
  nlohmann::json Status(const Instance& instance) { return Metrics(instance)["configuration"]; }

  Peer second_peer{io}, third_peer{io};
  ScriptedDiscovery first{discovery}, second{second_peer}, third{third_peer};
};

// ---- A file that can't be used at a hot restart ---------------------------------------------------

struct UnusableFile {
  const char* name;
  // Spoils the file at `path`, whose valid content is `valid`.
  void (*spoil)(const std::string& path, nlohmann::json valid);
};

void Write(const std::string& path, const std::string& text) { std::ofstream(path) << text; }

const UnusableFile kUnusableFiles[] = {
    {"CutShort",
     [](const std::string& path, nlohmann::json valid) { Write(path, valid.dump().substr(0, 200)); }},
    {"Empty", [](const std::string& path, nlohmann::json) { Write(path, ""); }},
    {"WithoutSettings",
     [](const std::string& path, nlohmann::json valid) {
       valid.erase("settings");
       Write(path, valid.dump());
     }},
    {"WithoutDiscovery",
     [](const std::string& path, nlohmann::json valid) {
       valid.erase("discovery");
       Write(path, valid.dump());
     }},
    {"WithoutANumberOfAttempts",
     [](const std::string& path, nlohmann::json valid) {
       valid["settings"]["limits"].erase("maxAttempts");
       Write(path, valid.dump());
     }},
    {"WrongDeadline",
     [](const std::string& path, nlohmann::json valid) {
       valid["settings"]["categories"][0]["deadlineMs"] = -1;
       Write(path, valid.dump());
     }},
    {"DiscoveryIsNoAddress",
     [](const std::string& path, nlohmann::json valid) {
       valid["discovery"] = "nowhere";
       Write(path, valid.dump());
     }},
    {"DiscoveryIsANumber",
     [](const std::string& path, nlohmann::json valid) {
       valid["discovery"] = 8500;
       Write(path, valid.dump());
     }},
    {"Missing", [](const std::string& path, nlohmann::json) { std::filesystem::remove(path); }},
    {"Folder",
     [](const std::string& path, nlohmann::json) {
       std::filesystem::remove(path);
       std::filesystem::create_directory(path);
     }},
};

struct UnusableFileAtHotRestart : ::testing::TestWithParam<UnusableFile> {};

// Guards against a new process that asks discovery where it was at the first start, because the file can't be
// used: it never learned of a change again, and sent requests to draining hosts (review/10).
TEST_P(UnusableFileAtHotRestart, AsksTheDiscoveryInForce) {
  ConfigurationHarness harness;
  auto predecessor = harness.Start();
  harness.Move(predecessor, harness.second);
  const std::size_t calls_to_first = harness.discovery.requests.size();
  GetParam().spoil(harness.directory + "/config.json", harness.config);
  predecessor.process->HangUp();
  EXPECT_TRUE(RunUntil(harness.io, [&] { return harness.Metrics(predecessor)["conf_invalid"] == 1; }));
  const auto successor = harness.Start();
  ASSERT_TRUE(harness.AwaitWatches(harness.second, 2));
  EXPECT_TRUE(harness.Follows(successor, harness.second));
  EXPECT_EQ(harness.discovery.requests.size(), calls_to_first);
  const nlohmann::json status = harness.Status(successor);
  EXPECT_EQ(status["settings_from"], "in_force");
  EXPECT_EQ(status["discovery_from"], "in_force");
  EXPECT_NE(status["last_rejection"], "");
}

INSTANTIATE_TEST_SUITE_P(File, UnusableFileAtHotRestart, ::testing::ValuesIn(kUnusableFiles),
                         [](const auto& instance) { return instance.param.name; });

// ---- A file that can be used -----------------------------------------------------------------------

// Guards against a new process that takes neither the address in the file nor the one in force, because the
// file names another discovery than the predecessor has read.
TEST(ConfigurationAtHotRestart, FollowsAFileThatWasNotSignalledYet) {
  ConfigurationHarness harness;
  auto predecessor = harness.Start();
  harness.Move(predecessor, harness.second);
  harness.NameDiscovery(harness.third);
  const auto successor = harness.Start();
  EXPECT_TRUE(harness.Follows(successor, harness.third));
  EXPECT_EQ(harness.Status(successor)["discovery_from"], "file");
}

// Guards against a revision of one discovery that is used to ask another: what the new one has below it would
// never be learned.
TEST(ConfigurationAtHotRestart, RequestsACompleteListFromAnotherDiscovery) {
  ConfigurationHarness harness;
  auto predecessor = harness.Start();
  ASSERT_TRUE(harness.AwaitWatches(harness.first, 1));
  harness.second.list = harness.ListOf(5, "draining");
  harness.NameDiscovery(harness.second);
  const auto successor = harness.Start();
  ASSERT_TRUE(RunUntil(harness.io, [&] { return !harness.second_peer.requests.empty(); }));
  EXPECT_EQ(harness.second_peer.requests[0].http.target(), "/discovery/hosts");
  EXPECT_TRUE(RunUntil(harness.io, [&] { return harness.Metrics(successor)["cluster_unhealthy"] == 1; }));
}

// Guards against an address that is remembered of an earlier move, also when that leads back to the
// first discovery, and across two hot restarts in a row.
TEST(ConfigurationAtHotRestart, FollowsEachMoveThroughTwoHotRestarts) {
  for (const bool back_to_first : {false, true}) {
    ConfigurationHarness harness;
    ScriptedDiscovery& last = back_to_first ? harness.first : harness.third;
    auto oldest = harness.Start();
    harness.Move(oldest, harness.second);
    auto middle = harness.Start();
    ASSERT_TRUE(harness.AwaitWatches(harness.second, 2));
    oldest.process->Terminate();
    ASSERT_TRUE(RunUntil(harness.io, [&] { return oldest.process->Ended(); }));
    harness.Move(middle, last);
    harness.WriteConfig("{");
    const auto newest = harness.Start();
    ASSERT_TRUE(harness.AwaitWatches(last, 2));
    EXPECT_TRUE(harness.Follows(newest, last));
  }
}

// Guards against a successor that gets an older address because another one died before it served.
TEST(ConfigurationAtHotRestart, FollowsTheDiscoveryInForceAfterAFailedSuccessor) {
  ConfigurationHarness harness;
  auto predecessor = harness.Start();
  harness.Move(predecessor, harness.second);
  harness.WriteConfig("{");
  {
    // Receives the state, then ends because it can't listen at the admin address.
    Process failed({{"NODE_CONFIG", harness.directory + "/config.json"},
                    {"NODE_LISTEN", ToText(harness.listen_address)},
                    {"NODE_ADMIN", ToText(predecessor.admin_address)},
                    {"NODE_DISCOVERY", ToText(harness.discovery.address())},
                    {"TMPDIR", harness.directory}});
    ASSERT_TRUE(RunUntil(harness.io, [&] { return failed.Ended(); }));
    EXPECT_NE(failed.Wait(), 0);
  }
  const auto successor = harness.Start();
  ASSERT_TRUE(harness.AwaitWatches(harness.second, 2));
  EXPECT_TRUE(harness.Follows(successor, harness.second));
}

// Guards against a new process that asks discovery where it was at the first start, because a stopped
// predecessor did not pass its state on.
TEST(ConfigurationAtHotRestart, FollowsTheFileIfTheStateIsLost) {
  ConfigurationHarness harness;
  auto predecessor = harness.Start();
  harness.Move(predecessor, harness.second);
  kill(predecessor.process->id(), SIGSTOP);
  const auto successor = harness.Start();
  ASSERT_TRUE(harness.AwaitWatches(harness.second, 2));
  kill(predecessor.process->id(), SIGCONT);
  EXPECT_TRUE(harness.Follows(successor, harness.second));
  EXPECT_EQ(harness.Status(successor)["discovery_from"], "file");
}

// ---- Reloads while two processes run --------------------------------------------------------------

// Guards against a reload at one of two processes that the other never learns of: it would go on asking a
// discovery that is gone, and use the former settings.
TEST(ReloadDuringHotRestart, ReachesTheOtherProcess) {
  for (const bool at_successor : {false, true}) {
    ConfigurationHarness harness;
    auto predecessor = harness.Start();
    auto successor = harness.Start();
    ASSERT_TRUE(harness.AwaitWatches(harness.first, 2));
    harness.NameDiscovery(harness.second);
    const auto& reloaded = at_successor ? successor : predecessor;
    const auto& other = at_successor ? predecessor : successor;
    harness.Reload(reloaded);
    ASSERT_TRUE(harness.AwaitWatches(harness.second, 2));
    EXPECT_TRUE(harness.Follows(other, harness.second));
    EXPECT_EQ(harness.Metrics(other)["conf_loaded"], 0) << "counts what was read at SIGHUP";
    EXPECT_EQ(harness.Metrics(other)["conf_invalid"], 0);
  }
}

// The same across three processes, with a file that has become unusable since.
TEST(ReloadDuringHotRestart, ReachesTheThirdProcess) {
  ConfigurationHarness harness;
  auto oldest = harness.Start();
  auto middle = harness.Start();
  ASSERT_TRUE(harness.AwaitWatches(harness.first, 2));
  auto newest = harness.Start();
  ASSERT_TRUE(harness.AwaitWatches(harness.first, 3));
  harness.NameDiscovery(harness.second);
  harness.Reload(oldest);
  harness.WriteConfig("{");
  ASSERT_TRUE(harness.AwaitWatches(harness.second, 3));
  EXPECT_TRUE(harness.Follows(newest, harness.second));
}

// ---- Reloads of one process ------------------------------------------------------------------------

// Guards against files that are rejected for what another source has: where only NODE_DISCOVERY names
// discovery, a changed file without an address must be accepted, and the address stays.
TEST(ReloadOfSettings, KeepsTheDiscoveryInForceIfTheFileNamesNone) {
  ConfigurationHarness harness;
  harness.config.erase("discovery");
  harness.WriteConfig(harness.config.dump());
  auto instance = harness.Start();
  harness.Reload(instance);
  EXPECT_EQ(harness.Status(instance)["discovery"], ToText(harness.discovery.address()));
  EXPECT_EQ(harness.Status(instance)["discovery_from"], "in_force");
  EXPECT_TRUE(harness.Follows(instance, harness.first));
}

// Guards operators against not seeing which source each value has, for starts and reloads.
TEST(ReloadOfSettings, ShowsWhereEachValueComesFrom) {
  ConfigurationHarness harness;
  auto instance = harness.Start();
  EXPECT_EQ(harness.Status(instance)["discovery_from"], "environment");
  EXPECT_EQ(harness.Status(instance)["settings_from"], "file");
  EXPECT_EQ(harness.Status(instance)["last_rejection"], "");
  harness.Move(instance, harness.second);
  EXPECT_EQ(harness.Status(instance)["discovery_from"], "file");
  EXPECT_EQ(harness.Status(instance)["discovery"], ToText(harness.second_peer.address()));
  EXPECT_NE(instance.process->Errors().find("configuration_in_force occasion=reload settings_from=file"),
            std::string::npos)
      << instance.process->Errors();
}

// ---- The peers file --------------------------------------------------------------------------------

struct PeersHarness : ConfigurationHarness {
  PeersHarness() {
    setenv("MEADOWYARD_PEERS", path.c_str(), 1);
    WritePeers("");
  }
  ~PeersHarness() {
    unsetenv("MEADOWYARD_PEERS");
    std::remove(path.c_str());
  }
  void WritePeers(const std::string& extra) const {
    Write(path, "[peers]\nname = \"a\"\n" + extra +
                    "[[peer]]\nname = \"a\"\naddress = \"127.0.0.1:" + std::to_string(port) + "\"\n");
  }
  nlohmann::json PeersStatus(const Instance& instance) {
    std::string body;
    EXPECT_EQ(CallAdmin(instance, "GET /status/peers", &body), 200u);
    return nlohmann::json::parse(body, nullptr, false);
  }
  const unsigned short port = FreePortNumber();
  const std::string path = directory + "/peers.toml";
};

// Guards against a new version that ends at its start because the peers file can't be used, although the
// predecessor goes on with the one in force.
TEST(PeersFileAtHotRestart, StaysInForceIfItCannotBeUsed) {
  PeersHarness harness;
  auto predecessor = harness.Start();
  Write(harness.path, "[peers]\nname = \"a");
  const auto successor = harness.Start();
  EXPECT_EQ(harness.PeersStatus(successor)["listed"], 1);
  EXPECT_NE(successor.process->Errors().find("peers_kept"), std::string::npos);
}

// Guards against a new version that ends at its start because its configuration has a class that the tunnels'
// file in force has too: a reload rejects that configuration, and so must a hot restart.
TEST(EdgeFileAtHotRestart, RejectsAConfigurationThatDoesNotGoWithIt) {
  ConfigurationHarness harness;
  const std::string path = harness.directory + "/edge.toml";
  Write(path, "[tunnels]\nclass = \"tunnel\"\nmost = 10\n[[listener]]\nprotocol = \"socks5\"\naddress = \"" +
                  ToText(harness.FreePort()) + "\"\ncredentials = false\n[default]\ndeny = true\n");
  setenv("MEADOWYARD_EDGE", path.c_str(), 1);
  auto predecessor = harness.Start();
  auto& classes = harness.config["settings"]["categories"];
  classes.push_back(classes[0]);
  classes[3]["name"] = "tunnel";
  harness.WriteConfig(harness.config.dump());
  const auto successor = harness.Start();
  unsetenv("MEADOWYARD_EDGE");
  std::remove(path.c_str());
  EXPECT_EQ(harness.Status(successor)["settings_from"], "in_force");
  EXPECT_FALSE(harness.Metrics(successor)["transactions"].contains("tunnel")) << successor.process->Errors();
}

// Guards against a predecessor that takes the peer address, and with it the gateway's place among its peers,
// back from its successor when it reloads the peers file.
TEST(PeersFileAtHotRestart, LeavesThePeerAddressToTheSuccessor) {
  PeersHarness harness;
  auto predecessor = harness.Start();
  auto successor = harness.Start();
  EXPECT_TRUE(
      RunUntil(harness.io, [&] { return harness.CallAdmin(predecessor, "GET /status/peers") == 404; }));
  harness.WritePeers("beat_ms = 100\n");
  harness.Reload(predecessor);
  EXPECT_TRUE(RunUntil(
      harness.io, [&] { return successor.process->Errors().find("peers_loaded") != std::string::npos; }));
  EXPECT_EQ(harness.CallAdmin(predecessor, "GET /status/peers"), 404u);
  EXPECT_EQ(harness.CallAdmin(successor, "GET /status/peers"), 200u);
}

// Guards against a reload that puts the other process back to an older configuration: only what was reloaded
// is sent, and the other process may have read a newer file.
TEST(PeersFileAtHotRestart, IsSentAloneIfTheConfigurationWasRejected) {
  PeersHarness harness;
  auto predecessor = harness.Start();
  harness.Move(predecessor, harness.second);
  harness.NameDiscovery(harness.third);
  auto successor = harness.Start();
  ASSERT_TRUE(harness.AwaitWatches(harness.third, 1));
  harness.WriteConfig("{");
  harness.WritePeers("beat_ms = 100\n");
  predecessor.process->HangUp();
  EXPECT_TRUE(RunUntil(
      harness.io, [&] { return successor.process->Errors().find("peers_loaded") != std::string::npos; }));
  EXPECT_EQ(harness.Status(successor)["discovery"], ToText(harness.third_peer.address()));
  EXPECT_TRUE(harness.Follows(successor, harness.third));
}

}  // namespace
}  // namespace meadowyard::testing
