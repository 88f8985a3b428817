/// \file This node's view of the replicas of all services.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "routing/outcome_tally.h"
#include "routing/replica_incarnation.h"
#include "routing/replica_speed.h"

namespace gorsetrail::routing {

/// A replica's registration. A restarted replica may reuse its `id`.
struct ReplicaEntry {
  std::string id;
  std::optional<ReplicaStart> startedAt{};  ///< Unset: the registration does not contain it.
  std::string service;
  std::string address;  ///< `ip:port`.
  std::string zone;
  std::uint32_t slots = 1;
  bool draining = false;
  /// Remaining warm-up time as of the newest registration; zero: warm; unset: not reported.
  std::optional<Duration> coldFor = Duration::zero();
  /// Version of the replica's software; versions have no order. Empty: the registration does not
  /// contain it.
  std::string softwareVersion{};
};

/// Minimum of recent failures for a nonzero failure rate: a single failure is not significant.
inline constexpr double kMinFailures = 1.5;

/// Durations at a replica relative to those at its service's other replicas, in coarse steps. Set
/// by `SpeedContrast`; 1 unless the service's replicas differ consistently.
struct RelativeTime {
  double toFast = 1.0;      ///< Relative to the service's fast replicas.
  double toTypical = 1.0;   ///< Relative to the service's median replica, at least 1.
  double preference = 1.0;  ///< Weight in the choice of the preferred replica for a prompt.
  std::optional<Instant> differsSince;  ///< Since when the measured duration differs from `toFast`.
  Instant measuredAt;                   ///< When there was last a measurement, if it was slow.
};

/// One incarnation of a replica, with this node's observations of it. Shared with the requests in
/// flight at it. No state carries over to the next incarnation.
struct Replica {
  ReplicaEntry entry;
  bool gone = false;  ///< Deregistered: receives no new requests.
  /// Set if the process has restarted; `gone` is then also set.
  std::optional<IncarnationEnd> incarnationEnd;
  /// An earlier registration of this incarnation contained the process start, a newer one did not.
  bool startUntold = false;
  std::uint32_t inFlight = 0;  ///< This node's requests that run or wait there.
  double othersInFlight = 0;   ///< Other nodes' requests, estimated from their digests.
  Instant lastDataAt;          ///< When this node last received a byte of a response from it.
  std::uint32_t failures = 0;  ///< Consecutive connection errors, cut responses and timeouts.
  Instant failingSince;        ///< When the first of these was since the last data from it.
  OutcomeTally outcomes;       ///< This node's recent requests there.
  double othersFailed = 0;     ///< Failed recent requests of other nodes.
  double othersEnded = 0;      ///< Recent requests of the other nodes that report failures.
  /// Duration of the other nodes' requests relative to the service's model: the geometric mean of
  /// their reports, weighted by `othersTimeSamples`.
  double othersTimeFactor = 1.0;
  double othersTimeSamples = 0;  ///< Requests behind `othersTimeFactor`; 0: not measured.
  ReplicaSpeed speed;            ///< This node's measurements of its speed.
  /// Duration of requests there relative to the service's model, merged from `speed` and the other
  /// nodes' measurements by `ServiceTimes::updateSpeeds`.
  double timeFactor = 1.0;
  RelativeTime relativeTime;
  SlownessMark slowness;  ///< Whether `timeFactor` has been high for some seconds.
  Instant suspectUntil;   ///< Avoided until then if other replicas are available.
  Instant fullUntil;      ///< At capacity: it refused a request recently.
  /// Set if the registration lapsed while the store was unavailable, which does not prove that the
  /// replica failed: until then it is used as a last resort.
  std::optional<Instant> graceUntil;
  /// Rate limit while it is cold, from all nodes together; 0: never cold.
  double coldRequestsPerSecond = 0;
  Instant coldUntil;              ///< From its registration; see `ColdReplicaRule`.
  bool isResponsive = false;      ///< It kept responding, also while the store was unavailable.
  double answerMilliseconds = 0;  ///< Smoothed time to first byte; 0 before the first response.

