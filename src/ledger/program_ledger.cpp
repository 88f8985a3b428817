#include "ledger/program_ledger.h"

#include <utility>

namespace gorsetrail::ledger {
namespace {

/// Upper bound of a record's size without its history.
constexpr std::size_t kRecordOverheadBytes = 512;

}  // namespace

ProgramLedger::ProgramLedger(logstore::RetryingStore& store, services::TimerService& timers,
                             logstore::ClockFunction clock, LedgerKnobs knobs)
    : store_(store),
      timers_(timers),
      clock_(std::move(clock)),
      knobs_(std::move(knobs)),
      layout_(knobs_.partitions),
      turns_(knobs_.cacheBytes,
             [](const TurnPosition& position) { position.reader->rewindTo(position.offset); }) {}

ProgramLedger::Partition& ProgramLedger::partitionAt(const logstore::PartitionAddress& address) {
  const auto [entry, isNew] = partitions_.try_emplace(address);
  Partition& partition = entry->second;
  if (isNew) {
    partition.reader = std::make_shared<PartitionReader>(store_, address);
    PartitionReader* const reader = partition.reader.get();
    reader->setObserver([this, reader](std::uint64_t offset, std::string_view record) {
      onRecord(reader, offset, record);
    });
    partition.batcher = std::make_unique<logstore::AppendBatcher>(store_, timers_, clock_, address,
                                                                  logstore::AppendBatcherKnobs{});
  }
  return partition;
}

void ProgramLedger::onRecord(PartitionReader* reader, std::uint64_t offset,
                             std::string_view record) {
  Result<Fact> decoded = decodeFact(record);
  if (!succeeded(decoded)) {
    return;
  }
  if (auto* const turn = std::get_if<CompletedTurn>(&valueOf(decoded))) {
    cacheTurn(std::move(*turn), reader, offset);
  }
}

void ProgramLedger::cacheTurn(CompletedTurn turn, PartitionReader* reader, std::uint64_t offset) {
  const TurnPosition position{reader, offset};
  if (lookupCounts_.count(turn.request) > 0) {
    turns_.insert(std::move(turn), position);
  } else if (!turns_.insertIfRoom(std::move(turn), position)) {
    reader->rewindTo(offset);
  }
}

void ProgramLedger::findTurn(const TurnPlacement& placement, const std::string& turn,
                             TurnCallback callback) {
  if (const CompletedTurn* const cached = turns_.find(turn)) {
    callback(*cached);
    return;
  }
  ++lookupCounts_[turn];
  const logstore::PartitionAddress partition = layout_.ofTurn(placement, turn);
  partitionAt(partition).reader->readToEnd(
      [this, turn, partition, choice = placement.choice,
       callback = std::move(callback)](const logstore::StoreResult<Success>& read) {
        if (--lookupCounts_[turn] == 0) {
          lookupCounts_.erase(turn);
        }
        if (const auto* const error = std::get_if<logstore::StoreError>(&read)) {
          callback(LedgerUnavailable{
              error->reason, {{logstore::textOf(partition), choice, error->reason, {}, false}}});
          return;
        }
        const CompletedTurn* const found = turns_.find(turn);
        callback(found == nullptr ? TurnAnswer(UnknownTurn{}) : TurnAnswer(*found));
      });
}

TurnPlacement ProgramLedger::placementFor(const TurnZones& zones) const {
  const bool confined = !zones.empty();
  return {confined ? zones.front() : knobs_.zone, 0, confined};
}

void ProgramLedger::findHistory(const TurnName& turn, HistoryCallback callback) {
  findTurn(placementFor(turn.zones), turn.request,
           [this, zones = turn.zones, callback = std::move(callback)](TurnAnswer answer) {
             if (auto* const found = std::get_if<CompletedTurn>(&answer)) {
               findBase(std::move(*found), zones, callback);
             } else if (auto* const unavailable = std::get_if<LedgerUnavailable>(&answer)) {
               callback(std::move(*unavailable));
             } else {
               callback(UnknownTurn{});
             }
           });
}

void ProgramLedger::findBase(CompletedTurn turn, const TurnZones& zones, HistoryCallback callback) {
  if (turn.base.empty()) {
    callback(History{std::move(turn.history), {}, 0});
    return;
  }
  const std::string base = turn.base;
  findHistory({base, zones}, [base, addition = std::move(turn.history),
                              callback = std::move(callback)](HistoryAnswer answer) {
    if (auto* const history = std::get_if<History>(&answer)) {
      *history = extendHistory(std::move(*history), base, addition);
    }
    callback(std::move(answer));
  });
}

void ProgramLedger::storeTurn(TurnToStore turn, Duration timeLimit, StoredCallback callback) {
  const TurnPlacement placement = placementFor(turn.zones);
  storeRecord(placement, makeCompletedTurn(std::move(turn), knobs_.maximumInlineHistoryBytes),
              timeLimit, std::move(callback));
}

void ProgramLedger::storeRecord(const TurnPlacement& placement, CompletedTurn record,
                                Duration timeLimit, StoredCallback callback) {
  if (record.history.size() + kRecordOverheadBytes > knobs_.maximumRecordBytes) {
    callback(logstore::StoreError{logstore::StoreFault::Rejected,
                                  "the turn's record exceeds the maximum record size", 0});
    return;
  }
  Partition& partition = partitionAt(layout_.ofTurn(placement, record.request));
  std::string bytes = encodeFact(record);
  partition.batcher->append(
      std::move(bytes), knobs_.turnWindow, timeLimit,
      [this, record = std::move(record), reader = partition.reader.get(),
       callback = std::move(callback)](const logstore::StoreResult<std::uint64_t>& result) {
        if (const auto* const error = std::get_if<logstore::StoreError>(&result)) {
          callback(*error);
          return;
        }
        const std::uint64_t offset = std::get<std::uint64_t>(result);
        turns_.insert(record, {reader, offset});
        reader->skipOwnRecords(offset, 1);
        callback(Success{});
      });
}

BudgetPartition& ProgramLedger::budgetsAt(const logstore::PartitionAddress& address) {
  std::unique_ptr<BudgetPartition>& partition = budgets_[address];
  if (!partition) {
    partition = std::make_unique<BudgetPartition>(store_, timers_, clock_, address, knobs_.budgets,
                                                  witnessNodes_);
  }
  return *partition;
}

void ProgramLedger::reserve(const BudgetRequest& request, Duration timeLimit,
                            ReservationCallback callback) {
  const BudgetReservation& wanted = request.reservation;
  budgetsOf(wanted.program)
      .reserve(request, timeLimit,
               [this, wanted, callback = std::move(callback)](ReservationReply reply) {
                 if (reply.outcome == ReservationOutcome::Spent) {
                   settle({wanted.request, wanted.program, 0});
                 }
                 reply.partition = logstore::textOf(layout_.ofBudget(wanted.program));
                 reply.repliedBy = knobs_.budgets.holder;
                 callback(std::move(reply));
               });
}

void ProgramLedger::settle(BudgetSettlement settlement) {
  budgetsOf(settlement.program).settle(settlement);
}

bool ProgramLedger::canStoreTurn(const TurnName& turn) {
  return store_.isLikelyAvailable(layout_.ofTurn(placementFor(turn.zones), turn.request));
}

ReservationOutlook ProgramLedger::reservationOutlook(const std::string& program) {
  return canDecideReservations(layout_.ofBudget(program)) ? ReservationOutlook::Likely
                                                          : ReservationOutlook::Unlikely;
}

bool ProgramLedger::canDecideReservations(const logstore::PartitionAddress& budgets) {
  return store_.isLikelyAvailable(budgets) || budgetsAt(budgets).holdsLease();
}

std::uint64_t ProgramLedger::knownTokenUse(const std::string& program) const {
  const auto budgets = budgets_.find(layout_.ofBudget(program));
  return budgets == budgets_.end() ? 0 : budgets->second->tokensUsedBy(program);
}

void ProgramLedger::sweep() {
  for (const auto& [address, partition] : budgets_) {
    partition->sweep();
  }
}

BudgetCounters ProgramLedger::budgetCounters() const {
  BudgetCounters sum;
  for (const auto& [address, partition] : budgets_) {
    const BudgetCounters& one = partition->counters();
    sum.grantedUnderPrimaryLease += one.grantedUnderPrimaryLease;
    sum.grantedUnderSecondaryLease += one.grantedUnderSecondaryLease;
    sum.grantedByLog += one.grantedByLog;
    sum.spent += one.spent;
    sum.uncertain += one.uncertain;
    sum.decidedTooLate += one.decidedTooLate;
    sum.notWitnessed += one.notWitnessed;
    sum.recoveredLeases += one.recoveredLeases;
  }
  return sum;
}

std::size_t ProgramLedger::unrecordedGrants() const {
  std::size_t sum = 0;
  for (const auto& [address, partition] : budgets_) {
    sum += partition->unrecordedGrants();
  }
  return sum;
}

std::size_t ProgramLedger::unrecordedSettlements() const {
  std::size_t sum = 0;
  for (const auto& [address, partition] : budgets_) {
    sum += partition->unrecordedSettlements();
  }
  return sum;
}

}  // namespace gorsetrail::ledger
