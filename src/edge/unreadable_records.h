/// \file Tracks records of the store that cannot be decoded, for logs and metrics.
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

/// The kinds of records by their writers.
enum class RecordKind : std::uint8_t { Replica, Member, Configuration, Operator };
inline constexpr std::size_t kRecordKinds = 4;

/// Settings of `UnreadableRecords`.
struct UnreadableRecordsKnobs {
  /// Limit of log lines for one kind within `window`. Enough to show that one writer damages many
  /// records. Ten lines of some 200 bytes are a hundredth of what a busy node logs.
  std::uint32_t maximumLinesPerWindow = 10;
  Duration window = seconds(10);
  /// Limit of remembered keys for one kind. Records of further keys are counted but not logged.
  std::size_t maximumKeys = 1000;
};

/// Counts undecodable records and decides which of them to log: each key once until it is readable
/// or removed, within a rate limit. A damaged record is repeated with every heartbeat of its
/// writer. No I/O, no clock.
class UnreadableRecords {
 public:
  explicit UnreadableRecords(UnreadableRecordsKnobs knobs = {}) : knobs_(knobs) {}

  /// \return whether to log the record.
  bool onUnreadable(RecordKind kind, const std::string& key, Instant now);
  /// Called when the key's record is readable or was removed.
  void onReadable(RecordKind kind, const std::string& key);
  /// Called with all keys of the topic. Forgets logged keys that are not among them.
  void onListed(RecordKind kind, const std::vector<std::string>& keys);

  /// \return whether a logged record of this kind is still unreadable. Records that were not logged
  /// are not considered.
  [[nodiscard]] bool hasAny(RecordKind kind) const { return !of(kind).loggedKeys.empty(); }
  /// \return how many records of this kind were unreadable, with repetitions.
  [[nodiscard]] std::uint64_t count(RecordKind kind) const { return of(kind).count; }

 private:
  struct State {
    std::uint64_t count = 0;
    std::set<std::string, std::less<>> loggedKeys;
    Instant windowStart;
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
