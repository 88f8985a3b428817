// The transition table outgrows the preprocessed headers of MPL (20 rows).
#define BOOST_MPL_CFG_NO_PREPROCESSED_HEADERS
#define BOOST_MPL_LIMIT_LIST_SIZE 50
#define BOOST_MPL_LIMIT_VECTOR_SIZE 50
#define BOOST_MPL_LIMIT_MAP_SIZE 50

#include "engine/call_machine.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/euml/operator.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include "engine/call_context.h"
#include "engine/call_steps.h"

namespace gorsetrail::engine {
namespace {

using namespace steps;
namespace front = boost::msm::front;
using boost::msm::front::none;
using boost::msm::front::Row;

/// A state that tells the context where the call stands.
template <CallState kState>
struct StateOf : front::state<> {
  template <class Event, class Machine>
  void on_entry(const Event&, Machine& machine) {
    machine.context->state = kState;
  }
};

using ReceivedState = StateOf<CallState::Received>;
using WaitingForAdmissionState = StateOf<CallState::WaitingForAdmission>;
using WaitingForReplicaState = StateOf<CallState::WaitingForReplica>;
using DispatchedState = StateOf<CallState::Dispatched>;
using StreamingState = StateOf<CallState::Streaming>;
using RecordingOutcomeState = StateOf<CallState::RecordingOutcome>;
using CompletedState = StateOf<CallState::Completed>;
using RefusedState = StateOf<CallState::Refused>;
using UnknownState = StateOf<CallState::Unknown>;

/// The table; rows of the same state stand together.
struct CallMachineFront : front::state_machine_def<CallMachineFront> {
  explicit CallMachineFront(CallContext* callContext) : context(callContext) {}

  using initial_state = ReceivedState;
  using no_exception_thrown = int;  ///< Actions do not throw.

  // clang-format off
  struct transition_table : boost::mpl::vector<  // NOLINT(readability-identifier-naming): MSM's
    Row<ReceivedState, Submitted, WaitingForAdmissionState, none, none>,

    Row<WaitingForAdmissionState, Admitted, WaitingForReplicaState, Admit, WorthRunning>,
    Row<WaitingForAdmissionState, Admitted, RecordingOutcomeState, RecordNeverRun, NotWorthRunning>,
    Row<WaitingForAdmissionState, Replayed, CompletedState, AnswerReplay, none>,
    Row<WaitingForAdmissionState, ProgramRefused, RefusedState, AnswerError, none>,
    Row<WaitingForAdmissionState, CallerLeft, none, MarkGone, none>,
    Row<WaitingForAdmissionState, DeadlinePassed, none, AnswerDeadline, none>,

    Row<WaitingForReplicaState, ReplicaChosen, DispatchedState, Dispatch, none>,
    Row<WaitingForReplicaState, ReplicaMissing, none, WaitForReplica, MayWait>,
    Row<WaitingForReplicaState, ReplicaMissing, RecordingOutcomeState, RecordNoReplica, MayNotWait>,
    Row<WaitingForReplicaState, RetryDue, none, RequestReplica, none>,
    Row<WaitingForReplicaState, CallerLeft, RecordingOutcomeState, Abandon, IsRepeatable>,
    Row<WaitingForReplicaState, CallerLeft, none, MarkGone, IsNotRepeatable>,
    Row<WaitingForReplicaState, DeadlinePassed, RecordingOutcomeState, RecordDeadline, none>,

    Row<DispatchedState, ChunkArrived, StreamingState, TakeChunk, none>,
    Row<DispatchedState, AttemptFinished, RecordingOutcomeState, RecordCompleted, none>,
    Row<DispatchedState, StreamResumable, none, Resume, none>,
    Row<DispatchedState, AttemptRetryable, WaitingForReplicaState, ScheduleRetry, none>,
    Row<DispatchedState, AttemptLostForGood, RecordingOutcomeState, RecordLost, none>,
    Row<DispatchedState, CallerLeft, RecordingOutcomeState, Abandon, IsRepeatable>,
    Row<DispatchedState, CallerLeft, none, MarkGone, IsNotRepeatable>,
    Row<DispatchedState, DeadlinePassed, RecordingOutcomeState, RecordDeadline, IsRepeatable>,
    Row<DispatchedState, DeadlinePassed, none, AnswerDeadline, IsNotRepeatable>,
    Row<DispatchedState, LingerPassed, RecordingOutcomeState, RecordLinger, none>,

