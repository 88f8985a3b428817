#include "lab/sim/sim_backend.h"

#include "lab/sim/request_tag.h"

namespace gorsetrail::sim {
namespace {

constexpr Duration kServiceTime = milliseconds(80);
constexpr unsigned kUnavailable = 503;

}  // namespace

node::BackendReport SimBackend::report() const {
  node::BackendReport report;
  report.backendName = name_.name;
  report.leaving = faults_.leaving;
  return report;
}

void SimBackend::setLeaving(bool leaving) {
  faults_.leaving = leaving;
  if (!leaving || !name_.application) {
    context_.checker.onBackendLeaving(name_.name, leaving, context_.now());
  }
}

bool SimBackend::refuses(const ConnectionPtr& connection) {
  if (faults_.leaving) {
    context_.checker.onBackendLeaving(name_.name, true, context_.now());
    connection->finish(
        engine::DispatchRefused{connection->attempt(), kUnavailable, "leaving", true});
    return true;
  }
  if (faults_.refuse > 0) {
    --faults_.refuse;
    connection->finish(engine::DispatchRefused{connection->attempt(), kUnavailable, "full", false});
    return true;
  }
  return false;
}

void SimApplication::onRequest(const ConnectionPtr& connection,
                               const engine::StartDispatch& command) {
  context_.checker.onDispatchArrived(name_.name, context_.now());
  if (refuses(connection)) {
    return;
  }
  const RequestTag tag = lastTagIn(command.body).value_or(RequestTag{"untagged", "", 0});
  context_.checker.onRunStarted(tag, command.id.toText(), context_.now());
  context_.trace(tag.program, name_.name + " runs " + tag.toText() + " as " + command.id.toText());
  const std::string answer =
      R"({"receipt":")" + tag.toText() + R"(","run":)" + std::to_string(++runs_) + "}";
  context_.events.scheduleAfter(
      context_.exponential(kServiceTime),
      [this, connection, tag, dispatch = command.id.toText(), answer] {
        context_.checker.onRunFinished(tag, dispatch, answer, 0, context_.now());
        if (faults_.loseAnswers > 0) {
          --faults_.loseAnswers;
          connection->finish(
              engine::DispatchBroken{connection->attempt(), "answer lost after the effect"});
          return;
        }
        connection->finish(engine::DispatchFinished{connection->attempt(), answer, 0, 0, 0});
      });
}

}  // namespace gorsetrail::sim
