// The part of `EdgeDaemon` that collects the values of the metrics endpoint.
#include "edge/edge_daemon.h"
#include "edge/edge_daemon_shared.h"

namespace gorsetrail::edge {

EdgeSnapshot EdgeDaemon::snapshot() const {
  const Instant now = clock_();
  const logstore::StoreCounters& store = store_.counters();
  EdgeSnapshot figures;
  figures.storeCalls = store.calls;
  figures.storeAnswered = store.answered;
  figures.storeUnanswered = store.unanswered;
  figures.storeThrottled = store.throttled;
  figures.storeBusy = store.busy;
  figures.storeGivenUp = store.givenUp;
  const ledger::RoutedLedgerCounters& calls = ledger_.counters();
  figures.ledgerCalls = calls.calls;
  figures.ledgerCallsForwarded = calls.passedOn;
  figures.ledgerCallsFailed = calls.failed;
  const ledger::BudgetCounters budgets = localLedger_.budgetCounters();
  figures.reservationsGrantedAhead = budgets.grantedAhead;
  figures.reservationsGrantedAheadSecondary = budgets.grantedAheadSecondary;
  figures.reservationsGrantedByLog = budgets.grantedByLog;
  figures.reservationsSpent = budgets.spent;
  figures.reservationsUncertain = budgets.uncertain + budgets.decidedTooLate;
  figures.grantsUnrecorded = localLedger_.unrecordedGrants();
  figures.storeThroughRelay = failoverStore_.isDirect() ? 0 : 1;
  addTopicMetrics(figures);
  const quota::QuotaCounters quotas = quotaExchange_.counters();
  figures.quotaGrantedAtOnce = quotas.grantedAtOnce;
  figures.quotaGrantedAfterAsking = quotas.grantedAfterAsking;
  figures.quotaGrantedFromOwnShare = quotas.grantedFromOwnShare;
  figures.quotaOverLimit = quotas.overLimit;
  figures.quotaUnknown = quotas.unknown;
  figures.quotaTokenRequests = quotas.tokenRequests;
  figures.quotaTokenReplies = quotas.tokenReplies;
  figures.dispatches = context_.counters.dispatches;
  figures.retries = context_.counters.retries;
  figures.resumes = context_.counters.resumes;
  figures.turnsWaitingForRecord = context_.retention.held();
  figures.turnsBegunInOutage = context_.retention.counters().begunInOutage;
  figures.turnsStoredLate = context_.retention.counters().storedLate;
  figures.turnsNotStored = context_.retention.counters().givenUp;
  const http::HttpServerCounters callers = clientServer_->counters();
  figures.requestsOpen = callers.responsesOpen;
  figures.bytesUntaken = callers.bytesUntaken;
  figures.callersCut = callers.callersCut;
  figures.replicas = replicas_.size();
  figures.replicasCold = coldReplicas_.coldReplicas();
  figures.coldReplicasSkipped = coldReplicas_.passedOver();
  figures.members = members_.liveMembers().size();
  figures.membersSilent = peerMonitor_.suspectedOrDeadNodes();
  figures.configurationVersion = routes_.inForce() ? routes_.inForce()->version.value() : 0;
  figures.configurationAgeMilliseconds =
      ageMilliseconds(now, context_.freshness.configurationHeardAt);
  figures.replicasAgeMilliseconds = ageMilliseconds(now, context_.freshness.replicasHeardAt);
  figures.logLinesDropped = log_.leftOut();
  figures.replicaRecordsUnreadable = unreadableRecords_.count(RecordKind::Replica);
  figures.memberRecordsUnreadable = unreadableRecords_.count(RecordKind::Member);
  figures.configurationsUnreadable = unreadableRecords_.count(RecordKind::Configuration);
  figures.operatorRecordsUnreadable = unreadableRecords_.count(RecordKind::Operator);
  figures.loadDigestsUnreadable = loadExchange_.unreadableDigests();
  for (const auto& [zone, since] : evacuations_.zones()) {
    figures.evacuatedZones.push_back({zone, ageMilliseconds(now, since)});
  }
  return figures;
}

void EdgeDaemon::addTopicMetrics(EdgeSnapshot& figures) const {
  for (const logstore::TopicGateway* const gateway :
       {&configurationGateway_, &replicaGateway_, &memberGateway_}) {
    const logstore::TopicGatewayCounters& answered = gateway->counters();
    figures.topicsListed += gateway->copy().isComplete() ? 1 : 0;
    figures.topicGateways.changes += answered.changes;
    figures.topicGateways.pages += answered.pages;
    figures.topicGateways.bytes += answered.bytes;
    figures.topicGateways.unlisted += answered.unlisted;
  }
  figures.isTopicReader = topicReaders_.isReader() ? 1 : 0;
}

}  // namespace gorsetrail::edge
