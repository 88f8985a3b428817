/// \file Load of replicas caused by other nodes. No I/O, no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/time.h"
#include "routing/replica_table.h"

namespace gorsetrail::routing {

/// Hash of a replica's id and process start, so that reports about an earlier incarnation do not
/// count for a later one. A collision only makes the load estimate less accurate.
using ReplicaHash = std::uint32_t;
ReplicaHash replicaHashOf(std::string_view replicaId, std::optional<ReplicaStart> startedAt = {});

/// Requests of one node in flight at one replica.
struct ReplicaLoad {
  ReplicaHash replica = 0;
  std::uint16_t inFlight = 0;
};

/// Recent failures of one node's requests at one replica.
struct ReplicaTrouble {
  ReplicaHash replica = 0;
  double failed = 0;  ///< Failed requests, decayed over time.
  double ended = 0;   ///< All finished requests including failed ones, decayed over time.
};

/// Hash of a region's name, used in digests.
using RegionHash = std::uint32_t;
RegionHash regionHashOf(std::string_view region);

/// Hash of a service's or tenant's name, used in digests. A collision adds the figures of the two
/// names, which makes estimates less accurate and nothing else.
using NameHash = std::uint32_t;
NameHash nameHashOf(std::string_view name);

/// How one node's recent requests to one service went.
struct ServiceReport {
  NameHash service = 0;
  double completedPerSecond = 0;  ///< Requests that replicas answered.
  double rejectedPerSecond = 0;   ///< Dispatches that replicas refused without executing them.
  /// Mean duration of the answered requests, relative to what they take on unloaded replicas.
  double inflation = 1.0;
};

/// Requests of one tenant that one node has in flight at one service.
struct TenantLoad {
  NameHash service = 0;
  NameHash tenant = 0;
  std::uint16_t inFlight = 0;
};

/// One node's measurement of a replica's speed.
struct ReplicaSpeedReport {
  ReplicaHash replica = 0;
  double timeFactor = 1.0;  ///< Duration of its requests relative to the service's model.
  double samples = 0;       ///< Weight of the measurement, in requests, decayed over time.
};

/// Sections of a digest that a node fills only while the features that read them are on.
struct LoadReports {
  std::vector<ServiceReport> services;
  std::vector<TenantLoad> tenants;
  std::vector<ReplicaSpeedReport> speeds;
};

/// Load report that a node sends to other nodes.
struct LoadDigest {
  std::uint64_t node = 0;  ///< Hash of the node's address.
  /// Sequence number within one process; older digests are dropped.
  std::uint64_t digestSequence = 0;
  std::vector<ReplicaLoad> loads;
  std::vector<ReplicaTrouble> troubles;  ///< Only replicas with failures.
  RegionHash region = 0;
  LoadReports reports{};
};

/// Sums of the other nodes' current reports.
struct FleetReports {
  /// Rates are extrapolated to all nodes; `inflation` is the mean weighted by completed requests.
  std::map<NameHash, ServiceReport> services;
  /// Requests in flight by service and tenant, extrapolated to all nodes.
  std::map<std::pair<NameHash, NameHash>, double> tenantLoads;
  std::size_t reportingNodes = 0;  ///< Nodes whose digests are current.
};

/// Number of nodes in service, by region.
struct NodeCounts {
  std::size_t near = 0;  ///< In this node's region, without this node.
  std::size_t far = 0;
};

/// Settings of `FleetLoad`.
struct FleetLoadKnobs {
  Duration digestExpiry = milliseconds(600);  ///< Digests older than this are dropped.
};

/// Sums the latest digests of all nodes. If only some nodes' digests arrive, extrapolates to the
/// whole fleet, separately for this node's region, whose nodes report more often and cause most of
/// the load at its replicas.
class FleetLoad {
 public:
  /// \param region of this node.
  explicit FleetLoad(FleetLoadKnobs knobs, RegionHash region = 0)
      : knobs_(knobs), region_(region) {}

  void onDigest(LoadDigest digest, Instant now);
  /// Updates the other nodes' load, failures and speed measurements in each replica, and
  /// `reports`.
  void apply(const ReplicaTable& replicas, NodeCounts otherNodes, Instant now);
  /// \return the other nodes' reports as of the last call of `apply`.
  [[nodiscard]] const FleetReports& reports() const { return reports_; }

 private:
  struct Entry {
    LoadDigest digest;
    Instant receivedAt;
  };
  void dropStale(Instant now);
  void addReports(const LoadReports& reports, double scale);
  [[nodiscard]] bool isNear(const Entry& entry) const { return entry.digest.region == region_; }

  FleetLoadKnobs knobs_;
  RegionHash region_;
  std::unordered_map<std::uint64_t, Entry> byNode_;
  FleetReports reports_;
};

}  // namespace gorsetrail::routing
