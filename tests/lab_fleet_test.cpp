// Several real gateways that know of each other, and faults between them. The referee judges every run; what
// the gateways say of each other is read beside it.
#include <gtest/gtest.h>

#include <functional>
#include <map>

#include "lab_program.hpp"

namespace meadowyard::lab {
namespace {

using nlohmann::json;

std::string Spec(int gateways, const std::string& peers, const std::string& rest, double seconds = 5) {
  return "name = 'fleet'\nduration_s = " + std::to_string(seconds) + R"(
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
count = 8
cold_from = 0.13
cold_for_s = 60
fall_multiple = 2.5
[discovery]
delay_ms = 50
[gateways]
count = )" +
         std::to_string(gateways) + R"(
[load]
rate = 120
retries = 0
[peers]
beat_ms = 100
silent_ms = 600
gone_ms = 1200
)" + peers +
         rest;
}

std::string Trouble(const std::string& kind, double at, double length, const std::string& more = "") {
  return "[[trouble]]\nkind = '" + kind + "'\nat_s = " + std::to_string(at) +
         "\nfor_s = " + std::to_string(length) + "\n" + more + "\n";
}

// What a gateway said of its peers from one second to another.
std::vector<json> Seen(const Ended& ended, int gateway, double from, double to) {
  std::vector<json> seen;
  for (const json& s : ended.report["peers_seen"]) {
    if (s["gateway"] == gateway && s["at_s"] >= from && s["at_s"] < to) seen.push_back(s);
  }
  return seen;
}
bool Ever(const std::vector<json>& seen, const std::string& field, const json& value) {
  return std::any_of(seen.begin(), seen.end(), [&](const json& s) { return s[field] == value; });
}
bool Always(const std::vector<json>& seen, const std::string& field, const json& value) {
  return !seen.empty() &&
         std::all_of(seen.begin(), seen.end(), [&](const json& s) { return s[field] == value; });
}

// One reads the list for all; whoever it is meets the fault, and then whoever has followed it.
const std::string kShared = "share_list = true\nlease_ms = 800\n";
std::string Duty(const std::string& kind, const std::string& more = "") {
  return Trouble("drain", 1, 60, "share = 0.2") + Trouble("replace", 2, 1, "share = 0.2") +
         Trouble(kind, 2, 1.5, "holder = true\ntimes = 2\nevery_s = 3\n" + more);
}

// The duty passes on within the bound: the lease, a beat, and a few attempts that may collide.
std::function<void(const Ended&)> HandsOver(std::size_t times) {
  return [times](const Ended& e) {
    const json gaps = e.report["duty"]["gaps_ms"];
    EXPECT_GE(gaps.size(), times) << e.text;
    for (const double gap : gaps) EXPECT_LE(gap, 800 + 100 + 10 * 400) << gaps;
    std::printf("hand-overs in ms: %s\n", gaps.dump().c_str());
  };
}

struct Case {
  std::string name;
  int gateways;
  std::string spec;
  std::function<void(const Ended&)> check;
  int in_touch_at_end;  // of so many gateways
};
std::ostream& operator<<(std::ostream& out, const Case& c) { return out << c.name; }

