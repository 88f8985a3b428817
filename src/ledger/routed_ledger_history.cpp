// Searching turns in the partitions that they may stand in.
#include <algorithm>
#include <utility>

#include "ledger/routed_ledger.h"

namespace gorsetrail::ledger {

/// One turn that is being looked for.
struct RoutedLedger::Search {
  TurnName turn;
  HistoryCallback callback;
  std::vector<Wave> waves;  ///< Searched one after the other.
  std::size_t next = 0;     ///< Of the waves.
  std::size_t open = 0;     ///< Partitions of the wave that have not been heard of.
  bool found = false;
  std::vector<UnreadPartition> unread;
};

// Turns mostly stand where new ones would be stored; the other zones of the region are near, and
// those of other regions cost one round trip together instead of one for each partition. Turns
// stored under another limit than now come last: limits change seldom.
std::vector<RoutedLedger::Wave> RoutedLedger::wavesFor(const TurnZones& zones) const {
  const TurnPlacement own = placementFor(zones, 0);
  std::vector<Wave> waves = {{own}, {placementFor(zones, 1)}};
  Wave near;
  Wave far;
  Wave otherLimit;
  const auto add = [](Wave& wave, const std::string& zone, bool confined) {
    for (std::uint32_t choice = 0; choice < kTurnChoices; ++choice) {
      wave.push_back({zone, choice, confined});
    }
  };
  bool severalRegions = false;
  for (const std::string& zone : knobs_.zones) {
    const bool isNear = areNear(own.zone, zone);
    const bool isAllowed =
        !own.confined || std::find(zones.begin(), zones.end(), zone) != zones.end();
    severalRegions = severalRegions || !isNear;
    if (zone != own.zone) {
      Wave& wave = isAllowed ? (isNear ? near : far) : otherLimit;
      add(wave, zone, own.confined);
    }
    add(otherLimit, zone, !own.confined);
  }
  waves.push_back(std::move(near));
  waves.push_back(std::move(far));
  if (own.confined || severalRegions) {
    waves.push_back(std::move(otherLimit));
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

// Only when every partition that the turn may stand in was read to its end, it is unknown.
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
  search->open = wave.size();
  for (const TurnPlacement& placement : wave) {
    if (search->found) {
      return;
    }
    const std::string& turn = search->turn.request;
    start(FindTurnRequest{placement, turn}, layout_.ofTurn(placement, turn), placement.zone,
          knobs_.findTimeLimit, [this, search, placement](CallEnd end) {
            onSearched(search, placement, std::move(end));
          });
  }
}

void RoutedLedger::onSearched(const std::shared_ptr<Search>& search, const TurnPlacement& placement,
                              CallEnd end) {
  if (search->found) {
    return;
  }
  if (end.reply.outcome == LedgerOutcome::Done) {
    search->found = true;
    onTurnFound(std::move(end.reply), search->turn.zones, search->callback);
    return;
  }
  if (end.reply.outcome != LedgerOutcome::UnknownTurn) {
    const std::string& reason = end.reply.reason;
    search->unread.push_back({logstore::textOf(layout_.ofTurn(placement, search->turn.request)),
                              placement.choice, reason.empty() ? "no answer" : reason,
                              std::move(end.asked), end.homeLives});
  }
  --search->open;
  if (search->open == 0) {
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
      *history = appendPiece(std::move(*history), base, piece);
    }
    callback(std::move(answer));
  });
}

}  // namespace gorsetrail::ledger
