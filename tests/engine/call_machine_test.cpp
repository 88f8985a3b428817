#include "engine/call_machine.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::engine;

namespace {

constexpr Instant kStart{seconds(100)};
constexpr Duration kTimeLimit = seconds(30);

/// A call with its machine, and what it left to do.
struct CallBench {
  explicit CallBench(bool repeatable, AnswerMode mode = AnswerMode::Stream,
                     const RetryKnobs& knobs = {})
      : budget(knobs) {
    CallPlan plan;
    plan.handle = CallHandle(7);
    plan.repeatable = repeatable;
    plan.application = !repeatable;
    plan.mode = repeatable ? mode : AnswerMode::Whole;
    plan.maximumTokens = 50;
    plan.deadline = kStart + kTimeLimit;
    machine = std::make_unique<CallMachine>(plan, knobs, budget, random);
    machine->onSubmitted(now);
  }

  void admit() {
    machine->onAdmitted(dispatch, now);
    CHECK(count<ChooseReplica>() == 1);
  }
  void start(const std::string& replica) {
    machine->onReplicaChosen({replica, "127.0.0.1:1"}, now);
    STRCMP_EQUAL(replica.c_str(), last<StartDispatch>().backendName.c_str());
  }
  void advance(Duration span) {
    now += span;
    machine->onTick(now);
  }
  /// Waits out a backoff; the machine then asks for a replica again.
  void awaitRetry() {
    taken.clear();
    advance(seconds(1));
    CHECK_EQUAL(1, count<ChooseReplica>());
  }
  void chunk(std::uint32_t attempt, std::uint32_t offset, const std::string& text) {
    machine->onDispatchEvent(DispatchChunk{AttemptNumber(attempt), offset, text}, now);
  }
  void lose(std::uint32_t attempt) {
    machine->onDispatchEvent(DispatchBroken{AttemptNumber(attempt), "reset by peer"}, now);
  }
  void finish(std::uint32_t attempt, const std::string& answer) {
    machine->onDispatchEvent(DispatchFinished{AttemptNumber(attempt), answer, 10, 4, 3}, now);
  }
  void record() { machine->onOutcomeRecorded(program::Durability::ZoneQuorum, now); }

  void collect() {
    for (CallAction& action : machine->takeActions()) {
      taken.push_back(std::move(action));
    }
  }
  template <class Action>
  int count() {
    collect();
    int found = 0;
    for (const CallAction& action : taken) {
      found += std::holds_alternative<Action>(action) ? 1 : 0;
    }
    return found;
  }
  template <class Action>
  Action last() {
    collect();
    for (auto action = taken.rbegin(); action != taken.rend(); ++action) {
      if (const auto* const found = std::get_if<Action>(&*action)) {
        return *found;
      }
    }
    FAIL("no such action");
    return {};
  }
  std::string sentText() {
    collect();
    std::string text;
    for (const CallAction& action : taken) {
      if (const auto* const part = std::get_if<AnswerChunk>(&action)) {
        text += part->text;
      }
    }
    return text;
  }
  program::CallStatus recordedStatus() { return last<RecordOutcome>().outcome.status; }

  Instant now = kStart;
  RandomSource random{1};
  RetryBudget budget;
  DispatchId dispatch{programIdOf({"zone", "tenant", "name"}), Epoch(1), CallNumber(5),
                      AttemptNumber(1)};
  std::unique_ptr<CallMachine> machine;
  std::vector<CallAction> taken;
};

constexpr bool kRepeatable = true;
constexpr bool kOnce = false;

}  // namespace

TEST_GROUP(CallMachine){};

TEST(CallMachine, CompletionComesOnlyAfterTheOutcomeStands) {
  CallBench call(kRepeatable);
  call.admit();
  call.start("lm-1");
  call.chunk(1, 0, "one ");
  call.chunk(1, 1, "two");
  call.finish(1, "one two");
  STRCMP_EQUAL("one two", call.sentText().c_str());
  CHECK_EQUAL(0, call.count<AnswerCompleted>());
  CHECK(call.machine->state() == CallState::RecordingOutcome);
  call.record();
  CHECK_EQUAL(1, call.count<AnswerCompleted>());
  STRCMP_EQUAL("one two", call.last<AnswerCompleted>().answer.c_str());
  CHECK(call.machine->isOver());
}

