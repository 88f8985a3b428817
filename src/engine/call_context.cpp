#include "engine/call_context.h"

#include <algorithm>
#include <utility>

namespace gorsetrail::engine {
namespace {

constexpr std::uint32_t kMaximumFruitlessResumes = 1;
constexpr std::uint32_t kMaximumResumes = 8;
constexpr std::string_view kAskAgain = "ask again with the same request id";

constexpr unsigned kStatusBadRequest = 400;
constexpr unsigned kStatusTooManyRequests = 429;
constexpr unsigned kStatusInternalError = 500;
constexpr unsigned kStatusUnavailable = 503;

/// \return whether the back end found fault with the request: any other would, too.
bool isRefusalOfTheRequestItself(const AttemptLoss& loss) {
  return loss.kind == LossKind::Refused && loss.status >= kStatusBadRequest &&
         loss.status < kStatusInternalError && loss.status != kStatusTooManyRequests;
}

ErrorKind kindOfRefusal(unsigned status) {
  switch (status) {
    case kStatusTooManyRequests:
      return ErrorKind::AdmissionRefused;
    case kStatusUnavailable:
      return ErrorKind::NoBackendAvailable;
    default:
      return ErrorKind::BackendRefused;
  }
}

/// \return whole seconds, rounded up, at least one.
std::uint32_t wholeSeconds(Duration span) {
  const auto rounded = std::chrono::ceil<std::chrono::seconds>(span).count();
  return static_cast<std::uint32_t>(std::max<std::int64_t>(rounded, 1));
}

}  // namespace

bool CallContext::worthRunning(Instant now) const {
  const bool wanted = !callerGone_ || !plan_.repeatable;
  return wanted && !callerAnswered_ && now < plan_.deadline;
}

bool CallContext::isCurrent(AttemptNumber attempt) const {
  return !replicaUnderWay_.empty() && attempt == dispatch_.attempt;
}

bool CallContext::mayWaitUntil(std::optional<Instant> usableAt, Instant now) const {
  return usableAt && *usableAt < plan_.deadline && *usableAt - now <= knobs_.replicaWaitLimit;
}

void CallContext::admit(const DispatchId& dispatch, Instant now) {
  admitted_ = true;
  dispatch_ = dispatch;
  firstDispatchAt_ = now;
}

void CallContext::requestReplica() {
  retryAt_ = Instant::max();
  actions_.emplace_back(ChooseReplica{});
}

void CallContext::waitForReplica(std::optional<Instant> usableAt, Instant now) {
  // A moment that has passed would be asked for again at once and forever.
  retryAt_ = std::max(usableAt.value_or(now), now + knobs_.backoffBase);
}

void CallContext::dispatch(const ChosenReplica& replica, Instant now) {
  if (attempts_ > 0) {
    dispatch_.attempt = dispatch_.attempt.next();
  }
  ++attempts_;
  replica_ = replica;
  // Only an attempt of which nothing was sent is started anew, so its text can be forgotten.
  text_.clear();
  receivedTokens_ = 0;
  fruitlessResumes_ = 0;
  startDispatch(0, now);
}

void CallContext::resume(Instant now) {
  ++resumes_;
  ++fruitlessResumes_;
  retryAt_ = Instant::max();
  startDispatch(receivedTokens_, now);
}

void CallContext::startDispatch(std::uint32_t resumeFrom, Instant now) {
  replicaUnderWay_ = replica_.name;
  ++figures_.dispatches;
  StartDispatch start;
  start.handle = plan_.handle;
  start.id = dispatch_;
  start.application = plan_.application;
  start.backendName = replica_.name;
  start.address = replica_.address;
  start.model = plan_.model;
  start.adapter = plan_.adapter;
  start.body = plan_.body;
  start.priorityLevel = plan_.priorityLevel;
  start.timeLimit = plan_.deadline - now;
  start.resumeFrom = resumeFrom;
  start.request = plan_.request;
  actions_.emplace_back(std::move(start));
}

void CallContext::endAttempt() { replicaUnderWay_.clear(); }

bool CallContext::mayResume(const AttemptLoss& loss) const {
  return loss.kind == LossKind::Broken && plan_.repeatable && !plan_.application &&
         receivedTokens_ > 0 && fruitlessResumes_ < kMaximumFruitlessResumes &&
         resumes_ < kMaximumResumes;
}

bool CallContext::mayStartAnew(const AttemptLoss& loss) const {
  const bool certainlyNotRun = !mayHaveRun_;
  return !isRefusalOfTheRequestItself(loss) && (plan_.repeatable || certainlyNotRun) &&
         sentBytes_ == 0 && attempts_ < knobs_.maximumAttempts;
}

LossVerdict CallContext::judge(const AttemptLoss& loss, Instant now) {
  endAttempt();
  mayHaveRun_ = mayHaveRun_ || loss.kind == LossKind::Broken;
  waitForBudget_ = Duration::zero();
  const bool resumable = mayResume(loss);
  if (!resumable && !mayStartAnew(loss)) {
    return LossVerdict::GiveUp;
  }
  plannedBackoff_ = resumable ? Duration::zero() : backoffBefore(attempts_ + 1, knobs_, random_);
  retryAt_ = now + plannedBackoff_;
  if (retryAt_ >= plan_.deadline || !worthRunning(now)) {
    return LossVerdict::GiveUp;
  }
  if (!budget_.tryTake(now)) {
    waitForBudget_ = budget_.timeUntilNext(now);
    return LossVerdict::GiveUp;
  }
  ++figures_.retries;
  return resumable ? LossVerdict::Resume : LossVerdict::Retry;
}

void CallContext::scheduleRetry() { tried_.push_back(replica_.name); }

void CallContext::takeChunk(const DispatchChunk& chunk) {
  if (chunk.offset < receivedTokens_) {
    dropLateEvent();  // The replica repeated a token that was already taken.
    return;
  }
  text_ += chunk.text;
  ++receivedTokens_;
  fruitlessResumes_ = 0;
  if (plan_.mode == AnswerMode::Stream && callerListens()) {
    emitUnsentText();
  }
}

void CallContext::emitUnsentText() {
  if (sentBytes_ < text_.size()) {
    actions_.emplace_back(AnswerChunk{plan_.handle, text_.substr(sentBytes_)});
    sentBytes_ = text_.size();
  }
}

void CallContext::cancelAttempt() {
  if (replicaUnderWay_.empty()) {
    return;
  }
  actions_.emplace_back(CancelDispatch{plan_.handle, dispatch_, replica_.address});
  mayHaveRun_ = true;
  endAttempt();
}

void CallContext::record(program::CallStatus status, std::string answer, std::uint32_t usedTokens,
                         Instant now) {
  endAttempt();
  retryAt_ = Instant::max();
  recorded_.status = status;
  recorded_.answer = std::move(answer);
  recorded_.usedTokens = usedTokens;
  recorded_.used = now - firstDispatchAt_;
  actions_.emplace_back(RecordOutcome{recorded_});
}

void CallContext::recordCompleted(const DispatchFinished& finished, Instant now) {
  // The chunks are the truth for what the caller saw; the whole answer may add a last part. After
  // a resume the client may know only the tail.
  if (finished.answer.starts_with(text_)) {
    text_ = finished.answer;
  }
  finished_ = finished;
  finished_.completionTokens = std::max(finished.completionTokens, receivedTokens_);
  record(program::CallStatus::Completed, text_, finished_.promptTokens + finished_.completionTokens,
         now);
}

void CallContext::recordFailure(Error error, Instant now) {
  finalError_ = std::move(error);
  if (!mayHaveRun_) {
    record(program::CallStatus::NotRun, {}, 0, now);
    return;
  }
  if (plan_.repeatable) {
    record(program::CallStatus::Failed, {}, plan_.promptTokens + receivedTokens_, now);
    return;
  }
  // The back end may still run it to its end: the whole reservation counts as used.
  record(program::CallStatus::Unknown, {}, plan_.maximumTokens, now);
}

void CallContext::recordLost(const AttemptLoss& loss, Instant now) {
  recordFailure(lossError(loss, now), now);
}

void CallContext::recordNoReplica(std::optional<Instant> usableAt, Instant now) {
  Error error{ErrorKind::NoBackendAvailable, "model", "no back end that serves it takes work now",
              std::string(kAskAgain) + " later, or have an operator add back ends in the bundle",
              runOutcome()};
  error.retryAfterSeconds = wholeSeconds(usableAt ? *usableAt - now : knobs_.replicaWaitLimit);
  recordFailure(std::move(error), now);
}

void CallContext::recordAbandoned(Instant now) {
  cancelAttempt();
  recordFailure(
      {ErrorKind::BackendFailed, "", "the caller went away", std::string(kAskAgain), runOutcome()},
      now);
}

void CallContext::recordDeadline(Instant now) {
  cancelAttempt();
  recordFailure(deadlineError(), now);
}

void CallContext::recordUnknownAfterLinger(Instant now) {
  cancelAttempt();
  recordLost({LossKind::Broken, "the back end gave no answer"}, now);
}

RunOutcome CallContext::runOutcome() const {
  const bool mayRun = mayHaveRun_ || !replicaUnderWay_.empty();
  // The journal admits non-repeatable work only if it never ran. Repeatable work is admitted again
  // under the same id, so an earlier call may have run it.
  const bool ranNeverBefore = plan_.certainlyNew || (admitted_ && !plan_.repeatable);
  return mayRun || !ranNeverBefore ? RunOutcome::OutcomeUnknown : RunOutcome::NotRun;
}

/// \return whether a refusal of that kind may come before the journal was asked for earlier calls
/// with the same request id (or, for repeatable work, without regard to them).
bool CallContext::refusedWithoutLedger(ErrorKind kind) const {
  switch (kind) {
    case ErrorKind::QuorumUnavailable:
    case ErrorKind::NodeStopping:
    case ErrorKind::StaleEpoch:
    case ErrorKind::HomeZoneUnreachable:
      return true;
    case ErrorKind::AdmissionRefused:
    case ErrorKind::DeadlineExceeded:
      return plan_.repeatable;
    default:
      return false;
  }
}

std::uint32_t CallContext::retryAfterSeconds(Instant now) {
  return wholeSeconds(std::max(waitForBudget_, budget_.timeUntilNext(now)));
}

Error CallContext::lossError(const AttemptLoss& loss, Instant now) {
  Error error;
  error.reason = loss.reason;
  error.remedy = kAskAgain;
  error.outcome = runOutcome();
  error.retryAfterSeconds = std::max(retryAfterSeconds(now), loss.retryAfterSeconds);
  if (mayHaveRun_ && !plan_.repeatable) {
    error.kind = ErrorKind::OutcomeNotKnown;
    error.remedy = std::string(kAskAgain) + ": it is not run again; check at the back end";
  } else if (loss.kind == LossKind::Refused) {
    error.kind = kindOfRefusal(loss.status);
  } else if (loss.kind == LossKind::NotSent) {
    error.kind = ErrorKind::NoBackendAvailable;
  } else {
    error.kind = ErrorKind::BackendFailed;
  }
  if (isRefusalOfTheRequestItself(loss)) {
    error.remedy = "correct the request as the back end's reason says";
    error.retryAfterSeconds = 0;
  }
  return error;
}

Error CallContext::deadlineError() const {
  Error error{ErrorKind::DeadlineExceeded, "Gorsetrail-Timeout-Ms",
              "the call did not end within its time limit",
              std::string(kAskAgain) + ", with a longer time limit", runOutcome()};
  error.retryAfterSeconds = 1;
  return error;
}

void CallContext::refuse(Error error) {
  if (callerListens()) {
    callerAnswered_ = true;
    actions_.emplace_back(AnswerRefused{plan_.handle, std::move(error)});
  }
}

void CallContext::answerReplay(const std::string& answer) {
  if (!callerListens()) {
    return;
  }
  text_ = answer;
  if (plan_.mode == AnswerMode::Stream) {
    emitUnsentText();
  }
  callerAnswered_ = true;
  AnswerCompleted completed;
  completed.handle = plan_.handle;
  completed.answer = answer;
  completed.replayed = true;
  actions_.emplace_back(std::move(completed));
}

void CallContext::answerFinal(program::Durability durability) {
  if (finalError_) {
    refuse(*finalError_);
    return;
  }
  if (!callerListens()) {
    return;
  }
  if (plan_.mode == AnswerMode::Stream) {
    emitUnsentText();
  }
  callerAnswered_ = true;
  AnswerCompleted completed;
  completed.handle = plan_.handle;
  completed.answer = text_;
  completed.durability = durability;
  completed.promptTokens = finished_.promptTokens;
  completed.cachedTokens = finished_.cachedTokens;
  completed.completionTokens = finished_.completionTokens;
  completed.call = dispatch_.call;
  completed.backendName = replica_.name;
  actions_.emplace_back(std::move(completed));
}

void CallContext::answerProgramError(const Error& error) {
  Error answer = error;
  const bool mayHaveRunBefore = !plan_.certainlyNew && refusedWithoutLedger(error.kind);
  if (mayHaveRunBefore && error.location.empty()) {
    answer.outcome = RunOutcome::OutcomeUnknown;
  }
  refuse(std::move(answer));
}

void CallContext::answerRecordingFailed(const Error& error) {
  if (finalError_) {
    refuse(*finalError_);  // It stays true, recorded or not.
    return;
  }
  // The back end ran it, yet the answer does not stand: another owner may know more.
  Error unknown = error;
  unknown.outcome = RunOutcome::OutcomeUnknown;
  unknown.remedy = kAskAgain;
  if (!plan_.repeatable) {
    unknown.kind = ErrorKind::OutcomeNotKnown;
  }
  refuse(std::move(unknown));
}

void CallContext::answerDeadline() {
  if (state != CallState::RecordingOutcome) {
    refuse(deadlineError());
    return;
  }
  if (finalError_) {
    refuse(*finalError_);
    return;
  }
  Error late = deadlineError();
  late.outcome = RunOutcome::OutcomeUnknown;
  refuse(std::move(late));
}

std::vector<CallAction> CallContext::takeActions() { return std::exchange(actions_, {}); }

}  // namespace gorsetrail::engine
