// Wiring and course of a run; fault_schedule.cpp turns the faults, audit.cpp looks back.
#include "lab/sim/simulation.h"

#include <algorithm>
#include <utility>

namespace gorsetrail::sim {
namespace {

/// How often a node reads the bundle stream, its back ends' load and the machine list.
constexpr Duration kHousekeepingPeriod = seconds(1);
constexpr Duration kInspectionPeriod = seconds(1);
/// Back ends are inspected every so many inspections.
constexpr std::uint64_t kInspectionsPerBackendInspection = 5;
constexpr Duration kSettlingTime = seconds(90);
constexpr Duration kAuditTime = seconds(90);

}  // namespace

Simulation::Simulation(Scenario scenario, std::uint64_t seed, CoreFactory factory)
    : context_(std::move(scenario), seed),
      host_(context_, std::move(factory)),
      front_(context_, host_),
      dataPath_(context_, host_),
      holdPath_(context_, host_, dataPath_),
      log_(context_, host_),
      machines_(context_, host_),
      operator_(context_, log_) {
  host_.onCommand([this](SimNode& node, node::NodeCommand& command) { onCommand(node, command); });
  host_.onDown([this](SimNode& node) {
    dataPath_.onNodeDown(node);
    front_.onNodeDown(node);
  });
}

void Simulation::onCommand(SimNode& node, node::NodeCommand& command) {
  if (front_.onCommand(node, command)) {
    return;
  }
  if (const auto* start = std::get_if<engine::StartDispatch>(&command)) {
    front_.markDispatched(start->handle);
    dataPath_.start(node, *start);
  } else if (const auto* cancel = std::get_if<engine::CancelDispatch>(&command)) {
    dataPath_.cancel(node, *cancel);
  } else if (const auto* append = std::get_if<node::AppendLogRecord>(&command)) {
    log_.appendFrom(node, *append);
  } else {
    holdPath_.onCommand(node, command);
  }
}

RunResult Simulation::run() {
  operator_.publish();
  host_.startAll();
  for (const SimNode& node : host_.nodes()) {
    machines_.note(node.id, node.incarnation, membership::MemberState::Alive);
    const Duration phase(
        static_cast<Duration::rep>(context_.random.below(kHousekeepingPeriod.count())));
    context_.events.scheduleAfter(phase, [this, id = node.id] { housekeeping(id); });
  }
  context_.events.scheduleAfter(kInspectionPeriod, [this] { inspectEverything(); });
  startPrograms();
  scheduleFaults();
  context_.events.runUntil(Instant(context_.scenario.length));
  healEverything();
  context_.events.runUntil(context_.now() + kSettlingTime);
  audit();
  context_.events.runUntil(context_.now() + kAuditTime);
  readHistories();
  collectFigures();
  return makeResult();
}

void Simulation::housekeeping(NodeId id) {
  SimNode& node = host_.node(id);
  log_.readBundles(node);
  dataPath_.reportTo(node);
  machines_.tell(node);
  context_.events.scheduleAfter(kHousekeepingPeriod, [this, id] { housekeeping(id); });
}

void Simulation::inspectEverything() {
  for (SimNode& node : host_.nodes()) {
    if (node.running()) {
      inspectNode(node);
    }
  }
  const auto inspection =
      static_cast<std::uint64_t>(context_.now().time_since_epoch() / kInspectionPeriod);
  if (inspection % kInspectionsPerBackendInspection == 0) {
    for (const auto& backend : dataPath_.backends()) {
      backend->inspect();
    }
  }
  context_.events.scheduleAfter(kInspectionPeriod, [this] { inspectEverything(); });
}

/// Reads what `/v1/status` says of the bundle, and whether it could know better by now.
void Simulation::inspectNode(SimNode& node) {
  const auto inForce = node.core->bundleInForce();
  const BundleVersion seen = inForce ? inForce->version : BundleVersion(0);
  context_.checker.onBundleSeen(node.id, node.incarnation, seen, context_.now());
  if (inForce) {
    context_.report.check(Promise::Bundle, inForce->latencyWeight == operator_.acceptedWeight(seen),
                          context_.now(),
                          "node " + std::to_string(node.id.value()) + " has a bundle " +
                              std::to_string(seen.value()) + " that was not accepted");
    bundleSeenFirstAt_.emplace(seen, context_.now());
  }
  seenBundles_[node.id] = seen;
  const bool fromLog = !log_.isDown() && !context_.network.isPartitioned(node.zone);
  if (!fromLog && !peerHasAccepted(node)) {
    return;  // There is nobody to learn it from.
  }
  Instant dueSince =
      std::max({operator_.acceptedAt(), node.upSince, context_.network.lastChange()});
  if (fromLog && !peerHasAccepted(node)) {
    dueSince = std::max(dueSince, log_.upSince());
  } else {
    const auto first = bundleSeenFirstAt_.find(operator_.accepted());
    dueSince = first == bundleSeenFirstAt_.end() ? dueSince : std::max(dueSince, first->second);
  }
  context_.checker.onBundleDue(node.id, seen, operator_.accepted(), dueSince, context_.now());
}

bool Simulation::peerHasAccepted(const SimNode& node) {
  for (SimNode& peer : host_.nodes()) {
    const bool counts =
        peer.id != node.id && peer.running() && context_.network.reachable(node.zone, peer.zone);
    if (counts && seenBundles_[peer.id] >= operator_.accepted()) {
      return true;
    }
  }
  return false;
}

NodeId Simulation::anyNodeOf(const std::string& zone) {
  const std::vector<NodeId> nodes = host_.nodesIn(zone);
  return nodes[context_.random.below(nodes.size())];
}

void Simulation::startPrograms() {
  const WorkloadSpec& workload = context_.scenario.workload;
  for (std::uint32_t number = 1; number <= workload.programs; ++number) {
    const ZoneSpec& zone = context_.scenario.zones[number % context_.scenario.zones.size()];
    const NodeId node = anyNodeOf(zone.name);
    const auto program = std::make_shared<ProgramState>();
    program->plan = drawProgram(context_, number, zone.name, node);
    programs_.push_back(program);
    context_.programNames[programIdOf(program->plan.key).toHex()] = program->plan.key.name;
    // The site is given a few seconds to find itself.
    const Duration after =
        seconds(5) + Duration(static_cast<Duration::rep>(context_.random.below(
                         static_cast<std::uint64_t>(workload.startWithin.count()) + 1)));
    context_.events.scheduleAfter(after, [this, program, node] { startCaller(program, node); });
  }
}

void Simulation::startCaller(const ProgramStatePtr& program, NodeId node) {
  const auto caller =
      std::make_shared<ProgramCaller>(context_, host_, front_, tools_, program, node);
  callers_.push_back(caller);
  caller->start();
}

}  // namespace gorsetrail::sim