    Row<StreamingState, ChunkArrived, none, TakeChunk, none>,
    Row<StreamingState, AttemptFinished, RecordingOutcomeState, RecordCompleted, none>,
    Row<StreamingState, StreamResumable, DispatchedState, Resume, none>,
    Row<StreamingState, AttemptRetryable, WaitingForReplicaState, ScheduleRetry, none>,
    Row<StreamingState, AttemptLostForGood, RecordingOutcomeState, RecordLost, none>,
    Row<StreamingState, CallerLeft, RecordingOutcomeState, Abandon, IsRepeatable>,
    Row<StreamingState, CallerLeft, none, MarkGone, IsNotRepeatable>,
    Row<StreamingState, DeadlinePassed, RecordingOutcomeState, RecordDeadline, IsRepeatable>,
    Row<StreamingState, DeadlinePassed, none, AnswerDeadline, IsNotRepeatable>,
    Row<StreamingState, LingerPassed, RecordingOutcomeState, RecordLinger, none>,

    Row<RecordingOutcomeState, OutcomeStands, CompletedState, AnswerFinal, RecordedAsCompleted>,
    Row<RecordingOutcomeState, OutcomeStands, RefusedState, AnswerFinal, RecordedAsFailure>,
    Row<RecordingOutcomeState, OutcomeStands, UnknownState, AnswerFinal, RecordedAsUnknown>,
    Row<RecordingOutcomeState, ProgramRefused, RefusedState, AnswerRecordingFailed, NotRecordedAsUnknown>,
    Row<RecordingOutcomeState, ProgramRefused, UnknownState, AnswerRecordingFailed, RecordedAsUnknown>,
    Row<RecordingOutcomeState, CallerLeft, none, MarkGone, none>,
    Row<RecordingOutcomeState, DeadlinePassed, none, AnswerDeadline, none>
  > {};
  // clang-format on

  /// An event that does not fit the state came late: it is dropped and counted.
  template <class Machine, class Event>
  void no_transition(const Event&, Machine& machine, int) {
    machine.context->dropLateEvent();
  }

  CallContext* context;
};

using CallMachineBack = boost::msm::back::state_machine<CallMachineFront>;

}  // namespace

struct CallMachine::Implementation {
  Implementation(CallPlan plan, const RetryKnobs& retryKnobs, RetryBudget& budget,
                 RandomSource& random)
      : knobs(retryKnobs), context(std::move(plan), knobs, budget, random), machine(&context) {
    machine.start();
  }

  void onLoss(const AttemptLoss& loss, Instant now) {
    switch (context.judge(loss, now)) {
      case LossVerdict::Resume:
        machine.process_event(StreamResumable{now});
        return;
      case LossVerdict::Retry:
        machine.process_event(AttemptRetryable{now});
        return;
      case LossVerdict::GiveUp:
        machine.process_event(AttemptLostForGood{&loss, now});
        return;
    }
  }

  void on(const DispatchNotSent& event, Instant now) {
    onLoss({LossKind::NotSent, "the back end could not be reached: " + event.reason}, now);
  }
  void on(const DispatchRefused& event, Instant now) {
    AttemptLoss loss{LossKind::Refused, "the back end refused the request: " + event.reason};
    loss.status = event.status;
    loss.retryAfterSeconds = event.retryAfterSeconds;
    onLoss(loss, now);
  }
  void on(const DispatchBroken& event, Instant now) {
    onLoss({LossKind::Broken, "the connection to the back end broke: " + event.reason}, now);
  }
  void on(const DispatchFinished& event, Instant now) {
    machine.process_event(AttemptFinished{&event, now});
  }
  void on(const DispatchChunk& event, Instant now) {
    if (event.offset > context.receivedTokens()) {
      // Tokens are missing: going on would give the caller a text with a hole.
      context.cancelAttempt();
      onLoss({LossKind::Broken, "tokens of the stream are missing"}, now);
      return;
    }
    machine.process_event(ChunkArrived{&event, now});
  }

