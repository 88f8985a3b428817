// Lookup of turns in the partitions that may hold them.
#include <algorithm>
#include <utility>

#include "ledger/routed_ledger.h"

namespace gorsetrail::ledger {

/// A turn lookup in progress.
struct RoutedLedger::Search {
  TurnName turn;
  HistoryCallback callback;
  std::vector<Wave> waves;  ///< Searched in order.
  std::size_t next = 0;     ///< Index into `waves`.
  std::size_t pending = 0;  ///< Partitions of the current wave that have not answered.
  bool found = false;
  std::vector<UnreadPartition> unread;
};

// The search order is: the partitions for new turns, the other zones of the region, then all other
// regions in parallel for one round trip. Turns stored under a different zone restriction come
// last, because restrictions seldom change.
std::vector<RoutedLedger::Wave> RoutedLedger::wavesFor(const TurnZones& zones) const {
  const TurnPlacement own = placementFor(zones, 0);
  std::vector<Wave> waves = {{own}, {placementFor(zones, 1)}};
  Wave sameRegion;
  Wave otherRegions;
  Wave otherConfinement;
  const auto add = [](Wave& wave, const std::string& zone, bool confined) {
    for (std::uint32_t choice = 0; choice < kTurnChoices; ++choice) {
      wave.push_back({zone, choice, confined});
    }
  };
  bool severalRegions = false;
  for (const std::string& zone : knobs_.zones) {
    const bool isSameRegion = inSameRegion(own.zone, zone);
    const bool isAllowed =
        !own.confined || std::find(zones.begin(), zones.end(), zone) != zones.end();
    severalRegions = severalRegions || !isSameRegion;
    if (zone != own.zone) {
      Wave& wave = isAllowed ? (isSameRegion ? sameRegion : otherRegions) : otherConfinement;
      add(wave, zone, own.confined);
    }
    add(otherConfinement, zone, !own.confined);
  }
  waves.push_back(std::move(sameRegion));
  waves.push_back(std::move(otherRegions));
  if (own.confined || severalRegions) {
    waves.push_back(std::move(otherConfinement));
  }
  std::erase_if(waves, [](const Wave& wave) { return wave.empty(); });
  return waves;
}

void RoutedLedger::findHistory(const TurnName& turn, HistoryCallback callback) {
  auto search = std::make_shared<Search>();
  search->turn = turn;
  search->callback = std::move(callback);
  search->waves = wavesFor(turn.zones);
  searchNext(search);
}

// A turn is reported as unknown only after all partitions that may hold it were read to their end.
void RoutedLedger::searchNext(const std::shared_ptr<Search>& search) {
  if (search->next == search->waves.size()) {
    if (search->unread.empty()) {
      search->callback(UnknownTurn{});
    } else {
      const std::string reason = search->unread.back().reason;
      search->callback(LedgerUnavailable{reason, std::move(search->unread)});
    }
    return;
  }
  const Wave& wave = search->waves[search->next];
  ++search->next;
  search->pending = wave.size();
  for (const TurnPlacement& placement : wave) {
    if (search->found) {
      return;
    }
    const std::string& turn = search->turn.request;
    startCall(FindTurnRequest{placement, turn}, layout_.ofTurn(placement, turn), placement.zone,
              knobs_.findTimeLimit, [this, search, placement](CallResult result) {
                onSearched(search, placement, std::move(result));
              });
  }
}

void RoutedLedger::onSearched(const std::shared_ptr<Search>& search, const TurnPlacement& placement,
                              CallResult result) {
  if (search->found) {
    return;
  }
  if (result.reply.outcome == LedgerOutcome::Done) {
    search->found = true;
    onTurnFound(std::move(result.reply), search->turn.zones, search->callback);
    return;
  }
  if (result.reply.outcome != LedgerOutcome::UnknownTurn) {
    const std::string& reason = result.reply.reason;
    search->unread.push_back({logstore::textOf(layout_.ofTurn(placement, search->turn.request)),
                              placement.choice, reason.empty() ? "no answer" : reason,
                              std::move(result.asked), result.coordinatorAlive});
  }
  --search->pending;
  if (search->pending == 0) {
    searchNext(search);
  }
}

void RoutedLedger::onTurnFound(LedgerReply reply, const TurnZones& zones,
                               HistoryCallback callback) {
  if (reply.base.empty()) {
    callback(History{std::move(reply.history), {}, 0});
    return;
  }
  const std::string base = reply.base;
  findHistory({base, zones}, [base, piece = std::move(reply.history),
                              callback = std::move(callback)](HistoryAnswer answer) {
    if (auto* const history = std::get_if<History>(&answer)) {
      *history = extendHistory(std::move(*history), base, piece);
    }
    callback(std::move(answer));
  });
}

}  // namespace gorsetrail::ledger
