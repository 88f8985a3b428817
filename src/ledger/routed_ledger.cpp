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

/// \return where the turn stands that a call is about; null for calls about budgets.
const TurnPlacement* placementOf(const LedgerRequest& request) {
  if (const auto* const find = std::get_if<FindTurnRequest>(&request)) {
    return &find->placement;
  }
  const auto* const store = std::get_if<StoreTurnRequest>(&request);
  return store == nullptr ? nullptr : &store->placement;
}

bool isConclusive(const LedgerReply& reply) { return reply.outcome != LedgerOutcome::Unavailable; }

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

ReservationReply reservationReplyOf(CallEnd end) {
  ReservationReply reply;
  reply.outcome = reservationOutcomeOf(end.reply.outcome);
  reply.tokensUsed = end.reply.tokensUsed;
  reply.reason = end.reply.undecided;
  reply.unseenLeases = end.reply.unseenLeases;
  reply.tokensUnseen = end.reply.tokensUnseen;
  const bool nobodyReplied = end.repliedBy.empty();
  if (nobodyReplied && reply.reason == UndecidedReason::Unknown) {
    reply.reason = UndecidedReason::NoAnswer;
  }
  reply.repliedBy = std::move(end.repliedBy);
  reply.asked = std::move(end.asked);
  return reply;
}

}  // namespace

/// One call at the homes it was sent to.
struct RoutedLedger::Call {
  LedgerRequest request;
  logstore::PartitionAddress partition;
  std::vector<std::string> homes;  ///< In the order they are asked; the last is this node.
  CallEndCallback callback;
  Instant startedAt;
  Instant deadline;
  std::size_t started = 0;
  bool endsAtOwnNode = false;       ///< The last of `homes` is this node, which is no home.
  bool homeLives = false;           ///< A home replied, or answered a liveness probe.
  std::vector<std::string> silent;  ///< Asked, and not heard of yet.
  /// Asked, and without a sign of life since: not waited for, but a reply of theirs still counts.
  std::vector<std::string> givenUp;
  std::vector<CoordinatorWord> asked;  ///< What each node said, for log lines.
  /// The last reply that tells why a reservation is not decided; a later failure tells less.
  std::optional<LedgerReply> undecided;
  std::string repliedBy;  ///< Whose reply counts; until the end, whose `undecided` is.
  bool done = false;

