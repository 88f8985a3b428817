/// \file On which replicas one client attempt may have run. No I/O, no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "routing/replica_table.h"

namespace gorsetrail::edge {

/// Keeps a request within the number of replicas that its route allows.
///
/// A stream that breaks goes on where it ran, which is no further replica. A replica that is shown
/// to have ended or to be cut off does not count: its run is over, and a request that it took with
/// it may go on elsewhere. A connection that fails is not enough: a replica that is full resets
/// connections, and on a node whose own link is full all of them come too late. A replica whose
/// process has started again since does not count either.
class ReplicaRuns {
 public:
  /// The replica got the request, sent at that moment, and may have begun to run it.
  void noteRun(const routing::ReplicaPtr& replica, Instant sentAt);
  /// The replica has ended or is cut off, see `Reach::OutOfReach`. Nothing changes where the
  /// request never ran there.
  void noteUnreachable(const routing::ReplicaPtr& replica);
  /// \return whether the request may have run at the replica, and its run still counts.
  [[nodiscard]] bool counts(const routing::ReplicaPtr& replica) const;

  /// \param maximum the number of replicas that the route allows.
  /// \return whether a replica that has not run the request may get it.
  [[nodiscard]] bool mayRunOnAnother(std::uint32_t maximum) const;

 private:
  struct Run {
    routing::ReplicaPtr replica;
    Instant sentAt;
    bool reachable = true;
  };
  [[nodiscard]] static bool mayGoOn(const Run& run);
  std::vector<Run> runs_;  ///< A replica stands here once, however often it was asked.
};

}  // namespace gorsetrail::edge
