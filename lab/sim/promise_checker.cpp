#include "lab/sim/promise_checker.h"

#include <algorithm>

namespace gorsetrail::sim {

void PromiseChecker::onSubmitted(const RequestTag& tag, const RequestMeaning& meaning) {
  Request& request = requests_[tag];
  request.meaning = meaning;
  request.toldNotRun = false;
  ++request.open;
}

void PromiseChecker::onCompleted(const RequestTag& tag, const ReadAnswer& answer, Instant now) {
  Request& request = requests_[tag];
  --request.open;
  request.toldNotRun = false;
  report_.check(Promise::WholeAnswer, request.generated.count(answer.answer) != 0, now,
                tag.toText() + " was answered with what no back end made for it: '" +
                    answer.answer.substr(0, 80) + "'");
  report_.check(Promise::CallOrder, request.outOfOrder.count(answer.answer) == 0, now,
                tag.toText() + " was answered by a run that began after a later step's");
  if (answer.streamed && !answer.replayed) {
    report_.check(Promise::WholeAnswer, answer.chunks == answer.answer, now,
                  tag.toText() + " streamed text differs from the answer");
  }
  if (request.acknowledged) {
    report_.check(Promise::History, *request.acknowledged == answer.answer, now,
                  tag.toText() + " was answered differently before");
  }
  request.acknowledged = answer.answer;
}

void PromiseChecker::onRefused(const RequestTag& tag, const Error& error, Instant saidAt) {
  Request& request = requests_[tag];
  --request.open;
  const bool isRedirect = !error.location.empty();
  if (isRedirect || error.outcome != RunOutcome::NotRun) {
    return;
  }
  const bool ranBefore = request.firstRunAt && *request.firstRunAt <= saidAt;
  report_.check(Promise::NotRun, !ranBefore, saidAt,
                tag.toText() + " was refused as not run (" +
                    std::string(errorKindName(error.kind)) + ") and ran " +
                    std::to_string(request.runs) + " times");
  request.toldNotRun = request.runs == 0 && request.open == 0 && request.abandoned == 0;
}

void PromiseChecker::onAbandoned(const RequestTag& tag) {
  Request& request = requests_[tag];
  --request.open;
  ++request.abandoned;
}

void PromiseChecker::onProgramGone(const std::string& program, Instant now) {
  Program& record = programs_[program];
  if (!record.goneAt) {
    record.goneAt = now;
  }
}

void PromiseChecker::onAuditAnswer(const RequestTag& tag, const std::optional<std::string>& answer,
                                   const std::string& error, Instant now) {
  const Request& request = requests_[tag];
  report_.check(
      Promise::History, answer.has_value() && answer == request.acknowledged, now,
      tag.toText() + " was acknowledged and is lost: " + (answer ? "another answer" : error));
}

void PromiseChecker::onHistoryRead(const std::string& program, const std::string& history,
                                   Instant now) {
  std::size_t place = 0;
  for (const auto& [tag, request] : requests_) {
    const bool isTurn = tag.program == program && tag.branch.empty() && request.acknowledged &&
                        request.meaning.repeatable;
    if (!isTurn) {
      continue;
    }
    const std::size_t found = history.find(*request.acknowledged, place);
    report_.check(Promise::History, found != std::string::npos, now,
                  tag.toText() + " is missing or out of order in the history read back");
    place = found == std::string::npos ? place : found;
  }
  for (std::size_t begin = history.find("[["); begin != std::string::npos;
       begin = history.find("[[", begin + 2)) {
    const std::size_t end = history.find('|', begin);
    const bool own =
        end != std::string::npos && history.substr(begin + 2, end - begin - 2) == program;
    report_.check(Promise::History, own, now, program + " shows turns of another program");
  }
}

void PromiseChecker::onDispatchArrived(const std::string& backend, Instant now) {
  const auto leaving = leavingSince_.find(backend);
  const bool late = leaving != leavingSince_.end() && now - leaving->second > limits_.leavingGrace;
  report_.check(Promise::LeavingBackend, !late, now,
                backend + " got new work more than " +
                    std::to_string(limits_.leavingGrace / seconds(1)) +
                    " s after it began to leave");
}

void PromiseChecker::onRunStarted(const RequestTag& tag, const std::string& dispatch, Instant now) {
  ++runsStarted_;
  Request& request = requests_[tag];
  ++request.runs;
  request.firstRunAt = request.firstRunAt.value_or(now);
  if (!request.meaning.repeatable) {
    report_.check(
        Promise::AtMostOnce, request.runs == 1, now,
        tag.toText() + " ran " + std::to_string(request.runs) + " times, now as " + dispatch);
  }
  report_.check(Promise::NotRun, !request.toldNotRun, now,
                tag.toText() + " ran after its caller was told that it did not run");
  Program& program = programs_[tag.program];
  std::uint32_t& highest = program.highestRun[tag.branch];
  const bool inOrder = tag.step >= highest;
  report_.check(Promise::CallOrder, inOrder || request.meaning.repeatable, now,
                tag.toText() + " ran after step " + std::to_string(highest) + " of its branch");
  if (!inOrder) {
    ++runsOutOfOrder_;
    request.lateDispatches.insert(dispatch);
  }
  highest = std::max(highest, tag.step);
  program.runTags.insert(tag);
  report_.check(Promise::Budget, program.runTags.size() <= limits_.callsPerProgram, now,
                tag.program + " ran " + std::to_string(program.runTags.size()) +
                    " calls, allowed " + std::to_string(limits_.callsPerProgram));
}

void PromiseChecker::onRunFinished(const RequestTag& tag, const std::string& dispatch,
                                   const std::string& answer, std::uint32_t tokens, Instant now) {
  Request& request = requests_[tag];
  request.generated.insert(answer);
  if (request.lateDispatches.count(dispatch) != 0) {
    request.outOfOrder.insert(answer);
  }
  Program& program = programs_[tag.program];
  program.tokens += tokens;
  report_.check(Promise::Budget, program.tokens <= limits_.tokensPerProgram, now,
                tag.program + " used " + std::to_string(program.tokens) + " tokens, allowed " +
                    std::to_string(limits_.tokensPerProgram));
}

void PromiseChecker::onBackendLeaving(const std::string& backend, bool leaving, Instant now) {
  if (leaving) {
    leavingSince_.emplace(backend, now);
  } else {
    leavingSince_.erase(backend);
  }
}

void PromiseChecker::onStreamHeld(const std::string& engine, const RequestTag& tag, Instant since,
                                  Duration timeLimit, Instant now) {
  Instant freeBy = since + timeLimit;
  const auto program = programs_.find(tag.program);
  if (program != programs_.end() && program->second.goneAt) {
    freeBy = std::min(freeBy, std::max(*program->second.goneAt, since));
  }
  freeBy += limits_.orphanGrace;
  const bool held = now > freeBy;
  if (held && !orphans_.emplace(engine, tag).second) {
    return;  // Counted before.
  }
  report_.check(Promise::EngineMemory, !held, now,
                engine + " still holds " + tag.toText() + " that nobody waits for");
}

void PromiseChecker::onPrefixHeld(const std::string& engine, const std::string& program,
                                  Instant now) {
  const auto found = programs_.find(program);
  const bool gone = found != programs_.end() && found->second.goneAt.has_value();
  const bool held = gone && now > *found->second.goneAt + limits_.orphanGrace;
  if (held && !orphanPrefixes_.emplace(engine, program).second) {
    return;  // Counted before.
  }
  report_.check(Promise::EngineMemory, !held, now,
                engine + " still holds a prefix of " + program + ", which is gone");
}

void PromiseChecker::onPlannedStop(NodeId node, std::size_t cutOff, bool drained, Instant now) {
  const std::string name = "node " + std::to_string(node.value());
  report_.check(Promise::PlannedStop, drained, now, name + " did not drain");
  report_.check(Promise::PlannedStop, cutOff == 0, now,
                name + " cut off " + std::to_string(cutOff) + " requests in flight");
}

void PromiseChecker::onBundleSeen(NodeId node, Incarnation incarnation, BundleVersion version,
                                  Instant now) {
  SeenBundle& seen = bundles_[node];
  const bool sameLife = seen.incarnation == incarnation;
  report_.check(Promise::Bundle, !sameLife || version >= seen.version, now,
                "node " + std::to_string(node.value()) + " went from bundle " +
                    std::to_string(seen.version.value()) + " to " +
                    std::to_string(version.value()));
  seen = {incarnation, version};
}

void PromiseChecker::onBundleDue(NodeId node, BundleVersion seen, BundleVersion accepted,
                                 Instant dueSince, Instant now) {
  if (now - dueSince <= limits_.bundleGrace) {
    return;
  }
  report_.check(Promise::Bundle, seen >= accepted, now,
                "node " + std::to_string(node.value()) + " has bundle " +
                    std::to_string(seen.value()) + ", accepted is " +
                    std::to_string(accepted.value()));
}

std::vector<RequestTag> PromiseChecker::acknowledged() const {
  std::vector<RequestTag> tags;
  for (const auto& [tag, request] : requests_) {
    if (request.acknowledged) {
      tags.push_back(tag);
    }
  }
  return tags;
}

std::optional<std::string> PromiseChecker::acknowledgedAnswer(const RequestTag& tag) const {
  const auto found = requests_.find(tag);
  return found == requests_.end() ? std::nullopt : found->second.acknowledged;
}

RequestMeaning PromiseChecker::meaningOf(const RequestTag& tag) const {
  const auto found = requests_.find(tag);
  return found == requests_.end() ? RequestMeaning{} : found->second.meaning;
}

}  // namespace gorsetrail::sim
