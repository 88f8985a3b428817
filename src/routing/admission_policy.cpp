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

bool AdmissionPolicy::admits(const Replica& replica, const AdmissionRequest& request) const {
  double limit = knobs_.continuing;
  if (request.stage == WorkStage::Runaway) {
    limit = knobs_.runaway;
  } else if (request.stage == WorkStage::FirstTurn) {
    limit = knobs_.firstTurn;
  }
  if (request.priority == 0 && request.stage != WorkStage::Runaway) {
    limit += knobs_.mostUrgent;
  }
  return replica.loadPerSlot() < limit;
}

bool AdmissionPolicy::isSpare(const Replica& replica) const {
  return replica.loadPerSlot() < knobs_.spare;
}

bool AdmissionPolicy::takesElsewhere(const Replica& replica, const AdmissionRequest& request,
                                     bool hasSpareRoom) const {
  if (request.stage != WorkStage::Continuing) {
    return false;
  }
  const bool takesSpare = hasSpareRoom && isSpare(replica);
  return takesSpare || (request.wasRefused && replica.loadPerSlot() < knobs_.refusedBefore);
}

}  // namespace gorsetrail::routing
