/// \file Structured log lines `event=... key=value ...` on easylogging++.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace gorsetrail {

/// Severity of a log line.
enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error };

/// \return the level for `debug`, `info`, `warning` or `error` in settings; otherwise `Info`.
LogLevel logLevelNamed(std::string_view name);

/// One `key=value` pair. A value that contains spaces, quotes, `=`, backslashes or control
/// characters is quoted, and so is an empty one.
struct LogField {
  LogField(std::string_view fieldKey, std::string_view text) : key(fieldKey), value(text) {}
  LogField(std::string_view fieldKey, const char* text) : key(fieldKey), value(text) {}
  LogField(std::string_view fieldKey, std::uint64_t number)
      : key(fieldKey), value(std::to_string(number)) {}
  std::string_view key;
  std::string value;
};

/// Configures easylogging++; call once per process. Writes one line per event to standard error.
/// \param minimumLevel lines below it are dropped.
void configureLogging(LogLevel minimumLevel);

/// Writes one line: `event=<event> <key>=<value> ...`.
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields);

/// \return the line that `logEvent` writes, without time and level.
std::string formatLogLine(std::string_view event, std::initializer_list<LogField> fields);

}  // namespace gorsetrail
