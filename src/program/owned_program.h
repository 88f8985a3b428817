/// \file One program as its owner (or a candidate) serves it: calls in, journal entries out.
#pragma once

#include <deque>
#include <optional>
#include <vector>

#include "program/call_ledger.h"
#include "program/program_owner.h"

namespace gorsetrail::program {

/// Composes a program's journal, calls and budget. Each event ends in `react`, which does whatever
/// has become possible; so no step depends on the order in which messages arrive.
class OwnedProgram {
 public:
  OwnedProgram(const ProgramOwner::Identity& identity, const ReplicaGroups::Group& group,
               const ProgramKnobs& knobs, const PeerLiveness& liveness, CommandQueue& commands,
               Instant now);

  void admit(const CallAdmission& admission, Instant now);
  /// \return whether the handle is that of an admitted call of this program.
  bool recordOutcome(CallHandle handle, const CallOutcome& outcome, Instant now);
  void close(CallHandle handle, Instant now);
  void onSealReply(NodeId from, const SealReply& reply, Instant now);
  void onAppendReply(NodeId from, const AppendReply& reply, Instant now);
  void onTick(Instant now);
  /// Opened for no caller: the record is put on the whole group, and the program released. A call
  /// that comes meanwhile makes it an ordinary one.
  void beginRepair() { isRepair_ = true; }
  /// Refuses what waits, and releases the program once its calls have ended.
  void beginStop(Instant now);

  /// \return whether this node has nothing more to do with the program.
  [[nodiscard]] bool isFinished() const { return isFinished_; }
  /// \return a summary, once the record is known.
  [[nodiscard]] std::optional<ProgramSummary> summary() const;

 private:
  void react(Instant now);
  [[nodiscard]] bool isQuiet() const;
  void adoptRecord(Instant now);
  /// Notes in the journal that earlier requests of this program may be forgotten.
  void markForgotten();
  void recordOrphans(const std::vector<CallNumber>& orphans);
  void takeArrival(const CallAdmission& admission);
  bool answerFromLedger(const CallAdmission& admission, const RequestDigest& request);
  void joinCallUnderWay(const CallAdmission& admission, LedgerCall& call);
  void advanceStanding();
  void advanceCall(LedgerCall& call, Branch& branch);
  void endCall(LedgerCall& call, Branch& branch);
  void pump(BranchId id, Branch& branch, Instant now);
  void startCall(BranchId id, Branch& branch, QueuedCall queued, Instant now);
  [[nodiscard]] std::optional<Error> refusalOf(const QueuedCall& queued, Instant now) const;
  void writeOutcome(LedgerCall& call, OutcomeEntry outcome);
  void admitted(const LedgerCall& call);
  void expireCalls(Instant now);
  void expireCall(LedgerCall& call, Instant now);
  void expireQueue(Branch& branch, Instant now);
  void closeWhenIdle(Instant now);
  void finishClosing(Instant now);
  void logStanding();
  void leave(const Error& queuedError, const Error& pendingError);
  void loseOwnership();
  void refuseCall(LedgerCall& call, const Error& error);
  void refuseQueued(const QueuedCall& queued, const Error& error);
  void refuseQueues(const Error& error);
  void refuse(CallHandle handle, const Error& error);
  void finishRepair(Instant now);
  void releaseAndFinish();

  ProgramOwner::Identity identity_;
  ProgramKnobs knobs_;
  const PeerLiveness& liveness_;
  CommandQueue& commands_;
  ProgramOwner owner_;
  CallLedger ledger_;
  std::deque<CallAdmission> arrivals_;  ///< Came before the record was known.
  std::vector<CallHandle> closers_;
  Instant openedAt_;
  Instant lastActivity_;
  Instant closingSince_;
  Instant nextQuietTick_;
  std::optional<SequenceNumber> closeEntry_;
  bool isLoaded_ = false;
  bool isClosing_ = false;
  bool isForgotten_ = false;  ///< Requests of an earlier journal may have run.
  bool isEnded_ = false;      ///< The close stands.
  bool isRepair_ = false;
  bool isStopping_ = false;
  Instant stoppingSince_;
  bool isFinished_ = false;
  std::uint64_t journalBytes_ = 0;
  std::uint64_t loggedThrough_ = 0;
};

}  // namespace gorsetrail::program
