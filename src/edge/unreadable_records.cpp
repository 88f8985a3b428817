#include "edge/unreadable_records.h"

#include <algorithm>

namespace gorsetrail::edge {

bool UnreadableRecords::onUnreadable(RecordKind kind, const std::string& key, Instant now) {
  State& state = of(kind);
  ++state.count;
  if (now - state.windowBegan >= knobs_.window) {
    state.windowBegan = now;
    state.linesInWindow = 0;
  }
  const bool hasRoom = state.told.size() < knobs_.maximumKeys;
  if (state.linesInWindow >= knobs_.linesPerWindow || !hasRoom || !state.told.insert(key).second) {
    return false;
  }
  ++state.linesInWindow;
  return true;
}

void UnreadableRecords::onReadable(RecordKind kind, const std::string& key) {
  of(kind).told.erase(key);
}

void UnreadableRecords::onListed(RecordKind kind, const std::vector<std::string>& keys) {
  const std::set<std::string_view> listed(keys.begin(), keys.end());
  std::erase_if(of(kind).told, [&listed](const std::string& key) { return !listed.contains(key); });
}

}  // namespace gorsetrail::edge
