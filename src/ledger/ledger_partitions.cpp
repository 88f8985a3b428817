#include "ledger/ledger_partitions.h"

#include <xxhash.h>

namespace gorsetrail::ledger {
namespace {

constexpr const char* kTurnTopic = "turns-";
constexpr const char* kConfinedTurnTopic = "confined-turns-";
constexpr const char* kBudgetTopic = "budgets-";

logstore::PartitionAddress addressOf(const std::string& topicPrefix, std::uint64_t index,
                                     std::uint32_t partitionsPerTopic) {
  const auto number = static_cast<std::uint32_t>(index);
  return {topicPrefix + std::to_string(number / partitionsPerTopic), number % partitionsPerTopic};
}

}  // namespace

logstore::PartitionAddress LedgerPartitions::ofTurn(const TurnPlacement& placement,
                                                    std::string_view turn) const {
  std::string topicPrefix = placement.confined ? kConfinedTurnTopic : kTurnTopic;
  topicPrefix += placement.zone;
  topicPrefix += '-';
  const std::uint64_t hash = XXH64(turn.data(), turn.size(), 0);
  const std::uint64_t others = knobs_.turnPartitions - 1;
  // The fallback partitions of turns with the same preferred partition are spread over all others.
  const std::uint64_t step =
      placement.choice == 0 || others == 0 ? 0 : 1 + hash / knobs_.turnPartitions % others;
  return addressOf(topicPrefix, (hash + step) % knobs_.turnPartitions, knobs_.partitionsPerTopic);
}

std::optional<std::string> LedgerPartitions::confinedZoneOf(
    const logstore::PartitionAddress& partition) {
  const std::string_view prefix = kConfinedTurnTopic;
  const std::string& topic = partition.topic;
  const std::size_t end = topic.rfind('-');  // Start of the topic's number.
  if (!topic.starts_with(prefix) || end < prefix.size()) {
    return std::nullopt;
  }
  return topic.substr(prefix.size(), end - prefix.size());
}

logstore::PartitionAddress LedgerPartitions::ofBudget(std::string_view program) const {
  const std::uint64_t hash = XXH64(program.data(), program.size(), 0);
  return addressOf(kBudgetTopic, hash % knobs_.budgetPartitions, knobs_.partitionsPerTopic);
}

std::vector<logstore::PartitionAddress> LedgerPartitions::budgetPartitions() const {
  std::vector<logstore::PartitionAddress> partitions;
  for (std::uint32_t index = 0; index < knobs_.budgetPartitions; ++index) {
    partitions.push_back(addressOf(kBudgetTopic, index, knobs_.partitionsPerTopic));
  }
  return partitions;
}

}  // namespace gorsetrail::ledger
