/// \file What the files of `EdgeDaemon` share.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "base/time.h"

namespace gorsetrail::edge {

inline constexpr char kMemberTopic[] = "keyed.nodes";
/// The claims of the zones' readers, see `ReaderElection`.
inline constexpr char kReaderTopic[] = "keyed.topic-readers";
inline constexpr Duration kShortestMemberPause = milliseconds(500);

/// \return how long ago that was, in milliseconds, at least 0.
inline std::uint64_t ageMilliseconds(Instant now, Instant then) {
  return static_cast<std::uint64_t>(std::max<Duration::rep>(0, (now - then).count() / 1000));
}

/// \return the time of day, Unix milliseconds. It may be set back while a node runs.
inline std::uint64_t millisecondsOfDay() {
  const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

}  // namespace gorsetrail::edge
