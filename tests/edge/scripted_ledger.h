/// \file Fake ledger with scripted answers to reservations and history lookups.
#pragma once

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "ledger/ledger.h"
#include "logstore/fake_log_store.h"

namespace gorsetrail::edge::testing {

/// Fake ledger that gives reservations a chosen outlook and a scripted sequence of outcomes.
class ScriptedLedger final : public ledger::Ledger {
 public:
  /// \param outcomes outcomes of consecutive reservations; the last one repeats.
  explicit ScriptedLedger(std::vector<ledger::ReservationOutcome> outcomes,
                          ledger::ReservationOutlook outlook = ledger::ReservationOutlook::Unlikely)
      : outcomes_(std::move(outcomes)), outlook_(outlook) {}
  void findHistory(const ledger::TurnName& /*turn*/, HistoryCallback callback) override {
    callback(history);
  }
  void storeTurn(ledger::TurnToStore /*turn*/, Duration /*limit*/,
                 StoredCallback callback) override {
    callback(Success{});
  }
  void reserve(const ledger::BudgetRequest& /*request*/, Duration limit,
               ReservationCallback callback) override {
    reservationTimeout = limit;
    const std::size_t number = std::min(reservations, outcomes_.size() - 1);
    ++reservations;
    if (timers == nullptr) {
      callback(replyOf(outcomes_[number]));
    } else {
      timers->runAfter(replyTime, [callback = std::move(callback),
                                   made = replyOf(outcomes_[number])] { callback(made); });
    }
  }
  void settle(ledger::BudgetSettlement settlement) override {
    settledTokens.push_back(settlement.tokens);
  }
  bool canStoreTurn(const ledger::TurnName& /*turn*/) override { return true; }
  ledger::ReservationOutlook reservationOutlook(const std::string& /*program*/) override {
    return outlook_;
  }
  std::uint64_t knownTokenUse(const std::string& /*program*/) const override { return 0; }
  std::uint64_t possibleTokenUse(const std::string& /*program*/) const override {
    return possibleTokens;
  }

  Duration reservationTimeout{};  ///< Time limit of the last reservation.
  logstore::FakeTimers* timers =
      nullptr;  ///< Set: replies take `replyTime`; null: they are immediate.
  Duration replyTime = milliseconds(2);
  std::size_t reservations = 0;
  std::uint64_t possibleTokens = 0;
  std::vector<std::uint64_t> settledTokens;  ///< Of each settlement, in order.

  ledger::HistoryAnswer history = ledger::UnknownTurn{};
  ledger::ReservationReply reply;  ///< Template for replies; the outcome is replaced.

 private:
  [[nodiscard]] ledger::ReservationReply replyOf(ledger::ReservationOutcome outcome) const {
    ledger::ReservationReply made = reply;
    made.outcome = outcome;
    return made;
  }

  std::vector<ledger::ReservationOutcome> outcomes_;
  ledger::ReservationOutlook outlook_;
};

}  // namespace gorsetrail::edge::testing
