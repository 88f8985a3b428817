#include "edge/unreadable_records.h"

#include <algorithm>

namespace gorsetrail::edge {

bool UnreadableRecords::onUnreadable(RecordKind kind, const std::string& key, Instant now) {
  State& state = of(kind);
  ++state.count;
  if (now - state.windowStart >= knobs_.window) {
    state.windowStart = now;
    state.linesInWindow = 0;
  }
  const bool hasRoom = state.loggedKeys.size() < knobs_.maximumKeys;
  if (state.linesInWindow >= knobs_.maximumLinesPerWindow || !hasRoom ||
      !state.loggedKeys.insert(key).second) {
    return false;
  }
  ++state.linesInWindow;
  return true;
}

void UnreadableRecords::onReadable(RecordKind kind, const std::string& key) {
  of(kind).loggedKeys.erase(key);
}

void UnreadableRecords::onListed(RecordKind kind, const std::vector<std::string>& keys) {
  const std::set<std::string_view> listed(keys.begin(), keys.end());
  std::erase_if(of(kind).loggedKeys,
                [&listed](const std::string& key) { return !listed.contains(key); });
}

}  // namespace gorsetrail::edge
