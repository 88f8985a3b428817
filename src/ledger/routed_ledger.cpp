#include "ledger/routed_ledger.h"

#include <algorithm>
#include <utility>

namespace gorsetrail::ledger {
namespace {

/// Opens after two failures in quick succession.
engine::CircuitKnobs breakerKnobs() {
  engine::CircuitKnobs knobs;
  knobs.failuresToOpen = 1.5;
  knobs.failureHalfLife = milliseconds(500);
  knobs.firstOpenTime = milliseconds(200);
  knobs.longestOpenTime = milliseconds(400);
  return knobs;
}

/// \return whether a node must read the partition to serve the request.
bool readsPartition(const LedgerRequest& request) {
  return std::holds_alternative<FindTurnRequest>(request) ||
         std::holds_alternative<ReserveRequest>(request);
}

/// \return the placement of the turn that a call is about; null for budget calls.
const TurnPlacement* placementOf(const LedgerRequest& request) {
  if (const auto* const find = std::get_if<FindTurnRequest>(&request)) {
    return &find->placement;
  }
  const auto* const store = std::get_if<StoreTurnRequest>(&request);
  return store == nullptr ? nullptr : &store->placement;
}

/// \return whether no other coordinator needs to be asked. Turns without a settlement are read from
/// the log, so another coordinator would reply the same.
bool isConclusive(const LedgerReply& reply) {
  return reply.outcome != LedgerOutcome::Unavailable ||
         reply.undecided == UndecidedReason::UnsettledTurns;
}

ReservationOutcome reservationOutcomeOf(LedgerOutcome outcome) {
  switch (outcome) {
    case LedgerOutcome::Done:
      return ReservationOutcome::Granted;
    case LedgerOutcome::BudgetSpent:
      return ReservationOutcome::Spent;
    case LedgerOutcome::Unavailable:
    case LedgerOutcome::UnknownTurn:
    case LedgerOutcome::Rejected:
      break;
  }
  return ReservationOutcome::Unavailable;
}

ReservationReply reservationReplyOf(CallResult result) {
  ReservationReply reply;
  reply.outcome = reservationOutcomeOf(result.reply.outcome);
  reply.tokensUsed = result.reply.tokensUsed;
  reply.reason = result.reply.undecided;
  reply.unseenLeases = result.reply.unseenLeases;
  reply.tokensUnseen = result.reply.tokensUnseen;
  reply.tokensUnsettled = result.reply.tokensUnsettled;
  reply.grantedUnder = std::move(result.reply.grantedUnder);
  const bool noReply = result.repliedBy.empty();
  if (noReply && reply.reason == UndecidedReason::Unknown) {
    reply.reason = UndecidedReason::NoAnswer;
  }
  reply.repliedBy = std::move(result.repliedBy);
  reply.asked = std::move(result.asked);
  return reply;
}

}  // namespace

/// A call and the coordinators it was sent to.
struct RoutedLedger::Call {
  LedgerRequest request;
  logstore::PartitionAddress partition;
  std::vector<std::string> coordinators;  ///< In call order.
  CallResultCallback callback;
  Instant startedAt;
  Instant deadline;
  std::size_t attempts = 0;
  bool endsAtThisNode = false;             ///< The last one is no coordinator.
  bool coordinatorAlive = false;           ///< A coordinator replied or answered a liveness probe.
  std::vector<std::string> awaitingReply;  ///< Called and not replied yet.
  /// Called and failed a liveness probe: not waited for, but a late reply still counts.
  std::vector<std::string> abandoned;
  std::vector<CoordinatorReport> asked;  ///< Responses of all nodes called, for log lines.
  /// The last reply with a reason why a reservation is undecided; kept over later failures without
  /// one.
  std::optional<LedgerReply> undecided;
  std::string repliedBy;  ///< Sender of the final reply, or of `undecided`.
  bool done = false;

