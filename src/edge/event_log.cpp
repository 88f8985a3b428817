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

bool EventLog::takeRoutineAllowance() {
  const Instant now = clock_();
  if (now - allowanceSince_ >= seconds(1)) {
    allowanceSince_ = now;
    allowanceUsed_ = 0;
  }
  return ++allowanceUsed_ <= knobs_.routineLinesPerSecond;
}

void EventLog::routine(std::string_view event, std::initializer_list<LogField> fields) {
  if (takeRoutineAllowance()) {
    append(event, fields);
  } else {
    ++leftOut_;
  }
}

void EventLog::important(std::string_view event, std::initializer_list<LogField> fields) {
  append(event, fields);
}

void EventLog::append(std::string_view event, std::initializer_list<LogField> fields) {
  const std::string line = formatLogLine(event, fields);
  if (buffer_.size() + line.size() > knobs_.bufferBytes) {
    ++leftOut_;
    return;
  }
  buffer_ += "time_ms=" + timeStamp() + " ";
  buffer_ += line;
  buffer_.push_back('\n');
}

void EventLog::flush() {
  if (leftOut_ > leftOutReported_) {
    const std::uint64_t since = leftOut_ - std::exchange(leftOutReported_, leftOut_);
    append("lines_left_out", {{"count", since}});
  }
  if (buffer_.empty()) {
    return;
  }
  const std::size_t taken = output_(buffer_);
  buffer_.erase(0, taken);
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
