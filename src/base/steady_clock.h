/// \file Reads the machine's steady clock. Other code receives the clock as a function argument.
#pragma once

#include <chrono>

#include "base/time.h"

namespace gorsetrail {

/// \return the current time of the machine's steady clock.
inline Instant steadyNow() {
  const auto sinceStart = std::chrono::steady_clock::now().time_since_epoch();
  return Instant(std::chrono::duration_cast<Duration>(sinceStart));
}

}  // namespace gorsetrail
