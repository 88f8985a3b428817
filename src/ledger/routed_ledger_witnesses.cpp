// Part of `RoutedLedger`: the other nodes as witnesses of this node's leases.
#include <algorithm>
#include <limits>
#include <set>
#include <utility>

#include "ledger/routed_ledger.h"

namespace gorsetrail::ledger {

// Nodes of the own region answer soon, and in other zones they do not fail together with this one.
std::vector<std::string> RoutedLedger::Witnesses::preferredFor(const std::string& lease) const {
  const RoutedLedgerKnobs& knobs = ledger_.knobs_;
  std::vector<NodeCandidate> candidates = ledger_.peers_.candidates();
  const Instant now = ledger_.clock_();
  std::erase_if(candidates, [&](const NodeCandidate& candidate) {
    return candidate.address == knobs.ownAddress ||
           ledger_.selector_.isSuspect(candidate.address, now);
  });
  RendezvousSelectorKnobs all;
  all.nodesPerPartition = std::numeric_limits<std::size_t>::max();
  const std::vector<std::string> ranked =
      RendezvousSelector(all).selectNodes({lease, 0}, {}, candidates, now);
  std::set<std::string, std::less<>> usedZones{knobs.zone};
  std::vector<std::string> inOtherZones;
  std::vector<std::string> inUsedZones;
  std::vector<std::string> inOtherRegions;
  for (const std::string& address : ranked) {
    const std::string& zone =
        std::find_if(candidates.begin(), candidates.end(), [&](const NodeCandidate& candidate) {
          return candidate.address == address;
        })->zone;
    if (!ledger_.inSameRegion(zone, knobs.zone)) {
      inOtherRegions.push_back(address);
    } else {
      (usedZones.insert(zone).second ? inOtherZones : inUsedZones).push_back(address);
    }
  }
  std::vector<std::string> preferred = std::move(inOtherZones);
  preferred.insert(preferred.end(), inUsedZones.begin(), inUsedZones.end());
  preferred.insert(preferred.end(), inOtherRegions.begin(), inOtherRegions.end());
  return preferred;
}

void RoutedLedger::Witnesses::call(const std::string& address, const LedgerRequest& request,
                                   Duration timeLimit,
                                   std::function<void(std::optional<LedgerReply>)> callback) {
  if (address != ledger_.knobs_.ownAddress) {
    ledger_.peers_.call(address, request, timeLimit, std::move(callback));
    return;
  }
  ledger_.timers_.runAfter(Duration::zero(), [this, request, callback = std::move(callback)] {
    ledger_.service_.handleForPeer(request,
                                   [&callback](LedgerReply reply) { callback(std::move(reply)); });
  });
}

}  // namespace gorsetrail::ledger
