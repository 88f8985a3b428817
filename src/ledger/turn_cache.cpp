#include "ledger/turn_cache.h"

#include <utility>

namespace gorsetrail::ledger {
namespace {

/// Estimated memory of an entry beside its texts.
constexpr std::size_t kEntryOverheadBytes = 256;

}  // namespace

std::size_t TurnCache::sizeOf(const Entry& entry) {
  return kEntryOverheadBytes + 2 * entry.turn.request.size() + entry.turn.base.size() +
         entry.turn.history.size();
}

void TurnCache::put(CompletedTurn turn, TurnPlace place) {
  if (find(turn.request) != nullptr) {
    return;
  }
  byUse_.push_front({std::move(turn), place});
  byRequest_.emplace(byUse_.front().turn.request, byUse_.begin());
  bytes_ += sizeOf(byUse_.front());
  while (bytes_ > maximumBytes_ && byUse_.size() > 1) {
    dropOldest();
  }
}

const CompletedTurn* TurnCache::find(const std::string& request) {
  const auto found = byRequest_.find(request);
  if (found == byRequest_.end()) {
    return nullptr;
  }
  byUse_.splice(byUse_.begin(), byUse_, found->second);
  return &found->second->turn;
}

void TurnCache::dropOldest() {
  const Entry& oldest = byUse_.back();
  bytes_ -= sizeOf(oldest);
  const TurnPlace place = oldest.place;
  byRequest_.erase(oldest.turn.request);
  byUse_.pop_back();
  onDropped_(place);
}

}  // namespace gorsetrail::ledger
