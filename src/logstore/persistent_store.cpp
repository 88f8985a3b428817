#include "logstore/persistent_store.h"

#include <algorithm>
#include <utility>

namespace gorsetrail::logstore {
namespace {

/// \return how long the store itself may hold the call before it answers.
Duration heldByStore(const ReadRequest& request) { return request.wait + request.transferTime; }
Duration heldByStore(const NewestRequest& request) { return request.transferTime; }
Duration heldByStore(const AppendRequest& /*request*/) { return Duration::zero(); }

engine::CircuitKnobs breakerKnobs(double failuresToOpen) {
  engine::CircuitKnobs knobs;
  knobs.failuresToOpen = failuresToOpen;
  knobs.failureHalfLife = milliseconds(500);
  knobs.firstOpenTime = milliseconds(200);
  knobs.longestOpenTime = milliseconds(400);
  return knobs;
}
/// A try is ended after this many times its patience, but not before `kShortestTry`: an answer
/// that is only slow still counts.
constexpr int kTryPatiences = 4;
constexpr Duration kShortestTry = milliseconds(400);
/// Tries of one call that may be under way at a time. A partition takes its appends in turn: more
/// tries would make a slow one slower.
constexpr std::uint32_t kMostTriesUnderWay = 2;
constexpr double kFailuresOfPartition = 1.5;
constexpr double kFailuresOfStore = 3.5;

bool isWorthAnotherTry(StoreFault fault) {
  return fault == StoreFault::NoAnswer || fault == StoreFault::Busy ||
         fault == StoreFault::Throttled;
}

}  // namespace

template <class Request, class Reply>
struct PersistentStore::Call {
  Request request;
  StoreCallback<Reply> callback;
  Instant deadline;
  std::uint32_t started = 0;   ///< Tries so far.
  std::uint32_t underWay = 0;  ///< Tries without a result.
  bool done = false;
};

PersistentStore::PersistentStore(LogStore& direct, services::TimerService& timers,
                                 ClockFunction clock, CallPacerKnobs knobs, std::uint64_t seed)
    : direct_(direct),
      timers_(timers),
      clock_(std::move(clock)),
      pacer_(knobs, seed),
      wholeStore_(breakerKnobs(kFailuresOfStore)) {}

void PersistentStore::append(AppendRequest request, StoreCallback<AppendReply> callback) {
  const Instant deadline = clock_() + request.timeLimit;
  const auto call = std::make_shared<Call<AppendRequest, AppendReply>>(
      Call<AppendRequest, AppendReply>{std::move(request), std::move(callback), deadline});
  std::erase_if(appends_, [](const auto& earlier) { return earlier.expired(); });
  appends_.push_back(call);
  startTry(call);
}

void PersistentStore::read(ReadRequest request, StoreCallback<ReadReply> callback) {
  const Instant deadline = clock_() + request.timeLimit;
  startTry(std::make_shared<Call<ReadRequest, ReadReply>>(
      Call<ReadRequest, ReadReply>{std::move(request), std::move(callback), deadline}));
}

void PersistentStore::newest(NewestRequest request, StoreCallback<NewestReply> callback) {
  const Instant deadline = clock_() + request.timeLimit;
  startTry(std::make_shared<Call<NewestRequest, NewestReply>>(
      Call<NewestRequest, NewestReply>{std::move(request), std::move(callback), deadline}));
}

void PersistentStore::callDirect(AppendRequest request, StoreCallback<AppendReply> callback) {
  direct_.append(std::move(request), std::move(callback));
}
void PersistentStore::callDirect(ReadRequest request, StoreCallback<ReadReply> callback) {
  direct_.read(std::move(request), std::move(callback));
}
void PersistentStore::callDirect(NewestRequest request, StoreCallback<NewestReply> callback) {
  direct_.newest(std::move(request), std::move(callback));
}

template <class Request, class Reply>
void PersistentStore::startTry(const std::shared_ptr<Call<Request, Reply>>& call) {
  const Instant startedAt = clock_();
  const Duration held = heldByStore(call->request);
  const Duration patience = pacer_.patience(call->started) + held;
  Request request = call->request;
  request.timeLimit =
      std::min(std::max(kShortestTry, patience * kTryPatiences), call->deadline - startedAt);
  ++counters_.calls;
  const std::uint32_t number = ++call->started;
  ++call->underWay;
  callDirect(std::move(request), [this, call, startedAt](StoreResult<Reply> result) {
    onResult(call, startedAt, std::move(result));
  });
  timers_.runAfter(patience, [this, weak = std::weak_ptr(call), number] {
    const auto waiting = weak.lock();
    const bool silent = waiting && !waiting->done && waiting->underWay > 0;
    if (silent && waiting->started == number && waiting->underWay < kMostTriesUnderWay &&
        clock_() < waiting->deadline) {
      startTry(waiting);
    }
  });
}

template <class Request, class Reply>
void PersistentStore::onResult(const std::shared_ptr<Call<Request, Reply>>& call, Instant startedAt,
                               StoreResult<Reply> result) {
  const Instant now = clock_();
  const auto* const error = std::get_if<StoreError>(&result);
  --call->underWay;
  noteHealth(call->request.partition, error, now);
  if (error == nullptr && heldByStore(call->request) == Duration::zero()) {
    pacer_.onAnswer(now - startedAt);
  }
  if (call->done) {
    return;
  }
  if (error == nullptr || !isWorthAnotherTry(error->fault)) {
    ++counters_.answered;
    call->done = true;
    call->callback(std::move(result));
    return;
  }
  count(error->fault);
  if (call->underWay > 0) {
    return;  // Another try may still be answered.
  }
  const Duration pause = pacer_.backoff(call->started);
  if (now + pause >= call->deadline) {
    ++counters_.givenUp;
    call->done = true;
    call->callback(std::move(result));
    return;
  }
  timers_.runAfter(pause, [this, call] { startTry(call); });
}

void PersistentStore::wakeAppends() {
  const std::vector<std::weak_ptr<Call<AppendRequest, AppendReply>>> waiting = appends_;
  for (const auto& weak : waiting) {
    const auto call = weak.lock();
    const bool isSilent = call && !call->done && call->underWay > 0;
    if (isSilent && clock_() < call->deadline) {
      startTry(call);
    }
  }
}

void PersistentStore::noteHealth(const PartitionAddress& partition, const StoreError* error,
                                 Instant now) {
  if (error == nullptr || !isWorthAnotherTry(error->fault)) {
    const bool wasSilent = wholeStore_.state(now) != engine::CircuitState::Closed;
    wholeStore_.onSuccess();
    failing_.erase(partition);
    if (wasSilent) {
      timers_.runAfter(Duration::zero(), [this] { wakeAppends(); });
    }
    return;
  }
  wholeStore_.onFailure(now);
  const auto entry = failing_.try_emplace(partition, breakerKnobs(kFailuresOfPartition)).first;
  entry->second.onFailure(now);
}

bool PersistentStore::answers(const PartitionAddress& partition) const {
  const Instant now = clock_();
  if (wholeStore_.state(now) == engine::CircuitState::Open) {
    return false;
  }
  const auto found = failing_.find(partition);
  return found == failing_.end() || found->second.state(now) != engine::CircuitState::Open;
}

void PersistentStore::count(StoreFault fault) {
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
