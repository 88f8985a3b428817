#include "node/core/load_observation.h"

#include <algorithm>
#include <unordered_map>

#include "engine/backend_table.h"
#include "node/core/rendezvous.h"

namespace gorsetrail::node {
namespace {

using membership::Member;
using membership::MemberState;

}  // namespace

void LoadObservation::update(const bundle::Bundle& bundle,
                             const membership::MembershipService& membership) {
  std::unordered_map<std::string, std::vector<NodeId>> aliveByZone;
  std::vector<NodeId> alive;
  for (const Member& member : membership.members()) {
    if (member.node == self_ || membership.stateOf(member.node) == MemberState::Alive) {
      aliveByZone[member.zone].push_back(member.node);
      alive.push_back(member.node);
    }
  }
  observed_.clear();
  observedNames_.clear();
  for (const bundle::Backend& backend : bundle.backends) {
    if (backend.kind != bundle::BackendKind::Engine) {
      continue;  // Applications report no load.
    }
    const auto zone = aliveByZone.find(backend.zone);
    if (zone != aliveByZone.end() && backend.zone != zone_) {
      continue;  // Its own zone observes it.
    }
    // A zone without nodes is observed by the others.
    const std::vector<NodeId>& nodes = zone == aliveByZone.end() ? alive : zone->second;
    const std::vector<NodeId> observers =
        highestRanked(engine::backendHashOf(backend.name), nodes, kObserversPerBackend);
    if (std::find(observers.begin(), observers.end(), self_) != observers.end()) {
      observed_.push_back(backend);
      observedNames_.push_back(backend.name);
    }
  }
}

std::vector<DigestTarget> LoadObservation::dueTargets(
    const membership::MembershipService& membership, Instant now) {
  if (now < nextDigest_) {
    return {};
  }
  nextDigest_ = now + knobs_.digestInterval;
  ++round_;
  std::vector<DigestTarget> zoneNodes;
  std::vector<DigestTarget> otherNodes;
  for (const Member& member : membership.members()) {
    if (member.node != self_ && membership.stateOf(member.node) == MemberState::Alive) {
      const bool sameZone = member.zone == zone_;
      (sameZone ? zoneNodes : otherNodes).push_back({member.node, member.zone, sameZone});
    }
  }
  std::vector<DigestTarget> targets;
  const std::size_t told = std::min(knobs_.digestsInZone, zoneNodes.size());
  for (std::size_t count = 0; count < told; ++count) {
    targets.push_back(zoneNodes[turn_++ % zoneNodes.size()]);
  }
  if (round_ % knobs_.roundsPerOtherZone == 0 && !otherNodes.empty()) {
    targets.push_back(otherNodes[random_.below(otherNodes.size())]);
  }
  return targets;
}

}  // namespace gorsetrail::node
