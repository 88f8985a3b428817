/// \file Several nodes that share one budget partition, each with its own connection to the store,
/// and an independent count of the granted tokens.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "ledger/budget_partition.h"
#include "logstore/fake_log_store.h"

namespace gorsetrail::ledger::testing {

/// A node's connection to the shared store. While `cut` is set, appends and reads have no effect
/// and time out.
class CuttableStore final : public logstore::LogStore {
 public:
  CuttableStore(logstore::LogStore& shared, logstore::FakeTimers& timers)
      : shared_(shared), timers_(timers) {}
  void append(logstore::AppendRequest request,
              logstore::StoreCallback<logstore::AppendReply> callback) override {
    cut ? fail(request.timeLimit, std::move(callback))
        : shared_.append(std::move(request), std::move(callback));
  }
  void read(logstore::ReadRequest request,
            logstore::StoreCallback<logstore::ReadReply> callback) override {
    cut ? fail(request.timeLimit, std::move(callback))
        : shared_.read(std::move(request), std::move(callback));
  }
  void listLatest(logstore::NewestRequest request,
                  logstore::StoreCallback<logstore::NewestReply> callback) override {
    shared_.listLatest(std::move(request), std::move(callback));
  }
  bool cut = false;

 private:
  template <class Reply>
  void fail(Duration limit, logstore::StoreCallback<Reply> callback) {
    timers_.runAfter(limit, [callback = std::move(callback)] {
      callback(logstore::StoreError{logstore::StoreFault::NoAnswer, "cut", 0});
    });
  }
  logstore::LogStore& shared_;
  logstore::FakeTimers& timers_;
};

/// Timers of one process, whose work is dropped once the process is dead, and waits while the
/// process is suspended.
class ProcessTimers final : public services::TimerService {
 public:
  explicit ProcessTimers(services::TimerService& shared) : shared_(shared) {}
  void runAfter(Duration delay, std::function<void()> work) override {
    shared_.runAfter(delay, [this, work = std::move(work)]() mutable {
      constexpr Duration kSuspensionCheck = milliseconds(20);
      if (isSuspended && !isDead) {
        runAfter(kSuspensionCheck, std::move(work));
      } else if (!isDead) {
        work();
      }
    });
  }
  bool isDead = false;
  bool isSuspended = false;

 private:
  services::TimerService& shared_;
};

/// One process of a node.
struct BudgetNode {
  BudgetNode(logstore::LogStore& log, logstore::FakeTimers& timers, const std::string& holder,
             const std::string& incarnation, BudgetPartitionKnobs knobs)
      : storeLink(log, timers),
        processTimers(timers),
        store(
            storeLink, processTimers, [&timers] { return timers.now; }, {}, 1),
        partition(
            store, processTimers, [&timers] { return timers.now; }, {"budgets", 0},
            withIdentity(std::move(knobs), holder, incarnation)) {}
  static BudgetPartitionKnobs withIdentity(BudgetPartitionKnobs knobs, const std::string& holder,
                                           const std::string& incarnation) {
    knobs.holder = holder;
    knobs.incarnation = incarnation;
    return knobs;
  }
  CuttableStore storeLink;
  ProcessTimers processTimers;
  logstore::RetryingStore store;
  BudgetPartition partition;
};

/// Processes of several nodes. A dead process is kept without further calls, because the store may
/// still answer it.
class BudgetFleet {
 public:
  explicit BudgetFleet(BudgetPartitionKnobs knobs = {}) : knobs_(std::move(knobs)) {}

  /// Starts a process of the node and kills an earlier one.
  BudgetNode& start(const std::string& holder) {
    if (const auto earlier = aliveByHolder_.find(holder); earlier != aliveByHolder_.end()) {
      kill(holder);
    }
    const auto own = knobsOf.find(holder);
    processes_.push_back(std::make_unique<BudgetNode>(log, timers, holder,
                                                      std::to_string(processes_.size()),
                                                      own == knobsOf.end() ? knobs_ : own->second));
    aliveByHolder_[holder] = processes_.back().get();
    return *processes_.back();
  }
  void kill(const std::string& holder) {
    aliveByHolder_.at(holder)->storeLink.cut = true;
    aliveByHolder_.at(holder)->processTimers.isDead = true;
    aliveByHolder_.erase(holder);
  }
  /// Like `start`, and waits until it holds its lease.
  BudgetNode& startWithLease(const std::string& holder) {
    BudgetNode& home = start(holder);
    maintainLeaseFor(home, seconds(2));
    return home;
  }
  /// Maintains the lease once a second.
  void maintainLeaseFor(BudgetNode& home, Duration span) {
    for (Duration passed{}; passed < span; passed += seconds(1)) {
      home.partition.maintainLease();
      timers.advance(seconds(1));
    }
  }
  /// Reserves tokens and counts them as used if granted. \return the outcome.
  ReservationOutcome spend(BudgetNode& home, const std::string& request, const std::string& program,
                           std::uint64_t tokens, std::uint64_t budget,
                           std::optional<Duration> timeLeft, Duration wait = seconds(2)) {
    auto outcome = std::make_shared<std::optional<ReservationOutcome>>();
    home.partition.reserve({{request, program, tokens}, budget, timeLeft}, seconds(1),
                           [outcome](const ReservationReply& reply) { *outcome = reply.outcome; });
    if (!*outcome) {
      timers.advance(wait);
    }
    const ReservationOutcome result = outcome->value_or(ReservationOutcome::Unavailable);
    handedOut[program] += result == ReservationOutcome::Granted ? tokens : 0;
    return result;
  }

  logstore::FakeTimers timers;
  logstore::FakeLogStore log{timers};
  std::map<std::string, std::uint64_t> handedOut;
  std::map<std::string, BudgetPartitionKnobs> knobsOf;  ///< Overrides by node.

 private:
  BudgetPartitionKnobs knobs_;
  std::vector<std::unique_ptr<BudgetNode>> processes_;
  std::map<std::string, BudgetNode*> aliveByHolder_;
};

}  // namespace gorsetrail::ledger::testing
