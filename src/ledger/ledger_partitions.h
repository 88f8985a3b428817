/// \file Where facts stand: which partition holds a turn and which a program's budget.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

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

/// A turn stands in a partition of the zone that answered it, so that its bytes stay there; a
/// program has one partition for its budget wherever it runs.
class LedgerPartitions {
 public:
  explicit LedgerPartitions(LedgerPartitionsKnobs knobs) : knobs_(knobs) {}

  [[nodiscard]] logstore::PartitionAddress ofTurn(std::string_view zone,
                                                  std::string_view turn) const;
  [[nodiscard]] logstore::PartitionAddress ofBudget(std::string_view program) const;

 private:
  LedgerPartitionsKnobs knobs_;
};

}  // namespace gorsetrail::ledger
