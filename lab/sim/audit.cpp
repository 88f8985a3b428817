// The end of a run: heal, ask again for what was acknowledged, read histories, sum up.
#include <algorithm>
#include <cstdio>
#include <optional>

#include "lab/sim/simulation.h"

namespace gorsetrail::sim {
namespace {

constexpr Duration kAuditRetry = seconds(1);
constexpr Duration kAuditPatience = seconds(60);
/// Programs without a call for longer than their lease less this are closed and not audited.
constexpr Duration kLeaseMargin = seconds(300);

double quantile(std::vector<double> values, double share) {
  if (values.empty()) {
    return 0.0;
  }
  std::sort(values.begin(), values.end());
  const auto place = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
  return values[place];
}

}  // namespace

void Simulation::healEverything() {
  for (const ZoneSpec& zone : context_.scenario.zones) {
    if (context_.network.isPartitioned(zone.name)) {
      context_.network.setPartitioned(zone.name, false);
    }
  }
  context_.network.setConditions({});
  log_.setDown(false);
  log_.setSlow(false);
  log_.setLosesAnswers(false);
  tools_.hanging = false;
  for (const auto& backend : dataPath_.backends()) {
    backend->setHanging(false);
    backend->faults().refuse = 0;
    backend->faults().breakStreams = 0;
    backend->faults().loseAnswers = 0;
  }
  for (const SimNode& node : host_.nodes()) {
    host_.resume(node.id);
  }
  for (const auto& caller : callers_) {
    caller->resume();
  }
}

/// Asks for each acknowledged request again, under its own id: the answer must be the same one.
void Simulation::audit() {
  const bool leaseRuns = context_.scenario.idleLease < context_.scenario.length + kLeaseMargin;
  if (leaseRuns) {
    return;
  }
  for (const ProgramStatePtr& program : programs_) {
    if (program->closed || !program->ended) {
      continue;
    }
    for (const auto& [tag, request] : program->acknowledgedRequests) {
      auditRequest(program, tag, anyNodeOf(program->plan.key.homeZone),
                   context_.now() + kAuditPatience);
    }
  }
}

void Simulation::auditRequest(const ProgramStatePtr& program, const RequestTag& tag, NodeId target,
                              Instant giveUpAt) {
  engine::CallRequest request = program->acknowledgedRequests.at(tag);
  request.mode = engine::AnswerMode::Whole;
  context_.trace(tag.program,
                 "audit asks node " + std::to_string(target.value()) + " for " + tag.toText());
  front_.submit(target, request, [this, program, tag, giveUpAt](const CallerReply& reply) {
    if (reply.kind == CallerReply::Kind::Completed) {
      context_.checker.onAuditAnswer(tag, reply.answer, "", context_.now());
      return;
    }
    const std::string error =
        reply.kind == CallerReply::Kind::Broken ? "broken" : reply.error.toText();
    context_.trace(tag.program,
                   "audit of " + tag.toText() + ": " + error + " " + reply.error.location);
    if (context_.now() >= giveUpAt) {
      context_.checker.onAuditAnswer(tag, std::nullopt, error, context_.now());
      return;
    }
    const std::optional<NodeId> redirect = nodeAtCallerAddress(reply.error.location);
    const NodeId next = redirect ? *redirect : anyNodeOf(program->plan.key.homeZone);
    context_.events.scheduleAfter(
        redirect ? milliseconds(50) : kAuditRetry,
        [this, program, tag, next, giveUpAt] { auditRequest(program, tag, next, giveUpAt); });
  });
}

/// Reads each open program's history at the node that knows it best (`GET /v1/programs/NAME`).
void Simulation::readHistories() {
  for (const ProgramStatePtr& program : programs_) {
    if (program->closed || program->acknowledgedRequests.empty()) {
      continue;
    }
    std::optional<program::ProgramSummary> best;
    for (const SimNode& node : host_.nodes()) {
      if (!node.running()) {
        continue;
      }
      const auto summary = node.core->programSummary(program->plan.key);
      if (summary && (!best || summary->epoch > best->epoch ||
                      (summary->epoch == best->epoch && summary->callsMade > best->callsMade))) {
        best = summary;
      }
    }
    if (best && !best->closed) {
      context_.checker.onHistoryRead(program->plan.key.name, best->history, context_.now());
    }
  }
}

void Simulation::collectFigures() {
  Figures& figures = context_.figures;
  std::size_t unfinished = 0;
  for (const ProgramStatePtr& program : programs_) {
    unfinished += program->ended ? 0 : 1;
  }
  figures.set("programs", static_cast<double>(programs_.size()));
  figures.set("programs_unfinished", static_cast<double>(unfinished));
  figures.set("program_latency_p50_ms", quantile(context_.programLatenciesMs, 0.5));
  figures.set("program_latency_p95_ms", quantile(context_.programLatenciesMs, 0.95));
  figures.set("program_latency_p99_ms", quantile(context_.programLatenciesMs, 0.99));
  figures.set("runs_at_back_ends", static_cast<double>(context_.checker.runsStarted()));
  figures.set("runs_out_of_order_discarded",
              static_cast<double>(context_.checker.runsOutOfOrder()));
  figures.set("events", static_cast<double>(context_.events.eventsRun()));
  figures.set("virtual_seconds", toMilliseconds(context_.now() - Instant{}) / 1000.0);

  const Expectation& expect = context_.scenario.expect;
  const double planned =
      figures.at("programs_completed") + figures.at("programs_ended_by_budget_exceeded");
  context_.report.check(Promise::Outcome,
                        planned * 1000.0 >= static_cast<double>(expect.completedProgramsPerMille) *
                                                static_cast<double>(programs_.size()),
                        context_.now(),
                        "only " + std::to_string(static_cast<int>(planned)) + " of " +
                            std::to_string(programs_.size()) + " programs ended as planned");
  context_.report.check(Promise::Outcome,
                        figures.at("calls_completed_after_takeover") >= expect.minimumTakeovers,
                        context_.now(), "fewer calls than stated were completed by another node");
}

RunResult Simulation::makeResult() const {
  RunResult result;
  result.scenario = context_.scenario.name;
  result.seed = context_.seed;
  result.violations = context_.report.violations();
  result.violationCount = context_.report.totalViolations();
  for (std::size_t place = 0; place < kPromiseCount; ++place) {
    const auto promise = static_cast<Promise>(place);
    const std::string name(promiseName(promise));
    result.checksByPromise[name] = context_.report.checks(promise);
    result.violationsByPromise[name] = context_.report.violationCount(promise);
  }
  result.figures = context_.figures.values();
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx",
                static_cast<unsigned long long>(context_.digest.value()));
  result.digest = text;
  return result;
}

}  // namespace gorsetrail::sim
