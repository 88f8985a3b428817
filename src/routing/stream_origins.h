/// \file Remembers which replica software began recent event streams. No I/O, no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>

#include "base/time.h"
#include "routing/request_key.h"

namespace gorsetrail::routing {

/// Identifies a stream by the request that received its first event.
/// \param requestName the request's ID, unique across tenants; see `tenant::scopedName`.
[[nodiscard]] RequestKey streamIdOf(std::string_view requestName);

/// The replica software that began a stream. What two versions write does not fit together, so only
/// replicas of the same service and version may continue it.
struct StreamOrigin {
  std::string service;
  std::string softwareVersion;  ///< Empty: the replica's registration does not contain it.
  [[nodiscard]] bool operator==(const StreamOrigin& other) const = default;
};

/// No record of the stream exists here.
struct UnknownOrigin {};
/// Records of the stream disagree, so that it must not be continued anywhere.
struct ConflictingOrigin {};
using OriginState = std::variant<UnknownOrigin, StreamOrigin, ConflictingOrigin>;

/// Settings of `StreamOrigins`.
struct StreamOriginKnobs {
  /// The oldest records are dropped beyond this number. At 3,000 streams a second on 400 nodes with
  /// five copies of each record, a node receives 38 a second, 1,125 in 30 s.
  std::size_t maximumRecords = 16384;
};

/// Origins of streams, each kept until its expiry. A record never changes: a second one with a
/// different origin makes the stream's origin conflicting until both have expired.
class StreamOrigins {
 public:
  explicit StreamOrigins(StreamOriginKnobs knobs) : knobs_(knobs) {}

  /// Adds a record, or extends the lifetime of an equal one.
  void record(const RequestKey& stream, const StreamOrigin& origin, Instant keepUntil, Instant now);
  [[nodiscard]] OriginState find(const RequestKey& stream, Instant now) const;
  [[nodiscard]] std::size_t size() const { return records_.size(); }
  /// \return the number of records dropped before their expiry.
  [[nodiscard]] std::uint64_t droppedRecords() const { return droppedRecords_; }

 private:
  struct Record {
    OriginState state;
    Instant keepUntil;
  };
  /// Removes expired records from the front of the queue, and the oldest ones beyond the limit.
  void trim(Instant now);

  StreamOriginKnobs knobs_;
  std::unordered_map<RequestKey, Record, RequestKeyHash> records_;
  /// Streams in order of insertion, with the expiry known at that time.
  std::deque<std::pair<Instant, RequestKey>> oldestFirst_;
  std::uint64_t droppedRecords_ = 0;
};

}  // namespace gorsetrail::routing
