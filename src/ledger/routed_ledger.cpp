#include "ledger/routed_ledger.h"

#include <algorithm>
#include <utility>

namespace gorsetrail::ledger {
namespace {

/// A partition counts as out of order after this many failures close together.
engine::CircuitKnobs breakerKnobs() {
  engine::CircuitKnobs knobs;
  knobs.failuresToOpen = 1.5;
  knobs.failureHalfLife = milliseconds(500);
  knobs.firstOpenTime = milliseconds(200);
  knobs.longestOpenTime = milliseconds(400);
  return knobs;
}

/// \return whether the one who carries this out must have read the partition.
bool readsPartition(const LedgerRequest& request) {
  return std::holds_alternative<FindTurnRequest>(request) ||
         std::holds_alternative<ReserveRequest>(request);
}

bool isConclusive(const LedgerReply& reply) { return reply.outcome != LedgerOutcome::Unavailable; }

}  // namespace

/// One call at the homes it was sent to.
struct RoutedLedger::Call {
  LedgerRequest request;
  logstore::PartitionAddress partition;
  std::vector<std::string> homes;  ///< In the order they are asked; the last is this node.
  LedgerReplyCallback callback;
  Instant startedAt;
  Instant deadline;
  std::size_t started = 0;
  bool endsAtOwnNode = false;       ///< The last of `homes` is this node, which is no home.
  bool homeLives = false;           ///< A home replied, or answered a liveness probe.
  std::vector<std::string> silent;  ///< Asked, and not heard of yet.
  /// Asked, and without a sign of life since: not waited for, but a reply of theirs still counts.
  std::vector<std::string> givenUp;
  bool done = false;
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
      homes_({}),
      pacer_(knobs_.pace, seed) {
  // The own zone is looked through first: programs mostly stay in theirs.
  std::stable_partition(knobs_.zones.begin(), knobs_.zones.end(),
                        [this](const std::string& zone) { return zone == knobs_.zone; });
  if (knobs_.zones.empty()) {
    knobs_.zones.push_back(knobs_.zone);
  }
}

void RoutedLedger::start(LedgerRequest request, const logstore::PartitionAddress& partition,
                         const std::string& homeZone, Duration timeLimit,
                         LedgerReplyCallback callback) {
  if (!peers_.areKnown()) {
    LedgerReply reply;
    reply.reason = "other nodes are not known yet";
    timers_.runAfter(Duration::zero(), [callback = std::move(callback), reply = std::move(reply)] {
      callback(reply);
    });
    return;
  }
  auto call = std::make_shared<Call>();
  call->request = std::move(request);
  call->partition = partition;
  call->homes = homes_.homesOf(partition, homeZone, peers_.candidates(), clock_());
  const auto own = std::find(call->homes.begin(), call->homes.end(), knobs_.ownAddress);
  if (own == call->homes.end()) {
    call->endsAtOwnNode = !call->homes.empty();
    call->homes.push_back(knobs_.ownAddress);
  }
  call->callback = std::move(callback);
  call->startedAt = clock_();
  call->deadline = call->startedAt + timeLimit;
  ++counters_.calls;
  tryNext(call);
}

bool RoutedLedger::hasNext(const Call& call) const {
  const bool isOwnTurn = call.endsAtOwnNode && call.started + 1 == call.homes.size();
  const bool wouldReadAround = isOwnTurn && call.homeLives && readsPartition(call.request);
  return call.started < call.homes.size() && !wouldReadAround;
}

void RoutedLedger::tryNext(const std::shared_ptr<Call>& call) {
  counters_.passedOn += call->started > 0 ? 1 : 0;
  const std::string home = call->homes[call->started];
  const Instant now = clock_();
  const Duration patience = pacer_.patience(static_cast<std::uint32_t>(call->started));
  ++call->started;
  call->silent.push_back(home);
  auto onReplied = [this, call, home, now](std::optional<LedgerReply> reply) {
    onReply(call, home, now, std::move(reply));
  };
  if (home == knobs_.ownAddress) {
    service_.handle(call->request, std::move(onReplied));
  } else {
    peers_.call(home, call->request, call->deadline - now, std::move(onReplied));
  }
  watchSilence(call, patience);
}

void RoutedLedger::watchSilence(const std::shared_ptr<Call>& call, Duration patience) {
  timers_.runAfter(patience, [this, weak = std::weak_ptr(call), number = call->started, patience] {
    const auto waiting = weak.lock();
    if (waiting && !waiting->done && waiting->started == number) {
      onImpatience(waiting, patience);
    }
  });
}

void RoutedLedger::onImpatience(const std::shared_ptr<Call>& call, Duration patience) {
  if (clock_() >= call->deadline) {
    return;
  }
  constexpr std::uint32_t kLongPatience = 3;
  const Duration tooLong = std::max(knobs_.storeTimeLimit, pacer_.patience(kLongPatience));
  if (clock_() - call->startedAt >= tooLong) {
    // The home lives, so it waits for the store.
    noteFailure(call->partition);
  }
  const std::string& home = call->homes[call->started - 1];
  if (home == knobs_.ownAddress) {
    watchSilence(call, patience);
    return;
  }
  peers_.checkAlive(
      home, knobs_.signOfLifeLimit,
      [this, weak = std::weak_ptr(call), number = call->started, patience](bool alive) {
        const auto waiting = weak.lock();
        if (waiting && !waiting->done && waiting->started == number) {
          onSignOfLife(waiting, patience, alive);
        }
      });
}

void RoutedLedger::onSignOfLife(const std::shared_ptr<Call>& call, Duration patience, bool alive) {
  if (alive) {
    call->homeLives = true;
    watchSilence(call, std::max(patience, knobs_.signOfLifePeriod));
    return;
  }
  const std::string& home = call->homes[call->started - 1];
  suspect(home);
  // Else the call would wait for it until its limit, although the next home says that it can't
  // help.
  call->silent.erase(std::remove(call->silent.begin(), call->silent.end(), home),
                     call->silent.end());
  call->givenUp.push_back(home);
  if (hasNext(*call)) {
    tryNext(call);
  } else if (call->homeLives) {
    finish(call, LedgerReply{});  // Nobody is left who could say more.
  }
}

void RoutedLedger::onReply(const std::shared_ptr<Call>& call, const std::string& home,
                           Instant askedAt, std::optional<LedgerReply> reply) {
  const Instant now = clock_();
  for (std::vector<std::string>* const homes : {&call->silent, &call->givenUp}) {
    homes->erase(std::remove(homes->begin(), homes->end(), home), homes->end());
  }
  if (reply) {
    noteHint(*call, *reply);
    call->homeLives = call->homeLives || home != knobs_.ownAddress;
    if (homes_.clear(home) && knobs_.onSilence) {
      knobs_.onSilence(home, false);
    }
    pacer_.onAnswer(now - askedAt);
  } else if (now < call->deadline) {
    // No connection, or a broken one; at the deadline the home may only have waited for the store.
    suspect(home);
  }
  if (call->done) {
    return;
  }
  if (reply && isConclusive(*reply)) {
    finish(call, std::move(*reply));
    return;
  }
  if (hasNext(*call) && now < call->deadline) {
    tryNext(call);
  } else if (call->silent.empty()) {
    finish(call, reply.value_or(LedgerReply{}));
  }
}

void RoutedLedger::finish(const std::shared_ptr<Call>& call, LedgerReply reply) {
  call->done = true;
  if (isConclusive(reply)) {
    // Another node answered first: the silent ones are asked last for a while.
    for (const std::vector<std::string>* const homes : {&call->silent, &call->givenUp}) {
      for (const std::string& home : *homes) {
        if (home != knobs_.ownAddress) {
          suspect(home);
        }
      }
    }
  }
  if (isConclusive(reply)) {
    // A home takes a settlement into its memory: that says nothing of reservations.
    if (!std::holds_alternative<SettleRequest>(call->request)) {
      failing_.erase(call->partition);
    }
  } else {
    ++counters_.failed;
    noteFailure(call->partition);
  }
  const LedgerReplyCallback callback = std::move(call->callback);
  callback(std::move(reply));
}

void RoutedLedger::suspect(const std::string& home) {
  const bool isNew = !homes_.isSuspect(home, clock_());
  homes_.suspect(home, clock_());
  if (isNew && knobs_.onSilence) {
    knobs_.onSilence(home, true);
  }
}

void RoutedLedger::noteFailure(const logstore::PartitionAddress& partition) {
  const auto entry = failing_.try_emplace(partition, breakerKnobs()).first;
  entry->second.onFailure(clock_());
}

bool RoutedLedger::answers(const logstore::PartitionAddress& partition) const {
  if (!service_.answers(partition)) {
    return false;
  }
  const auto found = failing_.find(partition);
  return found == failing_.end() || found->second.state(clock_()) != engine::CircuitState::Open;
}

bool RoutedLedger::takesTurn(const std::string& turn) {
  return peers_.areKnown() && (answers(layout_.ofTurn(knobs_.zone, turn, 0)) ||
                               answers(layout_.ofTurn(knobs_.zone, turn, 1)));
}

// Where the store does not answer this node the home may hold a lease: it is asked, and a lease
// decides within a round trip. A turn that is dispatched beside a reservation that nobody can
// decide ends with an unknown outcome, which its client may not try again.
ReservationOutlook RoutedLedger::reservationOutlook(const std::string& program) {
  const logstore::PartitionAddress partition = layout_.ofBudget(program);
  const auto failing = failing_.find(partition);
  const bool hasFailed = failing != failing_.end();
  if (!peers_.areKnown() ||
      (hasFailed && failing->second.state(clock_()) == engine::CircuitState::Open)) {
    return ReservationOutlook::Unlikely;
  }
  const auto undecided = undecidedAt_.find(partition);
  const bool isUndecided =
      undecided != undecidedAt_.end() && clock_() - undecided->second < knobs_.hintLifetime;
  const bool isDoubtful = hasFailed || isUndecided || !service_.answers(partition);
  return isDoubtful ? ReservationOutlook::Doubtful : ReservationOutlook::Likely;
}

void RoutedLedger::noteHint(const Call& call, const LedgerReply& reply) {
  if (!reply.decidesReservations) {
    undecidedAt_[call.partition] = clock_();
  } else if (std::holds_alternative<ReserveRequest>(call.request) && isConclusive(reply)) {
    undecidedAt_.erase(call.partition);
  }
}

void RoutedLedger::tendLeases() {
  if (!peers_.areKnown()) {
    return;
  }
  const std::vector<HomeCandidate> candidates = peers_.candidates();
  for (const logstore::PartitionAddress& partition : layout_.budgetPartitions()) {
    const std::vector<std::string> homes = homes_.homesOf(partition, {}, candidates, clock_());
    if (!homes.empty() && homes.front() == knobs_.ownAddress) {
      service_.keepLease(partition);
    } else {
      service_.giveLeaseBack(partition);
    }
  }
}

void RoutedLedger::giveLeasesBack() {
  for (const logstore::PartitionAddress& partition : layout_.budgetPartitions()) {
    service_.giveLeaseBack(partition);
  }
}

/// One turn that is being looked for.
struct RoutedLedger::Search {
  std::string turn;
  HistoryCallback callback;
  std::uint32_t next = 0;   ///< Choices of all zones, the own zone's first.
  std::string unavailable;  ///< Why a partition could not be read; empty: all were.
};

void RoutedLedger::findHistory(const std::string& turn, HistoryCallback callback) {
  searchNext(std::make_shared<Search>(Search{turn, std::move(callback), 0, {}}));
}

// Only when every partition that the turn may stand in was read to its end, it is unknown.
void RoutedLedger::searchNext(const std::shared_ptr<Search>& search) {
  if (search->next == kTurnChoices * knobs_.zones.size()) {
    if (search->unavailable.empty()) {
      search->callback(UnknownTurn{});
    } else {
      search->callback(LedgerUnavailable{search->unavailable});
    }
    return;
  }
  const TurnPlacement placement{knobs_.zones[search->next / kTurnChoices],
                                search->next % kTurnChoices};
  ++search->next;
  start(FindTurnRequest{placement, search->turn}, layout_.ofTurn(placement, search->turn),
        placement.zone, knobs_.findTimeLimit, [this, search](LedgerReply reply) {
          if (reply.outcome == LedgerOutcome::Done) {
            onTurnFound(std::move(reply), search->callback);
            return;
          }
          if (reply.outcome != LedgerOutcome::UnknownTurn) {
            search->unavailable = reply.reason.empty() ? "no answer" : reply.reason;
          }
          searchNext(search);
        });
}

void RoutedLedger::onTurnFound(LedgerReply reply, HistoryCallback callback) {
  if (reply.base.empty()) {
    callback(History{std::move(reply.history), {}, 0});
    return;
  }
  const std::string base = reply.base;
  findHistory(base, [base, piece = std::move(reply.history),
                     callback = std::move(callback)](HistoryAnswer answer) {
    if (auto* const history = std::get_if<History>(&answer)) {
      *history = appendPiece(std::move(*history), base, piece);
    }
    callback(std::move(answer));
  });
}

/// One turn that is being stored; it may come to stand in both of its partitions.
struct RoutedLedger::Storing {
  CompletedTurn record;
  StoredCallback callback;
  Instant deadline;
  std::uint32_t underWay = 0;
  bool triedBoth = false;
  bool done = false;
};

void RoutedLedger::storeTurn(TurnToStore turn, Duration timeLimit, StoredCallback callback) {
  auto storing = std::make_shared<Storing>();
  storing->record = completedTurnOf(std::move(turn), knobs_.maximumInlineHistoryBytes);
  storing->callback = std::move(callback);
  storing->deadline = clock_() + timeLimit;
  const std::string& name = storing->record.request;
  const bool firstAnswers = answers(layout_.ofTurn(knobs_.zone, name, 0));
  const bool secondAnswers = answers(layout_.ofTurn(knobs_.zone, name, 1));
  const std::uint32_t choice =
      knobs_.usesSecondPartitions && !firstAnswers && secondAnswers ? 1 : 0;
  storeIn(choice, storing);
  timers_.runAfter(knobs_.secondChoiceAfter, [this, weak = std::weak_ptr(storing), choice] {
    if (const auto waiting = weak.lock()) {
      storeInOther(choice, waiting);
    }
  });
}

void RoutedLedger::storeInOther(std::uint32_t choice, const std::shared_ptr<Storing>& storing) {
  if (knobs_.usesSecondPartitions && !storing->done && !storing->triedBoth &&
      clock_() < storing->deadline) {
    storing->triedBoth = true;
    storeIn(1 - choice, storing);
  }
}

void RoutedLedger::storeIn(std::uint32_t choice, const std::shared_ptr<Storing>& storing) {
  const TurnPlacement placement{knobs_.zone, choice};
  const Duration timeLimit = storing->deadline - clock_();
  ++storing->underWay;
  start(StoreTurnRequest{placement, storing->record, timeLimit},
        layout_.ofTurn(placement, storing->record.request), knobs_.zone, timeLimit,
        [this, choice, storing](const LedgerReply& reply) { onStored(choice, storing, reply); });
}

void RoutedLedger::onStored(std::uint32_t choice, const std::shared_ptr<Storing>& storing,
                            const LedgerReply& reply) {
  --storing->underWay;
  if (storing->done) {
    return;
  }
  const bool rejected = reply.outcome == LedgerOutcome::Rejected;
  const bool stored = reply.outcome == LedgerOutcome::Done;
  if (!stored && !rejected) {
    storeInOther(choice, storing);
    if (storing->underWay > 0) {
      return;
    }
  }
  storing->done = true;
  if (stored) {
    storing->callback(Success{});
  } else {
    const auto fault = rejected ? logstore::StoreFault::Rejected : logstore::StoreFault::NoAnswer;
    storing->callback(logstore::StoreError{fault, reply.reason, 0});
  }
}

void RoutedLedger::reserve(const BudgetRequest& request, Duration timeLimit,
                           ReservationCallback callback) {
  const BudgetReservation& reservation = request.reservation;
  // The program's remaining time that goes with it grows old.
  timeLimit = std::min(timeLimit, BudgetLeaseKnobs{}.longestCall);
  start(ReserveRequest{request, timeLimit}, layout_.ofBudget(reservation.program), {}, timeLimit,
        [this, reservation, callback = std::move(callback)](const LedgerReply& reply) {
          if (isConclusive(reply)) {
            knownUse_[reservation.program] = {reply.tokensUsed, clock_()};
          }
          if (reply.outcome == LedgerOutcome::Done) {
            callback(ReservationOutcome::Granted);
          } else if (reply.outcome == LedgerOutcome::BudgetSpent) {
            // This reply is the one that counts, so nothing will be handed out for the reservation.
            settle({reservation.request, reservation.program, 0});
            callback(ReservationOutcome::Spent);
          } else {
            callback(ReservationOutcome::Unavailable);
          }
        });
}

void RoutedLedger::settle(BudgetSettlement settlement) {
  const logstore::PartitionAddress partition = layout_.ofBudget(settlement.program);
  start(SettleRequest{std::move(settlement)}, partition, {}, knobs_.settleTimeLimit,
        [](const LedgerReply&) {});
}

std::uint64_t RoutedLedger::knownUse(const std::string& program) const {
  const auto found = knownUse_.find(program);
  return found == knownUse_.end() ? 0 : found->second.tokens;
}

void RoutedLedger::sweep() {
  const Instant oldest = clock_() - knobs_.accountLifetime;
  std::erase_if(knownUse_, [oldest](const auto& entry) { return entry.second.heardAt < oldest; });
}

}  // namespace gorsetrail::ledger
