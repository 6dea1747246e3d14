// The lab's own parts without I/O: what it draws, models, measures and judges.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <sstream>

#include "lab/compare.hpp"
#include "lab/host_model.hpp"
#include "lab/link_model.hpp"
#include "lab/referee.hpp"
#include "lab/report.hpp"
#include "lab/schedule.hpp"
#include "lab/spec.hpp"
#include "lab/theory.hpp"
#include "log/log.hpp"

namespace meadowyard::lab {
namespace {

constexpr const char* kUsual = R"(duration_s = 10
[[class]]
name = "view"
share = 0.7
[[class]]
name = "pay"
repeats = "never"
share = 0.3
[[tenant]]
name = "nord"
[fleet]
halls = ["a", "b"]
[load]
rate = 200
)";

Experiment Usual(const std::string& more = "") { return ParseExperiment(kUsual + more, "e.toml"); }

TEST(LabSpec, NamesFileLineAndFieldOfWhatIsWrong) {
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"", "e.toml:1: class: there is no [[class]]"},
      {"speed = 1\n[[class]]\nname = 'a'", "e.toml:1: speed: unknown field"},
      {"[[class]]\nname = 'a'\naim_ms = 0", "e.toml:3: class.aim_ms: must be a number from 1"},
      {"[[class]]\nname = 'a'\naim_ms = 'x'", "e.toml:3: class.aim_ms: must be a number"},
      {"[[class]]\nname = 'a'\nrepeats = 'often'",
       "e.toml:3: class.repeats: must be one of safe, keyed, never"},
      {"[[class]]\nname = 'a'\n[[class]]\nname = 'a'", "e.toml:4: class.name: 'a' is there twice"},
      {"[[class]]\nname = 'a'\naim_ms = 900\ndeadline_ms = 800",
       "e.toml:4: class.deadline_ms: must not be below"},
      {"[[class]]\nname = 'a'\n[[fleet.kind]]\ncores = 1.5",
       "e.toml:4: fleet.kind.cores: must be a whole number"},
      {"[[class]]\nname = 'a'\n[fleet]\nhalls = []", "e.toml:4: fleet.halls: must be a list of texts"},
      {"[[class]]\nname = 'a'\n[[trouble]]\nat_s = 1", "e.toml:3: trouble.kind: must be one of crash"},
      {"[[class]]\nname = 'a'\n[[trouble]]\nkind = 'hall_dead'\nhall = 'z'",
       "e.toml:5: trouble.hall: fleet.halls has no 'z'"},
      {"[[class]]\nname = 'a'\n[[trouble]]\nkind = 'link_cut'", "e.toml:4: trouble.kind: there is no [link]"},
      {"[[class]]\nname = 'a'\n[load]\n[[load.shape]]\nkind = 'step'\ntenant = 'x'",
       "e.toml:6: load.shape.tenant: no [[tenant]]"},
      {"[[class]\nname", "e.toml:1: "},
  };
  for (const auto& [text, wanted] : cases) {
    try {
      ParseExperiment(text, "e.toml");
      ADD_FAILURE() << text << "\nwas taken";
    } catch (const SpecError& error) {
      EXPECT_EQ(std::string(error.what()).substr(0, wanted.size()), wanted) << text;
    }
  }
}

// The same seed gives the same schedule to the byte, another one another; and the rate follows its shapes.
TEST(LabSchedule, IsDrawnFromItsSeed) {
  const Experiment e = Usual("[[load.shape]]\nkind = 'step'\nfrom_s = 4\nto_s = 6\nfactor = 5\n");
  const auto arrivals = DrawSchedule(e, 7);
  EXPECT_EQ(ScheduleText(e, arrivals), ScheduleText(e, DrawSchedule(e, 7)));
  EXPECT_NE(ScheduleText(e, arrivals), ScheduleText(e, DrawSchedule(e, 8)));
  const auto between = [&](Millis from, Millis to) {
    return static_cast<double>(std::count_if(arrivals.begin(), arrivals.end(),
                                             [&](const Arrival& a) { return a.due >= from && a.due < to; }));
  };
  EXPECT_NEAR(between(0, 4000), 800, 5 * std::sqrt(800));
  EXPECT_NEAR(between(4000, 6000), 2000, 5 * std::sqrt(2000));
  EXPECT_NEAR(between(6000, 10000), 800, 5 * std::sqrt(800));
  EXPECT_TRUE(
      std::is_sorted(arrivals.begin(), arrivals.end(), [](auto& a, auto& b) { return a.due < b.due; }));
}

