/// \file Requests counted in a window that slides. No I/O, no clock.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

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
  /// \return the counts by age, the newest slot first, without the zeros at the end.
  std::vector<std::uint16_t> byAge(Instant now) {
    moveTo(now);
    std::vector<std::uint16_t> counts;
    for (std::uint64_t age = 0; age < kSlots; ++age) {
      counts.push_back(counts_[(newest_ + kSlots - age) % kSlots]);
    }
    while (!counts.empty() && counts.back() == 0) {
      counts.pop_back();
    }
    return counts;
  }
  /// Adds what another count told a moment ago. Its slots may begin elsewhere, so each counts here
  /// as one slot younger: never too short.
  void addByAge(const std::vector<std::uint16_t>& counts, Instant now) {
    moveTo(now);
    for (std::uint64_t age = 0; age < std::min(counts.size(), kSlots); ++age) {
      const std::uint64_t younger = age == 0 ? 0 : age - 1;
      std::uint16_t& slot = counts_[(newest_ + kSlots - younger) % kSlots];
      slot = static_cast<std::uint16_t>(slot + counts[age]);
      sum_ += counts[age];
    }
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
