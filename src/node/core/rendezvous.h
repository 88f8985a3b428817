/// \file Highest-random-weight hashing over nodes: every node ranks alike, without messages.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "base/ids.h"

namespace gorsetrail::node {

/// \return the `count` nodes of the highest weight for `key`, best first (fewer if there are
/// fewer). A node that comes or goes moves only its own keys.
std::vector<NodeId> highestRanked(std::span<const std::uint8_t> key,
                                  const std::vector<NodeId>& nodes, std::size_t count);

/// \return the same for a 32-bit key.
std::vector<NodeId> highestRanked(std::uint32_t key, const std::vector<NodeId>& nodes,
                                  std::size_t count);

}  // namespace gorsetrail::node