TEST(CallMachine, BrokenNonRepeatableEndsUnknownAndIsNeverDispatchedAgain) {
  CallBench call(kOnce);
  call.admit();
  call.start("press-1");
  call.lose(1);
  CHECK(call.recordedStatus() == program::CallStatus::Unknown);
  call.record();
  const Error error = call.last<AnswerRefused>().error;
  CHECK(error.kind == ErrorKind::OutcomeNotKnown);
  CHECK(error.outcome == RunOutcome::OutcomeUnknown);
  CHECK(!error.remedy.empty());
  call.advance(kTimeLimit + seconds(60));
  CHECK_EQUAL(1, call.count<StartDispatch>());
  CHECK(call.machine->state() == CallState::Unknown);
}

TEST(CallMachine, NonRepeatableRefusedByIdRunsElsewhereThenNeverAfterABreak) {
  CallBench call(kOnce);
  call.admit();
  call.start("press-1");
  call.machine->onDispatchEvent(DispatchRefused{AttemptNumber(1), 503, "leaving", true}, call.now);
  call.awaitRetry();
  STRCMP_EQUAL("press-1", call.machine->triedReplicas().at(0).c_str());
  call.start("press-2");
  CHECK(call.last<StartDispatch>().id.attempt == AttemptNumber(2));
  call.lose(2);
  CHECK(call.recordedStatus() == program::CallStatus::Unknown);
  CHECK_EQUAL(1, call.count<StartDispatch>());
}

TEST(CallMachine, NonRepeatableThatNoBackendTookIsNotRun) {
  CallBench call(kOnce);
  call.admit();
  call.start("press-1");
  call.machine->onDispatchEvent(DispatchNotSent{AttemptNumber(1), "refused"}, call.now);
  call.awaitRetry();
  call.machine->onNoReplica(std::nullopt, call.now);
  CHECK(call.recordedStatus() == program::CallStatus::NotRun);
  call.record();
  CHECK(call.last<AnswerRefused>().error.kind == ErrorKind::NoBackendAvailable);
  CHECK(call.last<AnswerRefused>().error.outcome == RunOutcome::NotRun);
  CHECK(call.last<AnswerRefused>().error.retryAfterSeconds > 0);
}

TEST(CallMachine, BrokenStreamIsResumedWithoutTextTwice) {
  CallBench call(kRepeatable);
  call.admit();
  call.start("lm-1");
  call.chunk(1, 0, "one ");
  call.chunk(1, 1, "two ");
  call.lose(1);
  const StartDispatch resume = call.last<StartDispatch>();
  CHECK_EQUAL(2U, resume.resumeFrom);
  CHECK(resume.id == call.dispatch);
  STRCMP_EQUAL("lm-1", resume.backendName.c_str());
  call.chunk(1, 1, "two ");  // Sent once more by the engine.
  call.chunk(1, 2, "three");
  call.finish(1, "three");
  call.record();
  STRCMP_EQUAL("one two three", call.sentText().c_str());
  STRCMP_EQUAL("one two three", call.last<AnswerCompleted>().answer.c_str());
  CHECK_EQUAL(1U, call.machine->figures().lateEventsDropped);
}

TEST(CallMachine, StreamThatCannotBeResumedEndsInAnErrorOnceTextWasSent) {
  CallBench call(kRepeatable);
  call.admit();
  call.start("lm-1");
  call.chunk(1, 0, "one ");
  call.lose(1);
  call.lose(1);  // The resumed stream, too.
  CHECK(call.recordedStatus() == program::CallStatus::Failed);
  call.record();
  CHECK(call.last<AnswerRefused>().error.kind == ErrorKind::BackendFailed);
  CHECK_EQUAL(2, call.count<StartDispatch>());
  STRCMP_EQUAL("one ", call.sentText().c_str());
}

TEST(CallMachine, WholeAnswerStartsAnewElsewhereAndHasOneAttemptsTextOnly) {
  CallBench call(kRepeatable, AnswerMode::Whole);
  call.admit();
  call.start("lm-1");
  call.chunk(1, 0, "one ");
  call.lose(1);
  call.lose(1);
  call.awaitRetry();
  call.start("lm-2");
  CHECK_EQUAL(0U, call.last<StartDispatch>().resumeFrom);
  call.chunk(2, 0, "other ");
  call.finish(2, "other text");
  call.record();
  STRCMP_EQUAL("other text", call.last<AnswerCompleted>().answer.c_str());
  STRCMP_EQUAL("lm-2", call.last<AnswerCompleted>().backendName.c_str());
}

TEST(CallMachine, LateEventsOfAnOlderAttemptAreDroppedAndCounted) {
  CallBench call(kRepeatable);
  call.admit();
  call.start("lm-1");
  call.lose(1);
  call.awaitRetry();
  call.start("lm-2");
  call.chunk(1, 0, "old ");
  call.finish(1, "old answer");
  CHECK_EQUAL(2U, call.machine->figures().lateEventsDropped);
  CHECK(call.machine->state() == CallState::Dispatched);
  call.finish(2, "new");
  call.record();
  call.finish(2, "new");  // After the end.
  STRCMP_EQUAL("new", call.sentText().c_str());
  CHECK_EQUAL(3U, call.machine->figures().lateEventsDropped);
}

