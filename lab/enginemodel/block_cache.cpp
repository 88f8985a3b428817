#include "lab/enginemodel/block_cache.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace gorsetrail::enginemodel {
namespace {

constexpr std::size_t kEventWindow = 16384;

}  // namespace

BlockCache::BlockCache(std::uint32_t blockTokens, std::uint32_t capacityBlocks,
                       std::uint32_t holdLimitBlocks, bool holdsYield)
    : blockTokens_(blockTokens),
      capacity_(capacityBlocks),
      holdLimit_(holdLimitBlocks),
      holdsYield_(holdsYield) {}

BlockCache::EvictionKey BlockCache::keyOf(PrefixHash prefix, const Block& block) {
  return {block.lastUse, std::numeric_limits<std::uint32_t>::max() - block.depth, prefix};
}

std::size_t BlockCache::matchedBlocks(const std::vector<PrefixHash>& chain) const {
  std::size_t count = 0;
  while (count < chain.size() && blocks_.contains(chain[count])) {
    ++count;
  }
  return count;
}

void BlockCache::reference(const std::vector<PrefixHash>& chain, std::size_t count) {
  for (std::size_t index = 0; index < count; ++index) {
    Block& block = blocks_.at(chain[index]);
    if (block.references == 0 && block.holds == 0) {
      evictable_.erase(keyOf(chain[index], block));
    }
    ++block.references;
  }
}

void BlockCache::unreference(const std::vector<PrefixHash>& chain, std::size_t count) {
  for (std::size_t index = 0; index < count; ++index) {
    Block& block = blocks_.at(chain[index]);
    --block.references;
    makeEvictable(chain[index], block);
  }
}

void BlockCache::release(const std::vector<PrefixHash>& chain, std::size_t count) {
  ++useClock_;
  for (std::size_t index = 0; index < count; ++index) {
    Block& block = blocks_.at(chain[index]);
    --block.references;
    block.lastUse = useClock_;
    block.lastUsedAt = clock_;
    makeEvictable(chain[index], block);
  }
}

void BlockCache::makeEvictable(PrefixHash prefix, const Block& block) {
  if (block.references == 0 && block.holds == 0) {
    evictable_.insert(keyOf(prefix, block));
  }
}

bool BlockCache::reserve(std::uint32_t blocks) {
  if (!makeRoom(blocks)) {
    return false;
  }
  reserved_ += blocks;
  return true;
}

void BlockCache::unreserve(std::uint32_t blocks) { reserved_ -= blocks; }

bool BlockCache::makeRoom(std::uint32_t blocks) {
  const std::uint64_t wanted = std::uint64_t{cachedBlocks()} + reserved_ + blocks;
  if (wanted <= capacity_) {
    return true;
  }
  const std::uint64_t excess = wanted - capacity_;
  while (holdsYield_ && excess > evictable_.size() && dropEarliestHold()) {
  }
  if (excess > evictable_.size()) {
    return false;
  }
  if (oracle_) {
    evictFurthestNextUse(static_cast<std::uint32_t>(excess));
    return true;
  }
  for (std::uint64_t count = 0; count < excess; ++count) {
    evictOldest();
  }
  return true;
}

void BlockCache::evictOldest() { evict(evictable_.begin()->prefix); }

void BlockCache::evictFurthestNextUse(std::uint32_t count) {
  struct Candidate {
    Instant nextUse;
    std::uint32_t depth;
    PrefixHash prefix;
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads the defaulted comparison.
    auto operator<=>(const Candidate&) const = default;
  };
  std::vector<Candidate> candidates;
  candidates.reserve(evictable_.size());
  for (const EvictionKey& key : evictable_) {
    candidates.push_back({oracle_(key.prefix), blocks_.at(key.prefix).depth, key.prefix});
  }
  std::nth_element(candidates.begin(), candidates.begin() + (count - 1), candidates.end(),
                   std::greater<>());
  for (std::uint32_t index = 0; index < count; ++index) {
    evict(candidates[index].prefix);
  }
}

void BlockCache::evict(PrefixHash prefix) {
  const auto found = blocks_.find(prefix);
  evictable_.erase(keyOf(prefix, found->second));
  evictedIdleTokenSeconds_ += idleTokenSecondsOf(found->second);
  record(CacheEventKind::Evicted, prefix, found->second.depth);
  blocks_.erase(found);
}

void BlockCache::store(PrefixHash parent, PrefixHash prefix, std::uint32_t depth) {
  --reserved_;
  const auto [position, added] = blocks_.try_emplace(prefix);
  Block& block = position->second;
  if (!added) {
    // Another request computed the same block meanwhile; the second copy is dropped.
    if (block.references == 0 && block.holds == 0) {
      evictable_.erase(keyOf(prefix, block));
    }
    ++block.references;
    return;
  }
  block.parent = parent;
  block.depth = depth;
  block.references = 1;
  block.lastUse = useClock_;
  block.lastUsedAt = clock_;
  record(CacheEventKind::Stored, prefix, depth);
}

