/// \file Data of one call, and the steps that its state machine takes (see call_machine.cpp).
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "engine/call_machine.h"

namespace gorsetrail::engine {

/// How an attempt was lost.
enum class LossKind : std::uint8_t {
  NotSent,  ///< No byte left: certainly not run.
  Refused,  ///< The back end refused it by its id: certainly not run.
  Broken,   ///< The connection ended after the first byte left: it may have run.
};

struct AttemptLoss {
  LossKind kind = LossKind::Broken;
  std::string reason;
  unsigned status = 0;                  ///< HTTP status of a refusal.
  std::uint32_t retryAfterSeconds = 0;  ///< As a refusal has it; 0: it did not say.
};

/// What follows a lost attempt.
enum class LossVerdict : std::uint8_t { Resume, Retry, GiveUp };

/// Steps of a call. Each leaves actions; which step is due, the state machine decides.
class CallContext {
 public:
  CallContext(CallPlan plan, const RetryKnobs& knobs, RetryBudget& budget, RandomSource& random)
      : plan_(std::move(plan)), knobs_(knobs), budget_(budget), random_(random) {}

  /// \name Facts
  /// @{
  CallState state = CallState::Received;
  [[nodiscard]] const CallPlan& plan() const { return plan_; }
  [[nodiscard]] const CallFigures& figures() const { return figures_; }
  [[nodiscard]] bool callerGone() const { return callerGone_; }
  [[nodiscard]] bool repeatable() const { return plan_.repeatable; }
  [[nodiscard]] bool worthRunning(Instant now) const;
  [[nodiscard]] bool isCurrent(AttemptNumber attempt) const;
  [[nodiscard]] bool mayWaitUntil(std::optional<Instant> usableAt, Instant now) const;
  [[nodiscard]] program::CallStatus recordedStatus() const { return recorded_.status; }
  [[nodiscard]] Instant retryAt() const { return retryAt_; }
  [[nodiscard]] const std::vector<std::string>& triedReplicas() const { return tried_; }
  [[nodiscard]] const std::string& replicaUnderWay() const { return replicaUnderWay_; }
  [[nodiscard]] std::uint32_t receivedTokens() const { return receivedTokens_; }
  /// @}

  /// Decides what follows a loss, and takes from the retry budget what that costs.
  LossVerdict judge(const AttemptLoss& loss, Instant now);

  /// \name Steps
  /// @{
  void dropLateEvent() { ++figures_.lateEventsDropped; }
  void markCallerGone() { callerGone_ = true; }
  void admit(const DispatchId& dispatch, Instant now);
  void requestReplica();
  void waitForReplica(std::optional<Instant> usableAt, Instant now);
  void dispatch(const ChosenReplica& replica, Instant now);
  void resume(Instant now);
  void scheduleRetry();
  void takeChunk(const DispatchChunk& chunk);
  void cancelAttempt();
  void recordCompleted(const DispatchFinished& finished, Instant now);
  void recordLost(const AttemptLoss& loss, Instant now);
  void recordNoReplica(std::optional<Instant> usableAt, Instant now);
  void recordAbandoned(Instant now);
  void recordDeadline(Instant now);
  void recordUnknownAfterLinger(Instant now);
  void answerReplay(const std::string& answer);
  void answerFinal(program::Durability durability);
  void answerProgramError(const Error& error);
  void answerRecordingFailed(const Error& error);
  void answerDeadline();
  /// @}

  [[nodiscard]] std::vector<CallAction> takeActions();

 private:
  void startDispatch(std::uint32_t resumeFrom, Instant now);
  void endAttempt();
  void record(program::CallStatus status, std::string answer, std::uint32_t usedTokens,
              Instant now);
  void recordFailure(Error error, Instant now);
  void refuse(Error error);
  [[nodiscard]] bool refusedWithoutLedger(ErrorKind kind) const;
  void emitUnsentText();
  [[nodiscard]] bool callerListens() const { return !callerGone_ && !callerAnswered_; }
  [[nodiscard]] bool mayResume(const AttemptLoss& loss) const;
  [[nodiscard]] bool mayStartAnew(const AttemptLoss& loss) const;
  [[nodiscard]] RunOutcome runOutcome() const;
  [[nodiscard]] std::uint32_t retryAfterSeconds(Instant now);
  [[nodiscard]] Error lossError(const AttemptLoss& loss, Instant now);
  [[nodiscard]] Error deadlineError() const;

  CallPlan plan_;
  const RetryKnobs& knobs_;
  RetryBudget& budget_;
  RandomSource& random_;
  std::vector<CallAction> actions_;
  CallFigures figures_;

  bool admitted_ = false;
  DispatchId dispatch_;
  ChosenReplica replica_;
  std::string replicaUnderWay_;
  std::vector<std::string> tried_;
  std::uint32_t attempts_ = 0;
  std::uint32_t resumes_ = 0;
  std::uint32_t fruitlessResumes_ = 0;
  bool mayHaveRun_ = false;
  Instant firstDispatchAt_{};
  Instant retryAt_ = Instant::max();
  Duration plannedBackoff_{};
  Duration waitForBudget_{};

  std::string text_;  ///< Text received so far of the attempt under way.
  std::uint32_t receivedTokens_ = 0;
  std::size_t sentBytes_ = 0;  ///< Bytes of `text_` that went to the caller.

  program::CallOutcome recorded_;
  DispatchFinished finished_;
  std::optional<Error> finalError_;
  bool callerGone_ = false;
  bool callerAnswered_ = false;
};

}  // namespace gorsetrail::engine
