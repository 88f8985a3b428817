// Storage of turns: in one partition, and also in the second one if the first does not answer.
#include <utility>

#include "ledger/routed_ledger.h"

namespace gorsetrail::ledger {

bool RoutedLedger::takesTurn(const TurnName& turn) {
  const auto answersIn = [&](std::uint32_t choice) {
    return answers(layout_.ofTurn(placementFor(turn.zones, choice), turn.request));
  };
  return peers_.areKnown() && (answersIn(0) || answersIn(1));
}

/// A turn being stored; it may end up in both of its partitions.
struct RoutedLedger::Storing {
  CompletedTurn record;
  TurnZones zones;
  StoredCallback callback;
  Instant deadline;
  std::uint32_t inFlight = 0;
  bool triedBoth = false;
  bool done = false;
};

void RoutedLedger::storeTurn(TurnToStore turn, Duration timeLimit, StoredCallback callback) {
  auto storing = std::make_shared<Storing>();
  storing->zones = turn.zones;
  storing->record = makeCompletedTurn(std::move(turn), knobs_.maximumInlineHistoryBytes);
  storing->callback = std::move(callback);
  storing->deadline = clock_() + timeLimit;
  const std::string& name = storing->record.request;
  const bool preferredAnswers = answers(layout_.ofTurn(placementFor(storing->zones, 0), name));
  const bool fallbackAnswers = answers(layout_.ofTurn(placementFor(storing->zones, 1), name));
  const std::uint32_t choice =
      knobs_.usesSecondPartitions && !preferredAnswers && fallbackAnswers ? 1 : 0;
  storeIn(choice, storing);
  timers_.runAfter(knobs_.secondPartitionDelay, [this, weak = std::weak_ptr(storing), choice] {
    if (const auto waiting = weak.lock()) {
      storeInOtherPartition(choice, waiting);
    }
  });
}

void RoutedLedger::storeInOtherPartition(std::uint32_t choice,
                                         const std::shared_ptr<Storing>& storing) {
  if (knobs_.usesSecondPartitions && !storing->done && !storing->triedBoth &&
      clock_() < storing->deadline) {
    storing->triedBoth = true;
    storeIn(1 - choice, storing);
  }
}

void RoutedLedger::storeIn(std::uint32_t choice, const std::shared_ptr<Storing>& storing) {
  const TurnPlacement placement = placementFor(storing->zones, choice);
  const Duration timeLimit = storing->deadline - clock_();
  ++storing->inFlight;
  startCall(
      StoreTurnRequest{placement, storing->record, timeLimit},
      layout_.ofTurn(placement, storing->record.request), placement.zone, timeLimit,
      [this, choice, storing](const CallResult& end) { onStored(choice, storing, end.reply); });
}

void RoutedLedger::onStored(std::uint32_t choice, const std::shared_ptr<Storing>& storing,
                            const LedgerReply& reply) {
  --storing->inFlight;
  if (storing->done) {
    return;
  }
  const bool rejected = reply.outcome == LedgerOutcome::Rejected;
  const bool stored = reply.outcome == LedgerOutcome::Done;
  if (!stored && !rejected) {
    storeInOtherPartition(choice, storing);
    if (storing->inFlight > 0) {
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

}  // namespace gorsetrail::ledger
