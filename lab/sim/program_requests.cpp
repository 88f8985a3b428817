// Sends the requests of a program and reads their answers.
#include <algorithm>
#include <utility>

#include "lab/sim/program_caller.h"

namespace gorsetrail::sim {
namespace {

constexpr Duration kShortestRetry = milliseconds(300);
constexpr Duration kBrokenRetry = milliseconds(500);
constexpr std::uint32_t kMaximumRedirects = 4;
/// A caller asks so often for a request whose outcome is unknown before it goes on.
constexpr std::uint32_t kUnknownsBeforeGoingOn = 3;
constexpr const char* kPadding =
    " please check the following paragraph and answer in the usual form, one line an item";

/// Errors that the same request meets again however often it is repeated.
bool isFinal(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::MalformedRequest:
    case ErrorKind::RequestTooLarge:
    case ErrorKind::MissingField:
    case ErrorKind::InvalidField:
    case ErrorKind::UnknownField:
    case ErrorKind::UnknownModel:
    case ErrorKind::UnknownTenant:
    case ErrorKind::WorkNotAllowed:
    case ErrorKind::ProgramClosed:
    case ErrorKind::HistoryMismatch:
    case ErrorKind::RequestConflict:
    case ErrorKind::BudgetExceeded:
      return true;
    default:
      return false;
  }
}

std::string joinMessages(const std::vector<std::string>& history, const std::string& last) {
  std::string text = "[";
  for (const std::string& message : history) {
    text += message;
    text += ',';
  }
  return text + last + "]";
}

std::string describe(const CallerReply& reply) {
  switch (reply.kind) {
    case CallerReply::Kind::Completed:
      return (reply.replayed ? "replayed " : "completed ") + reply.answer.substr(0, 90);
    case CallerReply::Kind::Refused:
      return reply.error.toText() + " [" + std::string(runOutcomeName(reply.error.outcome)) + "] " +
             reply.error.location;
    case CallerReply::Kind::Broken:
      return "broken";
    case CallerReply::Kind::Closed:
      return "closed";
  }
  return "";
}

}  // namespace

std::string userMessageJson(const RequestTag& tag) {
  return R"({"role":"user","content":")" + tag.toText() + kPadding + R"("})";
}

std::string assistantMessageJson(const std::string& answer) {
  return R"({"role":"assistant","content":")" + answer + R"("})";
}

void ProgramCaller::startAsk(const WalkPtr& walk, const Step& step) {
  const auto ask = std::make_shared<Ask>();
  ask->walk = walk;
  ask->tag = {program_->plan.key.name, walk->branch, walk->step};
  ask->meaning.application = step.kind == StepKind::ApplicationRequest;
  ask->meaning.repeatable = !ask->meaning.application;
  ask->giveUpAt = context_.now() + context_.scenario.workload.keepAsking;
  ask->target = node_;
  fillRequest(*ask, step);
  open_.push_back(ask);
  send(ask);
}

void ProgramCaller::fillRequest(Ask& ask, const Step& step) const {
  const WorkloadSpec& workload = context_.scenario.workload;
  ask.userMessage = userMessageJson(ask.tag);
  engine::CallRequest& request = ask.request;
  request.key = program_->plan.key;
  request.branchPath = ask.walk->branch;
  request.repeatable = ask.meaning.repeatable;
  request.work = ask.meaning.application ? kApplicationWork : kEngineWork;
  request.messages = ask.meaning.application ? joinMessages({}, ask.userMessage)
                                             : joinMessages(ask.walk->history, ask.userMessage);
  request.maximumTokens = workload.maximumTokens;
  request.mode = step.stream ? engine::AnswerMode::Stream : engine::AnswerMode::Whole;
  request.timeLimit = workload.callTimeLimit;
  request.body = R"({"messages":)" + request.messages + R"(,"model":")" + request.work +
                 R"(","stream":)" + (step.stream ? "true" : "false") + R"(,"max_tokens":)" +
                 std::to_string(workload.maximumTokens) + "}";
}

void ProgramCaller::send(const AskPtr& ask) {
  if (context_.now() >= ask->giveUpAt) {
    settle(ask);
    giveUp("programs_given_up");
    return;
  }
  ask->requestIdVersion = program_->requestIdVersions[ask->tag];
  ask->request.idempotencyKey = ask->tag.toText() + "." + std::to_string(ask->requestIdVersion);
  ask->open = true;
  context_.figures.count("requests_sent");
  context_.trace(ask->tag.program, "caller at node " + std::to_string(node_.value()) +
                                       " asks node " + std::to_string(ask->target.value()) + ": " +
                                       ask->request.idempotencyKey);
  context_.checker.onSubmitted(ask->tag, ask->meaning);
  const auto handle = std::make_shared<CallHandle>();
  *handle = front_.submit(ask->target, ask->request,
                          [this, self = shared_from_this(), ask, handle](const CallerReply& reply) {
                            run([this, ask, handle, reply] { onReply(ask, *handle, reply); });
                          });
  ask->handle = *handle;
  after(context_.scenario.workload.callerTimeout, [this, ask, handle] { onTimeout(ask, *handle); });
}

