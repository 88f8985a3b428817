#include "logstore/retrying_store.h"

#include <algorithm>
#include <utility>

namespace gorsetrail::logstore {
namespace {

/// \return the part of the reply time that is not latency: the long poll and the transfer.
Duration holdTimeOf(const ReadRequest& request) { return request.wait + request.transferTime; }
Duration holdTimeOf(const NewestRequest& request) { return request.transferTime; }
Duration holdTimeOf(const AppendRequest& /*request*/) { return Duration::zero(); }

engine::CircuitKnobs breakerKnobs(double failuresToOpen) {
  engine::CircuitKnobs knobs;
  knobs.failuresToOpen = failuresToOpen;
  knobs.failureHalfLife = milliseconds(500);
  knobs.firstOpenTime = milliseconds(200);
  knobs.longestOpenTime = milliseconds(400);
  return knobs;
}
/// Time limit of an attempt, as a multiple of its reply timeout and at least
/// `kMinimumAttemptTimeout`, so that slow replies are still accepted.
constexpr int kAttemptTimeoutFactor = 4;
constexpr Duration kMinimumAttemptTimeout = milliseconds(400);
/// Concurrent attempts of one call. A partition executes its appends one after the other, so
/// further attempts would only slow it down.
constexpr std::uint32_t kMaximumConcurrentAttempts = 2;
constexpr double kPartitionFailuresToOpen = 1.5;
constexpr double kStoreFailuresToOpen = 3.5;

bool isRetryable(StoreFault fault) {
  return fault == StoreFault::NoAnswer || fault == StoreFault::Busy ||
         fault == StoreFault::Throttled;
}

}  // namespace

template <class Request, class Reply>
struct RetryingStore::Call {
  Request request;
  StoreCallback<Reply> callback;
  Instant deadline;
  std::uint32_t attemptsStarted = 0;   ///< Number of attempts started.
  std::uint32_t attemptsInFlight = 0;  ///< Attempts without a result.
  bool done = false;
};

RetryingStore::RetryingStore(LogStore& direct, services::TimerService& timers, ClockFunction clock,
                             AdaptiveRetrySettings knobs, std::uint64_t seed)
    : direct_(direct),
      timers_(timers),
      clock_(std::move(clock)),
      pacer_(knobs, seed),
      storeBreaker_(breakerKnobs(kStoreFailuresToOpen)) {}

void RetryingStore::append(AppendRequest request, StoreCallback<AppendReply> callback) {
  const Instant deadline = clock_() + request.timeLimit;
  const auto call = std::make_shared<Call<AppendRequest, AppendReply>>(
      Call<AppendRequest, AppendReply>{std::move(request), std::move(callback), deadline});
  std::erase_if(outstandingAppends_, [](const auto& earlier) { return earlier.expired(); });
  outstandingAppends_.push_back(call);
  startAttempt(call);
}

void RetryingStore::read(ReadRequest request, StoreCallback<ReadReply> callback) {
  const Instant deadline = clock_() + request.timeLimit;
  startAttempt(std::make_shared<Call<ReadRequest, ReadReply>>(
      Call<ReadRequest, ReadReply>{std::move(request), std::move(callback), deadline}));
}

void RetryingStore::listLatest(NewestRequest request, StoreCallback<NewestReply> callback) {
  const Instant deadline = clock_() + request.timeLimit;
  startAttempt(std::make_shared<Call<NewestRequest, NewestReply>>(
      Call<NewestRequest, NewestReply>{std::move(request), std::move(callback), deadline}));
}

void RetryingStore::callDirect(AppendRequest request, StoreCallback<AppendReply> callback) {
  direct_.append(std::move(request), std::move(callback));
}
void RetryingStore::callDirect(ReadRequest request, StoreCallback<ReadReply> callback) {
  direct_.read(std::move(request), std::move(callback));
}
void RetryingStore::callDirect(NewestRequest request, StoreCallback<NewestReply> callback) {
  direct_.listLatest(std::move(request), std::move(callback));
}

template <class Request, class Reply>
void RetryingStore::startAttempt(const std::shared_ptr<Call<Request, Reply>>& call) {
  const Instant startedAt = clock_();
  const Duration holdTime = holdTimeOf(call->request);
  const Duration replyTimeout = pacer_.replyTimeout(call->attemptsStarted) + holdTime;
  Request request = call->request;
  request.timeLimit =
      std::min(std::max(kMinimumAttemptTimeout, replyTimeout * kAttemptTimeoutFactor),
               call->deadline - startedAt);
  ++counters_.calls;
  const std::uint32_t attemptNumber = ++call->attemptsStarted;
  ++call->attemptsInFlight;
  callDirect(std::move(request), [this, call, startedAt](StoreResult<Reply> result) {
    onResult(call, startedAt, std::move(result));
  });
  timers_.runAfter(replyTimeout, [this, weak = std::weak_ptr(call), attemptNumber] {
    const auto waiting = weak.lock();
    const bool isUnanswered = waiting && !waiting->done && waiting->attemptsInFlight > 0;
    if (isUnanswered && waiting->attemptsStarted == attemptNumber &&
        waiting->attemptsInFlight < kMaximumConcurrentAttempts && clock_() < waiting->deadline) {
      startAttempt(waiting);
    }
  });
}

template <class Request, class Reply>
void RetryingStore::onResult(const std::shared_ptr<Call<Request, Reply>>& call, Instant startedAt,
                             StoreResult<Reply> result) {
  const Instant now = clock_();
  const auto* const error = std::get_if<StoreError>(&result);
  --call->attemptsInFlight;
  updateBreakers(call->request.partition, error, now);
  if (error == nullptr && holdTimeOf(call->request) == Duration::zero()) {
    pacer_.onAnswer(now - startedAt);
  }
  if (call->done) {
    return;
  }
  if (error == nullptr || !isRetryable(error->fault)) {
    ++counters_.answered;
    call->done = true;
    call->callback(std::move(result));
    return;
  }
  countFault(error->fault);
  if (call->attemptsInFlight > 0) {
    return;  // Another attempt may still be answered.
  }
  const Duration pause = pacer_.backoff(call->attemptsStarted);
  if (now + pause >= call->deadline) {
    ++counters_.givenUp;
    call->done = true;
    call->callback(std::move(result));
    return;
  }
  timers_.runAfter(pause, [this, call] { startAttempt(call); });
}

void RetryingStore::retryOutstandingAppends() {
  const std::vector<std::weak_ptr<Call<AppendRequest, AppendReply>>> waiting = outstandingAppends_;
  for (const auto& weak : waiting) {
    const auto call = weak.lock();
    const bool isUnanswered = call && !call->done && call->attemptsInFlight > 0;
    if (isUnanswered && clock_() < call->deadline) {
      startAttempt(call);
    }
  }
}

void RetryingStore::updateBreakers(const PartitionAddress& partition, const StoreError* error,
                                   Instant now) {
  if (error == nullptr || !isRetryable(error->fault)) {
    const bool wasUnavailable = storeBreaker_.state(now) != engine::CircuitState::Closed;
    storeBreaker_.onSuccess();
    partitionBreakers_.erase(partition);
    if (wasUnavailable) {
      timers_.runAfter(Duration::zero(), [this] { retryOutstandingAppends(); });
    }
    return;
  }
  storeBreaker_.onFailure(now);
  const auto entry =
      partitionBreakers_.try_emplace(partition, breakerKnobs(kPartitionFailuresToOpen)).first;
  entry->second.onFailure(now);
}

bool RetryingStore::isLikelyAvailable(const PartitionAddress& partition) const {
  const Instant now = clock_();
  if (storeBreaker_.state(now) == engine::CircuitState::Open) {
    return false;
  }
  const auto found = partitionBreakers_.find(partition);
  return found == partitionBreakers_.end() ||
         found->second.state(now) != engine::CircuitState::Open;
}

void RetryingStore::countFault(StoreFault fault) {
  switch (fault) {
    case StoreFault::NoAnswer:
      ++counters_.unanswered;
      break;
    case StoreFault::Throttled:
      ++counters_.throttled;
      break;
    case StoreFault::Busy:
      ++counters_.busy;
      break;
    case StoreFault::Compacted:
    case StoreFault::Rejected:
    case StoreFault::NotKept:
      break;
  }
}

}  // namespace gorsetrail::logstore
