#include "edge/nearest_nodes.h"

#include <algorithm>

namespace gorsetrail::edge {

std::vector<ledger::NodeCandidate> nearestNodes(
    const std::vector<ledger::NodeCandidate>& candidates, std::string_view zone,
    const routing::ZoneTable& zones) {
  auto nearest = routing::Distance::OtherRegion;
  for (const ledger::NodeCandidate& candidate : candidates) {
    nearest = std::min(nearest, zones.between(zone, candidate.zone));
  }
  std::vector<ledger::NodeCandidate> near;
  for (const ledger::NodeCandidate& candidate : candidates) {
    if (zones.between(zone, candidate.zone) == nearest) {
      near.push_back(candidate);
    }
  }
  return near;
}

std::vector<ledger::NodeCandidate> capableNodes(
    const std::vector<ledger::NodeCandidate>& candidates) {
  constexpr double kShareOfLargest = 0.5;
  double largest = 0;
  for (const ledger::NodeCandidate& candidate : candidates) {
    largest = std::max(largest, candidate.capacity);
  }
  std::vector<ledger::NodeCandidate> capable;
  for (const ledger::NodeCandidate& candidate : candidates) {
    if (candidate.capacity >= kShareOfLargest * largest) {
      capable.push_back(candidate);
    }
  }
  return capable;
}

}  // namespace gorsetrail::edge
