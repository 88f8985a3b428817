/// \file In-memory log store with fault injection and virtual time, for tests of store clients.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "logstore/log_store.h"
#include "services/timer_service.h"

namespace gorsetrail::logstore {

/// Timers in virtual time. Work runs in order of due time; equal times run in scheduling order.
class FakeTimers final : public services::TimerService {
 public:
  void runAfter(Duration delay, std::function<void()> work) override {
    queue_.emplace(now + delay, std::move(work));
  }
  /// Runs everything due within the span.
  void advance(Duration span) {
    const Instant end = now + span;
    while (!queue_.empty() && queue_.begin()->first <= end) {
      auto next = queue_.extract(queue_.begin());
      now = next.key();
      next.mapped()();
    }
    now = end;
  }

  Instant now{seconds(1000)};

 private:
  std::multimap<Instant, std::function<void()>> queue_;
};

/// Fault injected into the next calls.
enum class FakeFault : std::uint8_t {
  None,
  Silent,     ///< Not executed and not answered: the call times out.
  LostReply,  ///< Executed, but the reply is lost: the call times out.
  Busy,       ///< Refused, as with HTTP status 503.
};

/// Answers after `latency`. An append takes effect when it is answered or its reply is lost.
class FakeLogStore final : public LogStore {
 public:
  explicit FakeLogStore(FakeTimers& timers) : timers_(timers) {}

  void append(AppendRequest request, StoreCallback<AppendReply> callback) override {
    ++appends;
    auto apply = [this, request] {
      auto& log = logs[request.partition];
      const std::uint64_t offset = log.size();
      log.insert(log.end(), request.records.begin(), request.records.end());
      return AppendReply{offset, log.size()};
    };
    answer<AppendReply>(request.partition, request.timeLimit, std::move(apply),
                        std::move(callback));
  }

  void read(ReadRequest request, StoreCallback<ReadReply> callback) override {
    ++reads;
    ++readsOf[request.partition];
    auto apply = [this, request]() -> ReadReply {
      const auto& log = logs[request.partition];
      ReadReply reply;
      reply.end = log.size();
      for (std::uint64_t at = request.start; at < log.size() && reply.records.size() < page; ++at) {
        reply.records.push_back(log[at]);
      }
      return reply;
    };
    answer<ReadReply>(request.partition, request.timeLimit, std::move(apply), std::move(callback));
  }

  void listLatest(NewestRequest request, StoreCallback<NewestReply> callback) override {
    auto apply = [this, request]() -> NewestReply {
      std::map<std::string, KeyedItem> byKey;
      const auto& log = logs[request.partition];
      for (std::uint64_t at = 0; at < log.size(); ++at) {
        const auto [key, value] = decodeKeyedRecord(log[at]);
        byKey[key] = {key, value, at};
      }
      NewestReply reply;
      reply.end = log.size();
      for (const auto& [key, item] : byKey) {
        if (!item.value.empty() && key > request.afterKey) {
          if (reply.items.size() == page) {
            reply.hasMore = true;
            break;
          }
          reply.items.push_back(item);
        }
      }
      return reply;
    };
    answer<NewestReply>(request.partition, request.timeLimit, std::move(apply),
                        std::move(callback));
  }

  std::map<PartitionAddress, std::vector<std::string>> logs;
  FakeFault fault = FakeFault::None;
  std::set<PartitionAddress> downPartitions;  ///< Refuse all calls, as with `Busy`.
  Duration latency = milliseconds(4);
  std::size_t page = 100;
  int appends = 0;
  int reads = 0;
  std::map<PartitionAddress, int> readsOf;

 private:
  template <class Reply>
  void answer(const PartitionAddress& partition, Duration timeLimit, std::function<Reply()> apply,
              StoreCallback<Reply> callback) {
    const FakeFault now = downPartitions.count(partition) > 0 ? FakeFault::Busy : fault;
    if (now == FakeFault::Silent || now == FakeFault::LostReply || latency > timeLimit) {
      if (now != FakeFault::Silent) {
        timers_.runAfter(latency, [apply] { apply(); });
      }
      timers_.runAfter(timeLimit, [callback] {
        callback(StoreError{StoreFault::NoAnswer, "time limit reached", 0});
      });
      return;
    }
    timers_.runAfter(latency, [now, apply, callback] {
      if (now == FakeFault::Busy) {
        callback(StoreError{StoreFault::Busy, "503", 0});
      } else {
        callback(apply());
      }
    });
  }

  FakeTimers& timers_;
};

}  // namespace gorsetrail::logstore
