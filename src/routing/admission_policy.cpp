#include "routing/admission_policy.h"

namespace gorsetrail::routing {

std::string_view workStageName(WorkStage stage) {
  switch (stage) {
    case WorkStage::Runaway:
      return "runaway";
    case WorkStage::FirstTurn:
      return "first_turn";
    case WorkStage::Continuing:
      break;
  }
  return "continuing";
}

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
  return replica.loadPerSlot() < limit;
}

}  // namespace gorsetrail::routing
