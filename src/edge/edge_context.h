/// \file What every request of an edge node shares.
#pragma once

#include <cstdint>
#include <functional>

#include "base/time.h"
#include "edge/edge_metrics.h"
#include "edge/event_log.h"
#include "edge/turn_retention_policy.h"
#include "edge/wire_adapter.h"
#include "http/http_client.h"
#include "ledger/ledger.h"
#include "quota/quota_admission.h"
#include "routing/recent_refusals.h"
#include "routing/replica_placement.h"
#include "routing/route_table.h"
#include "services/timer_service.h"

namespace gorsetrail::edge {

/// Counts of what was done for requests; all only rise. What became of them, `EdgeMetrics` counts.
struct EdgeCounters {
  std::uint64_t dispatches = 0;
  std::uint64_t retries = 0;
  std::uint64_t resumes = 0;
};

/// When the node last had word of the store, and so how old its tables may be.
struct Freshness {
  Instant configurationHeardAt;
  Instant replicasHeardAt;
};

/// Knobs of a request's life.
struct ExchangeKnobs {
  std::uint32_t maximumRefusedTries = 4;  ///< Replicas asked that did not run the request.
  std::uint32_t maximumResumes = 3;
  /// With room for this many turns in the budget, a turn is sent before its reservation stands.
  std::uint32_t ampleBudgetTurns = 3;
  Duration suspicionTime = milliseconds(1500);
  Duration fullTime = milliseconds(60);
  Duration retryAfterFull = milliseconds(150);
  Duration retryAfterStop = milliseconds(10);
  Duration retryAfterOverload = milliseconds(400);
  /// A program that used this share of its budget probably loops.
  double runawayShare = 0.75;
  Duration retryAfterStore = milliseconds(250);
  Duration retryAfterReservation = milliseconds(400);
  /// A reservation is waited for no longer while others of the partition fail.
  Duration unlikelyReservationLimit = milliseconds(300);
  /// Likewise when it may fail: a slow store still answers within this.
  Duration doubtfulReservationLimit = milliseconds(1000);
  /// Before a reservation is asked for once more whose turn was dispatched beside it.
  Duration reservationPause = milliseconds(150);
  Duration connectTimeLimit = milliseconds(400);
  /// A replica that says nothing to anybody for so long is asked for a connection.
  Duration silence = milliseconds(400);
  /// A dispatch without any answer for so long counts as failed, so that others keep away.
  Duration mute = milliseconds(1000);
  /// It counts as ended when nothing answers within this.
  Duration reachabilityLimit = milliseconds(250);
  /// A route that is not in a configuration this old may have been added since.
  Duration configurationTrust = milliseconds(1800);
};

/// Owned by the daemon, or by a test; outlives every exchange.
struct EdgeContext {
  const WireAdapter& wire;
  routing::RouteTable& routes;
  routing::ReplicaPlacement& placement;
  ledger::Ledger& ledger;
  quota::QuotaAdmission& quota;
  http::HttpClient& client;
  services::TimerService& timers;
  std::function<Instant()> clock;
  EventLog& log;
  EdgeMetrics& metrics;
  EdgeCounters counters;
  Freshness freshness;
  ExchangeKnobs knobs;
  bool takesRequests = true;  ///< False in the last part of a planned stop.
  TurnRetentionPolicy retention{};
  routing::RecentRefusals refusals{routing::RecentRefusalsKnobs{}};
};

}  // namespace gorsetrail::edge
