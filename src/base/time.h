/// \file Time types. Decision code receives times as arguments and never reads a clock.
#pragma once

#include <chrono>
#include <cstdint>

namespace gorsetrail {

/// Clock tag. The daemon maps it to the steady clock, simulations map it to virtual time.
struct NodeClock {
  using rep = std::int64_t;
  using period = std::micro;
  using duration = std::chrono::microseconds;
  using time_point = std::chrono::time_point<NodeClock, duration>;
  // The standard library's clock requirements give this name.
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming)
};

/// A point in time on this node's clock; not comparable between nodes.
using Instant = NodeClock::time_point;
/// A time span in microseconds.
using Duration = NodeClock::duration;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// \return the span as a number of milliseconds, for metrics and logs.
inline double toMilliseconds(Duration span) { return static_cast<double>(span.count()) / 1000.0; }

}  // namespace gorsetrail
