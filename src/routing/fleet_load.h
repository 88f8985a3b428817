/// \file What other nodes have under way at replicas. No I/O, no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "routing/replica_table.h"

namespace gorsetrail::routing {

/// Short name of a replica's life in digests: what other nodes told of an earlier life does not
/// count for a later one. Collisions only blur an estimate.
using ReplicaHash = std::uint32_t;
ReplicaHash replicaHashOf(std::string_view replicaId, std::optional<ReplicaStart> startedAt = {});

/// Requests of one node at one replica.
struct ReplicaLoad {
  ReplicaHash replica = 0;
  std::uint16_t inFlight = 0;
};

/// What one node has seen fail at one replica lately.
struct ReplicaTrouble {
  ReplicaHash replica = 0;
  double failed = 0;  ///< Requests, fading.
  double ended = 0;   ///< Requests, fading; failed ones included.
};

/// Short name of a region in digests.
using RegionHash = std::uint32_t;
RegionHash regionHashOf(std::string_view region);

/// What one node tells the others.
struct LoadDigest {
  std::uint64_t node = 0;  ///< Hash of the node's address.
  std::uint64_t beat = 0;  ///< Rises in one life; an older digest is dropped.
  std::vector<ReplicaLoad> loads;
  std::vector<ReplicaTrouble> troubles;  ///< Only replicas where something failed.
  RegionHash region = 0;
};

/// Nodes known to serve, by where they are.
struct NodeCounts {
  std::size_t near = 0;  ///< In this node's region, itself left out.
  std::size_t far = 0;
};

/// Knobs of `FleetLoad`.
struct FleetLoadKnobs {
  Duration silence = milliseconds(600);  ///< A node that was not heard for this long has no load.
};

/// Sums the newest digest of every node. In a fleet where only some nodes' digests arrive, the sum
/// is scaled up to all of them: apart for the own region, whose nodes are heard more often and have
/// most of what the near replicas run.
class FleetLoad {
 public:
  /// \param region this node's own.
  explicit FleetLoad(FleetLoadKnobs knobs, RegionHash region = 0)
      : knobs_(knobs), region_(region) {}

  void onDigest(LoadDigest digest, Instant now);
  /// Writes the others' load into the replicas.
  void apply(const ReplicaTable& replicas, NodeCounts otherNodes, Instant now);

 private:
  struct Entry {
    LoadDigest digest;
    Instant heardAt;
  };
  void dropSilent(Instant now);
  [[nodiscard]] bool isNear(const Entry& entry) const { return entry.digest.region == region_; }

  FleetLoadKnobs knobs_;
  RegionHash region_;
  std::unordered_map<std::uint64_t, Entry> byNode_;
};

}  // namespace gorsetrail::routing
