#include "lab/faultsoak/promise_watcher.h"

#include <algorithm>

#include "lab/faultsoak/node_choice.h"
#include "lab/faultsoak/soak_replica.h"

namespace gorsetrail::lab {
namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kBudgetSpent = 402;
constexpr unsigned kNotFound = 404;

bool runsAtMostOnce(SoakRoute route) {
  return route == SoakRoute::Turn || route == SoakRoute::Unsafe;
}

/// \return what all attempts of one request have in common.
std::string requestNameOf(const SoakAttempt& attempt) {
  return std::to_string(static_cast<int>(attempt.route)) + "/" + attempt.program + "/" +
         attempt.expectedInput;
}

EndedReplicaWatcher::Outcome outcomeOf(const SoakAnswer& answer) {
  using Outcome = EndedReplicaWatcher::Outcome;
  constexpr unsigned kUnavailable = 503;
  const bool isQuarantined = answer.status == kUnavailable &&
                             answer.body.find("\"request_quarantined\"") != std::string::npos;
  if (isQuarantined) {
    return answer.namesRetryTime ? Outcome::RefusedForUncertainEnds : Outcome::RefusedForEnds;
  }
  return answer.status == kOk && answer.whole ? Outcome::Whole : Outcome::Other;
}

bool isStream(SoakRoute route) { return route == SoakRoute::Turn || route == SoakRoute::Resumable; }

}  // namespace

std::uint64_t servedOf(const SoakStreams& streams) {
  return static_cast<std::uint64_t>(std::count_if(
      streams.begin(), streams.end(), [](const auto& stream) { return stream.second; }));
}

void PromiseWatcher::onProgram(const std::string& program, std::uint64_t budget,
                               std::uint64_t mostOfOneTurn) {
  programs_[program] = {budget, mostOfOneTurn, 0};
}

void PromiseWatcher::onSent(const SoakAttempt& attempt) {
  attempts_[attempt.id] = {attempt, 0, false, lossOfAll_};
  endedReplicas_.onAttempt(attempt.id, requestNameOf(attempt), attempt.endsReplicas,
                           attempt.isLateReturn);
  if (const auto found = goingOn_.find(attempt.program); found != goingOn_.end()) {
    ++found->second.tries;
  }
}

void PromiseWatcher::onRun(const std::string& id, const std::string& input, bool resumes) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) {
    add({"only_requests_that_were_sent_run", id, "no client sent it"});
    return;
  }
  Known& known = found->second;
  if (known.promisedNotRun) {
    add({"not_run_is_true", id, "it ran after the promise"});
  }
  if (input != known.attempt.expectedInput) {
    add({"a_replica_gets_the_whole_input", id,
         std::to_string(input.size()) + " bytes instead of " +
             std::to_string(known.attempt.expectedInput.size())});
  }
  if (!resumes && ++known.runs > 1 && runsAtMostOnce(known.attempt.route)) {
    add({"at_most_once", id, "run " + std::to_string(known.runs)});
  }
  endedReplicas_.onRun(id);
  takeEndedReplicaViolations();
  noteRunAfterLoss(known);
}

void PromiseWatcher::onReplicaEnd(const std::vector<std::string>& ids) {
  endedReplicas_.onReplicaEnd(ids);
}

void PromiseWatcher::takeEndedReplicaViolations() {
  for (SoakViolation& violation : endedReplicas_.takeViolations()) {
    add(std::move(violation));
  }
}

void PromiseWatcher::onAnswer(const std::string& id, const SoakAnswer& answer) {
  Known& known = attempts_[id];
  ++answers_[answer.status];
  if (promisesNotRun(answer.status)) {
    known.promisedNotRun = true;
    if (known.runs > 0) {
      add({"not_run_is_true", id,
           "it had run before it was answered " + std::to_string(answer.status)});
    }
  }
  if (answer.status == kNotFound && known.attempt.continuesWholeTurn) {
    add({"a_whole_turn_is_found", id, "answered 404"});
  }
  if (answer.status == kOk) {
    SoakAnswer withoutVersions = answer;
    checkVersions(known.attempt, SoakReplica::takeVersions(withoutVersions.body));
    checkBody(known.attempt, withoutVersions);
    countTokens(known.attempt, answer);
  }
  countStream(known.attempt, answer);
  endedReplicas_.onAnswer(id, outcomeOf(answer));
  takeEndedReplicaViolations();
  noteAnswerAfterLoss(known.attempt, answer.status);
}

void PromiseWatcher::noteRunAfterLoss(const Known& known) {
  if (!known.sentAfterLoss || known.attempt.route != SoakRoute::Turn) {
    return;
  }
  const auto found = goingOn_.find(known.attempt.program);
  if (found != goingOn_.end()) {
    found->second.served = true;
  } else if (!known.attempt.continuesWholeTurn) {
    ++firstTurnsAfterLoss_;
  }
}

void PromiseWatcher::noteAnswerAfterLoss(const SoakAttempt& attempt, unsigned status) {
  const auto found = goingOn_.find(attempt.program);
  if (found == goingOn_.end()) {
    return;
  }
  found->second.lastStatus = status;
  if (status == kBudgetSpent && isBudgetSpent(attempt.program)) {
    found->second.served = true;
  }
}

