/// \file Turns in this node's memory: a bounded cache of what stands in the log.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <string>
#include <unordered_map>

#include "ledger/facts.h"

namespace gorsetrail::ledger {

class PartitionReader;

/// Where a cached turn stands, so that a dropped one can be read again.
struct TurnPlace {
  PartitionReader* reader = nullptr;  ///< Of the turn's partition; outlives the cache.
  std::uint64_t offset = 0;
};

/// Drops the turns used longest ago when it grows over its size.
class TurnCache {
 public:
  using DropObserver = std::function<void(const TurnPlace&)>;

  TurnCache(std::size_t maximumBytes, DropObserver onDropped)
      : maximumBytes_(maximumBytes), onDropped_(std::move(onDropped)) {}

  /// Keeps a turn, at the cost of those used longest ago.
  void put(CompletedTurn turn, TurnPlace place);
  /// Keeps a turn if there is room. \return whether it is in memory now.
  bool putIfRoom(CompletedTurn turn, TurnPlace place);
  /// \return the turn, or null; valid until the next `put`.
  const CompletedTurn* find(const std::string& request);
  [[nodiscard]] std::size_t bytes() const { return bytes_; }

 private:
  struct Entry {
    CompletedTurn turn;
    TurnPlace place;
  };
  static std::size_t sizeOf(const CompletedTurn& turn);
  void dropOldest();

  std::size_t maximumBytes_;
  DropObserver onDropped_;
  std::list<Entry> byUse_;  ///< Newest use first.
  std::unordered_map<std::string, std::list<Entry>::iterator> byRequest_;
  std::size_t bytes_ = 0;
};

}  // namespace gorsetrail::ledger
