#include "edge/event_splitter.h"

#include <utility>

namespace gorsetrail::edge {
namespace {

std::string_view withoutCarriageReturn(std::string_view line) {
  return !line.empty() && line.back() == '\r' ? line.substr(0, line.size() - 1) : line;
}

/// \return the value of a field line, without the optional space after the colon.
std::string_view valueOfLine(std::string_view line, std::size_t nameLength) {
  std::string_view value = line.substr(nameLength + 1);
  return !value.empty() && value.front() == ' ' ? value.substr(1) : value;
}

void parseLine(std::string_view line, StreamEvent& event, bool& hasData) {
  constexpr std::string_view kId = "id:";
  constexpr std::string_view kData = "data:";
  if (line.substr(0, kId.size()) == kId) {
    event.id = valueOfLine(line, kId.size() - 1);
  } else if (line.substr(0, kData.size()) == kData) {
    if (hasData) {
      event.data.push_back('\n');
    }
    event.data += valueOfLine(line, kData.size() - 1);
    hasData = true;
  }
}

}  // namespace

std::vector<StreamEvent> EventSplitter::feed(std::string_view bytes) {
  partial_ += bytes;
  std::vector<StreamEvent> events;
  std::size_t eventStart = 0;
  std::size_t lineEnd = partial_.find('\n', scanned_);
  while (lineEnd != std::string::npos) {
    const std::string_view line =
        withoutCarriageReturn(std::string_view(partial_).substr(lineStart_, lineEnd - lineStart_));
    lineStart_ = lineEnd + 1;
    if (!line.empty()) {
      parseLine(line, event_, hasData_);
    } else {
      event_.text = partial_.substr(eventStart, lineStart_ - eventStart);
      events.push_back(std::exchange(event_, {}));
      hasData_ = false;
      eventStart = lineStart_;
    }
    lineEnd = partial_.find('\n', lineStart_);
  }
  partial_.erase(0, eventStart);
  lineStart_ -= eventStart;
  scanned_ = partial_.size();
  return events;
}

void EventSplitter::dropPartialEvent() { *this = {}; }

}  // namespace gorsetrail::edge
