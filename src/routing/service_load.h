/// \file Load of a whole service. No I/O, no clock.
#pragma once

#include <string_view>

#include "routing/evacuation.h"
#include "routing/replica_table.h"

namespace gorsetrail::routing {

/// Sums over the replicas of a service that accept requests.
struct ServiceLoad {
  double slots = 0;        ///< Requests that the replicas run concurrently.
  double requests = 0;     ///< In flight from all nodes, as far as this node knows.
  double ownRequests = 0;  ///< In flight from this node.

  /// \return the mean load in requests per slot; 0 if the service has no slots.
  [[nodiscard]] double perSlot() const { return slots > 0 ? requests / slots : 0.0; }
};

/// Linear in the service's replicas.
/// \param evacuations replicas of these zones count neither with their slots nor with their load,
/// because they get no requests; null: no zone is evacuated.
[[nodiscard]] ServiceLoad serviceLoadOf(const ReplicaTable& replicas, std::string_view service,
                                        const EvacuationTable* evacuations = nullptr);

}  // namespace gorsetrail::routing
