/// \file What the observer of a back end tells the nodes that use it.
#pragma once

#include <cstdint>
#include <variant>
#include <vector>

namespace gorsetrail::engine {

/// Load of one replica, as last reported to its observer; compact, since many are sent.
struct ReplicaLoad {
  std::uint32_t backendHash = 0;  ///< First 32 bits of the digest of the back end's name.
  std::uint16_t runningStreams = 0;
  std::uint16_t queuedRequests = 0;
  std::uint16_t cacheUsedPerMille = 0;
  std::uint16_t ageMilliseconds = 0;  ///< Of the report when it was sent on.
};

/// Bounded digest: at most `kMaximumReplicas`, those of the receiver's zone and models first.
struct LoadDigest {
  std::vector<ReplicaLoad> replicas;
};
inline constexpr std::size_t kMaximumReplicas = 32;

using ObservationMessage = std::variant<LoadDigest>;

}  // namespace gorsetrail::engine
