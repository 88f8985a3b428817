#include "ledger/budget_partition.h"

#include <algorithm>
#include <utility>

namespace gorsetrail::ledger {
namespace {

constexpr Duration kRecordTimeLimit = milliseconds(1500);
/// \return whether the program declared its remaining time and is not overdue.
bool hasTimeLeft(const BudgetRequest& request) {
  return request.programTimeLeft && *request.programTimeLeft > Duration::zero();
}

/// A lease is renewed once 1/kRenewalsPerValidity of its validity has passed.
constexpr int kRenewalsPerValidity = 3;

}  // namespace

BudgetPartition::BudgetPartition(logstore::RetryingStore& store, services::TimerService& timers,
                                 logstore::ClockFunction clock, logstore::PartitionAddress address,
                                 BudgetPartitionKnobs knobs, WitnessNodes* witnesses)
    : store_(store),
      timers_(timers),
      clock_(std::move(clock)),
      address_(std::move(address)),
      knobs_(std::move(knobs)),
      reader_(std::make_shared<PartitionReader>(store, address_)),
      batcher_(std::make_unique<logstore::AppendBatcher>(store, timers, clock_, address_,
                                                         logstore::AppendBatcherKnobs{})),
      leases_(knobs_.leases),
      witnessNodes_(witnesses) {
  if (witnessNodes_ != nullptr) {
    recovery_ = std::make_unique<LeaseRecovery>(
        *witnessNodes_, clock_, recoveryLog(),
        [this](const BudgetLease& lease, LeaseRecoveryOutcome outcome, std::size_t recovered) {
          if (outcome == LeaseRecoveryOutcome::WitnessesLost) {
            leases_.onWitnessesLost(lease.lease);
          }
          counters_.recoveredLeases += outcome == LeaseRecoveryOutcome::Cleared ? 1 : 0;
          if (knobs_.onLeaseRecovery) {
            knobs_.onLeaseRecovery(address_, lease, outcome, recovered);
          }
        },
        knobs_.recovery);
  }
  reader_->setObserver(
      [this](std::uint64_t offset, std::string_view record) { onRecord(offset, record); });
}

void BudgetPartition::onRecord(std::uint64_t offset, std::string_view record) {
  const Result<Fact> decoded = decodeFact(record);
  if (!succeeded(decoded)) {
    return;
  }
  const Fact& fact = valueOf(decoded);
  if (const auto* const reservation = std::get_if<BudgetReservation>(&fact)) {
    accounts_.applyReservation(*reservation, offset, clock_());
  } else if (const auto* const settlement = std::get_if<BudgetSettlement>(&fact)) {
    accounts_.applySettlement(*settlement, clock_());
    accounts_.onSettlementRecorded(*settlement);
  } else if (const auto* const lease = std::get_if<BudgetLease>(&fact)) {
    leases_.applyRecord(*lease, offset, clock_());
    if (lease->lease == ownLease() && lease->state != BudgetLeaseState::Held) {
      dropLease();  // Another node ended the lease because it was not renewed in time.
    }
  }
}

bool BudgetPartition::holdsLease() const {
  return lease_ && !releasing_ && clock_() < lease_->validUntil;
}

void BudgetPartition::reserve(const BudgetRequest& request, Duration timeLimit,
                              ReservationReplyCallback callback) {
  const Instant now = clock_();
  PendingReservation pending{request, now, now + timeLimit, std::move(callback)};
  if (!reserveUnderLease(pending)) {
    decideWithoutLease(std::move(pending));
  }
}

void BudgetPartition::decideWithoutLease(PendingReservation pending) {
  if (store_.isLikelyAvailable(address_)) {
    reserveInLog(std::move(pending));
    return;
  }
  pending.callback(undecidedReply(pending.request));  // Waiting would only delay the caller.
}

ReservationReply BudgetPartition::undecidedReply(const BudgetRequest& request) const {
  const UnrecordedTokens unseen = maxUnrecordedByOthers(request, kMaxOffset);
  ReservationReply reply;
  reply.tokensUsed = tokensUsedByOthers(request.reservation);
  reply.reason = holdsLease() ? UndecidedReason::LeaseInsufficient : UndecidedReason::NoLease;
  reply.unseenLeases = unseen.leases;
  reply.tokensUnseen = unseen.maxTokens;
  return reply;
}

std::optional<ReservationReply> BudgetPartition::replyUnderLease(
    const BudgetRequest& request) const {
  const BudgetReservation& reservation = request.reservation;
  const bool isLeaseAllowed =
      hasTimeLeft(request) && *request.programTimeLeft <= knobs_.leases.maxRemainingProgramTime;
  if (!holdsLease() || !isLeaseAllowed) {
    return std::nullopt;
  }
  const LeaseAllowance allowance(knobs_.leases, request.budget);
  if (!allowance.allows(lease_->slot, unrecordedTokensOf(reservation.program),
                        reservation.tokens)) {
    return std::nullopt;
  }
  // Records and lease states are both counted up to the end of what was read. Every later
  // reservation counts this lease until its end precedes the reservation in the log.
  const std::uint64_t used = tokensUsedByOthers(reservation);
  const std::uint64_t unseen = maxUnrecordedByOthers(request, kMaxOffset).maxTokens;
  // A program may exceed its budget by one turn, but only through unrecorded spending of others.
  if (used + std::max(reservation.tokens, unseen) > request.budget) {
    return std::nullopt;
  }
  ReservationReply reply{ReservationOutcome::Granted, used + reservation.tokens};
  reply.tokensUnseen = unseen;
  reply.grantedUnder = lease_->id;
  return reply;
}

bool BudgetPartition::reserveUnderLease(PendingReservation& pending) {
  const std::optional<ReservationReply> reply = replyUnderLease(pending.request);
  if (!reply) {
    return false;
  }
  const std::shared_ptr<GrantReplication> replication = lease_->replication;
  // A failed majority costs the time limit of a call, the log less.
  if (replication && !replication->hasMajority() && store_.isLikelyAvailable(address_)) {
    return false;
  }
  const BudgetReservation& reservation = pending.request.reservation;
  const auto [grant, isNew] = unrecordedGrants_.try_emplace(reservation.request);
  if (!isNew && grant->second.isReplicating) {
    return false;  // A repeated call; the log decides this one.
  }
  accounts_.applyGrant(reservation, clock_());
  if (isNew) {
    grant->second.reservation = reservation;
    unrecordedByProgram_[reservation.program].push_back(reservation.request);
  }
  if (!isNew || !replication) {
    countGrantUnderLease();
    scheduleRecording();
    pending.callback(*reply);
    return true;
  }
  grant->second.replication = replication;
  grant->second.isReplicating = true;
  auto shared = std::make_shared<PendingReservation>(std::move(pending));
  grant->second.number = replication->replicate(shared->request.reservation,
                                                [this, shared, reply = *reply](bool stored) {
                                                  onReplicated(std::move(*shared), reply, stored);
                                                });
  return true;
}

void BudgetPartition::countGrantUnderLease() {
  const bool isPrimary = lease_ && lease_->slot == BudgetLeaseSlot::Primary;
  ++(isPrimary ? counters_.grantedUnderPrimaryLease : counters_.grantedUnderSecondaryLease);
}

void BudgetPartition::onReplicated(PendingReservation pending, const ReservationReply& reply,
                                   bool stored) {
  UnrecordedGrant& grant = unrecordedGrants_.at(pending.request.reservation.request);
  grant.isReplicating = false;
  if (stored) {
    countGrantUnderLease();
    scheduleRecording();
    pending.callback(reply);
    return;
  }
  ++counters_.notWitnessed;
  // Some witnesses may have stored it, so that it may still be recorded by another node. It is not
  // used by this decision, and the log decides about it like about any other request.
  const std::optional<BudgetSettlement> settlement = grant.settlement;
  removeGrant(pending.request.reservation.request);
  accounts_.revokeGrant(pending.request.reservation);
  if (settlement) {
    recordSettlement(*settlement, knobs_.settlementWindow);  // The caller has given up.
  }
  if (releasing_ && unrecordedGrants_.empty()) {
    releaseOnceRecorded();
  }
  if (settlement || !store_.isLikelyAvailable(address_)) {
    ReservationReply refused = undecidedReply(pending.request);
    refused.reason = UndecidedReason::WitnessesUnavailable;
    pending.callback(refused);
    return;
  }
  reserveInLog(std::move(pending));
}

std::uint64_t BudgetPartition::unrecordedTokensOf(const std::string& program) const {
  const auto requests = unrecordedByProgram_.find(program);
  if (requests == unrecordedByProgram_.end()) {
    return 0;
  }
  std::uint64_t tokens = 0;
  for (const std::string& request : requests->second) {
    const UnrecordedGrant& grant = unrecordedGrants_.at(request);
    tokens += grant.settlement ? grant.settlement->tokens : grant.reservation.tokens;
  }
  return tokens;
}

BudgetPartition::UnrecordedTokens BudgetPartition::maxUnrecordedByOthers(
    const BudgetRequest& request, std::uint64_t below) const {
  const std::string& program = request.reservation.program;
  const ForeignLeases leases =
      leases_.foreignLeases(ownLease(), accounts_.firstRecordOf(program), below, clock_());
  const std::uint64_t largestTurn =
      std::max(request.reservation.tokens, accounts_.largestReservationOf(program));
  const LeaseAllowance allowance(knobs_.leases, request.budget);
  return {leases.all, allowance.maxSpent(leases.all, largestTurn),
          allowance.maxSpent(leases.permanent, largestTurn)};
}

void BudgetPartition::reserveInLog(PendingReservation pending) {
  const Duration timeLimit = pending.deadline - clock_();
  auto shared = std::make_shared<PendingReservation>(std::move(pending));
  batcher_->append(
      encodeFact(shared->request.reservation), knobs_.reservationWindow, timeLimit,
      [this, shared](const logstore::StoreResult<std::uint64_t>& result) {
        const BudgetReservation& reservation = shared->request.reservation;
        if (std::holds_alternative<logstore::StoreError>(result)) {
          shared->callback({ReservationOutcome::Unavailable, tokensUsedByOthers(reservation),
                            UndecidedReason::AppendFailed});
          return;
        }
        const std::uint64_t offset = std::get<std::uint64_t>(result);
        accounts_.applyReservation(reservation, offset, clock_());
        reader_->skipOwnRecords(offset, 1);
        reader_->readBelow(offset, [this, shared,
                                    offset](const logstore::StoreResult<Success>& read) {
          const bool readAll = std::holds_alternative<Success>(read);
          onDecidedByLog(std::move(*shared),
                         readAll ? decideByLog(shared->request, shared->askedAt, offset)
                                 : ReservationReply{ReservationOutcome::Unavailable,
                                                    tokensUsedByOthers(shared->request.reservation),
                                                    UndecidedReason::ReadFailed});
        });
      });
}

void BudgetPartition::onDecidedByLog(PendingReservation pending, const ReservationReply& reply) {
  const bool isUnseen = reply.outcome == ReservationOutcome::Unavailable &&
                        reply.reason == UndecidedReason::UnseenSpending;
  if (!isUnseen || !recoverLeasesFor(pending, reply)) {
    pending.callback(reply);
  }
}

bool BudgetPartition::fitsBeside(const std::vector<BudgetLease>& leases,
                                 const BudgetRequest& request, std::uint64_t tokensUsed) const {
  UnrecordedSpending spending = UnrecordedSpending::None;
  for (const BudgetLease& lease : leases) {
    addSpendingUnder(lease.slot, spending);
  }
  const std::uint64_t largestTurn = std::max(
      request.reservation.tokens, accounts_.largestReservationOf(request.reservation.program));
  const LeaseAllowance allowance(knobs_.leases, request.budget);
  return tokensUsed + allowance.maxSpent(spending, largestTurn) <= request.budget;
}

bool BudgetPartition::recoverLeasesFor(PendingReservation& pending, const ReservationReply& reply) {
  if (!recovery_) {
    return false;
  }
  const Instant now = clock_();
  const bool mayRecoverHeld =
      !pending.hasRecoveredHeld && now - lastRecoveryAt_ >= knobs_.recoveryInterval;
  std::vector<BudgetLease> ended;
  std::vector<BudgetLease> held;
  std::vector<BudgetLease> others;
  for (const BudgetLease& lease : leases_.activeForeignLeases(ownLease())) {
    const bool isEnded = lease.state == BudgetLeaseState::Ended;
    const bool mayRecover = isEnded ? !pending.hasRecoveredEnded : mayRecoverHeld;
    const bool canRecover = mayRecover && recovery_->canStart(lease);
    (!canRecover ? others : isEnded ? ended : held).push_back(lease);
  }
  if (!fitsBeside(others, pending.request, reply.tokensUsed)) {
    return false;
  }
  const bool startsWithEnded = !ended.empty();
  const std::vector<BudgetLease>& leases = startsWithEnded ? ended : held;
  if (leases.empty()) {
    return false;
  }
  if (startsWithEnded) {
    pending.hasRecoveredEnded = true;
  } else {
    pending.hasRecoveredHeld = true;
    lastRecoveryAt_ = now;
  }
  auto shared = std::make_shared<PendingReservation>(std::move(pending));
  auto awaited = std::make_shared<std::size_t>(leases.size());
  for (const BudgetLease& lease : leases) {
    recovery_->recover(lease, [this, shared, awaited](bool /*cleared*/) {
      // A further record of the reservation is decided by what stands below that one.
      if (--*awaited == 0) {
        reserveInLog(std::move(*shared));
      }
    });
  }
  return true;
}

ReservationReply BudgetPartition::decideByLog(const BudgetRequest& request, Instant askedAt,
                                              std::uint64_t offset) {
  const BudgetReservation& reservation = request.reservation;
  // After a long pause of this process the caller has given up.
  if (clock_() - askedAt > knobs_.leases.maxDecisionDelay) {
    ++counters_.decidedTooLate;
    return {ReservationOutcome::Unavailable, tokensUsedByOthers(reservation),
            UndecidedReason::DecidedTooLate};
  }
  const TokenUse use = accounts_.useBefore(reservation.program, reservation.request, offset,
                                           clock_() - knobs_.unsettledTurnTime);
  const UnrecordedTokens unseen = maxUnrecordedByOthers(request, offset);
  // "Spent" is final for the program, so it is said only when nothing that is unknown now can still
  // become known and leave room for the turn.
  const std::uint64_t certain = use.counted - use.unsettled;
  if (certain + std::max(reservation.tokens, unseen.permanentTokens) > request.budget) {
    ++counters_.spent;
    return {ReservationOutcome::Spent, use.counted};
  }
  ReservationReply reply{ReservationOutcome::Unavailable, use.counted};
  reply.tokensUnsettled = use.unsettled;
  reply.unseenLeases = unseen.leases;
  reply.tokensUnseen = unseen.maxTokens;
  if (use.counted + reservation.tokens > request.budget) {
    ++counters_.uncertain;
    reply.reason = UndecidedReason::UnsettledTurns;
    return reply;
  }
  if (use.counted + unseen.maxTokens > request.budget) {
    ++counters_.uncertain;
    reply.reason = UndecidedReason::UnseenSpending;
    return reply;
  }
  ++counters_.grantedByLog;
  reply.outcome = ReservationOutcome::Granted;
  reply.tokensUsed += reservation.tokens;
  return reply;
}

bool BudgetPartition::settle(const BudgetSettlement& settlement) {
  if (accounts_.isRecorded(settlement)) {
    return true;  // Its caller sends it again after the coordinator that recorded it has died.
  }
  const auto granted = unrecordedGrants_.find(settlement.request);
  if (granted == unrecordedGrants_.end() &&
      unrecordedSettlements_.size() >= knobs_.maximumUnrecordedSettlements) {
    return false;
  }
  accounts_.applySettlement(settlement, clock_());
  if (granted != unrecordedGrants_.end()) {
    granted->second.settlement =
        settlement;  // It is appended with or after the reservation's record.
  } else {
    recordSettlement(settlement, knobs_.settlementWindow);
  }
  return true;
}

void BudgetPartition::recordSettlement(const BudgetSettlement& settlement, Duration window) {
  unrecordedSettlements_[settlement.request] = {settlement, false};
  appendSettlement(settlement.request, window);
}

void BudgetPartition::appendSettlement(const std::string& request, Duration window) {
  UnrecordedSettlement& unrecorded = unrecordedSettlements_.at(request);
  unrecorded.recording = true;
  batcher_->append(encodeFact(unrecorded.settlement), window, kRecordTimeLimit,
                   [this, request](const logstore::StoreResult<std::uint64_t>& result) {
                     onSettlementAppended(request, result);
                   });
}

void BudgetPartition::onSettlementAppended(const std::string& request,
                                           const logstore::StoreResult<std::uint64_t>& result) {
  if (const auto* const offset = std::get_if<std::uint64_t>(&result)) {
    reader_->skipOwnRecords(*offset, 1);
    const auto recorded = unrecordedSettlements_.find(request);
    if (recorded != unrecordedSettlements_.end()) {
      accounts_.onSettlementRecorded(recorded->second.settlement);
      unrecordedSettlements_.erase(recorded);
    }
    return;
  }
  const auto failed = unrecordedSettlements_.find(request);
  if (failed != unrecordedSettlements_.end()) {
    failed->second.recording = false;
    scheduleRecording();
  }
}

void BudgetPartition::recordSettlements() {
  for (const auto& [request, unrecorded] : unrecordedSettlements_) {
    if (!unrecorded.recording) {
      appendSettlement(request, Duration::zero());
    }
  }
}

void BudgetPartition::scheduleRecording() {
  if (recordingScheduled_ || (unrecordedGrants_.empty() && unrecordedSettlements_.empty())) {
    return;
  }
  recordingScheduled_ = true;
  timers_.runAfter(knobs_.recordingInterval, [this] {
    recordingScheduled_ = false;
    if (store_.isLikelyAvailable(address_)) {
      recordGrants();
      recordSettlements();
    }
    scheduleRecording();
  });
}

void BudgetPartition::recordGrants() {
  for (auto& [request, grant] : unrecordedGrants_) {
    if (grant.recording || grant.isReplicating) {
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
      recordSettlement(*grant.settlement, Duration::zero());
    }
  }
}

void BudgetPartition::onRecorded(const std::string& request, bool withSettlement,
                                 const logstore::StoreResult<std::uint64_t>& result) {
  const auto* const offset = std::get_if<std::uint64_t>(&result);
  if (offset == nullptr) {
    unrecordedGrants_.at(request).recording = false;  // It is appended again by the next recording.
    return;
  }
  accounts_.applyReservation(unrecordedGrants_.at(request).reservation, *offset, clock_());
  reader_->skipOwnRecords(*offset, 1);
  reader_->readBelow(
      *offset, [this, request, withSettlement](const logstore::StoreResult<Success>& read) {
        if (std::holds_alternative<logstore::StoreError>(read)) {
          unrecordedGrants_.at(request).recording = false;
          return;
        }
        const std::optional<BudgetSettlement> settlement = unrecordedGrants_.at(request).settlement;
        removeGrant(request);
        if (settlement && !withSettlement) {
          recordSettlement(*settlement, knobs_.settlementWindow);
        }
        if (releasing_ && unrecordedGrants_.empty()) {
          releaseOnceRecorded();  // The next coordinator waits for the release.
        }
      });
}

void BudgetPartition::removeGrant(const std::string& request) {
  const auto granted = unrecordedGrants_.find(request);
  if (granted->second.replication) {
    granted->second.replication->release(granted->second.number);
  }
  const auto program = unrecordedByProgram_.find(granted->second.reservation.program);
  std::erase(program->second, request);
  if (program->second.empty()) {
    unrecordedByProgram_.erase(program);
  }
  unrecordedGrants_.erase(granted);
}

// A process may hold leases of several partitions with the same witnesses, which tell leases apart
// by their ids alone.
std::string BudgetPartition::leaseId() const {
  return knobs_.holder + "/" + knobs_.incarnation + "/" + logstore::textOf(address_) + "/" +
         std::to_string(leaseNumber_);
}

// The lease takes effect when its record is read in log order, among those of other nodes. The
// record uses the short window of a reservation, since without a lease the partition cannot grant
// anything in an outage.
void BudgetPartition::appendLease(const BudgetLease& record,
                                  std::function<void(bool appended)> onRead) {
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

void BudgetPartition::maintainLease() {
  if (isReplacingLease_ && !store_.isLikelyAvailable(address_)) {
    releasing_ = false;  // The lease serves the outage.
    isReplacingLease_ = false;
  }
  if (!knobs_.leases.enabled || knobs_.incarnation.empty() || leaseAppendPending_ ||
      !store_.isLikelyAvailable(address_)) {
    return;
  }
  isCoordinator_ = true;
  if (isReplacingLease_ || shouldReplaceWitnesses()) {
    isReplacingLease_ = true;
    releaseOnceRecorded();
    return;
  }
  releasing_ = false;
  checkWitnesses();
  if (isRenewalDue() && leases_.hasSlotFor(leaseId())) {
    acquireOrRenewLease();
  }
  advanceOtherLeases();
}

// A witness that restarted has lost the grants. Without traffic nothing else would show that.
void BudgetPartition::checkWitnesses() {
  const Instant now = clock_();
  if (lease_ && lease_->replication && now - witnessesCheckedAt_ >= knobs_.witnessCheckInterval) {
    witnessesCheckedAt_ = now;
    lease_->replication->check();
  }
}

// Witnesses are fixed for the life of a lease, so that whoever clears it knows whom to ask.
bool BudgetPartition::shouldReplaceWitnesses() const {
  if (!holdsLease() || witnessNodes_ == nullptr ||
      clock_() - leaseAcquiredAt_ < replacementPause_) {
    return false;
  }
  const std::size_t count = lease_->replication ? lease_->replication->witnesses().size() : 0;
  const std::size_t possible =
      std::min(knobs_.witnessesPerLease, witnessNodes_->preferredFor(lease_->id).size());
  return count < possible || (lease_->replication && lease_->replication->isImpaired());
}

bool BudgetPartition::isRenewalDue() const {
  if (!lease_ || leases_.canPromote(lease_->id)) {
    return true;
  }
  const Duration renewalInterval = knobs_.leases.validity / kRenewalsPerValidity;
  return lease_->validUntil - clock_() <= knobs_.leases.validity - renewalInterval;
}

void BudgetPartition::advanceOtherLeases() {
  if (recoverForeignLeases()) {
    return;
  }
  const Instant now = clock_();
  const std::optional<BudgetLease> transition =
      leases_.nextTransition(leaseId(), knobs_.holder, now);
  if (transition && !transitionPending_) {
    transitionPending_ = true;
    appendLease(*transition, [this](bool appended) {
      transitionPending_ = false;
      if (appended && isCoordinator_ && !lease_) {
        maintainLease();  // A slot may be free now.
      }
    });
  } else if (leases_.hasActiveForeignLease(ownLease())) {
    // Reads lease records of other nodes soon after they are appended.
    reader_->readToEnd([](const logstore::StoreResult<Success>& /*read*/) {});
  }
}

bool BudgetPartition::recoverForeignLeases() {
  if (!recovery_) {
    return false;
  }
  const std::vector<BudgetLease> leases = leases_.activeForeignLeases(leaseId());
  const auto isActive = [&leases](const std::string& id) {
    return std::any_of(leases.begin(), leases.end(),
                       [&id](const BudgetLease& lease) { return lease.lease == id; });
  };
  std::erase_if(foreignLeasesSeenAt_,
                [&isActive](const auto& seen) { return !isActive(seen.first); });
  recovery_->keepOnly(isActive);
  bool isRecovering = false;
  for (const BudgetLease& lease : leases) {
    foreignLeasesSeenAt_.try_emplace(lease.lease, clock_());
    if (isRecoveryDue(lease) && recovery_->canStart(lease)) {
      isRecovering = true;
      recovery_->recover(lease, [this](bool cleared) {
        if (!isCoordinator_) {
          return;
        }
        if (cleared && !lease_) {
          maintainLease();  // A slot is free now.
        } else if (!cleared) {
          advanceOtherLeases();  // The lease is ended by its holder's next process, or in time.
        }
      });
    }
  }
  return isRecovering;
}

bool BudgetPartition::isRecoveryDue(const BudgetLease& lease) const {
  const bool isDead = lease.holder == knobs_.holder || lease.state == BudgetLeaseState::Ended;
  return isDead || clock_() - foreignLeasesSeenAt_.at(lease.lease) >= knobs_.foreignLeasePatience;
}

LeaseRecovery::Log BudgetPartition::recoveryLog() {
  LeaseRecovery::Log log;
  log.isRecorded = [this](const BudgetReservation& grant) { return accounts_.isRecorded(grant); };
  log.append = [this](const BudgetLease& lease, const BudgetReservation& grant,
                      std::function<void(bool)> callback) {
    batcher_->append(encodeFact(grant), Duration::zero(), kRecordTimeLimit,
                     [this, lease, grant, callback = std::move(callback)](
                         const logstore::StoreResult<std::uint64_t>& result) {
                       const auto* const offset = std::get_if<std::uint64_t>(&result);
                       if (offset != nullptr) {
                         accounts_.applyReservation(grant, *offset, clock_());
                         reader_->skipOwnRecords(*offset, 1);
                         if (knobs_.onGrantRecovered) {
                           knobs_.onGrantRecovered(address_, lease, grant);
                         }
                       }
                       callback(offset != nullptr);
                     });
  };
  log.appendLease = [this](const BudgetLease& lease, std::function<void(bool)> callback) {
    appendLease(lease, std::move(callback));
  };
  return log;
}

void BudgetPartition::acquireOrRenewLease() {
  leaseAppendPending_ = true;
  if (lease_) {
    appendOwnLease(lease_->replication ? lease_->replication->witnesses()
                                       : std::vector<WitnessProcess>{});
  } else {
    acquireLease();
  }
}

void BudgetPartition::acquireLease() {
  if (witnessNodes_ == nullptr || chosenWitnesses_) {
    appendOwnLease(chosenWitnesses_.value_or(std::vector<WitnessProcess>{}));
    return;
  }
  chooseWitnesses(*witnessNodes_, leaseId(), knobs_.witnessesPerLease,
                  knobs_.witnessChoiceTimeLimit,
                  [this, id = leaseId()](std::vector<WitnessProcess> witnesses) {
                    leaseAppendPending_ = false;
                    if (id == leaseId() && isCoordinator_ && hasWaitedFor(witnesses)) {
                      chosenWitnesses_ = std::move(witnesses);
                      leaseAppendPending_ = true;
                      appendOwnLease(*chosenWitnesses_);
                    }
                  });
}

bool BudgetPartition::hasWaitedFor(const std::vector<WitnessProcess>& witnesses) {
  if (!witnesses.empty()) {
    lacksWitnessesSince_.reset();
    return true;
  }
  const Instant now = clock_();
  lacksWitnessesSince_ = lacksWitnessesSince_.value_or(now);
  return now - *lacksWitnessesSince_ >= knobs_.witnessPatience;
}

void BudgetPartition::appendOwnLease(const std::vector<WitnessProcess>& witnesses) {
  const Instant askedAt = clock_();
  const std::string id = leaseId();
  const BudgetLeaseSlot slot = lease_ ? lease_->slot : BudgetLeaseSlot::Primary;
  appendLease({id, knobs_.holder, BudgetLeaseState::Held, ++renewal_, slot, witnesses},
              [this, id, witnesses, askedAt](bool appended) {
                leaseAppendPending_ = false;
                if (appended && id == leaseId()) {
                  onLeaseRecordRead(id, witnesses, askedAt);
                }
              });
}

void BudgetPartition::onLeaseRecordRead(const std::string& id,
                                        const std::vector<WitnessProcess>& witnesses,
                                        Instant askedAt) {
  const std::optional<BudgetLeaseSlot> slot = leases_.slotOf(id);
  if (!slot || leases_.stateOf(id) != BudgetLeaseState::Held) {
    dropLease();  // Another lease was held before it, or both slots were taken.
    // If the other lease belongs to an earlier process of this node, it is ended now so that this
    // process can get a slot immediately.
    advanceOtherLeases();
    return;
  }
  const bool hasChanged = !lease_ || lease_->slot != *slot;
  if (!lease_) {
    leaseAcquiredAt_ = clock_();
    replacementPause_ = witnesses.size() < knobs_.witnessesPerLease
                            ? std::clamp(replacementPause_ * 2, knobs_.witnessReplacementPause,
                                         knobs_.longestWitnessReplacementPause)
                            : knobs_.witnessReplacementPause;
    lease_ = Lease{id, {}, *slot, nullptr};
    if (!witnesses.empty()) {
      lease_->replication = std::make_shared<GrantReplication>(*witnessNodes_, id, witnesses,
                                                               knobs_.witnessTimeLimit);
    }
  }
  lease_->validUntil = askedAt + knobs_.leases.validity;
  lease_->slot = *slot;
  if (hasChanged) {
    reportOwnLease(BudgetLeaseState::Held);
  }
}

void BudgetPartition::releaseLease() {
  isCoordinator_ = false;
  isReplacingLease_ = false;
  foreignLeasesSeenAt_.clear();
  releaseOnceRecorded();
}

void BudgetPartition::releaseOnceRecorded() {
  if (!lease_ || leaseAppendPending_) {
    return;
  }
  releasing_ = true;
  if (!store_.isLikelyAvailable(address_)) {
    return;
  }
  if (!unrecordedGrants_.empty()) {
    recordGrants();
    return;
  }
  // All spending under the lease is recorded, so others need not count it any more. An append that
  // failed may still take effect, so the lease is dropped whatever the result.
  const BudgetLease record{lease_->id, knobs_.holder, BudgetLeaseState::Cleared,
                           renewal_,   lease_->slot,  {}};
  const bool isReplacing = isReplacingLease_;
  dropLease();
  leaseAppendPending_ = true;
  appendLease(record, [this, isReplacing](bool /*appended*/) {
    leaseAppendPending_ = false;
    if (isReplacing && isCoordinator_) {
      maintainLease();
    }
  });
}

void BudgetPartition::reportOwnLease(BudgetLeaseState state) const {
  if (knobs_.onOwnLease) {
    const auto& replication = lease_->replication;
    knobs_.onOwnLease(address_,
                      {lease_->id, knobs_.holder, state, renewal_, lease_->slot,
                       replication ? replication->witnesses() : std::vector<WitnessProcess>{}});
  }
}

void BudgetPartition::dropLease() {
  if (lease_) {
    reportOwnLease(BudgetLeaseState::Ended);
  }
  lease_.reset();
  chosenWitnesses_.reset();
  releasing_ = false;
  isReplacingLease_ = false;
  ++leaseNumber_;
}

void BudgetPartition::sweep() {
  const Instant now = clock_();
  accounts_.evictIdleSince(now - knobs_.accountRetention);
  leases_.evictCleared(now);
  if (recovery_) {
    recovery_->keepOnly(
        [this](const std::string& lease) { return leases_.slotOf(lease).has_value(); });
  }
}

}  // namespace gorsetrail::ledger
