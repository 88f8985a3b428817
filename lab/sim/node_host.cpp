#include "lab/sim/node_host.h"

#include <algorithm>
#include <utility>

namespace gorsetrail::sim {
namespace {

constexpr Duration kBusyTick = milliseconds(10);
/// A node without calls under way has nothing finer to do than probing its peers.
constexpr Duration kIdleTick = milliseconds(100);
constexpr Duration kBusyAfterEvent = seconds(2);

bool isMembership(const wire::PeerMessage& message) {
  return std::holds_alternative<membership::MembershipMessage>(message);
}

}  // namespace

NodeHost::NodeHost(SimContext& context, CoreFactory factory)
    : context_(context), factory_(std::move(factory)), members_(membersOf(context.scenario)) {
  nodes_.resize(members_.size());
  for (std::size_t place = 0; place < members_.size(); ++place) {
    nodes_[place].id = members_[place].node;
    nodes_[place].zone = members_[place].zone;
  }
}

void NodeHost::startAll() {
  for (SimNode& node : nodes_) {
    start(node.id);
  }
}

void NodeHost::start(NodeId id) {
  SimNode& target = node(id);
  if (target.core) {
    return;
  }
  node::NodeOptions options;
  options.self = id;
  options.incarnation = target.incarnation.next();
  options.zone = target.zone;
  options.site = kSiteName;
  options.members = members_;
  options.trustAnchors = trustAnchors();
  options.seed =
      context_.seed * 100003 + std::uint64_t{id.value()} * 101 + options.incarnation.value();
  options.programKnobs.idleLease = context_.scenario.idleLease;
  target.incarnation = options.incarnation;
  target.core = factory_(std::move(options));
  target.paused = false;
  target.stopping = false;
  target.held.clear();
  target.bundleCursor = 0;
  target.upSince = context_.now();
  wake(target);
}

void NodeHost::kill(NodeId id) {
  SimNode& target = node(id);
  if (!target.core) {
    return;
  }
  target.core.reset();
  target.held.clear();
  target.paused = false;
  ++target.tickPlan;
  downHandler_(target);
}

void NodeHost::pause(NodeId id) {
  SimNode& target = node(id);
  target.paused = target.core != nullptr;
}

void NodeHost::resume(NodeId id) {
  SimNode& target = node(id);
  if (!target.paused) {
    return;
  }
  target.paused = false;
  target.upSince = context_.now();
  // What the sockets buffered meanwhile comes first, then the clock's jump shows.
  const auto held = std::exchange(target.held, {});
  for (const auto& delivery : held) {
    delivery();
  }
  if (target.core) {
    wake(target);
  }
}

void NodeHost::post(NodeId id, Incarnation life, const Event& event) {
  SimNode& target = node(id);
  if (!target.core || target.incarnation != life) {
    return;
  }
  if (target.paused) {
    target.held.emplace_back([this, id, life, event] { post(id, life, event); });
    return;
  }
  run(target, event);
}

void NodeHost::run(SimNode& node, const Event& event) {
  event(*node.core, context_.now());
  drain(node);
}

void NodeHost::drain(SimNode& node) {
  std::vector<node::NodeCommand> commands = node.core->takeCommands();
  for (node::NodeCommand& command : commands) {
    if (auto* peer = std::get_if<node::SendPeerMessage>(&command)) {
      sendPeer(node, *peer);
    } else {
      wake(node);
      commandHandler_(node, command);
    }
  }
}

void NodeHost::sendPeer(SimNode& from, node::SendPeerMessage& command) {
  const std::size_t place = command.to.value() - 1;
  if (place >= nodes_.size()) {
    return;
  }
  const bool wakes = !isMembership(command.message);
  const NodeId sender = from.id;
  const NodeId receiver = command.to;
  const auto message = std::make_shared<const wire::PeerMessage>(std::move(command.message));
  const auto deliver = [this, sender, receiver, message, wakes] {
    if (wakes && node(receiver).running()) {
      wake(node(receiver));
    }
    post(receiver, [sender, message](node::NodeCore& core, Instant now) {
      core.onPeerMessage(sender, *message, now);
    });
  };
  if (sender == receiver) {
    context_.events.schedule(context_.now(), deliver);  // Loops back without a network.
  } else {
    context_.network.sendPeer(sender, from.zone, receiver, nodes_[place].zone, deliver);
  }
}

void NodeHost::wake(SimNode& node) {
  const bool wasBusy = node.busyUntil > context_.now();
  node.busyUntil = context_.now() + kBusyAfterEvent;
  if (!wasBusy) {
    planTick(node, kBusyTick);
  }
}

void NodeHost::planTick(SimNode& node, Duration after) {
  const std::uint64_t plan = ++node.tickPlan;
  const NodeId id = node.id;
  const Incarnation life = node.incarnation;
  context_.events.scheduleAfter(after, [this, id, life, plan] { tick(id, life, plan); });
}

void NodeHost::tick(NodeId id, Incarnation life, std::uint64_t plan) {
  SimNode& target = node(id);
  if (!target.core || target.incarnation != life || target.tickPlan != plan) {
    return;
  }
  if (!target.paused) {
    run(target, [](node::NodeCore& core, Instant now) { core.onTick(now); });
  }
  if (!target.core || target.tickPlan != plan) {
    return;  // A command of the tick ended the node or planned the next tick.
  }
  const bool busy = target.busyUntil > context_.now() || target.core->counters().callsUnderWay > 0;
  planTick(target, busy ? kBusyTick : kIdleTick);
}

std::vector<NodeId> NodeHost::nodesIn(const std::string& zone) const {
  std::vector<NodeId> found;
  for (const SimNode& node : nodes_) {
    if (node.zone == zone) {
      found.push_back(node.id);
    }
  }
  return found;
}

}  // namespace gorsetrail::sim