TEST(LabSchedule, DrawsEachKindOfArrivals) {
  for (const char* kind : {"poisson", "uniform", "bursts"}) {
    const Experiment e = Usual(std::string("arrivals = '") + kind + "'\nburst = 20\n");
    const auto arrivals = DrawSchedule(e, 3);
    EXPECT_NEAR(static_cast<double>(arrivals.size()), 2000, 700) << kind;
    double longest = 0;
    for (std::size_t i = 1; i < arrivals.size(); ++i)
      longest = std::max(longest, arrivals[i].due - arrivals[i - 1].due);
    if (std::string(kind) == "uniform") {
      EXPECT_NEAR(longest, 5, 0.01);
    }
    const auto views =
        std::count_if(arrivals.begin(), arrivals.end(), [](const Arrival& a) { return a.cls == 0; });
    EXPECT_NEAR(static_cast<double>(views) / static_cast<double>(arrivals.size()), 0.7, 0.06) << kind;
  }
}

TEST(LabTrace, TellsItsBadLinesAndUsesTheRest) {
  struct Case {
    std::string text;
    std::size_t usable;
    std::vector<std::pair<std::size_t, std::string>> problems;
  };
  const std::vector<Case> cases = {
      {"{\"t\":0.5,\"class\":\"view\",\"key\":\"k\",\"owner\":\"nord\",\"work_ms\":3}\n{\"t\":1}\n", 2, {}},
      {"{\"t\":2,\"class\":\"view\"}\n{\"t\":1,\"class\":\"view\"}\n", 2, {{2, "earlier"}}},
      {"{\"t\":1,\"class\":\"nobody\"}\n{\"t\":2}\n", 1, {{1, "no [[class]] is named 'nobody'"}}},
      {"{\"t\":1}\n{\"t\":2,\"cla", 1, {{2, "cut short"}}},
      {"{\"t\":-1}\n{\"t\":99}\n{\"t\":1}\n", 1, {{1, "no number"}, {2, "later than duration_s"}}},
      {"t,class,key\n0.1,view,\"a,b\"\r\n0.2,pay\n0.3,pay,x\n",
       2,
       {{3, "2 cells where the head line has 3"}}},
  };
  for (const Case& c : cases) {
    std::istringstream stream(c.text);
    std::vector<TraceProblem> problems;
    const auto arrivals = ReadTrace(Usual(), 1, stream, "t.jsonl", problems);
    EXPECT_EQ(arrivals.size(), c.usable) << c.text;
    ASSERT_EQ(problems.size(), c.problems.size()) << c.text;
    for (std::size_t i = 0; i < problems.size(); ++i) {
      EXPECT_EQ(problems[i].line, c.problems[i].first);
      EXPECT_NE(problems[i].why.find(c.problems[i].second), std::string::npos) << problems[i].why;
    }
    EXPECT_TRUE(
        std::is_sorted(arrivals.begin(), arrivals.end(), [](auto& a, auto& b) { return a.due < b.due; }));
  }
  std::istringstream none("{\"no\":1}\n");
  std::vector<TraceProblem> problems;
  EXPECT_THROW(ReadTrace(Usual(), 1, none, "t.jsonl", problems), SpecError);
}

KindSpec Kind(int cores, int waiting = 2) {
  KindSpec kind;
  kind.cores = cores;
  kind.waiting = waiting;
  return kind;
}

// When each ticket ended, looked at only when the model asks for it.
std::map<std::uint64_t, Millis> RunOut(HostModel& model, Millis from) {
  std::map<std::uint64_t, Millis> ends;
  std::vector<HostModel::Done> done;
  Millis now = from;
  for (int i = 0; i < 10000; ++i) {
    const auto due = model.NextDue();
    if (!due) break;
    now = std::max(now, *due);
    model.Advance(now, done);
    for (const auto& d : done) ends[d.ticket] = now;
    done.clear();
  }
  return ends;
}