  RetryKnobs knobs;
  CallContext context;
  CallMachineBack machine;
  bool deadlineHandled = false;
};

CallMachine::CallMachine(CallPlan plan, const RetryKnobs& knobs, RetryBudget& budget,
                         RandomSource& random)
    : implementation_(std::make_unique<Implementation>(std::move(plan), knobs, budget, random)) {}

CallMachine::~CallMachine() = default;

void CallMachine::onSubmitted(Instant now) {
  implementation_->machine.process_event(Submitted{now});
}

void CallMachine::onAdmitted(const DispatchId& dispatch, Instant now) {
  implementation_->machine.process_event(Admitted{dispatch, now});
}

void CallMachine::onReplayed(const std::string& answer, Instant now) {
  implementation_->machine.process_event(Replayed{&answer, now});
}

void CallMachine::onProgramRefused(const Error& error, Instant now) {
  implementation_->machine.process_event(ProgramRefused{&error, now});
}

void CallMachine::onReplicaChosen(const ChosenReplica& replica, Instant now) {
  implementation_->machine.process_event(ReplicaChosen{&replica, now});
}

void CallMachine::onNoReplica(std::optional<Instant> usableAt, Instant now) {
  implementation_->machine.process_event(ReplicaMissing{usableAt, now});
}

bool CallMachine::onDispatchEvent(const DispatchEvent& event, Instant now) {
  const AttemptNumber attempt =
      std::visit([](const auto& alternative) { return alternative.attempt; }, event);
  if (!implementation_->context.isCurrent(attempt)) {
    implementation_->context.dropLateEvent();
    return false;
  }
  std::visit([&](const auto& alternative) { implementation_->on(alternative, now); }, event);
  return true;
}

void CallMachine::onOutcomeRecorded(program::Durability durability, Instant now) {
  implementation_->machine.process_event(OutcomeStands{durability, now});
}

void CallMachine::onCallerGone(Instant now) {
  if (!isOver()) {
    implementation_->machine.process_event(CallerLeft{now});
  }
}

void CallMachine::onTick(Instant now) {
  if (isOver()) {
    return;
  }
  if (now >= implementation_->context.retryAt()) {
    implementation_->machine.process_event(RetryDue{now});
  }
  const Instant deadline = plan().deadline;
  if (now >= deadline && !implementation_->deadlineHandled) {
    implementation_->deadlineHandled = true;
    implementation_->machine.process_event(DeadlinePassed{now});
  }
  const bool awaitsBackend = state() == CallState::Dispatched || state() == CallState::Streaming;
  if (awaitsBackend && now >= deadline + implementation_->knobs.lingerAfterDeadline) {
    implementation_->machine.process_event(LingerPassed{now});
  }
}

CallState CallMachine::state() const { return implementation_->context.state; }

Instant CallMachine::wakeAt() const {
  if (isOver()) {
    return Instant::max();
  }
  const Instant deadline = plan().deadline;
  if (!implementation_->deadlineHandled) {
    return std::min(implementation_->context.retryAt(), deadline);
  }
  return std::min(implementation_->context.retryAt(),
                  deadline + implementation_->knobs.lingerAfterDeadline);
}

bool CallMachine::isOver() const {
  return state() == CallState::Completed || state() == CallState::Refused ||
         state() == CallState::Unknown;
}

bool CallMachine::callerGone() const { return implementation_->context.callerGone(); }

const std::vector<std::string>& CallMachine::triedReplicas() const {
  return implementation_->context.triedReplicas();
}

const std::string& CallMachine::replicaUnderWay() const {
  return implementation_->context.replicaUnderWay();
}

const CallPlan& CallMachine::plan() const { return implementation_->context.plan(); }

const CallFigures& CallMachine::figures() const { return implementation_->context.figures(); }

std::vector<CallAction> CallMachine::takeActions() {
  return implementation_->context.takeActions();
}

}  // namespace gorsetrail::engine
