/// \file Which of the store's records cannot be read, for the log and the metrics.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"

namespace gorsetrail::edge {

/// Whose records they are.
enum class RecordKind : std::uint8_t { Replica, Member, Configuration, Operator };
inline constexpr std::size_t kRecordKinds = 4;

/// Knobs of `UnreadableRecords`.
struct UnreadableRecordsKnobs {
  /// Lines of one kind within a window: enough to see that one writer damages many entries. At ten
  /// lines of some 200 bytes they are a hundredth of what a busy node logs.
  std::uint32_t linesPerWindow = 10;
  Duration window = seconds(10);
  /// Keys of one kind whose line was written; with more, further ones are only counted. Ten times
  /// the replicas of the largest deployment known.
  std::size_t maximumKeys = 1000;
};

/// Counts records that cannot be read and says which of them are worth a log line: one for each key
/// until it can be read again or is gone, and no more than the allowed rate. A damaged entry is
/// written again with every heartbeat, by as many writers as there are. No I/O, no clock.
class UnreadableRecords {
 public:
  explicit UnreadableRecords(UnreadableRecordsKnobs knobs = {}) : knobs_(knobs) {}

  /// \return whether to write a line of it.
  bool onUnreadable(RecordKind kind, const std::string& key, Instant now);
  /// The key's record can be read, or was removed.
  void onReadable(RecordKind kind, const std::string& key);
  /// All keys of the topic: others are gone.
  void onListed(RecordKind kind, const std::vector<std::string>& keys);

  /// \return whether a record of the kind cannot be read now, as far as was told.
  [[nodiscard]] bool hasAny(RecordKind kind) const { return !of(kind).told.empty(); }
  [[nodiscard]] std::uint64_t count(RecordKind kind) const { return of(kind).count; }

 private:
  struct State {
    std::uint64_t count = 0;
    std::set<std::string, std::less<>> told;
    Instant windowBegan;
    std::uint32_t linesInWindow = 0;
  };
  State& of(RecordKind kind) { return states_[static_cast<std::size_t>(kind)]; }
  [[nodiscard]] const State& of(RecordKind kind) const {
    return states_[static_cast<std::size_t>(kind)];
  }

  UnreadableRecordsKnobs knobs_;
  std::array<State, kRecordKinds> states_;
};

}  // namespace gorsetrail::edge
