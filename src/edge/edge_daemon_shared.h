/// \file What the files of `EdgeDaemon` share.
#pragma once

#include <algorithm>
#include <cstdint>

#include "base/time.h"

namespace gorsetrail::edge {

inline constexpr char kMemberTopic[] = "keyed.nodes";
inline constexpr Duration kShortestMemberPause = milliseconds(500);

/// \return how long ago that was, in milliseconds, at least 0.
inline std::uint64_t ageMilliseconds(Instant now, Instant then) {
  return static_cast<std::uint64_t>(std::max<Duration::rep>(0, (now - then).count() / 1000));
}

}  // namespace gorsetrail::edge
