// Checks which log lines of several nodes are collected for a request.
#include "cli/log_story.h"

#include <sstream>
// CppUTest redefines `new`, so it is included after the standard headers.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail::cli;

namespace {

const char* const kLog =
    "time_ms=500 event=store_way way=relay\n"
    "not a log line\n"
    "time_ms=2500 event=store_lost topic=members fault=no_answer reason=\"time limit reached\"\n"
    "time_ms=3000 event=dispatch request=q1 route=r replica=i-1 number=1\n"
    "time_ms=3001 event=dispatch request=q2 route=r replica=i-2 number=1\n"
    "time_ms=3060 event=replica_failed request=q1 replica=i-1 reason=\"closed \\\"early\\\"\"\n"
    "time_ms=3060 event=request_ended request=q1 outcome=unknown_502 reason=replica_broke_off\n"
    "time_ms=9000 event=store_regained address=a:1\n";

}  // namespace

TEST_GROUP(LogStory) {
  LogStory story{"q1"};

  void read(const std::string& text, const std::string& source) {
    std::istringstream lines(text);
    story.read(lines, source);
  }
};

TEST(LogStory, returnsTheRequestsLinesInOrderWithRecentStateChanges) {
  read(kLog, "a.log");
  const auto lines = story.lines();
  LONGS_EQUAL(4, lines.size());
  STRCMP_EQUAL("store_lost", lines[0].event.c_str());
  STRCMP_EQUAL("dispatch", lines[1].event.c_str());
  STRCMP_EQUAL("request_ended", lines[3].event.c_str());
  LONGS_EQUAL(1, story.passedOver());
}

TEST(LogStory, excludesStateChangesOfOtherNodes) {
  read(kLog, "a.log");
  read("time_ms=2900 event=store_lost topic=members\n", "b.log");
  LONGS_EQUAL(4, story.lines().size());
}

TEST(LogStory, mergesLinesOfSeveralNodes) {
  read("time_ms=3200 event=dispatch request=q1 number=1\n", "b.log");
  read(kLog, "a.log");
  const auto lines = story.lines();
  LONGS_EQUAL(5, lines.size());
  STRCMP_EQUAL("b.log", lines[4].source.c_str());
}

TEST(LogStory, showsTheLeasesOfAProgramAtAllNodes) {
  LogStory account("p1");
  std::istringstream lines(
      "time_ms=10 event=budget_lease partition=b/1 lease=n/1 state=held\n"
      "time_ms=10 event=budget_lease partition=b/2 lease=n/2 state=held\n"
      "time_ms=90000 event=budget_settled request=q1 program=p1 partition=b/1 lease=n/1\n"
      "time_ms=90001 event=budget_settled request=q2 program=p2 partition=b/2 lease=n/2\n"
      "time_ms=99000 event=budget_lease_recovery partition=b/1 lease=n/1 outcome=cleared\n");
  account.read(lines, "a.log");
  const auto story = account.lines();
  LONGS_EQUAL(3, story.size());
  STRCMP_EQUAL("held", story[0].fieldOf("state").c_str());
  STRCMP_EQUAL("q1", story[1].fieldOf("request").c_str());
  STRCMP_EQUAL("cleared", story[2].fieldOf("outcome").c_str());
}

TEST(LogStory, reportsThatNoLineWasFound) {
  read("time_ms=1 event=dispatch request=other\n", "a.log");
  CHECK_FALSE(story.found());
}

TEST(LogStory, parsesQuotedValuesAndACollectorPrefix) {
  const auto line =
      parseLogLine("  10.7659 edge-b-3 time_ms=5 event=x reason=\"a \\\"b\\\" c\" empty=\"\" n=3");
  STRCMP_EQUAL("edge-b-3", line->source.c_str());
  STRCMP_EQUAL("a \"b\" c", line->fieldOf("reason").c_str());
  STRCMP_EQUAL("", line->fieldOf("empty").c_str());
  STRCMP_EQUAL("3", line->fieldOf("n").c_str());
  CHECK_FALSE(parseLogLine("plain text").has_value());
  CHECK_FALSE(parseLogLine("time_ms=5 nothing").has_value());
}
