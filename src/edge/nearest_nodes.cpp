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

std::vector<ledger::HomeCandidate> capableNodes(
    const std::vector<ledger::HomeCandidate>& candidates) {
  constexpr double kShareOfLargest = 0.5;
  double largest = 0;
  for (const ledger::HomeCandidate& candidate : candidates) {
    largest = std::max(largest, candidate.capacity);
  }
  std::vector<ledger::HomeCandidate> capable;
  for (const ledger::HomeCandidate& candidate : candidates) {
    if (candidate.capacity >= kShareOfLargest * largest) {
      capable.push_back(candidate);
    }
  }
  return capable;
}

}  // namespace gorsetrail::edge
