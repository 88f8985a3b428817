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
  struct Sum {
    double inFlight = 0;
    double failed = 0;
    double ended = 0;
  };
  std::unordered_map<ReplicaHash, Sum> sums;
  for (const auto& [node, entry] : byNode_) {
    for (const ReplicaLoad& load : entry.digest.loads) {
      sums[load.replica].inFlight += load.inFlight;
    }
    for (const ReplicaTrouble& trouble : entry.digest.troubles) {
      sums[trouble.replica].failed += trouble.failed;
      sums[trouble.replica].ended += trouble.ended;
    }
  }
  const auto heard = static_cast<double>(byNode_.size());
  const double scale = heard > 0 ? std::max(1.0, static_cast<double>(otherNodes) / heard) : 0.0;
  for (const ReplicaPtr& replica : replicas.all()) {
    const Sum sum = sums[replicaHashOf(replica->entry.id)];
    replica->othersInFlight = sum.inFlight * scale;
    replica->othersFailed = sum.failed;
    replica->othersEnded = sum.ended;
  }
}

}  // namespace gorsetrail::routing
