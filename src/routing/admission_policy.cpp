#include "routing/admission_policy.h"

#include <algorithm>

namespace gorsetrail::routing {

bool AdmissionPolicy::admits(const Replica& replica, WorkStage stage,
                             std::uint32_t priority) const {
  double limit = knobs_.continuing;
  if (stage == WorkStage::Runaway) {
    limit = knobs_.runaway;
  } else if (stage == WorkStage::FirstTurn) {
    limit = knobs_.firstTurn;
  }
  if (priority == 0 && stage != WorkStage::Runaway) {
    limit += knobs_.mostUrgent;
  }
  const double slots = std::max(1U, replica.entry.slots);
  return replica.load() < limit * slots;
}

}  // namespace gorsetrail::routing
