/// \file Composition of the program subsystem: owner side by program, and the replica side.
#pragma once

#include <memory>
#include <unordered_map>

#include "program/journal_replica.h"
#include "program/owned_program.h"
#include "program/replica_repair.h"

namespace gorsetrail::program {

/// Routes events to the programs this node owns or wants, and to its replicas.
class ProgramServiceImpl final : public ProgramService {
 public:
  ProgramServiceImpl(NodeId self, Incarnation incarnation, const ProgramKnobs& knobs,
                     const PeerLiveness& liveness, const ReplicaGroups& groups);

  void admitCall(const CallAdmission& admission, Instant now) override;
  void recordOutcome(CallHandle handle, const CallOutcome& outcome, Instant now) override;
  void closeProgram(CallHandle handle, const ProgramKey& key, Instant now) override;
  void onJournalMessage(NodeId from, const JournalMessage& message, Instant now) override;
  void onTick(Instant now) override;
  void beginStop(Instant now) override;
  [[nodiscard]] bool isDrained() const override;
  [[nodiscard]] std::optional<ProgramSummary> summaryOf(const ProgramKey& key) const override;
  [[nodiscard]] std::vector<ProgramCommand> takeCommands() override;
  /// \return the replica side, for diagnosis.
  [[nodiscard]] const JournalReplica& replica() const { return replica_; }

 private:
  /// \return the program, opened if need be; null after the call was refused.
  OwnedProgram* programFor(CallHandle handle, const ProgramKey& key, const BudgetLimits& limits,
                           Instant now);
  void onSealReply(NodeId from, const SealReply& reply, Instant now);
  void onAppendReply(NodeId from, const AppendReply& reply, Instant now);
  /// Takes a program over for no caller, to put its record on the whole group.
  void openRepair(ProgramId program, Instant now);
  void dropIfFinished(ProgramId program);

  NodeId self_;
  Incarnation incarnation_;
  ProgramKnobs knobs_;
  const PeerLiveness& liveness_;
  const ReplicaGroups& groups_;
  CommandQueue commands_;
  JournalReplica replica_;
  ReplicaRepair repair_;
  std::unordered_map<ProgramId, std::unique_ptr<OwnedProgram>> programs_;
  std::unordered_map<CallHandle, ProgramId> admittedCalls_;
  bool isStopping_ = false;
  Instant stoppingSince_;
  Instant lastTick_;
};

}  // namespace gorsetrail::program
