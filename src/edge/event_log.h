/// \file Structured log lines on standard output that never hold the process up.
#pragma once

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <tuple>

#include "base/log.h"
#include "base/time.h"

namespace gorsetrail::edge {

/// The two lines of a refused reservation (its figures, then `request_ended`) with four nodes
/// asked: 807 bytes measured with the longest addresses.
inline constexpr std::size_t kRefusalBytes = 850;
/// Refusals that are written whole between two writes when all else has filled the buffer.
inline constexpr std::size_t kReservedRefusals = 128;

/// How much may be logged.
struct EventLogKnobs {
  std::size_t bufferBytes = std::size_t{128} * 1024;
  /// Room beside `bufferBytes` for refusals alone: after a loss of all power they are what has to
  /// be explained, and all else that changes then fills the buffer.
  std::size_t refusalBytes = kReservedRefusals * kRefusalBytes;
  /// Programs and reasons whose repeated refusals are counted between two writes.
  std::size_t countedRefusals = 2048;
  /// Lines of decisions that went well, a second; failures are always written.
  std::uint32_t routineLinesPerSecond = 60;
};

/// What repeated refusals have in common.
struct RefusalKey {
  std::string_view program;
  std::string_view reason;
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
  /// A request that was refused. Where even the room for refusals is full, those of one program for
  /// one reason are counted and written as one line `refusals_counted`.
  void refusal(std::string_view event, const RefusalKey& key,
               std::initializer_list<LogField> fields);
  /// Writes what has gathered; call it some times a second and at the end.
  void flush();

  [[nodiscard]] std::uint64_t leftOut() const { return leftOut_; }

 private:
  /// Event, program and reason.
  using CountedRefusal = std::tuple<std::string, std::string, std::string>;

  bool takeRoutineAllowance();
  /// \return whether there was room for the line.
  bool append(std::string_view event, std::initializer_list<LogField> fields, std::size_t room);
  void appendCounted();
  void writeOut();

  Output output_;
  std::function<Instant()> clock_;
  EventLogKnobs knobs_;
  std::string buffer_;
  Instant allowanceSince_;
  std::uint32_t allowanceUsed_ = 0;
  std::map<CountedRefusal, std::uint64_t> counted_;  ///< Not written whole.
  std::uint64_t leftOut_ = 0;
  std::uint64_t leftOutReported_ = 0;
};

/// \return an output that writes to standard output, which it makes non-blocking.
EventLog::Output standardOutput();

}  // namespace gorsetrail::edge
