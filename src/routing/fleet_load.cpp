#include "routing/fleet_load.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace gorsetrail::routing {

ReplicaHash replicaHashOf(std::string_view replicaId) {
  return static_cast<ReplicaHash>(XXH64(replicaId.data(), replicaId.size(), 0));
}

void FleetLoad::onDigest(LoadDigest digest, Instant now) {
  Entry& entry = byNode_[digest.node];
  // A restarted node begins anew: a digest after a silence counts whatever its number.
  const bool newer = digest.beat > entry.digest.beat || now - entry.heardAt > knobs_.silence;
  if (newer) {
    entry = {std::move(digest), now};
  }
}

void FleetLoad::dropSilent(Instant now) {
  for (auto entry = byNode_.begin(); entry != byNode_.end();) {
    const bool silent = now - entry->second.heardAt > knobs_.silence;
    entry = silent ? byNode_.erase(entry) : std::next(entry);
  }
}

void FleetLoad::apply(const ReplicaTable& replicas, std::size_t otherNodes, Instant now) {
  dropSilent(now);
  std::unordered_map<ReplicaHash, double> sums;
  for (const auto& [node, entry] : byNode_) {
    for (const ReplicaLoad& load : entry.digest.loads) {
      sums[load.replica] += load.inFlight;
    }
  }
  const auto heard = static_cast<double>(byNode_.size());
  const double scale = heard > 0 ? std::max(1.0, static_cast<double>(otherNodes) / heard) : 0.0;
  for (const ReplicaPtr& replica : replicas.all()) {
    const auto sum = sums.find(replicaHashOf(replica->entry.id));
    replica->othersInFlight = sum == sums.end() ? 0.0 : sum->second * scale;
  }
}

}  // namespace gorsetrail::routing
