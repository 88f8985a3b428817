#include "scheduling/rendezvous.h"

#include <xxhash.h>

#include <cstring>

namespace gorsetrail::scheduling {

std::uint64_t rendezvousWeight(const ProgramId& program, std::string_view replicaName) {
  std::uint64_t seed = 0;
  std::memcpy(&seed, program.bytes.data(), sizeof(seed));
  return XXH64(replicaName.data(), replicaName.size(), seed);
}

std::optional<ReplicaIndex> rendezvousChoice(const ProgramId& program,
                                             const std::vector<ReplicaIndex>& candidates,
                                             const std::vector<ReplicaView>& replicas) {
  std::optional<ReplicaIndex> best;
  std::uint64_t bestWeight = 0;
  for (const ReplicaIndex candidate : candidates) {
    const std::uint64_t weight = rendezvousWeight(program, replicas[candidate.value()].name);
    if (!best || weight > bestWeight) {
      best = candidate;
      bestWeight = weight;
    }
  }
  return best;
}

}  // namespace gorsetrail::scheduling
