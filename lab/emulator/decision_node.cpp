#include "lab/emulator/decision_node.h"

#include <chrono>
#include <string>

#include "lab/emulator/prompt_context.h"

namespace gorsetrail::emulator {
namespace {

constexpr std::size_t kMarksPerReplica = 1024;

}  // namespace

DecisionNode::DecisionNode(const Workload& workload, std::string_view policy, std::uint64_t seed)
    : blockTokens_(workload.engine.blockTokens),
      latencyWeight_(workload.latencyWeight),
      policy_(scheduling::makePolicy(policy)),
      index_(kMarksPerReplica),
      random_(seed),
      replicas_(workload.replicas),
      reportTakenAt_(workload.replicas) {
  for (std::uint32_t index = 0; index < workload.replicas; ++index) {
    replicas_[index].name = "lm-" + std::to_string(index + 1);
    replicas_[index].observedStepMilliseconds = toMilliseconds(workload.engine.baseStep);
  }
}

scheduling::ReplicaIndex DecisionNode::place(const CallToPlace& call, Instant now) {
  const auto begin = std::chrono::steady_clock::now();
  scheduling::CallDescription description;
  description.program = call.program;
  description.promptTokens = call.promptTokens;
  description.priorityLevel = call.priorityLevel;
  description.programAttainedTokens = call.attainedTokens;
  description.latencyWeight = latencyWeight_;
  description.previous = call.previous;
  for (std::uint32_t index = 0; index < replicas_.size(); ++index) {
    description.candidates.emplace_back(index);
    replicas_[index].reportAge = now - reportTakenAt_[index];
  }
  if (!overridden_) {
    index_.applyTo(call.marks, replicas_);
  }
  overridden_ = false;
  const auto choice = policy_->choose(description, replicas_, random_);
  const auto end = std::chrono::steady_clock::now();
  decisionMicroseconds_.push_back(std::chrono::duration<double, std::micro>(end - begin).count());
  ++replicas_[choice->replica.value()].ownOutstanding;
  return choice->replica;
}

void DecisionNode::callEnded(scheduling::ReplicaIndex replica,
                             const std::vector<scheduling::PrefixMark>& marks) {
  callDropped(replica);
  for (const scheduling::PrefixMark& mark : marks) {
    index_.stored(replica, mark);
  }
}

void DecisionNode::callDropped(scheduling::ReplicaIndex replica) {
  --replicas_[replica.value()].ownOutstanding;
}

void DecisionNode::takeReport(scheduling::ReplicaIndex replica, const LoadReport& report) {
  scheduling::ReplicaView& view = replicas_[replica.value()];
  view.reportedRunning = report.load.running;
  view.reportedQueued = report.load.queued;
  if (report.step.count() > 0) {
    view.observedStepMilliseconds = toMilliseconds(report.step);
  }
  reportTakenAt_[replica.value()] = report.takenAt;
}

void DecisionNode::takeEvents(scheduling::ReplicaIndex replica,
                              const std::vector<enginemodel::CacheEvent>& events) {
  for (const enginemodel::CacheEvent& event : events) {
    if (event.kind == enginemodel::CacheEventKind::Evicted) {
      index_.evicted(replica, event.prefix);
    } else if (event.tokens % kMarkIntervalTokens < blockTokens_) {
      index_.stored(replica, {event.prefix, event.tokens});
    }
  }
}

void DecisionNode::takeInventory(scheduling::ReplicaIndex replica,
                                 const std::vector<enginemodel::CachedPrefix>& inventory) {
  std::vector<scheduling::PrefixHash> present;
  present.reserve(inventory.size());
  for (const enginemodel::CachedPrefix& cached : inventory) {
    present.push_back(cached.prefix);
  }
  index_.reconcile(replica, present);
}

void DecisionNode::overrideViews(const std::vector<std::uint32_t>& cachedTokens,
                                 const std::vector<enginemodel::EngineLoad>& loads) {
  for (std::size_t index = 0; index < replicas_.size(); ++index) {
    replicas_[index].cachedProgramTokens = cachedTokens[index];
    replicas_[index].reportedRunning = loads[index].running;
    replicas_[index].reportedQueued = loads[index].queued;
  }
  overridden_ = true;
}

}  // namespace gorsetrail::emulator
