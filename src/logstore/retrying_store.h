/// \file Store client that retries calls until they are answered or their time limit expires.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "engine/circuit_breaker.h"
#include "logstore/adaptive_retry_policy.h"
#include "logstore/log_store.h"
#include "services/timer_service.h"

namespace gorsetrail::logstore {

/// Returns the present time of the steady clock, or of a test's clock.
using ClockFunction = std::function<Instant()>;

/// Monotonic counters of calls and their outcomes.
struct StoreCounters {
  std::uint64_t calls = 0;
  std::uint64_t answered = 0;
  std::uint64_t unanswered = 0;
  std::uint64_t throttled = 0;
  std::uint64_t busy = 0;
  std::uint64_t givenUp = 0;
};

/// Retries calls with hedged requests and exponential backoff until their time limit. A record may
/// therefore be appended twice, and readers must tolerate duplicates.
///
/// When a reply takes longer than the adaptive timeout, a hedged request starts on another
/// connection, because one whose reply was lost may deliver nothing more; the first reply wins.
/// Late replies also adjust the timeout, so that a slow store does not receive ever more requests.
/// After a refusal the next attempt waits with backoff. When the store replies after an outage,
/// outstanding appends are retried at once, because requests sent during the outage may never be
/// answered and would only time out after seconds.
class RetryingStore final : public LogStore {
 public:
  /// \param direct, timers must outlive this object.
  RetryingStore(LogStore& direct, services::TimerService& timers, ClockFunction clock,
                AdaptiveRetrySettings knobs, std::uint64_t seed);

  void append(AppendRequest request, StoreCallback<AppendReply> callback) override;
  void read(ReadRequest request, StoreCallback<ReadReply> callback) override;
  void listLatest(NewestRequest request, StoreCallback<NewestReply> callback) override;

  [[nodiscard]] const StoreCounters& counters() const { return counters_; }
  /// \return whether calls to this partition are likely to be answered: false while the circuit
  /// breaker of the partition or of the whole store is open, true again when a probe is due.
  [[nodiscard]] bool isLikelyAvailable(const PartitionAddress& partition) const;

 private:
  template <class Request, class Reply>
  struct Call;
  template <class Request, class Reply>
  void startAttempt(const std::shared_ptr<Call<Request, Reply>>& call);
  template <class Request, class Reply>
  void onResult(const std::shared_ptr<Call<Request, Reply>>& call, Instant startedAt,
                StoreResult<Reply> result);
  void countFault(StoreFault fault);
  /// Starts another attempt of every append that has no reply yet.
  void retryOutstandingAppends();
  void updateBreakers(const PartitionAddress& partition, const StoreError* error, Instant now);

  void callDirect(AppendRequest request, StoreCallback<AppendReply> callback);
  void callDirect(ReadRequest request, StoreCallback<ReadReply> callback);
  void callDirect(NewestRequest request, StoreCallback<NewestReply> callback);

  LogStore& direct_;
  services::TimerService& timers_;
  ClockFunction clock_;
  AdaptiveRetryPolicy pacer_;
  StoreCounters counters_;
  engine::CircuitBreaker storeBreaker_;
  /// All outstanding appends; may also contain completed ones.
  std::vector<std::weak_ptr<Call<AppendRequest, AppendReply>>> outstandingAppends_;
  /// Circuit breakers of the partitions whose last call failed.
  std::map<PartitionAddress, engine::CircuitBreaker> partitionBreakers_;
};

}  // namespace gorsetrail::logstore
