/// \file Maps turns and program budgets to partitions of the log.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "logstore/log_store.h"

namespace gorsetrail::ledger {

/// Partition counts. They are part of the stored format: all nodes must use the same.
struct LedgerPartitionsKnobs {
  std::uint32_t partitionsPerTopic = 8;  ///< Must match the store.
  /// Partitions for the turns of a zone. A small number lets turns share appends; more than one
  /// lets a coordinator read and cache only a part.
  std::uint32_t turnPartitions = 4;
  std::uint32_t budgetPartitions = 8;
};

/// The number of partitions in a zone that may hold a given turn.
inline constexpr std::uint32_t kTurnChoices = 2;

/// Identifies one of the partitions that may hold a turn.
struct TurnPlacement {
  std::string zone;
  std::uint32_t choice = 0;  ///< 0 (preferred) or 1 (fallback).
  /// Whether the turn's text must not leave the zone's region. Confined turns have separate
  /// partitions because a reader of a partition gets every turn in it, and other turns must stay
  /// readable from elsewhere when the region is lost.
  bool confined = false;
};

/// Assigns partitions by hashing. A turn is stored in a partition of the zone that answered it, so
/// that its text stays there. A program has one budget partition, wherever it runs.
class LedgerPartitions {
 public:
  explicit LedgerPartitions(LedgerPartitionsKnobs knobs) : knobs_(knobs) {}

  /// Choice 0 is the preferred partition. Choice 1 is the fallback while that one is unavailable.
  [[nodiscard]] logstore::PartitionAddress ofTurn(const TurnPlacement& placement,
                                                  std::string_view turn) const;
  /// \return the zone of a partition of confined turns; nothing for any other partition.
  [[nodiscard]] static std::optional<std::string> confinedZoneOf(
      const logstore::PartitionAddress& partition);
  [[nodiscard]] logstore::PartitionAddress ofBudget(std::string_view program) const;
  /// \return all partitions that hold budgets.
  [[nodiscard]] std::vector<logstore::PartitionAddress> budgetPartitions() const;

 private:
  LedgerPartitionsKnobs knobs_;
};

}  // namespace gorsetrail::ledger
