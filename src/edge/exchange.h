/// \file Handles one client request from its arrival to the final answer.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "edge/call_request.h"
#include "edge/edge_context.h"
#include "edge/reach_check.h"
#include "edge/recovery_policy.h"
#include "edge/replica_runs.h"
#include "edge/request_check.h"
#include "edge/stream_progress.h"
#include "http/http_server.h"
#include "routing/request_key.h"

namespace gorsetrail::edge {

/// Handles one client request: quota, history, budget, dispatch with retries, and the answer.
///
/// Order of the steps, and why it is safe:
/// 0. For a request that continues a stream, the software that began it is looked up. If nobody
///    knows it, the request is refused: two versions must not write one stream.
///    A request under which too many replicas ended is refused, see `RunHistoryDirectory`.
/// 1. The quota is checked first, so that a refusal costs nothing else.
/// 2. The turn's history is read from the log and prepended to the request body.
/// 3. The budget is reserved. The request may be dispatched at the same time, but no event is
///    released before the reservation is granted, so that every token sent is reserved.
/// 4. "Not executed" is answered only if no replica received any byte, or every replica that did
///    guarantees it. After a broken connection only idempotent requests are dispatched again.
/// 5. The record of a persisted turn is stored before the end of its stream is released, so that a
///    client that saw the end can continue from the turn at any node.
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  /// \param context outlives the exchange.
  Exchange(EdgeContext& context, CallRequest request, http::ResponseWriterPtr writer);

  /// Starts the exchange. Pending callbacks keep it alive until it has ended.
  void start();
  /// The node ends: gives the final answer now. It makes no claim about execution if the request
  /// may have run.
  void onStopLimit();

 private:
  enum class BudgetState : std::uint8_t { NotNeeded, Reserving, Granted };
  /// Status and headers with which a streamed answer begins.
  struct StreamHead {
    unsigned status;
    std::vector<http::Header> headers;
  };

  // Before the first dispatch.
  void checkQuota();
  void onQuotaDecision(const quota::QuotaDecision& decision);
  /// Returns the quota token if the request was never dispatched.
  void returnQuotaToken();
  /// Asks the tenant's share and program admission, if the request starts a program.
  /// \return false if the request was refused.
  bool admitProgram();
  void onProgramNotAdmitted(const routing::ProgramNotAdmitted& refused);
  void findHistory();
  void onHistoryAnswer(ledger::HistoryAnswer answer);
  /// Puts the history before the turn's input.
  /// \return false if there is no memory for both.
  [[nodiscard]] bool holdHistory();
  /// Counts the turn's estimated bytes in the retention policy.
  /// \return false if the turn was refused.
  bool reserveTurnMemory();
  void releaseTurnMemory();
  /// \return the size of the body without the history.
  [[nodiscard]] std::size_t turnInputBytes() const;
  /// Asks the retention policy, if the request is a persisted turn.
  /// \return false if the request was refused.
  bool admitPersistedTurn(std::size_t bytes);
  void checkBudget();
  /// \param dispatchAfterwards whether to dispatch once the reservation is granted; false if the
  /// request is dispatched in parallel.
  /// \param timeLimit timeout of the reservation.
  void reserve(bool dispatchAfterwards, Duration timeLimit);
  [[nodiscard]] Duration reservationTimeout(ledger::ReservationOutlook outlook) const;
  void onReservationReply(bool dispatchAfterwards, const ledger::ReservationReply& reply);
  void retryReservation(const ledger::ReservationReply& reply);

