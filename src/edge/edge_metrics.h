/// \file The edge's figures in Prometheus' text format.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "logstore/topic_gateway.h"

namespace gorsetrail::edge {

/// A zone that operators have evacuated.
struct ZoneEvacuation {
  std::string zone;
  std::uint64_t knownForMilliseconds = 0;  ///< Since this node read of it.
};

/// Figures of the node's other parts at one moment.
struct EdgeSnapshot {
  std::uint64_t storeCalls = 0;
  std::uint64_t storeAnswered = 0;
  std::uint64_t storeUnanswered = 0;
  std::uint64_t storeThrottled = 0;
  std::uint64_t storeBusy = 0;
  std::uint64_t storeGivenUp = 0;
  std::uint64_t storeThroughRelay = 0;  ///< Gauge: 1 while calls go through other nodes.
  /// Gauge: followed topics that this node has listed, of three.
  std::uint64_t topicsListed = 0;
  std::uint64_t readsForZone = 0;  ///< Gauge: 1 at the zone's claimed reader.
  /// Answered for other nodes and this one, from its copies.
  logstore::TopicGatewayCounters topicGateways{};
  std::uint64_t ledgerCalls = 0;
  std::uint64_t ledgerCallsPassedOn = 0;  ///< To another home.
  std::uint64_t ledgerCallsFailed = 0;
  std::uint64_t reservationsGrantedAhead = 0;  ///< Under a primary lease of this node.
  std::uint64_t reservationsGrantedAheadSecondary = 0;
  std::uint64_t reservationsGrantedByLog = 0;  ///< Decided at this node.
  std::uint64_t reservationsSpent = 0;
  std::uint64_t reservationsUncertain = 0;    ///< An earlier home may have spent the rest.
  std::uint64_t grantsUnrecorded = 0;         ///< Gauge: granted ahead, not yet in the store.
  std::uint64_t quotaGrantedAtOnce = 0;       ///< From tokens at hand.
  std::uint64_t quotaGrantedAfterAsking = 0;  ///< From tokens that a coordinator was asked for.
  std::uint64_t quotaGrantedFromOwnShare = 0;
  std::uint64_t quotaOverLimit = 0;
  std::uint64_t quotaUnknown = 0;        ///< Nobody could decide.
  std::uint64_t quotaTokenRequests = 0;  ///< To coordinators.
  std::uint64_t quotaTokenReplies = 0;   ///< As a coordinator.
  std::uint64_t dispatches = 0;
  std::uint64_t retries = 0;
  std::uint64_t resumes = 0;
  std::uint64_t turnsWaitingForRecord = 0;  ///< Gauge: whole streams whose end is held.
  std::uint64_t turnsBegunInOutage = 0;
  std::uint64_t turnsStoredLate = 0;
  std::uint64_t turnsNotStored = 0;  ///< Their streams were broken off.
  std::uint64_t requestsOpen = 0;    ///< Gauge.
  std::uint64_t bytesUntaken = 0;    ///< Gauge: of answers, that callers do not take.
  std::uint64_t callersCut = 0;      ///< Since too many bytes were left untaken.
  std::uint64_t replicas = 0;        ///< Gauge.
  std::uint64_t replicasCold = 0;    ///< Gauge.
  std::uint64_t coldReplicasPassedOver = 0;
  std::uint64_t members = 0;               ///< Gauge.
  std::uint64_t membersSilent = 0;         ///< Gauge.
  std::uint64_t configurationVersion = 0;  ///< Gauge.
  std::uint64_t configurationAgeMilliseconds = 0;
  std::uint64_t replicasAgeMilliseconds = 0;
  std::uint64_t logLinesLeftOut = 0;
  std::uint64_t replicaRecordsUnreadable = 0;
  std::uint64_t memberRecordsUnreadable = 0;
  std::uint64_t configurationsUnreadable = 0;
  std::uint64_t operatorRecordsUnreadable = 0;
  std::uint64_t loadDigestsUnreadable = 0;
  /// Gauge: how long this node has known of each evacuated zone. A site has a handful of zones.
  std::vector<ZoneEvacuation> evacuatedZones{};
};

/// Counters by outcome and histograms of times. Labels are bounded: outcomes and reasons are named
/// in the code, routes beyond `kMaximumRoutes` count as one.
class EdgeMetrics {
 public:
  static constexpr std::size_t kMaximumRoutes = 64;

  EdgeMetrics();
  ~EdgeMetrics();
  EdgeMetrics(const EdgeMetrics&) = delete;
  EdgeMetrics& operator=(const EdgeMetrics&) = delete;

  /// A request got its final answer, or none.
  void onRequestEnded(const std::string& route, const std::string& outcome,
                      const std::string& reason, Duration took);
  /// From arrival to the first dispatch: finding the history, reserving, choosing.
  void onFirstDispatch(Duration sinceArrival);
  /// From arrival to the first event that the client was sent.
  void onFirstEvent(Duration sinceArrival);
  /// From a stream's last event to the release of its end: the time the store took.
  void onEndReleased(Duration sinceLastEvent);

  [[nodiscard]] std::string render(const EdgeSnapshot& snapshot) const;

 private:
  struct Histograms;
  using OutcomeKey = std::pair<std::string, std::string>;

  std::unique_ptr<Histograms> histograms_;
  std::map<OutcomeKey, std::uint64_t> outcomes_;
};

}  // namespace gorsetrail::edge