std::size_t BlockCache::import(const std::vector<PrefixHash>& chain) {
  const std::size_t present = matchedBlocks(chain);
  reference(chain, present);
  const auto missing = static_cast<std::uint32_t>(chain.size() - present);
  if (!reserve(missing)) {
    release(chain, present);
    return 0;
  }
  for (std::size_t index = present; index < chain.size(); ++index) {
    const PrefixHash parent = index == 0 ? PrefixHash() : chain[index - 1];
    store(parent, chain[index], static_cast<std::uint32_t>(index + 1));
  }
  release(chain, chain.size());
  return missing;
}

std::vector<PrefixHash> BlockCache::chainOf(PrefixHash prefix) const {
  std::vector<PrefixHash> chain;
  for (auto found = blocks_.find(prefix); found != blocks_.end();
       found = blocks_.find(found->second.parent)) {
    chain.push_back(found->first);
  }
  std::reverse(chain.begin(), chain.end());
  // A chain whose beginning was lost is of no use to anybody.
  const bool whole = !chain.empty() && blocks_.at(chain.front()).depth == 1;
  return whole ? chain : std::vector<PrefixHash>();
}

HoldOutcome BlockCache::placeHold(const Hold& hold) {
  const auto existing = holds_.find(hold.name);
  if (existing != holds_.end() && existing->second.epoch > hold.epoch) {
    return HoldOutcome::StaleEpoch;
  }
  const std::vector<PrefixHash> chain = chainOf(hold.prefix);
  if (chain.empty()) {
    return HoldOutcome::PrefixNotCached;
  }
  const auto added = static_cast<std::uint32_t>(
      std::count_if(chain.begin(), chain.end(),
                    [this](PrefixHash prefix) { return blocks_.at(prefix).holds == 0; }));
  if (heldBlocks_ + added > holdLimit_) {
    return HoldOutcome::LimitExceeded;
  }
  for (const PrefixHash prefix : chain) {
    Block& block = blocks_.at(prefix);
    if (block.references == 0 && block.holds == 0) {
      evictable_.erase(keyOf(prefix, block));
    }
    heldBlocks_ += block.holds == 0 ? 1 : 0;
    ++block.holds;
  }
  // The old hold goes only after the new one stands, so that shared blocks are never free between.
  if (existing != holds_.end()) {
    unhold(existing->second);
  }
  holds_[hold.name] = hold;
  return HoldOutcome::Held;
}

void BlockCache::unhold(const Hold& hold) {
  for (const PrefixHash prefix : chainOf(hold.prefix)) {
    Block& block = blocks_.at(prefix);
    --block.holds;
    heldBlocks_ -= block.holds == 0 ? 1 : 0;
    makeEvictable(prefix, block);
  }
}

bool BlockCache::removeHold(std::string_view name) {
  const auto found = holds_.find(name);
  if (found == holds_.end()) {
    return false;
  }
  unhold(found->second);
  holds_.erase(found);
  return true;
}

void BlockCache::expireHolds(Instant now) {
  for (auto position = holds_.begin(); position != holds_.end();) {
    if (position->second.deadline > now) {
      ++position;
      continue;
    }
    unhold(position->second);
    position = holds_.erase(position);
  }
}

bool BlockCache::dropEarliestHold() {
  const auto earliest = std::min_element(
      holds_.begin(), holds_.end(),
      [](const auto& a, const auto& b) { return a.second.deadline < b.second.deadline; });
  return earliest != holds_.end() && removeHold(std::string(earliest->first));
}

std::vector<Hold> BlockCache::holds() const {
  std::vector<Hold> result;
  for (const auto& [name, hold] : holds_) {
    result.push_back(hold);
  }
  return result;
}

void BlockCache::record(CacheEventKind kind, PrefixHash prefix, std::uint32_t depth) {
  ++lastSequence_;
  events_.push_back({lastSequence_, kind, prefix, depth * blockTokens_});
  if (events_.size() > kEventWindow) {
    events_.pop_front();
  }
}

std::vector<CacheEvent> BlockCache::eventsAfter(std::uint64_t sequence) const {
  const auto first = std::partition_point(
      events_.begin(), events_.end(),
      [sequence](const CacheEvent& event) { return event.sequence <= sequence; });
  return {first, events_.end()};
}

std::vector<CachedPrefix> BlockCache::inventory() const {
  std::vector<CachedPrefix> result;
  result.reserve(blocks_.size());
  for (const auto& [prefix, block] : blocks_) {
    result.push_back({prefix, block.depth * blockTokens_});
  }
  std::sort(result.begin(), result.end(),
            [](const CachedPrefix& a, const CachedPrefix& b) { return a.prefix < b.prefix; });
  return result;
}

double BlockCache::idleTokenSecondsOf(const Block& block) const {
  const std::chrono::duration<double> idle = clock_ - block.lastUsedAt;
  return idle.count() * blockTokens_;
}

double BlockCache::idleTokenSeconds() const {
  double total = evictedIdleTokenSeconds_;
  for (const auto& [prefix, block] : blocks_) {
    total += block.references == 0 ? idleTokenSecondsOf(block) : 0.0;
  }
  return total;
}

std::uint32_t BlockCache::cachedBlocks() const {
  return static_cast<std::uint32_t>(blocks_.size());
}

}  // namespace gorsetrail::enginemodel
