/// \file Server-sent events, cut from a byte stream that may break anywhere.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace gorsetrail::services {

/// One event; the views hold until the sink returns.
struct ServerSentEvent {
  std::string_view id;    ///< Empty when the event names none.
  std::string_view type;  ///< Empty for a plain message.
  std::string_view data;
};

/// Longest line, and longest data of one event, in bytes.
inline constexpr std::size_t kMaximumEventBytes = std::size_t{1024} * 1024;

/// Takes the parts of a stream as they come and hands over whole events.
class EventStreamParser {
 public:
  /// \return whether to go on.
  using Sink = std::function<bool(const ServerSentEvent&)>;

  explicit EventStreamParser(Sink sink) : sink_(std::move(sink)) {}
  /// \return false when a line or an event is too long, or the sink does not want to go on; the
  /// rest of the stream must then not be fed.
  bool feed(std::string_view part);

 private:
  bool takeLine(std::string_view line);
  bool takeField(std::string_view name, std::string_view value);
  bool dispatch();

  Sink sink_;
  std::string line_;  ///< Of a line whose end has not come.
  std::string id_;
  std::string type_;
  std::string data_;
  bool hasData_ = false;
};

}  // namespace gorsetrail::services
