#include "ledger/program_ledger.h"

#include <utility>

namespace gorsetrail::ledger {
namespace {

/// Room that a record needs beside its history.
constexpr std::size_t kRecordOverheadBytes = 512;
constexpr Duration kSettlementTimeLimit = milliseconds(1500);

}  // namespace

ProgramLedger::ProgramLedger(logstore::PersistentStore& store, services::TimerService& timers,
                             logstore::ClockFunction clock, LedgerKnobs knobs)
    : store_(store),
      timers_(timers),
      clock_(std::move(clock)),
      knobs_(std::move(knobs)),
      layout_(knobs_.partitions),
      turns_(knobs_.cacheBytes,
             [](const TurnPlace& place) { place.reader->rewindTo(place.offset); }) {}

ProgramLedger::Partition& ProgramLedger::partitionAt(const logstore::PartitionAddress& address) {
  const auto [entry, isNew] = partitions_.try_emplace(address);
  Partition& partition = entry->second;
  if (isNew) {
    partition.reader = std::make_shared<PartitionReader>(store_, address);
    PartitionReader* const reader = partition.reader.get();
    reader->observe([this, reader](std::uint64_t offset, std::string_view record) {
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
  Fact& fact = valueOf(decoded);
  if (auto* const turn = std::get_if<CompletedTurn>(&fact)) {
    keepTurn(std::move(*turn), reader, offset);
  } else if (const auto* const reservation = std::get_if<BudgetReservation>(&fact)) {
    accounts_.onReservation(*reservation, offset, clock_());
  } else if (const auto* const settlement = std::get_if<BudgetSettlement>(&fact)) {
    accounts_.onSettlement(*settlement, clock_());
  }
}

void ProgramLedger::keepTurn(CompletedTurn turn, PartitionReader* reader, std::uint64_t offset) {
  const TurnPlace place{reader, offset};
  if (wanted_.count(turn.request) > 0) {
    turns_.put(std::move(turn), place);
  } else if (!turns_.putIfRoom(std::move(turn), place)) {
    reader->rewindTo(offset);
  }
}

void ProgramLedger::findTurn(const TurnPlacement& placement, const std::string& turn,
                             TurnCallback callback) {
  if (const CompletedTurn* const cached = turns_.find(turn)) {
    callback(*cached);
    return;
  }
  ++wanted_[turn];
  partitionAt(layout_.ofTurn(placement, turn))
      .reader->readToEnd(
          [this, turn, callback = std::move(callback)](const logstore::StoreResult<Success>& read) {
            if (--wanted_[turn] == 0) {
              wanted_.erase(turn);
            }
            if (const auto* const error = std::get_if<logstore::StoreError>(&read)) {
              callback(LedgerUnavailable{error->reason});
              return;
            }
            const CompletedTurn* const found = turns_.find(turn);
            callback(found == nullptr ? TurnAnswer(UnknownTurn{}) : TurnAnswer(*found));
          });
}

void ProgramLedger::findHistory(const std::string& turn, HistoryCallback callback) {
  findTurn({knobs_.zone, 0}, turn, [this, callback = std::move(callback)](TurnAnswer answer) {
    if (auto* const found = std::get_if<CompletedTurn>(&answer)) {
      findBase(std::move(*found), callback);
    } else if (auto* const unavailable = std::get_if<LedgerUnavailable>(&answer)) {
      callback(std::move(*unavailable));
    } else {
      callback(UnknownTurn{});
    }
  });
}

void ProgramLedger::findBase(CompletedTurn turn, HistoryCallback callback) {
  if (turn.base.empty()) {
    callback(History{std::move(turn.history), {}, 0});
    return;
  }
  const std::string base = turn.base;
  findHistory(base, [base, addition = std::move(turn.history),
                     callback = std::move(callback)](HistoryAnswer answer) {
    if (auto* const history = std::get_if<History>(&answer)) {
      *history = appendPiece(std::move(*history), base, addition);
    }
    callback(std::move(answer));
  });
}

void ProgramLedger::storeTurn(TurnToStore turn, Duration timeLimit, StoredCallback callback) {
  storeRecord({knobs_.zone, 0}, completedTurnOf(std::move(turn), knobs_.maximumInlineHistoryBytes),
              timeLimit, std::move(callback));
}

void ProgramLedger::storeRecord(const TurnPlacement& placement, CompletedTurn record,
                                Duration timeLimit, StoredCallback callback) {
  if (record.history.size() + kRecordOverheadBytes > knobs_.maximumRecordBytes) {
    callback(logstore::StoreError{logstore::StoreFault::Rejected, "the turn is too long", 0});
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
        turns_.put(record, {reader, offset});
        reader->noteOwnRecords(offset, 1);
        callback(Success{});
      });
}

void ProgramLedger::reserve(const BudgetReservation& reservation, std::uint64_t budget,
                            Duration timeLimit, ReservationCallback callback) {
  reserveAndTell(
      reservation, budget, timeLimit,
      [this, reservation, callback = std::move(callback)](const ReservationReply& reply) {
        if (reply.outcome == ReservationOutcome::Spent) {
          settle({reservation.request, reservation.program, 0});
        }
        callback(reply.outcome);
      });
}

void ProgramLedger::reserveAndTell(const BudgetReservation& reservation, std::uint64_t budget,
                                   Duration timeLimit, ReservationReplyCallback callback) {
  Partition& partition = partitionAt(layout_.ofBudget(reservation.program));
  partition.batcher->append(
      encodeFact(reservation), knobs_.reservationWindow, timeLimit,
      [this, reservation, budget, reader = partition.reader.get(),
       callback = std::move(callback)](const logstore::StoreResult<std::uint64_t>& result) {
        if (std::holds_alternative<logstore::StoreError>(result)) {
          callback({});
          return;
        }
        const std::uint64_t offset = std::get<std::uint64_t>(result);
        accounts_.onReservation(reservation, offset, clock_());
        reader->noteOwnRecords(offset, 1);
        reader->readBelow(offset, [this, reservation, budget, offset,
                                   callback](const logstore::StoreResult<Success>& read) {
          const bool known = std::holds_alternative<Success>(read);
          callback(known ? decideReservation(reservation, budget, offset) : ReservationReply{});
        });
      });
}

ReservationReply ProgramLedger::decideReservation(const BudgetReservation& reservation,
                                                  std::uint64_t budget, std::uint64_t offset) {
  const std::uint64_t before =
      accounts_.usedBefore(reservation.program, reservation.request, offset);
  if (before + reservation.tokens > budget) {
    return {ReservationOutcome::Spent, before};
  }
  return {ReservationOutcome::Granted, before + reservation.tokens};
}

void ProgramLedger::settle(BudgetSettlement settlement) {
  accounts_.onSettlement(settlement, clock_());
  Partition& partition = partitionAt(layout_.ofBudget(settlement.program));
  // A settlement that is lost leaves its reservation standing: too much is counted, never less.
  partition.batcher->append(
      encodeFact(settlement), knobs_.settlementWindow, kSettlementTimeLimit,
      [reader = partition.reader.get()](const logstore::StoreResult<std::uint64_t>& result) {
        if (const auto* const offset = std::get_if<std::uint64_t>(&result)) {
          reader->noteOwnRecords(*offset, 1);
        }
      });
}

bool ProgramLedger::isWritable(const std::string& turn, const std::string& program) {
  return store_.answers(layout_.ofTurn(knobs_.zone, turn)) &&
         store_.answers(layout_.ofBudget(program));
}

std::uint64_t ProgramLedger::knownUse(const std::string& program) const {
  return accounts_.usedBy(program);
}

void ProgramLedger::sweep() { accounts_.forgetIdleSince(clock_() - knobs_.accountLifetime); }

}  // namespace gorsetrail::ledger
