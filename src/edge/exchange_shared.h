/// \file Constants and helpers shared by the source files of `Exchange`.
#pragma once

#include <algorithm>
#include <cstdint>

#include "base/time.h"

namespace gorsetrail::edge {

inline constexpr unsigned kBadGateway = 502;
inline constexpr unsigned kUnavailable = 503;
/// The edge gives its final answer this long before the client's deadline, so that the answer
/// arrives in time.
inline constexpr Duration kAnswerMargin = milliseconds(20);

/// \return the span in whole milliseconds, for log lines; 0 for a negative span.
inline std::uint64_t wholeMilliseconds(Duration span) {
  return static_cast<std::uint64_t>(std::max<Duration::rep>(0, span.count() / 1000));
}

}  // namespace gorsetrail::edge
