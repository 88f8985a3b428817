#include "scheduling/prefix_affinity_policy.h"

#include <algorithm>

#include "scheduling/replica_load.h"

namespace gorsetrail::scheduling {
namespace {

/// Up to so many candidates are all weighed; beyond it, a sample avoids that every node with the
/// same old report picks the same idle replica.
constexpr std::size_t kWeighAllUpTo = 32;
constexpr std::size_t kSampleSize = 4;

/// Engine time of one prompt token.
constexpr double kMillisecondsPerPromptToken = 0.04;
/// While an engine computes a prompt, every stream in its batch waits. A token computed again thus
/// costs several times its own time, and more where cache waste weighs more than latency.
constexpr double kLeastExternality = 4.0;
constexpr double kAddedExternality = 4.0;
/// A program that moves leaves a prefix behind that nobody will use, and evicts another's.
constexpr double kMoveFactor = 3.0;
/// A first call has only shared parts in common with others; computing them once more spreads them
/// over idle replicas.
constexpr double kFirstCallFactor = 0.3;
/// What one more stream in the batch, and one more request in the queue, cost a new call.
constexpr double kMillisecondsPerRequest = 60.0;
constexpr double kMillisecondsPerQueuedRequest = 250.0;
/// A report this old counts half: the rest of the load is taken from this node's own calls.
constexpr double kReportHalfLifeMilliseconds = 2000.0;
/// Share of the cost by which a replica without the prefix must be cheaper.
constexpr double kOverflowMargin = 0.15;

struct ScoredReplica {
  ReplicaIndex replica;
  double cost = 0.0;
  std::uint32_t cachedTokens = 0;
};

double trustIn(const ReplicaView& replica) {
  const double age = toMilliseconds(replica.reportAge);
  return kReportHalfLifeMilliseconds / (kReportHalfLifeMilliseconds + age);
}

double believedLoad(const ReplicaView& replica) {
  const double own = replica.ownOutstanding;
  const double believed = believedRequests(replica);
  return own + (believed - own) * trustIn(replica);
}

double externality(const CallDescription& call) {
  const double cacheWeight = 1.0 - std::clamp(call.latencyWeight, 0.0, 1.0);
  const double factor = kLeastExternality + kAddedExternality * cacheWeight;
  return factor * (call.previous ? kMoveFactor : kFirstCallFactor);
}

double costOf(const CallDescription& call, const ReplicaView& replica) {
  const std::uint32_t cached = std::min(replica.cachedProgramTokens, call.promptTokens);
  const double missing = call.promptTokens - cached;
  const double queued = replica.reportedQueued * trustIn(replica);
  return missing * kMillisecondsPerPromptToken * externality(call) +
         believedLoad(replica) * kMillisecondsPerRequest + queued * kMillisecondsPerQueuedRequest;
}

}  // namespace

const std::vector<ReplicaIndex>& PrefixAffinityPolicy::shortlist(
    const CallDescription& call, const std::vector<ReplicaView>& replicas, RandomSource& random) {
  if (call.candidates.size() <= kWeighAllUpTo) {
    return call.candidates;
  }
  shortlist_.clear();
  for (const ReplicaIndex candidate : call.candidates) {
    if (replicas[candidate.value()].cachedProgramTokens > 0) {
      shortlist_.push_back(candidate);
    }
  }
  for (std::size_t count = 0; count < kSampleSize; ++count) {
    shortlist_.push_back(call.candidates[random.below(call.candidates.size())]);
  }
  return shortlist_;
}

std::optional<PlacementChoice> PrefixAffinityPolicy::choose(
    const CallDescription& call, const std::vector<ReplicaView>& replicas, RandomSource& random) {
  std::optional<ScoredReplica> cheapest;
  std::optional<ScoredReplica> longest;
  std::uint64_t ties = 0;
  for (const ReplicaIndex candidate : shortlist(call, replicas, random)) {
    const ReplicaView& view = replicas[candidate.value()];
    const ScoredReplica scored{candidate, costOf(call, view), view.cachedProgramTokens};
    if (!cheapest || scored.cost < cheapest->cost) {
      cheapest = scored;
      ties = 1;
    } else if (scored.cost == cheapest->cost && random.below(++ties) == 0) {
      cheapest = scored;
    }
    const bool longer = !longest || scored.cachedTokens > longest->cachedTokens;
    const bool equal = longest && scored.cachedTokens == longest->cachedTokens;
    if (longer || (equal && scored.cost < longest->cost)) {
      longest = scored;
    }
  }
  if (!cheapest) {
    return std::nullopt;
  }
  if (longest->cachedTokens == 0) {
    return PlacementChoice{cheapest->replica, "no prefix anywhere, least load"};
  }
  if (longest->cost * (1.0 - kOverflowMargin) <= cheapest->cost) {
    return PlacementChoice{longest->replica, "longest prefix"};
  }
  return PlacementChoice{cheapest->replica, "overflow: prefix costs less than waiting"};
}

}  // namespace gorsetrail::scheduling
