#include "edge/edge_metrics.h"

#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "metrics/family_list.h"

namespace gorsetrail::edge {
namespace {

using prometheus::Histogram;
using prometheus::MetricType;

const Histogram::BucketBoundaries kRequestBuckets = {0.01, 0.03, 0.1, 0.2, 0.4, 0.8, 1.6, 4.0};
const Histogram::BucketBoundaries kOwnTimeBuckets = {0.001, 0.002, 0.004, 0.008,
                                                     0.015, 0.03,  0.1,   0.5};

double secondsOf(Duration span) { return std::chrono::duration<double>(span).count(); }

void addStore(metrics::FamilyList& list, const EdgeSnapshot& snapshot) {
  list.family("store_calls_total", "Calls to the store by result", MetricType::Counter);
  list.add(snapshot.storeCalls, {{"result", "started"}});
  list.add(snapshot.storeAnswered, {{"result", "answered"}});
  list.add(snapshot.storeUnanswered, {{"result", "no_answer"}});
  list.add(snapshot.storeThrottled, {{"result", "throttled"}});
  list.add(snapshot.storeBusy, {{"result", "busy"}});
  list.add(snapshot.storeGivenUp, {{"result", "given_up"}});
  list.gauge("store_through_relay", "1 while store calls go through other nodes",
             snapshot.storeThroughRelay);
}

void addTopics(metrics::FamilyList& list, const EdgeSnapshot& snapshot) {
  list.gauge("topics_listed", "Followed topics that were listed, of 3", snapshot.topicsListed);
  list.gauge("topic_reader", "1 at the node that reads followed topics for its zone",
             snapshot.isTopicReader);
  const logstore::TopicGatewayCounters& answered = snapshot.topicGateways;
  list.family("topic_answers_total", "Answers from the copies of followed topics",
              MetricType::Counter);
  list.add(answered.changes, {{"kind", "changes"}});
  list.add(answered.pages, {{"kind", "page"}});
  list.add(answered.unlisted, {{"kind", "not_listed_yet"}});
  list.counter("topic_answer_bytes_total", "Records and values in them", answered.bytes);
}

void addLedger(metrics::FamilyList& list, const EdgeSnapshot& snapshot) {
  list.family("ledger_calls_total", "Calls to homes by result", MetricType::Counter);
  list.add(snapshot.ledgerCalls, {{"result", "started"}});
  list.add(snapshot.ledgerCallsForwarded, {{"result", "passed_on"}});
  list.add(snapshot.ledgerCallsFailed, {{"result", "failed"}});
  list.family("reservations_total", "Budget decisions at this node by result", MetricType::Counter);
  list.add(snapshot.reservationsGrantedAhead, {{"result", "granted_ahead"}});
  list.add(snapshot.reservationsGrantedAheadSecondary, {{"result", "granted_ahead_secondary"}});
  list.add(snapshot.reservationsGrantedByLog, {{"result", "granted_by_log"}});
  list.add(snapshot.reservationsSpent, {{"result", "spent"}});
  list.add(snapshot.reservationsUncertain, {{"result", "uncertain"}});
  list.counter("grants_not_witnessed_total", "Grants that too few witnesses stored",
               snapshot.grantsNotWitnessed);
  list.counter("leases_recovered_total", "Leases of other processes cleared by this node",
               snapshot.leasesRecovered);
  list.gauge("witnessed_leases", "Leases that this node stores grants of",
             snapshot.witnessedLeases);
  list.gauge("witnessed_bytes", "Bytes of grants stored for other nodes", snapshot.witnessedBytes);
  list.gauge("grants_unrecorded", "Grants ahead of their records", snapshot.grantsUnrecorded);
  list.gauge("settlements_waiting", "Ends of turns whose records wait",
             snapshot.settlementsWaiting);
  list.counter("settlements_late_total", "Ends of turns accepted at a later try",
               snapshot.settledLate);
  list.counter("settlements_dropped_total", "Ends of turns dropped: the turns count in full",
               snapshot.settlementsDropped);
}

void addQuotas(metrics::FamilyList& list, const EdgeSnapshot& snapshot) {
  list.family("quota_decisions_total", "Requests of limited tenants by decision",
              MetricType::Counter);
  list.add(snapshot.quotaGrantedAtOnce, {{"decision", "granted_at_once"}});
  list.add(snapshot.quotaGrantedAfterAsking, {{"decision", "granted_after_asking"}});
  list.add(snapshot.quotaGrantedFromOwnShare, {{"decision", "granted_from_own_share"}});
  list.add(snapshot.quotaOverLimit, {{"decision", "over_limit"}});
  list.add(snapshot.quotaUnknown, {{"decision", "unknown"}});
  list.counter("quota_token_requests_total", "To coordinators", snapshot.quotaTokenRequests);
  list.counter("quota_token_replies_total", "As a coordinator", snapshot.quotaTokenReplies);
}

void addRetention(metrics::FamilyList& list, const EdgeSnapshot& snapshot) {
  list.gauge("turns_waiting_for_record", "Whole streams whose end is held",
             snapshot.turnsWaitingForRecord);
  list.family("turns_retained_total", "Turns that met an outage of the store", MetricType::Counter);
  list.add(snapshot.turnsBegunInOutage, {{"result", "begun"}});
  list.add(snapshot.turnsStoredLate, {{"result", "stored_late"}});
  list.add(snapshot.turnsNotStored, {{"result", "not_stored"}});
}

void addStreamOrigins(metrics::FamilyList& list, const EdgeSnapshot& snapshot) {
  list.gauge("stream_origins", "Streams whose software version this node holds",
             snapshot.streamOrigins);
  list.counter("stream_origins_dropped_total", "Dropped before their expiry, for lack of space",
               snapshot.streamOriginsDropped);
  list.family("stream_continuations_total",
              "Requests that continue a stream of an earlier attempt, by decision",
              MetricType::Counter);
  list.add(snapshot.streamsContinued, {{"decision", "sent"}});
  list.add(snapshot.streamsNotContinued, {{"decision", "refused"}});
  list.counter("stream_origin_messages_unreadable_total",
               "Datagrams about single requests that could not be decoded",
               snapshot.streamOriginMessagesUnreadable);
}

void addQuarantine(metrics::FamilyList& list, const EdgeSnapshot& snapshot) {
  list.gauge("run_histories", "Requests with runs that replicas did not answer",
             snapshot.runHistories);
  list.gauge("requests_quarantined", "Requests not sent again, since replicas ended under them",
             snapshot.requestsQuarantined);
  list.gauge("answer_bytes", "Memory of unfinished answers of replicas, in bytes",
             snapshot.answerBytes);
  list.counter("answers_ended_for_size_total",
               "Answers of replicas broken off as the largest, beyond the memory for all",
               snapshot.answersEndedForSize);
  list.gauge("runs_without_proof", "Interrupted runs whose replicas may have ended, of this node",
             snapshot.runsWithoutProof);
  list.counter("quarantine_refusals_total",
               "Attempts refused since replicas ended under earlier ones",
               snapshot.quarantineRefusals);
  list.counter("run_histories_dropped_total", "Dropped before their expiry, for lack of space",
               snapshot.runHistoriesDropped);
  list.counter("run_history_broadcasts_limited_total",
               "Changes sent to few nodes only, beyond the limit of datagrams",
               snapshot.runHistoryBroadcastsLimited);
}

void addRetryControl(metrics::FamilyList& list, const EdgeSnapshot& snapshot) {
  list.counter("retries_withheld_total", "Dispatches after refusals, by the retry budget",
               snapshot.retriesWithheld);
  list.family("return_schedule_callers", "Refused callers ahead in the retry order, by service",
              MetricType::Gauge);
  for (const ReturnScheduleLength& schedule : snapshot.returnSchedules) {
    list.add(schedule.callers, {{"service", schedule.service}});
  }
}

void addUnreadable(metrics::FamilyList& list, const EdgeSnapshot& snapshot) {
  list.family("records_unreadable_total", "Records of the store that were refused, by kind",
              MetricType::Counter);
  list.add(snapshot.replicaRecordsUnreadable, {{"kind", "replica"}});
  list.add(snapshot.memberRecordsUnreadable, {{"kind", "member"}});
  list.add(snapshot.configurationsUnreadable, {{"kind", "configuration"}});
  list.add(snapshot.operatorRecordsUnreadable, {{"kind", "operator"}});
  list.counter("load_digests_unreadable_total", "Datagrams that are no load digest",
               snapshot.loadDigestsUnreadable);
}

void addClusterState(metrics::FamilyList& list, const EdgeSnapshot& snapshot) {
  list.gauge("replicas", "Registered replicas", snapshot.replicas);
  list.gauge("replicas_cold", "Registered replicas that count as cold", snapshot.replicasCold);
  list.counter("cold_replicas_passed_over_total",
               "Looks at a replica that got no request because it is or may be cold",
               snapshot.coldReplicasSkipped);
  list.gauge("members", "Nodes believed alive", snapshot.members);
  list.gauge("members_silent", "Nodes that do not answer probes", snapshot.membersSuspectedOrDead);
  list.gauge("configuration_version", "In force, 0 for none", snapshot.configurationVersion);
  list.gauge("configuration_age_milliseconds", "Since the store was last heard about it",
             snapshot.configurationAgeMilliseconds);
  list.gauge("replicas_age_milliseconds", "Since the store was last heard about them",
             snapshot.replicasAgeMilliseconds);
  list.family("zone_evacuated_milliseconds", "Since this node knows that the zone is evacuated",
              prometheus::MetricType::Gauge);
  for (const ZoneEvacuation& evacuation : snapshot.evacuatedZones) {
    list.add(evacuation.knownForMilliseconds, {{"zone", evacuation.zone}});
  }
}

void addProgramAdmission(metrics::FamilyList& list, const EdgeSnapshot& snapshot) {
  list.family("program_limit_percent",
              "Load of a service up to which programs start, in percent of its slots",
              MetricType::Gauge);
  for (const ProgramLimit& limit : snapshot.programLimits) {
    list.add(limit.percent, {{"service", limit.service}});
  }
  list.counter("programs_not_admitted_total", "Programs refused at their start by that limit",
               snapshot.programsNotAdmitted);
}

void addSpeedSelections(metrics::FamilyList& list, const EdgeSnapshot& snapshot) {
  list.family("speed_selection_active",
              "1 while replicas of the service are selected by expected time",
              prometheus::MetricType::Gauge);
  for (const SpeedSelectionState& selection : snapshot.speedSelections) {
    list.add(std::uint64_t{selection.active ? 1U : 0U}, {{"service", selection.service}});
  }
}

void addServiceTimes(metrics::FamilyList& list, const EdgeSnapshot& snapshot) {
  list.gauge("replicas_slow", "Replicas that take 1.5 times as long as usual, or longer",
             snapshot.replicasSlow);
  list.counter("dispatches_too_late_total", "Requests not sent as no answer could begin in time",
               snapshot.lateDispatches);
  list.family("service_inflation_percent",
              "Duration of the last second's requests relative to unloaded replicas",
              MetricType::Gauge);
  for (const ServiceInflation& inflation : snapshot.inflations) {
    list.add(inflation.percent, {{"service", inflation.service}});
  }
}

void addTenantShares(metrics::FamilyList& list, const EdgeSnapshot& snapshot) {
  list.family("service_capacity_scarce", "1 while tenants share the replicas of a service",
              prometheus::MetricType::Gauge);
  for (const ServiceCapacity& service : snapshot.serviceCapacities) {
    list.add(service.isScarce ? 1 : 0, {{"service", service.service}});
  }
  list.gauge("tenants_above_share", "Tenants above their shares of a service's capacity",
             snapshot.tenantsAboveShare);
  list.counter("tenant_share_refusals_total", "Requests of tenants above their shares refused",
               snapshot.tenantShareRefusals);
}

void addConnections(metrics::FamilyList& list, const EdgeSnapshot& snapshot) {
  constexpr char kCallers[] = "callers";
  list.family("connections_open", "Connections that others have opened", MetricType::Gauge);
  list.add(snapshot.clientConnections, {{kCallers, "outside"}});
  list.add(snapshot.peerConnections, {{kCallers, "nodes"}});
  list.family("connections_displaced_total", "Connections closed to make room for others",
              MetricType::Counter);
  list.add(snapshot.clientConnectionLimit.closed, {{kCallers, "outside"}});
  list.add(snapshot.peerConnectionLimit.closed, {{kCallers, "nodes"}});
  list.family("connections_refused_total", "Connections that nothing gave way to",
              MetricType::Counter);
  list.add(snapshot.clientConnectionLimit.refused, {{kCallers, "outside"}});
  list.add(snapshot.peerConnectionLimit.refused, {{kCallers, "nodes"}});
}

void addRequestMemory(metrics::FamilyList& list, const http::RequestMemoryCounters& memory) {
  list.gauge("request_bytes", "Memory of requests, from their first byte to their answer",
             memory.bytes);
  list.counter("requests_without_memory_total", "Requests refused for lack of memory",
               memory.refused);
  list.counter("requests_displaced_total", "Unfinished requests refused to make room for others",
               memory.evicted);
}

}  // namespace

struct EdgeMetrics::Histograms {
  prometheus::Registry registry;
  prometheus::Family<Histogram>& request = prometheus::BuildHistogram()
                                               .Name("gorsetrail_request_seconds")
                                               .Help("From arrival to the final answer, by route")
                                               .Register(registry);
  Histogram& firstDispatch = prometheus::BuildHistogram()
                                 .Name("gorsetrail_first_dispatch_seconds")
                                 .Help("From arrival to the first dispatch")
                                 .Register(registry)
                                 .Add({}, kOwnTimeBuckets);
  Histogram& firstEvent = prometheus::BuildHistogram()
                              .Name("gorsetrail_first_event_seconds")
                              .Help("From arrival to the first event sent")
                              .Register(registry)
                              .Add({}, kRequestBuckets);
  Histogram& endReleased = prometheus::BuildHistogram()
                               .Name("gorsetrail_end_held_seconds")
                               .Help("From a stream's last event to the release of its end")
                               .Register(registry)
                               .Add({}, kOwnTimeBuckets);
  std::map<std::string, Histogram*> byRoute;

