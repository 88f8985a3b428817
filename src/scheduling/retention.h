/// \file How long a program's prefix is worth keeping while its tool runs.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "base/time.h"

namespace gorsetrail::scheduling {

/// Learns how long programs pause, and weighs the return against the memory.
///
/// Memory has a price: a token kept for one second is a token that another program could have kept.
/// A token that is there at the return saves its recomputation, worth `worth` seconds of keeping.
/// Both grow with the prefix's length, so the best time to hold depends on the pauses alone: the
/// `T` with the highest `P(pause <= T) * worth - E[min(pause, T)]`; not at all when none is above
/// 0.
class RetentionPlanner {
 public:
  /// \param worth seconds of keeping one token that its recomputation is worth.
  explicit RetentionPlanner(Duration worth) : worth_(worth) {}

  /// A program of this work came back after `pause`.
  void returned(std::string_view work, Duration pause);
  /// A program of this work was closed or given up; it will not come back.
  void ended(std::string_view work);
  /// \return for how long to hold the prefix of a program of this work; 0: not at all.
  [[nodiscard]] Duration holdTime(std::string_view work) const;

 private:
  /// Pauses up to 1 s, 2 s, 4 s, ...; those above the last bound count as no return.
  static constexpr std::size_t kBuckets = 10;
  struct Pauses {
    std::array<double, kBuckets> counts{};
    double never = 0.0;
    double total = 0.0;
  };

  static Duration bucketBound(std::size_t bucket);
  void age(Pauses& pauses);

  Duration worth_;
  std::unordered_map<std::string, Pauses> works_;
};

}  // namespace gorsetrail::scheduling
