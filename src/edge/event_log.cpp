#include "edge/event_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <chrono>
#include <utility>

namespace gorsetrail::edge {
namespace {

std::string timeStamp() {
  const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

}  // namespace

EventLog::EventLog(Output output, std::function<Instant()> clock, EventLogKnobs knobs)
    : output_(std::move(output)), clock_(std::move(clock)), knobs_(knobs) {}

bool EventLog::admitRoutineLine() {
  const Instant now = clock_();
  if (now - routineWindowStart_ >= seconds(1)) {
    routineWindowStart_ = now;
    routineLinesInWindow_ = 0;
  }
  return ++routineLinesInWindow_ <= knobs_.routineLinesPerSecond;
}

void EventLog::logRoutine(std::string_view event, std::initializer_list<LogField> fields) {
  if (!admitRoutineLine() || !append(event, fields, knobs_.bufferBytes)) {
    ++droppedLines_;
  }
}

void EventLog::logImportant(std::string_view event, std::initializer_list<LogField> fields) {
  if (!append(event, fields, knobs_.bufferBytes)) {
    ++droppedLines_;
  }
}

void EventLog::logLine(std::string_view line) {
  if (!appendLine(line, knobs_.bufferBytes)) {
    ++droppedLines_;
  }
}

void EventLog::logRefusal(std::string_view event, const RefusalKey& key,
                          std::initializer_list<LogField> fields) {
  if (append(event, fields, knobs_.bufferBytes + knobs_.refusalBytes)) {
    return;
  }
  const CountedRefusalKey refused{event, key.program, key.reason};
  if (refusalCounts_.size() < knobs_.maximumRefusalCounts || refusalCounts_.contains(refused)) {
    ++refusalCounts_[refused];
  } else {
    ++droppedLines_;
  }
}

bool EventLog::append(std::string_view event, std::initializer_list<LogField> fields,
                      std::size_t byteLimit) {
  return appendLine(formatLogLine(event, fields), byteLimit);
}

bool EventLog::appendLine(std::string_view line, std::size_t byteLimit) {
  if (buffer_.size() + line.size() > byteLimit) {
    return false;
  }
  buffer_ += "time_ms=" + timeStamp() + " ";
  buffer_ += line;
  buffer_.push_back('\n');
  return true;
}

void EventLog::appendRefusalCounts() {
  std::erase_if(refusalCounts_, [this](const auto& entry) {
    const auto& [event, program, reason] = entry.first;
    return append(
        "refusals_counted",
        {{"of", event}, {"program", program}, {"reason", reason}, {"count", entry.second}},
        knobs_.bufferBytes + knobs_.refusalBytes);
  });
}

void EventLog::flush() {
  if (droppedLines_ > reportedDroppedLines_ &&
      append("lines_left_out", {{"count", droppedLines_ - reportedDroppedLines_}},
             knobs_.bufferBytes)) {
    reportedDroppedLines_ = droppedLines_;
  }
  writeBuffer();
  if (!refusalCounts_.empty()) {
    appendRefusalCounts();  // Uses the space that the first write freed.
    writeBuffer();
  }
}

void EventLog::writeBuffer() {
  if (!buffer_.empty()) {
    buffer_.erase(0, output_(buffer_));
  }
}

EventLog::Output standardOutput() {
  const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0) {
    ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  }
  return [](std::string_view bytes) -> std::size_t {
    const ssize_t written = ::write(STDOUT_FILENO, bytes.data(), bytes.size());
    return written > 0 ? static_cast<std::size_t>(written) : 0;
  };
}

}  // namespace gorsetrail::edge
