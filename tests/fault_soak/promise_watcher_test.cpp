// Each check of the fault soak fires on the fault it is for, and stays silent without it.
#include "lab/faultsoak/promise_watcher.h"

#include "lab/faultsoak/soak_replica.h"
// CppUTest redefines `new`: it comes after the standard headers.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail::lab;

TEST_GROUP(PromiseWatcher) {
  PromiseWatcher watcher{10};
  std::string whole = SoakReplica::wholeStream("q1");

  void setup() override { watcher.onProgram("p1", 80, 40); }
  SoakAttempt sent(SoakRoute route, bool continues = false, const std::string& id = "q1") {
    SoakAttempt attempt{id, route, "p1", "input", SoakReplica::wholeStream(id), continues};
    watcher.onSent(attempt);
    return attempt;
  }
  /// Program p2 goes on after all nodes were lost; so many first turns run beside it.
  void loseAll(std::uint64_t firstTurns, std::uint64_t budget = 800) {
    watcher.onLossOfAll();
    watcher.onProgram("p2", budget, 40);
    watcher.onGoesOnAfterLoss("p2");
    for (std::uint64_t number = 0; number < firstTurns; ++number) {
      const std::string id = "first" + std::to_string(number);
      sent(SoakRoute::Turn, false, id);
      watcher.onRun(id, "input", false);
    }
  }
  void goOn(const std::string& id) {
    watcher.onSent({id, SoakRoute::Turn, "p2", "input", SoakReplica::wholeStream(id), true});
  }
  static std::string streamName(int number) { return "s" + std::to_string(number); }
  /// So many streams begin at version v1 and break off.
  void breakStreams(int count) {
    for (int number = 0; number < count; ++number) {
      const std::string id = streamName(number);
      watcher.onSent(
          {id, SoakRoute::Resumable, "p1", "input of " + id, SoakReplica::wholeStream(id)});
      watcher.onAnswer(id, {200, false, "id: 1\nevent: v1\ndata: out-" + id + "-1\n\n"});
    }
  }
  /// Clients go on with so many of them, and are refused.
  void resumeInVain(int count) {
    for (int number = 0; number < count; ++number) {
      SoakAttempt attempt{"again" + streamName(number), SoakRoute::Resumable, "p1", "", ""};
      attempt.resumes = streamName(number);
      watcher.onSent(attempt);
      watcher.onAnswer(attempt.id, {503, true, ""});
    }
    watcher.checkResumedStreams();
  }
  void checkOnly(const char* promise) {
    LONGS_EQUAL(1, watcher.violations().size());
    STRCMP_EQUAL(promise, watcher.violations().front().promise.c_str());
  }
};

TEST(PromiseWatcher, isSilentWhileAllIsWell) {
  sent(SoakRoute::Turn, true);
  watcher.onRun("q1", "input", false);
  watcher.onAnswer("q1", {200, true, whole});
  sent(SoakRoute::Safe, false, "q2");
  watcher.onRun("q2", "input", false);
  watcher.onRun("q2", "input", false);
  watcher.onAnswer("q2", {502, true, ""});
  sent(SoakRoute::Turn, false, "q3");
  watcher.onAnswer("q3", {503, true, ""});
  sent(SoakRoute::Resumable, false, "q4");
  watcher.onRun("q4", "input", false);
  watcher.onRun("q4", "input", true);
  watcher.onAnswer("q4", {200, false, ""});
  LONGS_EQUAL(0, watcher.violations().size());
}

TEST(PromiseWatcher, seesASecondRun) {
  sent(SoakRoute::Unsafe);
  watcher.onRun("q1", "input", false);
  watcher.onRun("q1", "input", false);
  checkOnly("at_most_once");
}

TEST(PromiseWatcher, seesAPromiseThatCameTooLate) {
  sent(SoakRoute::Turn);
  watcher.onRun("q1", "input", false);
  watcher.onAnswer("q1", {503, true, ""});
  checkOnly("not_run_is_true");
}

TEST(PromiseWatcher, seesARunAfterThePromise) {
  sent(SoakRoute::Turn);
  watcher.onAnswer("q1", {402, true, ""});
  watcher.onRun("q1", "input", false);
  checkOnly("not_run_is_true");
}

TEST(PromiseWatcher, seesAWrongHistory) {
  sent(SoakRoute::Turn);
  watcher.onRun("q1", "inpu", false);
  checkOnly("a_replica_gets_the_whole_input");
}

TEST(PromiseWatcher, seesARequestThatNobodySent) {
  watcher.onRun("q9", "input", false);
  checkOnly("only_requests_that_were_sent_run");
}

TEST(PromiseWatcher, seesALostTurn) {
  sent(SoakRoute::Turn, true);
  watcher.onAnswer("q1", {404, true, ""});
  checkOnly("a_whole_turn_is_found");
}

TEST(PromiseWatcher, seesAnAnswerThatEndsTooEarly) {
  sent(SoakRoute::Turn);
  watcher.onAnswer("q1", {200, true, whole.substr(0, 20)});
  checkOnly("an_answer_that_ends_is_whole");
}

TEST(PromiseWatcher, seesAnotherRequestsAnswer) {
  sent(SoakRoute::Turn);
  watcher.onAnswer("q1", {200, true, SoakReplica::wholeStream("q2")});
  checkOnly("an_answer_is_the_request's_own");
}

TEST(PromiseWatcher, seesABudgetThatIsOverspent) {
  // 80 tokens and the most of one turn are 120: the fourth whole stream of 40 is too much.
  for (const char* id : {"q1", "q2", "q3", "q4"}) {
    sent(SoakRoute::Turn, false, id);
    watcher.onRun(id, "input", false);
    watcher.onAnswer(id, {200, true, SoakReplica::wholeStream(id)});
  }
  checkOnly("a_budget_holds");
}

