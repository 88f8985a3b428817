/// \file Requests counted in a window that slides. No I/O, no clock.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "base/time.h"

namespace gorsetrail::quota {

/// Counts by slots of a tenth of a second. A slot counts until its last moment has left the window,
/// so the count is never too low.
class SlidingCount {
 public:
  static constexpr Duration kSlot = milliseconds(100);
  static constexpr std::size_t kSlots = 51;  ///< 5 s, and the slot under way.

  void add(std::uint32_t count, Instant now) {
    moveTo(now);
    counts_[newest_ % kSlots] = static_cast<std::uint16_t>(counts_[newest_ % kSlots] + count);
    sum_ += count;
  }
  /// \return what was counted in the last 5 s, and up to a slot more.
  std::uint32_t sum(Instant now) {
    moveTo(now);
    return sum_;
  }

 private:
  void moveTo(Instant now) {
    const auto slot = static_cast<std::uint64_t>(now.time_since_epoch() / kSlot);
    if (slot >= newest_ + kSlots) {
      counts_.fill(0);
      sum_ = 0;
      newest_ = slot;
    }
    while (newest_ < slot) {
      ++newest_;
      sum_ -= counts_[newest_ % kSlots];
      counts_[newest_ % kSlots] = 0;
    }
  }

  std::array<std::uint16_t, kSlots> counts_{};
  std::uint64_t newest_ = 0;
  std::uint32_t sum_ = 0;
};

}  // namespace gorsetrail::quota