  Histogram& ofRoute(const std::string& route) {
    const bool known = byRoute.count(route) > 0;
    const std::string& label = known || byRoute.size() < kMaximumRoutes ? route : kOther;
    Histogram*& histogram = byRoute[label];
    if (histogram == nullptr) {
      histogram = &request.Add({{"route", label}}, kRequestBuckets);
    }
    return *histogram;
  }

  const std::string kOther = "other";
};

EdgeMetrics::EdgeMetrics() : histograms_(std::make_unique<Histograms>()) {}
EdgeMetrics::~EdgeMetrics() = default;

void EdgeMetrics::onRequestEnded(const std::string& route, const std::string& outcome,
                                 const std::string& reason, Duration took) {
  ++outcomes_[{outcome, reason}];
  if (!route.empty()) {
    histograms_->ofRoute(route).Observe(secondsOf(took));
  }
}

void EdgeMetrics::onFirstDispatch(Duration sinceArrival) {
  histograms_->firstDispatch.Observe(secondsOf(sinceArrival));
}

void EdgeMetrics::onFirstEvent(Duration sinceArrival) {
  histograms_->firstEvent.Observe(secondsOf(sinceArrival));
}

void EdgeMetrics::onEndReleased(Duration sinceLastEvent) {
  histograms_->endReleased.Observe(secondsOf(sinceLastEvent));
}

std::string EdgeMetrics::render(const EdgeSnapshot& snapshot) const {
  metrics::FamilyList list;
  list.family("requests_ended_total", "Client attempts by outcome and reason", MetricType::Counter);
  for (const auto& [key, count] : outcomes_) {
    list.add(count, {{"outcome", key.first}, {"reason", key.second}});
  }
  list.gauge("requests_open", "Read and not yet answered", snapshot.requestsOpen);
  list.gauge("answer_bytes_untaken", "Bytes of answers that callers do not take",
             snapshot.unreadBytes);
  list.counter("callers_cut_total", "Callers cut since too many bytes were left untaken",
               snapshot.connectionsClosedForUnreadBytes);
  list.family("requests_unreadable_total", "Requests refused before they were read, by reason",
              MetricType::Counter);
  for (const auto& [reason, count] : snapshot.requestsUnreadable) {
    list.add(count, {{"reason", reason}});
  }
  addRequestMemory(list, snapshot.requestMemory);
  addConnections(list, snapshot);
  list.counter("connection_handler_failures_total",
               "Connections ended by an exception of their handler", snapshot.handlerFailures);
  list.counter("dispatches_total", "Requests sent to replicas", snapshot.dispatches);
  list.counter("retries_total", "Dispatches after the first of a request", snapshot.retries);
  list.counter("resumes_total", "Streams that went on after a cut", snapshot.resumes);
  addStreamOrigins(list, snapshot);
  addQuarantine(list, snapshot);
  addRetryControl(list, snapshot);
  addStore(list, snapshot);
  addTopics(list, snapshot);
  addLedger(list, snapshot);
  addQuotas(list, snapshot);
  addRetention(list, snapshot);
  addClusterState(list, snapshot);
  addProgramAdmission(list, snapshot);
  addSpeedSelections(list, snapshot);
  addServiceTimes(list, snapshot);
  addUnreadable(list, snapshot);
  addTenantShares(list, snapshot);
  list.counter("log_lines_left_out_total", "Lines over the allowed rate or without room",
               snapshot.logLinesDropped);
  list.append(histograms_->registry.Collect());
  return list.render();
}

}  // namespace gorsetrail::edge
