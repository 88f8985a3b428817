/// \file Takes the log lines of a test.
#pragma once

#include <string>
#include <vector>

#include "base/log_sink.h"

namespace gorsetrail {

/// While it lives, log lines come here and not to standard error. Besides being looked at, this
/// keeps the logging library out of the test: what that keeps from its first line on would count
/// as a leak of the test that wrote it.
class LogCapture {
 public:
  LogCapture() {
    setLogSink([this](LogLevel, const std::string& line) { lines.push_back(line); });
  }
  ~LogCapture() { setLogSink({}); }
  LogCapture(const LogCapture&) = delete;
  LogCapture& operator=(const LogCapture&) = delete;

  std::vector<std::string> lines;
};

}  // namespace gorsetrail
