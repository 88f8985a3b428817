// The part of `EdgeDaemon` that collects the values of the metrics endpoint.
#include "edge/edge_daemon.h"
#include "edge/edge_daemon_shared.h"
#include "http/error_boundary.h"

namespace gorsetrail::edge {

EdgeSnapshot EdgeDaemon::snapshot() const {
  const Instant now = clock_();
  const logstore::StoreCounters& store = store_.counters();
  EdgeSnapshot values;
  values.storeCalls = store.calls;
  values.storeAnswered = store.answered;
  values.storeUnanswered = store.unanswered;
  values.storeThrottled = store.throttled;
  values.storeBusy = store.busy;
  values.storeGivenUp = store.givenUp;
  const ledger::RoutedLedgerCounters& calls = ledger_.counters();
  values.ledgerCalls = calls.calls;
  values.ledgerCallsForwarded = calls.passedOn;
  values.ledgerCallsFailed = calls.failed;
  const ledger::BudgetCounters budgets = localLedger_.budgetCounters();
  values.reservationsGrantedAhead = budgets.grantedUnderPrimaryLease;
  values.reservationsGrantedAheadSecondary = budgets.grantedUnderSecondaryLease;
  values.reservationsGrantedByLog = budgets.grantedByLog;
  values.reservationsSpent = budgets.spent;
  values.reservationsUncertain = budgets.uncertain + budgets.decidedTooLate;
  values.grantsNotWitnessed = budgets.notWitnessed;
  values.leasesRecovered = budgets.recoveredLeases;
  values.witnessedLeases = ledgerService_.witness().leases();
  values.witnessedBytes = ledgerService_.witness().bytes();
  values.grantsUnrecorded = localLedger_.unrecordedGrants();
  values.settlementsWaiting = settlementsWaiting();
  values.settledLate = calls.settledLate;
  values.settlementsDropped = calls.settlementsDropped;
  values.storeThroughRelay = failoverStore_.isDirect() ? 0 : 1;
  addTopicMetrics(values);
  const quota::QuotaCounters quotas = quotaExchange_.counters();
  values.quotaGrantedAtOnce = quotas.grantedAtOnce;
  values.quotaGrantedAfterAsking = quotas.grantedAfterAsking;
  values.quotaGrantedFromOwnShare = quotas.grantedFromOwnShare;
  values.quotaOverLimit = quotas.overLimit;
  values.quotaUnknown = quotas.unknown;
  values.quotaTokenRequests = quotas.tokenRequests;
  values.quotaTokenReplies = quotas.tokenReplies;
  values.dispatches = context_.counters.dispatches;
  values.retries = context_.counters.retries;
  values.resumes = context_.counters.resumes;
  values.streamOrigins = requestRecords_.originCount();
  values.streamOriginsDropped = requestRecords_.droppedOrigins();
  values.streamOriginMessagesUnreadable = requestRecords_.unreadableMessages();
  const RunHistorySharing& runs = requestRecords_.runHistories();
  values.runHistories = runs.histories().all().size();
  values.requestsQuarantined = runs.histories().quarantinedRequests();
  values.quarantineRefusals = context_.counters.quarantineRefusals;
  values.runHistoriesDropped = runs.histories().droppedHistories();
  values.runHistoryBroadcastsLimited = runs.limitedBroadcasts();
  values.answersEndedForSize = context_.answerMemory.ended();
  values.answerBytes = context_.answerMemory.bytes();
  values.runsWithoutProof = survivalProofs_.size();
  values.streamsContinued = context_.counters.streamsContinued;
  values.streamsNotContinued = context_.counters.streamsNotContinued;
  values.retriesWithheld = context_.retryControl.retriesWithheld();
  values.returnSchedules = context_.retryControl.scheduleLengths(now);
  values.turnsWaitingForRecord = context_.retention.heldStreamEnds();
  values.turnsBegunInOutage = context_.retention.counters().startedDuringOutage;
  values.turnsStoredLate = context_.retention.counters().storedLate;
  values.turnsNotStored = context_.retention.counters().notStored;
  const http::HttpServerCounters callers = clientServer_->counters();
  values.requestsOpen = callers.responsesOpen;
  values.unreadBytes = callers.unreadBytes;
  values.connectionsClosedForUnreadBytes = callers.connectionsClosedForUnreadBytes;
  values.requestMemory = requestMemory_->counters();
  values.requestsUnreadable = requestsUnreadable_;
  values.clientConnections = clientConnections_->open();
  values.peerConnections = peerConnections_->open();
  values.clientConnectionLimit = clientConnections_->counters();
  values.peerConnectionLimit = peerConnections_->counters();
  values.handlerFailures = http::handlerFailures();
  values.replicas = replicas_.size();
  values.replicasCold = coldReplicas_.coldReplicas();
  values.coldReplicasSkipped = coldReplicas_.exclusionCount();
  values.replicasSlow = serviceTimes_.slowReplicas();
  values.lateDispatches = context_.counters.lateDispatches;
  for (const auto& [service, inflation] : serviceTimes_.inflations(now)) {
    values.inflations.push_back({service, percentOf(inflation)});
  }
  values.members = members_.liveMembers().size();
  values.membersSuspectedOrDead = peerMonitor_.suspectedOrDeadNodes();
  values.configurationVersion = routes_.inForce() ? routes_.inForce()->version.value() : 0;
  values.configurationAgeMilliseconds =
      ageMilliseconds(now, context_.storeReadTimes.configurationReadAt);
  values.replicasAgeMilliseconds = ageMilliseconds(now, context_.storeReadTimes.replicasReadAt);
  values.logLinesDropped = log_.droppedLines();
  values.replicaRecordsUnreadable = unreadableRecords_.count(RecordKind::Replica);
  values.memberRecordsUnreadable = unreadableRecords_.count(RecordKind::Member);
  values.configurationsUnreadable = unreadableRecords_.count(RecordKind::Configuration);
  values.operatorRecordsUnreadable = unreadableRecords_.count(RecordKind::Operator);
  values.loadDigestsUnreadable = loadExchange_.unreadableDigests();
  addTenantShareMetrics(values);
  for (const auto& [service, replicas] : replicas_.byService()) {
    if (!replicas.empty()) {
      values.speedSelections.push_back({service, speedContrast_.isActive(service)});
    }
  }
  for (const auto& [zone, since] : evacuations_.zones()) {
    values.evacuatedZones.push_back({zone, ageMilliseconds(now, since)});
  }
  addProgramAdmissionMetrics(values);
  return values;
}

void EdgeDaemon::addTopicMetrics(EdgeSnapshot& values) const {
  for (const logstore::TopicGateway* const gateway :
       {&configurationGateway_, &replicaGateway_, &memberGateway_}) {
    const logstore::TopicGatewayCounters& answered = gateway->counters();
    values.topicsListed += gateway->copy().isComplete() ? 1 : 0;
    values.topicGateways.changes += answered.changes;
    values.topicGateways.pages += answered.pages;
    values.topicGateways.bytes += answered.bytes;
    values.topicGateways.unlisted += answered.unlisted;
  }
  values.isTopicReader = topicReaders_.isReader() ? 1 : 0;
}

void EdgeDaemon::addProgramAdmissionMetrics(EdgeSnapshot& values) const {
  if (!context_.programAdmission) {
    return;
  }
  values.programsNotAdmitted = context_.programAdmission->refusals();
  for (const auto& [service, limit] : context_.programAdmission->limits()) {
    values.programLimits.push_back({service, percentOf(limit)});
  }
}

}  // namespace gorsetrail::edge
