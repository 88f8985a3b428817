/// \file Serves ledger calls of this node's own requests and of other nodes.
#pragma once

#include <functional>
#include <string_view>

#include "ledger/lease_witness.h"
#include "ledger/ledger_message.h"
#include "ledger/program_ledger.h"

namespace gorsetrail::ledger {

using LedgerReplyCallback = std::function<void(LedgerReply)>;

/// The coordinator's side of ledger calls. Any node can serve any partition. The coordinator is
/// only faster, because it has already read the partition and batches its appends.
class LedgerService {
 public:
  /// \param ledger must outlive this object.
  explicit LedgerService(ProgramLedger& ledger) : ledger_(ledger), witness_(ledger.incarnation()) {}
  /// The witnesses of this node's leases. Call it before the first other call.
  void setWitnessNodes(WitnessNodes& nodes) { ledger_.setWitnessNodes(nodes); }
  /// Removes old state of other nodes' leases. Call it periodically.
  void sweep() { witness_.sweep(ledger_.now()); }
  [[nodiscard]] const LeaseWitness& witness() const { return witness_; }
  /// For this node's own requests: waits for the store up to the request's time limit. Calls back
  /// once.
  void handle(LedgerRequest request, LedgerReplyCallback callback);
  /// For other nodes: replies immediately while the store does not answer this node, since another
  /// node may reach it. Calls back once.
  void handleForPeer(LedgerRequest request, LedgerReplyCallback callback);
  /// See `BudgetPartition::maintainLease` and `BudgetPartition::releaseLease`.
  void maintainLease(const logstore::PartitionAddress& budgets) {
    ledger_.budgetsAt(budgets).maintainLease();
  }
  void releaseLease(const logstore::PartitionAddress& budgets) {
    ledger_.budgetsAt(budgets).releaseLease();
  }
  /// \return whether the store is likely to answer this node for the partition.
  [[nodiscard]] bool answers(const logstore::PartitionAddress& partition) const {
    return ledger_.answers(partition);
  }

 private:
  [[nodiscard]] logstore::PartitionAddress partitionOf(const LedgerRequest& request) const;
  [[nodiscard]] bool canDecideReservations(const std::string& program) const;
  void run(const FindTurnRequest& request, LedgerReplyCallback callback);
  void run(StoreTurnRequest request, LedgerReplyCallback callback);
  void run(const ReserveRequest& request, LedgerReplyCallback callback);
  void run(const SettleRequest& request, const LedgerReplyCallback& callback);

  void run(const StoreGrantsRequest& request, const LedgerReplyCallback& callback);
  void run(const SealLeaseRequest& request, const LedgerReplyCallback& callback);

  ProgramLedger& ledger_;
  LeaseWitness witness_;
};

}  // namespace gorsetrail::ledger
