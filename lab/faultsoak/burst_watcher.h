/// \file Checks that programs that start some time after a burst are served in time again. Time is
/// told by the caller.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "base/time.h"
#include "lab/faultsoak/promise_watcher.h"
#include "lab/faultsoak/soak_replica.h"

namespace gorsetrail::lab {

struct BurstLimits {
  /// From the end of a burst until programs that start are in time (docs/design/0021).
  Duration recovery = seconds(3);
  /// Programs that start so long after the recovery are looked at.
  Duration window = milliseconds(1000);
  /// Until the end of a program's first turn, tries that were refused included: the deadlines of
  /// customers are 1.5 times the unloaded time and up to 500 ms.
  Duration inTime = SoakReplica::kUnloadedTurn * 3 / 2 + milliseconds(500);
  /// Fewer starts show that callers are held up: idle replicas serve over 30 programs a second.
  std::size_t leastStarts = 10;
  /// Share of them in time. The rest may meet a process that the machine stops for a moment.
  double leastInTime = 0.9;
};

class BurstWatcher {
 public:
  /// \param violations where a broken promise is told; outlives this object.
  explicit BurstWatcher(PromiseWatcher& violations, BurstLimits limits = {})
      : violations_(violations), limits_(limits) {}

  void onBurstEnd(Instant now);
  /// A program sends its first turn for the first time.
  void onStart(const std::string& program, Instant now);
  /// A turn of the program was answered whole.
  void onTurn(const std::string& program, Instant now);
  /// Call it `checkedAfter()` behind the end of the burst.
  void check();
  [[nodiscard]] Duration checkedAfter() const {
    return limits_.recovery + limits_.window + limits_.inTime;
  }

 private:
  struct Start {
    Instant at;
    std::optional<Instant> servedAt;
  };
  PromiseWatcher& violations_;
  BurstLimits limits_;
  std::optional<Instant> endedAt_;
  std::map<std::string, Start> starts_;  ///< Of the window, by program.
};

}  // namespace gorsetrail::lab
