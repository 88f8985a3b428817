// Guards the soak's checks of requests that end replicas: each fires, and fires for nothing else.
#include "lab/faultsoak/ended_replica_watcher.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail::lab;

TEST_GROUP(EndedReplicaWatcher) {
  using Outcome = EndedReplicaWatcher::Outcome;
  EndedReplicaWatcher watcher;

  /// An attempt under which a replica ends.
  void end(const std::string& id, const std::string& request = "r", bool endsReplicas = true) {
    watcher.onAttempt(id, request, endsReplicas);
    watcher.onRun(id);
    watcher.onReplicaEnd({id});
  }
  void endThree(const std::string& request = "r", bool endsReplicas = true) {
    for (const char* id : {"1", "2", "3"}) {
      end(request + id, request, endsReplicas);
    }
  }
};

TEST(EndedReplicaWatcher, tellsOfARunBehindThreeEnds) {
  endThree();
  LONGS_EQUAL(0, watcher.takeViolations().size());
  watcher.onAttempt("4", "r", true);
  LONGS_EQUAL(0, watcher.takeViolations().size());
  watcher.onRun("4");
  const auto violations = watcher.takeViolations();
  LONGS_EQUAL(1, violations.size());
  STRCMP_EQUAL("a_request_that_ended_three_replicas_is_not_sent_again",
               violations[0].promise.c_str());
  LONGS_EQUAL(1, watcher.cases().requestsAtLimit);
  LONGS_EQUAL(1, watcher.cases().triesAtLimit);
}

TEST(EndedReplicaWatcher, tellsOfAFinalRefusalBeforeThreeReplicasEnded) {
  watcher.onReplicaEnd({});  // Before the first attempt.
  end("1");
  end("2");
  watcher.onAttempt("3", "r", true);
  watcher.onAnswer("3", Outcome::RefusedForUncertainEnds);
  LONGS_EQUAL(0, watcher.takeViolations().size());
  watcher.onAnswer("3", Outcome::RefusedForEnds);
  LONGS_EQUAL(1, watcher.takeViolations().size());
  watcher.onReplicaEnd({});
  watcher.onAnswer("3", Outcome::RefusedForEnds);
  LONGS_EQUAL(0, watcher.takeViolations().size());
}

TEST(EndedReplicaWatcher, takesARefusalBehindThreeEnds) {
  endThree();
  watcher.onAttempt("4", "r", true);
  watcher.onAnswer("4", Outcome::RefusedForEnds);
  LONGS_EQUAL(0, watcher.takeViolations().size());
  LONGS_EQUAL(1, watcher.cases().refusedAtLimit);
}

TEST(EndedReplicaWatcher, countsAnewBehindAWholeAnswerAndBehindALossOfAllNodes) {
  endThree("a");
  watcher.onAttempt("a4", "a", true);
  watcher.onAnswer("a4", Outcome::Whole);
  end("a5", "a");
  endThree("b");
  watcher.onAllNodesLost();
  end("b4", "b");
  LONGS_EQUAL(0, watcher.takeViolations().size());
}

TEST(EndedReplicaWatcher, countsBystandersOnceAndWhetherTheyAreServed) {
  end("1", "x", false);
  end("2", "x", false);
  end("3", "y", false);
  watcher.onAttempt("4", "x", false);
  watcher.onAnswer("4", Outcome::Whole);
  LONGS_EQUAL(2, watcher.cases().bystanders);
  LONGS_EQUAL(1, watcher.cases().bystandersServed);
  LONGS_EQUAL(1, watcher.unservedBystanders().size());
  STRCMP_EQUAL("3", watcher.unservedBystanders().front().front().c_str());
}
