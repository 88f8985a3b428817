#include "routing/fleet_load.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace gorsetrail::routing {
namespace {

/// \return the factor that extrapolates the sum over the reporting nodes to all nodes.
double scaleOf(std::size_t reporting, std::size_t all) {
  return reporting == 0 ? 0.0
                        : std::max(1.0, static_cast<double>(all) / static_cast<double>(reporting));
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
  // A restarted node restarts its sequence numbers, so any digest replaces an expired one.
  const bool newer = digest.digestSequence > entry.digest.digestSequence ||
                     now - entry.receivedAt > knobs_.digestExpiry;
  if (newer) {
    entry = {std::move(digest), now};
  }
}

void FleetLoad::dropStale(Instant now) {
  for (auto entry = byNode_.begin(); entry != byNode_.end();) {
    const bool isStale = now - entry->second.receivedAt > knobs_.digestExpiry;
    entry = isStale ? byNode_.erase(entry) : std::next(entry);
  }
}

void FleetLoad::apply(const ReplicaTable& replicas, NodeCounts otherNodes, Instant now) {
  dropStale(now);
  const auto nearReported = static_cast<std::size_t>(std::count_if(
      byNode_.begin(), byNode_.end(), [this](const auto& entry) { return isNear(entry.second); }));
  const double nearScale = scaleOf(nearReported, otherNodes.near);
  const double farScale = scaleOf(byNode_.size() - nearReported, otherNodes.far);
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
