/// \file Calls to the store by the way that works: directly, or through another node.
#pragma once

#include <functional>

#include "base/time.h"
#include "logstore/log_store.h"
#include "logstore/persistent_store.h"

namespace gorsetrail::logstore {

/// \return whether the store itself spoke: such a fault shows that it was reached.
bool isStoreAnswer(StoreFault fault);

/// Which way a call took.
enum class StoreWay : std::uint8_t { Direct, Relay };

/// When calls go through other nodes.
struct FailoverKnobs {
  std::uint32_t failuresToSwitch = 4;        ///< In a row, without one answer.
  Duration silence = milliseconds(400);      ///< And since the last answer.
  Duration trialPeriod = milliseconds(400);  ///< One call at a time tries the direct way again.
};

/// The store may be out of this node's reach, or refuse just this node, while others reach it. A
/// single direct answer shows that it is in reach: partitions that are down are down for others
/// too. Every call may be made twice by design (see `PersistentStore`), so switching is safe at any
/// moment.
class FailoverStore final : public LogStore {
 public:
  /// \param onSwitched told when calls begin to take another way.
  /// \param direct, relay outlive this object.
  FailoverStore(LogStore& direct, LogStore& relay, ClockFunction clock, FailoverKnobs knobs,
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
  FailoverKnobs knobs_;
  std::uint32_t failuresInARow_ = 0;
  Instant lastAnswerAt_;
  Instant nextTrialAt_;
  StoreWay way_ = StoreWay::Direct;
};

}  // namespace gorsetrail::logstore
