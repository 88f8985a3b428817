#include "node/core/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <array>

namespace gorsetrail::node {
namespace {

struct RankedNode {
  std::uint64_t weight = 0;
  NodeId node;
};

bool goesBefore(const RankedNode& left, const RankedNode& right) {
  if (left.weight != right.weight) {
    return left.weight > right.weight;
  }
  return left.node > right.node;
}

}  // namespace

std::vector<NodeId> highestRanked(std::span<const std::uint8_t> key,
                                  const std::vector<NodeId>& nodes, std::size_t count) {
  std::vector<RankedNode> ranked;
  ranked.reserve(nodes.size());
  for (const NodeId node : nodes) {
    ranked.push_back({XXH3_64bits_withSeed(key.data(), key.size(), node.value()), node});
  }
  const std::size_t kept = std::min(count, ranked.size());
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(kept),
                    ranked.end(), goesBefore);
  std::vector<NodeId> best;
  best.reserve(kept);
  for (std::size_t position = 0; position < kept; ++position) {
    best.push_back(ranked[position].node);
  }
  return best;
}

std::vector<NodeId> highestRanked(std::uint32_t key, const std::vector<NodeId>& nodes,
                                  std::size_t count) {
  std::array<std::uint8_t, sizeof(key)> bytes{};
  for (std::size_t position = 0; position < bytes.size(); ++position) {
    bytes[position] = static_cast<std::uint8_t>(key >> (8 * position));
  }
  return highestRanked(bytes, nodes, count);
}

}  // namespace gorsetrail::node
