/// \file The newest record of every key of one partition, with the offset at which each last
/// changed.
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

/// \return whether a keyed record's new value says nothing that the old one did not.
using IsUnchanged = std::function<bool(const std::string& oldValue, const std::string& newValue)>;

/// Knobs of `CompactedTopic`.
struct CompactedTopicKnobs {
  /// Removed keys that are remembered, so that a follower which was away learns of them. Ten
  /// thousand are 1 MB; a follower further behind lists anew.
  std::size_t mostRemovedKeys = 10000;
  /// Changes that are kept one by one, so that followers see each of several of one key, such as a
  /// replica that drains and is ready again between two reads. 1 MB at 250 B; a follower further
  /// behind gets the newest of each key.
  std::size_t mostRecentChanges = 4000;
};

/// A node's copy of a keyed partition. It is filled by the node's follower and its gateway, from
/// the store or from another node's copy, and answers other nodes from what it holds: a page of the
/// listing, or the changes since an offset. Heartbeats that change nothing only move its end, so
/// its size follows the number of keys and not the rate of records. No I/O, no clock.
class CompactedTopic {
 public:
  explicit CompactedTopic(IsUnchanged isUnchanged, CompactedTopicKnobs knobs = {})
      : isUnchanged_(std::move(isUnchanged)), knobs_(knobs) {}

  /// A listing began whose first page was made when the partition ended here. What stood before is
  /// kept until the listing is whole.
  void beginListing(std::uint64_t end);
  void addListed(const KeyedItem& item);
  /// The listing is whole: keys that it lacks are removed.
  void endListing();
  /// \return whether a listing was read whole, so that other nodes can be answered.
  [[nodiscard]] bool isComplete() const { return isComplete_; }

  /// Takes a reply to a read from `start`; records that were taken before are passed over, and so
  /// is a reply that begins behind the copy's end.
  void take(std::uint64_t start, const ReadReply& reply);
  /// \return the offset behind the last record taken.
  [[nodiscard]] std::uint64_t end() const { return end_; }

  /// \return the records that changed a key from `start` on, or the newest of each such key where
  /// they are too many, in the log's order, at least one and about `mostBytes`; nothing when
  /// `start` is older or newer than what is kept here.
  [[nodiscard]] std::optional<ReadReply> changesSince(std::uint64_t start,
                                                      std::size_t mostBytes) const;
  /// \return the keys after this one, about `mostBytes`. Call only when complete.
  [[nodiscard]] NewestReply page(const std::string& afterKey, std::size_t mostBytes) const;
  [[nodiscard]] std::size_t keys() const { return entries_.size() - removedKeys_; }

 private:
  void apply(std::uint64_t offset, const std::string& record);

  /// An empty value: the key was removed.
  struct Entry {
    std::string value;
    std::uint64_t changedAt = 0;
  };
  struct Listing {
    std::uint64_t end = 0;
    std::set<std::string> keys;
  };

  /// \return whether the value says something new.
  bool set(const std::string& key, const std::string& value, std::uint64_t changedAt);
  void remove(const std::string& key, std::uint64_t changedAt);
  void move(const std::string& key, Entry& entry, std::uint64_t changedAt);
  void dropOldRemovals();
  void keepRecent(std::uint64_t offset, const std::string& record);
  [[nodiscard]] ReadReply recentSince(std::uint64_t start, std::size_t mostBytes) const;
  [[nodiscard]] ReadReply newestSince(std::uint64_t start, std::size_t mostBytes) const;

  IsUnchanged isUnchanged_;
  CompactedTopicKnobs knobs_;
  std::map<std::string, Entry> entries_;
  std::set<std::pair<std::uint64_t, std::string>> changes_;   ///< Offset and key, one a key.
  std::deque<std::pair<std::uint64_t, std::string>> recent_;  ///< Offset and record.
  std::uint64_t recentStart_ = 0;  ///< `recent_` has every change from here on.
  std::size_t removedKeys_ = 0;
  std::uint64_t start_ = 0;  ///< Changes are known from here on.
  std::uint64_t end_ = 0;
  bool isComplete_ = false;
  std::optional<Listing> listing_;
};

}  // namespace gorsetrail::logstore
