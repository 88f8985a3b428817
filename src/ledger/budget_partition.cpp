#include "ledger/budget_partition.h"

#include <algorithm>
#include <utility>

namespace gorsetrail::ledger {
namespace {

constexpr Duration kRecordTimeLimit = milliseconds(1500);
/// \return whether the program should not be over yet.
bool isTimely(const BudgetRequest& request) {
  return request.programTimeLeft && *request.programTimeLeft > Duration::zero();
}

/// A lease is renewed when this part of its validity is over.
constexpr int kRenewalsPerValidity = 3;

}  // namespace

BudgetPartition::BudgetPartition(logstore::PersistentStore& store, services::TimerService& timers,
                                 logstore::ClockFunction clock, logstore::PartitionAddress address,
                                 BudgetPartitionKnobs knobs)
    : store_(store),
      timers_(timers),
      clock_(std::move(clock)),
      address_(std::move(address)),
      knobs_(std::move(knobs)),
      reader_(std::make_shared<PartitionReader>(store, address_)),
      batcher_(std::make_unique<logstore::AppendBatcher>(store, timers, clock_, address_,
                                                         logstore::AppendBatcherKnobs{})),
      leases_(knobs_.leases) {
  reader_->observe(
      [this](std::uint64_t offset, std::string_view record) { onRecord(offset, record); });
}

void BudgetPartition::onRecord(std::uint64_t offset, std::string_view record) {
  const Result<Fact> decoded = decodeFact(record);
  if (!succeeded(decoded)) {
    return;
  }
  const Fact& fact = valueOf(decoded);
  if (const auto* const reservation = std::get_if<BudgetReservation>(&fact)) {
    accounts_.onReservation(*reservation, offset, clock_());
  } else if (const auto* const settlement = std::get_if<BudgetSettlement>(&fact)) {
    accounts_.onSettlement(*settlement, clock_());
  } else if (const auto* const lease = std::get_if<BudgetLease>(&fact)) {
    leases_.onRecord(*lease, offset, clock_());
    if (lease->lease == ownLease() && lease->state != BudgetLeaseState::Held) {
      dropLease();  // Others took this node for dead, since it was not renewed for long.
    }
  }
}

bool BudgetPartition::holdsLease() const {
  return lease_ && !givingBack_ && clock_() < lease_->validUntil;
}

void BudgetPartition::reserve(const BudgetRequest& request, Duration timeLimit,
                              ReservationReplyCallback callback) {
  if (const std::optional<ReservationReply> reply = reserveAhead(request)) {
    callback(*reply);
    return;
  }
  if (!store_.answers(address_)) {
    callback(undecidable(request));  // Waiting would only hold up who asked.
    return;
  }
  reserveInLog(request, timeLimit, std::move(callback));
}

ReservationReply BudgetPartition::undecidable(const BudgetRequest& request) const {
  const UnseenTokens unseen = mostSpentUnseen(request, kEverythingRead);
  ReservationReply reply;
  reply.tokensUsed = usedBesides(request.reservation);
  reply.reason = holdsLease() ? UndecidedReason::LeaseInsufficient : UndecidedReason::NoLease;
  reply.unseenLeases = unseen.leases;
  reply.tokensUnseen = unseen.most;
  return reply;
}

std::optional<ReservationReply> BudgetPartition::reserveAhead(const BudgetRequest& request) {
  const BudgetReservation& wanted = request.reservation;
  const bool isShort =
      isTimely(request) && *request.programTimeLeft <= knobs_.leases.longestProgramTime;
  if (!holdsLease() || !isShort) {
    return std::nullopt;
  }
  const LeaseAllowance allowance(knobs_.leases, request.budget);
  if (!allowance.allows(lease_->slot, spentAhead(wanted.program), wanted.tokens)) {
    return std::nullopt;
  }
  // Records and ends of leases are counted up to one and the same offset, the end of what was read.
  // Of later reservations each counts this lease, until its end stands before them.
  const std::uint64_t used = usedBesides(wanted);
  const std::uint64_t unseen = mostSpentUnseen(request, kEverythingRead).most;
  // The rule leaves room for one turn above the budget; it is used only for what was not seen.
  if (used + std::max(wanted.tokens, unseen) > request.budget) {
    return std::nullopt;
  }
  accounts_.onReservation(wanted, 0, clock_());
  if (ahead_.try_emplace(wanted.request, Ahead{wanted, std::nullopt, false}).second) {
    aheadByProgram_[wanted.program].push_back(wanted.request);
  }
  scheduleRecording();
  const bool isPrimary = lease_->slot == BudgetLeaseSlot::Primary;
  ++(isPrimary ? counters_.grantedAhead : counters_.grantedAheadSecondary);
  return ReservationReply{ReservationOutcome::Granted, used + wanted.tokens};
}

std::uint64_t BudgetPartition::spentAhead(const std::string& program) const {
  const auto requests = aheadByProgram_.find(program);
  if (requests == aheadByProgram_.end()) {
    return 0;
  }
  std::uint64_t tokens = 0;
  for (const std::string& request : requests->second) {
    const Ahead& grant = ahead_.at(request);
    tokens += grant.settlement ? grant.settlement->tokens : grant.reservation.tokens;
  }
  return tokens;
}

BudgetPartition::UnseenTokens BudgetPartition::mostSpentUnseen(const BudgetRequest& request,
                                                               std::uint64_t below) const {
  const std::string& program = request.reservation.program;
  const UnseenSpending unseen =
      leases_.unseenSpending(ownLease(), isTimely(request), below, clock_());
  const std::uint64_t largestTurn =
      std::max(request.reservation.tokens, accounts_.largestReservationOf(program));
  return {unseen, LeaseAllowance(knobs_.leases, request.budget).mostSpent(unseen, largestTurn)};
}

void BudgetPartition::reserveInLog(const BudgetRequest& request, Duration timeLimit,
                                   ReservationReplyCallback callback) {
  const Instant askedAt = clock_();
  batcher_->append(encodeFact(request.reservation), knobs_.reservationWindow, timeLimit,
                   [this, request, askedAt, callback = std::move(callback)](
                       const logstore::StoreResult<std::uint64_t>& result) {
                     if (std::holds_alternative<logstore::StoreError>(result)) {
                       callback({ReservationOutcome::Unavailable, usedBesides(request.reservation),
                                 UndecidedReason::AppendFailed});
                       return;
                     }
                     const std::uint64_t offset = std::get<std::uint64_t>(result);
                     accounts_.onReservation(request.reservation, offset, clock_());
                     reader_->noteOwnRecords(offset, 1);
                     reader_->readBelow(offset, [this, request, askedAt, offset, callback](
                                                    const logstore::StoreResult<Success>& read) {
                       const bool known = std::holds_alternative<Success>(read);
                       callback(known ? decideByLog(request, askedAt, offset)
                                      : ReservationReply{ReservationOutcome::Unavailable,
                                                         usedBesides(request.reservation),
                                                         UndecidedReason::ReadFailed});
                     });
                   });
}

ReservationReply BudgetPartition::decideByLog(const BudgetRequest& request, Instant askedAt,
                                              std::uint64_t offset) {
  const BudgetReservation& wanted = request.reservation;
  // Leases are cleared when programs that spent under them should be over, by what they told. This
  // one's time may be over by now: after a pause of the process it would be taken for a new one.
  if (clock_() - askedAt > knobs_.leases.longestCall) {
    ++counters_.decidedTooLate;
    return {ReservationOutcome::Unavailable, usedBesides(wanted), UndecidedReason::DecidedTooLate};
  }
  const std::uint64_t before = accounts_.usedBefore(wanted.program, wanted.request, offset);
  if (before + wanted.tokens > request.budget) {
    ++counters_.spent;
    return {ReservationOutcome::Spent, before};
  }
  const UnseenTokens unseen = mostSpentUnseen(request, offset);
  if (before + unseen.most > request.budget) {
    ++counters_.uncertain;
    return {ReservationOutcome::Unavailable, before, UndecidedReason::UnseenSpending, unseen.leases,
            unseen.most};
  }
  ++counters_.grantedByLog;
  return {ReservationOutcome::Granted, before + wanted.tokens};
}

void BudgetPartition::settle(const BudgetSettlement& settlement) {
  accounts_.onSettlement(settlement, clock_());
  const auto granted = ahead_.find(settlement.request);
  if (granted != ahead_.end()) {
    granted->second.settlement = settlement;  // It follows the reservation's record.
  } else {
    appendSettlement(settlement);
  }
}

void BudgetPartition::appendSettlement(const BudgetSettlement& settlement) {
  // A settlement that is lost leaves its reservation standing: too much is counted, never less.
  batcher_->append(encodeFact(settlement), knobs_.settlementWindow, kRecordTimeLimit,
                   [reader = reader_](const logstore::StoreResult<std::uint64_t>& result) {
                     if (const auto* const offset = std::get_if<std::uint64_t>(&result)) {
                       reader->noteOwnRecords(*offset, 1);
                     }
                   });
}

void BudgetPartition::scheduleRecording() {
  if (recordingScheduled_ || ahead_.empty()) {
    return;
  }
  recordingScheduled_ = true;
  timers_.runAfter(knobs_.recordingPeriod, [this] {
    recordingScheduled_ = false;
    if (store_.answers(address_)) {
      recordAhead();
    }
    scheduleRecording();
  });
}

void BudgetPartition::recordAhead() {
  for (auto& [request, grant] : ahead_) {
    if (grant.recording) {
      continue;
    }
    grant.recording = true;
    const bool withSettlement = grant.settlement.has_value();
    batcher_->append(encodeFact(grant.reservation), Duration::zero(), kRecordTimeLimit,
                     [this, request = request,
                      withSettlement](const logstore::StoreResult<std::uint64_t>& result) {
                       onRecorded(request, withSettlement, result);
                     });
    if (withSettlement) {
      batcher_->append(encodeFact(*grant.settlement), Duration::zero(), kRecordTimeLimit,
                       [reader = reader_](const logstore::StoreResult<std::uint64_t>& result) {
                         if (const auto* const offset = std::get_if<std::uint64_t>(&result)) {
                           reader->noteOwnRecords(*offset, 1);
                         }
                       });
    }
  }
}

void BudgetPartition::onRecorded(const std::string& request, bool withSettlement,
                                 const logstore::StoreResult<std::uint64_t>& result) {
  const auto* const offset = std::get_if<std::uint64_t>(&result);
  if (offset == nullptr) {
    ahead_.at(request).recording = false;  // It is appended again.
    return;
  }
  reader_->noteOwnRecords(*offset, 1);
  reader_->readBelow(
      *offset, [this, request, withSettlement](const logstore::StoreResult<Success>& read) {
        if (std::holds_alternative<logstore::StoreError>(read)) {
          ahead_.at(request).recording = false;
          return;
        }
        const std::optional<BudgetSettlement> settlement = ahead_.at(request).settlement;
        forgetAhead(request);
        if (settlement && !withSettlement) {
          appendSettlement(*settlement);
        }
        if (givingBack_ && ahead_.empty()) {
          giveLeaseBack();  // The partition's next home waits for it.
        }
      });
}

void BudgetPartition::forgetAhead(const std::string& request) {
  const auto granted = ahead_.find(request);
  const auto program = aheadByProgram_.find(granted->second.reservation.program);
  std::erase(program->second, request);
  if (program->second.empty()) {
    aheadByProgram_.erase(program);
  }
  ahead_.erase(granted);
}

std::string BudgetPartition::leaseId() const {
  return knobs_.holder + "/" + knobs_.life + "/" + std::to_string(leaseNumber_);
}

// The record is read like any other, in its place among those of other homes. It waits for others
// no longer than a reservation: until it stands, an outage finds the partition without a lease.
void BudgetPartition::appendLease(const BudgetLease& record,
                                  std::function<void(bool stands)> onRead) {
  batcher_->append(
      encodeFact(record), knobs_.reservationWindow, kRecordTimeLimit,
      [this, onRead = std::move(onRead)](const logstore::StoreResult<std::uint64_t>& result) {
        const auto* const offset = std::get_if<std::uint64_t>(&result);
        if (offset == nullptr) {
          onRead(false);
          return;
        }
        reader_->readBelow(*offset + 1, [onRead](const logstore::StoreResult<Success>& read) {
          onRead(std::holds_alternative<Success>(read));
        });
      });
}

void BudgetPartition::keepLease() {
  if (!knobs_.leases.enabled || knobs_.life.empty() || leaseAsked_ || !store_.answers(address_)) {
    return;
  }
  givingBack_ = false;
  keepsLease_ = true;
  if (isRenewalDue() && leases_.hasSlotFor(leaseId())) {
    takeLease();
  }
  endAndClearOthers();
}

bool BudgetPartition::isRenewalDue() const {
  if (!lease_ || leases_.canMoveUp(lease_->id)) {
    return true;
  }
  const Duration pause = knobs_.leases.validity / kRenewalsPerValidity;
  return lease_->validUntil - clock_() <= knobs_.leases.validity - pause;
}

void BudgetPartition::endAndClearOthers() {
  const Instant now = clock_();
  const std::optional<BudgetLease> due = leases_.due(leaseId(), knobs_.holder, now);
  if (due && !clearing_) {
    clearing_ = true;
    appendLease(*due, [this](bool stands) {
      clearing_ = false;
      if (stands && keepsLease_ && !lease_) {
        keepLease();  // A slot may be free now.
      }
    });
  } else if (leases_.unseenSpending(ownLease(), true, kEverythingRead, now) !=
             UnseenSpending::None) {
    // What others record of their leases is to be known when it stands.
    reader_->readToEnd([](const logstore::StoreResult<Success>& /*read*/) {});
  }
}

void BudgetPartition::takeLease() {
  leaseAsked_ = true;
  const Instant askedAt = clock_();
  const std::string id = leaseId();
  const BudgetLeaseSlot slot = lease_ ? lease_->slot : BudgetLeaseSlot::Primary;
  appendLease({id, knobs_.holder, BudgetLeaseState::Held, ++renewal_, slot},
              [this, id, askedAt](bool stands) {
                leaseAsked_ = false;
                if (stands && id == leaseId()) {
                  onLeaseRead(id, askedAt);
                }
              });
}

void BudgetPartition::onLeaseRead(const std::string& id, Instant askedAt) {
  const std::optional<BudgetLeaseSlot> slot = leases_.slotOf(id);
  if (!slot || leases_.stateOf(id) != BudgetLeaseState::Held) {
    dropLease();  // Another one was held before it, or two were in force.
    // Where the other one is that of this address's earlier process, it ends now, so that this one
    // can take a slot at once.
    endAndClearOthers();
    return;
  }
  const bool isNews = !lease_ || lease_->slot != *slot;
  lease_ = Lease{id, askedAt + knobs_.leases.validity, *slot};
  if (isNews) {
    tellOwnLease(BudgetLeaseState::Held);
  }
}

void BudgetPartition::giveLeaseBack() {
  keepsLease_ = false;
  if (!lease_ || leaseAsked_) {
    return;
  }
  givingBack_ = true;
  if (!store_.answers(address_)) {
    return;
  }
  if (!ahead_.empty()) {
    recordAhead();
    return;
  }
  // All that was spent under it is recorded: nobody has to count it any more. Its record may come
  // to stand without an answer, so the lease is not used again whatever the answer.
  const BudgetLease record{lease_->id, knobs_.holder, BudgetLeaseState::Cleared, renewal_,
                           lease_->slot};
  dropLease();
  leaseAsked_ = true;
  appendLease(record, [this](bool /*stands*/) { leaseAsked_ = false; });
}

void BudgetPartition::tellOwnLease(BudgetLeaseState state) const {
  if (knobs_.onOwnLease) {
    knobs_.onOwnLease(address_, {lease_->id, knobs_.holder, state, renewal_, lease_->slot});
  }
}

void BudgetPartition::dropLease() {
  if (lease_) {
    tellOwnLease(BudgetLeaseState::Ended);
  }
  lease_.reset();
  givingBack_ = false;
  ++leaseNumber_;
}

void BudgetPartition::sweep() {
  const Instant now = clock_();
  accounts_.forgetIdleSince(now - knobs_.accountLifetime);
  leases_.forgetOld(now);
}

}  // namespace gorsetrail::ledger
