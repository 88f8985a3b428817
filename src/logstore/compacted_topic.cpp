#include "logstore/compacted_topic.h"

#include <algorithm>
#include <vector>

namespace gorsetrail::logstore {

void CompactedTopic::beginListing(std::uint64_t end) { listing_ = Listing{end, {}}; }

void CompactedTopic::addListed(const KeyedItem& item) {
  if (!listing_) {
    return;
  }
  listing_->keys.insert(item.key);
  // A value at or after the listing's end offset is read again from there. If it were set now, that
  // read would see it as unchanged, and followers reading from that offset would miss the change.
  const auto existing = entries_.find(item.key);
  const bool isOlder = existing != entries_.end() && item.offset < existing->second.changedAt;
  if (item.offset < listing_->end && !isOlder) {
    // The true offset of the change is not known. The latest possible one is used, so that
    // followers may receive the key twice but never miss it.
    set(item.key, item.value, listing_->end - 1);
  }
}

void CompactedTopic::endListing() {
  if (!listing_) {
    return;
  }
  const std::uint64_t before = listing_->end == 0 ? 0 : listing_->end - 1;
  std::vector<std::string> missing;
  for (const auto& [key, entry] : entries_) {
    const bool isCovered = entry.changedAt < listing_->end;
    if (isCovered && !entry.value.empty() && !listing_->keys.contains(key)) {
      missing.push_back(key);
    }
  }
  for (const std::string& key : missing) {
    remove(key, before);
  }
  if (!isComplete_) {
    firstAvailable_ = listing_->end;
  }
  end_ = std::max(end_, listing_->end);
  // Changes found by the listing have no records in `recent_`, so it is no longer gapless.
  recent_.clear();
  recentStart_ = end_;
  isComplete_ = true;
  listing_.reset();
}

void CompactedTopic::apply(std::uint64_t offset, const std::string& record) {
  end_ = std::max(end_, offset + 1);
  const auto [key, value] = decodeKeyedRecord(record);
  if (key.empty()) {
    return;
  }
  bool isChange = true;
  if (value.empty()) {
    remove(key, offset);
  } else {
    isChange = set(key, value, offset);
  }
  if (isChange) {
    recordRecentChange(offset, record);
  }
}

void CompactedTopic::recordRecentChange(std::uint64_t offset, const std::string& record) {
  recent_.emplace_back(offset, record);
  if (recent_.size() > knobs_.maximumRecentChanges) {
    recentStart_ = recent_.front().first + 1;
    recent_.pop_front();
  }
}

void CompactedTopic::applyReply(std::uint64_t start, const ReadReply& reply) {
  if (!isComplete_ || start > end_) {
    return;
  }
  // Several records may share one offset, because changes found by a listing do. All are compared
  // with the end before the reply, so that the first does not cause the others to be skipped.
  const std::uint64_t previousEnd = end_;
  for (std::size_t index = 0; index < reply.records.size(); ++index) {
    const std::uint64_t offset = reply.changes ? reply.changes->offsets[index] : start + index;
    if (offset >= previousEnd) {
      apply(offset, reply.records[index]);
    }
  }
  end_ = std::max(end_, nextOffset(start, reply));
}

bool CompactedTopic::set(const std::string& key, const std::string& value,
                         std::uint64_t changedAt) {
  const auto [found, isNew] = entries_.try_emplace(key);
  Entry& entry = found->second;
  const bool unchanged = !isNew && !entry.value.empty() && isUnchanged_(entry.value, value);
  if (!unchanged) {
    tombstoneCount_ -= !isNew && entry.value.empty() ? 1 : 0;
    setChangeOffset(key, entry, changedAt);
  }
  entry.value = value;
  return !unchanged;
}

void CompactedTopic::remove(const std::string& key, std::uint64_t changedAt) {
  const auto [found, isNew] = entries_.try_emplace(key);
  Entry& entry = found->second;
  if (isNew || !entry.value.empty()) {
    ++tombstoneCount_;
  }
  entry.value.clear();
  setChangeOffset(key, entry, changedAt);
  evictTombstones();
}

void CompactedTopic::setChangeOffset(const std::string& key, Entry& entry,
                                     std::uint64_t changedAt) {
  changes_.erase({entry.changedAt, key});
  entry.changedAt = changedAt;
  changes_.emplace(changedAt, key);
}

void CompactedTopic::evictTombstones() {
  if (tombstoneCount_ <= knobs_.maximumRemovedKeys) {
    return;
  }
  // Evicts half of the limit at once, so that the scan over all changes is rare.
  for (auto change = changes_.begin();
       change != changes_.end() && tombstoneCount_ > knobs_.maximumRemovedKeys / 2;) {
    const auto entry = entries_.find(change->second);
    if (entry->second.value.empty()) {
      firstAvailable_ = change->first + 1;
      entries_.erase(entry);
      --tombstoneCount_;
      change = changes_.erase(change);
    } else {
      ++change;
    }
  }
}

std::optional<ReadReply> CompactedTopic::changesSince(std::uint64_t start,
                                                      std::size_t maximumBytes) const {
  if (!isComplete_ || start < firstAvailable_ || start > end_) {
    return std::nullopt;
  }
  return start >= recentStart_ ? recentChangesSince(start, maximumBytes)
                               : latestValuesSince(start, maximumBytes);
}

ReadReply CompactedTopic::recentChangesSince(std::uint64_t start, std::size_t maximumBytes) const {
  ReadReply reply;
  reply.end = end_;
  reply.firstKept = start;
  reply.changes.emplace();
  std::size_t bytes = 0;
  auto change =
      std::lower_bound(recent_.begin(), recent_.end(), start,
                       [](const auto& kept, std::uint64_t offset) { return kept.first < offset; });
  for (; change != recent_.end() && bytes < maximumBytes; ++change) {
    reply.changes->offsets.push_back(change->first);
    reply.records.push_back(change->second);
    bytes += change->second.size();
  }
  const bool reachedEnd = change == recent_.end();
  reply.changes->next = reachedEnd ? end_ : reply.changes->offsets.back() + 1;
  return reply;
}

ReadReply CompactedTopic::latestValuesSince(std::uint64_t start, std::size_t maximumBytes) const {
  ReadReply reply;
  reply.end = end_;
  reply.firstKept = start;
  reply.changes.emplace();
  std::size_t bytes = 0;
  auto change = changes_.lower_bound({start, std::string()});
  for (; change != changes_.end(); ++change) {
    const bool isSplit =
        !reply.changes->offsets.empty() && reply.changes->offsets.back() == change->first;
    if (bytes >= maximumBytes && !isSplit) {
      break;  // Records of one offset stay together: the next read starts after that offset.
    }
    reply.records.push_back(
        encodeKeyedRecord(change->second, entries_.find(change->second)->second.value));
    reply.changes->offsets.push_back(change->first);
    bytes += reply.records.back().size();
  }
  const bool reachedEnd = change == changes_.end();
  reply.changes->next = reachedEnd ? end_ : reply.changes->offsets.back() + 1;
  return reply;
}

NewestReply CompactedTopic::page(const std::string& afterKey, std::size_t maximumBytes) const {
  NewestReply reply;
  reply.end = end_;
  std::size_t bytes = 0;
  for (auto entry = entries_.upper_bound(afterKey); entry != entries_.end(); ++entry) {
    if (entry->second.value.empty()) {
      continue;
    }
    if (bytes >= maximumBytes) {
      reply.hasMore = true;
      break;
    }
    reply.items.push_back({entry->first, entry->second.value, entry->second.changedAt});
    bytes += entry->first.size() + entry->second.value.size();
  }
  return reply;
}

}  // namespace gorsetrail::logstore
