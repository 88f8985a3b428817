/// \file When which crowd of hostile clients comes to which node of a soak.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "lab/hostile/hostile_crowd.h"

namespace gorsetrail::lab {

/// What a crowd does; see `crowdScript`.
enum class CrowdKind : std::uint8_t {
  AnnouncedBodies,
  LargeChunks,
  ChunksOfOneByte,
  Trailers,
  ChunkExtension,
  IdleConnections,
  UnfinishedHeads,
  Pipelined,
  Traces,
};
inline constexpr std::size_t kCrowdKinds = 9;

/// \return the name of the kind in reports.
[[nodiscard]] std::string_view crowdKindName(CrowdKind kind);

/// What the clients of a crowd send, and how many they are.
struct CrowdScript {
  HostileScript script;
  std::size_t connections = 0;
};

/// \return the script of a crowd. None of its requests may reach a replica.
[[nodiscard]] CrowdScript crowdScript(CrowdKind kind);

/// One crowd at one node.
struct PlannedCrowd {
  Duration at{};
  Duration duration{};
  std::size_t node = 0;
  CrowdKind kind = CrowdKind::AnnouncedBodies;
};

/// \return crowds beside the other faults of a soak; they overlap.
[[nodiscard]] std::vector<PlannedCrowd> planCrowds(std::uint64_t seed, Duration length,
                                                   std::size_t nodes);
/// \return one crowd of each kind at changing nodes, one after another.
[[nodiscard]] std::vector<PlannedCrowd> planQuietCrowds(std::uint64_t seed, std::size_t nodes);

}  // namespace gorsetrail::lab
