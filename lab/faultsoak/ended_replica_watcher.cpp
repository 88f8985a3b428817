#include "lab/faultsoak/ended_replica_watcher.h"

#include <utility>

namespace gorsetrail::lab {

EndedReplicaWatcher::Request* EndedReplicaWatcher::requestOf(const std::string& id) {
  const auto name = nameOfAttempt_.find(id);
  return name == nameOfAttempt_.end() ? nullptr : &requests_[name->second];
}

void EndedReplicaWatcher::onAttempt(const std::string& id, const std::string& request,
                                    bool endsReplicas, bool isLateReturn) {
  nameOfAttempt_[id] = request;
  const auto [found, isNew] = requests_.try_emplace(request);
  Request& known = found->second;
  known.endsReplicas = endsReplicas;
  known.endsBefore = isNew ? replicaEnds_ : known.endsBefore;
  const bool isAtLimit = known.ends >= kMostEnds;
  cases_.triesAtLimit += isAtLimit ? 1 : 0;
  cases_.lateTriesAtLimit += isAtLimit && isLateReturn ? 1 : 0;
  if (known.isBystander) {
    known.attemptsAsBystander.push_back(id);
  }
}

void EndedReplicaWatcher::onRun(const std::string& id) {
  Request* const request = requestOf(id);
  if (request == nullptr) {
    return;
  }
  if (request->ends >= kMostEnds) {
    violations_.push_back(
        {"a_request_that_ended_three_replicas_is_not_sent_again", id,
         std::to_string(request->ends) + " replicas had ended under " + nameOfAttempt_[id]});
  }
}

void EndedReplicaWatcher::onReplicaEnd(const std::vector<std::string>& ids) {
  ++replicaEnds_;
  for (const std::string& id : ids) {
    Request* const request = requestOf(id);
    if (request == nullptr) {
      continue;
    }
    ++request->ends;
    ++cases_.ends;
    cases_.requestsAtLimit += request->ends == kMostEnds ? 1 : 0;
    if (!request->endsReplicas && !std::exchange(request->isBystander, true)) {
      ++cases_.bystanders;
      request->attemptsAsBystander = {id};
    }
  }
}

void EndedReplicaWatcher::onAnswer(const std::string& id, Outcome outcome) {
  Request* const request = requestOf(id);
  if (request == nullptr) {
    return;
  }
  const bool isRefused =
      outcome == Outcome::RefusedForEnds || outcome == Outcome::RefusedForUncertainEnds;
  if (isRefused) {
    cases_.refusedAtLimit += request->ends >= kMostEnds ? 1 : 0;
    cases_.refusedBystanders += request->endsReplicas ? 0 : 1;
  }
  // Nodes cannot know whether a replica that ended had begun the request, but it must have ended.
  const std::uint64_t endsMeanwhile = replicaEnds_ - request->endsBefore;
  if (outcome == Outcome::RefusedForEnds && endsMeanwhile < kMostEnds) {
    violations_.push_back({"a_request_is_refused_finally_only_after_three_replicas_ended", id,
                           std::to_string(endsMeanwhile) + " ended since the first attempt of " +
                               nameOfAttempt_[id]});
  }
  if (outcome == Outcome::Whole) {
    cases_.bystandersServed += std::exchange(request->isBystander, false) ? 1 : 0;
    request->ends = 0;
    request->endsBefore = replicaEnds_;
  }
}

void EndedReplicaWatcher::onAllNodesLost() {
  for (auto& [name, request] : requests_) {
    request.ends = 0;
  }
}

std::vector<std::vector<std::string>> EndedReplicaWatcher::unservedBystanders() const {
  std::vector<std::vector<std::string>> unserved;
  for (const auto& [name, request] : requests_) {
    if (request.isBystander) {
      unserved.push_back(request.attemptsAsBystander);
    }
  }
  return unserved;
}

std::vector<SoakViolation> EndedReplicaWatcher::takeViolations() {
  return std::exchange(violations_, {});
}

}  // namespace gorsetrail::lab
