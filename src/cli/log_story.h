/// \file Parses log lines of edge nodes and collects those about one request or program.
#pragma once

#include <cstdint>
#include <istream>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gorsetrail::cli {

/// One parsed log line of a node.
struct LogLine {
  std::uint64_t timeMilliseconds = 0;  ///< Wall-clock time at the node.
  std::string source;  ///< Last word of the line's prefix (a node's name), or the file.
  std::string event;
  std::vector<std::pair<std::string, std::string>> fields;  ///< Without time and event.

  /// \return the value of a field; empty when there is none.
  [[nodiscard]] std::string fieldOf(std::string_view key) const;
  /// \return the field as a number; 0 when it is not a number.
  [[nodiscard]] std::uint64_t numberOf(std::string_view key) const;
};

/// \return the line, or nothing when the text is not a log line. The last word before `time_ms=`
/// (a log collector's prefix) becomes the source.
std::optional<LogLine> parseLogLine(std::string_view text);

/// Collects the log lines of one request, or of all requests of one program, and the state changes
/// (replicas, store, configuration) that its nodes logged shortly before them. Those of the leases
/// under which its turns were granted are collected from all nodes and times.
class LogStory {
 public:
  /// \param subject the id of a request or a program.
  explicit LogStory(std::string subject) : subject_(std::move(subject)) {}

  /// Reads lines; skips and counts those that are not log lines.
  void read(std::istream& lines, const std::string& source);
  /// \return the collected lines, oldest first.
  [[nodiscard]] std::vector<LogLine> lines() const;
  [[nodiscard]] bool found() const { return !requestLines_.empty(); }
  [[nodiscard]] std::uint64_t passedOver() const { return skippedLines_; }

 private:
  [[nodiscard]] bool isRelatedStateChange(const LogLine& line) const;

  std::string subject_;
  std::vector<LogLine> requestLines_;
  std::vector<LogLine> stateChanges_;
  std::uint64_t skippedLines_ = 0;
};

}  // namespace gorsetrail::cli
