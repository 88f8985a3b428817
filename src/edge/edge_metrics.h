/// \file Metrics of an edge node in the Prometheus text format.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "edge/retry_control.h"
#include "http/connection_limit.h"
#include "http/request_memory.h"
#include "logstore/topic_gateway.h"

namespace gorsetrail::edge {

/// A zone that operators have evacuated.
struct ZoneEvacuation {
  std::string zone;
  std::uint64_t knownForMilliseconds = 0;  ///< Since this node read the evacuation record.
};

/// Learned limit for programs that start at a service.
struct ProgramLimit {
  std::string service;
  std::uint64_t percent = 0;  ///< Of the service's slots.
};

/// Whether replicas of a service are selected by expected time.
struct SpeedSelectionState {
  std::string service;
  bool active = false;
};

/// Duration of a service's recent requests relative to unloaded replicas.
struct ServiceInflation {
  std::string service;
  std::uint64_t percent = 100;
};

/// Whether a service with engines is short of capacity.
struct ServiceCapacity {
  std::string service;
  bool isScarce = false;
};

/// Values of the node's other components at one moment.
struct EdgeSnapshot {
  // Calls to the store, by result.
  std::uint64_t storeCalls = 0;  ///< Started.
  std::uint64_t storeAnswered = 0;
  std::uint64_t storeUnanswered = 0;
  std::uint64_t storeThrottled = 0;
  std::uint64_t storeBusy = 0;
  std::uint64_t storeGivenUp = 0;
  /// Gauge: 1 while store calls are relayed through other nodes.
  std::uint64_t storeThroughRelay = 0;
  /// Gauge: how many of the three followed topics this node has listed.
  std::uint64_t topicsListed = 0;
  std::uint64_t isTopicReader = 0;  ///< Gauge: 1 if this node is the zone's claimed topic reader.
  /// Reads served from this node's topic copies, for itself and other nodes.
  logstore::TopicGatewayCounters topicGateways{};
  // Ledger calls to other nodes that host partitions.
  std::uint64_t ledgerCalls = 0;           ///< Started.
  std::uint64_t ledgerCallsForwarded = 0;  ///< Forwarded to another host of the partition.
  std::uint64_t ledgerCallsFailed = 0;
  /// Granted before the record is written, under this node's primary lease.
  std::uint64_t reservationsGrantedAhead = 0;
  std::uint64_t reservationsGrantedAheadSecondary = 0;  ///< Likewise under its secondary lease.
  std::uint64_t reservationsGrantedByLog = 0;           ///< Decided at this node, without a lease.
  std::uint64_t reservationsSpent = 0;                  ///< Refused: the budget is exhausted.
  /// Refused: an earlier host may have spent tokens, or the call came too late.
  std::uint64_t reservationsUncertain = 0;
  /// Grants that too few witnesses of this node's leases stored.
  std::uint64_t grantsNotWitnessed = 0;
  std::uint64_t leasesRecovered = 0;  ///< Of other processes, cleared by this node.
  std::uint64_t witnessedLeases = 0;  ///< Gauge: leases of other nodes that this one is witness of.
  std::uint64_t witnessedBytes = 0;   ///< Gauge: of the grants stored for them.
  /// Gauge: granted under a lease, record not yet in the store.
  std::uint64_t grantsUnrecorded = 0;
  /// Gauge: settlements of this node's requests that no coordinator has accepted, and settlements
  /// that this node has accepted as a coordinator and not recorded yet.
  std::uint64_t settlementsWaiting = 0;
  std::uint64_t settledLate = 0;              ///< Settlements accepted at a later try.
  std::uint64_t settlementsDropped = 0;       ///< Their reservations count in full.
  std::uint64_t quotaGrantedAtOnce = 0;       ///< From tokens this node already had.
  std::uint64_t quotaGrantedAfterAsking = 0;  ///< From tokens requested from a coordinator.
  std::uint64_t quotaGrantedFromOwnShare = 0;
  std::uint64_t quotaOverLimit = 0;
  std::uint64_t quotaUnknown = 0;        ///< No coordinator was available to decide.
  std::uint64_t quotaTokenRequests = 0;  ///< Sent to coordinators.
  std::uint64_t quotaTokenReplies = 0;   ///< Sent as a coordinator.
  std::uint64_t dispatches = 0;
  std::uint64_t retries = 0;
  std::uint64_t resumes = 0;
  std::uint64_t streamOrigins = 0;         ///< Gauge: streams whose origin this node holds.
  std::uint64_t streamOriginsDropped = 0;  ///< Before their expiry, for lack of space.
  std::uint64_t streamOriginMessagesUnreadable = 0;
  std::uint64_t runHistories = 0;         ///< Gauge: requests with runs that were not answered.
  std::uint64_t requestsQuarantined = 0;  ///< Gauge: of these, requests that are not sent again.
  std::uint64_t quarantineRefusals = 0;
  std::uint64_t runHistoriesDropped = 0;  ///< Before their expiry, for lack of space.
  std::uint64_t runHistoryBroadcastsLimited = 0;
  std::uint64_t answersEndedForSize = 0;
  std::uint64_t answerBytes = 0;       ///< Gauge: unfinished answers of replicas.
  std::uint64_t runsWithoutProof = 0;  ///< Gauge: interrupted runs of this node, not settled yet.
  std::uint64_t streamsContinued = 0;  ///< Requests that continue a stream, sent on.
  std::uint64_t streamsNotContinued = 0;  ///< Likewise, refused.
  std::uint64_t retriesWithheld = 0;      ///< Dispatches after refusals, by the retry budget.
  /// Gauge: refused callers ahead in the retry order of each service.
  std::vector<ReturnScheduleLength> returnSchedules{};
  /// Gauge: complete streams whose end is withheld until the turn is stored.
  std::uint64_t turnsWaitingForRecord = 0;
  std::uint64_t turnsBegunInOutage = 0;
  std::uint64_t turnsStoredLate = 0;
  std::uint64_t turnsNotStored = 0;  ///< Their streams were aborted.
  std::uint64_t requestsOpen = 0;    ///< Gauge.
  std::uint64_t unreadBytes = 0;     ///< Gauge: response bytes that clients have not read yet.
  /// Requests refused before they were read, by reason.
  std::map<std::string, std::uint64_t, std::less<>> requestsUnreadable{};
  http::RequestMemoryCounters requestMemory{};
  std::uint64_t clientConnections = 0;  ///< Gauge: to the listeners for clients and operators.
  std::uint64_t peerConnections = 0;    ///< Gauge: from other nodes.
  http::ConnectionLimitCounters clientConnectionLimit{};
  http::ConnectionLimitCounters peerConnectionLimit{};
  std::uint64_t handlerFailures = 0;  ///< Connections ended by an exception of their handler.
  /// Client connections closed because too many response bytes were unread.
  std::uint64_t connectionsClosedForUnreadBytes = 0;
  std::uint64_t replicas = 0;      ///< Gauge.
  std::uint64_t replicasCold = 0;  ///< Gauge.
  /// Placements from which a replica was excluded because it is or may be cold.
  std::uint64_t coldReplicasSkipped = 0;
  std::uint64_t replicasSlow = 0;            ///< Gauge: take 1.5 times as long as usual or longer.
  std::uint64_t lateDispatches = 0;          ///< Not sent, since no answer could begin in time.
  std::uint64_t members = 0;                 ///< Gauge.
  std::uint64_t membersSuspectedOrDead = 0;  ///< Gauge.
  std::uint64_t configurationVersion = 0;    ///< Gauge.
  std::uint64_t configurationAgeMilliseconds = 0;
  std::uint64_t replicasAgeMilliseconds = 0;
  std::uint64_t logLinesDropped = 0;
  std::uint64_t replicaRecordsUnreadable = 0;
  std::uint64_t memberRecordsUnreadable = 0;
  std::uint64_t configurationsUnreadable = 0;
  std::uint64_t operatorRecordsUnreadable = 0;
  std::uint64_t loadDigestsUnreadable = 0;
  /// Gauge: how long this node has known of each evacuated zone. Deployments have few zones.
  std::vector<ZoneEvacuation> evacuatedZones{};
  /// Gauge, for each service with engines; empty without program admission.
  std::vector<ProgramLimit> programLimits{};
  std::uint64_t programsNotAdmitted = 0;
  std::vector<ServiceInflation> inflations{};  ///< Gauge.
  /// Gauge: services with engines, while tenants share them. Deployments have few services.
  std::vector<ServiceCapacity> serviceCapacities{};
  std::uint64_t tenantsAboveShare = 0;                 ///< Gauge: pairs of a tenant and a service.
  std::uint64_t tenantShareRefusals = 0;               ///< Requests of tenants above their shares.
  std::vector<SpeedSelectionState> speedSelections{};  ///< Gauges, one per service.
};

/// Request counters and latency histograms. Label cardinality is bounded: outcomes and reasons are
/// fixed in the code, and routes beyond `kMaximumRoutes` share one label.
class EdgeMetrics {
 public:
  static constexpr std::size_t kMaximumRoutes = 64;

  EdgeMetrics();
  ~EdgeMetrics();
  EdgeMetrics(const EdgeMetrics&) = delete;
  EdgeMetrics& operator=(const EdgeMetrics&) = delete;

  /// Called when a request has ended, with or without a response.
  void onRequestEnded(const std::string& route, const std::string& outcome,
                      const std::string& reason, Duration took);
  /// \param sinceArrival time from arrival to the first dispatch: history lookup, reservation,
  /// placement.
  void onFirstDispatch(Duration sinceArrival);
  /// \param sinceArrival time from arrival to the first event sent to the client.
  void onFirstEvent(Duration sinceArrival);
  /// \param sinceLastEvent time from a stream's last event to the release of its end, spent on
  /// storing the turn.
  void onEndReleased(Duration sinceLastEvent);

  [[nodiscard]] std::string render(const EdgeSnapshot& snapshot) const;

 private:
  struct Histograms;
  using OutcomeKey = std::pair<std::string, std::string>;

  std::unique_ptr<Histograms> histograms_;
  std::map<OutcomeKey, std::uint64_t> outcomes_;
};

}  // namespace gorsetrail::edge
