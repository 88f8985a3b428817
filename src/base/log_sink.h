/// \file Redirects log lines from standard error to a function.
#pragma once

#include <functional>
#include <string>

#include "base/log.h"

namespace gorsetrail {

/// Receives each line at or above the minimum level, without time and level.
using LogSink = std::function<void(LogLevel level, const std::string& line)>;

/// Sends lines to `sink`, or to standard error when `sink` is empty. Not thread-safe: no other
/// thread may log during the call.
void setLogSink(LogSink sink);

}  // namespace gorsetrail
