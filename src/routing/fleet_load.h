/// \file Load of replicas caused by other nodes. No I/O, no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
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

/// Load report that a node sends to other nodes.
struct LoadDigest {
  std::uint64_t node = 0;  ///< Hash of the node's address.
  /// Sequence number within one process; older digests are dropped.
  std::uint64_t digestSequence = 0;
  std::vector<ReplicaLoad> loads;
  std::vector<ReplicaTrouble> troubles;  ///< Only replicas with failures.
  RegionHash region = 0;
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
  /// Updates the other nodes' load and failures in each replica.
  void apply(const ReplicaTable& replicas, NodeCounts otherNodes, Instant now);

 private:
  struct Entry {
    LoadDigest digest;
    Instant receivedAt;
  };
  void dropStale(Instant now);
  [[nodiscard]] bool isNear(const Entry& entry) const { return entry.digest.region == region_; }

  FleetLoadKnobs knobs_;
  RegionHash region_;
  std::unordered_map<std::uint64_t, Entry> byNode_;
};

}  // namespace gorsetrail::routing
