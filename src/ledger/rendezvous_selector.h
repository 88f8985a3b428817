/// \file Selects the nodes that serve a partition, such as its coordinators. No I/O, no clock.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "logstore/log_store.h"

namespace gorsetrail::ledger {

/// A node that may be selected.
struct NodeCandidate {
  std::string address;  ///< Address for ledger calls.
  std::string zone;
  double capacity = 1.0;  ///< Relative weight in the hashing.
};

struct RendezvousSelectorKnobs {
  std::size_t nodesPerPartition = 2;  ///< Number of nodes selected for a partition, tried in order.
  /// A suspected node is ranked last for this long.
  Duration suspicionTime = milliseconds(1500);
};

/// Ranks nodes by weighted rendezvous hashing: callers with the same candidates select the same
/// nodes, and a membership change moves only the partitions of the changed node. Callers with
/// different candidates may select different nodes; for ledger calls this is safe, because the log
/// decides and a coordinator only saves calls to the store.
class RendezvousSelector {
 public:
  explicit RendezvousSelector(RendezvousSelectorKnobs knobs) : knobs_(knobs) {}

  /// \param zone restricts the selection to this zone if it has any candidates; empty: no
  /// restriction.
  /// \return addresses, best first; suspected nodes after all others.
  [[nodiscard]] std::vector<std::string> selectNodes(const logstore::PartitionAddress& partition,
                                                     const std::string& zone,
                                                     const std::vector<NodeCandidate>& candidates,
                                                     Instant now) const;
  /// Ranks the node last for `suspicionTime` from now on.
  void suspect(const std::string& address, Instant now);
  /// Clears the suspicion after a reply.
  /// \return whether the node was suspected.
  bool clearSuspicion(const std::string& address) { return suspectUntil_.erase(address) > 0; }
  [[nodiscard]] bool isSuspect(const std::string& address, Instant now) const;

 private:
  RendezvousSelectorKnobs knobs_;
  std::map<std::string, Instant> suspectUntil_;
};

}  // namespace gorsetrail::ledger
