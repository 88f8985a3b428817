/// \file Tracks the replicas at which a request may be running. Does no I/O and reads no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "routing/replica_table.h"

namespace gorsetrail::edge {

/// Enforces the maximum number of replicas at which a request may run, as set by its route.
///
/// Resuming a stream at the same replica does not count as a further replica. A replica stops
/// counting when it is shown to be unreachable, or when its process restarted after the dispatch. A
/// failed connection is no proof: an overloaded replica resets connections, and on a node with a
/// saturated link all connections time out.
class ReplicaRuns {
 public:
  /// Records that the replica received the request and may have begun to execute it.
  /// \param sentAt time of the dispatch.
  void recordRun(const routing::ReplicaPtr& replica, Instant sentAt);
  /// Records that the replica stopped or is partitioned, see `Reachability::Unreachable`. Has no
  /// effect if no run is recorded for the replica.
  void recordUnreachable(const routing::ReplicaPtr& replica);
  /// \return whether a run is recorded for the replica and may not have ended yet.
  [[nodiscard]] bool mayStillBeRunningAt(const routing::ReplicaPtr& replica) const;

  /// \param maximumReplicas number of replicas that the route allows.
  /// \return whether the request may be dispatched to a further replica.
  [[nodiscard]] bool mayRunOnAnotherReplica(std::uint32_t maximumReplicas) const;
  /// \return the number of replicas whose run of the request is known to have ended with them.
  [[nodiscard]] std::size_t endedReplicas() const;

 private:
  struct Run {
    routing::ReplicaPtr replica;
    Instant sentAt;
    bool reachable = true;
  };
  [[nodiscard]] static bool mayStillBeRunning(const Run& run);
  std::vector<Run> runs_;  ///< At most one entry per replica.
};

}  // namespace gorsetrail::edge
