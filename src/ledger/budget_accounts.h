/// \file Token usage of programs, computed from the log records that were read so far. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "base/time.h"
#include "ledger/facts.h"

namespace gorsetrail::ledger {

/// Tokens of a program's turns.
struct TokenUse {
  std::uint64_t counted = 0;  ///< Settled, or reserved in full by turns without a settlement.
  /// The part of `counted` that turns without a settlement may still return.
  std::uint64_t unsettled = 0;
};

/// Sums reservations and settlements by program. The order of the log decides between concurrent
/// requests: each one counts all reservations with a lower offset. What each record counts does not
/// depend on the order or the number of times in which a request's records are applied
/// (docs/design/0011-budget-leases.md, "What the account holds of a program").
class BudgetAccounts {
 public:
  /// Applies a reservation's record.
  void applyReservation(const BudgetReservation& reservation, std::uint64_t offset, Instant now);
  /// Applies a reservation that was granted under this node's lease and is not recorded yet. It
  /// counts before all records.
  void applyGrant(const BudgetReservation& reservation, Instant now);
  /// Takes back a grant that was not used. Records that were read of it still count.
  void revokeGrant(const BudgetReservation& reservation);
  /// Applies a settlement, recorded or not. Its tokens were handed out, so they count from now on
  /// even if the reservation is not known; of several settlements the largest counts.
  void applySettlement(const BudgetSettlement& settlement, Instant now);
  /// The settlement's record was read or appended.
  void onSettlementRecorded(const BudgetSettlement& settlement);
  [[nodiscard]] bool isRecorded(const BudgetSettlement& settlement) const;
  /// \return whether a record of the reservation was read or appended.
  [[nodiscard]] bool isRecorded(const BudgetReservation& reservation) const;

  /// \return tokens used or reserved by all known requests of the program.
  [[nodiscard]] std::uint64_t tokensUsedBy(const std::string& program) const;
  /// \return tokens used or reserved by requests other than `request` whose reservation has an
  /// offset below `offset`.
  [[nodiscard]] std::uint64_t tokensUsedBefore(const std::string& program, std::string_view request,
                                               std::uint64_t offset) const;
  /// Like `tokensUsedBefore`. Turns without a settlement whose reservations became known before
  /// `unsettledSince` count as used: the node that ran them has ended without settling them.
  [[nodiscard]] TokenUse useBefore(const std::string& program, std::string_view request,
                                   std::uint64_t offset, Instant unsettledSince) const;
  /// \return the offset of the program's first known reservation record; nothing if none is known.
  [[nodiscard]] std::optional<std::uint64_t> firstRecordOf(const std::string& program) const;
  /// \return tokens of the program's largest known reservation; 0 for an unknown program.
  [[nodiscard]] std::uint64_t largestReservationOf(const std::string& program) const;
  /// Removes programs without a record since `cutoff`.
  void evictIdleSince(Instant cutoff);
  [[nodiscard]] std::size_t size() const { return accounts_.size(); }

 private:
  struct RequestUsage;
  /// \return the usage of a known request, or null.
  [[nodiscard]] const RequestUsage* find(const std::string& program,
                                         const std::string& request) const;
  struct RequestUsage {
    /// Of the request's first reservation record; 0 if it is known to have been granted anyway.
    std::uint64_t offset = UINT64_MAX;
    std::uint64_t recordOffset = UINT64_MAX;  ///< Likewise, of records only.
    std::uint64_t reserved = 0;
    std::optional<Instant> reservedAt;  ///< When the first reservation became known.
    std::optional<std::uint64_t> settled;
    std::optional<std::uint64_t> recordedSettlement;  ///< The largest one in the log.

    [[nodiscard]] std::uint64_t tokens() const { return settled.value_or(reserved); }
  };
  struct Account {
    std::unordered_map<std::string, RequestUsage> usageByRequest;
    std::optional<std::uint64_t> firstRecord;
    Instant lastUpdatedAt;
  };

  static RequestUsage& addReservation(Account& account, const BudgetReservation& reservation,
                                      Instant now);

  std::unordered_map<std::string, Account> accounts_;
};

}  // namespace gorsetrail::ledger
