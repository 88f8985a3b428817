/// \file On which replicas one client attempt may have run. No I/O, no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "routing/replica_table.h"

namespace gorsetrail::edge {

/// Keeps a request within the number of replicas that its route allows.
///
/// A stream that breaks goes on where it ran, which is no further replica. A replica that is known
/// to have ended, or that takes no connection, does not count: its run is over, and a request that
/// it took with it may go on elsewhere. So does a replica whose process has started again since.
class ReplicaRuns {
 public:
  /// The replica got the request, sent at that moment, and may have begun to run it.
  void noteRun(const routing::ReplicaPtr& replica, Instant sentAt);
  /// The replica has ended or is cut off. Nothing changes where the request never ran there.
  void noteUnreachable(const routing::ReplicaPtr& replica);

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
