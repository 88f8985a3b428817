// Checks how refusal lines are classified.
#include "cli/log_refusal.h"

#include <string>
// CppUTest redefines `new`, so it is included after the standard headers.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail::cli;

namespace {

std::string refusalClassOf(const std::string& line) {
  const auto parsed = parseLogLine("time_ms=1 event=" + line);
  return parsed ? std::string(classifyRefusal(*parsed)) : "unreadable";
}

}  // namespace

TEST_GROUP(LogRefusal){};

TEST(LogRefusal, classifiesRefusedReservationsByReason) {
  STRCMP_EQUAL("charged_for_dead",
               refusalClassOf("reservation_refused reason=unseen_spending").c_str());
  STRCMP_EQUAL("no_answer", refusalClassOf("reservation_refused reason=no_answer").c_str());
  STRCMP_EQUAL("turns_not_settled",
               refusalClassOf("reservation_refused reason=unsettled_turns").c_str());
  for (const char* reason : {"decided_too_late", "no_lease", "lease_insufficient", "append_failed",
                             "read_failed", "nodes_not_known", "unknown"}) {
    STRCMP_EQUAL("not_decided",
                 refusalClassOf(std::string("reservation_refused reason=") + reason).c_str());
  }
}

TEST(LogRefusal, classifiesRefusedHistoriesByCoordinatorState) {
  STRCMP_EQUAL("not_decided", refusalClassOf("history_refused coordinator_lives=1").c_str());
  STRCMP_EQUAL("no_answer", refusalClassOf("history_refused coordinator_lives=0").c_str());
}

TEST(LogRefusal, classifiesUnknownQuotasByTheAgeOfTheLastReply) {
  STRCMP_EQUAL("not_decided",
               refusalClassOf("quota_unknown last_answer_ms=300 waited_ms=700").c_str());
  STRCMP_EQUAL("no_answer",
               refusalClassOf("quota_unknown last_answer_ms=2400 waited_ms=700").c_str());
  STRCMP_EQUAL("no_answer",
               refusalClassOf("quota_unknown last_answer_ms=\"\" waited_ms=700").c_str());
}

TEST(LogRefusal, classifiesRefusedPlacementsByTheLeastLoad) {
  STRCMP_EQUAL("full_beside_room",
               refusalClassOf("placement_refused load_percent=212 least_load_percent=90").c_str());
  STRCMP_EQUAL("all_full",
               refusalClassOf("placement_refused load_percent=212 least_load_percent=212").c_str());
}

TEST(LogRefusal, classifiesProgramsThatMayNotStartByWhatDecided) {
  const std::string refused = "placement_refused reason=program_not_admitted decided_by=";
  STRCMP_EQUAL("service_full", refusalClassOf(refused + "load").c_str());
  STRCMP_EQUAL("room_used_up", refusalClassOf(refused + "pace").c_str());
  STRCMP_EQUAL("load_unknown", refusalClassOf(refused + "own_requests").c_str());
}

TEST(LogRefusal, classifiesStreamsThatWereNotContinued) {
  const std::string unknown = "stream_not_continued reason=stream_origin_unknown resumes=";
  STRCMP_EQUAL("stream_not_named", refusalClassOf(unknown + "\"\"").c_str());
  STRCMP_EQUAL("no_record", refusalClassOf(unknown + "q1 asked_nodes=8 answered_nodes=8").c_str());
  STRCMP_EQUAL("no_answer", refusalClassOf(unknown + "q1 asked_nodes=8 answered_nodes=7").c_str());
  STRCMP_EQUAL("records_disagree",
               refusalClassOf("stream_not_continued reason=stream_origin_conflicting").c_str());
  STRCMP_EQUAL(
      "version_gone",
      refusalClassOf("stream_not_continued reason=software_version_gone software_version=v1")
          .c_str());
  STRCMP_EQUAL("service_gone",
               refusalClassOf("stream_not_continued reason=stream_service_gone").c_str());
}

TEST(LogRefusal, classifiesQuarantinedRequestsByWhetherTheRefusalIsFinal) {
  STRCMP_EQUAL("replicas_ended", refusalClassOf("request_quarantined retry_ms=\"\"").c_str());
  STRCMP_EQUAL("replicas_may_have_ended",
               refusalClassOf("request_quarantined retry_ms=4100").c_str());
}

TEST(LogRefusal, otherLinesHaveNoRefusalClass) {
  STRCMP_EQUAL("", refusalClassOf("request_ended reason=reservation_unavailable").c_str());
}

TEST(LogRefusal, classifiesRefusalsOfTenantsAboveTheirShares) {
  STRCMP_EQUAL("above_share", refusalClassOf("tenant_share_refused load=9.0 share=4.0").c_str());
}
