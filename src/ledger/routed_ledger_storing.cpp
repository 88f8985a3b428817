// Storing turns: in one partition, and in the turn's second one while the first does not answer.
#include <utility>

#include "ledger/routed_ledger.h"

namespace gorsetrail::ledger {

bool RoutedLedger::takesTurn(const TurnName& turn) {
  const auto answersIn = [&](std::uint32_t choice) {
    return answers(layout_.ofTurn(placementFor(turn.zones, choice), turn.request));
  };
  return peers_.areKnown() && (answersIn(0) || answersIn(1));
}

/// One turn that is being stored; it may come to stand in both of its partitions.
struct RoutedLedger::Storing {
  CompletedTurn record;
  TurnZones zones;
  StoredCallback callback;
  Instant deadline;
  std::uint32_t underWay = 0;
  bool triedBoth = false;
  bool done = false;
};

void RoutedLedger::storeTurn(TurnToStore turn, Duration timeLimit, StoredCallback callback) {
  auto storing = std::make_shared<Storing>();
  storing->zones = turn.zones;
  storing->record = completedTurnOf(std::move(turn), knobs_.maximumInlineHistoryBytes);
  storing->callback = std::move(callback);
  storing->deadline = clock_() + timeLimit;
  const std::string& name = storing->record.request;
  const bool firstAnswers = answers(layout_.ofTurn(placementFor(storing->zones, 0), name));
  const bool secondAnswers = answers(layout_.ofTurn(placementFor(storing->zones, 1), name));
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
  const TurnPlacement placement = placementFor(storing->zones, choice);
  const Duration timeLimit = storing->deadline - clock_();
  ++storing->underWay;
  start(StoreTurnRequest{placement, storing->record, timeLimit},
        layout_.ofTurn(placement, storing->record.request), placement.zone, timeLimit,
        [this, choice, storing](const CallEnd& end) { onStored(choice, storing, end.reply); });
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

}  // namespace gorsetrail::ledger
