// The lab as it is used: real gateway processes, faulty ones that must be found out, and its own bad ends.
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <thread>

#include "lab/process.hpp"
#include "lab_program.hpp"

namespace meadowyard::lab {
namespace {

// A few seconds with a drain, and a host that dies and comes back cold.
std::string Short(const std::string& program, double seconds = 3) {
  return "name = 'short'\nduration_s = " + std::to_string(seconds) + R"(
[[class]]
name = "view"
aim_ms = 2000
deadline_ms = 4000
share = 0.5
work_ms = 10
[[class]]
name = "pay"
repeats = "never"
aim_ms = 2000
deadline_ms = 4000
share = 0.5
work_ms = 10
[fleet]
halls = ["a", "b"]
[[fleet.kind]]
count = 6
cold_from = 0.05
cold_for_s = 60
fall_multiple = 2.5
[discovery]
delay_ms = 50
[gateways]
program = ")" +
         program + R"("
[load]
rate = 200
retries = 0
[[trouble]]
kind = "drain"
at_s = 0.3
for_s = 60
share = 0.3
hall = "a"
[[trouble]]
kind = "crash"
at_s = 0.5
for_s = 0.4
share = 0.3
hall = "b"
)";
}

TEST(Lab, FindsTheRealGatewayCleanAndServing) {
  const Ended ended = RunLab("real", Short(""));
  ASSERT_TRUE(ended.report.is_object()) << ended.text;
  for (const auto& [rule, found] : ended.report["rules"].items())
    EXPECT_EQ(found["broken"], 0) << rule << "\n" << ended.text;
  EXPECT_GT(ended.report["all"]["asked"], 400);
  EXPECT_GT(ended.report["all"]["goodput"], 0.8) << ended.text;
}

TEST(Lab, FindsOutEachFaultyGateway) {
  const std::map<std::string, std::string> faults = {
      {"duplicate", "no repeat"}, {"lose", "one answer"},  {"drain", "drains"},    {"hold", "prompt"},
      {"twice", "one answer"},    {"swap", "true answer"}, {"flood", "cold hosts"}};
  std::vector<std::thread> runs;
  std::map<std::string, Ended> ended;
  for (const auto& [fault, rule] : faults) {
    Ended& slot = ended[fault];
    runs.emplace_back([&slot, fault = fault] {
      slot = RunLab(fault, Short("meadowyard-lab faulty-gateway --fault " + fault));
    });
  }
  for (auto& run : runs) run.join();
  for (const auto& [fault, rule] : faults) {
    EXPECT_GT(Broken(ended[fault], rule), 0u) << fault << "\n" << ended[fault].text;
    EXPECT_EQ(ended[fault].status, 1) << fault;
  }
}

// Three gateways, one of which is stopped and let go on, killed, or restarted as planned, while hosts drain
// and crash: every rule holds, none ends by itself, and what the others serve carries the day.
TEST(Lab, BearsAGatewayStoppedKilledOrRestartedAmongThree) {
  const std::vector<std::string> faults = {"gateway_stall", "gateway_kill", "gateway_restart"};
  std::vector<std::thread> runs;
  std::map<std::string, Ended> ended;
  for (const std::string& fault : faults) {
    std::string spec = Short("", 4);
    spec.replace(spec.find("[gateways]\n"), 11, "[gateways]\ncount = 3\n");
    spec += "[[trouble]]\nkind = '" + fault + "'\nat_s = 1\nfor_s = 1.5\ngateway = 1\n";
    Ended& slot = ended[fault];
    runs.emplace_back([&slot, fault, spec] { slot = RunLab(fault, spec); });
  }
  for (auto& run : runs) run.join();
  for (const std::string& fault : faults) {
    const Ended& e = ended[fault];
    ASSERT_TRUE(e.report.is_object()) << fault << "\n" << e.text;
    for (const auto& [rule, found] : e.report["rules"].items())
      EXPECT_EQ(found["broken"], 0) << fault << ": " << rule << "\n" << e.text;
    // A run may count for nothing when the machine is busy (the generator was late); a gateway must not end.
    for (const auto& remark : e.report["remarks"])
      EXPECT_EQ(remark.get<std::string>().find("gateway"), std::string::npos) << fault << "\n" << e.text;
    EXPECT_EQ(e.report["gateways"].size(), 3u) << fault;
    EXPECT_GT(e.report["all"]["goodput"], 0.75) << fault << "\n" << e.text;
  }
  // The stopped one held what it had been given for as long as it slept, and answered it on waking.
  EXPECT_GT(ended["gateway_stall"].report["all"]["latency"]["most_ms"], 1000);
}

TEST(Lab, SaysWhyItCantBegin) {
  struct Case {
    std::string name, spec;
    int status;
    std::string said;
  };
  const std::vector<Case> cases = {
      {"dies", Short("/bin/false"), 1, "gateway 0 ended at its start"},
      {"no-program", Short("/nowhere/at/all"), 1, "/nowhere/at/all: No such file"},
      {"no-trace", Short("") + "[load.x]\n", 2, "load.x: unknown field"},
  };
  for (const Case& c : cases) {
    const Ended ended = RunLab(c.name, c.spec);
    EXPECT_EQ(ended.status, c.status) << ended.text;
    EXPECT_NE(ended.text.find(c.said), std::string::npos) << ended.text;
  }
}

// Ctrl-C in the middle: the report says how far it came, and no child is left.
TEST(Lab, EndsItsChildrenWhenInterrupted) {
  const std::string file = Place("interrupted.toml"), log = Place("interrupted.log"), kept = Place("kept");
  std::ofstream(file) << Short("", 60);
  Child child({MEADOWYARD_LAB_PROGRAM, "run", file, "--keep", kept}, {}, log);
  const auto said = [&](const std::string& words) {
    std::stringstream text;
    text << std::ifstream(log).rdbuf();
    return text.str().find(words) != std::string::npos;
  };
  for (int i = 0; i < 600 && !said("requests sent"); ++i)
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  child.Signal(SIGINT);
  child.Wait();
  EXPECT_EQ(child.status(), 3);
  EXPECT_TRUE(said("interrupted after "));
  std::ifstream config(kept + "/gateway0/config.json");
  const auto settings = nlohmann::json::parse(config);
  EXPECT_EQ(Ask(settings["listen"], "/up", 500), 0);  // nobody listens any more
  const std::string remove = "rm -r '" + kept + "' '" + file + "' '" + log + "'";
  EXPECT_EQ(std::system(remove.c_str()), 0);
}

}  // namespace
}  // namespace meadowyard::lab
