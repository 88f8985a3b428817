// Part of `Exchange`: selects a replica, or refuses when there is none.
#include <algorithm>
#include <string>

#include "edge/exchange.h"
#include "edge/exchange_shared.h"

namespace gorsetrail::edge {

routing::PlacementQuery Exchange::placementQuery() const {
  const bool cachesPrompts = checked_.hasEngine && !request_.programId.empty();
  routing::PlacementQuery query;
  query.replica.service = checked_.service;
  query.replica.affinityKey = cachesPrompts ? checked_.programName : checked_.turnName;
  query.replica.promptTokens = cachesPrompts ? request_.promptTokens : 0;
  query.replica.waitsForSlot = checked_.hasEngine;
  query.replica.tried = &excludedReplicas_;
  query.subject = placementSubject();
  query.subject.needsSignOfLife = hasCountedRuns();
  query.replica.isConnected = [this](const routing::Replica& replica) {
    return context_.client.hasIdleConnection(replica.entry.address);
  };
  if (isSubjectToAdmission()) {
    query.admission = routing::AdmissionRequest{stage(), checked_.priority, checked_.turnName};
    query.admission->isTenantAboveShare =
        query.admission->stage == routing::WorkStage::Continuing && tenantLimit().has_value();
    if (context_.programAdmission) {
      query.admission->programLimit = context_.programAdmission->limitOf(checked_.service);
    }
  }
  return query;
}

// A request that may have run is exempt: refusing it would waste work and wrongly imply that it was
// not executed.
bool Exchange::isSubjectToAdmission() const {
  return checked_.hasEngine && isStreaming() && !mayHaveRun_ && !streamBegun_;
}

// A client that resumes a stream has received events, so that its program has started.
bool Exchange::admitProgram() {
  const bool starts = isSubjectToAdmission() && request_.lastEventId.empty() &&
                      stage() == routing::WorkStage::FirstTurn;
  if (!starts) {
    return true;
  }
  // The tenant's share comes first, so that a refusal for it takes no start from other tenants.
  const auto limit = tenantLimit();
  if (limit && !routing::admitsStart(*limit, checked_.turnName)) {
    refuseAboveTenantShare(*limit);
    return false;
  }
  if (!context_.programAdmission) {
    return true;
  }
  const routing::ProgramDecision decision = context_.programAdmission->decide(
      {checked_.service, checked_.priority}, context_.placement.loadOf(checked_.service));
  if (const auto* const refused = std::get_if<routing::ProgramNotAdmitted>(&decision)) {
    onProgramNotAdmitted(*refused);
    return false;
  }
  return true;
}

routing::PlacementSubject Exchange::placementSubject() const {
  routing::PlacementSubject subject;
  subject.allowedRegions = checked_.places == nullptr ? nullptr : &checked_.places->regions;
  subject.softwareVersion = softwareVersion_ ? &*softwareVersion_ : nullptr;
  return subject;
}

std::optional<routing::TenantShare> Exchange::tenantLimit() const {
  return hasTenantLoad() ? context_.tenantShares->limitOf(checked_.service, checked_.tenant->name)
                         : std::nullopt;
}

void Exchange::dispatch() {
  if (endIfQuarantined()) {
    return;
  }
  const routing::Placement placement = context_.placement.place(placementQuery(), context_.clock());
  if (const auto* const placed = std::get_if<routing::Placed>(&placement)) {
    sendIfInTime(placed->replica);
  } else if (const auto* const none = std::get_if<routing::NoReplica>(&placement)) {
    onNoReplica(*none);
  } else {
    onReplicasBusy(std::get<routing::RefusedByAdmission>(placement));
  }
}

void Exchange::onNoReplica(const routing::NoReplica& none) {
  const bool isVersionGone = none.reason == routing::ExclusionReason::OtherSoftwareVersion;
  const std::string reason =
      isVersionGone ? std::string(routing::exclusionReasonName(*none.reason)) : "no_replica_left";
  if (streamBegun_) {
    abortAnswer(reason);
  } else if (mayHaveRun_) {
    failWithUnknownState(kBadGateway, reason);
  } else if (none.reason) {
    refuse(
        {kUnavailable, std::string(routing::exclusionReasonName(*none.reason)), none.retryAfter});
  } else if (skippedSlowReplica_) {
    ++context_.counters.lateDispatches;
    refuse({kUnavailable, "too_late_to_answer", Duration::zero()});
  } else {
    refuse({kUnavailable, "no_replica_free", context_.knobs.retryAfterFull});
  }
}

routing::WorkStage Exchange::stage() const {
  const std::uint64_t known = context_.ledger.knownTokenUse(checked_.programName);
  const double budget = static_cast<double>(request_.tokenBudget.value_or(0));
  if (budget > 0 && static_cast<double>(known) > context_.knobs.runawayShare * budget) {
    return routing::WorkStage::Runaway;
  }
  if (context_.knobs.limitsOverduePrograms && isOverdue()) {
    return routing::WorkStage::Overdue;
  }
  return hasStarted() ? routing::WorkStage::Continuing : routing::WorkStage::FirstTurn;
}

bool Exchange::hasStarted() const {
  return !request_.previousTurnId.empty() ||
         context_.ledger.knownTokenUse(checked_.programName) > request_.maximumTokens;
}

bool Exchange::isOverdue() const {
  if (!request_.programTimeLeft) {
    return false;
  }
  return *request_.programTimeLeft - (context_.clock() - arrivedAt_) <= leastTimeNeeded();
}

// Zero for a stream that is resumed: a part of its turn has run already.
Duration Exchange::leastTimeNeeded() const {
  const bool isWholeTurn = checked_.hasEngine && isStreaming() && !streamBegun_ && !mayHaveRun_ &&
                           request_.lastEventId.empty();
  if (!context_.programAdmission || context_.serviceTimes == nullptr || !isWholeTurn) {
    return Duration::zero();
  }
  return context_.serviceTimes->unloadedDuration(checked_.service, workSize())
      .value_or(Duration::zero());
}

std::uint32_t Exchange::replicaPriority() const {
  return isOverdue() ? tenant::kLeastUrgentPriority
                     : std::min(checked_.priority, tenant::kLeastUrgentPriority);
}

}  // namespace gorsetrail::edge