TEST(CallMachine, MissingTokensAreNeverSkipped) {
  CallBench call(kRepeatable);
  call.admit();
  call.start("lm-1");
  call.chunk(1, 0, "one ");
  call.chunk(1, 2, "three");
  CHECK_EQUAL(1, call.count<CancelDispatch>());
  CHECK_EQUAL(1U, call.last<StartDispatch>().resumeFrom);
  STRCMP_EQUAL("one ", call.sentText().c_str());
}

TEST(CallMachine, ExhaustedRetryBudgetAnswersAtOnceAndTellsWhenToComeBack) {
  RetryKnobs knobs;
  knobs.budgetCapacity = 1.0;
  knobs.budgetRefillPerSecond = 0.1;
  CallBench call(kRepeatable, AnswerMode::Whole, knobs);
  CHECK(call.budget.tryTake(call.now));  // Another call's retry.
  call.admit();
  call.start("lm-1");
  call.lose(1);
  CHECK(call.machine->state() == CallState::RecordingOutcome);
  call.record();
  CHECK(call.last<AnswerRefused>().error.kind == ErrorKind::BackendFailed);
  CHECK(call.last<AnswerRefused>().error.retryAfterSeconds == 10);
  CHECK_EQUAL(kStart.time_since_epoch().count(), call.now.time_since_epoch().count());
}

TEST(CallMachine, AttemptsAreBounded) {
  CallBench call(kRepeatable, AnswerMode::Whole);
  call.admit();
  const std::uint32_t limit = RetryKnobs{}.maximumAttempts;
  for (std::uint32_t attempt = 1; attempt <= limit; ++attempt) {
    call.start("lm-1");
    call.lose(attempt);
    if (attempt < limit) {
      call.awaitRetry();
    }
  }
  CHECK(call.recordedStatus() == program::CallStatus::Failed);
  CHECK_EQUAL(limit, call.machine->figures().dispatches);
}

TEST(CallMachine, WaitsForAReplicaThatComesBackSoonButNotForOneThatDoesNot) {
  CallBench call(kRepeatable);
  call.admit();
  call.machine->onNoReplica(call.now + milliseconds(500), call.now);
  CHECK(call.machine->state() == CallState::WaitingForReplica);
  call.awaitRetry();
  call.machine->onNoReplica(call.now + seconds(20), call.now);
  CHECK(call.machine->state() == CallState::RecordingOutcome);
  call.record();
  CHECK_EQUAL(20U, call.last<AnswerRefused>().error.retryAfterSeconds);
}

TEST(CallMachine, CallerGoneCancelsRepeatableWorkAndRecordsIt) {
  CallBench call(kRepeatable);
  call.admit();
  call.start("lm-1");
  call.chunk(1, 0, "one ");
  call.machine->onCallerGone(call.now);
  CHECK_EQUAL(1, call.count<CancelDispatch>());
  CHECK(call.recordedStatus() == program::CallStatus::Failed);
  call.record();
  CHECK_EQUAL(0, call.count<AnswerRefused>());
  CHECK(call.machine->isOver());
}

TEST(CallMachine, CallerGoneLetsNonRepeatableWorkGoOnToItsRecord) {
  CallBench call(kOnce);
  call.admit();
  call.start("press-1");
  call.machine->onCallerGone(call.now);
  CHECK_EQUAL(0, call.count<CancelDispatch>());
  call.finish(1, "receipt 9");
  CHECK(call.recordedStatus() == program::CallStatus::Completed);
  STRCMP_EQUAL("receipt 9", call.last<RecordOutcome>().outcome.answer.c_str());
  call.record();
  CHECK_EQUAL(0, call.count<AnswerCompleted>());
}

TEST(CallMachine, DeadlineAnswersUnknownAndStillRecordsTheNonRepeatableEnd) {
  CallBench call(kOnce);
  call.admit();
  call.start("press-1");
  call.advance(kTimeLimit);
  CHECK(call.last<AnswerRefused>().error.outcome == RunOutcome::OutcomeUnknown);
  CHECK_EQUAL(0, call.count<CancelDispatch>());
  call.finish(1, "receipt 9");
  CHECK(call.recordedStatus() == program::CallStatus::Completed);
  call.record();
  CHECK_EQUAL(1, call.count<AnswerRefused>());
  CHECK_EQUAL(0, call.count<AnswerCompleted>());
}

