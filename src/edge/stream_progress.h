/// \file How far the stream of a request has come, over all replicas that worked on it.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "edge/event_splitter.h"

namespace gorsetrail::edge {

/// Takes bytes of replicas, holds whole events until they may be released, and remembers what a
/// turn's record needs.
class StreamProgress {
 public:
  /// \param lastEventId the client resumes behind this event; empty: from the start.
  explicit StreamProgress(std::string lastEventId) : lastEventId_(std::move(lastEventId)) {}

  /// Another replica, or the same once more, begins: a piece of an event is dropped.
  void beginRun() { splitter_.dropPartialEvent(); }
  /// \return whether the bytes ended at least one event.
  bool take(std::string_view bytes);
  /// \return whole events that were not released yet; they count as released from now on.
  std::string release();

  [[nodiscard]] bool hasOutput() const { return !output_.empty(); }
  [[nodiscard]] bool endsAmidAnEvent() const { return splitter_.hasPartialEvent(); }
  [[nodiscard]] std::uint64_t eventsReleased() const { return eventsReleased_; }
  [[nodiscard]] const std::string& lastEventId() const { return lastEventId_; }
  /// \return data of all events, each with a line feed behind: the turn's output as it is kept.
  [[nodiscard]] const std::string& recordedData() const { return recordedData_; }

 private:
  EventSplitter splitter_;
  std::string lastEventId_;
  std::string output_;
  std::string recordedData_;
  std::uint64_t eventsTaken_ = 0;
  std::uint64_t eventsReleased_ = 0;
};

}  // namespace gorsetrail::edge