  void setResponse(const std::string& coordinator, CoordinatorState state,
                   std::string reason = {}) {
    const auto report = std::find_if(
        asked.begin(), asked.end(),
        [&](const CoordinatorReport& candidate) { return candidate.address == coordinator; });
    report->state = state;
    report->reason = std::move(reason);
  }
};

RoutedLedger::RoutedLedger(LedgerService& service, LedgerPeers& peers,
                           services::TimerService& timers, logstore::ClockFunction clock,
                           RoutedLedgerKnobs knobs, std::uint64_t seed)
    : service_(service),
      peers_(peers),
      timers_(timers),
      clock_(std::move(clock)),
      knobs_(std::move(knobs)),
      layout_(knobs_.partitions),
      selector_({}),
      pacer_(knobs_.pace, seed),
      outbox_(knobs_.outbox) {
  setZones(std::move(knobs_.zones), std::move(knobs_.regionOfZone));
  service_.setWitnessNodes(witnesses_);
}

void RoutedLedger::setZones(std::vector<std::string> zones,
                            std::map<std::string, std::string, std::less<>> regionOfZone) {
  knobs_.zones = std::move(zones);
  knobs_.regionOfZone = std::move(regionOfZone);
  if (knobs_.zones.empty()) {
    knobs_.zones.push_back(knobs_.zone);
  }
}

void RoutedLedger::failAsync(LedgerReply reply, CallResultCallback callback) {
  timers_.runAfter(Duration::zero(), [callback = std::move(callback), reply = std::move(reply)] {
    callback({reply, {}, {}, false});
  });
}

bool RoutedLedger::inSameRegion(std::string_view zone, std::string_view other) const {
  const auto one = knobs_.regionOfZone.find(zone);
  const auto two = knobs_.regionOfZone.find(other);
  const bool bothKnown = one != knobs_.regionOfZone.end() && two != knobs_.regionOfZone.end();
  return !bothKnown || one->second == two->second;
}

std::vector<NodeCandidate> RoutedLedger::candidatesFor(const TurnPlacement* placement) const {
  std::vector<NodeCandidate> candidates = peers_.candidates();
  if (placement != nullptr && placement->confined) {
    std::erase_if(candidates, [&](const NodeCandidate& candidate) {
      return !inSameRegion(placement->zone, candidate.zone);
    });
  }
  return candidates;
}

void RoutedLedger::startCall(LedgerRequest request, const logstore::PartitionAddress& partition,
                             const std::string& preferredZone, Duration timeLimit,
                             CallResultCallback callback) {
  if (!peers_.isNodeListKnown()) {
    LedgerReply reply;
    reply.reason = "the list of nodes has not been received yet";
    reply.undecided = UndecidedReason::NodesNotKnown;
    failAsync(std::move(reply), std::move(callback));
    return;
  }
  auto call = std::make_shared<Call>();
  call->request = std::move(request);
  call->partition = partition;
  const TurnPlacement* const placement = placementOf(call->request);
  call->coordinators =
      selector_.selectNodes(partition, preferredZone, candidatesFor(placement), clock_());
  const bool mayReadHere =
      placement == nullptr || !placement->confined || inSameRegion(placement->zone, knobs_.zone);
  const bool mayUseThisNode = mayReadHere || !readsPartition(call->request);
  const auto own =
      std::find(call->coordinators.begin(), call->coordinators.end(), knobs_.ownAddress);
  if (own == call->coordinators.end() && mayUseThisNode) {
    call->endsAtThisNode = !call->coordinators.empty();
    call->coordinators.push_back(knobs_.ownAddress);
  }
  if (call->coordinators.empty()) {
    LedgerReply reply;
    reply.reason = "no node in the turn's region is available";
    failAsync(std::move(reply), std::move(callback));
    return;
  }
  call->callback = std::move(callback);
  call->startedAt = clock_();
  call->deadline = call->startedAt + timeLimit;
  ++counters_.calls;
  callNext(call);
}

bool RoutedLedger::hasNext(const Call& call) const {
  const bool isThisNodeNext = call.endsAtThisNode && call.attempts + 1 == call.coordinators.size();
  const bool wouldBypassCoordinator =
      isThisNodeNext && call.coordinatorAlive && readsPartition(call.request);
  return call.attempts < call.coordinators.size() && !wouldBypassCoordinator;
}

void RoutedLedger::callNext(const std::shared_ptr<Call>& call) {
  counters_.passedOn += call->attempts > 0 ? 1 : 0;
  const std::string coordinator = call->coordinators[call->attempts];
  const Instant now = clock_();
  const Duration probeDelay = pacer_.replyTimeout(static_cast<std::uint32_t>(call->attempts));
  ++call->attempts;
  call->awaitingReply.push_back(coordinator);
  call->asked.push_back({coordinator, CoordinatorState::Silent, {}});
  auto onReplied = [this, call, coordinator, now](std::optional<LedgerReply> reply) {
    onReply(call, coordinator, now, std::move(reply));
  };
  if (coordinator == knobs_.ownAddress) {
    service_.handle(call->request, std::move(onReplied));
  } else {
    peers_.call(coordinator, call->request, call->deadline - now, std::move(onReplied));
  }
  scheduleLivenessProbe(call, probeDelay);
}

void RoutedLedger::scheduleLivenessProbe(const std::shared_ptr<Call>& call, Duration probeDelay) {
  timers_.runAfter(probeDelay,
                   [this, weak = std::weak_ptr(call), number = call->attempts, probeDelay] {
                     const auto waiting = weak.lock();
                     if (waiting && !waiting->done && waiting->attempts == number) {
                       onReplyOverdue(waiting, probeDelay);
                     }
                   });
}

void RoutedLedger::onReplyOverdue(const std::shared_ptr<Call>& call, Duration probeDelay) {
  if (clock_() >= call->deadline) {
    return;
  }
  constexpr std::uint32_t kSlowAttempt = 3;
  const Duration failureDelay =
      std::max(knobs_.storeFailureDelay, pacer_.replyTimeout(kSlowAttempt));
  if (clock_() - call->startedAt >= failureDelay) {
    // The call is overdue at a node that has not failed a liveness probe, so the store is taken to
    // be failing.
    recordPartitionFailure(call->partition);
  }
  const std::string& coordinator = call->coordinators[call->attempts - 1];
  if (coordinator == knobs_.ownAddress) {
    scheduleLivenessProbe(call, probeDelay);
    return;
  }
  peers_.checkAlive(
      coordinator, knobs_.livenessProbeTimeout,
      [this, weak = std::weak_ptr(call), number = call->attempts, probeDelay](bool alive) {
        const auto waiting = weak.lock();
        if (waiting && !waiting->done && waiting->attempts == number) {
          onLivenessResult(waiting, probeDelay, alive);
        }
      });
}

void RoutedLedger::onLivenessResult(const std::shared_ptr<Call>& call, Duration probeDelay,
                                    bool alive) {
  if (alive) {
    call->coordinatorAlive = true;
    scheduleLivenessProbe(call, std::max(probeDelay, knobs_.livenessProbeInterval));
    return;
  }
  const std::string& coordinator = call->coordinators[call->attempts - 1];
  suspect(coordinator);
  // Otherwise the call would wait for it until the deadline even if all other coordinators have
  // failed.
  call->awaitingReply.erase(
      std::remove(call->awaitingReply.begin(), call->awaitingReply.end(), coordinator),
      call->awaitingReply.end());
  call->abandoned.push_back(coordinator);
  call->setResponse(coordinator, CoordinatorState::NotAlive);
  if (hasNext(*call)) {
    callNext(call);
  } else if (call->coordinatorAlive) {
    finish(call, LedgerReply{});  // No node is left to call.
  }
}

void RoutedLedger::onReply(const std::shared_ptr<Call>& call, const std::string& coordinator,
                           Instant sentAt, std::optional<LedgerReply> reply) {
  const Instant now = clock_();
  for (std::vector<std::string>* const coordinators : {&call->awaitingReply, &call->abandoned}) {
    coordinators->erase(std::remove(coordinators->begin(), coordinators->end(), coordinator),
                        coordinators->end());
  }
  if (reply) {
    updateUndecidedReport(*call, *reply);
    if (!reply->incarnation.empty()) {
      onIncarnation(coordinator, reply->incarnation);
    }
    call->coordinatorAlive = call->coordinatorAlive || coordinator != knobs_.ownAddress;
    if (selector_.clearSuspicion(coordinator) && knobs_.onSuspicionChanged) {
      knobs_.onSuspicionChanged(coordinator, false);
    }
    pacer_.onAnswer(now - sentAt);
  } else if (now < call->deadline) {
    // The connection failed. At the deadline no reply is not a sign of failure, because the
    // coordinator may be waiting for the store.
    suspect(coordinator);
  }
  if (call->done) {
    return;
  }
  recordResponse(*call, coordinator, now, reply);
  if (reply && isConclusive(*reply)) {
    finish(call, std::move(*reply));
    return;
  }
  if (hasNext(*call) && now < call->deadline) {
    callNext(call);
  } else if (call->awaitingReply.empty()) {
    finish(call, reply.value_or(LedgerReply{}));
  }
}

void RoutedLedger::recordResponse(Call& call, const std::string& coordinator, Instant now,
                                  const std::optional<LedgerReply>& reply) {
  if (!reply) {
    // At the deadline the response stays `Silent`.
    if (now < call.deadline) {
      call.setResponse(coordinator, CoordinatorState::NoReply);
    }
    return;
  }
  if (isConclusive(*reply)) {
    call.setResponse(coordinator, CoordinatorState::Answered);
    call.repliedBy = coordinator;
    return;
  }
  const bool tellsWhy = reply->undecided != UndecidedReason::Unknown;
  call.setResponse(coordinator, CoordinatorState::Undecided,
                   tellsWhy ? std::string(undecidedReasonName(reply->undecided)) : reply->reason);
  if (tellsWhy) {
    call.undecided = reply;
  }
  if (tellsWhy || call.repliedBy.empty()) {
    call.repliedBy = coordinator;
  }
}

void RoutedLedger::finish(const std::shared_ptr<Call>& call, LedgerReply reply) {
  call->done = true;
  if (isConclusive(reply)) {
    // Another node answered first: the unresponsive ones are ranked last for a while.
    for (const std::vector<std::string>* const coordinators :
         {&call->awaitingReply, &call->abandoned}) {
      for (const std::string& coordinator : *coordinators) {
        if (coordinator != knobs_.ownAddress) {
          suspect(coordinator);
        }
      }
    }
  }
  if (isConclusive(reply)) {
    // A settlement succeeds in the coordinator's memory, so it does not show that the store works.
    if (!std::holds_alternative<SettleRequest>(call->request)) {
      breakers_.erase(call->partition);
    }
  } else {
    ++counters_.failed;
    // Settlements are repeated until one is accepted, which must not delay reservations that a
    // coordinator could decide again.
    if (!std::holds_alternative<SettleRequest>(call->request)) {
      recordPartitionFailure(call->partition);
    }
  }
  if (!isConclusive(reply) && call->undecided) {
    reply = *call->undecided;
  }
  const CallResultCallback callback = std::move(call->callback);
  callback({std::move(reply), call->repliedBy, call->asked, call->coordinatorAlive});
}

void RoutedLedger::suspect(const std::string& coordinator) {
  const bool isNewlySuspected = !selector_.isSuspect(coordinator, clock_());
  selector_.suspect(coordinator, clock_());
  if (isNewlySuspected) {
    if (knobs_.onSuspicionChanged) {
      knobs_.onSuspicionChanged(coordinator, true);
    }
    resendSettlementsOf(coordinator);
  }
}

void RoutedLedger::recordPartitionFailure(const logstore::PartitionAddress& partition) {
  const auto entry = breakers_.try_emplace(partition, breakerKnobs()).first;
  entry->second.onFailure(clock_());
}

bool RoutedLedger::answers(const logstore::PartitionAddress& partition) const {
  if (!service_.answers(partition)) {
    return false;
  }
  const auto found = breakers_.find(partition);
  return found == breakers_.end() || found->second.state(clock_()) != engine::CircuitState::Open;
}

TurnPlacement RoutedLedger::placementFor(const TurnZones& zones, std::uint32_t choice) const {
  const bool confined = !zones.empty();
  return {confined ? zones.front() : knobs_.zone, choice, confined};
}

// If the store does not answer this node, the coordinator may still decide under a lease within one
// round trip, so the reservation is awaited before the turn is dispatched. A turn dispatched beside
// a reservation that nobody can decide would end with an unknown outcome, which the client may not
// retry.
ReservationOutlook RoutedLedger::reservationOutlook(const std::string& program) {
  const logstore::PartitionAddress partition = layout_.ofBudget(program);
  const auto failing = breakers_.find(partition);
  const bool hasFailed = failing != breakers_.end();
  if (!peers_.isNodeListKnown() ||
      (hasFailed && failing->second.state(clock_()) == engine::CircuitState::Open)) {
    return ReservationOutlook::Unlikely;
  }
  const auto undecided = undecidedReportedAt_.find(partition);
  const bool isUndecided = undecided != undecidedReportedAt_.end() &&
                           clock_() - undecided->second < knobs_.undecidedReportLifetime;
  const bool isUncertain = hasFailed || isUndecided || !service_.answers(partition);
  return isUncertain ? ReservationOutlook::Uncertain : ReservationOutlook::Likely;
}

void RoutedLedger::updateUndecidedReport(const Call& call, const LedgerReply& reply) {
  if (!reply.canDecideReservations) {
    undecidedReportedAt_[call.partition] = clock_();
  } else if (std::holds_alternative<ReserveRequest>(call.request) && isConclusive(reply)) {
    undecidedReportedAt_.erase(call.partition);
  }
}

void RoutedLedger::maintainLeases() {
  if (!peers_.isNodeListKnown()) {
    return;
  }
  const std::vector<NodeCandidate> candidates = peers_.candidates();
  for (const logstore::PartitionAddress& partition : layout_.budgetPartitions()) {
    const std::vector<std::string> coordinators =
        selector_.selectNodes(partition, {}, candidates, clock_());
    if (!coordinators.empty() && coordinators.front() == knobs_.ownAddress) {
      service_.maintainLease(partition);
    } else {
      service_.releaseLease(partition);
    }
  }
}

void RoutedLedger::releaseLeases() {
  for (const logstore::PartitionAddress& partition : layout_.budgetPartitions()) {
    service_.releaseLease(partition);
  }
}

void RoutedLedger::reserve(const BudgetRequest& request, Duration timeLimit,
                           ReservationCallback callback) {
  const BudgetReservation& reservation = request.reservation;
  // The program's remaining time in the request becomes stale.
  timeLimit = std::min(timeLimit, BudgetLeaseKnobs{}.maxDecisionDelay);
  const logstore::PartitionAddress partition = layout_.ofBudget(reservation.program);
  startCall(ReserveRequest{request, timeLimit}, partition, {}, timeLimit,
            [this, reservation, budget = request.budget, partition,
             callback = std::move(callback)](CallResult result) {
              updateKnownUse(reservation.program, budget, result.reply);
              if (result.reply.outcome == LedgerOutcome::BudgetSpent) {
                // This reply is final, so no tokens will be generated for the reservation.
                settle({reservation.request, reservation.program, 0});
              }
              ReservationReply reply = reservationReplyOf(std::move(result));
              reply.partition = logstore::textOf(partition);
              callback(std::move(reply));
            });
}

// Turns of a program that is known to have little left are dispatched only after their reservations
// were granted. What dead nodes may have spent is part of it: otherwise such a turn would run, end
// with an unknown outcome and be sent again.
void RoutedLedger::updateKnownUse(const std::string& program, std::uint64_t budget,
                                  const LedgerReply& reply) {
  if (!isConclusive(reply) && reply.undecided != UndecidedReason::UnseenSpending) {
    return;
  }
  const bool isSpent = reply.outcome == LedgerOutcome::BudgetSpent;
  knownUse_[program] = {reply.tokensUsed - reply.tokensUnsettled,
                        isSpent ? budget : reply.tokensUsed + reply.tokensUnseen, clock_()};
}

void RoutedLedger::settle(BudgetSettlement settlement) {
  sendSettlement({std::move(settlement), clock_()}, false);
}

void RoutedLedger::sendSettlement(const WaitingSettlement& settlement, bool isLate) {
  const logstore::PartitionAddress partition = layout_.ofBudget(settlement.settlement.program);
  startCall(SettleRequest{settlement.settlement}, partition, {}, knobs_.settleTimeLimit,
            [this, partition, settlement, isLate](const CallResult& result) {
              const bool accepted = isConclusive(result.reply);
              if (!accepted) {
                keepSettlement(partition, settlement);
              } else {
                keepAcceptedSettlement(settlement, partition, result.repliedBy);
              }
              if (accepted && isLate) {
                ++counters_.settledLate;
                if (knobs_.onSettledLate) {
                  knobs_.onSettledLate(settlement.settlement, clock_() - settlement.endedAt);
                }
              }
              if (isLate) {
                for (const WaitingSettlement& next : outbox_.onResult(partition, accepted)) {
                  sendSettlement(next, true);
                }
              }
            });
}

void RoutedLedger::keepSettlement(const logstore::PartitionAddress& partition,
                                  WaitingSettlement settlement) {
  reportDroppedSettlements(outbox_.add(partition, std::move(settlement)), "outbox_full");
  scheduleSettlementRetry();
}

void RoutedLedger::keepAcceptedSettlement(const WaitingSettlement& settlement,
                                          const logstore::PartitionAddress& partition,
                                          const std::string& coordinator) {
  const Instant now = clock_();
  while (!acceptedSettlements_.empty() &&
         (now - acceptedSettlements_.front().acceptedAt >= knobs_.acceptedSettlementRetention ||
          acceptedSettlements_.size() >= knobs_.maximumAcceptedSettlements)) {
    acceptedSettlements_.pop_front();
  }
  if (coordinator != knobs_.ownAddress) {
    acceptedSettlements_.push_back({partition, settlement, coordinator, now});
  }
}

// Otherwise turns that ended would count with all that they had reserved.
void RoutedLedger::resendSettlementsOf(const std::string& coordinator) {
  const Instant now = clock_();
  std::size_t kept = 0;
  for (const AcceptedSettlement& accepted : acceptedSettlements_) {
    if (accepted.coordinator == coordinator &&
        now - accepted.acceptedAt < knobs_.acceptedSettlementRetention) {
      keepSettlement(accepted.partition, accepted.settlement);
      ++kept;
    }
  }
  std::erase_if(acceptedSettlements_, [&coordinator](const AcceptedSettlement& accepted) {
    return accepted.coordinator == coordinator;
  });
  if (kept > 0) {
    for (const WaitingSettlement& probe : outbox_.takeProbes()) {
      sendSettlement(probe, true);
    }
  }
}

void RoutedLedger::onIncarnation(const std::string& coordinator, const std::string& incarnation) {
  const auto [known, isNew] = incarnations_.try_emplace(coordinator, incarnation);
  if (!isNew && std::exchange(known->second, incarnation) != incarnation) {
    resendSettlementsOf(coordinator);
  }
}

void RoutedLedger::scheduleSettlementRetry() {
  if (settlementRetryScheduled_ || outbox_.size() == 0) {
    return;
  }
  settlementRetryScheduled_ = true;
  timers_.runAfter(knobs_.settleRetryInterval, [this] {
    settlementRetryScheduled_ = false;
    reportDroppedSettlements(outbox_.dropExpired(clock_()), "expired");
    for (const WaitingSettlement& probe : outbox_.takeProbes()) {
      sendSettlement(probe, true);
    }
    scheduleSettlementRetry();
  });
}

void RoutedLedger::reportDroppedSettlements(std::size_t count, std::string_view reason) {
  counters_.settlementsDropped += count;
  if (count > 0 && knobs_.onSettlementsDropped) {
    knobs_.onSettlementsDropped(count, reason);
  }
}

std::uint64_t RoutedLedger::knownTokenUse(const std::string& program) const {
  const auto found = knownUse_.find(program);
  return found == knownUse_.end() ? 0 : found->second.tokens;
}

std::uint64_t RoutedLedger::possibleTokenUse(const std::string& program) const {
  const auto found = knownUse_.find(program);
  return found == knownUse_.end() ? 0 : found->second.possibleTokens;
}

void RoutedLedger::sweep() {
  const Instant oldest = clock_() - knobs_.accountRetention;
  service_.sweep();
  // Addresses of nodes that are gone are rare, so that all are dropped at once.
  if (incarnations_.size() > knobs_.maximumAcceptedSettlements) {
    incarnations_.clear();
  }
  std::erase_if(knownUse_, [oldest](const auto& entry) { return entry.second.updatedAt < oldest; });
}

}  // namespace gorsetrail::ledger
