#include "node/core/load_observation.h"

#include <algorithm>
#include <unordered_map>

#include "engine/backend_table.h"
#include "node/core/rendezvous.h"

namespace gorsetrail::node {
namespace {

using membership::Member;
using membership::MemberState;

/// Moves `count` random items to the front and cuts the rest off.
template <class Item>
void keepRandom(std::vector<Item>& items, std::size_t count, RandomSource& random) {
  const std::size_t kept = std::min(count, items.size());
  for (std::size_t position = 0; position < kept; ++position) {
    std::swap(items[position], items[position + random.below(items.size() - position)]);
  }
  items.resize(kept);
}

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
  std::vector<DigestTarget> targets;
  std::vector<DigestTarget> otherZones;
  for (const Member& member : membership.members()) {
    if (member.node != self_ && membership.stateOf(member.node) == MemberState::Alive) {
      (member.zone == zone_ ? targets : otherZones).push_back({member.node, member.zone});
    }
  }
  keepRandom(targets, knobs_.digestsInZone, random_);
  if (round_ % knobs_.roundsPerOtherZone == 0) {
    keepRandom(otherZones, 1, random_);
    targets.insert(targets.end(), otherZones.begin(), otherZones.end());
  }
  return targets;
}

}  // namespace gorsetrail::node
