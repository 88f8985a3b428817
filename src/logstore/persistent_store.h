/// \file Calls that are made again until they are answered or their time is over.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "engine/circuit_breaker.h"
#include "logstore/call_pacer.h"
#include "logstore/log_store.h"
#include "services/timer_service.h"

namespace gorsetrail::logstore {

/// Reads the steady clock, or a test's.
using ClockFunction = std::function<Instant()>;

/// What became of calls; all only rise.
struct StoreCounters {
  std::uint64_t calls = 0;
  std::uint64_t answered = 0;
  std::uint64_t unanswered = 0;
  std::uint64_t throttled = 0;
  std::uint64_t busy = 0;
  std::uint64_t givenUp = 0;
};

/// Makes appends and reads again until their time limit. An append may then stand twice in the
/// log: everything appended through here must be a fact that readers may meet twice.
///
/// Order of steps: when an answer takes longer than is usual, another try starts beside the first
/// one, on another connection, since a connection whose answer was lost says nothing more; the
/// first answer counts. What is usual is learned from late answers too, so that a slow store is
/// not asked ever more often. After a refusal the next try waits, longer each time. When the store
/// answers any call after it had gone silent, appends under way are tried again at once: their own
/// tries of the silent time get no answer any more, and last up to some seconds.
class PersistentStore final : public LogStore {
 public:
  /// \param direct, timers outlive this object.
  PersistentStore(LogStore& direct, services::TimerService& timers, ClockFunction clock,
                  CallPacerKnobs knobs, std::uint64_t seed);

  void append(AppendRequest request, StoreCallback<AppendReply> callback) override;
  void read(ReadRequest request, StoreCallback<ReadReply> callback) override;
  void newest(NewestRequest request, StoreCallback<NewestReply> callback) override;

  [[nodiscard]] const StoreCounters& counters() const { return counters_; }
  /// \return whether calls to this partition are likely to be answered: neither its own calls nor
  /// those to the whole store failed a moment ago. Now and then it is true for a trial.
  [[nodiscard]] bool answers(const PartitionAddress& partition) const;

 private:
  template <class Request, class Reply>
  struct Call;
  template <class Request, class Reply>
  void startTry(const std::shared_ptr<Call<Request, Reply>>& call);
  template <class Request, class Reply>
  void onResult(const std::shared_ptr<Call<Request, Reply>>& call, Instant startedAt,
                StoreResult<Reply> result);
  void count(StoreFault fault);
  /// Tries every append again that waits for an answer of the time before.
  void wakeAppends();
  void noteHealth(const PartitionAddress& partition, const StoreError* error, Instant now);

  void callDirect(AppendRequest request, StoreCallback<AppendReply> callback);
  void callDirect(ReadRequest request, StoreCallback<ReadReply> callback);
  void callDirect(NewestRequest request, StoreCallback<NewestReply> callback);

  LogStore& direct_;
  services::TimerService& timers_;
  ClockFunction clock_;
  CallPacer pacer_;
  StoreCounters counters_;
  engine::CircuitBreaker wholeStore_;
  /// Appends that are not done, and some that are.
  std::vector<std::weak_ptr<Call<AppendRequest, AppendReply>>> appends_;
  /// Only partitions whose last call failed.
  std::map<PartitionAddress, engine::CircuitBreaker> failing_;
};

}  // namespace gorsetrail::logstore
