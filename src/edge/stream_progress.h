/// \file Progress of a request's event stream, across all replicas that it was dispatched to.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "edge/event_splitter.h"

namespace gorsetrail::edge {

/// Buffers complete events from replicas until they may be sent to the client, and collects the
/// output for the turn's record.
class StreamProgress {
 public:
  /// \param lastEventId the client resumes after this event; empty: from the start.
  explicit StreamProgress(std::string lastEventId) : lastEventId_(std::move(lastEventId)) {}

  /// Prepares for a new dispatch: discards a partial event of the previous one.
  void beginRun() { splitter_.dropPartialEvent(); }
  /// \return whether the bytes completed at least one event.
  bool receive(std::string_view bytes);
  /// \return the buffered complete events, which then count as released.
  std::string releaseEvents();

  /// \return whether complete events are buffered.
  [[nodiscard]] bool hasOutput() const { return !output_.empty(); }
  [[nodiscard]] bool hasPartialEvent() const { return splitter_.hasPartialEvent(); }
  /// \return whether the bytes of the current event are no answer, because it is too long.
  [[nodiscard]] bool isEventTooLong() const { return splitter_.isEventTooLong(); }
  /// \return the memory that the events take.
  [[nodiscard]] std::size_t heldBytes() const {
    return splitter_.partialBytes() + output_.size() + recordedData_.size();
  }
  /// \return all complete events received, in all runs.
  [[nodiscard]] std::uint64_t eventsReceived() const { return eventsReceived_; }
  [[nodiscard]] std::uint64_t eventsReleased() const { return eventsReleased_; }
  /// \return the ID of the last event received; before the first, the one given at construction.
  [[nodiscard]] const std::string& lastEventId() const { return lastEventId_; }
  /// \return data of all received events, each followed by a line feed: the output in the turn's
  /// record.
  [[nodiscard]] const std::string& recordedData() const { return recordedData_; }

 private:
  EventSplitter splitter_;
  std::string lastEventId_;
  std::string output_;
  std::string recordedData_;
  std::uint64_t eventsReceived_ = 0;
  std::uint64_t eventsReleased_ = 0;
};

}  // namespace gorsetrail::edge
