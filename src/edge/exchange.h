/// \file One client attempt from its arrival to its final answer.
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

namespace gorsetrail::edge {

/// Order of steps, and why it is safe:
/// 1. the tenant's limit is asked first: a refusal then has cost nothing else;
/// 2. the history of the turn is found in the log, so that a replica gets the whole chain;
/// 3. the budget is reserved. The request may be dispatched meanwhile, but no event is released
///    before the reservation stands in the log: so tokens handed out are always reserved;
/// 4. "not run" is answered only while no byte has reached a replica, or after the replica's own
///    promise; after a broken connection only idempotent requests go on;
/// 5. a persisted turn is stored before the end of its answer is released: a client that saw the
///    end finds the turn at every node, whatever fails.
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  /// \param context outlives the exchange.
  Exchange(EdgeContext& context, CallRequest request, http::ResponseWriterPtr writer);

  /// Starts; the exchange keeps itself alive until its end.
  void start();

 private:
  enum class BudgetState : std::uint8_t { NotNeeded, Reserving, Granted };

  // Before the first dispatch.
  void checkQuota();
  void onQuota(const quota::QuotaDecision& decision);
  /// The request was not sent to any replica: its token may serve another one.
  void giveQuotaTokenBack();
  void findHistory();
  void onHistory(ledger::HistoryAnswer answer);
  /// Counts the turn's bytes against the node's memory for turns.
  /// \return whether the turn goes on; else it was refused.
  bool retainTurn();
  void releaseTurnBytes();
  /// \return whether the request may begin as far as its record is concerned; else it was refused.
  bool mayKeepTurn(std::size_t bytes);
  void checkBudget();
  /// \param longest the reservation is given up after this.
  void reserve(bool dispatchAfterwards, Duration longest);
  [[nodiscard]] Duration longestReservation(ledger::ReservationOutlook outlook) const;
  void onReservation(bool dispatchAfterwards, const ledger::ReservationReply& reply);
  void reserveOnceMore(const ledger::ReservationReply& reply);

  // At a replica.
  void dispatch();
  void send(const routing::ReplicaPtr& replica);
  [[nodiscard]] routing::PlacementQuery placementQuery() const;
  [[nodiscard]] routing::PlacementSubject placementSubject() const;
  void onPlacesTaken(const routing::PlacesTaken& taken);
  void onNoReplica(const routing::NoReplica& none);
  [[nodiscard]] routing::WorkStage stage() const;
  /// \return how urgent the request is to a replica, 0 first.
  [[nodiscard]] std::uint32_t urgency() const;
  void onHead(unsigned status, const std::vector<http::Header>& headers);
  void onBody(std::string_view part);
  void onReplicaDone();
  void onReplicaFailure(const http::Failure& failure);
  void onReplicaRefusal();
  /// \param reason for the client where nothing more can be done.
  [[nodiscard]] FailedDispatch failedDispatch(bool ranThere) const;
  /// \return whether replicas that refuse may still be asked, by their number and the time left.
  [[nodiscard]] bool hasTriesLeft() const;
  void takeStep(RecoveryStep step, const std::string& reason);
  /// Learns whether the replica of the dispatch lives; `callback` is not called once the dispatch
  /// is over.
  void checkReplica(std::function<void(Exchange&, Reach)> callback);
  /// The replica took no connection, or the request could not be written to it.
  void onNotSent();
  /// \param lives the replica, as far as is known: it may be asked again.
  void leaveUnsent(bool lives);
  /// Leaves a replica that did not run the request this time. \param lives as above.
  /// \return what is known then.
  [[nodiscard]] FailedDispatch leaveUnserved(bool lives);
  void watchSilence();
  void onSilence();
  /// Nothing more comes of the run at this replica, which may have begun.
  void onRunLost(std::string_view reason);
  /// A request that was sent after the replica's process had started again runs at its new life.
  void followLife();
  /// The replica broke off a run. \param staysAtReplica the request goes on there if it can.
  void recover(bool staysAtReplica);
  void onWholeAnswer();
  void onStreamEnd();
  void onStored(const logstore::StoreResult<Success>& stored);
  /// The end was held for as long as its client listens.
  void onHoldLimit();
  [[nodiscard]] bool mayRunAgain() const;
  void runAgain();
  /// \return whether the route allows a replica that has not run the request.
  [[nodiscard]] bool mayRunOnAnother() const;
  /// Sends a cut stream again to the replica where it ran, after a pause.
  void askAgainLater();
  void releaseReplica();
  void noteOutcome(bool failed);
  void suspectReplica(std::string_view reason);