TEST(PromiseWatcher, isSilentWhenATurnThatGoesOnReachesAReplicaAfterALossOfAll) {
  loseAll(3);
  goOn("q5");
  watcher.onAnswer("q5", {503, true, ""});
  CHECK_FALSE(watcher.isServedAfterLoss());
  goOn("q6");
  watcher.onRun("q6", "input", false);
  CHECK(watcher.isServedAfterLoss());
  watcher.checkAfterLoss();
  LONGS_EQUAL(0, watcher.violations().size());
}

TEST(PromiseWatcher, seesATurnThatGoesOnInVainAfterALossOfAll) {
  loseAll(3);
  goOn("q5");
  watcher.onAnswer("q5", {503, true, ""});
  watcher.checkAfterLoss();
  checkOnly("a_turn_that_goes_on_after_a_loss_of_all_is_served");
  STRCMP_EQUAL("p2", watcher.violations().front().attempt.c_str());
  STRCMP_EQUAL("1 tries, the last one answered 503", watcher.violations().front().detail.c_str());
}

TEST(PromiseWatcher, aSpentBudgetIsNoServiceWhileTheProgramSpentNothing) {
  loseAll(3);
  goOn("q5");
  watcher.onAnswer("q5", {402, true, ""});
  watcher.checkAfterLoss();
  checkOnly("a_turn_that_goes_on_after_a_loss_of_all_is_served");
}

TEST(PromiseWatcher, aBudgetThatIsSpentInTruthMayRefuseATurnThatGoesOn) {
  loseAll(3, 39);
  goOn("q5");
  watcher.onAnswer("q5", {402, true, ""});
  watcher.checkAfterLoss();
  LONGS_EQUAL(0, watcher.violations().size());
}

TEST(PromiseWatcher, turnsThatGoOnOweNothingWhileFirstTurnsAreNotServed) {
  loseAll(2);
  goOn("q5");
  watcher.onAnswer("q5", {503, true, ""});
  watcher.checkAfterLoss();
  checkOnly("first_turns_are_served_after_a_loss_of_all");
}

TEST(PromiseWatcher, runsOfBeforeTheLossDoNotCount) {
  for (const char* id : {"q5", "q6", "q7"}) {
    sent(SoakRoute::Turn, false, id);
  }
  watcher.onLossOfAll();
  for (const char* id : {"q5", "q6", "q7"}) {
    watcher.onRun(id, "input", false);
  }
  CHECK_FALSE(watcher.isServedAfterLoss());
}

TEST(PromiseWatcher, seesAStreamOfTwoSoftwareVersionsInOneAnswer) {
  sent(SoakRoute::Resumable);
  watcher.onAnswer("q1", {200, false, "id: 1\nevent: v1\ndata: out-q1-1\n\nid: 2\nevent: v2\n"});
  checkOnly("a_stream_has_one_software_version");
}

TEST(PromiseWatcher, seesAStreamOfTwoSoftwareVersionsOverTwoAttempts) {
  sent(SoakRoute::Resumable);
  watcher.onAnswer("q1", {200, false, "id: 1\nevent: v1\ndata: out-q1-1\n\n"});
  for (const char* const id : {"q2", "q3"}) {
    SoakAttempt attempt{id, SoakRoute::Resumable, "p1", "input", SoakReplica::streamAfter(id, 1)};
    attempt.resumes = "q1";
    watcher.onSent(attempt);
  }
  watcher.onAnswer("q2", {200, false, "id: 2\nevent: v1\ndata: out-q2-2\n\n"});
  LONGS_EQUAL(0, watcher.violations().size());
  watcher.onAnswer("q3", {200, false, "id: 2\nevent: v2\ndata: out-q3-2\n\n"});
  checkOnly("a_stream_has_one_software_version");
}

TEST(PromiseWatcher, seesThatResumedStreamsDoNotGoOn) {
  watcher.onServingVersions({"v1", "v1", "v2"});
  breakStreams(12);
  resumeInVain(11);
  LONGS_EQUAL(0, watcher.violations().size());
  resumeInVain(12);
  checkOnly("resumed_streams_go_on");
}

TEST(PromiseWatcher, streamsOfAVersionWithOneReplicaOrOfBeforeAKillOfAllOweNothing) {
  watcher.onServingVersions({"v1", "v2", "v2"});
  breakStreams(12);
  resumeInVain(12);
  watcher.onServingVersions({"v1", "v1", "v2"});
  watcher.onAllKilled();
  resumeInVain(12);
  LONGS_EQUAL(0, watcher.violations().size());
}

TEST(PromiseWatcher, tellsOfBystandersThatAreNotServed) {
  breakStreams(12);  // Of which each began.
  std::vector<std::string> ids;
  for (int number = 0; number < 11; ++number) {
    ids.push_back(streamName(number));
  }
  watcher.onReplicaEnd(ids);
  watcher.checkBystanders();
  LONGS_EQUAL(0, watcher.violations().size());
  watcher.onReplicaEnd({streamName(11)});
  watcher.checkBystanders();
  checkOnly("a_bystander_is_served");
}

TEST(PromiseWatcher, streamsThatEndReplicasOweNothing) {
  watcher.onServingVersions({"v1", "v1"});
  breakStreams(12);
  for (int number = 0; number < 12; ++number) {
    SoakAttempt attempt{"again" + streamName(number), SoakRoute::Resumable, "p1", "", ""};
    attempt.resumes = streamName(number);
    attempt.endsReplicas = true;
    watcher.onSent(attempt);
    watcher.onAnswer(attempt.id, {503, true, ""});
  }
  watcher.checkResumedStreams();
  LONGS_EQUAL(0, watcher.violations().size());
}