void ProgramCaller::onTimeout(const AskPtr& ask, CallHandle handle) {
  if (!ask->open || ask->handle != handle) {
    return;
  }
  ask->open = false;
  context_.figures.count("caller_timeouts");
  front_.abandon(handle);
  context_.checker.onAbandoned(ask->tag);
  useNextNode(ask);
  send(ask);
}

void ProgramCaller::onReply(const AskPtr& ask, CallHandle handle, const CallerReply& reply) {
  if (!ask->open || ask->handle != handle) {
    return;
  }
  ask->open = false;
  const std::string mark = ask->tag.toText() + std::to_string(static_cast<int>(reply.kind));
  context_.digest.add(context_.now(), mark + reply.answer);
  context_.trace(ask->tag.program, ask->request.idempotencyKey + " <- " + describe(reply));
  switch (reply.kind) {
    case CallerReply::Kind::Completed:
      onCompleted(ask, reply);
      return;
    case CallerReply::Kind::Refused:
      onRefused(ask, reply);
      return;
    case CallerReply::Kind::Broken:
    case CallerReply::Kind::Closed:
      context_.figures.count("connections_broken");
      context_.checker.onAbandoned(ask->tag);
      useNextNode(ask);
      sendAgain(ask, kBrokenRetry);
      return;
  }
}

void ProgramCaller::onCompleted(const AskPtr& ask, const CallerReply& reply) {
  const bool streamed = ask->request.mode == engine::AnswerMode::Stream;
  context_.checker.onCompleted(ask->tag, {reply.answer, streamed, reply.replayed, reply.chunks},
                               context_.now());
  context_.figures.count(reply.replayed ? "calls_replayed" : "calls_completed");
  program_->acknowledgedRequests[ask->tag] = ask->request;
  program_->answeredBy[ask->tag] = ask->target;
  if (!reply.replayed && ask->target != program_->plan.firstNode) {
    context_.figures.count("calls_completed_after_takeover");
  }
  if (!ask->meaning.application) {
    ask->walk->history.push_back(ask->userMessage);
    ask->walk->history.push_back(assistantMessageJson(reply.answer));
  }
  settle(ask);
  stepDone(ask->walk);
}

void ProgramCaller::onRefused(const AskPtr& ask, const CallerReply& reply) {
  const Error& error = reply.error;
  context_.checker.onRefused(ask->tag, error, reply.saidAt);
  context_.figures.count("refused_" + std::string(errorKindName(error.kind)));
  const std::optional<NodeId> redirect = nodeAtCallerAddress(error.location);
  if (redirect) {
    ask->target = *redirect;
    const bool chasing = ++ask->redirects % kMaximumRedirects == 0;
    if (chasing) {
      ask->target = node_;
    }
    sendAgain(ask, chasing ? kBrokenRetry : Duration::zero());
    return;
  }
  if (isFinal(error.kind)) {
    settle(ask);
    giveUp("programs_ended_by_" + std::string(errorKindName(error.kind)));
    return;
  }
  const bool notRun = error.outcome == RunOutcome::NotRun;
  const bool journalKnows = error.kind == ErrorKind::OutcomeNotKnown ||
                            error.kind == ErrorKind::BackendFailed ||
                            error.kind == ErrorKind::DeadlineExceeded;
  if (!notRun && journalKnows) {
    onUnknown(ask, error);
    return;
  }
  useNextNode(ask);
  sendAgain(ask, std::max<Duration>(seconds(error.retryAfterSeconds), kShortestRetry));
}

/// The journal says that the request may have run. A repeatable one is asked under a new id; any
/// other is asked for a few times under its own, then its outcome stays unknown to this program.
void ProgramCaller::onUnknown(const AskPtr& ask, const Error& error) {
  if (ask->meaning.repeatable) {
    // Another caller of the same program may have moved on to a new id already.
    std::uint32_t& version = program_->requestIdVersions[ask->tag];
    version = std::max(version, ask->requestIdVersion + 1);
    sendAgain(ask, kShortestRetry);
    return;
  }
  if (++ask->unknowns < kUnknownsBeforeGoingOn) {
    sendAgain(ask, std::max<Duration>(seconds(error.retryAfterSeconds), kShortestRetry));
    return;
  }
  context_.figures.count("requests_left_unknown");
  settle(ask);
  stepDone(ask->walk);
}

void ProgramCaller::sendAgain(const AskPtr& ask, Duration delay) {
  after(delay, [this, ask] { send(ask); });
}

void ProgramCaller::useNextNode(const AskPtr& ask) const {
  const std::vector<NodeId> zone = host_.nodesIn(host_.node(node_).zone);
  const auto place = std::find(zone.begin(), zone.end(), ask->target);
  const auto next =
      place == zone.end() || std::next(place) == zone.end() ? zone.begin() : std::next(place);
  ask->target = *next;
}

void ProgramCaller::settle(const AskPtr& ask) { std::erase(open_, ask); }

}  // namespace gorsetrail::sim
