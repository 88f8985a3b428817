/// \file Events, actions and guards of a call's state machine; included only by call_machine.cpp.
#pragma once

#include <optional>
#include <string>

#include "engine/call_context.h"

namespace gorsetrail::engine::steps {

/// \name Events; all carry the moment at which they came
/// @{
struct Submitted {
  Instant now;
};
struct Admitted {
  DispatchId dispatch;
  Instant now;
};
struct Replayed {
  const std::string* answer;
  Instant now;
};
struct ProgramRefused {
  const Error* error;
  Instant now;
};
struct ReplicaChosen {
  const ChosenReplica* replica;
  Instant now;
};
struct ReplicaMissing {
  std::optional<Instant> usableAt;
  Instant now;
};
struct RetryDue {
  Instant now;
};
struct ChunkArrived {
  const DispatchChunk* chunk;
  Instant now;
};
struct AttemptFinished {
  const DispatchFinished* finished;
  Instant now;
};
struct StreamResumable {
  Instant now;
};
struct AttemptRetryable {
  Instant now;
};
struct AttemptLostForGood {
  const AttemptLoss* loss;
  Instant now;
};
struct OutcomeStands {
  program::Durability durability;
  Instant now;
};
struct CallerLeft {
  Instant now;
};
struct DeadlinePassed {
  Instant now;
};
struct LingerPassed {
  Instant now;
};
/// @}

/// An action or guard: calls `Step` with the context and the event.
template <auto kStep>
struct Step {
  template <class Event, class Machine, class Source, class Target>
  auto operator()(const Event& event, Machine& machine, Source&, Target&) const {
    return kStep(*machine.context, event);
  }
};

/// \name Actions
/// @{
using Admit = Step<[](CallContext& call, const Admitted& event) {
  call.admit(event.dispatch, event.now);
  call.requestReplica();
}>;
using RecordNeverRun = Step<[](CallContext& call, const Admitted& event) {
  call.admit(event.dispatch, event.now);
  call.recordDeadline(event.now);
}>;
using AnswerReplay =
    Step<[](CallContext& call, const Replayed& event) { call.answerReplay(*event.answer); }>;
using AnswerError = Step<[](CallContext& call, const ProgramRefused& event) {
  call.answerProgramError(*event.error);
}>;
using AnswerRecordingFailed = Step<[](CallContext& call, const ProgramRefused& event) {
  call.answerRecordingFailed(*event.error);
}>;
using MarkGone = Step<[](CallContext& call, const CallerLeft&) { call.markCallerGone(); }>;
using Abandon = Step<[](CallContext& call, const CallerLeft& event) {
  call.markCallerGone();
  call.recordAbandoned(event.now);
}>;
using AnswerDeadline =
    Step<[](CallContext& call, const DeadlinePassed&) { call.answerDeadline(); }>;
using RecordDeadline =
    Step<[](CallContext& call, const DeadlinePassed& event) { call.recordDeadline(event.now); }>;
using RecordLinger = Step<[](CallContext& call, const LingerPassed& event) {
  call.recordUnknownAfterLinger(event.now);
}>;
using Dispatch = Step<[](CallContext& call, const ReplicaChosen& event) {
  call.dispatch(*event.replica, event.now);
}>;
using WaitForReplica = Step<[](CallContext& call, const ReplicaMissing& event) {
  call.waitForReplica(event.usableAt, event.now);
}>;
using RecordNoReplica = Step<[](CallContext& call, const ReplicaMissing& event) {
  call.recordNoReplica(event.usableAt, event.now);
}>;
using RequestReplica = Step<[](CallContext& call, const RetryDue&) { call.requestReplica(); }>;
using TakeChunk =
    Step<[](CallContext& call, const ChunkArrived& event) { call.takeChunk(*event.chunk); }>;
using RecordCompleted = Step<[](CallContext& call, const AttemptFinished& event) {
  call.recordCompleted(*event.finished, event.now);
}>;
using Resume =
    Step<[](CallContext& call, const StreamResumable& event) { call.resume(event.now); }>;
using ScheduleRetry =
    Step<[](CallContext& call, const AttemptRetryable&) { call.scheduleRetry(); }>;
using RecordLost = Step<[](CallContext& call, const AttemptLostForGood& event) {
  call.recordLost(*event.loss, event.now);
}>;
using AnswerFinal =
    Step<[](CallContext& call, const OutcomeStands& event) { call.answerFinal(event.durability); }>;
/// @}

/// \name Guards; those of one state and event exclude each other
/// @{
using WorthRunning = Step<[](const CallContext& call, const Admitted& event) {
  return call.worthRunning(event.now);
}>;
using NotWorthRunning = Step<[](const CallContext& call, const Admitted& event) {
  return !call.worthRunning(event.now);
}>;
using MayWait = Step<[](const CallContext& call, const ReplicaMissing& event) {
  return call.mayWaitUntil(event.usableAt, event.now);
}>;
using MayNotWait = Step<[](const CallContext& call, const ReplicaMissing& event) {
  return !call.mayWaitUntil(event.usableAt, event.now);
}>;
using IsRepeatable = Step<[](const CallContext& call, const auto&) { return call.repeatable(); }>;
using IsNotRepeatable =
    Step<[](const CallContext& call, const auto&) { return !call.repeatable(); }>;
template <program::CallStatus kStatus>
using RecordedAs =
    Step<[](const CallContext& call, const auto&) { return call.recordedStatus() == kStatus; }>;
using RecordedAsFailure = Step<[](const CallContext& call, const auto&) {
  return call.recordedStatus() != program::CallStatus::Completed &&
         call.recordedStatus() != program::CallStatus::Unknown;
}>;
using RecordedAsUnknown = RecordedAs<program::CallStatus::Unknown>;
using NotRecordedAsUnknown = Step<[](const CallContext& call, const auto&) {
  return call.recordedStatus() != program::CallStatus::Unknown;
}>;
using RecordedAsCompleted = RecordedAs<program::CallStatus::Completed>;
/// @}

}  // namespace gorsetrail::engine::steps
