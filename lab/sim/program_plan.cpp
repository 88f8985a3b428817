#include "lab/sim/program_plan.h"

namespace gorsetrail::sim {
namespace {

constexpr std::uint32_t kSubAgentSteps = 3;

Step drawCall(SimContext& context) {
  Step step;
  const WorkloadSpec& workload = context.scenario.workload;
  if (context.scenario.applicationsPerZone > 0 && context.happens(workload.applicationPerMille)) {
    step.kind = StepKind::ApplicationRequest;
    return step;
  }
  step.stream = context.happens(workload.streamPerMille);
  return step;
}

Step drawTool(SimContext& context) {
  Step step;
  step.kind = StepKind::Tool;
  step.toolTime = context.exponential(context.scenario.workload.toolTime);
  return step;
}

/// A branch begins with an engine call, so that the program is opened by it.
std::vector<Step> drawCalls(SimContext& context, std::uint32_t count) {
  std::vector<Step> steps(1);
  while (steps.size() < count) {
    steps.push_back(drawCall(context));
    if (context.happens(context.scenario.workload.toolPerMille)) {
      steps.push_back(drawTool(context));
    }
  }
  return steps;
}

void addSubAgents(SimContext& context, ProgramPlan& plan, std::vector<Step>& root) {
  std::vector<Step> steps;
  for (const Step& step : root) {
    steps.push_back(step);
    if (!context.happens(context.scenario.workload.subAgentPerMille)) {
      continue;
    }
    Step start;
    start.kind = StepKind::SubAgent;
    start.child = "sub-" + std::to_string(plan.branches.size() + 1);
    plan.branches[start.child] = drawCalls(context, kSubAgentSteps);
    steps.push_back(start);
  }
  root = std::move(steps);
}

}  // namespace

ProgramPlan drawProgram(SimContext& context, std::uint32_t number, const std::string& homeZone,
                        NodeId firstNode) {
  const WorkloadSpec& workload = context.scenario.workload;
  ProgramPlan plan;
  plan.key = {homeZone, kTenant, "program-" + std::to_string(number)};
  plan.firstNode = firstNode;
  plan.looping = context.happens(workload.loopingPerMille);
  const std::uint32_t spread = workload.maximumSteps - workload.minimumSteps + 1;
  const auto count =
      workload.minimumSteps + static_cast<std::uint32_t>(context.random.below(spread));
  std::vector<Step> root = drawCalls(context, count);
  addSubAgents(context, plan, root);
  plan.branches[""] = std::move(root);
  return plan;
}

}  // namespace gorsetrail::sim
