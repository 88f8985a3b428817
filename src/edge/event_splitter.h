/// \file Incremental parser for streams of server-sent events.
#pragma once

#include <cstddef>
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

/// A longer event is no answer: events carry a few tokens.
inline constexpr std::size_t kMaximumEventBytes = std::size_t{1024} * 1024;

/// Splits received bytes into complete events, so that partial events are never forwarded.
class EventSplitter {
 public:
  /// Appends received bytes.
  ///
  /// \return the events that are complete now.
  std::vector<StreamEvent> feed(std::string_view bytes);
  /// \return whether bytes of an incomplete event are buffered.
  [[nodiscard]] bool hasPartialEvent() const { return !partial_.empty(); }
  /// \return whether the incomplete event is longer than `kMaximumEventBytes`.
  [[nodiscard]] bool isEventTooLong() const { return partial_.size() > kMaximumEventBytes; }
  [[nodiscard]] std::size_t partialBytes() const { return partial_.size(); }
  /// Discards a buffered incomplete event, for use after its stream was interrupted.
  void dropPartialEvent();

 private:
  std::string partial_;
  // Where the next call goes on, so that a long event is not read again with each part of it.
  std::size_t lineStart_ = 0;  ///< Of the line that is not complete.
  std::size_t scanned_ = 0;    ///< Bytes without a further line's end.
  StreamEvent event_;          ///< The complete lines of the partial event.
  bool hasData_ = false;
};

}  // namespace gorsetrail::edge
