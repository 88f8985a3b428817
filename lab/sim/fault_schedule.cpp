// Turns the faults of a scenario on and off.
#include <algorithm>

#include "lab/sim/simulation.h"

namespace gorsetrail::sim {
namespace {

constexpr Duration kDrainCheck = milliseconds(100);
constexpr Duration kDrainLimit = seconds(180);
constexpr Duration kDefaultReplacement = seconds(2);

}  // namespace

void Simulation::scheduleFaults() {
  for (const Fault& fault : context_.scenario.faults) {
    context_.events.schedule(Instant(fault.at), [this, &fault] { applyFault(fault); });
    if (fault.length > Duration::zero()) {
      context_.events.schedule(Instant(fault.at + fault.length),
                               [this, &fault] { endFault(fault); });
    }
  }
}

void Simulation::applyFault(const Fault& fault) {
  switch (fault.kind) {
    case FaultKind::KillNode:
      return killNode(NodeId(fault.node), fault);
    case FaultKind::PauseNode:
      return host_.pause(NodeId(fault.node));
    case FaultKind::StopNode:
      return stopNode(NodeId(fault.node), fault);
    case FaultKind::PartitionZone:
      return context_.network.setPartitioned(fault.zone, true);
    case FaultKind::LoseZone:
      return loseZone(fault);
    case FaultKind::LogDown:
      return log_.setDown(true);
    case FaultKind::LogSlow:
      return log_.setSlow(true);
    case FaultKind::LogLoseAnswers:
      return log_.setLosesAnswers(true);
    case FaultKind::KillCallers:
      return killCallers(fault);
    case FaultKind::PauseCallers:
      return pauseCallers(fault);
    case FaultKind::HangTools:
      tools_ = {true, fault.perMille};
      return;
    case FaultKind::HangEngines:
      return hangEngines(fault, true);
    case FaultKind::RefuseAtBackend:
    case FaultKind::BreakStreams:
    case FaultKind::LoseApplicationAnswers:
    case FaultKind::LeaveBackend:
    case FaultKind::ServeBackend:
      return turnBackend(fault);
    case FaultKind::PublishBundle:
      return operator_.publish();
    case FaultKind::RaceBundles:
      return operator_.race();
    case FaultKind::Network:
      return context_.network.setConditions(fault.network);
  }
}

void Simulation::endFault(const Fault& fault) {
  switch (fault.kind) {
    case FaultKind::PauseNode:
      return host_.resume(NodeId(fault.node));
    case FaultKind::PartitionZone:
      return context_.network.setPartitioned(fault.zone, false);
    case FaultKind::LogDown:
      return log_.setDown(false);
    case FaultKind::LogSlow:
      return log_.setSlow(false);
    case FaultKind::LogLoseAnswers:
      return log_.setLosesAnswers(false);
    case FaultKind::HangTools:
      tools_.hanging = false;
      return;
    case FaultKind::HangEngines:
      return hangEngines(fault, false);
    case FaultKind::Network:
      return context_.network.setConditions(context_.scenario.network);
    default:
      return;  // Has no end of its own.
  }
}

void Simulation::killNode(NodeId node, const Fault& fault) {
  if (!host_.node(node).core) {
    return;
  }
  machines_.note(node, host_.node(node).incarnation, membership::MemberState::Terminated);
  host_.kill(node);
  context_.figures.count("nodes_killed");
  restartLater(node, fault);
}

void Simulation::restartLater(NodeId node, const Fault& fault) {
  if (!fault.restartAfter) {
    return;
  }
  context_.events.scheduleAfter(*fault.restartAfter, [this, node] {
    host_.start(node);
    machines_.note(node, host_.node(node).incarnation, membership::MemberState::Alive);
  });
}

void Simulation::stopNode(NodeId node, const Fault& fault) {
  SimNode& target = host_.node(node);
  if (!target.core) {
    return;
  }
  machines_.note(node, target.incarnation, membership::MemberState::Leaving);
  front_.beginStopWatch(node);
  target.stopping = true;
  host_.post(node, [](node::NodeCore& core, Instant now) { core.beginStop(now); });
  awaitDrained(node, target.incarnation, context_.now(), fault);
}

/// The driver ends the process as soon as the node says that it is drained.
void Simulation::awaitDrained(NodeId node, Incarnation life, Instant begun, const Fault& fault) {
  SimNode& target = host_.node(node);
  if (!target.core || target.incarnation != life) {
    return;  // Died meanwhile.
  }
  const bool drained = target.running() && target.core->isDrained();
  const bool late = context_.now() - begun >= kDrainLimit;
  if (!drained && !late) {
    context_.events.scheduleAfter(
        kDrainCheck, [this, node, life, begun, &fault] { awaitDrained(node, life, begun, fault); });
    return;
  }
  machines_.note(node, life, membership::MemberState::Terminated);
  host_.kill(node);
  context_.checker.onPlannedStop(node, front_.endStopWatch(node), drained, context_.now());
  context_.figures.count("nodes_stopped");
  restartLater(node, fault);
}

void Simulation::loseZone(const Fault& fault) {
  for (const NodeId node : host_.nodesIn(fault.zone)) {
    killNode(node, fault);
  }
  // Callers stand beside their nodes and are lost with them.
  const std::vector<std::shared_ptr<ProgramCaller>> callers = callers_;
  for (const auto& caller : callers) {
    if (caller->alive() && host_.node(caller->node()).zone == fault.zone) {
      caller->kill();
      replaceCaller(caller->program(), caller->node(),
                    fault.restartAfter.value_or(kDefaultReplacement) + seconds(5));
    }
  }
}

void Simulation::killCallers(const Fault& fault) {
  const std::vector<std::shared_ptr<ProgramCaller>> callers = callers_;
  for (const auto& caller : callers) {
    const bool inZone = fault.zone.empty() || host_.node(caller->node()).zone == fault.zone;
    const bool busy = caller->alive() && !caller->program()->ended;
    if (busy && inZone && context_.happens(fault.perMille)) {
      caller->kill();
      context_.figures.count("callers_killed");
      replaceCaller(caller->program(), caller->node(),
                    fault.restartAfter.value_or(kDefaultReplacement));
    }
  }
}

/// Paused callers are taken for dead and replaced; later they go on beside their replacements.
void Simulation::pauseCallers(const Fault& fault) {
  const std::vector<std::shared_ptr<ProgramCaller>> callers = callers_;
  for (const auto& caller : callers) {
    const bool inZone = fault.zone.empty() || host_.node(caller->node()).zone == fault.zone;
    const bool busy = caller->alive() && !caller->paused() && !caller->program()->ended;
    if (!busy || !inZone || !context_.happens(fault.perMille)) {
      continue;
    }
    caller->pause();
    context_.figures.count("callers_paused");
    replaceCaller(caller->program(), caller->node(),
                  fault.restartAfter.value_or(kDefaultReplacement));
    context_.events.scheduleAfter(fault.length, [caller] { caller->resume(); });
  }
}

void Simulation::replaceCaller(const ProgramStatePtr& program, NodeId lastNode, Duration after) {
  context_.events.scheduleAfter(after, [this, program, lastNode] {
    if (program->ended) {
      return;
    }
    std::vector<NodeId> nodes = host_.nodesIn(host_.node(lastNode).zone);
    if (nodes.size() > 1) {
      std::erase(nodes, lastNode);
    }
    startCaller(program, nodes[context_.random.below(nodes.size())]);
  });
}

void Simulation::hangEngines(const Fault& fault, bool hanging) {
  for (const auto& backend : dataPath_.backends()) {
    const bool named = fault.backend.empty() || backend->name().name == fault.backend;
    if (named && !backend->name().application) {
      backend->setHanging(hanging);
    }
  }
}

void Simulation::turnBackend(const Fault& fault) {
  for (const auto& backend : dataPath_.backends()) {
    if (!fault.backend.empty() && backend->name().name != fault.backend) {
      continue;
    }
    switch (fault.kind) {
      case FaultKind::RefuseAtBackend:
        backend->faults().refuse += fault.count;
        break;
      case FaultKind::BreakStreams:
        backend->faults().breakStreams += fault.count;
        break;
      case FaultKind::LoseApplicationAnswers:
        backend->faults().loseAnswers += fault.count;
        break;
      case FaultKind::LeaveBackend:
      case FaultKind::ServeBackend:
        backend->setLeaving(fault.kind == FaultKind::LeaveBackend);
        operator_.setLeaving(backend->name().name, fault.kind == FaultKind::LeaveBackend);
        break;
      default:
        break;
    }
  }
}

}  // namespace gorsetrail::sim