  // At a replica.
  void dispatch();
  void send(const routing::ReplicaPtr& replica);
  /// Sends the request to the replica if an answer can begin in time.
  void sendIfInTime(const routing::ReplicaPtr& replica);
  /// Ends the request, because no answer can begin in time.
  void onTooLate(const routing::Replica& replica, Duration shortest);
  /// \return the shortest time to the first byte at the replica; zero if it is not known or not to
  /// be considered.
  [[nodiscard]] Duration shortestFirstByte(const routing::Replica& replica) const;
  /// \return whether an answer can begin in time after `shortest`.
  [[nodiscard]] bool canBeginAfter(Duration shortest) const;
  /// \return whether an answer can begin in time at a replica of typical speed.
  [[nodiscard]] bool hasTimeForAnswer() const;
  [[nodiscard]] routing::WorkSize workSize() const;
  /// Remembers what the measurement of the dispatch to `replica_` needs.
  void beginMeasurement();
  /// Adds the answered dispatch to the measurements of the service and the replica.
  void recordServiceTime();
  [[nodiscard]] routing::PlacementQuery placementQuery() const;
  [[nodiscard]] routing::PlacementSubject placementSubject() const;
  // Continuing a stream, in one answer or at another node.
  /// \return whether the client has received a part of the stream from an earlier attempt.
  [[nodiscard]] bool continuesStream() const;
  /// \return the identity of the stream, which is the same in all attempts that continue it.
  /// \return the age that a stream may have when its client continues it.
  [[nodiscard]] Duration streamLifetime() const;
  [[nodiscard]] routing::RequestKey streamId() const;
  /// Finds out which software began the stream, if the request continues one.
  void findStreamOrigin();
  void onStreamOrigin(const OriginLookup& lookup);
  /// Continues a stream without a recorded origin if its service has had only one software version,
  /// as of a read of the registrations that is newer than the request.
  void continueAtOnlyVersion(const OriginLookup& lookup);
  /// \param knownBy how the origin is known, for the log.
  void continueStream(const OriginLookup& lookup, const routing::StreamOrigin& origin,
                      std::string_view knownBy);
  /// Answers finally: the client has to begin a new stream.
  void refuseToContinueStream(const OriginLookup& lookup, std::string_view reason);
  /// Called before the release of events from a replica: from the first one on, only replicas of
  /// the same software version may continue the stream, at this node or another.
  /// \return false if the events are of another version; the request has then ended.
  [[nodiscard]] bool keepStreamOrigin();
  void recordStreamOrigin();
  void onReplicasBusy(const routing::RefusedByAdmission& refused);
  /// Takes a place in the retry order of the service; call it once, and only for a refusal for lack
  /// of capacity.
  /// \param fixedDelay the delay while return schedules are off.
  /// \return the retry delay for the refusal.
  [[nodiscard]] Duration retryDelay(Duration fixedDelay);
  /// \return the load and share of the request's tenant if the tenant is limited to its share.
  [[nodiscard]] std::optional<routing::TenantShare> tenantLimit() const;
  void refuseAboveTenantShare(const routing::TenantShare& use);
  void onNoReplica(const routing::NoReplica& none);
  /// \return the stage of the program, for admission control and quota.
  [[nodiscard]] routing::WorkStage stage() const;
  /// \return whether an earlier turn of the program has run.
  [[nodiscard]] bool hasStarted() const;
  /// \return whether admission control applies: the service runs engines, and no replica may have
  /// begun to execute the request.
  [[nodiscard]] bool isSubjectToAdmission() const;
  /// \return whether the program's deadline has passed or will pass before this turn can end; false
  /// if the request gives none.
  [[nodiscard]] bool isOverdue() const;
  /// \return the duration of the turn on an unloaded replica; zero without program admission, while
  /// it is not known, and for other requests.
  [[nodiscard]] Duration leastTimeNeeded() const;
  /// \return the request's priority for the replica; 0 is the most urgent.
  [[nodiscard]] std::uint32_t replicaPriority() const;
  /// \return whether an answer on the connection of the call is that to this request.
  [[nodiscard]] bool ownsAnswer(const ReplicaHead& head) const;
  void onHead(unsigned status, const std::vector<http::Header>& headers);
  void onInvalidStatus(unsigned status);
  void onBody(std::string_view part);
  void onReplicaDone();
  /// Counts what the unfinished answer holds. May end it.
  void noteHeldBytes();
  void releaseHeldBytes();
  /// The replica sends bytes that are no answer, or more than there is memory for.
  void breakOffAnswer(std::string_view reason);
  void onReplicaFailure(const http::Failure& failure);
  void onReplicaRefusal();
  /// \return whether the retry budget withholds the step: a dispatch after a refusal for lack of
  /// capacity, of a request that has not run anywhere.
  [[nodiscard]] bool isRetryWithheld(RecoveryStep step);
  /// Refuses the request because replicas refused it for lack of capacity.
  /// \param retryWithheld whether the retry budget withheld a further dispatch.
  void onReplicasFull(bool retryWithheld);
  [[nodiscard]] FailedDispatch failedDispatch(bool mayHaveRunThere) const;
  /// \return whether attempts and time are left to dispatch to a replica again after refusals.
  [[nodiscard]] bool hasAttemptsLeft() const;
  /// \param reason given to the client if the step ends the request.
  void performStep(RecoveryStep step, const std::string& reason);
  /// Checks whether the replica of the current dispatch is reachable. `callback` is not called
  /// after the dispatch has ended.
  void checkReplicaReachability(std::function<void(Exchange&, Reachability)> callback);
  /// Handles a failed connection, or a failure before the request was written.
  void onRequestNotSent();
  /// \param isRunning whether the replica is assumed to be running, so that it may be tried again.
  void abandonUnsentDispatch(bool isRunning);
  /// Ends a dispatch that the replica did not execute.
  /// \param isRunning see `abandonUnsentDispatch`.
  /// \return the state of the request afterwards.
  [[nodiscard]] FailedDispatch abandonUnservedDispatch(bool isRunning);
  /// Calls `onNoDataTimeout` if the dispatch is still in progress after
  /// `ExchangeKnobs::reachabilityCheckDelay`.
  void startNoDataTimer();
  void onNoDataTimeout();
  /// Cancels a dispatch that the replica may have begun to execute but will not finish.
  void onRunLost(std::string_view reason);
  /// Switches `replica_` to the replica's new incarnation if the process had restarted before the
  /// request was dispatched.
  void followRestartedReplica();
  /// Chooses the next step after an interrupted run.
  /// \param resumeOnSameReplica whether to prefer the same replica.
  void recover(bool resumeOnSameReplica);
  void onCompleteResponse();
  void onStreamEnd();
  void onTurnStored(const logstore::StoreResult<Success>& stored);
  /// Aborts the answer because the turn's record was not stored within the hold limit.
  void onHoldTimeout();
  /// \return whether the request may be dispatched again although it may have run: it is
  /// idempotent, and time, resumes and replicas are left.
  [[nodiscard]] bool mayRerun() const;
  /// Dispatches a request that may have run, to `resumeReplica_` if possible.
  void dispatchAgain();
  /// \return whether the route allows dispatching to a further replica.
  [[nodiscard]] bool mayRunOnAnotherReplica() const;
  /// Dispatches an interrupted stream again after a pause, to the replica at which it ran.
  void scheduleRetryOnSameReplica();
  /// Counts the dispatch in the loads of the replica and of the request's tenant.
  void occupyReplica(const routing::ReplicaPtr& replica);
  void releaseReplica();
  /// \return whether the request counts in its tenant's load at the service.
  [[nodiscard]] bool hasTenantLoad() const;
  void recordOutcome(bool failed);
  /// \param isRunLost whether the replica may have begun to execute the request.
  void recordReplicaFailure(std::string_view reason, bool isRunLost);