TEST(LabHostModel, WorksOneAfterTheOtherAndTurnsAwayWhatHasNoPlace) {
  HostModel model(Kind(1));
  using V = HostModel::Verdict;
  EXPECT_EQ(model.Offer(0, 1, 10, 0), V::kTaken);
  EXPECT_EQ(model.Offer(1, 2, 10, 0), V::kTaken);
  EXPECT_EQ(model.Offer(1, 3, 10, 0), V::kTaken);
  EXPECT_EQ(model.Offer(1, 4, 10, 0), V::kFull);
  model.Drain(true);
  EXPECT_EQ(model.Offer(2, 5, 10, 0), V::kDraining);
  EXPECT_TRUE(model.Cancel(3, 3));
  EXPECT_FALSE(model.Cancel(3, 1));  // runs already
  const auto ends = RunOut(model, 3);
  ASSERT_EQ(ends.size(), 2u);
  EXPECT_NEAR(ends.at(1), 10, 1e-6);
  EXPECT_NEAR(ends.at(2), 20, 1e-6);
}

TEST(LabHostModel, SharesItsCoresSlowsAndFreezes) {
  KindSpec kind = Kind(1, 10);
  kind.slots = 2;
  HostModel model(kind);
  model.Offer(0, 1, 10, 0);
  model.Offer(0, 2, 10, 0);  // half the core each
  model.Freeze(5, true);
  EXPECT_FALSE(model.NextDue());
  model.Freeze(105, false);
  model.Slow(105, 2);
  const auto ends = RunOut(model, 105);
  EXPECT_NEAR(ends.at(1), 105 + 2 * 15, 1e-6);
  EXPECT_NEAR(ends.at(2), 105 + 2 * 15, 1e-6);
}

TEST(LabHostModel, IsColdAtFirstAndFallsOverWhenPushed) {
  KindSpec kind = Kind(4, 1000);
  kind.cold_from = 0.1;
  kind.cold_for = 10000;
  kind.fall_multiple = 2.5;
  HostModel model(kind);
  model.Start(0, true);
  EXPECT_NEAR(model.Warmth(5000), 0.55, 1e-9);
  // Of 600 ms of work in 1.5 s it can do as much; 2.5 times that is 1500.
  for (int i = 0; i < 14; ++i) model.Offer(1, static_cast<std::uint64_t>(i + 1), 100, 0);
  EXPECT_FALSE(model.fell());
  model.Offer(2, 99, 200, 0);
  EXPECT_TRUE(model.fell());
}

TEST(LabHostModel, DoesLessForAKeyThatItMet) {
  KindSpec kind = Kind(1, 10);
  kind.warm_gain = 0.5;
  HostModel model(kind);
  model.Offer(0, 1, 10, 42);
  model.Offer(0, 2, 10, 42);
  const auto ends = RunOut(model, 0);
  EXPECT_NEAR(ends.at(1), 10, 1e-6);
  EXPECT_NEAR(ends.at(2), 15, 1e-6);
}

// Bytes come late and in order, never before the link's delay; losses show as stalls of the expected mean.
TEST(LabLink, HoldsBytesUpInOrder) {
  LinkSpec spec;
  spec.delay = 10, spec.jitter = 5, spec.loss = 0.3, spec.stall = 100, spec.bandwidth = 1e6;
  LinkModel link(spec, 1, "x");
  Millis last = 0, sum = 0;
  constexpr int kSent = 20000;
  for (int i = 0; i < kSent; ++i) {
    const Millis now = last + 1000;  // each alone on the link
    const Millis at = link.Arrives(now, 1000);
    EXPECT_GE(at, now + spec.delay + 1);
    sum += at - now - spec.delay - spec.jitter / 2 - 1;
    last = at;
  }
  double mean = 0;  // of stalls: up to four, each twice as long
  for (int k = 0; k < kMostDoublings; ++k) mean += std::pow(0.3, k + 1) * 100 * std::pow(2, k);
  EXPECT_NEAR(sum / kSent, mean, 0.05 * mean);
  EXPECT_GE(link.Arrives(0, 1), last);
  link.CutUntil(last + 5000);
  EXPECT_GE(link.Arrives(last, 1), last + 5000);
}

