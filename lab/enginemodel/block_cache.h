/// \file Prefix cache of a model engine: blocks by hash, least recently used first out.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "scheduling/prefix_chain.h"

namespace gorsetrail::enginemodel {

using scheduling::PrefixHash;

/// What happened to one block of the cache.
enum class CacheEventKind : std::uint8_t { Stored, Evicted };

/// One entry of the engine's event stream; `sequence` starts at 1 and has no gaps at the source.
struct CacheEvent {
  std::uint64_t sequence = 0;
  CacheEventKind kind = CacheEventKind::Stored;
  PrefixHash prefix;
  std::uint32_t tokens = 0;  ///< Length of the whole prefix that ends with this block.
};

/// Keeps a prefix in memory until its deadline. Set by the scheduler, under a name of its own.
struct Hold {
  std::string name;
  std::string program;
  Epoch epoch;
  PrefixHash prefix;
  Instant deadline{};
};

/// What became of a request to hold a prefix.
enum class HoldOutcome : std::uint8_t {
  Held,
  PrefixNotCached,
  StaleEpoch,     ///< A hold of that name has a higher epoch.
  LimitExceeded,  ///< Held blocks would pass the share of memory that may be held.
};

/// One prefix in memory, for the inventory.
struct CachedPrefix {
  PrefixHash prefix;
  std::uint32_t tokens = 0;
};

/// Tells when a block will be used next; the lab's clairvoyant eviction bound only.
using NextUseOracle = std::function<Instant(PrefixHash)>;

/// Blocks in memory. A block that a request uses (referenced) is never evicted; a held block is
/// not evicted before its deadline. A parent is never older than its children, so that
/// eviction always takes the end of a chain first.
class BlockCache {
 public:
  /// \param capacityBlocks blocks of memory, cached and reserved ones together.
  /// \param holdLimitBlocks blocks that holds may cover at most.
  /// \param holdsYield whether holds give way to requests that need their memory.
  BlockCache(std::uint32_t blockTokens, std::uint32_t capacityBlocks, std::uint32_t holdLimitBlocks,
             bool holdsYield);

  /// \return how many of the chain's first blocks are in memory.
  [[nodiscard]] std::size_t matchedBlocks(const std::vector<PrefixHash>& chain) const;
  /// Marks the first `count` blocks of the chain as used by one more request.
  void reference(const std::vector<PrefixHash>& chain, std::size_t count);
  /// Takes back `reference` of a request that did not start; the order of eviction stays.
  void unreference(const std::vector<PrefixHash>& chain, std::size_t count);
  /// Takes back `reference` after use, and makes the blocks the most recently used ones.
  void release(const std::vector<PrefixHash>& chain, std::size_t count);
  /// Sets memory aside for a request, evicting as needed. \return false when it does not fit.
  bool reserve(std::uint32_t blocks);
  void unreserve(std::uint32_t blocks);
  /// Turns one reserved block into a cached and referenced one.
  void store(PrefixHash parent, PrefixHash prefix, std::uint32_t depth);

  /// Stores a whole chain (a KV import), unreferenced. \return blocks stored.
  std::size_t import(const std::vector<PrefixHash>& chain);
  /// \return the chain that ends with `prefix`, empty when it is not in memory.
  [[nodiscard]] std::vector<PrefixHash> chainOf(PrefixHash prefix) const;

  HoldOutcome placeHold(const Hold& hold);
  /// \return false when there is no such hold.
  bool removeHold(std::string_view name);
  void expireHolds(Instant now);
  /// Gives up the hold whose deadline is next. \return false when there is none.
  bool dropEarliestHold();
  [[nodiscard]] std::vector<Hold> holds() const;

  /// \return events after `sequence` that are still in the bounded window.
  [[nodiscard]] std::vector<CacheEvent> eventsAfter(std::uint64_t sequence) const;
  [[nodiscard]] std::uint64_t lastSequence() const { return lastSequence_; }
  /// \return all blocks in memory, ordered by hash.
  [[nodiscard]] std::vector<CachedPrefix> inventory() const;
  [[nodiscard]] std::uint32_t cachedBlocks() const;
  [[nodiscard]] std::uint32_t reservedBlocks() const { return reserved_; }
  [[nodiscard]] std::uint32_t heldBlocks() const { return heldBlocks_; }

  /// Tells the cache the time, for the measure of idle memory only.
  void setClock(Instant now) { clock_ = now; }
  /// \return token-seconds that blocks were kept after their last use: of all evicted blocks, and
  /// of those that are unused in memory now.
  [[nodiscard]] double idleTokenSeconds() const;

  void setNextUseOracle(NextUseOracle oracle) { oracle_ = std::move(oracle); }

 private:
  struct Block {
    PrefixHash parent;
    std::uint32_t depth = 0;
    std::uint32_t references = 0;
    std::uint32_t holds = 0;
    std::uint64_t lastUse = 0;
    Instant lastUsedAt{};
  };
  struct EvictionKey {
    std::uint64_t lastUse = 0;
    std::uint32_t heightFromEnd = 0;  ///< The complement of the depth: deeper goes first.
    PrefixHash prefix;
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads the defaulted comparison.
    auto operator<=>(const EvictionKey&) const = default;
  };

  static EvictionKey keyOf(PrefixHash prefix, const Block& block);
  bool makeRoom(std::uint32_t blocks);
  void evictOldest();
  void evictFurthestNextUse(std::uint32_t count);
  void evict(PrefixHash prefix);
  void makeEvictable(PrefixHash prefix, const Block& block);
  void record(CacheEventKind kind, PrefixHash prefix, std::uint32_t depth);
  void unhold(const Hold& hold);
  [[nodiscard]] double idleTokenSecondsOf(const Block& block) const;

  std::uint32_t blockTokens_;
  std::uint32_t capacity_;
  std::uint32_t holdLimit_;
  bool holdsYield_;
  std::uint32_t reserved_ = 0;
  std::uint32_t heldBlocks_ = 0;
  std::uint64_t useClock_ = 0;
  std::uint64_t lastSequence_ = 0;
  std::unordered_map<PrefixHash, Block> blocks_;
  std::set<EvictionKey> evictable_;
  std::map<std::string, Hold, std::less<>> holds_;
  std::deque<CacheEvent> events_;
  NextUseOracle oracle_;
  Instant clock_{};
  double evictedIdleTokenSeconds_ = 0.0;
};

}  // namespace gorsetrail::enginemodel