const std::vector<Case>& Cases() {
  static const std::vector<Case> cases = {
      {"CutOffFromPeersButNotFromHosts", 4,
       Spec(4, "subset = 3\n",
            Trouble("peer_cut", 1, 2, "side = [0]") + Trouble("crash", 1.2, 0.4, "share = 0.3")),
       [](const Ended& e) {
         EXPECT_TRUE(Ever(Seen(e, 0, 1, 4), "in_touch", false)) << e.text;
         EXPECT_TRUE(Always(Seen(e, 0, 0, 5), "shared_among", 4)) << e.text;
         EXPECT_TRUE(Ever(Seen(e, 1, 2, 4), "present", 3)) << e.text;
         EXPECT_TRUE(Always(Seen(e, 1, 1.5, 5), "in_touch", true)) << e.text;
       },
       4},
      {"TwoThatBothCouldThinkTheyAreAlone", 2, Spec(2, "", Trouble("peer_cut", 1, 2, "side = [0]")),
       [](const Ended& e) {
         for (const int g : {0, 1}) {
           EXPECT_TRUE(Ever(Seen(e, g, 1.6, 3), "in_touch", false)) << e.text;
           EXPECT_TRUE(Always(Seen(e, g, 0, 5), "shared_among", 2)) << e.text;
         }
       },
       2},
      {"HalfOfThemKilledAtOnce", 4,
       Spec(4, "subset = 4\n",
            Trouble("gateway_kill", 1, 1.2, "gateway = 0") + Trouble("gateway_kill", 1, 1.2, "gateway = 1")),
       [](const Ended& e) {
         // Two of four are not more than half: the others keep the share that they had.
         EXPECT_TRUE(Ever(Seen(e, 2, 1, 3), "in_touch", false)) << e.text;
         EXPECT_TRUE(Always(Seen(e, 2, 0, 3), "shared_among", 4)) << e.text;
       },
       4},
      {"HostsAddedWhileOneIsStopped", 3,
       Spec(3, "subset = 4\n",
            Trouble("gateway_stall", 0.8, 2, "gateway = 1") + Trouble("replace", 1, 1, "share = 0.4")),
       [](const Ended& e) { EXPECT_TRUE(Ever(Seen(e, 0, 1.5, 3.5), "present", 2)) << e.text; }, 3},
      {"MoreAskedForThanThereAreHosts", 3, Spec(3, "subset = 50\n", Trouble("drain", 1, 60, "share = 0.3")),
       [](const Ended& e) { EXPECT_TRUE(Ever(Seen(e, 0, 0, 1), "hosts_used", 8)) << e.text; }, 3},
      {"OneHasAnOldList", 4,
       Spec(4, "subset = 3\nold_lists = [1]\n", Trouble("crash", 1, 0.4, "share = 0.3")),
       [](const Ended& e) {
         EXPECT_TRUE(Always(Seen(e, 1, 1, 5), "listed", 4)) << e.text;  // it heard of the fourth from others
       },
       4},
      {"OneIsHeardByNobody", 3,
       Spec(3, "subset = 4\n", Trouble("peer_cut", 1, 2, "side = [2]\nway = 'from'")),
       [](const Ended& e) {
         EXPECT_TRUE(Ever(Seen(e, 2, 1, 4), "in_touch", false)) << "it hears all, and nobody hears it\n"
                                                                << e.text;
         EXPECT_TRUE(Ever(Seen(e, 0, 2, 4), "present", 2)) << e.text;
         EXPECT_TRUE(Always(Seen(e, 2, 0, 5), "hosts_used", 6)) << e.text;
       },
       3},
      {"OneIsCutOffFromHalfOfTheHosts", 3,
       Spec(3, "", Trouble("host_cut", 1, 1.5, "side = [1]\nshare = 0.5") + "[host_link]\ndelay_ms = 1\n"),
       [](const Ended& e) { EXPECT_GT(e.report["all"]["goodput"], 0.6) << e.text; }, 3},
      {"HolderOfTheListStopped", 3, Spec(3, kShared, Duty("gateway_stall"), 9), HandsOver(2), 3},
      {"HolderOfTheListKilled", 5, Spec(5, kShared, Duty("gateway_kill"), 9), HandsOver(2), 5},
      {"HolderOfTheListCutOffFromTheOthers", 3, Spec(3, kShared, Duty("peer_cut"), 9), HandsOver(2), 3},
      {"HolderOfTheListHeardByNobody", 3, Spec(3, kShared, Duty("peer_cut", "way = 'from'"), 9), HandsOver(2),
       3},
      {"HolderOfTheListHearsNobody", 3, Spec(3, kShared, Duty("peer_cut", "way = 'to'"), 9), HandsOver(2), 3},
      {"LossDelayAndADoubledWordNowAndThen", 5,
       Spec(5, "subset = 4\nloss = 0.1\ntwice = 0.1\ndelay_ms = 20\njitter_ms = 30\n",
            Trouble("gateway_restart", 1, 1, "gateway = 3")),
       [](const Ended&) {}, 3},
  };
  return cases;
}

class Fleet : public ::testing::TestWithParam<Case> {};

TEST_P(Fleet, KeepsEveryRuleAndNobodysShareGrowsOutOfTouch) {
  const Case& c = GetParam();
  const Ended e = RunLab("fleet-" + c.name, c.spec);
  ASSERT_TRUE(e.report.is_object()) << e.text;
  for (const auto& [rule, found] : e.report["rules"].items())
    EXPECT_EQ(found["broken"], 0) << rule << "\n" << e.text;
  for (const auto& remark : e.report["remarks"])
    EXPECT_EQ(remark.get<std::string>().find("gateway"), std::string::npos) << remark << "\n" << e.text;
  EXPECT_LT(e.report["cold_budget_used"], 1) << e.text;
  EXPECT_GT(e.report["all"]["goodput"], 0.5) << e.text;
  c.check(e);
  // All are there at first and at the end, and whoever has no more than half beside it never counts fewer.
  int in_touch = 0;
  for (int g = 0; g < c.gateways; ++g) {
    const auto seen = Seen(e, g, -1, 100);
    ASSERT_FALSE(seen.empty()) << e.text;
    in_touch += seen.back()["in_touch"].get<bool>();
    for (const json& s : seen) EXPECT_GT(2 * s["shared_among"].get<int>(), c.gateways) << s;
  }
  EXPECT_GE(in_touch, c.in_touch_at_end) << e.text;
}

INSTANTIATE_TEST_SUITE_P(Faults, Fleet, ::testing::ValuesIn(Cases()),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace meadowyard::lab
