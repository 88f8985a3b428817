// Storage of turns: in one partition, and also in the second one if the first does not answer.
#include <utility>

#include "ledger/routed_ledger.h"

namespace gorsetrail::ledger {

bool RoutedLedger::canStoreTurn(const TurnName& turn) {
  const auto answersIn = [&](std::uint32_t choice) {
    return answers(layout_.ofTurn(placementFor(turn.zones, choice), turn.request));
  };
  return peers_.isNodeListKnown() && (answersIn(0) || answersIn(1));
}

/// A turn being stored; it may end up in both of its partitions.
struct RoutedLedger::StoreOperation {
  CompletedTurn record;
  TurnZones zones;
  StoredCallback callback;
  Instant deadline;
  std::uint32_t inFlight = 0;
  bool triedBoth = false;
  bool done = false;
};

void RoutedLedger::storeTurn(TurnToStore turn, Duration timeLimit, StoredCallback callback) {
  auto operation = std::make_shared<StoreOperation>();
  operation->zones = turn.zones;
  operation->record = makeCompletedTurn(std::move(turn), knobs_.maximumInlineHistoryBytes);
  operation->callback = std::move(callback);
  operation->deadline = clock_() + timeLimit;
  const std::string& name = operation->record.request;
  const bool preferredAnswers = answers(layout_.ofTurn(placementFor(operation->zones, 0), name));
  const bool fallbackAnswers = answers(layout_.ofTurn(placementFor(operation->zones, 1), name));
  const std::uint32_t choice =
      knobs_.usesSecondPartitions && !preferredAnswers && fallbackAnswers ? 1 : 0;
  storeIn(choice, operation);
  timers_.runAfter(knobs_.secondPartitionDelay, [this, weak = std::weak_ptr(operation), choice] {
    if (const auto waiting = weak.lock()) {
      storeInOtherPartition(choice, waiting);
    }
  });
}

void RoutedLedger::storeInOtherPartition(std::uint32_t choice,
                                         const std::shared_ptr<StoreOperation>& operation) {
  if (knobs_.usesSecondPartitions && !operation->done && !operation->triedBoth &&
      clock_() < operation->deadline) {
    operation->triedBoth = true;
    storeIn(1 - choice, operation);
  }
}

void RoutedLedger::storeIn(std::uint32_t choice, const std::shared_ptr<StoreOperation>& operation) {
  const TurnPlacement placement = placementFor(operation->zones, choice);
  const Duration timeLimit = operation->deadline - clock_();
  ++operation->inFlight;
  startCall(StoreTurnRequest{placement, operation->record, timeLimit},
            layout_.ofTurn(placement, operation->record.request), placement.zone, timeLimit,
            [this, choice, operation](const CallResult& result) {
              onStored(choice, operation, result.reply);
            });
}

void RoutedLedger::onStored(std::uint32_t choice, const std::shared_ptr<StoreOperation>& operation,
                            const LedgerReply& reply) {
  --operation->inFlight;
  if (operation->done) {
    return;
  }
  const bool rejected = reply.outcome == LedgerOutcome::Rejected;
  const bool stored = reply.outcome == LedgerOutcome::Done;
  if (!stored && !rejected) {
    storeInOtherPartition(choice, operation);
    if (operation->inFlight > 0) {
      return;
    }
  }
  operation->done = true;
  if (stored) {
    operation->callback(Success{});
  } else {
    const auto fault = rejected ? logstore::StoreFault::Rejected : logstore::StoreFault::NoAnswer;
    operation->callback(logstore::StoreError{fault, reply.reason, 0});
  }
}

}  // namespace gorsetrail::ledger
