/// \file Answers ledger calls, of this node's own requests and of other nodes.
#pragma once

#include <functional>
#include <string_view>

#include "ledger/ledger_message.h"
#include "ledger/program_ledger.h"

namespace gorsetrail::ledger {

using LedgerReplyCallback = std::function<void(LedgerReply)>;

/// The home's side of calls. Any node may be asked for any partition: being a home only makes it
/// quicker, since the home has read the partition already and gathers its appends.
class LedgerService {
 public:
  /// \param ledger outlives this object.
  explicit LedgerService(ProgramLedger& ledger) : ledger_(ledger) {}
  /// For this node's own requests: waits for the store as long as the request's limit allows.
  /// Calls back once.
  void handle(LedgerRequest request, LedgerReplyCallback callback);
  /// For other nodes: replies at once while the store does not answer here, since another node may
  /// reach it. Calls back once.
  void handleForPeer(LedgerRequest request, LedgerReplyCallback callback);
  /// See `BudgetPartition`.
  void keepLease(const logstore::PartitionAddress& budgets) {
    ledger_.budgetsAt(budgets).keepLease();
  }
  void giveLeaseBack(const logstore::PartitionAddress& budgets) {
    ledger_.budgetsAt(budgets).giveLeaseBack();
  }
  /// \return whether the store is likely to answer this node for the partition.
  [[nodiscard]] bool answers(const logstore::PartitionAddress& partition) const {
    return ledger_.answers(partition);
  }

 private:
  [[nodiscard]] logstore::PartitionAddress partitionOf(const LedgerRequest& request) const;
  [[nodiscard]] bool decidesReservations(const std::string& program) const;
  void run(const FindTurnRequest& request, LedgerReplyCallback callback);
  void run(StoreTurnRequest request, LedgerReplyCallback callback);
  void run(const ReserveRequest& request, LedgerReplyCallback callback);
  void run(SettleRequest request, const LedgerReplyCallback& callback);

  ProgramLedger& ledger_;
};

}  // namespace gorsetrail::ledger
