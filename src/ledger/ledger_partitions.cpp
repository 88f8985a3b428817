#include "ledger/ledger_partitions.h"

#include <xxhash.h>

namespace gorsetrail::ledger {
namespace {

constexpr const char* kTurnTopic = "turns-";
constexpr const char* kBudgetTopic = "budgets-";

logstore::PartitionAddress spread(const std::string& topicPrefix, std::string_view key,
                                  std::uint32_t partitions, std::uint32_t partitionsPerTopic) {
  const auto number = static_cast<std::uint32_t>(XXH64(key.data(), key.size(), 0) % partitions);
  return {topicPrefix + std::to_string(number / partitionsPerTopic), number % partitionsPerTopic};
}

}  // namespace

logstore::PartitionAddress LedgerPartitions::ofTurn(std::string_view zone,
                                                    std::string_view turn) const {
  std::string topicPrefix = kTurnTopic;
  topicPrefix += zone;
  topicPrefix += '-';
  return spread(topicPrefix, turn, knobs_.turnPartitions, knobs_.partitionsPerTopic);
}

logstore::PartitionAddress LedgerPartitions::ofBudget(std::string_view program) const {
  return spread(kBudgetTopic, program, knobs_.budgetPartitions, knobs_.partitionsPerTopic);
}

}  // namespace gorsetrail::ledger
