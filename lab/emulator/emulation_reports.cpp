/// \file What an emulation shows: late reports to its nodes, and figures to its reader.

#include <utility>

#include "lab/emulator/emulation.h"

namespace gorsetrail::emulator {
namespace {

constexpr std::uint64_t kInventoryRounds = 30;

}  // namespace

bool Emulation::measured(std::uint32_t program) const {
  return plans_[rootOf(program)].arrival.time_since_epoch() >= workload_.warmUp;
}

void Emulation::firstToken(std::uint32_t program) {
  if (measured(program)) {
    measures_.firstTokenMs.push_back(
        toMilliseconds(now_ + workload_.oneWayDelay - programs_[program].callAt));
  }
}

void Emulation::recordLatency(std::uint32_t program) {
  const Program& state = programs_[program];
  const ProgramPlan& plan = plans_[program];
  const Duration total = now_ - state.firstCallAt;
  const double latency = toMilliseconds(total - state.toolTime);
  measures_.programLatencyMs.push_back(latency);
  measures_.programTotalMs.push_back(toMilliseconds(total));
  const double least = toMilliseconds(leastEngineTime(plan, workload_));
  measures_.tenantSlowdownSum[plan.tenant] += latency / least;
  ++measures_.tenantPrograms[plan.tenant];
}

void Emulation::recordUnfinished() {
  for (const ProgramPlan& plan : plans_) {
    const Program& state = programs_[plan.index];
    if (plan.parent || state.ended || !measured(plan.index)) {
      continue;
    }
    ++measures_.unfinishedPrograms;
    if (state.started) {
      recordLatency(plan.index);
    }
  }
}

void Emulation::deliverReports() {
  ++reportRounds_;
  for (std::uint32_t engine = 0; engine < engines_.size(); ++engine) {
    const scheduling::ReplicaIndex replica(engine);
    const auto cacheEvents = engines_[engine].cacheEventsAfter(eventSequences_[engine]);
    eventSequences_[engine] = engines_[engine].cache().lastSequence();
    for (DecisionNode& node : nodes_) {
      // Reports are one interval old when they arrive.
      node.takeReport(replica, lastReports_[engine]);
      if (losses_.fraction() < workload_.eventLossProbability) {
        node.eventsLost(replica);
      } else {
        node.takeEvents(replica, cacheEvents);
      }
      if (reportRounds_ % kInventoryRounds == 0) {
        node.takeInventory(replica, engines_[engine].inventory());
      }
    }
    lastReports_[engine] = {engines_[engine].load(), engines_[engine].currentStep(), now_};
  }
  events_.add(now_ + workload_.reportInterval, EventKind::ReportsArrive, 0);
}

void Emulation::showTruth(std::uint32_t program) {
  std::vector<std::uint32_t> cached;
  std::vector<enginemodel::EngineLoad> loads;
  for (const enginemodel::EngineModel& engine : engines_) {
    const std::size_t blocks = engine.cache().matchedBlocks(programs_[program].context.chain());
    cached.push_back(static_cast<std::uint32_t>(blocks) * workload_.engine.blockTokens);
    loads.push_back(engine.load());
  }
  nodeOf(program).overrideViews(cached, loads);
}

Figures Emulation::collectFigures() {
  Figures figures = figuresOf(measures_, workload_.duration - workload_.warmUp);
  enginemodel::StepTimes steps;
  double idle = 0.0;
  for (enginemodel::EngineModel& engine : engines_) {
    idle += engine.cache().idleTokenSeconds();
    steps.merge(engine.stepTimes());
  }
  std::vector<double> decisions;
  for (const DecisionNode& node : nodes_) {
    decisions.insert(decisions.end(), node.decisionMicroseconds().begin(),
                     node.decisionMicroseconds().end());
  }
  figures["wasted_idle_token_s"] = idle;
  figures["between_tokens_p95_ms"] = steps.quantileMilliseconds(0.95);
  figures["decision_us_p99"] = quantileOf(std::move(decisions), 0.99);
  return figures;
}

}  // namespace gorsetrail::emulator
