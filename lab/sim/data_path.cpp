#include "lab/sim/data_path.h"

#include <utility>

#include "lab/sim/sim_engine.h"

namespace gorsetrail::sim {
namespace {

/// A connection attempt into a partition fails after this time, before any byte left.
constexpr Duration kConnectTimeout = seconds(1);

bool isLast(const engine::DispatchEvent& event) {
  return !std::holds_alternative<engine::DispatchChunk>(event);
}

}  // namespace

DataPath::DataPath(SimContext& context, NodeHost& host) : context_(context), host_(host) {
  for (const BackendName& name : backendsOf(context.scenario)) {
    if (name.application) {
      backends_.push_back(std::make_unique<SimApplication>(context, name));
    } else {
      backends_.push_back(std::make_unique<SimEngine>(context, name));
    }
    byName_[name.name] = backends_.back().get();
  }
}

SimBackend* DataPath::find(const std::string& name) {
  const auto found = byName_.find(name);
  return found == byName_.end() ? nullptr : found->second;
}

void DataPath::start(const SimNode& node, const engine::StartDispatch& command) {
  SimBackend* backend = find(command.backendName);
  const AttemptNumber attempt = command.id.attempt;
  const Key key{node.id, command.id};
  const auto deliver = [this, key, life = node.incarnation,
                        handle = command.handle](const engine::DispatchEvent& event) {
    if (isLast(event)) {
      open_.erase(key);
    }
    host_.post(key.node, life, [handle, event](node::NodeCore& core, Instant now) {
      core.onDispatchEvent(handle, event, now);
    });
  };
  if (backend == nullptr || !context_.network.reachable(node.zone, backend->name().zone)) {
    context_.events.scheduleAfter(kConnectTimeout, [deliver, attempt] {
      deliver(engine::DispatchNotSent{attempt, "connection refused"});
    });
    return;
  }
  const auto connection = std::make_shared<DispatchConnection>(
      context_, node.zone, backend->name().zone, attempt, deliver);
  open_[key] = connection;
  const Duration delay = context_.network.delay(node.zone, backend->name().zone);
  context_.events.scheduleAfter(delay, [backend, connection, command] {
    if (!connection->isOpen()) {
      return;
    }
    if (!connection->reachable()) {
      connection->finish(engine::DispatchBroken{connection->attempt(), "lost on the way"});
      return;
    }
    backend->onRequest(connection, command);
  });
  if (command.timeLimit > Duration::zero()) {
    context_.events.scheduleAfter(command.timeLimit, [connection, deliver, attempt] {
      if (connection->isOpen()) {
        connection->close();
        deliver(engine::DispatchBroken{attempt, "time limit"});
      }
    });
  }
}

void DataPath::cancel(const SimNode& node, const engine::CancelDispatch& command) {
  const auto found = open_.find({node.id, command.id});
  if (found != open_.end()) {
    found->second->close();
    open_.erase(found);
  }
  for (const std::unique_ptr<SimBackend>& backend : backends_) {
    if (backend->name().address != command.address ||
        !context_.network.reachable(node.zone, backend->name().zone)) {
      continue;
    }
    const Duration delay = context_.network.delay(node.zone, backend->name().zone);
    context_.events.scheduleAfter(
        delay, [target = backend.get(), id = command.id] { target->onCancel(id); });
  }
}

void DataPath::onNodeDown(const SimNode& node) {
  for (auto entry = open_.begin(); entry != open_.end();) {
    if (entry->first.node == node.id) {
      entry->second->close();
      entry = open_.erase(entry);
    } else {
      ++entry;
    }
  }
}

void DataPath::reportTo(SimNode& node) {
  if (!node.running()) {
    return;
  }
  for (const bundle::Backend& observed : node.core->observedBackends()) {
    SimBackend* backend = find(observed.name);
    if (backend == nullptr) {
      continue;
    }
    node::BackendReport report = backend->report();
    report.reachable = context_.network.reachable(node.zone, backend->name().zone);
    const Duration delay = context_.network.delay(node.zone, backend->name().zone);
    context_.events.scheduleAfter(delay, [this, id = node.id, report] {
      host_.post(
          id, [report](node::NodeCore& core, Instant now) { core.onBackendReport(report, now); });
    });
  }
}

}  // namespace gorsetrail::sim
