#include "lab/load/promise_checker.h"

#include <nlohmann/json.hpp>

#include "lab/standin/answer_text.h"

namespace gorsetrail::load {
namespace {

constexpr std::string_view kAnswerMark = "answer-for ";

std::string hexOf(const ProgramIdentity& program) { return programIdOf(program.key).toHex(); }

/// Dispatch ids begin with the id of the program they belong to.
bool belongsTo(std::string_view dispatchId, const ProgramIdentity& program) {
  return dispatchId.starts_with(hexOf(program) + ".");
}

std::string textOf(const nlohmann::json& document, const char* key) {
  const bool present = document.is_object() && document.contains(key) && document[key].is_string();
  return present ? document[key].get<std::string>() : std::string();
}

}  // namespace

void PromiseChecker::on(const CallStarted& started) {
  calls_.try_emplace(started.key, Call{started, std::nullopt, std::nullopt, false});
}

void PromiseChecker::on(const CallAnswered& answered) {
  const auto found = calls_.find(answered.key);
  if (found == calls_.end()) {
    tally_.check(Promise::WholeAnswer, false, answered.key + ": answer to a call never made");
    return;
  }
  Call& call = found->second;
  call.lastTold = RunOutcome::Completed;
  if (call.answered) {
    checkRepeat(call, answered);
    return;
  }
  if (call.started.application) {
    checkApplicationAnswer(call, answered);
  } else {
    checkEngineAnswer(call, answered);
  }
  checkOrder(call, answered);
  checkBudget(call, answered);
  call.answered = answered;
  const bool isTurn = !call.started.application;
  if (isTurn && call.started.branch.empty()) {
    programs_[call.started.program].rootAnswers.push_back(answered.content);
  }
}

/// The same request id again gets the same answer.
void PromiseChecker::checkRepeat(const Call& call, const CallAnswered& answered) {
  tally_.check(Promise::AtMostOnce, call.answered->content == answered.content,
               answered.key + ": repeated request got another answer");
}

/// Numbers given by the owner rise in the order in which the branch made its calls.
void PromiseChecker::checkOrder(const Call& call, const CallAnswered& answered) {
  if (answered.callNumber == 0) {
    return;
  }
  Branch& branch = programs_[call.started.program].branches[call.started.branch];
  const bool later = call.started.sequence > branch.lastSequence;
  const bool higher = answered.callNumber > branch.lastCallNumber;
  tally_.check(Promise::Order, later && higher,
               answered.key + ": call " + std::to_string(answered.callNumber) + " came after " +
                   std::to_string(branch.lastCallNumber));
  branch.lastSequence = call.started.sequence;
  branch.lastCallNumber = answered.callNumber;
}

void PromiseChecker::checkEngineAnswer(const Call& call, const CallAnswered& answered) {
  const auto label = standin::labelOfWholeAnswer(answered.content);
  const std::size_t tokens = answered.content.size() / standin::kAnswerTokenCharacters;
  tally_.check(Promise::WholeAnswer,
               answered.ended && label.has_value() && tokens == answered.completionTokens,
               answered.key + ": answer is cut, doubled or mixed");
  if (!label) {
    return;
  }
  tally_.check(Promise::WholeAnswer, belongsTo(label->requestId, call.started.program),
               answered.key + ": answer of another program's request " + label->requestId);
  tally_.check(Promise::History, label->digest == call.started.messagesDigest,
               answered.key + ": engine saw other messages than the program sent");
}

void PromiseChecker::checkApplicationAnswer(const Call& call, const CallAnswered& answered) {
  const nlohmann::json answer = nlohmann::json::parse(answered.content, nullptr, false);
  const std::string receipt = textOf(answer, "receipt");
  tally_.check(
      Promise::WholeAnswer,
      answered.ended && receipt.find("-" + call.started.messagesDigest + "-") != std::string::npos,
      answered.key + ": not the receipt of this request: " + receipt);
  tally_.check(Promise::WholeAnswer, belongsTo(textOf(answer, "request_id"), call.started.program),
               answered.key + ": receipt of another program's request");
}

void PromiseChecker::checkBudget(const Call& call, const CallAnswered& answered) {
  Program& program = programs_[call.started.program];
  ++program.calls;
  program.tokens += std::uint64_t{answered.promptTokens} + answered.completionTokens;
  const auto limits = limits_.find({call.started.program.site, call.started.program.key.tenant});
  if (limits == limits_.end()) {
    return;
  }
  const ProgramLimits& limit = limits->second;
  const bool callsHold = limit.callsPerProgram == 0 || program.calls <= limit.callsPerProgram;
  const bool tokensHold = limit.tokensPerProgram == 0 || program.tokens <= limit.tokensPerProgram;
  tally_.check(Promise::Budget, callsHold && tokensHold,
               answered.key + ": program used " + std::to_string(program.calls) + " calls and " +
                   std::to_string(program.tokens) + " tokens");
}

void PromiseChecker::on(const CallRefused& refused) {
  const auto found = calls_.find(refused.key);
  if (found == calls_.end()) {
    return;
  }
  Call& call = found->second;
  call.lastTold = refused.outcome;
  call.everToldNotRun = call.everToldNotRun || refused.outcome == RunOutcome::NotRun;
  if (call.answered) {
    tally_.check(Promise::NotRunIsTrue, refused.outcome != RunOutcome::NotRun,
                 refused.key + ": told not_run after its answer was given");
  }
}

void PromiseChecker::on(const AttemptEnded& ended) {
  if (ended.plannedStop) {
    tally_.check(Promise::PlannedStop, !ended.broken,
                 ended.key + ": cut off by the planned stop of node " + std::to_string(ended.node));
  }
  const auto found = calls_.find(ended.key);
  if (ended.broken && found != calls_.end()) {
    found->second.lastTold = RunOutcome::OutcomeUnknown;
  }
}

void PromiseChecker::on(const ProgramEnded& ended) {
  if (ended.looping) {
    tally_.check(Promise::Budget, ended.stoppedByBudget,
                 ended.program.key.name + ": looping program was not stopped by its budget");
  }
}

/// Every answer that the caller was given stands in the history, in order.
void PromiseChecker::on(const HistorySeen& seen) {
  std::size_t position = 0;
  bool inOrder = true;
  for (const std::string& answer : programs_[seen.program].rootAnswers) {
    // The history is JSON: an answer stands in it escaped.
    const std::string quoted = nlohmann::json(answer).dump();
    const std::size_t found = seen.history.find(quoted, position);
    inOrder = inOrder && found != std::string::npos;
    position = inOrder ? found + quoted.size() : position;
  }
  tally_.check(Promise::History, inOrder,
               seen.program.key.name + ": history lacks an answer or has them in another order");
  checkForeignAnswers(seen);
}

void PromiseChecker::checkForeignAnswers(const HistorySeen& seen) {
  bool own = true;
  std::size_t position = seen.history.find(kAnswerMark);
  while (position != std::string::npos) {
    position += kAnswerMark.size();
    own = own && belongsTo(std::string_view(seen.history).substr(position), seen.program);
    position = seen.history.find(kAnswerMark, position);
  }
  tally_.check(Promise::History, own,
               seen.program.key.name + ": history has an answer of another program");
}

void PromiseChecker::on(const StatusSeen& seen) {
  SiteBundle& site = bundles_[seen.site];
  const auto [entry, isNew] =
      site.nodes.try_emplace(seen.node, NodeStatus{seen.incarnation, seen.bundleVersion, seen.at});
  NodeStatus& node = entry->second;
  if (!isNew && seen.incarnation != node.incarnation) {
    node = NodeStatus{seen.incarnation, seen.bundleVersion, seen.at};
  }
  tally_.check(Promise::BundleInForce, seen.bundleVersion >= node.version,
               seen.site + " node " + std::to_string(seen.node) + ": bundle went from " +
                   std::to_string(node.version) + " to " + std::to_string(seen.bundleVersion));
  node.version = seen.bundleVersion;
  if (seen.bundleVersion > site.highest) {
    site.highest = seen.bundleVersion;
    site.since = seen.at;
  }
  const Instant knowable = std::max(site.since, node.firstSeen);
  if (seen.at - knowable >= bundleGrace_) {
    tally_.check(Promise::BundleInForce, seen.bundleVersion == site.highest,
                 seen.site + " node " + std::to_string(seen.node) + ": bundle " +
                     std::to_string(seen.bundleVersion) + " in force, others have " +
                     std::to_string(site.highest));
  }
}

void PromiseChecker::on(const RunsCounted& counted) {
  runsByContent_[counted.content] += counted.count;
}

void PromiseChecker::on(const LeavingWatched& watched) {
  tally_.check(Promise::Leaving, watched.requestsAtEnd == watched.requestsAfterGrace,
               watched.backend + ": got " +
                   std::to_string(watched.requestsAtEnd - watched.requestsAfterGrace) +
                   " requests after the grace");
}

void PromiseChecker::on(const HoldsSeen& seen) {
  tally_.check(Promise::EngineMemory, seen.count == 0,
               seen.engine + ": " + std::to_string(seen.count) +
                   " holds are left of programs that are gone");
}

void PromiseChecker::checkRuns(const Call& call) {
  const auto found = runsByContent_.find(call.started.messagesDigest);
  const std::uint32_t count = found == runsByContent_.end() ? 0 : found->second;
  const std::string runs = call.started.key + ": " + std::to_string(count) + " runs";
  tally_.check(Promise::AtMostOnce, count <= 1, runs);
  if (call.answered) {
    tally_.check(Promise::WholeAnswer, count > 0, runs + ", but an answer was given");
  }
  if (call.everToldNotRun && call.lastTold != RunOutcome::OutcomeUnknown) {
    // Refused attempts ran nothing: all there may be is the run of the attempt that was answered.
    const std::uint32_t allowed = call.answered ? 1 : 0;
    tally_.check(Promise::NotRunIsTrue, count <= allowed, runs + ", but not_run was told");
  }
}

void PromiseChecker::finish(bool runsKnown) {
  for (const auto& [key, call] : calls_) {
    if (runsKnown && call.started.application) {
      checkRuns(call);
    }
  }
}

}  // namespace gorsetrail::load
