/// \file Buffered structured log with non-blocking output.
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

/// Upper bound of the two lines of a refused reservation (`reservation_refused` and
/// `request_ended`) that lists four nodes with addresses of maximum length. 832 bytes were
/// measured.
inline constexpr std::size_t kRefusalBytes = 880;
/// Refusals that are logged in full between two flushes even if other events fill the buffer.
inline constexpr std::size_t kReservedRefusals = 128;

/// Size and rate limits of `EventLog`.
struct EventLogKnobs {
  std::size_t bufferBytes = std::size_t{128} * 1024;
  /// Buffer space beyond `bufferBytes` that only refusals may use, so that other events cannot
  /// displace them during a large outage.
  std::size_t refusalBytes = kReservedRefusals * kRefusalBytes;
  /// Most distinct (event, program, reason) keys whose refusals are counted between two flushes.
  std::size_t maximumRefusalCounts = 2048;
  /// Limit for `logRoutine` lines; other lines are not rate limited.
  std::uint32_t routineLinesPerSecond = 60;
};

/// Refusals with the same key are counted together when they cannot be logged in full.
struct RefusalKey {
  std::string_view program;
  std::string_view reason;
};

/// Buffers log lines in memory and writes them in one call. Lines that do not fit are dropped;
/// their count is logged at the next flush that finds space.
class EventLog {
 public:
  /// Writes bytes without blocking and returns how many it wrote.
  using Output = std::function<std::size_t(std::string_view)>;

  EventLog(Output output, std::function<Instant()> clock, EventLogKnobs knobs);

  /// Logs an ordinary event; the line is dropped above the rate limit or when the buffer is full.
  void logRoutine(std::string_view event, std::initializer_list<LogField> fields);
  /// Logs a failure or a state change; the line is dropped only when the buffer is full.
  void logImportant(std::string_view event, std::initializer_list<LogField> fields);
  /// Logs a refused request. When the space for refusals is full too, refusals with the same event
  /// and key are counted and logged as one line `refusals_counted`.
  void logRefusal(std::string_view event, const RefusalKey& key,
                  std::initializer_list<LogField> fields);
  /// Logs a line of `gorsetrail::formatLogLine`, like `logImportant`.
  void logLine(std::string_view line);
  /// Writes buffered lines; call it several times a second and before the process exits.
  void flush();

  /// \return the number of lines dropped so far.
  [[nodiscard]] std::uint64_t droppedLines() const { return droppedLines_; }

 private:
  /// Event, program and reason.
  using CountedRefusalKey = std::tuple<std::string, std::string, std::string>;

  /// Counts a routine line against the rate limit of the current one-second window.
  /// \return whether the line is within the limit.
  bool admitRoutineLine();
  /// \param byteLimit maximum size of the buffer including the line.
  /// \return false when the line does not fit.
  bool append(std::string_view event, std::initializer_list<LogField> fields,
              std::size_t byteLimit);
  /// As `append`, for a whole line.
  bool appendLine(std::string_view line, std::size_t byteLimit);
  void appendRefusalCounts();
  void writeBuffer();

  Output output_;
  std::function<Instant()> clock_;
  EventLogKnobs knobs_;
  std::string buffer_;
  Instant routineWindowStart_;
  std::uint32_t routineLinesInWindow_ = 0;
  std::map<CountedRefusalKey, std::uint64_t> refusalCounts_;  ///< Refusals not logged in full.
  std::uint64_t droppedLines_ = 0;
  std::uint64_t reportedDroppedLines_ = 0;  ///< Part of `droppedLines_` that has been logged.
};

/// \return an output that writes to standard output; sets standard output to non-blocking.
EventLog::Output standardOutput();

}  // namespace gorsetrail::edge
