/// \file Processor time of another process of this machine.
#pragma once

#include <optional>

#include "base/time.h"

namespace gorsetrail::bench {

/// \param processId of a process of the same user.
/// \return user and system time it has used (all threads, resolution of the kernel's clock tick);
/// nothing when there is no such process.
std::optional<Duration> processorTimeOf(int processId);

}  // namespace gorsetrail::bench
