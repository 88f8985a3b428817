#include "lab/faultsoak/stall_watch.h"

#include <algorithm>

namespace gorsetrail::lab {

StallWatch::Look StallWatch::look(Instant now) {
  Look seen;
  const Duration since = now - lastLook_;
  lastLook_ = now;
  if (since > limits_.latestLook) {
    seen.soakStoodStill = true;
    stalled_ += since - limits_.period;
  }
  seen.nodeIsSilent = std::any_of(signs_.begin(), signs_.end(), [&](Instant sign) {
    return now - sign > limits_.longestSilence;
  });
  return seen;
}

}  // namespace gorsetrail::lab
