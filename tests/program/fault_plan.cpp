#include "program/fault_plan.h"

#include <set>

namespace gorsetrail::program {
namespace {

constexpr std::uint32_t kNodes = 5;
constexpr std::uint32_t kReplicas = 3;
constexpr unsigned kSteps = 60;
constexpr unsigned kRequests = 10;
/// The generator ignores the lowest bits of its seed: neighbours must differ in the others.
constexpr std::uint64_t kSeedSpread = 0x9E3779B97F4A7C15;
constexpr ClusterConditions kConditions{
    .lossPerMille = 60, .duplicatePerMille = 60, .latePerMille = 60};

constexpr std::uint64_t kFirstRepeatable = 7;

std::string requestKey(std::uint64_t number) {
  return (number < kFirstRepeatable ? "pay-" : "ask-") + std::to_string(number);
}
bool isRepeatable(const std::string& key) { return key.starts_with("ask-"); }

}  // namespace

FaultPlan::FaultPlan(std::uint64_t seed, ProgramKnobs knobs)
    : cluster_(kNodes, seed * kSeedSpread, kConditions, knobs) {}

std::uint32_t FaultPlan::anyNode() {
  return static_cast<std::uint32_t>(1 + cluster_.random().below(kNodes));
}

std::vector<std::string> FaultPlan::run() {
  for (unsigned index = 0; index < kSteps; ++index) {
    step();
  }
  if (killed_ != 0) {
    cluster_.restart(killed_);
  }
  cluster_.heal();
  cluster_.run(seconds(3));
  std::vector<std::string> broken;
  // An owner that lost its epoch during the faults may learn it only now; the request it was
  // given then stays unknown for good, but another one must be served.
  const bool isServing =
      cluster_.askUntilAnswered("last").answer || cluster_.askUntilAnswered("next to last").answer;
  if (!isServing) {
    broken.emplace_back("a healed cluster answers no new request");
  }
  for (const std::string& violation : violations()) {
    broken.push_back(violation);
  }
  return broken;
}

void FaultPlan::step() {
  askSomething();
  if (cluster_.random().below(3) == 0) {
    strike();
  }
  cluster_.run(milliseconds(static_cast<std::int64_t>(5 + cluster_.random().below(120))));
}

void FaultPlan::askSomething() {
  const std::uint32_t node = anyNode();
  if (cluster_.isUp(node) && !cluster_.isPaused(node)) {
    const std::uint64_t number = cluster_.random().below(kRequests);
    const std::string key = requestKey(number);
    if (isRepeatable(key)) {
      cluster_.call(node, key, true, "[]", key);
    } else {
      cluster_.call(node, key, false, "[]", number % 2 == 0 ? "" : "sub");
    }
  }
}

void FaultPlan::strike() {
  const std::uint32_t node = anyNode();
  switch (cluster_.random().below(8)) {
    case 0:
    case 1:
      if (cluster_.isUp(node)) {
        cluster_.pause(node);
        cluster_.suspect(node);
      }
      break;
    case 2:
    case 3:
      if (cluster_.isUp(node) && cluster_.isPaused(node)) {
        cluster_.resume(node);
        cluster_.suspect(node, false);
      }
      break;
    case 4:
    case 5:
      restartIfTolerated(node);
      break;
    case 6:
      cluster_.suspect(node, cluster_.random().below(2) == 0);
      break;
    default:
      cluster_.cut(node, anyNode(), cluster_.random().below(2) == 0);
      break;
  }
}

void FaultPlan::restartIfTolerated(std::uint32_t node) {
  if (killed_ != 0) {
    cluster_.restart(killed_);
    killed_ = 0;
    return;
  }
  const ProgramId program = programIdOf(cluster_.key);
  for (std::uint32_t other = 1; other <= kReplicas; ++other) {
    const bool mayForget = node > kReplicas || other == node;
    if (!mayForget && cluster_.service(other).replica().trustOf(program) != ReplicaTrust::Filled) {
      return;
    }
  }
  if (cluster_.random().below(2) == 0) {
    cluster_.kill(node);
    killed_ = node;
  } else {
    cluster_.restart(node);
  }
}

std::vector<std::string> FaultPlan::violations() const {
  std::vector<std::string> broken = answerViolations();
  for (const auto& [key, count] : cluster_.runs()) {
    if (count > 1 && !isRepeatable(key)) {
      broken.push_back(key + " ran " + std::to_string(count) + " times");
    }
  }
  std::set<std::uint32_t> dispatchedNumbers;
  for (const auto& [handle, report] : cluster_.reports()) {
    if (report.error && report.error->outcome == RunOutcome::NotRun && report.dispatched) {
      broken.push_back(report.key + " was called not run after its dispatch");
    }
    if (report.dispatch && !report.repeatable &&
        !dispatchedNumbers.insert(report.dispatch->call.value()).second) {
      broken.push_back(report.key + " shares its number with another dispatched call");
    }
  }
  return broken;
}

std::vector<std::string> FaultPlan::answerViolations() const {
  std::vector<std::string> broken;
  std::map<std::string, const CallReport*> answered;
  for (const auto& [handle, report] : cluster_.reports()) {
    if (!report.answer) {
      continue;
    }
    const CallReport*& first = answered.emplace(report.key, &report).first->second;
    if (*first->answer != *report.answer) {
      broken.push_back(report.key + " got two answers");
    }
    if (report.overAt < first->overAt) {
      first = &report;
    }
    if (cluster_.runsOf(report.key) == 0) {
      broken.push_back(report.key + " was answered and never ran");
    }
  }
  for (const auto& [handle, report] : cluster_.reports()) {
    const auto position = answered.find(report.key);
    if (report.error && report.error->kind == ErrorKind::OutcomeNotKnown &&
        position != answered.end() && position->second->overAt < report.askedAt) {
      broken.push_back(report.key + " lost its acknowledged answer");
    }
  }
  return broken;
}

}  // namespace gorsetrail::program
