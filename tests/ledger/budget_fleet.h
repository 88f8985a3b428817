/// \file Several homes of one budget partition, each with its own way to the store, and an outside
/// count of the tokens that were handed out.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "ledger/budget_partition.h"
#include "logstore/fake_log_store.h"

namespace gorsetrail::ledger::testing {

/// One home's way to the shared store; while it is cut, nothing is done and nobody answers.
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
  void newest(logstore::NewestRequest request,
              logstore::StoreCallback<logstore::NewestReply> callback) override {
    shared_.newest(std::move(request), std::move(callback));
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

/// One life of a home.
struct Home {
  Home(logstore::LogStore& log, logstore::FakeTimers& timers, const std::string& holder,
       const std::string& life, BudgetPartitionKnobs knobs)
      : way(log, timers),
        store(
            way, timers, [&timers] { return timers.now; }, {}, 1),
        partition(
            store, timers, [&timers] { return timers.now; }, {"budgets", 0},
            named(std::move(knobs), holder, life)) {}
  static BudgetPartitionKnobs named(BudgetPartitionKnobs knobs, const std::string& holder,
                                    const std::string& life) {
    knobs.holder = holder;
    knobs.life = life;
    return knobs;
  }
  CuttableStore way;
  logstore::PersistentStore store;
  BudgetPartition partition;
};

/// Lives of homes. A dead one is kept, without calls, since its timers may still run: like a
/// process whose last appends reach the store late.
class BudgetFleet {
 public:
  explicit BudgetFleet(BudgetPartitionKnobs knobs = {}) : knobs_(std::move(knobs)) {}

  /// Starts a node; an earlier life of it is dead from now on.
  Home& start(const std::string& holder) {
    if (const auto earlier = alive_.find(holder); earlier != alive_.end()) {
      kill(holder);
    }
    const auto own = knobsOf.find(holder);
    homes_.push_back(std::make_unique<Home>(log, timers, holder, std::to_string(homes_.size()),
                                            own == knobsOf.end() ? knobs_ : own->second));
    alive_[holder] = homes_.back().get();
    return *homes_.back();
  }
  void kill(const std::string& holder) {
    alive_.at(holder)->way.cut = true;
    alive_.erase(holder);
  }
  /// As `start`, and waits until it holds its lease.
  Home& startWithLease(const std::string& holder) {
    Home& home = start(holder);
    tend(home, seconds(2));
    return home;
  }
  /// Lets the home tend its lease once a second.
  void tend(Home& home, Duration span) {
    for (Duration passed{}; passed < span; passed += seconds(1)) {
      home.partition.maintainLease();
      timers.advance(seconds(1));
    }
  }
  /// Hands out all that a granted request may generate. \return whether it was granted.
  ReservationOutcome spend(Home& home, const std::string& request, const std::string& program,
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
  std::map<std::string, BudgetPartitionKnobs> knobsOf;  ///< Of homes that differ from the others.

 private:
  BudgetPartitionKnobs knobs_;
  std::vector<std::unique_ptr<Home>> homes_;
  std::map<std::string, Home*> alive_;
};

}  // namespace gorsetrail::ledger::testing
