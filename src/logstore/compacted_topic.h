/// \file In-memory view of a keyed partition: the latest value of each key, with the offset of its
/// last change.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "logstore/log_store.h"

namespace gorsetrail::logstore {

/// \return whether the new value of a key is equivalent to the old one, as in a plain heartbeat.
using IsUnchanged = std::function<bool(const std::string& oldValue, const std::string& newValue)>;

/// Settings of `CompactedTopic`.
struct CompactedTopicKnobs {
  /// Maximum number of tombstones, about 100 B each. Followers that lag behind the oldest one have
  /// to list all keys again.
  std::size_t maximumRemovedKeys = 10000;
  /// Maximum number of individual changes, about 250 B each. They let followers see intermediate
  /// values, such as a replica that drains and becomes ready again between two reads. Followers
  /// that lag further behind receive only the latest value of each key.
  std::size_t maximumRecentChanges = 4000;
};

/// A node's copy of a keyed partition, from which it serves other nodes: pages of a key listing, or
/// the changes since an offset. The node's follower and gateway update it from the store or from
/// another node's copy. Records that change nothing only advance its end, so its size depends on
/// the number of keys and not on the record rate. It does no I/O and reads no clock.
class CompactedTopic {
 public:
  explicit CompactedTopic(IsUnchanged isUnchanged, CompactedTopicKnobs knobs = {})
      : isUnchanged_(std::move(isUnchanged)), knobs_(knobs) {}

  /// Starts a listing. The present contents stay available until `endListing`.
  /// \param end end offset of the partition when the first page was made.
  void beginListing(std::uint64_t end);
  void addListed(const KeyedItem& item);
  /// Completes the listing and removes the keys that were not listed.
  void endListing();
  /// \return whether a listing was completed, so that other nodes can be served.
  [[nodiscard]] bool isComplete() const { return isComplete_; }

  /// Applies the reply to a read from `start`. Records before `end()` are skipped, because they
  /// were applied already; so is a whole reply whose `start` is after `end()`, because records
  /// between the two would be missed.
  void applyReply(std::uint64_t start, const ReadReply& reply);
  /// \return the offset after the last record applied.
  [[nodiscard]] std::uint64_t end() const { return end_; }

  /// Returns changes in log order, about `maximumBytes` of them and at least one if there is any.
  /// \return the individual changes from `start` on, or only the latest one of each key when
  /// individual changes from `start` are no longer available; nothing when `start` is outside the
  /// offsets that this copy covers.
  [[nodiscard]] std::optional<ReadReply> changesSince(std::uint64_t start,
                                                      std::size_t maximumBytes) const;
  /// Requires `isComplete()`.
  /// \return the keys after `afterKey` in key order, about `maximumBytes` of them.
  [[nodiscard]] NewestReply page(const std::string& afterKey, std::size_t maximumBytes) const;
  /// \return the number of keys, without tombstones.
  [[nodiscard]] std::size_t keys() const { return entries_.size() - tombstoneCount_; }

 private:
  void apply(std::uint64_t offset, const std::string& record);

  /// An empty value is a tombstone.
  struct Entry {
    std::string value;
    std::uint64_t changedAt = 0;
  };
  struct Listing {
    std::uint64_t end = 0;
    std::set<std::string> keys;
  };

  /// \return whether the value is a change, as opposed to equivalent.
  bool set(const std::string& key, const std::string& value, std::uint64_t changedAt);
  void remove(const std::string& key, std::uint64_t changedAt);
  void setChangeOffset(const std::string& key, Entry& entry, std::uint64_t changedAt);
  void evictTombstones();
  void recordRecentChange(std::uint64_t offset, const std::string& record);
  [[nodiscard]] ReadReply recentChangesSince(std::uint64_t start, std::size_t maximumBytes) const;
  [[nodiscard]] ReadReply latestValuesSince(std::uint64_t start, std::size_t maximumBytes) const;

  IsUnchanged isUnchanged_;
  CompactedTopicKnobs knobs_;
  std::map<std::string, Entry> entries_;
  std::set<std::pair<std::uint64_t, std::string>> changes_;   ///< Offset and key; one per key.
  std::deque<std::pair<std::uint64_t, std::string>> recent_;  ///< Offset and record.
  std::uint64_t recentStart_ = 0;  ///< `recent_` holds every change from here on.
  std::size_t tombstoneCount_ = 0;
  std::uint64_t firstAvailable_ = 0;  ///< Older changes are not available.
  std::uint64_t end_ = 0;
  bool isComplete_ = false;
  std::optional<Listing> listing_;
};

}  // namespace gorsetrail::logstore
