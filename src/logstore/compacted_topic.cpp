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
  // A value from behind the listing's start is read again from there: taken now, it would look
  // unchanged then, and followers that go on from the start would not be told of it.
  const auto known = entries_.find(item.key);
  const bool isOlder = known != entries_.end() && item.offset < known->second.changedAt;
  if (item.offset < listing_->end && !isOlder) {
    // The true offset of the change is not known: whoever asks from further back than this one gets
    // the key once more.
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
    start_ = listing_->end;
  }
  end_ = std::max(end_, listing_->end);
  // What the listing changed has no record of its own.
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
    keepRecent(offset, record);
  }
}

void CompactedTopic::keepRecent(std::uint64_t offset, const std::string& record) {
  recent_.emplace_back(offset, record);
  if (recent_.size() > knobs_.mostRecentChanges) {
    recentStart_ = recent_.front().first + 1;
    recent_.pop_front();
  }
}

void CompactedTopic::take(std::uint64_t start, const ReadReply& reply) {
  if (!isComplete_ || start > end_) {
    return;
  }
  // Changes that a listing found stand at one offset, so the end before them decides for all.
  const std::uint64_t known = end_;
  for (std::size_t index = 0; index < reply.records.size(); ++index) {
    const std::uint64_t offset = reply.changes ? reply.changes->offsets[index] : start + index;
    if (offset >= known) {
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
    removedKeys_ -= !isNew && entry.value.empty() ? 1 : 0;
    move(key, entry, changedAt);
  }
  entry.value = value;
  return !unchanged;
}

void CompactedTopic::remove(const std::string& key, std::uint64_t changedAt) {
  const auto [found, isNew] = entries_.try_emplace(key);
  Entry& entry = found->second;
  if (isNew || !entry.value.empty()) {
    ++removedKeys_;
  }
  entry.value.clear();
  move(key, entry, changedAt);
  dropOldRemovals();
}

void CompactedTopic::move(const std::string& key, Entry& entry, std::uint64_t changedAt) {
  changes_.erase({entry.changedAt, key});
  entry.changedAt = changedAt;
  changes_.emplace(changedAt, key);
}

void CompactedTopic::dropOldRemovals() {
  if (removedKeys_ <= knobs_.mostRemovedKeys) {
    return;
  }
  // Half of them at a time: each walk over the changes pays for thousands of removals.
  for (auto change = changes_.begin();
       change != changes_.end() && removedKeys_ > knobs_.mostRemovedKeys / 2;) {
    const auto entry = entries_.find(change->second);
    if (entry->second.value.empty()) {
      start_ = change->first + 1;
      entries_.erase(entry);
      --removedKeys_;
      change = changes_.erase(change);
    } else {
      ++change;
    }
  }
}

std::optional<ReadReply> CompactedTopic::changesSince(std::uint64_t start,
                                                      std::size_t mostBytes) const {
  if (!isComplete_ || start < start_ || start > end_) {
    return std::nullopt;
  }
  return start >= recentStart_ ? recentSince(start, mostBytes) : newestSince(start, mostBytes);
}

ReadReply CompactedTopic::recentSince(std::uint64_t start, std::size_t mostBytes) const {
  ReadReply reply;
  reply.end = end_;
  reply.firstKept = start;
  reply.changes.emplace();
  std::size_t bytes = 0;
  auto change =
      std::lower_bound(recent_.begin(), recent_.end(), start,
                       [](const auto& kept, std::uint64_t offset) { return kept.first < offset; });
  for (; change != recent_.end() && bytes < mostBytes; ++change) {
    reply.changes->offsets.push_back(change->first);
    reply.records.push_back(change->second);
    bytes += change->second.size();
  }
  const bool isAll = change == recent_.end();
  reply.changes->next = isAll ? end_ : reply.changes->offsets.back() + 1;
  return reply;
}

ReadReply CompactedTopic::newestSince(std::uint64_t start, std::size_t mostBytes) const {
  ReadReply reply;
  reply.end = end_;
  reply.firstKept = start;
  reply.changes.emplace();
  std::size_t bytes = 0;
  auto change = changes_.lower_bound({start, std::string()});
  for (; change != changes_.end(); ++change) {
    const bool isSplit =
        !reply.changes->offsets.empty() && reply.changes->offsets.back() == change->first;
    if (bytes >= mostBytes && !isSplit) {
      break;  // Records of one offset stay together: the follower goes on behind it.
    }
    reply.records.push_back(
        encodeKeyedRecord(change->second, entries_.find(change->second)->second.value));
    reply.changes->offsets.push_back(change->first);
    bytes += reply.records.back().size();
  }
  const bool isAll = change == changes_.end();
  reply.changes->next = isAll ? end_ : reply.changes->offsets.back() + 1;
  return reply;
}

NewestReply CompactedTopic::page(const std::string& afterKey, std::size_t mostBytes) const {
  NewestReply reply;
  reply.end = end_;
  std::size_t bytes = 0;
  for (auto entry = entries_.upper_bound(afterKey); entry != entries_.end(); ++entry) {
    if (entry->second.value.empty()) {
      continue;
    }
    if (bytes >= mostBytes) {
      reply.hasMore = true;
      break;
    }
    reply.items.push_back({entry->first, entry->second.value, entry->second.changedAt});
    bytes += entry->first.size() + entry->second.value.size();
  }
  return reply;
}

}  // namespace gorsetrail::logstore
