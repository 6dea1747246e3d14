// The simulator's text protocol: parsing of lines and settings, the printed replies, and the rejection of
// malformed lines.
#include "simulator/simulator_session.hpp"

#include <gtest/gtest.h>

#include "simulator/settings_parser.hpp"

namespace meadowyard::simulator {
namespace {

std::string Play(SimulatorSession& session, std::initializer_list<const char*> lines) {
  for (const char* line : lines) session.ConsumeLine(line);
  return session.TakeReply();
}

constexpr const char* kCreate =
    "CREATE 5 categories.count=1 categories.0.name=view categories.0.sloMs=500.0 "
    "categories.0.deadlineMs=1000.0 categories.0.importance=2.0 categories.0.idempotency=pure "
    "limits.maxAttempts=4 membershipMode=push new.key.of.later=1";

TEST(SimulatorSession, EmptyBatchGetsAnEmptyReply) {
  SimulatorSession session;
  EXPECT_EQ(Play(session, {"TURN 1.5", "EOF_BATCH"}), "OK\n");
}

TEST(SimulatorSession, RequestIsSentThroughTheListOfItsBatch) {
  SimulatorSession session;
  const std::string reply =
      Play(session, {"TURN 10", "INSTANCE 3", kCreate, "SNAPSHOT_ROWS 0 1", "ENTRY h1 z k 0 up 1 -",
                     "REGISTRY 0 1 C", "KNOCK t/1 view - - 400.0 - 0 extra", "EOF_BATCH"});
  EXPECT_NE(reply.find("CONTEXT 3\n"), std::string::npos);
  EXPECT_NE(reply.find("PASS_ON t/1 h1 400.000\n"), std::string::npos) << reply;
}

TEST(SimulatorSession, ListNumbersAreResolvedInTheOrderOfEvents) {
  SimulatorSession session;
  const std::string reply =
      Play(session, {"TURN 10", "INSTANCE 1", kCreate, "SNAPSHOT_ROWS 0 1", "ENTRY h1 z k 0 up 1 -",
                     "REGISTRY 0 1 C", "INSTANCE 2", kCreate, "SNAPSHOT_ROWS 0 1", "ENTRY h2 z k 0 up 1 -",
                     "REGISTRY 0 1 C", "INSTANCE 1", "KNOCK t/1 view - - 400 - 0", "INSTANCE 2",
                     "KNOCK t/2 view - - 400 - 0", "EOF_BATCH"});
  EXPECT_NE(reply.find("PASS_ON t/1 h1"), std::string::npos) << reply;
  EXPECT_NE(reply.find("PASS_ON t/2 h2"), std::string::npos) << reply;
}

TEST(SimulatorSession, InstanceKilledAndMadeAgainInOneBatchStartsEmpty) {
  SimulatorSession session;
  Play(session, {"TURN 10", "INSTANCE 1", kCreate, "SNAPSHOT_ROWS 0 1", "ENTRY h1 z k 0 up 1 -",
                 "REGISTRY 0 1 C", "EOF_BATCH"});
  const std::string reply = Play(session, {"TURN 20", "INSTANCE 1", "CRASH_NOW", kCreate, "SNAPSHOT_ROWS 1 0",
                                           "REGISTRY 1 1 C", "KNOCK t/1 view - - 400 - 0", "EOF_BATCH"});
  EXPECT_EQ(reply.find("PASS_ON"), std::string::npos) << reply;
}

// Returns the output of instance 0 over `rounds` batches, while `other_instances` more share its process.
std::string InstanceOutput(int other_instances, int rounds) {
  SimulatorSession session;
  std::string output;
  for (int round = 0; round < rounds; ++round) {
    session.ConsumeLine("TURN " + std::to_string(10 * round));
    for (int i = 0; i <= other_instances; ++i) {
      // Instance 0, whose output is returned, comes after the others, so that their events could affect it.
      session.ConsumeLine("INSTANCE " + std::to_string((i + 1) % (other_instances + 1)));
      if (round == 0) {
        for (const char* line : {kCreate, "SNAPSHOT_ROWS 0 3", "ENTRY h1 z k 0 up 1 -",
                                 "ENTRY h2 z k 0 up 1 -", "ENTRY h3 z k 0 up 1 -", "REGISTRY 0 1 C"}) {
          session.ConsumeLine(line);
        }
      }
      const std::string id = "t/" + std::to_string(round);
      session.ConsumeLine("KNOCK " + id + " view - - 400 - 0");
      if (round % 3 != 0) session.ConsumeLine("FIRED sweep");
    }
    session.ConsumeLine("EOF_BATCH");
    const std::string reply = session.TakeReply();
    bool from_instance = false;
    std::size_t start = 0;
    for (std::size_t end; (end = reply.find('\n', start)) != std::string::npos; start = end + 1) {
      const std::string line = reply.substr(start, end - start);
      if (line.starts_with("CONTEXT ")) {
        from_instance = line == "CONTEXT 0";
      } else if (from_instance && line != "OK") {
        output += line + "\n";
      }
    }
  }
  return output;
}

TEST(SimulatorSession, InstanceActsAlikeAloneAndAmongOthersInOneProcess) {
  const std::string alone = InstanceOutput(0, 60);
  EXPECT_NE(alone.find("PASS_ON t/0 "), std::string::npos) << alone;
  EXPECT_EQ(alone, InstanceOutput(2, 60));
}

TEST(SimulatorSession, SettingsAreReadAndUnknownOnesSkipped) {
  const Settings settings =
      ParseSettings({"categories.1.name=b", "categories.0.name=a", "categories.count=2",
                     "categories.0.idempotency=token", "categories.0.group=cell", "projects.0.quotaPerS=12.5",
                     "limits.retryAfter=true", "limits.maxRetryAfterMs=600.0", "familyInfo.warmKeys=true",
                     "report.fields=inflight,util", "who.knows=this"});
  ASSERT_EQ(settings.classes.size(), 2u);
  EXPECT_EQ(settings.classes[0].name, "a");
  EXPECT_EQ(settings.classes[0].idempotency, Idempotency::kIdempotencyKey);
  EXPECT_EQ(settings.classes[0].dedup_scope, DedupScope::kCell);
  EXPECT_EQ(settings.tenants.at(0).quota_per_s, 12.5);
  EXPECT_EQ(settings.max_retry_after, 600);
  EXPECT_TRUE(settings.sends_retry_after && settings.key_affinity);
  EXPECT_EQ(settings.load_report_fields, (std::vector<std::string>{"inflight", "util"}));
}

TEST(SimulatorSession, KillWithAttemptsOutLeavesNothingBehind) {
  SimulatorSession session;
  Play(session, {"TURN 10", "INSTANCE 1", kCreate, "SNAPSHOT_ROWS 0 1", "ENTRY h1 z k 0 up 1 -",
                 "REGISTRY 0 1 C", "KNOCK t/1 view - - 400 - 0", "EOF_BATCH"});
  const std::string reply = Play(
      session, {"TURN 20", "INSTANCE 1", "CRASH_NOW", kCreate, "SNAPSHOT_ROWS 0 1", "ENTRY h1 z k 0 up 1 -",
                "REGISTRY 0 1 C", "COMPLETED t/1 0 h1 10 1 5.0 -", "EXPIRED t/1", "EOF_BATCH"});
  EXPECT_EQ(reply.find("t/1"), std::string::npos) << reply;
}

class Malformed : public ::testing::TestWithParam<const char*> {};

TEST_P(Malformed, LineIsNamedAndRejected) {
  SimulatorSession session;
  Play(session, {"TURN 10", "INSTANCE 1", kCreate, "EOF_BATCH"});
  session.ConsumeLine("TURN 11");
  session.ConsumeLine("INSTANCE 1");
  EXPECT_THROW(session.ConsumeLine(GetParam()), SimulatorProtocolError) << GetParam();
}

INSTANTIATE_TEST_SUITE_P(Lines, Malformed,
                         ::testing::Values("BOGUS 1", "TURN x", "TURN 12", "KNOCK t/1 view - - abc - 0",
                                           "KNOCK t/1", "COMPLETED t/1 0 h 99 1 5.0 -",
                                           "COMPLETED t/1 0 h 10 maybe 5.0 -", "ENTRY h z k 0 up 1 -",
                                           "SNAPSHOT_ROWS 16 0", "REGISTRY 0 1 Q", "INSTANCE one",
                                           "CREATE notanumber", "CREATE 5 novalue", "CREATE 5 zone=a",
                                           "KNOCK t/1 view - - nan - 0", ""));

TEST(SimulatorSession, EventForAnInstanceThatDoesNotExistIsRejected) {
  SimulatorSession session;
  session.ConsumeLine("TURN 1");
  session.ConsumeLine("INSTANCE 9");
  EXPECT_THROW(session.ConsumeLine("FIRED sweep"), SimulatorProtocolError);
}

}  // namespace
}  // namespace meadowyard::simulator
