#include "routing/fleet_load.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
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

NameHash nameHashOf(std::string_view name) {
  return static_cast<NameHash>(XXH64(name.data(), name.size(), 0));
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

void FleetLoad::addReports(const LoadReports& reports, double scale) {
  for (const ServiceReport& report : reports.services) {
    ServiceReport& sum = reports_.services[report.service];
    const double completed = report.completedPerSecond * scale;
    const double total = sum.completedPerSecond + completed;
    if (total > 0) {
      sum.inflation =
          (sum.inflation * sum.completedPerSecond + report.inflation * completed) / total;
    }
    sum.service = report.service;
    sum.completedPerSecond = total;
    sum.rejectedPerSecond += report.rejectedPerSecond * scale;
  }
  for (const TenantLoad& load : reports.tenants) {
    reports_.tenantLoads[{load.service, load.tenant}] += load.inFlight * scale;
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
    double logTimeFactor = 0;  // Weighted by the number of samples.
    double timeSamples = 0;
  };
  std::unordered_map<ReplicaHash, Sum> sums;
  reports_ = {};
  reports_.reportingNodes = byNode_.size();
  for (const auto& [node, entry] : byNode_) {
    const double scale = isNear(entry) ? nearScale : farScale;
    addReports(entry.digest.reports, scale);
    for (const ReplicaSpeedReport& speed : entry.digest.reports.speeds) {
      if (speed.timeFactor > 0) {
        sums[speed.replica].logTimeFactor += std::log(speed.timeFactor) * speed.samples;
        sums[speed.replica].timeSamples += speed.samples;
      }
    }
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
    replica->othersTimeSamples = sum.timeSamples;
    replica->othersTimeFactor =
        sum.timeSamples > 0 ? std::exp(sum.logTimeFactor / sum.timeSamples) : 1.0;
  }
}

}  // namespace gorsetrail::routing
