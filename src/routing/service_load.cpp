#include "routing/service_load.h"

#include <algorithm>

namespace gorsetrail::routing {

ServiceLoad serviceLoadOf(const ReplicaTable& replicas, std::string_view service,
                          const EvacuationTable* evacuations) {
  ServiceLoad sum;
  for (const ReplicaPtr& replica : replicas.ofService(service)) {
    const bool isEvacuated =
        evacuations != nullptr && evacuations->isEvacuated(replica->entry.zone);
    if (replica->acceptsRequests() && !isEvacuated) {
      sum.slots += std::max(1U, replica->entry.slots);
      sum.requests += replica->load();
      sum.ownRequests += replica->inFlight;
    }
  }
  return sum;
}

}  // namespace gorsetrail::routing
