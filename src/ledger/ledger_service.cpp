#include "ledger/ledger_service.h"

#include <utility>

namespace gorsetrail::ledger {
namespace {

constexpr const char* kStoreDoesNotAnswer = "the store does not answer the coordinator";
constexpr const char* kTooManyGrants = "too many grants of leases are stored";
constexpr const char* kTooManySettlements = "too many settlements wait for the store";

LedgerReply replyOf(TurnAnswer answer) {
  LedgerReply reply;
  if (auto* const turn = std::get_if<CompletedTurn>(&answer)) {
    reply.outcome = LedgerOutcome::Done;
    reply.base = std::move(turn->base);
    reply.history = std::move(turn->history);
  } else if (auto* const unavailable = std::get_if<LedgerUnavailable>(&answer)) {
    reply.reason = std::move(unavailable->reason);
  } else {
    reply.outcome = LedgerOutcome::UnknownTurn;
  }
  return reply;
}

LedgerReply replyOf(const logstore::StoreResult<Success>& stored) {
  LedgerReply reply;
  const auto* const error = std::get_if<logstore::StoreError>(&stored);
  if (error == nullptr) {
    reply.outcome = LedgerOutcome::Done;
    return reply;
  }
  const bool rejected = error->fault == logstore::StoreFault::Rejected;
  reply.outcome = rejected ? LedgerOutcome::Rejected : LedgerOutcome::Unavailable;
  reply.reason = logstore::storeFaultName(error->fault);
  return reply;
}

LedgerReply replyOf(const ReservationReply& reservation) {
  LedgerReply reply;
  reply.tokensUsed = reservation.tokensUsed;
  reply.undecided = reservation.reason;
  reply.unseenLeases = reservation.unseenLeases;
  reply.tokensUnseen = reservation.tokensUnseen;
  reply.tokensUnsettled = reservation.tokensUnsettled;
  reply.grantedUnder = reservation.grantedUnder;
  if (reservation.outcome == ReservationOutcome::Granted) {
    reply.outcome = LedgerOutcome::Done;
  } else if (reservation.outcome == ReservationOutcome::Spent) {
    reply.outcome = LedgerOutcome::BudgetSpent;
  }
  return reply;
}

}  // namespace

void LedgerService::handle(LedgerRequest request, LedgerReplyCallback callback) {
  std::visit([&](auto& call) { run(std::move(call), std::move(callback)); }, request);
}

logstore::PartitionAddress LedgerService::partitionOf(const LedgerRequest& request) const {
  const LedgerPartitions& layout = ledger_.layout();
  if (const auto* const find = std::get_if<FindTurnRequest>(&request)) {
    return layout.ofTurn(find->placement, find->turn);
  }
  if (const auto* const store = std::get_if<StoreTurnRequest>(&request)) {
    return layout.ofTurn(store->placement, store->record.request);
  }
  if (const auto* const reserve = std::get_if<ReserveRequest>(&request)) {
    return layout.ofBudget(reserve->budget.reservation.program);
  }
  return layout.ofBudget(std::get<SettleRequest>(request).settlement.program);
}

bool LedgerService::canDecideReservations(const std::string& program) const {
  return ledger_.canDecideReservations(ledger_.layout().ofBudget(program));
}

void LedgerService::handleForPeer(LedgerRequest request, LedgerReplyCallback callback) {
  if (const auto* const store = std::get_if<StoreGrantsRequest>(&request)) {
    run(*store, callback);
    return;
  }
  if (const auto* const seal = std::get_if<SealLeaseRequest>(&request)) {
    run(*seal, callback);
    return;
  }
  if (ledger_.answers(partitionOf(request))) {
    handle(std::move(request), std::move(callback));
    return;
  }
  if (const auto* const reserve = std::get_if<ReserveRequest>(&request)) {
    run(*reserve, std::move(callback));  // A lease may decide it.
    return;
  }
  if (const auto* const find = std::get_if<FindTurnRequest>(&request)) {
    if (ledger_.isTurnCached(find->turn)) {
      run(*find, callback);
      return;
    }
  }
  if (const auto* const settle = std::get_if<SettleRequest>(&request)) {
    run(*settle, callback);
    return;
  }
  LedgerReply reply;
  reply.reason = kStoreDoesNotAnswer;
  callback(std::move(reply));
}

void LedgerService::run(const FindTurnRequest& request, LedgerReplyCallback callback) {
  ledger_.findTurn(request.placement, request.turn,
                   [callback = std::move(callback)](TurnAnswer answer) {
                     callback(replyOf(std::move(answer)));
                   });
}

void LedgerService::run(StoreTurnRequest request, LedgerReplyCallback callback) {
  ledger_.storeRecord(
      request.placement, std::move(request.record), request.timeLimit,
      [callback = std::move(callback)](const logstore::StoreResult<Success>& stored) {
        callback(replyOf(stored));
      });
}

void LedgerService::run(const ReserveRequest& request, LedgerReplyCallback callback) {
  ledger_.budgetsOf(request.budget.reservation.program)
      .reserve(request.budget, request.timeLimit,
               [this, program = request.budget.reservation.program,
                callback = std::move(callback)](const ReservationReply& reservation) {
                 LedgerReply reply = replyOf(reservation);
                 reply.canDecideReservations = canDecideReservations(program);
                 reply.incarnation = witness_.incarnation();
                 callback(std::move(reply));
               });
}

void LedgerService::run(const SettleRequest& request, const LedgerReplyCallback& callback) {
  LedgerReply reply;
  reply.incarnation = witness_.incarnation();
  const std::string& program = request.settlement.program;
  reply.canDecideReservations = canDecideReservations(program);
  BudgetPartition& budgets = ledger_.budgetsOf(program);
  // A node that the store does not answer would keep the settlement until it does. Another node may
  // record it now; if none can, the caller keeps it.
  const bool mayRecord = ledger_.answers(ledger_.layout().ofBudget(program)) ||
                         budgets.isUnrecorded(request.settlement.request);
  if (mayRecord && budgets.settle(request.settlement)) {
    reply.outcome = LedgerOutcome::Done;
  } else {
    reply.reason = mayRecord ? kTooManySettlements : kStoreDoesNotAnswer;
  }
  callback(std::move(reply));
}

void LedgerService::run(const StoreGrantsRequest& request, const LedgerReplyCallback& callback) {
  LedgerReply reply;
  switch (witness_.store(request, ledger_.now())) {
    case LeaseWitness::Outcome::Stored:
      reply.outcome = LedgerOutcome::Done;
      reply.incarnation = witness_.incarnation();
      break;
    case LeaseWitness::Outcome::Refused:
      reply.outcome = LedgerOutcome::Rejected;
      break;
    case LeaseWitness::Outcome::Full:
      reply.reason = kTooManyGrants;
      break;
  }
  callback(std::move(reply));
}

void LedgerService::run(const SealLeaseRequest& request, const LedgerReplyCallback& callback) {
  LedgerReply reply;
  auto sealed = witness_.seal(request, ledger_.now());
  if (auto* const grants = std::get_if<std::vector<LeaseGrant>>(&sealed)) {
    reply.outcome = LedgerOutcome::Done;
    reply.grants = std::move(*grants);
  } else if (std::get<LeaseWitness::Outcome>(sealed) == LeaseWitness::Outcome::Refused) {
    reply.outcome = LedgerOutcome::Rejected;
  } else {
    reply.reason = kTooManyGrants;
  }
  callback(std::move(reply));
}

}  // namespace gorsetrail::ledger