  // Log lines of refusals with their causes.
  void logQuotaUnknown(const quota::QuotaDecision& decision);
  void logHistoryRefused(const ledger::LedgerUnavailable& unavailable);
  void logReservationRefused(const ledger::ReservationReply& reply);

  // Answers to the client.
  /// Sends buffered events, or a whole response, to the client unless the reservation is pending.
  void releaseOutput();
  /// Passes on the replica's response, which is no stream.
  void sendWholeAnswer();
  /// Gives the answer the head of the current run, unless an earlier run has given it one.
  void keepStreamHead();
  /// Sends `streamHead_`, which must be set, if it was not sent yet.
  void beginAnswerStream();
  /// \return the status of the replica's response that the client receives, or received last; 0:
  /// none.
  [[nodiscard]] unsigned replicaStatus() const;
  [[nodiscard]] ExecutionState executionState() const;
  /// Answers with the refusal, or with 502 if its status would wrongly imply "not executed".
  void refuse(const Refusal& refusal);
  /// Answers with a status that makes no claim about execution.
  void failWithUnknownState(unsigned status, const std::string& reason);
  /// Closes the connection amid a stream; before the stream's head, answers with 502 instead.
  void abortAnswer(const std::string& reason);
  void onDeadline();
  /// Ends the request with a final answer whose reason is given.
  void endUnfinished(unsigned unknownStatus, const std::string& reason, Duration retryAfter);
  void onClientDisconnected();
  /// Logs the outcome and releases everything that the request holds.
  void end(std::string_view outcome, std::string_view reason);
  /// Reports the tokens used to the ledger, which returns the rest of the reservation.
  void settleBudget(std::uint64_t tokens);

