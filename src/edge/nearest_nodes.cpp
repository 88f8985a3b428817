#include "edge/nearest_nodes.h"

#include <algorithm>

namespace gorsetrail::edge {

std::vector<ledger::HomeCandidate> nearestNodes(
    const std::vector<ledger::HomeCandidate>& candidates, std::string_view zone,
    const routing::ZoneTable& zones) {
  auto nearest = routing::Distance::OtherRegion;
  for (const ledger::HomeCandidate& candidate : candidates) {
    nearest = std::min(nearest, zones.between(zone, candidate.zone));
  }
  std::vector<ledger::HomeCandidate> near;
  for (const ledger::HomeCandidate& candidate : candidates) {
    if (zones.between(zone, candidate.zone) == nearest) {
      near.push_back(candidate);
    }
  }
  return near;
}

}  // namespace gorsetrail::edge
