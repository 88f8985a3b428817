/// \file Checks what an evacuation promises: nothing reaches the zone, and few requests reach its
/// replicas while they are cold after it. Time is told by the caller.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "base/time.h"
#include "lab/faultsoak/promise_watcher.h"

namespace gorsetrail::lab {

/// Requests that a cold replica may get from all nodes together.
struct ColdLimit {
  Duration coldTime = seconds(3);
  /// In any one second.
  std::size_t mostRequests = 0;
};

class PlaceWatcher {
 public:
  /// \param violations where a broken promise is told; outlives this object.
  PlaceWatcher(PromiseWatcher& violations, ColdLimit limit)
      : violations_(violations), limit_(limit) {}

  /// \param emptyAfter when the last request may reach the zone; unset where nodes are cut off from
  /// the store, or start anew, so that nobody can promise a moment.
  void onEvacuated(const std::string& zone, std::optional<Instant> emptyAfter);
  /// Somebody stood still, so that nobody can promise the moments told before. \param emptyAfter
  /// when the last request may reach a zone that is evacuated, at the earliest.
  void onUnrest(Instant emptyAfter);
  /// The watcher itself stood still until now: what waited for it comes at once, and tells no rate.
  void onOwnStall(Instant now);
  /// All replicas of the zone are cold from now on.
  void onTakenBack(const std::string& zone, Instant now);
  /// A request reaches a replica that is the one meant.
  void onArrival(const std::string& zone, const std::string& replica, Instant now);

 private:
  struct Zone {
    std::optional<Instant> emptyAfter;
    std::optional<Instant> coldUntil;
  };

  void checkCold(const std::string& replica, Instant takenBackAt, Instant now);

  PromiseWatcher& violations_;
  ColdLimit limit_;
  Instant ratesKnownFrom_{};
  std::map<std::string, Zone> zones_;
  std::map<std::string, std::deque<Instant>> coldArrivals_;  ///< Of the last second, by replica.
};

}  // namespace gorsetrail::lab
