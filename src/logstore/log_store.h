/// \file The shared store that everything lasting stands in: logs of records by topic and
/// partition.
///
/// What the store has acknowledged, it keeps. A call without an answer may have been done, or may
/// be done later; so everything that this product appends is a fact that may stand twice.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/time.h"

namespace gorsetrail::logstore {

/// One log.
struct PartitionAddress {
  std::string topic;
  std::uint32_t partition = 0;
  auto operator<=>(const PartitionAddress&) const = default;  // NOLINT(modernize-use-nullptr)
};

/// \return `topic/partition`, for log lines.
std::string textOf(const PartitionAddress& address);

/// Why a call brought nothing.
enum class StoreFault : std::uint8_t {
  NoAnswer,   ///< Not reached, cut or silent: the call may have been done.
  Busy,       ///< It did nothing and wants to be asked later.
  Throttled,  ///< Over the shared rate: it did nothing.
  Compacted,  ///< The records asked for are gone; list again.
  Rejected,   ///< The call was wrong: asking again does not help.
  NotKept,    ///< A reader keeps no records from so far back; the store itself may have them.
};

/// \return the stable name of a fault, for logs and metrics.
std::string_view storeFaultName(StoreFault fault);

struct StoreError {
  StoreFault fault = StoreFault::NoAnswer;
  std::string reason;
  std::uint64_t firstKept = 0;  ///< With `Compacted`: offset of the oldest record.
};

/// A value, or why there is none.
template <class T>
using StoreResult = std::variant<T, StoreError>;

/// Covers the largest record of the store.
inline constexpr std::size_t kMaximumReadBytes = std::size_t{256} * 1024;

/// Records were appended; `offset` is that of the first.
struct AppendReply {
  std::uint64_t offset = 0;
  std::uint64_t end = 0;
};

/// Where the records of a reply stand that leaves unchanged ones out.
struct RecordChanges {
  std::vector<std::uint64_t> offsets;  ///< Of each record; they rise.
  std::uint64_t next = 0;              ///< Where the next read goes on.
};

/// Records from the offset that was asked for on; fewer than there are when they are many.
struct ReadReply {
  std::uint64_t end = 0;        ///< Offset behind the newest record.
  std::uint64_t firstKept = 0;  ///< Offset of the oldest record.
  std::vector<std::string> records;
  /// Set when unchanged records are left out; otherwise `records` has every offset in turn.
  std::optional<RecordChanges> changes;
};

/// \return where a read from `start` that brought this reply goes on.
inline std::uint64_t nextOffset(std::uint64_t start, const ReadReply& reply) {
  return reply.changes ? reply.changes->next : start + reply.records.size();
}

/// The newest record of a key.
struct KeyedItem {
  std::string key;
  std::string value;
  std::uint64_t offset = 0;
};

/// One page of the newest records by key.
struct NewestReply {
  std::vector<KeyedItem> items;
  bool hasMore = false;   ///< Go on after the last item's key.
  std::uint64_t end = 0;  ///< Offset behind the newest record, when the page was made.
};

template <class T>
using StoreCallback = std::function<void(StoreResult<T>)>;

struct AppendRequest {
  PartitionAddress partition;
  std::vector<std::string> records;
  Duration timeLimit = milliseconds(500);
};

struct ReadRequest {
  PartitionAddress partition;
  std::uint64_t start = 0;
  Duration wait = Duration::zero();  ///< Held until a record exists, at most this long.
  Duration timeLimit = milliseconds(500);
  /// Bytes that one answer brings at most; at least one record comes. A short answer also gets
  /// through a narrow link before its call is given up.
  std::size_t maximumBytes = kMaximumReadBytes;
  /// What the transfer of a full answer may take before the call counts as silent.
  Duration transferTime = Duration::zero();
  /// The caller takes replies with `ReadReply::changes`. Only readers of followed topics make them.
  bool changesOnly = false;
};

struct NewestRequest {
  PartitionAddress partition;
  std::string afterKey;
  Duration timeLimit = milliseconds(1000);
  /// What the transfer of a full page may take before the call counts as silent.
  Duration transferTime = Duration::zero();
};

/// Calls to the store. Each calls back exactly once, never from inside the call.
class LogStore {
 public:
  virtual ~LogStore() = default;
  virtual void append(AppendRequest request, StoreCallback<AppendReply> callback) = 0;
  virtual void read(ReadRequest request, StoreCallback<ReadReply> callback) = 0;
  virtual void newest(NewestRequest request, StoreCallback<NewestReply> callback) = 0;
};

/// \return the bytes of a keyed record: length of the key, the key, the value.
std::string encodeKeyedRecord(std::string_view key, std::string_view value);
/// \return key and value; an empty key when the bytes are no keyed record.
std::pair<std::string, std::string> decodeKeyedRecord(std::string_view record);

}  // namespace gorsetrail::logstore