TEST(LabLink, LosesDoublesAndReordersDatagrams) {
  DatagramSpec spec;
  spec.loss = 0.2, spec.twice = 0.1, spec.late = 0.1, spec.late_by = 50;
  DatagramModel link(spec, 1, "x");
  int lost = 0, twice = 0, overtaken = 0;
  Millis before = 0;
  for (int i = 0; i < 10000; ++i) {
    const auto copies = link.Arrives(i);
    lost += copies.empty(), twice += copies.size() == 2;
    for (const Millis at : copies) overtaken += at < before, before = at;
  }
  EXPECT_NEAR(lost, 2000, 200);
  EXPECT_NEAR(twice, 800, 150);
  EXPECT_GT(overtaken, 500);
  link.CutUntil(20000);
  EXPECT_TRUE(link.Arrives(15000).empty());
}

TEST(LabTheory, AgreesWithKnownQueues) {
  const Sojourn one = MMc(1, 0.08, 0.1);
  EXPECT_NEAR(one.mean, 50, 1e-9);
  EXPECT_NEAR(one.p50, 50 * std::log(2), 1e-6);
  EXPECT_NEAR(one.p99, 50 * std::log(100), 1e-6);
  EXPECT_NEAR(MMc(4, 0.32, 0.1).mean, 10 + 0.59643 / (0.4 - 0.32), 0.01);  // Erlang C(4, 3.2)
  const Sojourn fixed = MD1(0.08, 10);
  EXPECT_NEAR(fixed.mean, 30, 1e-9);
  // Against Lindley's recursion over many draws.
  Random random(5, "lindley");
  std::vector<double> sojourns;
  double wait = 0;
  for (int i = 0; i < 400000; ++i) {
    sojourns.push_back(wait + 10);
    wait = std::max(0.0, wait + 10 - random.Exponential(12.5));
  }
  const Quantiles q = QuantilesOf(sojourns);
  EXPECT_NEAR(q.p50, fixed.p50, 0.03 * fixed.p50);
  EXPECT_NEAR(q.p99, fixed.p99, 0.05 * fixed.p99);
}

TEST(LabReport, SaysWhatAClosedLoopWouldClaim) {
  // One every 10 ms; from 1 s to 3 s nothing is answered, then all at once.
  std::vector<Arrival> arrivals(500);
  std::vector<double> latency;
  for (std::size_t i = 0; i < arrivals.size(); ++i) {
    arrivals[i].due = 10.0 * static_cast<double>(i);
    const bool frozen = arrivals[i].due >= 1000 && arrivals[i].due < 3000;
    latency.push_back(frozen ? 3000 - arrivals[i].due : 1);
  }
  EXPECT_GT(QuantilesOf(latency).p90, 900);
  const auto claimed = ClosedLoop(arrivals, latency, 1);
  EXPECT_EQ(std::count_if(claimed.begin(), claimed.end(), [](double l) { return l > 100; }), 1);
}

TEST(LabCompare, GivesTheDifferenceOfPairs) {
  const Difference d = Paired({1, 2, 3, 4}, {2, 3, 5, 5});
  EXPECT_NEAR(d.mean, 1.25, 1e-9);
  EXPECT_NEAR(d.half_width, 3.182446 * 0.5 / 2, 1e-5);  // t(3) at 97.5%
  EXPECT_TRUE(d.clear());
  EXPECT_FALSE(Paired({1, 2}, {2, 1}).clear());
  EXPECT_THROW(Paired({1}, {2}), std::invalid_argument);
}

// One request and one run of it that break nothing; each case then breaks one rule.
struct Scene {
  Scene() {
    arrivals.resize(1);
    arrivals[0].cls = 1;  // must not repeat
    Try t;
    t.id = 77, t.gateway = 0, t.due = 10000, t.sent = 10001, t.ended = 10030, t.patience = 1000;
    t.outcome = Try::Outcome::kServed, t.status = 200;
    tries = {t};
    ledger.hosts = {"h0", "h1"};
    ledger.executions = {{77, 0, true, 10002, 10003, 10003, 10025, Execution::Outcome::kAnswered}};
  }
  Experiment experiment = Usual();
  std::vector<Arrival> arrivals;
  std::vector<Try> tries;
  FleetLedger ledger;
  std::vector<Outage> outages;
};

