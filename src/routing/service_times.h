/// \file Expected durations of requests, by service and replica. No I/O, no clock.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "routing/fleet_load.h"
#include "routing/replica_table.h"
#include "routing/service_time_model.h"

namespace gorsetrail::routing {

/// Settings of `ServiceTimes`.
struct ServiceTimesKnobs {
  /// Whether speeds of replicas are measured; otherwise `Replica::timeFactor` stays 1.
  bool measuresSpeeds = true;
};

/// A replica that was marked as slow, or is no longer.
struct ReplicaSpeedChange {
  ReplicaPtr replica;
  bool isSlow = false;
  double samples = 0;  ///< Requests of all nodes behind the factor.
};

/// Learns from this node's answered requests how long requests of each service take on unloaded
/// replicas, how fast each replica is, and by how much queues delay recent requests.
class ServiceTimes {
 public:
  explicit ServiceTimes(ServiceTimesKnobs knobs = {}) : knobs_(knobs) {}

  /// Adds an answered request.
  /// \param hadFreeSlot whether the replica had a free slot at the dispatch. Only such requests
  /// teach durations and speeds: the others may have waited.
  void noteAnswer(Replica& replica, const AnsweredRequest& answered, bool hadFreeSlot, Instant now);
  /// Counts a dispatch that a replica refused without executing it.
  void noteRejection(std::string_view service, Instant now);
  /// Updates `Replica::timeFactor` and `Replica::slowness` of the replicas.
  /// \param replicas all registered ones.
  /// \return the changes of `Replica::slowness`.
  std::vector<ReplicaSpeedChange> updateSpeeds(const std::vector<ReplicaPtr>& replicas,
                                               Instant now);

  /// \return the expected duration until the end of the answer on an unloaded replica of typical
  /// speed; empty until enough requests were answered.
  [[nodiscard]] std::optional<Duration> unloadedDuration(std::string_view service,
                                                         const WorkSize& size) const;
  /// \return the expected duration at this replica with its present load.
  [[nodiscard]] std::optional<Duration> expectedDuration(const Replica& replica,
                                                         const WorkSize& size) const;
  /// \return the shortest time to the first byte that can be expected at this replica.
  [[nodiscard]] std::optional<Duration> shortestFirstByte(const Replica& replica,
                                                          const WorkSize& size) const;
  /// \return the same at a replica of typical speed.
  [[nodiscard]] std::optional<Duration> shortestFirstByte(std::string_view service) const;
  /// \return this node's recent requests to the service, for `ServiceReport`.
  [[nodiscard]] ServiceReport report(std::string_view service, Instant now) const;

  /// \return the reports of all services with recent requests.
  [[nodiscard]] std::vector<ServiceReport> reports(Instant now) const;
  /// \return this node's measurements of replicas whose speed differs from the others', at most
  /// `kMaximumSpeedReports`, those with the most samples first.
  [[nodiscard]] std::vector<ReplicaSpeedReport> speedReports(
      const std::vector<ReplicaPtr>& replicas, Instant now) const;
  /// \return the inflation by service name, for metrics.
  [[nodiscard]] std::map<std::string, double> inflations(Instant now) const;
  /// \return how many replicas had a factor of at least `kSlowTimeFactor` at the last update.
  [[nodiscard]] std::uint64_t slowReplicas() const { return slowReplicas_; }

  /// Bounds the memory to about half a megabyte. Beyond it the service that was used least recently
  /// is forgotten.
  static constexpr std::size_t kMaximumServices = 256;
  /// Bounds the bytes of a digest.
  static constexpr std::size_t kMaximumSpeedReports = 64;

 private:
  /// Exponentially decayed sums of the requests of about the last second.
  struct RecentRequests {
    double completed = 0;
    double rejected = 0;
    double milliseconds = 0;  ///< Durations of the requests with an expectation.
    double expectedMilliseconds = 0;
    Instant updatedAt{};

    [[nodiscard]] RecentRequests at(Instant now) const;
  };
  struct PerService {
    ServiceTimeModel model;
    RecentRequests recent;
    /// Median of the time factors of the measured replicas.
    double medianTimeFactor = 1.0;
  };

  PerService& serviceAt(std::string_view service);
  [[nodiscard]] const PerService* find(std::string_view service) const;
  void updateMedians(const std::vector<ReplicaPtr>& replicas, Instant now);
  [[nodiscard]] static ServiceReport reportOf(std::string_view name, const PerService& service,
                                              Instant now);

  ServiceTimesKnobs knobs_;
  std::map<std::string, PerService, std::less<>> services_;
  std::uint64_t slowReplicas_ = 0;
  Instant speedsUpdatedAt_{};
};

}  // namespace gorsetrail::routing
