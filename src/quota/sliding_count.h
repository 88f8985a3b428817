/// \file Sliding window counter. Does no I/O and reads no clock.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/time.h"

namespace gorsetrail::quota {

/// Counts events of the last 5 s in slots of 100 ms. A slot counts until its end has left the
/// window, so the count is never too low.
class SlidingCount {
 public:
  static constexpr Duration kSlotDuration = milliseconds(100);
  static constexpr std::size_t kSlotCount = 51;  ///< 5 s and the current slot.

  void add(std::uint32_t count, Instant now) {
    advanceTo(now);
    counts_[newest_ % kSlotCount] =
        static_cast<std::uint16_t>(counts_[newest_ % kSlotCount] + count);
    sum_ += count;
  }
  /// \return the counts per slot, newest first, without trailing zeros.
  std::vector<std::uint16_t> countsByAge(Instant now) {
    advanceTo(now);
    std::vector<std::uint16_t> counts;
    for (std::uint64_t age = 0; age < kSlotCount; ++age) {
      counts.push_back(counts_[(newest_ + kSlotCount - age) % kSlotCount]);
    }
    while (!counts.empty() && counts.back() == 0) {
      counts.pop_back();
    }
    return counts;
  }
  /// Adds the counts of another counter. Slot boundaries may differ, so each count is entered one
  /// slot younger and does not expire too early.
  void addCountsByAge(const std::vector<std::uint16_t>& counts, Instant now) {
    advanceTo(now);
    for (std::uint64_t age = 0; age < std::min(counts.size(), kSlotCount); ++age) {
      const std::uint64_t younger = age == 0 ? 0 : age - 1;
      std::uint16_t& slot = counts_[(newest_ + kSlotCount - younger) % kSlotCount];
      slot = static_cast<std::uint16_t>(slot + counts[age]);
      sum_ += counts[age];
    }
  }
  /// \return the count of the last 5 s and of up to one more slot.
  std::uint32_t sum(Instant now) {
    advanceTo(now);
    return sum_;
  }

 private:
  void advanceTo(Instant now) {
    const auto slot = static_cast<std::uint64_t>(now.time_since_epoch() / kSlotDuration);
    if (slot >= newest_ + kSlotCount) {
      counts_.fill(0);
      sum_ = 0;
      newest_ = slot;
    }
    while (newest_ < slot) {
      ++newest_;
      sum_ -= counts_[newest_ % kSlotCount];
      counts_[newest_ % kSlotCount] = 0;
    }
  }

  std::array<std::uint16_t, kSlotCount> counts_{};
  std::uint64_t newest_ = 0;
  std::uint32_t sum_ = 0;
};

}  // namespace gorsetrail::quota
