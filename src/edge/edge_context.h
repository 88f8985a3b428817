/// \file State and settings that all requests of an edge node share.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

#include "base/time.h"
#include "edge/answer_memory.h"
#include "edge/edge_metrics.h"
#include "edge/event_log.h"
#include "edge/retry_control.h"
#include "edge/run_history_directory.h"
#include "edge/stop_schedule.h"
#include "edge/stream_origin_directory.h"
#include "edge/survival_proofs.h"
#include "edge/turn_retention_policy.h"
#include "edge/wire_adapter.h"
#include "http/http_client.h"
#include "ledger/ledger.h"
#include "quota/quota_admission.h"
#include "routing/program_admission.h"
#include "routing/replica_placement.h"
#include "routing/route_table.h"
#include "routing/service_times.h"
#include "routing/tenant_shares.h"
#include "services/timer_service.h"

namespace gorsetrail::edge {

/// Monotonic counters of work done for requests. `EdgeMetrics` counts the outcomes of requests.
struct EdgeCounters {
  std::uint64_t dispatches = 0;
  std::uint64_t retries = 0;
  std::uint64_t resumes = 0;
  std::uint64_t streamsContinued = 0;     ///< Requests that continue a client's stream, sent on.
  std::uint64_t streamsNotContinued = 0;  ///< Likewise, refused.
  std::uint64_t lateDispatches = 0;       ///< Not sent, since no answer could begin in time.
  std::uint64_t tenantShareRefusals = 0;  ///< Requests of tenants above their shares.
  std::uint64_t quarantineRefusals = 0;   ///< Requests under which too many replicas ended.
};

/// When the node last read the store successfully; gives the age of its tables.
struct StoreReadTimes {
  Instant configurationReadAt;
  Instant replicasReadAt;
};

/// Limits and timeouts of one request.
struct ExchangeKnobs {
  std::uint32_t maximumRefusedTries = 4;  ///< Attempts at replicas that did not run the request.
  /// Longest input of a persisted turn: the turn is stored in one record.
  std::uint64_t maximumTurnBytes = UINT64_MAX;
  std::uint32_t maximumResumes = 3;  ///< Dispatches of a stream after interrupted runs.
  /// While the budget has room for this many turns, a turn is dispatched before its reservation is
  /// recorded.
  std::uint32_t ampleBudgetTurns = 3;
  /// How long a replica is avoided after it failed before it sent a response head.
  Duration suspicionTime = milliseconds(1500);
  /// How long a replica that refused a request is avoided; also the delay before the request is
  /// retried.
  Duration refusedReplicaAvoidTime = milliseconds(60);
  // Values of `Refusal::retryAfter`, by the reason of the refusal.
  Duration retryAfterFull = milliseconds(150);      ///< No replica accepts the request now.
  Duration retryAfterStop = milliseconds(10);       ///< This node is stopping.
  Duration retryAfterMemory = milliseconds(500);    ///< No memory for the request now.
  Duration retryAfterOverload = milliseconds(400);  ///< Refused by admission control.
  /// A program that has used this share of its budget is treated as a probable infinite loop.
  double runawayShare = 0.75;
  /// Whether turns of programs that cannot end in time are admitted only to replicas with free
  /// slots.
  bool limitsOverduePrograms = false;
  /// Whether a request is refused if no answer can begin before its deadline.
  bool refusesLateDispatches = false;
  /// The history cannot be read, or the configuration is missing or stale.
  Duration retryAfterStore = milliseconds(250);
  Duration retryAfterReservation = milliseconds(400);  ///< The budget could not be reserved.
  /// Longest wait for a reservation while other reservations of its partition fail.
  Duration failingReservationTimeout = milliseconds(300);
  /// Longest wait for a reservation that may fail; a slow store still answers within this time.
  Duration uncertainReservationTimeout = milliseconds(1000);
  /// How long the replicas that ended under a request are remembered. Outside programs, requests of
  /// many callers may have the same content, so that a wrong quarantine concerns all of them.
  Duration runHistoryLifetime = seconds(600);
  Duration runHistoryLifetimeOutsidePrograms = seconds(60);
  /// The least time that a replica takes to start again.
  Duration minimumRestartTime = milliseconds(200);
  /// Longest wait of a stream without a recorded origin for a newer read of the registrations, and
  /// the pause between two looks.
  Duration versionCheckTimeLimit = milliseconds(1000);
  Duration versionCheckPause = milliseconds(50);
  /// Delay before the retry of a reservation whose turn was dispatched while it was pending.
  Duration reservationRetryDelay = milliseconds(150);
  Duration connectTimeLimit = milliseconds(400);
  /// After this time without any data from a replica, a test connection to it is opened.
  Duration reachabilityCheckDelay = milliseconds(400);
  /// A dispatch without a response for this time counts as failed, so that other requests avoid the
  /// replica.
  Duration noResponseFailureTime = milliseconds(1000);
  /// Timeout of the test connection.
  Duration reachabilityTimeout = milliseconds(250);
  /// A route missing from a configuration older than this may have been added since.
  Duration maximumConfigurationAge = milliseconds(1800);
};

class Exchange;

/// Services, tables and settings that requests use. Owned by the daemon or a test; outlives every
/// exchange.
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
  StoreReadTimes storeReadTimes;  ///< Last successful reads of the store.
  ExchangeKnobs knobs;
  std::optional<StopSchedule> stop{};  ///< Set during a planned stop.
  TurnRetentionPolicy retention{};
  /// Limits programs that start; empty: they are limited at each replica only.
  std::optional<routing::ProgramAdmission> programAdmission{};
  /// Learns from answered requests; null: nothing is learned.
  routing::ServiceTimes* serviceTimes = nullptr;
  RetryControl retryControl{};
  routing::TenantShares* tenantShares = nullptr;  ///< Null: tenants have no shares.
  /// Null: streams are not followed across requests.
  StreamOriginDirectory* streamOrigins = nullptr;
  /// Returns the software version of the service if it has had only one since its streams of this
  /// lifetime may have begun; see `routing::SoftwareVersionHistory`. Empty: never known.
  std::function<std::optional<std::string>(std::string_view service, Duration streamLifetime)>
      onlyVersionOf{};
  /// Null: ended replicas are not counted by request.
  RunHistoryDirectory* runHistories = nullptr;
  /// Null: interrupted runs are settled by registrations only.
  SurvivalProofs* survivalProofs = nullptr;
  AnswerMemory answerMemory{kDefaultAnswerBytes};
  /// Exchanges that have begun and not ended.
  std::unordered_map<const Exchange*, std::weak_ptr<Exchange>> openExchanges{};
};

}  // namespace gorsetrail::edge
