/// \file Which nodes are asked for a partition, in which order. Policy only: no I/O, no clock.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "logstore/log_store.h"

namespace gorsetrail::ledger {

/// A node that may be a home.
struct HomeCandidate {
  std::string address;  ///< Where ledger calls arrive.
  std::string zone;
  double capacity = 1.0;  ///< Relative share of partitions.
};

/// Knobs of `HomeSelector`.
struct HomeSelectorKnobs {
  std::size_t homes = 2;  ///< Asked one after the other.
  /// A node that did not answer is asked last for this long.
  Duration suspicionTime = milliseconds(1500);
};

/// Weighted rendezvous hashing over the nodes known to serve: all nodes come to the same home while
/// they agree on who serves, and a change moves only the partitions of the node that changed.
/// Disagreement is harmless: the log decides, homes only save calls.
class HomeSelector {
 public:
  explicit HomeSelector(HomeSelectorKnobs knobs) : knobs_(knobs) {}

  /// \param zone only nodes of this zone, if it has any; empty: all nodes.
  /// \return addresses, best first; suspects after all others.
  [[nodiscard]] std::vector<std::string> homesOf(const logstore::PartitionAddress& partition,
                                                 const std::string& zone,
                                                 const std::vector<HomeCandidate>& candidates,
                                                 Instant now) const;
  void suspect(const std::string& address, Instant now);
  /// The node answered. \return whether it was a suspect.
  bool clear(const std::string& address) { return suspectUntil_.erase(address) > 0; }
  [[nodiscard]] bool isSuspect(const std::string& address, Instant now) const;

 private:
  HomeSelectorKnobs knobs_;
  std::map<std::string, Instant> suspectUntil_;
};

}  // namespace gorsetrail::ledger
