// Checks how lost programs are counted and assigned to a cause.
#include "cli/log_losses.h"

#include <map>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace gorsetrail::cli;

namespace {

std::string ended(int second, const char* program, const char* rest) {
  return "time_ms=" + std::to_string(second) +
         "000 event=request_ended request=q program=" + program + " route=turns " + rest + "\n";
}

}  // namespace

TEST_GROUP(LogLosses) {
  LogLosses losses;
  void read(const std::string& text) {
    std::istringstream lines(text);
    losses.read(lines, "node");
  }
};

TEST(LogLosses, aProgramAnsweredInTimeIsNotLost) {
  read(ended(1, "p", "outcome=answered reason=\"\" took_ms=90 program_left_ms=400"));
  LONGS_EQUAL(1, losses.programCount());
  LONGS_EQUAL(0, losses.lostProgramCount());
}

TEST(LogLosses, theFirstUnansweredRequestGivesTheCause) {
  read(ended(5, "p", "outcome=unknown_502 reason=replica_broke_off took_ms=70") +
       ended(4, "p", "outcome=refused_503 reason=store_not_answering took_ms=1") +
       ended(3, "p", "outcome=answered reason=\"\" took_ms=90 program_left_ms=0") +
       ended(6, "p", "outcome=refused_503 reason=reservation_unavailable took_ms=2"));
  const auto groups = losses.groups();
  LONGS_EQUAL(1, groups.size());
  STRCMP_EQUAL("store", groups[0].cause.c_str());
  LONGS_EQUAL(2, groups[0].requests);
  LONGS_EQUAL(3, groups[0].tookMilliseconds);
}

TEST(LogLosses, aLateProgramIsAssignedToItsLongestStep) {
  read(ended(1, "p",
             "outcome=answered reason=\"\" dispatched_ms=5 first_event_ms=900 took_ms=1000 "
             "program_left_ms=300") +
       ended(2, "p",
             "outcome=answered reason=\"\" dispatched_ms=5 first_event_ms=50 took_ms=400 "
             "program_left_ms=0"));
  const auto groups = losses.groups();
  LONGS_EQUAL(1, groups.size());
  STRCMP_EQUAL("late_before_first_event", groups[0].cause.c_str());
  LONGS_EQUAL(940, groups[0].tookMilliseconds);
}

TEST(LogLosses, regionRefusalsHaveTheCauseRegion) {
  read(ended(1, "p", "outcome=refused_503 reason=region_not_allowed took_ms=1") +
       ended(2, "q", "outcome=refused_403 reason=region_not_allowed_anywhere took_ms=1"));
  const auto groups = losses.groups();
  LONGS_EQUAL(1, groups.size());
  STRCMP_EQUAL("region", groups[0].cause.c_str());
  LONGS_EQUAL(2, groups[0].programs);
}

TEST(LogLosses, requestsThatAreTooLateToAnswerHaveTheCauseDeadline) {
  read(ended(1, "p", "outcome=refused_503 reason=too_late_to_answer took_ms=1") +
       ended(2, "q", "outcome=unknown_504 reason=deadline took_ms=400"));
  const auto groups = losses.groups();
  LONGS_EQUAL(1, groups.size());
  STRCMP_EQUAL("deadline", groups[0].cause.c_str());
  LONGS_EQUAL(2, groups[0].programs);
}

TEST(LogLosses, refusalsOfATenantAboveItsShareHaveTheirOwnCause) {
  read("time_ms=1000 event=tenant_share_refused request=q program=p tenant=t load=9.0 share=4.0\n" +
       ended(1, "p", "outcome=refused_503 reason=tenant_above_share took_ms=1"));
  LONGS_EQUAL(1, losses.groups().size());
  STRCMP_EQUAL("tenant_share", losses.groups()[0].cause.c_str());
}

TEST(LogLosses, groupsAreSortedByProgramsAndSecondsByTime) {
  read(ended(9, "a", "outcome=client_gone reason=\"\" took_ms=1") +
       ended(7, "b", "outcome=refused_503 reason=replicas_busy took_ms=1") +
       ended(8, "c", "outcome=refused_503 reason=replicas_full took_ms=1"));
  STRCMP_EQUAL("no_place_at_replicas", losses.groups()[0].cause.c_str());
  LONGS_EQUAL(2, losses.groups()[0].programs);
  LONGS_EQUAL(3, losses.seconds().size());
  LONGS_EQUAL(7, losses.seconds()[0].second);
}

