#include "edge/edge_knobs.h"

#include <algorithm>

namespace gorsetrail::edge {
namespace {

/// A limit that is never reached.
constexpr double kNoLimit = 1e9;

}  // namespace

std::string relayAddressOf(const EdgeSettings& settings) {
  return settings.ip + ":" + std::to_string(settings.firstInternalPort);
}

double capacityOf(const EdgeSettings& settings) {
  // From this link on the processor is what a home runs out of first: 1 ms for a turn of 100 KB.
  constexpr double kReferenceLinkMegabitsPerSecond = 1000;
  const double link =
      std::min(1.0, settings.linkMegabitsPerSecond / kReferenceLinkMegabitsPerSecond);
  return settings.processorShare * link;
}

ledger::LedgerKnobs ledgerKnobsOf(const EdgeSettings& settings, std::uint64_t incarnation) {
  constexpr std::uint64_t kShareOfMemory = 4;
  ledger::LedgerKnobs knobs;
  knobs.zone = settings.zone;
  knobs.partitions.partitionsPerTopic = settings.store.partitionsPerTopic;
  knobs.maximumRecordBytes = settings.store.maximumRecordBytes;
  knobs.cacheBytes = settings.memoryBytes / kShareOfMemory;
  knobs.budgets.holder = relayAddressOf(settings);
  knobs.budgets.life = std::to_string(incarnation);
  knobs.budgets.leases.enabled = settings.uses(Mechanism::BudgetLeases);
  return knobs;
}

std::uint64_t maximumUnreadBytesOf(const EdgeSettings& settings) {
  // Caches of the log take a quarter, a resting process some 20 MB: of 88 MB, 11 for each of the
  // listeners that callers and nodes use leave room for the requests under way.
  constexpr std::uint64_t kShareOfMemory = 8;
  return settings.memoryBytes / kShareOfMemory;
}

logstore::CallPacerKnobs storePaceOf(const EdgeSettings& settings) {
  logstore::CallPacerKnobs knobs;
  if (!settings.uses(Mechanism::HedgedStoreCalls)) {
    knobs.shortestPatience = knobs.longestPatience;
  }
  return knobs;
}

routing::ReplicaSelectorKnobs selectorKnobsOf(const EdgeSettings& settings) {
  routing::ReplicaSelectorKnobs knobs;
  if (!settings.uses(Mechanism::PromptAffinity)) {
    knobs.costPerPromptToken = 0;
  }
  if (!settings.uses(Mechanism::FailureCounts)) {
    knobs.failureCost = 0;
  }
  return knobs;
}

routing::AdmissionKnobs admissionKnobsOf(const EdgeSettings& settings) {
  if (settings.uses(Mechanism::Admission)) {
    return {};
  }
  return {kNoLimit, kNoLimit, kNoLimit, kNoLimit, 0, 0};
}

routing::ColdReplicaKnobs coldReplicaKnobsOf(const EdgeSettings& settings) {
  routing::ColdReplicaKnobs knobs;
  knobs.overshoot = settings.bounds.coldOvershoot;
  knobs.slack = settings.bounds.coldSlack;
  knobs.heartbeat = settings.bounds.replicaHeartbeat;
  if (!settings.uses(Mechanism::ColdFeeders)) {
    knobs.sharing = routing::ColdSharing::StaticShares;
  }
  return knobs;
}

ExchangeKnobs exchangeKnobsOf(const EdgeSettings& settings) {
  constexpr Duration kNever = seconds(3600);
  ExchangeKnobs knobs;
  if (!settings.uses(Mechanism::RunawayLimit)) {
    knobs.runawayShare = kNoLimit;
  }
  if (!settings.uses(Mechanism::ReplicaSuspicion)) {
    knobs.suspicionTime = Duration::zero();
  }
  if (!settings.uses(Mechanism::SilenceChecks)) {
    knobs.silence = kNever;
  }
  return knobs;
}

TurnRetentionKnobs turnRetentionKnobsOf(const EdgeSettings& settings) {
  // Turns are small beside caches of the log; 2.7 MB of 88 MB are some 130 turns of 20 KB.
  constexpr std::uint64_t kShareOfMemory = 32;
  TurnRetentionKnobs knobs;
  knobs.holdsEnds = settings.uses(Mechanism::TurnRetention);
  knobs.mostBytes = settings.memoryBytes / kShareOfMemory;
  return knobs;
}

}  // namespace gorsetrail::edge
