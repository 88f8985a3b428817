/// \file Structured log lines on standard output that never hold the process up.
#pragma once

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>

#include "base/log.h"
#include "base/time.h"

namespace gorsetrail::edge {

/// How much may be logged.
struct EventLogKnobs {
  std::size_t bufferBytes = std::size_t{128} * 1024;
  /// Lines of decisions that went well, a second; failures are always written.
  std::uint32_t routineLinesPerSecond = 60;
};

/// Lines gather in memory and leave in one write. What does not fit is counted, and the count is
/// logged as soon as there is room.
class EventLog {
 public:
  /// Takes bytes and returns how many it could take without blocking.
  using Output = std::function<std::size_t(std::string_view)>;

  EventLog(Output output, std::function<Instant()> clock, EventLogKnobs knobs);

  /// A decision that went well: left out, and counted, above the allowed rate.
  void routine(std::string_view event, std::initializer_list<LogField> fields);
  /// A failure or a change of what the process believes: left out only when the buffer is full.
  void important(std::string_view event, std::initializer_list<LogField> fields);
  /// Writes what has gathered; call it some times a second and at the end.
  void flush();

  [[nodiscard]] std::uint64_t leftOut() const { return leftOut_; }

 private:
  bool takeRoutineAllowance();
  void append(std::string_view event, std::initializer_list<LogField> fields);

  Output output_;
  std::function<Instant()> clock_;
  EventLogKnobs knobs_;
  std::string buffer_;
  Instant allowanceSince_;
  std::uint32_t allowanceUsed_ = 0;
  std::uint64_t leftOut_ = 0;
  std::uint64_t leftOutReported_ = 0;
};

/// \return an output that writes to standard output, which it makes non-blocking.
EventLog::Output standardOutput();

}  // namespace gorsetrail::edge
