#include "edge/stream_progress.h"

#include <vector>

namespace gorsetrail::edge {

bool StreamProgress::take(std::string_view bytes) {
  const std::vector<StreamEvent> events = splitter_.feed(bytes);
  for (const StreamEvent& event : events) {
    ++eventsTaken_;
    if (!event.id.empty()) {
      lastEventId_ = event.id;
    }
    output_ += event.text;
    recordedData_ += event.data;
    recordedData_.push_back('\n');
  }
  return !events.empty();
}

std::string StreamProgress::release() {
  eventsReleased_ = eventsTaken_;
  return std::exchange(output_, {});
}

}  // namespace gorsetrail::edge
