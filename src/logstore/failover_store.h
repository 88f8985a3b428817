/// \file Calls to the store by the way that works: directly, or through another node.
#pragma once

#include <functional>

#include "base/time.h"
#include "engine/circuit_breaker.h"
#include "logstore/log_store.h"
#include "logstore/persistent_store.h"

namespace gorsetrail::logstore {

/// Which way a call took.
enum class StoreWay : std::uint8_t { Direct, Relay };

/// The store may be out of this node's reach, or refuse just this node, while others reach it.
/// A breaker watches the direct way; while it is open, calls go through other nodes, and one call
/// at a time tries the direct way again. Every call may be made twice by design (see
/// `PersistentStore`), so switching is safe at any moment.
class FailoverStore final : public LogStore {
 public:
  /// \param onSwitched told when calls begin to take another way.
  /// \param direct, relay outlive this object.
  FailoverStore(LogStore& direct, LogStore& relay, ClockFunction clock,
                std::function<void(StoreWay)> onSwitched);

  void append(AppendRequest request, StoreCallback<AppendReply> callback) override;
  void read(ReadRequest request, StoreCallback<ReadReply> callback) override;
  void newest(NewestRequest request, StoreCallback<NewestReply> callback) override;

  /// \return whether the direct way is in use.
  [[nodiscard]] bool isDirect() const { return way_ == StoreWay::Direct; }

 private:
  LogStore& choose();
  template <class Reply>
  StoreCallback<Reply> watched(const LogStore& used, StoreCallback<Reply> callback);
  void onDirectResult(bool answered);
  void take(StoreWay way);

  LogStore& direct_;
  LogStore& relay_;
  ClockFunction clock_;
  std::function<void(StoreWay)> onSwitched_;
  engine::CircuitBreaker breaker_;
  StoreWay way_ = StoreWay::Direct;
};

}  // namespace gorsetrail::logstore
