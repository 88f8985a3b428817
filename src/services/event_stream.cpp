#include "services/event_stream.h"

namespace gorsetrail::services {

bool EventStreamParser::feed(std::string_view part) {
  while (!part.empty()) {
    const std::size_t end = part.find('\n');
    const std::string_view piece = part.substr(0, end);
    if (line_.size() + piece.size() > kMaximumEventBytes) {
      return false;
    }
    if (end == std::string_view::npos) {
      line_ += piece;
      return true;
    }
    part.remove_prefix(end + 1);
    // The common case, a line that came whole, is read in place.
    if (line_.empty()) {
      if (!takeLine(piece)) {
        return false;
      }
      continue;
    }
    line_ += piece;
    const bool goesOn = takeLine(line_);
    line_.clear();
    if (!goesOn) {
      return false;
    }
  }
  return true;
}

bool EventStreamParser::takeLine(std::string_view line) {
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  if (line.empty()) {
    return dispatch();
  }
  const std::size_t colon = line.find(':');
  if (colon == 0) {
    return true;  // A comment: engines send them to keep the connection alive.
  }
  std::string_view value = colon == std::string_view::npos ? "" : line.substr(colon + 1);
  if (value.starts_with(' ')) {
    value.remove_prefix(1);
  }
  return takeField(line.substr(0, colon), value);
}

bool EventStreamParser::takeField(std::string_view name, std::string_view value) {
  if (name == "id") {
    id_ = value;
  } else if (name == "event") {
    type_ = value;
  } else if (name == "data") {
    if (hasData_) {
      data_ += '\n';
    }
    data_ += value;
    hasData_ = true;
  }
  return data_.size() <= kMaximumEventBytes;
}

bool EventStreamParser::dispatch() {
  const bool goesOn = !hasData_ || sink_({id_, type_, data_});
  id_.clear();
  type_.clear();
  data_.clear();
  hasData_ = false;
  return goesOn;
}

}  // namespace gorsetrail::services