TEST(CallMachine, BackendThatNeverAnswersIsGivenUpAfterTheLinger) {
  CallBench call(kOnce);
  call.admit();
  call.start("press-1");
  call.advance(kTimeLimit);
  call.advance(RetryKnobs{}.lingerAfterDeadline);
  CHECK(call.recordedStatus() == program::CallStatus::Unknown);
}

TEST(CallMachine, DeadlineCancelsRepeatableWork) {
  CallBench call(kRepeatable);
  call.admit();
  call.start("lm-1");
  call.advance(kTimeLimit);
  CHECK_EQUAL(1, call.count<CancelDispatch>());
  call.record();
  CHECK(call.last<AnswerRefused>().error.kind == ErrorKind::DeadlineExceeded);
}

TEST(CallMachine, AdmissionAfterTheDeadlineIsRecordedNotRunAndNotDispatched) {
  CallBench call(kOnce);
  call.advance(kTimeLimit);
  CHECK(call.last<AnswerRefused>().error.outcome == RunOutcome::OutcomeUnknown);
  call.machine->onAdmitted(call.dispatch, call.now);
  CHECK(call.recordedStatus() == program::CallStatus::NotRun);
  CHECK_EQUAL(0, call.count<ChooseReplica>());
  call.record();
  CHECK_EQUAL(1, call.count<AnswerRefused>());
}

TEST(CallMachine, CompletedWorkWhoseRecordFailedIsAnsweredUnknown) {
  CallBench call(kOnce);
  call.admit();
  call.start("press-1");
  call.finish(1, "receipt 9");
  call.machine->onProgramRefused({ErrorKind::StaleEpoch, "", "taken over", "ask again"}, call.now);
  CHECK(call.last<AnswerRefused>().error.outcome == RunOutcome::OutcomeUnknown);
  CHECK_EQUAL(0, call.count<AnswerCompleted>());
}

TEST(CallMachine, RefusalBeforeTheJournalWasAskedDoesNotSayNotRun) {
  CallBench call(kOnce);
  call.machine->onProgramRefused({ErrorKind::QuorumUnavailable, "", "no quorum", "ask again"},
                                 call.now);
  CHECK(call.last<AnswerRefused>().error.outcome == RunOutcome::OutcomeUnknown);
}

TEST(CallMachine, RequestThatABackendFindsFaultWithIsNotTriedElsewhere) {
  CallBench call(kRepeatable);
  call.admit();
  call.start("lm-1");
  call.machine->onDispatchEvent(DispatchRefused{AttemptNumber(1), 400, "bad", false}, call.now);
  CHECK(call.recordedStatus() == program::CallStatus::NotRun);
  call.record();
  CHECK(call.last<AnswerRefused>().error.kind == ErrorKind::BackendRefused);
  CHECK_EQUAL(0U, call.last<AnswerRefused>().error.retryAfterSeconds);
}

TEST(CallMachine, FullReplicasEndInAnAdmissionRefusal) {
  CallBench call(kRepeatable);
  call.admit();
  const std::uint32_t limit = RetryKnobs{}.maximumAttempts;
  for (std::uint32_t attempt = 1; attempt <= limit; ++attempt) {
    call.start("lm-1");
    call.machine->onDispatchEvent(DispatchRefused{AttemptNumber(attempt), 429, "full", false},
                                  call.now);
    if (attempt < limit) {
      call.awaitRetry();
    }
  }
  call.record();
  CHECK(call.last<AnswerRefused>().error.kind == ErrorKind::AdmissionRefused);
  CHECK(call.last<AnswerRefused>().error.retryAfterSeconds > 0);
}

TEST(CallMachine, TellsTheCallerWhenTheBackEndWantsToBeAskedAgain) {
  RetryKnobs once;
  once.maximumAttempts = 1;
  CallBench call(kRepeatable, AnswerMode::Stream, once);
  call.admit();
  call.start("lm-1");
  call.machine->onDispatchEvent(DispatchRefused{AttemptNumber(1), 429, "full", false, 17},
                                call.now);
  call.record();
  CHECK(call.last<AnswerRefused>().error.kind == ErrorKind::AdmissionRefused);
  CHECK_EQUAL(17U, call.last<AnswerRefused>().error.retryAfterSeconds);
}

TEST(CallMachine, ReplayIsStreamedOnceAndEnds) {
  CallBench call(kRepeatable);
  call.machine->onReplayed("stored answer", call.now);
  STRCMP_EQUAL("stored answer", call.sentText().c_str());
  CHECK(call.last<AnswerCompleted>().replayed);
  CHECK(call.machine->isOver());
}
