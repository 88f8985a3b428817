#include "edge/edge_knobs.h"

#include <algorithm>

namespace gorsetrail::edge {
namespace {

/// Disables a limit.
constexpr double kNoLimit = 1e9;

/// \return the descriptors that sockets may take. The others are for files.
std::uint32_t socketDescriptorsOf(const EdgeSettings& settings) {
  constexpr std::uint32_t kForFiles = 200;
  const std::uint32_t all = settings.maximumDescriptors;
  return all - std::min(all / 2, kForFiles);
}

}  // namespace

std::string relayAddressOf(const EdgeSettings& settings) {
  return settings.ip + ":" + std::to_string(settings.firstInternalPort);
}

double capacityOf(const EdgeSettings& settings) {
  // With a link of at least this bandwidth the CPU, not the link, limits a coordinator: a turn of
  // 100 KB takes 1 ms of CPU time.
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
  knobs.budgets.incarnation = std::to_string(incarnation);
  knobs.budgets.leases.enabled = settings.uses(Mechanism::BudgetLeases);
  return knobs;
}

std::uint64_t maximumUnreadBytesOf(const EdgeSettings& settings) {
  // Leaves room for the ledger's cache, a quarter of the memory, and for the requests in flight
  // when the listeners for clients and for nodes both reach this limit. Of 88 MB each may take 11,
  // and an idle process takes some 20.
  constexpr std::uint64_t kShareOfMemory = 8;
  return settings.memoryBytes / kShareOfMemory;
}

// Three eighths of the sockets for clients and a quarter for other nodes leave three eighths for
// connections to replicas, the store and other nodes.
std::size_t clientConnectionsOf(const EdgeSettings& settings) {
  constexpr std::uint64_t kShareOfMemory = 8;
  // What the kernel may hold for one connection, doubled for its own accounting.
  constexpr std::uint64_t kBytesPerConnection = std::uint64_t{2} * kReceiveBufferBytes;
  const std::uint64_t bySockets = std::uint64_t{socketDescriptorsOf(settings)} / 8 * 3;
  const std::uint64_t byMemory = settings.memoryBytes / kShareOfMemory / kBytesPerConnection;
  return std::max<std::uint64_t>(1, std::min(bySockets, byMemory));
}

std::size_t peerConnectionsOf(const EdgeSettings& settings) {
  return std::max(1U, socketDescriptorsOf(settings) / 4);
}

http::RequestMemoryLimits requestMemoryLimitsOf(const EdgeSettings& settings) {
  // Of 88 MB, 16: beside an idle process (20), the ledger's cache (22), answers of replicas and
  // what clients have not read (11 each), and what waits in the kernel.
  constexpr std::uint64_t kShareNumerator = 3;
  constexpr std::uint64_t kShareDenominator = 16;
  http::RequestMemoryLimits limits;
  limits.maximumBytes = settings.memoryBytes / kShareDenominator * kShareNumerator;
  return limits;
}

std::size_t maximumAnswerBytesOf(const EdgeSettings& settings) {
  // As much as what clients have not read, which answers become.
  return maximumUnreadBytesOf(settings);
}

logstore::AdaptiveRetrySettings storePaceOf(const EdgeSettings& settings) {
  logstore::AdaptiveRetrySettings knobs;
  if (!settings.uses(Mechanism::HedgedStoreCalls)) {
    knobs.minimumReplyTimeout = knobs.maximumReplyTimeout;
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
  if (!settings.uses(Mechanism::Admission)) {
    return {kNoLimit, kNoLimit, kNoLimit, kNoLimit, kNoLimit, 0, 0, kNoLimit};
  }
  routing::AdmissionKnobs knobs;
  if (settings.overloadControl && settings.uses(Mechanism::PromptLocality)) {
    // Without spare capacity, each turn that processes its prompt at a further replica takes engine
    // time from turns in progress and evicts other programs' prompts.
    knobs.overflowFraction = 0;
  }
  return knobs;
}

std::optional<routing::ProgramAdmission> programAdmissionOf(const EdgeSettings& settings) {
  const bool isOn = settings.overloadControl && settings.limitsPrograms &&
                    settings.uses(Mechanism::ProgramAdmission);
  if (!isOn) {
    return std::nullopt;
  }
  return routing::ProgramAdmission({});
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

bool usesTenantShares(const EdgeSettings& settings) {
  return settings.overloadControl && settings.uses(Mechanism::TenantShares);
}

ExchangeKnobs exchangeKnobsOf(const EdgeSettings& settings) {
  constexpr Duration kNever = seconds(3600);
  ExchangeKnobs knobs;
  if (!settings.uses(Mechanism::RunawayLimit)) {
    knobs.runawayShare = kNoLimit;
  }
  knobs.limitsOverduePrograms = settings.overloadControl && settings.uses(Mechanism::OverdueLimit);
  // A longer turn would run, and its end could never be released.
  constexpr std::uint64_t kOverheadOfTurnRecord = 1024;
  knobs.maximumTurnBytes = settings.store.maximumRecordBytes -
                           std::min(settings.store.maximumRecordBytes, kOverheadOfTurnRecord);
  knobs.refusesLateDispatches = settings.overloadControl && settings.uses(Mechanism::ServiceTimes);
  if (!settings.uses(Mechanism::ReplicaSuspicion)) {
    knobs.suspicionTime = Duration::zero();
  }
  if (!settings.uses(Mechanism::SilenceChecks)) {
    knobs.reachabilityCheckDelay = kNever;
  }
  return knobs;
}

routing::ServiceTimesKnobs serviceTimesKnobsOf(const EdgeSettings& settings) {
  return {settings.uses(Mechanism::ReplicaSpeeds)};
}

TurnRetentionKnobs turnRetentionKnobsOf(const EdgeSettings& settings) {
  // Retained turns are small compared with the ledger's cache; 2.7 MB of 88 MB hold some 130 turns
  // of 20 KB.
  constexpr std::uint64_t kShareOfMemory = 32;
  TurnRetentionKnobs knobs;
  knobs.holdStreamEnds = settings.uses(Mechanism::TurnRetention);
  knobs.maximumRetainedBytes = settings.memoryBytes / kShareOfMemory;
  return knobs;
}

RetryControlKnobs retryControlKnobsOf(const EdgeSettings& settings) {
  RetryControlKnobs knobs;
  knobs.schedulesReturns = settings.overloadControl && settings.uses(Mechanism::ReturnSchedule);
  knobs.limitsRetries = settings.overloadControl && settings.uses(Mechanism::RetryBudget);
  return knobs;
}

}  // namespace gorsetrail::edge