TEST(LabReferee, FindsEachBrokenRuleAndNothingElse) {
  struct Case {
    const char* name;
    std::function<void(Scene&)> spoil;
    std::optional<Rule> rule;
  };
  const auto unanswered = [](Scene& s) {
    s.tries[0].outcome = Try::Outcome::kGaveUp, s.tries[0].ended = 11000;
  };
  const std::vector<Case> cases = {
      {"clean", [](Scene&) {}, {}},
      {"never answered", unanswered, Rule::kOneAnswer},
      {"never answered by a gateway that was killed",
       [&](Scene& s) {
         unanswered(s), s.outages = {{0, 10500, 12000}};
       },
       {}},
      {"never answered while another was killed",
       [&](Scene& s) {
         unanswered(s), s.outages = {{1, 10500, 12000}};
       },
       Rule::kOneAnswer},
      {"never answered over a poor link", [&](Scene& s) { unanswered(s), s.experiment.link.on = true; }, {}},
      {"sent when it was too late", [&](Scene& s) { unanswered(s), s.tries[0].sent = 10950; }, {}},
      {"cut off", [](Scene& s) { s.tries[0].outcome = Try::Outcome::kCut; }, Rule::kOneAnswer},
      {"answered twice", [](Scene& s) { s.tries[0].outcome = Try::Outcome::kTwice; }, Rule::kOneAnswer},
      {"served by no host", [](Scene& s) { s.ledger.executions.clear(); }, Rule::kTrueAnswer},
      {"served with another's", [](Scene& s) { s.tries[0].outcome = Try::Outcome::kWrong; },
       Rule::kTrueAnswer},
      {"sent again after it may have run",
       [](Scene& s) {
         s.ledger.executions.push_back({77, 1, true, 10010, 10010, 0, 0, Execution::Outcome::kLost});
         s.ledger.executions[0].outcome = Execution::Outcome::kLost;
         s.tries[0].outcome = Try::Outcome::kFailed;
       },
       Rule::kNoRepeat},
      {"sent again after it was turned away",
       [](Scene& s) {
         s.ledger.executions.insert(s.ledger.executions.begin(),
                                    {77, 1, true, 10001, 10001, 0, 10001, Execution::Outcome::kDeclined});
       },
       {}},
      {"sent to a host told draining",
       [](Scene& s) {
         s.ledger.told = {{8900, 0, 0, false}};
       },
       Rule::kDrains},
      {"sent within the second",
       [](Scene& s) {
         s.ledger.told = {{9100, 0, 0, false}};
       },
       {}},
      {"told up again",
       [](Scene& s) {
         s.ledger.told = {{8000, 0, 0, false}, {9900, 0, 0, true}};
       },
       {}},
      {"another gateway was told",
       [](Scene& s) {
         s.ledger.told = {{8000, 1, 0, false}};
       },
       {}},
      {"a cold host fell",
       [](Scene& s) {
         s.ledger.events = {{9000, 0, "fell"}};
       },
       Rule::kColdHosts},
      {"held back and refused unsent",
       [](Scene& s) {
         s.ledger.executions.clear(), s.tries[0].outcome = Try::Outcome::kRefused, s.tries[0].ended = 10700;
       },
       Rule::kPrompt},
      {"refused at once",
       [](Scene& s) { s.ledger.executions.clear(), s.tries[0].outcome = Try::Outcome::kRefused; },
       {}},
      {"a request of nobody's",
       [](Scene& s) {
         s.ledger.executions.push_back({5, 0, false, 10002, 10003, 0, 0, Execution::Outcome::kAnswered});
       },
       Rule::kKnownRequests},
  };
  for (const Case& c : cases) {
    Scene s;
    c.spoil(s);
    for (const Finding& f : Judge({s.experiment, s.arrivals, s.tries, s.ledger, s.outages})) {
      EXPECT_EQ(f.count, c.rule == f.rule ? 1u : 0u) << c.name << ": " << Name(f.rule);
    }
  }
}

TEST(Log, WritesOneEventALine) {
  const log::Fields fields = {{"host", "h-1"}, {"why", "two words \"quoted\"\n"}};
  EXPECT_EQ(log::FormatLine(log::Format::kText, log::Level::kWarn, "T", "dropped", fields),
            "T warn dropped host=h-1 why=\"two words \\\"quoted\\\"\\n\"");
  EXPECT_EQ(log::FormatLine(log::Format::kJson, log::Level::kInfo, "T", "dropped", {{"why", "\xff"}}),
            "{\"time\":\"T\",\"level\":\"info\",\"event\":\"dropped\",\"why\":\"\xEF\xBF\xBD\"}");
  EXPECT_THROW(log::StartLog(log::Format::kText, "loud"), std::invalid_argument);
}

}  // namespace
}  // namespace meadowyard::lab
