#include "edge/stream_progress.h"

#include <vector>

namespace gorsetrail::edge {

bool StreamProgress::receive(std::string_view bytes) {
  const std::vector<StreamEvent> events = splitter_.feed(bytes);
  for (const StreamEvent& event : events) {
    ++eventsReceived_;
    if (!event.id.empty()) {
      lastEventId_ = event.id;
    }
    output_ += event.text;
    recordedData_ += event.data;
    recordedData_.push_back('\n');
  }
  return !events.empty();
}

std::string StreamProgress::releaseEvents() {
  eventsReleased_ = eventsReceived_;
  return std::exchange(output_, {});
}

}  // namespace gorsetrail::edge