  /// \return whether its low load can be relied on: it is neither suspect nor at capacity, and its
  /// registration has not lapsed.
  [[nodiscard]] bool isHealthy(Instant now) const {
    return suspectUntil <= now && fullUntil <= now && !graceUntil;
  }
  [[nodiscard]] bool acceptsRequests() const { return !gone && !entry.draining; }
  /// \return whether this incarnation has ended, and all requests at it with it.
  [[nodiscard]] bool hasEnded() const { return incarnationEnd.has_value(); }
  /// \return the fraction of recent requests of all nodes that failed; 0 below `kMinFailures`.
  [[nodiscard]] double failureShare(Instant now) const {
    const double failed = outcomes.failed(now) + othersFailed;
    const double ended = outcomes.ended(now) + othersEnded;
    return failed < kMinFailures ? 0.0 : failed / std::max(ended, failed);
  }
  [[nodiscard]] double load() const { return static_cast<double>(inFlight) + othersInFlight; }
  /// \return the load divided by the number of requests that the replica runs concurrently.
  [[nodiscard]] double loadPerSlot() const { return load() / std::max(1U, entry.slots); }
  /// \return `loadPerSlot` in terms of time: a request at a slow replica occupies a slot for
  /// longer.
  [[nodiscard]] double timeLoadPerSlot() const { return loadPerSlot() * relativeTime.toTypical; }
};
using ReplicaPtr = std::shared_ptr<Replica>;

/// Result of applying a registration change.
enum class ReplicaChange : std::uint8_t {
  None,
  Added,
  Draining,
  Ready,
  Moved,
  Lapsed,
  Removed,
  Restarted,  ///< The id has a new incarnation; the previous `Replica` has ended.
  Outdated,   ///< The entry belongs to an ended incarnation and was ignored.
};

/// The registered replicas, by id and by service.
class ReplicaTable {
 public:
  /// Adds or updates a registration.
  /// \param beganAt start of a new incarnation, see `incarnationStartedAt`. With the default, all
  /// earlier requests are attributed to the previous incarnation.
  ReplicaChange upsert(ReplicaEntry entry, Instant beganAt = Instant::max());
  /// Removes a registration; requests in flight keep their `Replica`.
  ReplicaChange remove(std::string_view id);
  /// Keeps a lapsed registration as a last resort until `until`; removes a draining one at once.
  ReplicaChange markLapsed(std::string_view id, Instant until);
  /// Removes lapsed registrations whose grace period has ended.
  /// \return the removed ids.
  std::vector<std::string> removeLapsed(Instant now);
  /// \return the registered ids that are not in `ids`.
  [[nodiscard]] std::vector<std::string> missingFrom(const std::vector<std::string>& ids) const;

  [[nodiscard]] const std::vector<ReplicaPtr>& ofService(std::string_view service) const;
  /// \return the replicas by service; services whose replicas have all left have empty lists.
  [[nodiscard]] const std::map<std::string, std::vector<ReplicaPtr>, std::less<>>& byService()
      const {
    return byService_;
  }
  /// \return the replica with that id; null if it is not registered.
  [[nodiscard]] ReplicaPtr find(std::string_view id) const;
  /// \return all registered replicas.
  [[nodiscard]] std::vector<ReplicaPtr> all() const;
  [[nodiscard]] std::size_t size() const { return byId_.size(); }
  /// \return the number of entries ignored because their incarnation had ended.
  [[nodiscard]] std::uint64_t outdatedEntries() const { return outdatedEntries_; }

 private:
  /// \return the last known process start of the id, even if it is no longer registered.
  [[nodiscard]] std::optional<ReplicaStart> knownStartOf(const std::string& id) const;
  ReplicaPtr add(ReplicaEntry entry);
  ReplicaChange startNextIncarnation(ReplicaEntry entry, Instant beganAt);
  ReplicaChange update(const ReplicaPtr& replica, ReplicaEntry entry);
  void dropFromService(const ReplicaPtr& replica);

  std::map<std::string, ReplicaPtr, std::less<>> byId_;
  std::map<std::string, std::vector<ReplicaPtr>, std::less<>> byService_;
  DepartedReplicas departed_;
  std::uint64_t outdatedEntries_ = 0;
};

}  // namespace gorsetrail::routing