  // Log lines of refusals, with what decided them.
  void logQuotaUnknown(const quota::QuotaDecision& decision);
  void logHistoryRefused(const ledger::LedgerUnavailable& unavailable);
  void logReservationRefused(const ledger::ReservationReply& reply);

  // Towards the client.
  void releaseOutput();
  [[nodiscard]] RunKnowledge runKnowledge() const;
  /// Answers with the refusal's status where what it promises is true.
  void refuse(const Refusal& refusal);
  void failUnknown(unsigned status, const std::string& reason);
  void breakOff(const std::string& reason);
  void onDeadline();
  void onClientGone();
  void end(std::string_view outcome, std::string_view reason);
  void settleBudget(std::uint64_t tokens);

  /// \return milliseconds from the arrival to that moment, 0 when it did not come.
  [[nodiscard]] std::uint64_t millisecondsUntil(std::optional<Instant> moment) const;
  /// \return milliseconds until the program should be over: "0" when that has passed, empty when
  /// it was not told.
  [[nodiscard]] std::string programMillisecondsLeft() const;
  [[nodiscard]] Duration timeLeft() const;
  [[nodiscard]] bool isPersistedTurn() const;
  /// \return whether the turn's record can probably be stored now.
  [[nodiscard]] bool storeTakesTurn() const;
  [[nodiscard]] bool isStreaming() const;
  [[nodiscard]] bool isBudgeted() const;
  [[nodiscard]] std::uint64_t tokensHandedOut() const;

  EdgeContext& context_;
  CallRequest request_;
  http::ResponseWriterPtr writer_;
  Instant arrivedAt_;
  Instant deadlineAt_;
  std::optional<Instant> firstDispatchAt_;
  std::optional<Instant> firstEventAt_;
  CheckedRequest checked_;
  std::string ownInput_;    ///< The turn's new input, for its record.
  ledger::History before_;  ///< What the turn goes on from.
  BudgetState budget_ = BudgetState::NotNeeded;
  bool reservationMayStand_ = false;
  bool reservedOnceMore_ = false;
  bool holdsQuotaToken_ = false;

  // The dispatch under way.
  routing::ReplicaPtr replica_;
  http::RequestHandlePtr call_;
  std::uint64_t dispatchNumber_ = 0;  ///< Callbacks of older dispatches are ignored.
  Instant dispatchedAt_;
  ReplicaHead head_;
  bool headSeen_ = false;
  bool muteNoted_ = false;  ///< The dispatch counts as failed, since nothing came for long.
  std::vector<http::Header> replicaHeaders_;
  std::string body_;

  // Over all dispatches.
  std::vector<routing::ReplicaPtr> tried_;  ///< Not to be asked again.
  ReplicaRuns runs_;                        ///< Where it may have run.
  routing::ReplicaPtr resumeAt_;            ///< Where a cut stream goes on.
  std::uint32_t refusedTries_ = 0;
  std::uint32_t resumes_ = 0;
  bool mayHaveRun_ = false;
  StreamProgress progress_;   ///< Events wait here for the reservation.
  bool streamBegun_ = false;  ///< The client has the head of the stream.
  Instant streamEndedAt_;
  bool streamEnded_ = false;  ///< The replica's stream came whole.
  bool endHeld_ = false;      ///< The end waits for the turn's record.
  std::size_t retainedBytes_ = 0;
  bool ended_ = false;
};

}  // namespace gorsetrail::edge