  void note(const std::string& home, CoordinatorState state, std::string reason = {}) {
    const auto word = std::find_if(asked.begin(), asked.end(),
                                   [&](const CoordinatorWord& one) { return one.address == home; });
    word->state = state;
    word->reason = std::move(reason);
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
      homes_({}),
      pacer_(knobs_.pace, seed) {
  setZones(std::move(knobs_.zones), std::move(knobs_.regionOfZone));
}

void RoutedLedger::setZones(std::vector<std::string> zones,
                            std::map<std::string, std::string, std::less<>> regionOfZone) {
  knobs_.zones = std::move(zones);
  knobs_.regionOfZone = std::move(regionOfZone);
  if (knobs_.zones.empty()) {
    knobs_.zones.push_back(knobs_.zone);
  }
}

void RoutedLedger::fail(LedgerReply reply, CallEndCallback callback) {
  timers_.runAfter(Duration::zero(), [callback = std::move(callback), reply = std::move(reply)] {
    callback({reply, {}, {}, false});
  });
}

bool RoutedLedger::areNear(std::string_view zone, std::string_view other) const {
  const auto one = knobs_.regionOfZone.find(zone);
  const auto two = knobs_.regionOfZone.find(other);
  const bool bothKnown = one != knobs_.regionOfZone.end() && two != knobs_.regionOfZone.end();
  return !bothKnown || one->second == two->second;
}

std::vector<HomeCandidate> RoutedLedger::candidatesFor(const TurnPlacement* placement) const {
  std::vector<HomeCandidate> candidates = peers_.candidates();
  if (placement != nullptr && placement->confined) {
    std::erase_if(candidates, [&](const HomeCandidate& candidate) {
      return !areNear(placement->zone, candidate.zone);
    });
  }
  return candidates;
}

void RoutedLedger::start(LedgerRequest request, const logstore::PartitionAddress& partition,
                         const std::string& homeZone, Duration timeLimit,
                         CallEndCallback callback) {
  if (!peers_.areKnown()) {
    LedgerReply reply;
    reply.reason = "other nodes are not known yet";
    reply.undecided = UndecidedReason::NodesNotKnown;
    fail(std::move(reply), std::move(callback));
    return;
  }
  auto call = std::make_shared<Call>();
  call->request = std::move(request);
  call->partition = partition;
  const TurnPlacement* const placement = placementOf(call->request);
  call->homes = homes_.homesOf(partition, homeZone, candidatesFor(placement), clock_());
  const bool mayReadHere =
      placement == nullptr || !placement->confined || areNear(placement->zone, knobs_.zone);
  const bool mayEndHere = mayReadHere || !readsPartition(call->request);
  const auto own = std::find(call->homes.begin(), call->homes.end(), knobs_.ownAddress);
  if (own == call->homes.end() && mayEndHere) {
    call->endsAtOwnNode = !call->homes.empty();
    call->homes.push_back(knobs_.ownAddress);
  }
  if (call->homes.empty()) {
    LedgerReply reply;
    reply.reason = "no node of the turn's region serves";
    fail(std::move(reply), std::move(callback));
    return;
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
  call->asked.push_back({home, CoordinatorState::Silent, {}});
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
  call->note(home, CoordinatorState::NotAlive);
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
  noteReply(*call, home, now, reply);
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

void RoutedLedger::noteReply(Call& call, const std::string& home, Instant now,
                             const std::optional<LedgerReply>& reply) {
  if (!reply) {
    // At the deadline the home was only not heard of.
    if (now < call.deadline) {
      call.note(home, CoordinatorState::NoReply);
    }
    return;
  }
  if (isConclusive(*reply)) {
    call.note(home, CoordinatorState::Answered);
    call.repliedBy = home;
    return;
  }
  const bool tellsWhy = reply->undecided != UndecidedReason::Unknown;
  call.note(home, CoordinatorState::Undecided,
            tellsWhy ? std::string(undecidedReasonName(reply->undecided)) : reply->reason);
  if (tellsWhy) {
    call.undecided = reply;
  }
  if (tellsWhy || call.repliedBy.empty()) {
    call.repliedBy = home;
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
  if (!isConclusive(reply) && call->undecided) {
    reply = *call->undecided;
  }
  const CallEndCallback callback = std::move(call->callback);
  callback({std::move(reply), call->repliedBy, call->asked, call->homeLives});
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

TurnPlacement RoutedLedger::placementFor(const TurnZones& zones, std::uint32_t choice) const {
  const bool confined = !zones.empty();
  return {confined ? zones.front() : knobs_.zone, choice, confined};
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

void RoutedLedger::reserve(const BudgetRequest& request, Duration timeLimit,
                           ReservationCallback callback) {
  const BudgetReservation& reservation = request.reservation;
  // The program's remaining time that goes with it grows old.
  timeLimit = std::min(timeLimit, BudgetLeaseKnobs{}.longestCall);
  const logstore::PartitionAddress partition = layout_.ofBudget(reservation.program);
  start(ReserveRequest{request, timeLimit}, partition, {}, timeLimit,
        [this, reservation, partition, callback = std::move(callback)](CallEnd end) {
          if (isConclusive(end.reply)) {
            knownUse_[reservation.program] = {end.reply.tokensUsed, clock_()};
          }
          if (end.reply.outcome == LedgerOutcome::BudgetSpent) {
            // This reply is the one that counts, so nothing will be handed out for the reservation.
            settle({reservation.request, reservation.program, 0});
          }
          ReservationReply reply = reservationReplyOf(std::move(end));
          reply.partition = logstore::textOf(partition);
          callback(std::move(reply));
        });
}

void RoutedLedger::settle(BudgetSettlement settlement) {
  const logstore::PartitionAddress partition = layout_.ofBudget(settlement.program);
  start(SettleRequest{std::move(settlement)}, partition, {}, knobs_.settleTimeLimit,
        [](const CallEnd&) {});
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
