/// \file Whether the soak and its nodes get to run: a busy machine may let either stand still,
/// which no promise bounds. Time is told by the caller.
#pragma once

#include <cstddef>
#include <vector>

#include "base/time.h"

namespace gorsetrail::lab {

/// A soak of 25 s beside a load of 31 on twelve cores once had its own process stand still for 6 s
/// and its nodes for 13 s, while others ran on.
struct StallLimits {
  /// How often the soak looks.
  Duration period = milliseconds(100);
  /// A look that comes later than this after the last one shows that the soak stood still.
  Duration latestLook = milliseconds(500);
  /// A node asks the store some times a second; longer silence: it stands still, is cut off or
  /// does not run.
  Duration longestSilence = milliseconds(1500);
};

class StallWatch {
 public:
  StallWatch(StallLimits limits, std::size_t nodes, Instant now)
      : limits_(limits), signs_(nodes, now), lastLook_(now) {}

  /// A node said something since the last look.
  void onSign(std::size_t node, Instant now) { signs_[node] = now; }
  /// What one look shows.
  struct Look {
    bool soakStoodStill = false;
    bool nodeIsSilent = false;
  };
  /// Call it each period, behind the signs of that period.
  Look look(Instant now);
  /// \return for how long the soak stood still in all.
  [[nodiscard]] Duration stalled() const { return stalled_; }

 private:
  StallLimits limits_;
  std::vector<Instant> signs_;  ///< The last one of each node.
  Instant lastLook_;
  Duration stalled_{};
};

}  // namespace gorsetrail::lab
