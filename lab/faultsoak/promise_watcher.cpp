#include "lab/faultsoak/promise_watcher.h"

#include "lab/faultsoak/node_choice.h"

namespace gorsetrail::lab {
namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kNotFound = 404;

bool runsAtMostOnce(SoakRoute route) {
  return route == SoakRoute::Turn || route == SoakRoute::Unsafe;
}

bool isStream(SoakRoute route) { return route == SoakRoute::Turn || route == SoakRoute::Resumable; }

std::uint64_t eventsIn(const std::string& body) {
  std::uint64_t events = 0;
  for (std::size_t at = body.find("\n\n"); at != std::string::npos;
       at = body.find("\n\n", at + 2)) {
    ++events;
  }
  return events;
}

}  // namespace

void PromiseWatcher::onProgram(const std::string& program, std::uint64_t budget,
                               std::uint64_t mostOfOneTurn) {
  programs_[program] = {budget, mostOfOneTurn, 0};
}

void PromiseWatcher::onSent(const SoakAttempt& attempt) {
  attempts_[attempt.id] = {attempt, 0, false};
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
    checkBody(known.attempt, answer);
    countTokens(known.attempt, answer);
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
  program.tokens += eventsIn(answer.body) * tokensPerEvent_;
  if (program.tokens > program.budget + program.mostOfOneTurn) {
    add({"a_budget_holds", attempt.id,
         std::to_string(program.tokens) + " tokens of " + std::to_string(program.budget)});
  }
}

}  // namespace gorsetrail::lab
