#include "edge/event_splitter.h"

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
  StreamEvent event;
  bool hasData = false;
  std::size_t eventStart = 0;
  std::size_t lineStart = 0;
  std::size_t lineEnd = partial_.find('\n');
  while (lineEnd != std::string::npos) {
    const std::string_view line =
        withoutCarriageReturn(std::string_view(partial_).substr(lineStart, lineEnd - lineStart));
    lineStart = lineEnd + 1;
    if (!line.empty()) {
      parseLine(line, event, hasData);
    } else {
      event.text = partial_.substr(eventStart, lineStart - eventStart);
      events.push_back(std::move(event));
      event = {};
      hasData = false;
      eventStart = lineStart;
    }
    lineEnd = partial_.find('\n', lineStart);
  }
  partial_.erase(0, eventStart);
  return events;
}

}  // namespace gorsetrail::edge
