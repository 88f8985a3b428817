/// \file Time as decision code sees it: a value passed in, never read from a clock.
#pragma once

#include <chrono>
#include <cstdint>

namespace gorsetrail {

/// Clock tag; the daemon maps it to the steady clock, the lab to virtual time.
struct NodeClock {
  using rep = std::int64_t;
  using period = std::micro;
  using duration = std::chrono::microseconds;
  using time_point = std::chrono::time_point<NodeClock, duration>;
  // The standard library's clock requirements give this name.
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming)
};

/// A moment on this node's own clock; never compared between nodes.
using Instant = NodeClock::time_point;
/// A span of time, in microseconds.
using Duration = NodeClock::duration;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// \return the span in milliseconds as a number for figures and logs.
inline double toMilliseconds(Duration span) { return static_cast<double>(span.count()) / 1000.0; }

}  // namespace gorsetrail
