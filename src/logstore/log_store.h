/// \file Interface of the shared durable log store: append-only logs by topic and partition.
///
/// Acknowledged records are durable. A call without a reply may have been executed, or may still be
/// executed later, so every record must tolerate being appended twice.
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

/// Names one log.
struct PartitionAddress {
  std::string topic;
  std::uint32_t partition = 0;
  auto operator<=>(const PartitionAddress&) const = default;  // NOLINT(modernize-use-nullptr)
};

/// \return `topic/partition`, for log lines.
std::string textOf(const PartitionAddress& address);

/// Reason why a call failed.
enum class StoreFault : std::uint8_t {
  NoAnswer,   ///< No reply, or no connection: the call may have been executed.
  Busy,       ///< Not executed; retry later.
  Throttled,  ///< Not executed, because the shared rate limit is exceeded.
  Compacted,  ///< The requested records were dropped; list the keys again.
  Rejected,   ///< Invalid request; a retry does not help.
  NotKept,    ///< A reader node does not cover these offsets; the store itself may.
};

/// \return the stable name of a fault, for logs and metrics.
std::string_view storeFaultName(StoreFault fault);

struct StoreError {
  StoreFault fault = StoreFault::NoAnswer;
  std::string reason;
  std::uint64_t firstKept = 0;  ///< With `Compacted`: offset of the oldest available record.
};

/// A value, or the error of the call.
template <class T>
using StoreResult = std::variant<T, StoreError>;

/// Default limit of one reply; no smaller than the store's largest record.
inline constexpr std::size_t kMaximumReadBytes = std::size_t{256} * 1024;

/// Result of an append.
struct AppendReply {
  std::uint64_t offset = 0;  ///< Of the first record appended.
  std::uint64_t end = 0;     ///< Offset after the newest record.
};

/// Offsets of a reply that omits records without changes.
struct RecordChanges {
  std::vector<std::uint64_t> offsets;  ///< One per record, in ascending order.
  std::uint64_t next = 0;              ///< Start of the next read.
};

/// Records from the requested offset on, up to the size limit of the request.
struct ReadReply {
  std::uint64_t end = 0;        ///< Offset after the newest record.
  std::uint64_t firstKept = 0;  ///< Offset of the oldest available record.
  std::vector<std::string> records;
  /// Set when records without changes are omitted; otherwise the offsets of `records` are
  /// consecutive.
  std::optional<RecordChanges> changes;
};

/// \return the start of the next read, after `reply` to a read from `start`.
inline std::uint64_t nextOffset(std::uint64_t start, const ReadReply& reply) {
  return reply.changes ? reply.changes->next : start + reply.records.size();
}

/// The latest value of a key.
struct KeyedItem {
  std::string key;
  std::string value;
  std::uint64_t offset = 0;
};

/// One page of a key listing, in key order.
struct NewestReply {
  std::vector<KeyedItem> items;
  bool hasMore = false;   ///< The next page starts after the last item's key.
  std::uint64_t end = 0;  ///< Offset after the newest record when the page was made.
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
  Duration wait = Duration::zero();  ///< Long poll: maximum time to wait for a record.
  Duration timeLimit = milliseconds(500);
  /// Maximum size of a reply; it has at least one record if one exists. A smaller limit lets
  /// replies arrive within the time limit over a slow link.
  std::size_t maximumBytes = kMaximumReadBytes;
  /// Expected transfer time of a full reply, added to the reply timeout.
  Duration transferTime = Duration::zero();
  /// Whether the caller accepts `ReadReply::changes`, which only reader nodes send.
  bool acceptsSparseReply = false;
};

struct NewestRequest {
  PartitionAddress partition;
  std::string afterKey;
  Duration timeLimit = milliseconds(1000);
  /// Expected transfer time of a full page, added to the reply timeout.
  Duration transferTime = Duration::zero();
};

/// Asynchronous client of the store. Each callback is called exactly once, never from within the
/// call that received it.
class LogStore {
 public:
  virtual ~LogStore() = default;
  virtual void append(AppendRequest request, StoreCallback<AppendReply> callback) = 0;
  virtual void read(ReadRequest request, StoreCallback<ReadReply> callback) = 0;
  /// Lists the latest value of each key, page by page.
  virtual void listLatest(NewestRequest request, StoreCallback<NewestReply> callback) = 0;
};

/// \return a keyed record: key length in one byte, key, value. Longer keys are truncated.
std::string encodeKeyedRecord(std::string_view key, std::string_view value);
/// \return key and value; both are empty when `record` is not a keyed record.
std::pair<std::string, std::string> decodeKeyedRecord(std::string_view record);

}  // namespace gorsetrail::logstore
