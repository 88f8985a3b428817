#include "routing/fleet_load.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace gorsetrail::routing {
namespace {

/// \return what the sum over the nodes that were heard is multiplied by.
double scaleOf(std::size_t heard, std::size_t all) {
  return heard == 0 ? 0.0 : std::max(1.0, static_cast<double>(all) / static_cast<double>(heard));
}

}  // namespace

ReplicaHash replicaHashOf(std::string_view replicaId, std::optional<ReplicaStart> startedAt) {
  const std::uint64_t seed = startedAt ? startedAt->value() : 0;
  return static_cast<ReplicaHash>(XXH64(replicaId.data(), replicaId.size(), seed));
}

RegionHash regionHashOf(std::string_view region) {
  return static_cast<RegionHash>(XXH64(region.data(), region.size(), 0));
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

void FleetLoad::apply(const ReplicaTable& replicas, NodeCounts otherNodes, Instant now) {
  dropSilent(now);
  const auto heardNear = static_cast<std::size_t>(std::count_if(
      byNode_.begin(), byNode_.end(), [this](const auto& entry) { return isNear(entry.second); }));
  const double nearScale = scaleOf(heardNear, otherNodes.near);
  const double farScale = scaleOf(byNode_.size() - heardNear, otherNodes.far);
  struct Sum {
    double inFlight = 0;
    double failed = 0;
    double ended = 0;
  };
  std::unordered_map<ReplicaHash, Sum> sums;
  for (const auto& [node, entry] : byNode_) {
    const double scale = isNear(entry) ? nearScale : farScale;
    for (const ReplicaLoad& load : entry.digest.loads) {
      sums[load.replica].inFlight += load.inFlight * scale;
    }
    for (const ReplicaTrouble& trouble : entry.digest.troubles) {
      sums[trouble.replica].failed += trouble.failed;
      sums[trouble.replica].ended += trouble.ended;
    }
  }
  for (const ReplicaPtr& replica : replicas.all()) {
    const Sum sum = sums[replicaHashOf(replica->entry.id, replica->entry.startedAt)];
    replica->othersInFlight = sum.inFlight;
    replica->othersFailed = sum.failed;
    replica->othersEnded = sum.ended;
  }
}

}  // namespace gorsetrail::routing