bool PromiseWatcher::isBudgetSpent(const std::string& program) const {
  const auto found = programs_.find(program);
  return found != programs_.end() &&
         found->second.tokens + found->second.mostOfOneTurn > found->second.budget;
}

bool PromiseWatcher::isServedAfterLoss() const {
  return firstTurnsAfterLoss_ >= kLeastFirstTurnsAfterLoss &&
         std::all_of(goingOn_.begin(), goingOn_.end(),
                     [](const auto& entry) { return entry.second.served; });
}

void PromiseWatcher::checkAfterLoss() {
  if (firstTurnsAfterLoss_ < kLeastFirstTurnsAfterLoss) {
    add({"first_turns_are_served_after_a_loss_of_all", "",
         std::to_string(firstTurnsAfterLoss_) + " of them reached a replica"});
    return;
  }
  for (const auto& [program, state] : goingOn_) {
    if (!state.served) {
      add({"a_turn_that_goes_on_after_a_loss_of_all_is_served", program,
           std::to_string(state.tries) + " tries, the last one answered " +
               std::to_string(state.lastStatus)});
    }
  }
}

void PromiseWatcher::checkVersions(const SoakAttempt& attempt,
                                   const std::vector<std::string>& versions) {
  const std::string& stream = attempt.resumes.empty() ? attempt.id : attempt.resumes;
  for (const std::string& version : versions) {
    const std::string& first = versions_.emplace(stream, version).first->second;
    if (version != first) {
      std::string detail = "stream " + stream;
      detail.append(" began at ").append(first).append(" and went on at ").append(version);
      add({"a_stream_has_one_software_version", attempt.id, detail});
      return;
    }
  }
}

void PromiseWatcher::onAllKilled() {
  endedReplicas_.onAllNodesLost();
  for (const auto& [stream, version] : versions_) {
    streamsBeforeKill_.insert(stream);
  }
}

bool PromiseWatcher::isVersionServing(const std::string& stream) const {
  constexpr auto kLeastReplicas = 2;
  const auto version = versions_.find(stream);
  return version != versions_.end() &&
         std::count(serving_.begin(), serving_.end(), version->second) >= kLeastReplicas;
}

void PromiseWatcher::countStream(const SoakAttempt& attempt, const SoakAnswer& answer) {
  const bool isResumed = !attempt.resumes.empty();
  const bool owesNothing = isResumed && (streamsBeforeKill_.contains(attempt.resumes) ||
                                         !isVersionServing(attempt.resumes));
  if (attempt.route != SoakRoute::Resumable || owesNothing || attempt.endsReplicas) {
    return;
  }
  bool& isServed =
      isResumed ? resumedStreams_[attempt.resumes] : newStreams_[attempt.expectedInput];
  isServed = isServed ||
             (answer.status == kOk && (answer.whole || SoakReplica::eventsIn(answer.body) > 0));
}

void PromiseWatcher::checkResumedStreams() {
  const std::uint64_t resumed = servedOf(resumedStreams_);
  const std::uint64_t begun = servedOf(newStreams_);
  // The share that goes on is below half of the share that begins.
  const bool isLow = 2 * resumed * newStreams_.size() < begun * resumedStreams_.size();
  if (resumedStreams_.size() >= kLeastResumedStreams && isLow) {
    add({"resumed_streams_go_on", "",
         std::to_string(resumed) + " of " + std::to_string(resumedStreams_.size()) +
             ", and of new ones began " + std::to_string(begun) + " of " +
             std::to_string(newStreams_.size())});
  }
}

void PromiseWatcher::checkBystanders() {
  const EndedReplicaCases& cases = endedReplicas_.cases();
  const std::uint64_t begun = servedOf(newStreams_);
  const bool isLow = 2 * cases.bystandersServed * newStreams_.size() < begun * cases.bystanders;
  if (cases.bystanders >= kLeastResumedStreams && isLow) {
    add({"a_bystander_is_served", "",
         std::to_string(cases.bystandersServed) + " of " + std::to_string(cases.bystanders) +
             ", and of new streams began " + std::to_string(begun) + " of " +
             std::to_string(newStreams_.size())});
  }
}

void PromiseWatcher::checkBody(const SoakAttempt& attempt, const SoakAnswer& answer) {
  const bool begins = attempt.expectedOutput.compare(0, answer.body.size(), answer.body) == 0;
  if (!begins) {
    add({"an_answer_is_the_request's_own", attempt.id, "other bytes: " + answer.body});
  } else if (answer.whole && answer.body != attempt.expectedOutput) {
    add({"an_answer_that_ends_is_whole", attempt.id,
         std::to_string(answer.body.size()) + " of " +
             std::to_string(attempt.expectedOutput.size()) + " bytes"});
  }
}

void PromiseWatcher::countTokens(const SoakAttempt& attempt, const SoakAnswer& answer) {
  const auto found = programs_.find(attempt.program);
  if (!isStream(attempt.route) || found == programs_.end()) {
    return;
  }
  Program& program = found->second;
  program.tokens +=
      static_cast<std::uint64_t>(SoakReplica::eventsIn(answer.body)) * tokensPerEvent_;
  if (program.tokens > program.budget + program.mostOfOneTurn) {
    add({"a_budget_holds", attempt.id,
         std::to_string(program.tokens) + " tokens of " + std::to_string(program.budget)});
  }
}

}  // namespace gorsetrail::lab
