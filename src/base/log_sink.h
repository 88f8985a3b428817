/// \file Where log lines go: standard error, unless a test takes them.
#pragma once

#include <functional>
#include <string>

#include "base/log.h"

namespace gorsetrail {

/// Takes one line, without time and level, that is not below the level in force.
using LogSink = std::function<void(LogLevel level, const std::string& line)>;

/// Sends lines to `sink` instead of standard error; an empty sink undoes it. Set it while no other
/// thread logs: it is not locked.
void setLogSink(LogSink sink);

}  // namespace gorsetrail
