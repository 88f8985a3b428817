#include "program/program_service_impl.h"

#include <type_traits>

#include "program/epochs.h"
#include "program/program_errors.h"

namespace gorsetrail::program {

ProgramServiceImpl::ProgramServiceImpl(NodeId self, Incarnation incarnation,
                                       const ProgramKnobs& knobs, const PeerLiveness& liveness,
                                       const ReplicaGroups& groups)
    : self_(self),
      incarnation_(incarnation),
      knobs_(knobs),
      liveness_(liveness),
      groups_(groups),
      replica_(self, incarnation, knobs, groups, commands_),
      repair_(self, knobs, liveness, replica_, commands_) {}

OwnedProgram* ProgramServiceImpl::programFor(CallHandle handle, const ProgramKey& key,
                                             const BudgetLimits& limits, Instant now) {
  const ProgramId program = programIdOf(key);
  if (isStopping_) {
    commands_.push(CallRefused{handle, nodeStoppingError()});
    return nullptr;
  }
  if (const auto position = programs_.find(program); position != programs_.end()) {
    return position->second.get();
  }
  const ReplicaGroups::Group group = groups_.groupOf(key.homeZone, program);
  if (group.members.empty()) {
    commands_.push(CallRefused{handle, homeZoneUnreachableError(key.homeZone)});
    return nullptr;
  }
  replica_.learnZone(key.homeZone, program);
  const ProgramOwner::Identity identity{self_, incarnation_, program, key, limits};
  auto opened = std::make_unique<OwnedProgram>(identity, group, knobs_, liveness_, commands_, now);
  return programs_.emplace(program, std::move(opened)).first->second.get();
}

void ProgramServiceImpl::admitCall(const CallAdmission& admission, Instant now) {
  OwnedProgram* program = programFor(admission.handle, admission.key, admission.limits, now);
  if (program == nullptr) {
    return;
  }
  const ProgramId id = programIdOf(admission.key);
  admittedCalls_[admission.handle] = id;
  program->admit(admission, now);
  dropIfFinished(id);
}

void ProgramServiceImpl::recordOutcome(CallHandle handle, const CallOutcome& outcome, Instant now) {
  const auto call = admittedCalls_.find(handle);
  const auto position =
      call == admittedCalls_.end() ? programs_.end() : programs_.find(call->second);
  if (position != programs_.end() && position->second->recordOutcome(handle, outcome, now)) {
    dropIfFinished(call->second);
    return;
  }
  // The program was lost meanwhile: its new owner told, or will tell, that the outcome is unknown.
  commands_.push(CallRefused{handle, staleEpochError(outcomeBeforeItStands(outcome.status))});
}

void ProgramServiceImpl::closeProgram(CallHandle handle, const ProgramKey& key, Instant now) {
  if (OwnedProgram* program = programFor(handle, key, BudgetLimits{}, now)) {
    program->close(handle, now);
    dropIfFinished(programIdOf(key));
  }
}

void ProgramServiceImpl::onJournalMessage(NodeId from, const JournalMessage& message, Instant now) {
  std::visit(
      [&](const auto& body) {
        using Body = std::decay_t<decltype(body)>;
        if constexpr (std::is_same_v<Body, SealRequest>) {
          replica_.onSealRequest(from, body, now);
        } else if constexpr (std::is_same_v<Body, AppendRequest>) {
          replica_.onAppendRequest(from, body, now);
        } else if constexpr (std::is_same_v<Body, ReleaseNotice>) {
          replica_.onRelease(body);
        } else if constexpr (std::is_same_v<Body, SealReply>) {
          onSealReply(from, body, now);
        } else {
          onAppendReply(from, body, now);
        }
      },
      message);
}

void ProgramServiceImpl::onSealReply(NodeId from, const SealReply& reply, Instant now) {
  if (isBarrierRequest(reply.epoch)) {
    replica_.onBarrierReply(from, reply, now);
  } else if (const auto position = programs_.find(reply.program); position != programs_.end()) {
    position->second->onSealReply(from, reply, now);
    dropIfFinished(reply.program);
  }
}

void ProgramServiceImpl::onAppendReply(NodeId from, const AppendReply& reply, Instant now) {
  if (const auto position = programs_.find(reply.program); position != programs_.end()) {
    position->second->onAppendReply(from, reply, now);
    dropIfFinished(reply.program);
  } else if (reply.verdict == AppendVerdict::StaleEpoch) {
    // The replica holds this node for the owner of an epoch that it no longer serves (its release
    // was lost): without this word nobody could take the program over while this node lives.
    commands_.send(from, ReleaseNotice{reply.program, reply.epoch});
  }
}

void ProgramServiceImpl::openRepair(ProgramId program, Instant now) {
  const ProgramRecord* record = replica_.recordOf(program);
  if (record == nullptr || programs_.contains(program)) {
    return;
  }
  const ReplicaGroups::Group group = groups_.groupOf(record->key.homeZone, program);
  const ProgramOwner::Identity identity{self_, incarnation_, program, record->key, record->limits};
  auto opened = std::make_unique<OwnedProgram>(identity, group, knobs_, liveness_, commands_, now);
  opened->beginRepair();
  programs_.emplace(program, std::move(opened));
}

void ProgramServiceImpl::dropIfFinished(ProgramId program) {
  const auto position = programs_.find(program);
  if (position != programs_.end() && position->second->isFinished()) {
    programs_.erase(position);
  }
}

void ProgramServiceImpl::onTick(Instant now) {
  lastTick_ = now;
  replica_.onTick(now);
  const std::vector<ProgramId> repairs = repair_.onTick(now);
  for (const ProgramId program : repairs) {
    if (!isStopping_) {
      openRepair(program, now);
    }
  }
  for (auto position = programs_.begin(); position != programs_.end();) {
    position->second->onTick(now);
    position = position->second->isFinished() ? programs_.erase(position) : std::next(position);
  }
}

void ProgramServiceImpl::beginStop(Instant now) {
  isStopping_ = true;
  stoppingSince_ = now;
  lastTick_ = now;
  for (auto position = programs_.begin(); position != programs_.end();) {
    position->second->beginStop(now);
    position = position->second->isFinished() ? programs_.erase(position) : std::next(position);
  }
}

bool ProgramServiceImpl::isDrained() const {
  const bool hasWaited = isStopping_ && lastTick_ - stoppingSince_ >= knobs_.handoverTimeout;
  return programs_.empty() && (repair_.isIdle() || hasWaited);
}

std::optional<ProgramSummary> ProgramServiceImpl::summaryOf(const ProgramKey& key) const {
  const ProgramId program = programIdOf(key);
  if (const auto position = programs_.find(program); position != programs_.end()) {
    if (auto summary = position->second->summary()) {
      return summary;
    }
  }
  const ProgramRecord* record = replica_.recordOf(program);
  if (record == nullptr) {
    return std::nullopt;
  }
  CallLedger ledger;
  ledger.load(*record);
  return ProgramSummary{key,
                        replica_.promisedOf(program),
                        ledger.budget().callsMade(),
                        ledger.budget().tokensUsed(),
                        record->closed,
                        renderHistory(record->entries, BranchId{})};
}

std::vector<ProgramCommand> ProgramServiceImpl::takeCommands() {
  std::vector<ProgramCommand> commands = commands_.take();
  for (const ProgramCommand& command : commands) {
    // A handle's last command ends what has to be remembered of it.
    if (const auto* refused = std::get_if<CallRefused>(&command)) {
      admittedCalls_.erase(refused->handle);
    } else if (const auto* replayed = std::get_if<CallReplayed>(&command)) {
      admittedCalls_.erase(replayed->handle);
    } else if (const auto* recorded = std::get_if<OutcomeRecorded>(&command)) {
      admittedCalls_.erase(recorded->handle);
    }
  }
  return commands;
}

ProgramServicePtr makeProgramService(NodeId self, Incarnation incarnation, ProgramKnobs knobs,
                                     const PeerLiveness& liveness, const ReplicaGroups& groups) {
  return std::make_unique<ProgramServiceImpl>(self, incarnation, knobs, liveness, groups);
}

}  // namespace gorsetrail::program
