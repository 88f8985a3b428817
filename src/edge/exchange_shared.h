/// \file What the files of `Exchange` share: statuses and small helpers.
#pragma once

#include <algorithm>
#include <cstdint>

#include "base/time.h"

namespace gorsetrail::edge {

inline constexpr unsigned kBadGateway = 502;
inline constexpr unsigned kUnavailable = 503;
/// The last moment of the deadline is left for the final answer's way.
inline constexpr Duration kAnswerMargin = milliseconds(20);

/// \return the span in whole milliseconds, at least 0, for log lines.
inline std::uint64_t wholeMilliseconds(Duration span) {
  return static_cast<std::uint64_t>(std::max<Duration::rep>(0, span.count() / 1000));
}

}  // namespace gorsetrail::edge