TEST(LogLosses, refusalLinesDistinguishCausesOfRefusedReservations) {
  const auto refused = [](const char* program, const char* reason) {
    return std::string("time_ms=1000 event=reservation_refused request=q program=") + program +
           " reason=" + reason + "\n" +
           ended(1, program, "outcome=refused_503 reason=reservation_unavailable took_ms=1");
  };
  read(refused("a", "unseen_spending") + refused("b", "decided_too_late") +
       refused("c", "no_lease") + refused("d", "no_answer") + refused("f", "unsettled_turns") +
       ended(1, "e", "outcome=refused_503 reason=reservation_unavailable took_ms=1"));
  std::map<std::string, std::uint64_t> programs;
  for (const LossGroup& group : losses.groups()) {
    programs[group.cause] = group.programs;
  }
  LONGS_EQUAL(1, programs["budget_charged_for_dead"]);
  LONGS_EQUAL(1, programs["budget_turns_not_settled"]);
  LONGS_EQUAL(2, programs["budget_not_decided"]);
  LONGS_EQUAL(1, programs["budget_no_answer"]);
  LONGS_EQUAL(1, programs["store"]);
}

TEST(LogLosses, aFullReplicaWithALessLoadedPeerHasItsOwnCause) {
  const auto refused = [](const char* program, const char* loads) {
    return std::string("time_ms=1000 event=placement_refused request=q program=") + program + " " +
           loads + "\n" +
           ended(1, program, "previous_turn=q0 outcome=refused_503 reason=replicas_busy took_ms=1");
  };
  read(refused("a", "load_percent=212 least_load_percent=12") +
       refused("b", "load_percent=212 least_load_percent=212") +
       ended(2, "b", "outcome=refused_503 reason=replicas_busy took_ms=1"));
  LONGS_EQUAL(2, losses.groups().size());
  for (const LossGroup& group : losses.groups()) {
    const bool isBesideRoom = group.cause == "replica_full_beside_room";
    CHECK(isBesideRoom || group.cause == "no_place_at_replicas");
    LONGS_EQUAL(isBesideRoom ? 1 : 2, group.requests);
    LONGS_EQUAL(1, group.continuedPrograms);
  }
}

// Guards against retries that the budget withheld and that look like full replicas.
TEST(LogLosses, aRetryWithheldByTheBudgetHasItsOwnCause) {
  read(
      "time_ms=1000 event=retry_withheld request=q program=a service=s dispatches=1 "
      "retry_ms=180\n" +
      ended(1, "a", "outcome=refused_503 reason=replicas_full took_ms=1"));
  LONGS_EQUAL(1, losses.groups().size());
  STRCMP_EQUAL("retry_budget", losses.groups()[0].cause.c_str());
}

// A node without digests must be told apart from a service at its limit: only the latter needs
// replicas.
TEST(LogLosses, programsThatMayNotStartHaveTheirOwnCauses) {
  const auto refused = [](const char* program, const char* cause) {
    return std::string("time_ms=1000 event=placement_refused request=q program=") + program +
           " reason=program_not_admitted decided_by=" + cause + "\n" +
           ended(1, program, "outcome=refused_503 reason=program_not_admitted took_ms=0");
  };
  read(refused("a", "load") + refused("b", "pace") + refused("c", "own_requests"));
  LONGS_EQUAL(2, losses.groups().size());
  STRCMP_EQUAL("program_limit", losses.groups()[0].cause.c_str());
  LONGS_EQUAL(2, losses.groups()[0].programs);
  STRCMP_EQUAL("load_unknown", losses.groups()[1].cause.c_str());
}

TEST(LogLosses, countedRefusalsAddTheirNumberOfRequests) {
  read(ended(4, "p", "outcome=refused_503 reason=replicas_busy took_ms=1") +
       "time_ms=5000 event=refusals_counted of=request_ended program=p reason=replicas_busy "
       "count=40\n"
       "time_ms=5000 event=refusals_counted of=placement_refused program=p reason=replicas_busy "
       "count=40\n");
  LONGS_EQUAL(1, losses.groups().size());
  LONGS_EQUAL(41, losses.groups()[0].requests);
  STRCMP_EQUAL("turns", losses.groups()[0].route.c_str());
}

TEST(LogLosses, otherEventsAndLinesWithoutAProgramAreIgnored) {
  read("no log line\ntime_ms=1 event=dispatch program=p\n" +
       ended(1, "\"\"", "outcome=refused_404 reason=no_route took_ms=0"));
  LONGS_EQUAL(0, losses.programCount());
}
