#include "base/log.h"

#include <easylogging++.h>

#include <algorithm>
#include <array>
#include <utility>

#include "base/log_sink.h"

INITIALIZE_EASYLOGGINGPP

namespace gorsetrail {
namespace {

struct NamedLevel {
  std::string_view name;
  LogLevel level;
};
constexpr std::array kLevels = {
    NamedLevel{"debug", LogLevel::Debug}, NamedLevel{"info", LogLevel::Info},
    NamedLevel{"warning", LogLevel::Warning}, NamedLevel{"error", LogLevel::Error}};

bool needsQuotes(std::string_view value) {
  if (value.empty()) {
    return true;
  }
  for (const char character : value) {
    const auto byte = static_cast<unsigned char>(character);
    if (byte <= ' ' || byte == '"' || byte == '=' || byte == '\\' || byte == 0x7f) {
      return true;
    }
  }
  return false;
}

void appendEscaped(std::string& line, char character) {
  static constexpr char kDigits[] = "0123456789abcdef";
  const auto byte = static_cast<unsigned char>(character);
  if (character == '"' || character == '\\') {
    line.push_back('\\');
    line.push_back(character);
  } else if (byte < ' ' || byte == 0x7f) {
    line += "\\x";
    line.push_back(kDigits[byte >> 4]);
    line.push_back(kDigits[byte & 15]);
  } else {
    line.push_back(character);
  }
}

void appendValue(std::string& line, std::string_view value) {
  if (!needsQuotes(value)) {
    line += value;
    return;
  }
  line.push_back('"');
  for (const char character : value) {
    appendEscaped(line, character);
  }
  line.push_back('"');
}

LogLevel& currentMinimumLevel() {
  static LogLevel level = LogLevel::Info;
  return level;
}

LogSink& currentSink() {
  static LogSink sink;
  return sink;
}

void writeToStandardError(LogLevel level, const std::string& line) {
  switch (level) {
    case LogLevel::Debug:
      LOG(DEBUG) << line;
      break;
    case LogLevel::Info:
      LOG(INFO) << line;
      break;
    case LogLevel::Warning:
      LOG(WARNING) << line;
      break;
    case LogLevel::Error:
      LOG(ERROR) << line;
      break;
  }
}

}  // namespace

LogLevel logLevelNamed(std::string_view name) {
  const auto* const found = std::find_if(
      kLevels.begin(), kLevels.end(), [&](const NamedLevel& level) { return level.name == name; });
  return found == kLevels.end() ? LogLevel::Info : found->level;
}

void setLogSink(LogSink sink) { currentSink() = std::move(sink); }

void configureLogging(LogLevel minimumLevel) {
  currentMinimumLevel() = minimumLevel;
  el::Configurations configurations;
  configurations.setToDefault();
  configurations.setGlobally(el::ConfigurationType::ToFile, "false");
  // The library's build redirects this console setting to standard error.
  configurations.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  configurations.setGlobally(el::ConfigurationType::Format,
                             "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level %msg");
  el::Loggers::reconfigureAllLoggers(configurations);
}

std::string formatLogLine(std::string_view event, std::initializer_list<LogField> fields) {
  std::string line = "event=";
  appendValue(line, event);
  for (const LogField& field : fields) {
    line.push_back(' ');
    line += field.key;
    line.push_back('=');
    appendValue(line, field.value);
  }
  return line;
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) {
  if (level < currentMinimumLevel()) {
    return;
  }
  const std::string line = formatLogLine(event, fields);
  if (currentSink()) {
    currentSink()(level, line);
  } else {
    writeToStandardError(level, line);
  }
}

}  // namespace gorsetrail
