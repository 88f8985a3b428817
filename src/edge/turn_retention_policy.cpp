#include "edge/turn_retention_policy.h"

#include <algorithm>

namespace gorsetrail::edge {

TurnRefused TurnRetentionPolicy::refusal(std::string_view reason, Duration timeLeft) const {
  const auto share = static_cast<double>(timeLeft.count()) * knobs_.retryAfterShare;
  return {reason, std::max(Duration::zero(), Duration(static_cast<Duration::rep>(share)))};
}

RetentionDecision TurnRetentionPolicy::decide(bool isStoreAvailable, std::size_t bytes,
                                              Duration timeLeft) const {
  if (isStoreAvailable) {
    return TurnAdmitted{};
  }
  if (!knobs_.holdStreamEnds) {
    return TurnRefused{"store_not_answering", knobs_.fixedRetryAfter};
  }
  if (retainedBytes_ + bytes > knobs_.maximumRetainedBytes) {
    return refusal("turn_memory_full", timeLeft);
  }
  if (timeLeft < knobs_.runAllowance + knobs_.minimumHold) {
    return refusal("store_not_answering", timeLeft);
  }
  return TurnAdmitted{};
}

void TurnRetentionPolicy::onTurnStarted(bool isStoreAvailable, std::size_t bytes) {
  counters_.startedDuringOutage += isStoreAvailable ? 0 : 1;
  retainedBytes_ += bytes;
}

Duration TurnRetentionPolicy::holdLimit(Duration timeLeft) const {
  const Duration longest =
      knobs_.holdStreamEnds ? std::min(knobs_.maximumHold, timeLeft) : timeLeft;
  return std::max(Duration::zero(), longest);
}

bool TurnRetentionPolicy::onHoldEnded(bool stored, Duration heldFor) {
  --heldStreamEnds_;
  if (!stored) {
    ++counters_.notStored;
    return true;
  }
  const bool isLate = heldFor > knobs_.lateThreshold;
  counters_.storedLate += isLate ? 1 : 0;
  return isLate;
}

}  // namespace gorsetrail::edge
