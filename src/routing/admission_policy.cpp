#include "routing/admission_policy.h"

#include <xxhash.h>

#include <algorithm>
#include <cstddef>

namespace gorsetrail::routing {

std::string_view workStageName(WorkStage stage) {
  switch (stage) {
    case WorkStage::Runaway:
      return "runaway";
    case WorkStage::Overdue:
      return "overdue";
    case WorkStage::FirstTurn:
      return "first_turn";
    case WorkStage::Continuing:
      break;
  }
  return "continuing";
}

bool AdmissionPolicy::admits(const Replica& replica, const AdmissionRequest& request) const {
  double limit = knobs_.continuing;
  if (request.stage == WorkStage::Runaway) {
    limit = knobs_.runaway;
  } else if (request.stage == WorkStage::Overdue) {
    limit = knobs_.overdue;
    if (request.programLimit) {
      limit = std::min(limit, knobs_.overdueFraction * *request.programLimit);
    }
  } else if (request.stage == WorkStage::FirstTurn || request.isTenantAboveShare) {
    limit = knobs_.firstTurn;
    if (request.isTenantAboveShare && request.programLimit) {
      limit = std::min(limit, *request.programLimit);
    }
  }
  const bool isLimited = request.stage == WorkStage::Runaway || request.stage == WorkStage::Overdue;
  if (request.priority == 0 && !isLimited) {
    limit += knobs_.mostUrgent;
  }
  return replica.timeLoadPerSlot() < limit;
}

bool AdmissionPolicy::hasSpareCapacity(const std::vector<const Replica*>& replicas) const {
  double load = 0;
  std::size_t spare = 0;
  for (const Replica* const replica : replicas) {
    load += replica->timeLoadPerSlot();
    spare += isLightlyLoaded(*replica) ? 1 : 0;
  }
  const auto count = static_cast<double>(replicas.size());
  return load < knobs_.spare * count || 2 * spare >= replicas.size();
}

bool AdmissionPolicy::mayOverflow(const AdmissionRequest& request) const {
  if (request.stage != WorkStage::Continuing || request.isTenantAboveShare) {
    return false;
  }
  constexpr double kHashCount = 18446744073709551616.0;  // Number of hash values: 2^64.
  const std::uint64_t hash = XXH64(request.attempt.data(), request.attempt.size(), 0);
  return static_cast<double>(hash) < knobs_.overflowFraction * kHashCount;
}

}  // namespace gorsetrail::routing
