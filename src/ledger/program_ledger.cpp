#include "ledger/program_ledger.h"

#include <xxhash.h>

#include <utility>

namespace gorsetrail::ledger {
namespace {

constexpr const char* kTurnTopic = "turns-";
constexpr const char* kBudgetTopic = "budgets-";
/// Room that a record needs beside its history.
constexpr std::size_t kRecordOverheadBytes = 512;
constexpr Duration kSettlementTimeLimit = milliseconds(1500);

}  // namespace

ProgramLedger::ProgramLedger(logstore::PersistentStore& store, services::TimerService& timers,
                             logstore::ClockFunction clock, LedgerKnobs knobs)
    : store_(store),
      timers_(timers),
      clock_(std::move(clock)),
      knobs_(knobs),
      partitions_(std::size_t{2} * knobs.topics * knobs.partitionsPerTopic),
      turns_(knobs.cacheBytes, [this](const TurnPlace& place) {
        partitions_[place.partition]->reader->rewindTo(place.offset);
      }) {}

std::uint32_t ProgramLedger::partitionCount() const {
  return knobs_.topics * knobs_.partitionsPerTopic;
}

std::uint32_t ProgramLedger::turnIndex(const std::string& turn) const {
  return static_cast<std::uint32_t>(XXH64(turn.data(), turn.size(), 0) % partitionCount());
}

std::uint32_t ProgramLedger::budgetIndex(const std::string& program) const {
  return partitionCount() +
         static_cast<std::uint32_t>(XXH64(program.data(), program.size(), 0) % partitionCount());
}

ProgramLedger::Partition& ProgramLedger::turnPartition(const std::string& turn) {
  return partitionAt(turnIndex(turn), kTurnTopic);
}

ProgramLedger::Partition& ProgramLedger::budgetPartition(const std::string& program) {
  return partitionAt(budgetIndex(program), kBudgetTopic);
}

ProgramLedger::Partition& ProgramLedger::partitionAt(std::uint32_t index, const char* topicPrefix) {
  std::unique_ptr<Partition>& slot = partitions_[index];
  if (!slot) {
    const std::uint32_t number = index % partitionCount();
    slot = std::make_unique<Partition>();
    slot->address = {topicPrefix + std::to_string(number / knobs_.partitionsPerTopic),
                     number % knobs_.partitionsPerTopic};
    slot->reader = std::make_shared<PartitionReader>(
        store_, slot->address, [this, index](std::uint64_t offset, std::string_view record) {
          onRecord(index, offset, record);
        });
  }
  return *slot;
}

void ProgramLedger::onRecord(std::uint32_t index, std::uint64_t offset, std::string_view record) {
  Result<Fact> decoded = decodeFact(record);
  if (!succeeded(decoded)) {
    return;
  }
  Fact& fact = valueOf(decoded);
  if (auto* const turn = std::get_if<CompletedTurn>(&fact)) {
    keepTurn(std::move(*turn), index, offset);
  } else if (const auto* const reservation = std::get_if<BudgetReservation>(&fact)) {
    accounts_.onReservation(*reservation, offset, clock_());
  } else if (const auto* const settlement = std::get_if<BudgetSettlement>(&fact)) {
    accounts_.onSettlement(*settlement, clock_());
  }
}

void ProgramLedger::keepTurn(CompletedTurn turn, std::uint32_t index, std::uint64_t offset) {
  const TurnPlace place{index, offset};
  if (wanted_.count(turn.request) > 0) {
    turns_.put(std::move(turn), place);
  } else if (!turns_.putIfRoom(std::move(turn), place)) {
    partitions_[index]->reader->rewindTo(offset);
  }
}

void ProgramLedger::findHistory(const std::string& turn, HistoryCallback callback) {
  if (const CompletedTurn* const cached = turns_.find(turn)) {
    findBase(*cached, std::move(callback));
    return;
  }
  ++wanted_[turn];
  turnPartition(turn).reader->readToEnd(
      [this, turn, callback = std::move(callback)](const logstore::StoreResult<Success>& read) {
        if (--wanted_[turn] == 0) {
          wanted_.erase(turn);
        }
        if (const auto* const error = std::get_if<logstore::StoreError>(&read)) {
          callback(LedgerUnavailable{error->reason});
          return;
        }
        const CompletedTurn* const found = turns_.find(turn);
        if (found == nullptr) {
          callback(UnknownTurn{});
          return;
        }
        findBase(*found, callback);
      });
}

void ProgramLedger::findBase(CompletedTurn turn, HistoryCallback callback) {
  if (turn.base.empty()) {
    callback(History{std::move(turn.history)});
    return;
  }
  const std::string base = turn.base;
  findHistory(base, [addition = std::move(turn.history),
                     callback = std::move(callback)](HistoryAnswer answer) {
    if (auto* const history = std::get_if<History>(&answer)) {
      history->text += addition;
    }
    callback(std::move(answer));
  });
}

void ProgramLedger::storeTurn(const std::string& turn, const std::string& previous,
                              std::string addition, Duration timeLimit, StoredCallback callback) {
  CompletedTurn record{turn, previous, std::move(addition)};
  const CompletedTurn* const before = previous.empty() ? nullptr : turns_.find(previous);
  const bool fitsInline = before != nullptr && before->history.size() + record.history.size() <=
                                                   knobs_.maximumInlineHistoryBytes;
  if (fitsInline) {
    record.history = before->history + record.history;
    record.base = before->base;
  }
  if (record.history.size() + kRecordOverheadBytes > knobs_.maximumRecordBytes) {
    callback(logstore::StoreError{logstore::StoreFault::Rejected, "the turn is too long", 0});
    return;
  }
  Partition& partition = turnPartition(turn);
  logstore::AppendRequest request{partition.address, {encodeFact(record)}, timeLimit};
  store_.append(
      std::move(request),
      [this, record = std::move(record), index = turnIndex(turn), callback = std::move(callback)](
          logstore::StoreResult<logstore::AppendReply> result) mutable {
        if (auto* const error = std::get_if<logstore::StoreError>(&result)) {
          callback(std::move(*error));
          return;
        }
        const std::uint64_t offset = std::get<logstore::AppendReply>(result).offset;
        turns_.put(std::move(record), {index, offset});
        partitions_[index]->reader->noteOwnRecords(offset, 1);
        callback(Success{});
      });
}

void ProgramLedger::reserve(const BudgetReservation& reservation, std::uint64_t budget,
                            Duration timeLimit, ReservationCallback callback) {
  Partition& partition = budgetPartition(reservation.program);
  std::vector<std::string> records = std::move(partition.pendingSettlements);
  partition.pendingSettlements.clear();
  records.push_back(encodeFact(reservation));
  const std::uint64_t count = records.size();
  logstore::AppendRequest request{partition.address, std::move(records), timeLimit};
  store_.append(
      std::move(request),
      [this, reservation, budget, count, index = budgetIndex(reservation.program),
       callback = std::move(callback)](logstore::StoreResult<logstore::AppendReply> result) {
        if (std::holds_alternative<logstore::StoreError>(result)) {
          callback(ReservationOutcome::Unavailable);
          return;
        }
        const std::uint64_t first = std::get<logstore::AppendReply>(result).offset;
        const std::uint64_t offset = first + count - 1;
        accounts_.onReservation(reservation, offset, clock_());
        const auto& reader = partitions_[index]->reader;
        reader->noteOwnRecords(first, count);
        reader->readBelow(offset, [this, reservation, budget, offset,
                                   callback](const logstore::StoreResult<Success>& read) {
          if (std::holds_alternative<logstore::StoreError>(read)) {
            callback(ReservationOutcome::Unavailable);
            return;
          }
          decideReservation(reservation, budget, offset, callback);
        });
      });
}

void ProgramLedger::decideReservation(const BudgetReservation& reservation, std::uint64_t budget,
                                      std::uint64_t offset, const ReservationCallback& callback) {
  const std::uint64_t before =
      accounts_.usedBefore(reservation.program, reservation.request, offset);
  if (before + reservation.tokens > budget) {
    settle({reservation.request, reservation.program, 0});
    callback(ReservationOutcome::Spent);
    return;
  }
  callback(ReservationOutcome::Granted);
}

void ProgramLedger::settle(BudgetSettlement settlement) {
  accounts_.onSettlement(settlement, clock_());
  const std::uint32_t index = budgetIndex(settlement.program);
  Partition& partition = budgetPartition(settlement.program);
  partition.pendingSettlements.push_back(encodeFact(settlement));
  if (partition.flushScheduled) {
    return;
  }
  partition.flushScheduled = true;
  timers_.runAfter(knobs_.settlementDelay, [this, index] { flushSettlements(index); });
}

void ProgramLedger::flushSettlements(std::uint32_t index) {
  Partition& partition = *partitions_[index];
  partition.flushScheduled = false;
  if (partition.pendingSettlements.empty()) {
    return;
  }
  std::vector<std::string> records = std::move(partition.pendingSettlements);
  partition.pendingSettlements.clear();
  const std::uint64_t count = records.size();
  logstore::AppendRequest request{partition.address, std::move(records), kSettlementTimeLimit};
  // A settlement that is lost leaves its reservation standing: too much is counted, never less.
  store_.append(std::move(request),
                [this, index, count](const logstore::StoreResult<logstore::AppendReply>& result) {
                  if (const auto* const reply = std::get_if<logstore::AppendReply>(&result)) {
                    partitions_[index]->reader->noteOwnRecords(reply->offset, count);
                  }
                });
}

bool ProgramLedger::isWritable(const std::string& turn, const std::string& program) {
  return store_.answers(turnPartition(turn).address) &&
         store_.answers(budgetPartition(program).address);
}

std::uint64_t ProgramLedger::knownUse(const std::string& program) const {
  return accounts_.usedBy(program);
}

void ProgramLedger::sweep() { accounts_.forgetIdleSince(clock_() - knobs_.accountLifetime); }

}  // namespace gorsetrail::ledger
