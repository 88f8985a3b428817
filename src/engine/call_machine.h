/// \file The life of one call as a state machine: events in, actions out; no I/O, no clock.
///
/// received -> waiting for admission -> waiting for a replica -> dispatched -> streaming ->
/// recording the outcome -> completed | refused | unknown.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "engine/call_interface.h"
#include "engine/retry_budget.h"

namespace gorsetrail::engine {

/// Where a call stands.
enum class CallState : std::uint8_t {
  Received,
  WaitingForAdmission,
  WaitingForReplica,  ///< Queued for a replica, or waiting out a backoff.
  Dispatched,
  Streaming,
  RecordingOutcome,
  Completed,
  Refused,
  Unknown,
};

/// What a call needs for its whole life, as checked against the bundle.
struct CallPlan {
  CallHandle handle;
  RequestDigest request;  ///< Of the caller's request id.
  bool repeatable = true;
  bool application = false;
  /// The request id was made for this very call, so no earlier call can have run it.
  bool certainlyNew = false;
  AnswerMode mode = AnswerMode::Whole;
  std::string body;
  std::string model;
  std::string adapter;
  std::uint32_t priorityLevel = 0;
  std::uint32_t promptTokens = 0;  ///< Estimated.
  std::uint32_t maximumTokens = 0;
  Instant deadline;
};

/// A replica picked for an attempt.
struct ChosenReplica {
  std::string name;
  std::string address;
};

/// Asks for a replica; answered by `onReplicaChosen` or `onNoReplica`.
struct ChooseReplica {};
/// Asks to record how the call ended; answered by `onOutcomeRecorded` or `onProgramRefused`.
struct RecordOutcome {
  program::CallOutcome outcome;
};

using CallAction = std::variant<ChooseReplica, RecordOutcome, StartDispatch, CancelDispatch,
                                AnswerChunk, AnswerCompleted, AnswerRefused>;

/// Counts of one call for the node's counters.
struct CallFigures {
  std::uint32_t dispatches = 0;
  std::uint32_t retries = 0;  ///< New attempts and resumes after a loss.
  std::uint32_t lateEventsDropped = 0;
};

/// State machine of one call. Promises:
/// - a non-repeatable call is dispatched again only if the attempt before certainly did not run
///   (no byte left, or the back end refused it by its id); after any broken connection it ends
///   `Unknown` and is never dispatched again;
/// - the caller never sees text twice, nor text of two attempts;
/// - the completion comes only after the outcome is recorded;
/// - a call without a chance is answered at once.
class CallMachine {
 public:
  /// \param budget, random shared by the node's calls; outlive the machine.
  CallMachine(CallPlan plan, const RetryKnobs& knobs, RetryBudget& budget, RandomSource& random);
  ~CallMachine();
  CallMachine(const CallMachine&) = delete;
  CallMachine& operator=(const CallMachine&) = delete;

  /// The call was handed to the program service.
  void onSubmitted(Instant now);
  void onAdmitted(const DispatchId& dispatch, Instant now);
  void onReplayed(const std::string& answer, Instant now);
  /// The program service refused the call, or its outcome.
  void onProgramRefused(const Error& error, Instant now);
  void onReplicaChosen(const ChosenReplica& replica, Instant now);
  /// \param usableAt when a replica may become usable; nothing when none is foreseen.
  void onNoReplica(std::optional<Instant> usableAt, Instant now);
  /// \return whether the event was of the attempt under way; others are dropped and counted.
  bool onDispatchEvent(const DispatchEvent& event, Instant now);
  void onOutcomeRecorded(program::Durability durability, Instant now);
  void onCallerGone(Instant now);
  void onTick(Instant now);

  [[nodiscard]] CallState state() const;
  /// \return when `onTick` has something to do next.
  [[nodiscard]] Instant wakeAt() const;
  /// \return whether the call has ended and its outcome is dealt with.
  [[nodiscard]] bool isOver() const;
  [[nodiscard]] bool callerGone() const;
  /// \return replicas that lost an attempt of this call.
  [[nodiscard]] const std::vector<std::string>& triedReplicas() const;
  /// \return the replica of the attempt under way; empty when none is.
  [[nodiscard]] const std::string& replicaUnderWay() const;
  [[nodiscard]] const CallPlan& plan() const;
  [[nodiscard]] const CallFigures& figures() const;
  /// \return and clears what has to be done, in order.
  [[nodiscard]] std::vector<CallAction> takeActions();

 private:
  struct Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace gorsetrail::engine
