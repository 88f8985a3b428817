// What the lines of refusals mean.
#include "cli/log_refusal.h"

#include <string>
// CppUTest redefines `new`: it comes after the standard headers.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail::cli;

namespace {

std::string meaningOf(const std::string& line) {
  const auto parsed = parseLogLine("time_ms=1 event=" + line);
  return parsed ? std::string(refusalMeaning(*parsed)) : "unreadable";
}

}  // namespace

TEST_GROUP(LogRefusal){};

TEST(LogRefusal, reservationsAreChargedForDeadNotDecidedOrNotAnswered) {
  STRCMP_EQUAL("charged_for_dead", meaningOf("reservation_refused reason=unseen_spending").c_str());
  STRCMP_EQUAL("no_answer", meaningOf("reservation_refused reason=no_answer").c_str());
  for (const char* reason : {"decided_too_late", "no_lease", "lease_insufficient", "append_failed",
                             "read_failed", "nodes_not_known", "unknown"}) {
    STRCMP_EQUAL("not_decided",
                 meaningOf(std::string("reservation_refused reason=") + reason).c_str());
  }
}

TEST(LogRefusal, historiesAreNotDecidedWhereACoordinatorLives) {
  STRCMP_EQUAL("not_decided", meaningOf("history_refused coordinator_lives=1").c_str());
  STRCMP_EQUAL("no_answer", meaningOf("history_refused coordinator_lives=0").c_str());
}

TEST(LogRefusal, limitsAreNotDecidedWhereACoordinatorAnsweredMeanwhile) {
  STRCMP_EQUAL("not_decided", meaningOf("quota_unknown last_answer_ms=300 waited_ms=700").c_str());
  STRCMP_EQUAL("no_answer", meaningOf("quota_unknown last_answer_ms=2400 waited_ms=700").c_str());
  STRCMP_EQUAL("no_answer", meaningOf("quota_unknown last_answer_ms=\"\" waited_ms=700").c_str());
}

TEST(LogRefusal, placementsTellAFullReplicaBesideRoom) {
  STRCMP_EQUAL("full_beside_room",
               meaningOf("placement_refused load_percent=212 least_load_percent=90").c_str());
  STRCMP_EQUAL("all_full",
               meaningOf("placement_refused load_percent=212 least_load_percent=212").c_str());
}

TEST(LogRefusal, otherLinesMeanNoRefusal) {
  STRCMP_EQUAL("", meaningOf("request_ended reason=reservation_unavailable").c_str());
}
