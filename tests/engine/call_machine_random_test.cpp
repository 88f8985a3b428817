#include <algorithm>
#include <memory>
#include <string>

#include "engine/call_machine.h"

// Last, since it redefines operator new.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::engine;

namespace {

constexpr Instant kStart{seconds(100)};
constexpr Duration kTimeLimit = seconds(10);
constexpr std::uint64_t kSeeds = 3000;
constexpr int kSteps = 60;

/// Drives one call with random events, as careless back ends, callers and journals send them, and
/// checks its promises from outside.
class RandomCall {
 public:
  explicit RandomCall(std::uint64_t seed) : random_(seed), budget_(knobs_) {
    CallPlan plan;
    plan.handle = CallHandle(1);
    plan.repeatable = random_.below(2) == 0;
    plan.application = !plan.repeatable;
    plan.mode = random_.below(2) == 0 ? AnswerMode::Stream : AnswerMode::Whole;
    plan.deadline = kStart + kTimeLimit;
    repeatable_ = plan.repeatable;
    machine_ = std::make_unique<CallMachine>(plan, knobs_, budget_, random_);
  }

  void run() {
    machine_->onSubmitted(now_);
    for (int step = 0; step < kSteps && !machine_->isOver(); ++step) {
      sendRandomEvent();
      perform();
    }
    // Whatever happened, time and the journal end the call.
    for (int step = 0; step < kSteps && !machine_->isOver(); ++step) {
      now_ += seconds(5);
      machine_->onTick(now_);
      if (machine_->state() == CallState::WaitingForAdmission) {
        machine_->onProgramRefused({ErrorKind::QuorumUnavailable, "", "lost", "ask again"}, now_);
      }
      perform();
      machine_->onOutcomeRecorded(program::Durability::ZoneQuorum, now_);
      perform();
    }
    CHECK(machine_->isOver());
    CHECK_EQUAL(callerGone_ ? answers_ : 1, answers_);
    CHECK(answers_ <= 1);
  }

 private:
  void sendRandomEvent() {
    switch (random_.below(12)) {
      case 0:
        machine_->onAdmitted(dispatch_, now_);
        return;
      case 1:
        callerGone_ = callerGone_ || random_.below(4) == 0;
        if (callerGone_) {
          machine_->onCallerGone(now_);
        }
        return;
      case 2:
        now_ += milliseconds(static_cast<std::int64_t>(random_.below(2000)));
        machine_->onTick(now_);
        return;
      case 3:
        machine_->onOutcomeRecorded(program::Durability::ZoneQuorum, now_);
        return;
      case 4:
        machine_->onNoReplica(now_ + seconds(1), now_);
        return;
      case 5:
        send(DispatchNotSent{attempt(), "refused"});
        return;
      case 6:
        send(DispatchRefused{attempt(), 503, "leaving", true});
        return;
      case 7:
        sendBroken();
        return;
      case 8:
        finish();
        return;
      default:
        sendChunk();
        return;
    }
  }

  AttemptNumber attempt() {
    const bool late = attempts_ > 1 && random_.below(4) == 0;
    return AttemptNumber(late ? attempts_ - 1 : attempts_);
  }
  bool send(const DispatchEvent& event) { return machine_->onDispatchEvent(event, now_); }

  void sendBroken() {
    // A break of the attempt under way of a non-repeatable call is the last that may be sent.
    if (send(DispatchBroken{attempt(), "reset"}) && !repeatable_) {
      broken_ = true;
    }
  }
  /// Every attempt generates another text: its tokens name the attempt and their place.
  static std::string tokenOf(AttemptNumber attempt, std::uint32_t offset) {
    return std::to_string(attempt.value()) + ":" + std::to_string(offset) + " ";
  }
  static std::string textOf(AttemptNumber attempt, std::uint32_t tokens) {
    std::string text;
    for (std::uint32_t offset = 0; offset < tokens; ++offset) {
      text += tokenOf(attempt, offset);
    }
    return text;
  }
  static bool isTextOfOneAttempt(const std::string& text) {
    const AttemptNumber attempt(static_cast<std::uint32_t>(std::stoul(text)));
    return textOf(attempt, 2 * kSteps).starts_with(text);
  }
  void sendChunk() {
    if (!repeatable_) {
      return;  // Applications do not stream.
    }
    const AttemptNumber number = attempt();
    const auto offset = static_cast<std::uint32_t>(random_.below(4) + nextOffset_ / 2);
    send(DispatchChunk{number, offset, tokenOf(number, offset)});
    nextOffset_ = std::max(nextOffset_, offset);
  }
  void finish() {
    const AttemptNumber number = attempt();
    const auto tokens = static_cast<std::uint32_t>(random_.below(5) + 1);
    send(DispatchFinished{number, textOf(number, tokens), 1, 0, 1});
  }

  void perform() {
    for (CallAction& action : machine_->takeActions()) {
      std::visit([this](auto& kind) { take(kind); }, action);
    }
  }
  void take(ChooseReplica&) {
    if (random_.below(4) == 0) {
      machine_->onNoReplica(std::nullopt, now_);
    } else {
      machine_->onReplicaChosen({"lm-" + std::to_string(random_.below(3)), "a:1"}, now_);
    }
    perform();
  }
  void take(StartDispatch& start) {
    CHECK(!broken_);  // At most once: nothing after a break.
    CHECK(start.timeLimit > Duration::zero());
    attempts_ = start.id.attempt.value();
    nextOffset_ = start.resumeFrom;
  }
  void take(CancelDispatch&) {}
  void take(RecordOutcome& record) {
    CHECK(!recorded_);
    recorded_ = true;
    if (broken_) {
      CHECK(record.outcome.status == program::CallStatus::Unknown);
    }
  }
  void take(AnswerChunk& chunk) {
    CHECK_EQUAL(0, answers_);
    streamed_ += chunk.text;
    CHECK(isTextOfOneAttempt(streamed_));
  }
  void take(AnswerCompleted& completed) {
    CHECK(recorded_);
    CHECK(isTextOfOneAttempt(completed.answer));
    CHECK(completed.answer.starts_with(streamed_));
    CHECK(!callerGone_);
    ++answers_;
  }
  void take(AnswerRefused& refused) {
    CHECK(!callerGone_);
    CHECK(!refused.error.remedy.empty());
    if (broken_) {
      CHECK(refused.error.outcome == RunOutcome::OutcomeUnknown);
    }
    ++answers_;
  }

  RetryKnobs knobs_;
  RandomSource random_;
  RetryBudget budget_;
  Instant now_ = kStart;
  DispatchId dispatch_{programIdOf({"z", "t", "n"}), Epoch(1), CallNumber(1), AttemptNumber(1)};
  std::unique_ptr<CallMachine> machine_;
  bool repeatable_ = true;
  bool broken_ = false;
  bool recorded_ = false;
  bool callerGone_ = false;
  std::uint32_t attempts_ = 1;
  std::uint32_t nextOffset_ = 0;
  int answers_ = 0;
  std::string streamed_;
};

}  // namespace

TEST_GROUP(CallMachineRandom){};

TEST(CallMachineRandom, KeepsItsPromisesUnderRandomEvents) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RandomCall(seed * 7919).run();
  }
}
