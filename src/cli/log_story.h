/// \file Log lines of edge nodes, and the story of one request in them.
#pragma once

#include <cstdint>
#include <istream>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gorsetrail::cli {

/// One line that a node wrote.
struct LogLine {
  std::uint64_t timeMilliseconds = 0;  ///< Time of day at the node.
  std::string source;                  ///< What stood before the line (a node's name), or its file.
  std::string event;
  std::vector<std::pair<std::string, std::string>> fields;  ///< Without time and event.

  /// \return the value of a field; empty when there is none.
  [[nodiscard]] std::string fieldOf(std::string_view key) const;
  /// \return the field as a number; 0 when it is none.
  [[nodiscard]] std::uint64_t numberOf(std::string_view key) const;
};

/// \return the line, or nothing when the text is no log line. Anything before `time_ms=` (a
/// collector's prefix) is kept as the source when it ends with a node's name.
std::optional<LogLine> parseLogLine(std::string_view text);

/// Keeps the lines that tell about one request, and the changes of its nodes' beliefs about the
/// replicas and the store that fell into its time.
class LogStory {
 public:
  explicit LogStory(std::string request) : request_(std::move(request)) {}

  /// Reads lines; what is no log line is passed over and counted.
  void read(std::istream& lines, const std::string& source);
  /// \return the story, oldest line first.
  [[nodiscard]] std::vector<LogLine> lines() const;
  [[nodiscard]] bool found() const { return !ofRequest_.empty(); }
  [[nodiscard]] std::uint64_t passedOver() const { return passedOver_; }

 private:
  [[nodiscard]] bool isBackground(const LogLine& line) const;

  std::string request_;
  std::vector<LogLine> ofRequest_;
  std::vector<LogLine> beliefs_;
  std::uint64_t passedOver_ = 0;
};

}  // namespace gorsetrail::cli