  /// \return milliseconds from the request's arrival to the moment; 0 when it is absent.
  [[nodiscard]] std::uint64_t millisecondsUntil(std::optional<Instant> moment) const;
  /// \return milliseconds until the program's deadline: "0" when it has passed, empty when the
  /// request gives none.
  [[nodiscard]] std::string programMillisecondsLeft() const;
  [[nodiscard]] Duration timeLeft() const;
  [[nodiscard]] bool isPersistedTurn() const;
  /// \return whether the store is expected to accept the turn's record now.
  [[nodiscard]] bool isStoreAvailableForTurn() const;
  [[nodiscard]] bool isStreaming() const;
  [[nodiscard]] bool isBudgeted() const;
  [[nodiscard]] std::uint64_t tokensHandedOut() const;

  // Replicas that ended while they ran the request.
  /// \return the identity of the request over all attempts of its client.
  [[nodiscard]] const routing::RequestKey& requestKey() const;
  /// \return whether the request may be dispatched, considering the replicas that ended under it.
  [[nodiscard]] routing::QuarantineDecision quarantineDecision() const;
  [[nodiscard]] bool isQuarantined() const { return quarantineDecision().isQuarantined; }
  /// \return whether replicas may have ended under the request.
  [[nodiscard]] bool hasCountedRuns() const;
  /// Ends the request if it is quarantined.
  /// \return whether it has ended.
  bool endIfQuarantined();
  void logQuarantine(const routing::QuarantineDecision& decision);
  /// \return why an interrupted request is not sent again.
  [[nodiscard]] std::string interruptionReason(std::string_view reason);
  /// \return the current run, for the record.
  [[nodiscard]] routing::ReplicaRun currentRun() const;
  /// Ends the call to the replica; its callbacks are ignored from then on.
  void dropCall();
  /// \return the session for the record; 0 outside programs.
  [[nodiscard]] std::uint32_t sessionHash() const;
  [[nodiscard]] Duration runHistoryLifetime() const;
  /// \return whether the process may have ended before the interrupted run was dispatched.
  [[nodiscard]] bool metFailingReplica() const;
  /// The current run was interrupted: the replica may have ended.
  void recordInterruption();
  /// Records the dispatch if replicas may have ended under the request before, so that the run
  /// counts even if this node ends with the replica.
  void recordDispatch();
  /// \return whether the dispatch goes to the process of this exchange's previous run, which may
  /// not have restarted since.
  [[nodiscard]] bool isAtSameProcessAs(std::uint64_t previousRun) const;
  /// The replica guarantees that it did not execute the request, or received no byte of it.
  void recordNotExecuted();
  /// The replica answered the current run whole, so that this run has not ended it.
  void recordWholeAnswer();
  /// Records the current run if the request ends before it, at a replica that may have ended.
  void recordUnfinishedRun();
  /// Looks for proof that the replica outlives the current run.
  void watchForSurvival();
  /// The replica began an answer, which may be proof that it outlived earlier runs.
  void noteAnswer();

