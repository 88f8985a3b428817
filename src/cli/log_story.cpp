#include "cli/log_story.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <string>

namespace gorsetrail::cli {
namespace {

constexpr std::string_view kTimeKey = "time_ms=";
/// State changes up to this long before a line of the request are included.
constexpr std::uint64_t kStateChangeWindowMilliseconds = 2000;
constexpr std::string_view kLeaseEvent = "budget_lease";
constexpr std::string_view kLeaseRecoveryEvent = "budget_lease_recovery";
constexpr std::array<std::string_view, 14> kStateChangeEvents = {kLeaseEvent,
                                                                 kLeaseRecoveryEvent,
                                                                 "store_lost",
                                                                 "connection_handler_failed",
                                                                 "store_regained",
                                                                 "store_way",
                                                                 "replica_gone",
                                                                 "replica_doubted",
                                                                 "replica_changed",
                                                                 "stop_begun",
                                                                 "started",
                                                                 "zone_evacuated",
                                                                 "configuration_in_force",
                                                                 "evacuation_taken_back"};

/// Consumes one value: unquoted up to the next blank, or quoted with backslash escapes.
std::string parseValue(std::string_view& rest) {
  std::string value;
  if (rest.empty() || rest.front() != '"') {
    const std::size_t end = std::min(rest.find(' '), rest.size());
    value = rest.substr(0, end);
    rest.remove_prefix(end);
    return value;
  }
  rest.remove_prefix(1);
  while (!rest.empty() && rest.front() != '"') {
    if (rest.front() == '\\' && rest.size() > 1) {
      rest.remove_prefix(1);
    }
    value.push_back(rest.front());
    rest.remove_prefix(1);
  }
  rest.remove_prefix(std::min<std::size_t>(1, rest.size()));
  return value;
}

std::string lastWord(std::string_view text) {
  while (!text.empty() && text.back() == ' ') {
    text.remove_suffix(1);
  }
  const std::size_t blank = text.rfind(' ');
  return std::string(blank == std::string_view::npos ? text : text.substr(blank + 1));
}

}  // namespace

std::string LogLine::fieldOf(std::string_view key) const {
  const auto found = std::find_if(fields.begin(), fields.end(),
                                  [&](const auto& field) { return field.first == key; });
  return found == fields.end() ? std::string() : found->second;
}

std::uint64_t LogLine::numberOf(std::string_view key) const {
  const std::string text = fieldOf(key);
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

std::optional<LogLine> parseLogLine(std::string_view text) {
  const std::size_t start = text.find(kTimeKey);
  if (start == std::string_view::npos) {
    return std::nullopt;
  }
  LogLine line;
  line.source = lastWord(text.substr(0, start));
  std::string_view rest = text.substr(start);
  while (!rest.empty()) {
    const std::size_t equals = rest.find('=');
    if (equals == std::string_view::npos) {
      break;
    }
    std::string key(rest.substr(0, equals));
    rest.remove_prefix(equals + 1);
    std::string value = parseValue(rest);
    if (key == "time_ms") {
      std::from_chars(value.data(), value.data() + value.size(), line.timeMilliseconds);
    } else if (key == "event") {
      line.event = std::move(value);
    } else {
      line.fields.emplace_back(std::move(key), std::move(value));
    }
    rest.remove_prefix(std::min(rest.find_first_not_of(' '), rest.size()));
  }
  return line.event.empty() ? std::nullopt : std::optional(std::move(line));
}

void LogStory::read(std::istream& lines, const std::string& source) {
  for (std::string text; std::getline(lines, text);) {
    std::optional<LogLine> line = parseLogLine(text);
    if (!line) {
      ++skippedLines_;
      continue;
    }
    if (line->source.empty()) {
      line->source = source;
    }
    const bool isStateChange = std::find(kStateChangeEvents.begin(), kStateChangeEvents.end(),
                                         line->event) != kStateChangeEvents.end();
    if (line->fieldOf("request") == subject_ || line->fieldOf("program") == subject_) {
      requestLines_.push_back(std::move(*line));
    } else if (isStateChange) {
      stateChanges_.push_back(std::move(*line));
    }
  }
}

bool LogStory::isRelatedStateChange(const LogLine& line) const {
  if (line.event == kLeaseEvent || line.event == kLeaseRecoveryEvent) {
    const std::string lease = line.fieldOf("lease");
    return !lease.empty() &&
           std::any_of(requestLines_.begin(), requestLines_.end(), [&](const LogLine& own) {
             return own.fieldOf("lease") == lease &&
                    own.fieldOf("partition") == line.fieldOf("partition");
           });
  }
  return std::any_of(requestLines_.begin(), requestLines_.end(), [&](const LogLine& own) {
    const bool sameNode = own.source == line.source;
    const bool inTime =
        line.timeMilliseconds <= own.timeMilliseconds &&
        line.timeMilliseconds + kStateChangeWindowMilliseconds >= own.timeMilliseconds;
    const std::string replica = line.fieldOf("replica");
    const bool concerns = replica.empty() || replica == own.fieldOf("replica");
    return sameNode && inTime && concerns;
  });
}

std::vector<LogLine> LogStory::lines() const {
  std::vector<LogLine> story = requestLines_;
  std::copy_if(stateChanges_.begin(), stateChanges_.end(), std::back_inserter(story),
               [this](const LogLine& line) { return isRelatedStateChange(line); });
  std::stable_sort(story.begin(), story.end(), [](const LogLine& left, const LogLine& right) {
    return left.timeMilliseconds < right.timeMilliseconds;
  });
  return story;
}

}  // namespace gorsetrail::cli
