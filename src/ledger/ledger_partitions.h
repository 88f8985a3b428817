/// \file Where facts stand: which partition holds a turn and which a program's budget.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "logstore/log_store.h"

namespace gorsetrail::ledger {

/// Numbers of partitions. They are part of the format: all nodes must use the same.
struct LedgerPartitionsKnobs {
  std::uint32_t partitionsPerTopic = 8;  ///< As the store has them.
  /// Partitions of a zone's turns. Few, so that turns share appends; several, so that a home reads
  /// and keeps only a part.
  std::uint32_t turnPartitions = 4;
  std::uint32_t budgetPartitions = 8;
};

/// Partitions of a zone that a turn may stand in.
inline constexpr std::uint32_t kTurnChoices = 2;

/// Names one of the partitions that a turn may stand in.
struct TurnPlacement {
  std::string zone;
  std::uint32_t choice = 0;  ///< Below `kTurnChoices`.
  /// Its text may be read in the zone's region alone. Such turns stand in partitions of their own:
  /// whoever reads a partition gets every turn in it, and the others must stay readable elsewhere
  /// when the region is lost.
  bool confined = false;
};

/// A turn stands in a partition of the zone that answered it, so that its bytes stay there; a
/// program has one partition for its budget wherever it runs.
class LedgerPartitions {
 public:
  explicit LedgerPartitions(LedgerPartitionsKnobs knobs) : knobs_(knobs) {}

  /// Choice 0 is the turn's own partition; 1: where it stands when that one was out of order.
  [[nodiscard]] logstore::PartitionAddress ofTurn(const TurnPlacement& placement,
                                                  std::string_view turn) const;
  /// \return the zone of a partition of confined turns; nothing for every other partition.
  [[nodiscard]] static std::optional<std::string> confinedZoneOf(
      const logstore::PartitionAddress& partition);
  [[nodiscard]] logstore::PartitionAddress ofBudget(std::string_view program) const;
  /// \return all partitions that hold budgets.
  [[nodiscard]] std::vector<logstore::PartitionAddress> budgetPartitions() const;

 private:
  LedgerPartitionsKnobs knobs_;
};

}  // namespace gorsetrail::ledger
