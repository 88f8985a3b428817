/// \file Failover between a direct connection to the store and a relay through another node.
#pragma once

#include <functional>

#include "base/time.h"
#include "logstore/log_store.h"
#include "logstore/retrying_store.h"

namespace gorsetrail::logstore {

/// \return whether the fault was reported by the store itself, which proves that it is reachable.
bool isReplyFromStore(StoreFault fault);

/// Route of a call to the store.
enum class StoreRoute : std::uint8_t { Direct, Relay };

/// Conditions for switching to the relay and back.
struct FailoverKnobs {
  std::uint32_t failuresToSwitch = 4;          ///< Consecutive failed direct calls.
  Duration minimumOutage = milliseconds(400);  ///< Minimum time since the last direct reply.
  /// While the relay is in use, one call per interval goes direct.
  Duration probeInterval = milliseconds(400);
};

/// Sends calls directly to the store, or through a relay when the store is unreachable from this
/// node or refuses it. A single direct reply proves that the store is reachable: unavailable
/// partitions are unavailable to other nodes too. Switching is safe at any time, because every call
/// may be made twice (see `RetryingStore`).
class FailoverStore final : public LogStore {
 public:
  /// \param direct, relay must outlive this object.
  /// \param onSwitched called when the route changes.
  FailoverStore(LogStore& direct, LogStore& relay, ClockFunction clock, FailoverKnobs knobs,
                std::function<void(StoreRoute)> onSwitched);

  void append(AppendRequest request, StoreCallback<AppendReply> callback) override;
  void read(ReadRequest request, StoreCallback<ReadReply> callback) override;
  void listLatest(NewestRequest request, StoreCallback<NewestReply> callback) override;

  /// \return whether the direct route is in use.
  [[nodiscard]] bool isDirect() const { return route_ == StoreRoute::Direct; }

 private:
  LogStore& selectRoute();
  template <class Reply>
  StoreCallback<Reply> trackOutcome(const LogStore& target, StoreCallback<Reply> callback);
  void onDirectResult(bool answered);
  void setRoute(StoreRoute route);

  LogStore& direct_;
  LogStore& relay_;
  ClockFunction clock_;
  std::function<void(StoreRoute)> onSwitched_;
  FailoverKnobs knobs_;
  std::uint32_t consecutiveFailures_ = 0;
  Instant lastAnswerAt_;
  Instant nextProbeAt_;
  StoreRoute route_ = StoreRoute::Direct;
};

}  // namespace gorsetrail::logstore
