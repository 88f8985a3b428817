/// \file Cuts a stream of server-sent events into whole events.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace gorsetrail::edge {

/// One whole event.
struct StreamEvent {
  std::string id;    ///< Empty when it has none.
  std::string data;  ///< Data lines, joined by line feeds.
  std::string text;  ///< The event as it came, blank line included.
};

/// Takes bytes as they come. Only whole events come out, so a client never gets half of one.
class EventSplitter {
 public:
  /// \return the events that these bytes complete.
  std::vector<StreamEvent> feed(std::string_view bytes);
  /// \return whether some bytes of an event wait for its end.
  [[nodiscard]] bool hasPartialEvent() const { return !partial_.empty(); }
  /// Drops a partial event: its stream broke off.
  void dropPartialEvent() { partial_.clear(); }

 private:
  std::string partial_;
};

}  // namespace gorsetrail::edge