  EdgeContext& context_;
  CallRequest request_;
  http::ResponseWriterPtr writer_;
  Instant arrivedAt_;
  Instant deadlineAt_;
  // Dropped at the end: otherwise they would hold the memory of ended requests until they are due.
  services::TimerPtr deadlineTimer_;
  services::TimerPtr noDataTimer_;
  services::TimerPtr holdTimer_;
  std::optional<Instant> firstDispatchAt_;
  std::optional<Instant> firstEventAt_;
  CheckedRequest checked_;
  mutable std::optional<routing::RequestKey> requestKey_;  ///< Set by `requestKey`.
  http::Body turnInput_;  ///< The request's body without the history, for the turn's record.
  /// History of the preceding turns; its text stands at the start of the request's body.
  ledger::History history_;
  std::size_t historyBytes_ = 0;
  BudgetState budget_ = BudgetState::NotNeeded;
  /// Of the granted reservation, for the log.
  struct Grant {
    std::string partition;
    std::string coordinator;
    std::string lease;  ///< Empty: granted by the log.
  };
  Grant grant_;
  bool wholeAnswerReceived_ = false;  ///< It is held while the reservation is pending.
  bool reservationMayExist_ = false;
  bool reservationRetried_ = false;
  bool holdsQuotaToken_ = false;

  // State of the current dispatch.
  routing::ReplicaPtr replica_;
  http::RequestHandlePtr call_;
  std::uint64_t dispatchNumber_ = 0;  ///< Lets callbacks of earlier dispatches be ignored.
  Instant dispatchedAt_;
  ReplicaHead runHead_;  ///< Response head of the current run; empty before it is received.
  bool headReceived_ = false;
  bool hasInvalidStatus_ = false;  ///< The current run is answered with a status that HTTP lacks.
  /// When the client could receive the first byte: the response head; of a stream the first event.
  Instant answerBeganAt_;
  bool hadFreeSlot_ = false;     ///< The replica had a free slot at the dispatch.
  std::uint64_t runNumber_ = 0;  ///< Of the current dispatch in the record.
  /// Of the current run's connection, once it was established and its call has ended.
  std::optional<Instant> runConnectionOpenedAt_;
  Instant runSentAt_;                       ///< First dispatch of the run of that number.
  bool dispatchRecorded_ = false;           ///< By `recordDispatch`.
  bool runCountsAlready_ = false;           ///< As this exchange's previous run.
  Instant lastRunDataAt_;                   ///< When a replica last sent data to this exchange.
  std::uint64_t eventsBeforeDispatch_ = 0;  ///< Received in earlier dispatches.
  /// The dispatch was counted as a failure, because no head arrived within
  /// `ExchangeKnobs::noResponseFailureTime`.
  bool noAnswerRecorded_ = false;
  std::vector<http::Header> runHeaders_;  ///< Those of `runHead_` that are passed to the client.
  std::string body_;
  std::optional<AnswerMemory::Number> heldAnswer_;  ///< Of `body_` and held events.

  // State across all dispatches.
  std::vector<routing::ReplicaPtr> excludedReplicas_;  ///< Not selected again.
  bool skippedSlowReplica_ = false;    ///< Once, because it could not answer in time.
  ReplicaRuns runs_;                   ///< Replicas at which the request may be running.
  routing::ReplicaPtr resumeReplica_;  ///< Preferred for resuming an interrupted stream.
  std::uint32_t refusedDispatches_ = 0;
  std::uint32_t resumes_ = 0;
  bool mayHaveRun_ = false;
  StreamProgress progress_;  ///< Buffers events until the reservation is granted.
  /// Head of the run whose events come first in the answer. Later runs that resume the stream have
  /// heads of their own, but the answer keeps this one.
  std::optional<StreamHead> streamHead_;
  /// Software version of the replicas that may serve the request; unset before the first event of
  /// its stream.
  std::optional<std::string> softwareVersion_;
  bool originRecorded_ = false;
  bool streamBegun_ = false;  ///< The client has been sent the head of the stream.
  Instant streamEndedAt_;
  bool streamEnded_ = false;  ///< The replica's stream is complete; not yet handled.
  bool endHeld_ = false;      ///< The stream's end is held until the record is stored.
  std::size_t retainedBytes_ = 0;
  bool ended_ = false;
};

}  // namespace gorsetrail::edge
