#include "edge/record_holders.h"

#include <algorithm>
#include <map>
#include <tuple>

#include "routing/weighted_rendezvous.h"

namespace gorsetrail::edge {
namespace {

struct Ranked {
  std::size_t rankInZone = 0;
  std::uint64_t score = 0;
  const ledger::NodeCandidate* node = nullptr;
};

/// Sorts by descending score, and then moves the best node of each zone to the front, followed by
/// the second of each zone, and so on.
void rankAcrossZones(std::vector<Ranked>& nodes) {
  const auto byScore = [](const Ranked& left, const Ranked& right) {
    return std::tie(left.score, left.node->address) > std::tie(right.score, right.node->address);
  };
  std::sort(nodes.begin(), nodes.end(), byScore);
  std::map<std::string_view, std::size_t> seenInZone;
  for (Ranked& ranked : nodes) {
    ranked.rankInZone = seenInZone[ranked.node->zone]++;
  }
  std::stable_sort(nodes.begin(), nodes.end(), [](const Ranked& left, const Ranked& right) {
    return left.rankInZone < right.rankInZone;
  });
}

void appendBest(const std::vector<Ranked>& nodes, std::size_t count,
                std::vector<std::string>& selected) {
  for (std::size_t index = 0; index < std::min(count, nodes.size()); ++index) {
    selected.push_back(nodes[index].node->address);
  }
}

}  // namespace

std::vector<std::string> selectHolders(const routing::RequestKey& key,
                                       const std::vector<ledger::NodeCandidate>& candidates,
                                       std::string_view ownAddress, std::string_view ownRegion,
                                       const routing::ZoneTable& zones, HolderCounts counts) {
  const std::string name = std::to_string(key.high) + "/" + std::to_string(key.low);
  std::map<std::string_view, std::vector<Ranked>> byRegion;
  for (const ledger::NodeCandidate& candidate : candidates) {
    if (candidate.address != ownAddress) {
      byRegion[zones.regionOf(candidate.zone)].push_back(
          {0, routing::rendezvousHash(name, candidate.address), &candidate});
    }
  }
  std::vector<std::string> selected;
  for (auto& [region, nodes] : byRegion) {
    rankAcrossZones(nodes);
  }
  if (const auto own = byRegion.find(ownRegion); own != byRegion.end()) {
    appendBest(own->second, counts.ownRegion, selected);
  }
  for (const auto& [region, nodes] : byRegion) {
    if (region != ownRegion) {
      appendBest(nodes, counts.otherRegion, selected);
    }
  }
  return selected;
}

}  // namespace gorsetrail::edge
