#include "ledger/rendezvous_selector.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace gorsetrail::ledger {
namespace {

constexpr double kSmallestCapacity = 0.01;

/// Weighted rendezvous hashing: a candidate wins with a probability proportional to its capacity.
double scoreOf(const std::string& key, const NodeCandidate& candidate) {
  const std::uint64_t seed = XXH64(key.data(), key.size(), 0);
  const std::uint64_t hash = XXH64(candidate.address.data(), candidate.address.size(), seed);
  const double fraction = (static_cast<double>(hash >> 11U) + 0.5) / std::ldexp(1.0, 53);
  return std::max(candidate.capacity, kSmallestCapacity) / -std::log(fraction);
}

}  // namespace

bool RendezvousSelector::isSuspect(const std::string& address, Instant now) const {
  const auto found = suspectUntil_.find(address);
  return found != suspectUntil_.end() && now < found->second;
}

void RendezvousSelector::suspect(const std::string& address, Instant now) {
  suspectUntil_[address] = now + knobs_.suspicionTime;
}

std::vector<std::string> RendezvousSelector::selectNodes(
    const logstore::PartitionAddress& partition, const std::string& zone,
    const std::vector<NodeCandidate>& candidates, Instant now) const {
  const std::string key = partition.topic + "/" + std::to_string(partition.partition);
  const bool hasZone =
      !zone.empty() && std::any_of(candidates.begin(), candidates.end(),
                                   [&](const NodeCandidate& one) { return one.zone == zone; });
  struct Ranked {
    bool suspect;
    double score;
    const std::string* address;
  };
  std::vector<Ranked> ranked;
  for (const NodeCandidate& candidate : candidates) {
    if (!hasZone || candidate.zone == zone) {
      ranked.push_back(
          {isSuspect(candidate.address, now), scoreOf(key, candidate), &candidate.address});
    }
  }
  const std::size_t count = std::min(knobs_.nodesPerPartition, ranked.size());
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
                    ranked.end(), [](const Ranked& left, const Ranked& right) {
                      return left.suspect != right.suspect ? right.suspect
                                                           : left.score > right.score;
                    });
  std::vector<std::string> selected;
  for (std::size_t index = 0; index < count; ++index) {
    selected.push_back(*ranked[index].address);
  }
  return selected;
}

}  // namespace gorsetrail::ledger
