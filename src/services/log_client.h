/// \file Client of the platform's append-only log, and the two loops that live on it.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "http/http_client.h"
#include "services/paced_loop.h"

namespace gorsetrail::services {

/// Longest record the log takes, in bytes.
inline constexpr std::size_t kMaximumRecordBytes = std::size_t{1024} * 1024;

/// A record as the log keeps it.
struct LogRecord {
  LogOffset offset;
  std::string data;
};
/// Consecutive records of a stream; `next` is the offset to read from afterwards.
struct LogPage {
  std::vector<LogRecord> records;
  LogOffset next;
};

/// One request, one callback, no repetition. Every error has kind `PlatformUnavailable` (the log
/// is down, slow, or answered what cannot be read) or `RequestTooLarge`; after a failed append
/// `outcome` says whether the record may stand all the same.
class LogClient {
 public:
  using OnAppended = std::function<void(Result<LogOffset>)>;
  using OnPage = std::function<void(Result<LogPage>)>;

  /// \param client outlives this. \param address `ip:port` of the log.
  LogClient(http::HttpClient& client, std::string address, Duration timeLimit = seconds(5));
  /// Appends one record. At-least-once when repeated: readers deduplicate.
  void append(const std::string& stream, std::string record, const OnAppended& onAppended);
  /// Reads at most `maximum` records from an offset on.
  void read(const std::string& stream, LogOffset from, std::uint32_t maximum, const OnPage& onPage);

 private:
  http::HttpClient& client_;
  std::string address_;
  Duration timeLimit_;
};

/// Hands over every record of a stream, in log order, for ever.
class LogFollower {
 public:
  using OnRecord = std::function<void(const LogRecord&)>;
  /// \param log, timers outlive the follower. \param from the first offset wanted.
  LogFollower(LogClient& log, TimerService& timers, std::string stream, LogOffset from, Pace pace,
              std::uint64_t seed, OnRecord onRecord);
  ~LogFollower();
  void start();
  void stop();
  /// \return the offset of the next record wanted.
  [[nodiscard]] LogOffset position() const;
  /// \return failed reads since the last one that worked.
  [[nodiscard]] std::uint32_t failures() const { return loop_.failures(); }

 private:
  struct State;
  std::shared_ptr<State> state_;
  PacedLoop loop_;
};

/// Bounds of the records that wait for the log.
struct LogWriterLimits {
  std::size_t records = 1024;
  std::size_t bytes = std::size_t{4} * 1024 * 1024;
};

/// Appends records one at a time in their order. While the log is down the first of them is
/// repeated at the loop's pace and the others wait; what does not fit is refused at once. A record
/// may be appended twice (an answer was lost): readers deduplicate by writer and sequence.
class LogWriter {
 public:
  /// `taken` is false when the record was not queued or the log will never take it.
  using OnAppended = std::function<void(std::uint64_t sequence, bool taken)>;

  /// \param log, timers outlive the writer.
  LogWriter(LogClient& log, TimerService& timers, Pace pace, std::uint64_t seed,
            LogWriterLimits limits, OnAppended onAppended);
  ~LogWriter();
  /// Takes a record; answered by `onAppended`, perhaps before this returns.
  void append(std::string stream, std::uint64_t sequence, std::string record);
  void stop();
  /// \return records that wait.
  [[nodiscard]] std::size_t waiting() const;
  [[nodiscard]] std::size_t waitingBytes() const;
  /// \return failed appends since the last one that worked.
  [[nodiscard]] std::uint32_t failures() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace gorsetrail::services
