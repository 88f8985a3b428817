/// \file The machine's steady clock, read at the edge of a process and passed in as a function.
#pragma once

#include <chrono>

#include "base/time.h"

namespace gorsetrail {

/// \return this moment of the machine's steady clock.
inline Instant steadyNow() {
  const auto sinceStart = std::chrono::steady_clock::now().time_since_epoch();
  return Instant(std::chrono::duration_cast<Duration>(sinceStart));
}

}  // namespace gorsetrail
