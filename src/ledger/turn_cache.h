/// \file A bounded in-memory LRU cache of turns that are stored in the log.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <string>
#include <unordered_map>

#include "ledger/facts.h"

namespace gorsetrail::ledger {

class PartitionReader;

/// The position of a cached turn in the log, so that an evicted turn can be read again.
struct TurnPosition {
  PartitionReader* reader = nullptr;  ///< Reader of the turn's partition; must outlive the cache.
  std::uint64_t offset = 0;
};

/// Evicts the least recently used turns when the cache exceeds its size.
class TurnCache {
 public:
  using EvictionObserver = std::function<void(const TurnPosition&)>;

  TurnCache(std::size_t maximumBytes, EvictionObserver onEvicted)
      : maximumBytes_(maximumBytes), onEvicted_(std::move(onEvicted)) {}

  /// Adds a turn, evicting others if necessary. The newest turn is kept even if it alone exceeds
  /// the size.
  void insert(CompletedTurn turn, TurnPosition position);
  /// Adds a turn only if it fits.
  /// \return whether the turn is cached now.
  bool insertIfRoom(CompletedTurn turn, TurnPosition position);
  /// \return the turn, or null; valid until the next `insert`.
  const CompletedTurn* find(const std::string& request);
  [[nodiscard]] std::size_t bytes() const { return bytes_; }

 private:
  struct Entry {
    CompletedTurn turn;
    TurnPosition position;
  };
  static std::size_t sizeOf(const CompletedTurn& turn);
  void evictLeastRecent();

  std::size_t maximumBytes_;
  EvictionObserver onEvicted_;
  std::list<Entry> byRecency_;  ///< Most recently used first.
  std::unordered_map<std::string, std::list<Entry>::iterator> byRequest_;
  std::size_t bytes_ = 0;
};

}  // namespace gorsetrail::ledger
