/// \file Incremental parser for streams of server-sent events.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace gorsetrail::edge {

/// One complete server-sent event.
struct StreamEvent {
  std::string id;    ///< Empty when the event has no `id` field.
  std::string data;  ///< Values of the `data` fields, joined by line feeds.
  std::string text;  ///< The event's bytes as received, with the final blank line.
};

/// Splits received bytes into complete events, so that partial events are never forwarded.
class EventSplitter {
 public:
  /// Appends received bytes.
  ///
  /// \return the events that are complete now.
  std::vector<StreamEvent> feed(std::string_view bytes);
  /// \return whether bytes of an incomplete event are buffered.
  [[nodiscard]] bool hasPartialEvent() const { return !partial_.empty(); }
  /// Discards a buffered incomplete event, for use after its stream was interrupted.
  void dropPartialEvent() { partial_.clear(); }

 private:
  std::string partial_;
};

}  // namespace gorsetrail::edge
