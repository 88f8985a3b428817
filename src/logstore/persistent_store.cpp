#include "logstore/persistent_store.h"

#include <algorithm>
#include <utility>

namespace gorsetrail::logstore {
namespace {

/// \return how long the store itself may hold the call before it answers.
Duration heldByStore(const ReadRequest& request) { return request.wait; }
template <class Request>
Duration heldByStore(const Request& /*request*/) {
  return Duration::zero();
}

engine::CircuitKnobs breakerKnobs(double failuresToOpen) {
  engine::CircuitKnobs knobs;
  knobs.failuresToOpen = failuresToOpen;
  knobs.failureHalfLife = milliseconds(500);
  knobs.firstOpenTime = milliseconds(200);
  knobs.longestOpenTime = milliseconds(400);
  return knobs;
}
constexpr double kFailuresOfPartition = 1.5;
constexpr double kFailuresOfStore = 3.5;

bool isWorthAnotherTry(StoreFault fault) {
  return fault == StoreFault::NoAnswer || fault == StoreFault::Busy ||
         fault == StoreFault::Throttled;
}

}  // namespace

template <class Request, class Reply>
struct PersistentStore::Attempt {
  Request request;
  StoreCallback<Reply> callback;
  Instant deadline;
  std::uint32_t number = 0;
};

PersistentStore::PersistentStore(LogStore& direct, services::TimerService& timers,
                                 ClockFunction clock, CallPacerKnobs knobs, std::uint64_t seed)
    : direct_(direct), timers_(timers), clock_(std::move(clock)), pacer_(knobs, seed),
      wholeStore_(breakerKnobs(kFailuresOfStore)) {}

void PersistentStore::append(AppendRequest request, StoreCallback<AppendReply> callback) {
  const Instant deadline = clock_() + request.timeLimit;
  attempt(std::make_shared<Attempt<AppendRequest, AppendReply>>(
      Attempt<AppendRequest, AppendReply>{std::move(request), std::move(callback), deadline}));
}

void PersistentStore::read(ReadRequest request, StoreCallback<ReadReply> callback) {
  const Instant deadline = clock_() + request.timeLimit;
  attempt(std::make_shared<Attempt<ReadRequest, ReadReply>>(
      Attempt<ReadRequest, ReadReply>{std::move(request), std::move(callback), deadline}));
}

void PersistentStore::newest(NewestRequest request, StoreCallback<NewestReply> callback) {
  const Instant deadline = clock_() + request.timeLimit;
  attempt(std::make_shared<Attempt<NewestRequest, NewestReply>>(
      Attempt<NewestRequest, NewestReply>{std::move(request), std::move(callback), deadline}));
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
void PersistentStore::attempt(const std::shared_ptr<Attempt<Request, Reply>>& state) {
  const Instant startedAt = clock_();
  const Duration left = state->deadline - startedAt;
  Request request = state->request;
  request.timeLimit = std::min(pacer_.patience(state->number) + heldByStore(request), left);
  ++counters_.calls;
  callDirect(std::move(request), [this, state, startedAt](StoreResult<Reply> result) {
    onResult(state, startedAt, std::move(result));
  });
}

template <class Request, class Reply>
void PersistentStore::onResult(const std::shared_ptr<Attempt<Request, Reply>>& state,
                               Instant startedAt, StoreResult<Reply> result) {
  const Instant now = clock_();
  const auto* const error = std::get_if<StoreError>(&result);
  noteHealth(state->request.partition, error, now);
  if (error == nullptr) {
    ++counters_.answered;
    if (heldByStore(state->request) == Duration::zero()) {
      pacer_.onAnswer(now - startedAt);
    }
    state->callback(std::move(result));
    return;
  }
  count(error->fault);
  ++state->number;
  const Duration pause = pacer_.backoff(state->number);
  if (!isWorthAnotherTry(error->fault) || now + pause >= state->deadline) {
    ++counters_.givenUp;
    state->callback(std::move(result));
    return;
  }
  timers_.runAfter(pause, [this, state] { attempt(state); });
}

void PersistentStore::noteHealth(const PartitionAddress& partition, const StoreError* error,
                                 Instant now) {
  if (error == nullptr || !isWorthAnotherTry(error->fault)) {
    wholeStore_.onSuccess();
    failing_.erase(partition);
    return;
  }
  wholeStore_.onFailure(now);
  const auto entry =
      failing_.try_emplace(partition, breakerKnobs(kFailuresOfPartition)).first;
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
      break;
  }
}

}  // namespace gorsetrail::logstore
