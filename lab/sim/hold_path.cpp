#include "lab/sim/hold_path.h"

#include <variant>

namespace gorsetrail::sim {
namespace {

/// An order into a partition fails after this time.
constexpr Duration kOrderTimeout = seconds(1);

}  // namespace

void HoldPath::onCommand(const SimNode& node, const node::NodeCommand& command) {
  if (const auto* place = std::get_if<engine::PlaceHold>(&command)) {
    carry(
        node, place->backendName,
        [order = *place](SimBackend& backend) -> Answer { return backend.onPlaceHold(order); },
        engine::HoldResult{place->order, place->backendName, engine::HoldOutcome::Failed});
  } else if (const auto* release = std::get_if<engine::ReleaseHold>(&command)) {
    carry(
        node, release->backendName,
        [order = *release](SimBackend& backend) -> Answer { return backend.onReleaseHold(order); },
        engine::HoldResult{release->order, release->backendName, engine::HoldOutcome::Failed});
  } else if (const auto* read = std::get_if<engine::ReadHolds>(&command)) {
    carry(
        node, read->backendName,
        [](SimBackend& backend) -> Answer { return backend.onReadHolds(); },
        engine::HoldResult{engine::HoldOrder(0), read->backendName, engine::HoldOutcome::Failed});
  }
}

void HoldPath::carry(const SimNode& node, const std::string& backendName, const Order& order,
                     const Answer& failure) {
  SimBackend* backend = backends_.find(backendName);
  const NodeId id = node.id;
  const Incarnation life = node.incarnation;
  if (backend == nullptr || !context_.network.reachable(node.zone, backend->name().zone)) {
    context_.events.scheduleAfter(kOrderTimeout,
                                  [this, id, life, failure] { deliver(id, life, failure); });
    return;
  }
  // Orders of one node to one engine keep their order: equal delays, ties in order of sending.
  const Duration delay = node.zone == backend->name().zone ? context_.scenario.delays.withinZone
                                                           : context_.scenario.delays.betweenZones;
  context_.events.scheduleAfter(delay, [this, id, life, backend, order, delay] {
    const Answer answer = order(*backend);
    context_.events.scheduleAfter(delay, [this, id, life, answer] { deliver(id, life, answer); });
  });
}

void HoldPath::deliver(NodeId node, Incarnation life, const Answer& answer) {
  if (const auto* result = std::get_if<engine::HoldResult>(&answer)) {
    if (result->order == engine::HoldOrder(0)) {
      return;  // An inventory that could not be read has no answer.
    }
    host_.post(node, life, [result = *result](node::NodeCore& core, Instant now) {
      core.onHoldResult(result, now);
    });
    return;
  }
  host_.post(node, life,
             [inventory = std::get<engine::HoldInventory>(answer)](
                 node::NodeCore& core, Instant now) { core.onHoldInventory(inventory, now); });
}

}  // namespace gorsetrail::sim
