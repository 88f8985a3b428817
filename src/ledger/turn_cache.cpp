#include "ledger/turn_cache.h"

#include <utility>

namespace gorsetrail::ledger {
namespace {

/// Estimated memory of an entry beside its texts.
constexpr std::size_t kEntryOverheadBytes = 256;

}  // namespace

std::size_t TurnCache::sizeOf(const CompletedTurn& turn) {
  return kEntryOverheadBytes + 2 * turn.request.size() + turn.base.size() + turn.history.size();
}

bool TurnCache::putIfRoom(CompletedTurn turn, TurnPlace place) {
  if (byRequest_.count(turn.request) > 0) {
    return true;
  }
  if (bytes_ + sizeOf(turn) > maximumBytes_) {
    return false;
  }
  put(std::move(turn), place);
  return true;
}

void TurnCache::put(CompletedTurn turn, TurnPlace place) {
  if (find(turn.request) != nullptr) {
    return;
  }
  byUse_.push_front({std::move(turn), place});
  byRequest_.emplace(byUse_.front().turn.request, byUse_.begin());
  bytes_ += sizeOf(byUse_.front().turn);
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
  bytes_ -= sizeOf(oldest.turn);
  const TurnPlace place = oldest.place;
  byRequest_.erase(oldest.turn.request);
  byUse_.pop_back();
  onDropped_(place);
}

}  // namespace gorsetrail::ledger
