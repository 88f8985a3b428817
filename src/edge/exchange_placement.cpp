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
  query.replica.isConnected = [this](const routing::Replica& replica) {
    return context_.client.hasIdleConnection(replica.entry.address);
  };
  // A request that may have run is exempt from admission control: refusing it would waste work and
  // wrongly imply that it was not executed.
  const bool canBeRefused = checked_.hasEngine && isStreaming() && !mayHaveRun_ && !streamBegun_;
  if (canBeRefused) {
    query.admission = routing::AdmissionRequest{stage(), checked_.priority, checked_.turnName};
  }
  return query;
}

routing::PlacementSubject Exchange::placementSubject() const {
  routing::PlacementSubject subject;
  subject.allowedRegions = checked_.places == nullptr ? nullptr : &checked_.places->regions;
  return subject;
}

void Exchange::dispatch() {
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
  if (streamBegun_) {
    abortAnswer("no_replica_left");
  } else if (mayHaveRun_) {
    failWithUnknownState(kBadGateway, "no_replica_left");
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
  const bool hasBegun = !request_.previousTurnId.empty() || known > request_.maximumTokens;
  return hasBegun ? routing::WorkStage::Continuing : routing::WorkStage::FirstTurn;
}

bool Exchange::isOverdue() const {
  return request_.programTimeLeft && *request_.programTimeLeft <= context_.clock() - arrivedAt_;
}

std::uint32_t Exchange::replicaPriority() const {
  return isOverdue() ? tenant::kLeastUrgentPriority
                     : std::min(checked_.priority, tenant::kLeastUrgentPriority);
}

}  // namespace gorsetrail::edge
