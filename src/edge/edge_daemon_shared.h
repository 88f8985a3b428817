/// \file Constants and helpers shared by the source files of `EdgeDaemon`.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "base/time.h"

namespace gorsetrail::edge {

/// Topic of the nodes' member records.
inline constexpr char kMemberTopic[] = "keyed.nodes";
/// Topic of the zones' topic reader claims; see `ReaderElection`.
inline constexpr char kReaderTopic[] = "keyed.topic-readers";
/// Shortest pause between two reads of the member topic.
inline constexpr Duration kMinimumMemberPause = milliseconds(500);

/// \return the milliseconds from `then` to `now`, at least 0.
inline std::uint64_t ageMilliseconds(Instant now, Instant then) {
  return static_cast<std::uint64_t>(std::max<Duration::rep>(0, (now - then).count() / 1000));
}

/// \return the factor in percent, for log lines and metrics.
inline std::uint64_t percentOf(double factor) {
  return static_cast<std::uint64_t>(std::max(0.0, factor * 100.0));
}

/// \return the system clock in Unix milliseconds. It may jump backwards.
inline std::uint64_t unixTimeMilliseconds() {
  const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

}  // namespace gorsetrail::edge
