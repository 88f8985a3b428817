#include "ledger/turn_cache.h"

#include <utility>

namespace gorsetrail::ledger {
namespace {

/// Estimated memory of an entry without its strings.
constexpr std::size_t kEntryOverheadBytes = 256;

}  // namespace

std::size_t TurnCache::sizeOf(const CompletedTurn& turn) {
  return kEntryOverheadBytes + 2 * turn.request.size() + turn.base.size() + turn.history.size();
}

bool TurnCache::insertIfRoom(CompletedTurn turn, TurnPosition position) {
  if (byRequest_.count(turn.request) > 0) {
    return true;
  }
  if (bytes_ + sizeOf(turn) > maximumBytes_) {
    return false;
  }
  insert(std::move(turn), position);
  return true;
}

void TurnCache::insert(CompletedTurn turn, TurnPosition position) {
  if (find(turn.request) != nullptr) {
    return;
  }
  byRecency_.push_front({std::move(turn), position});
  byRequest_.emplace(byRecency_.front().turn.request, byRecency_.begin());
  bytes_ += sizeOf(byRecency_.front().turn);
  while (bytes_ > maximumBytes_ && byRecency_.size() > 1) {
    evictLeastRecent();
  }
}

const CompletedTurn* TurnCache::find(const std::string& request) {
  const auto found = byRequest_.find(request);
  if (found == byRequest_.end()) {
    return nullptr;
  }
  byRecency_.splice(byRecency_.begin(), byRecency_, found->second);
  return &found->second->turn;
}

void TurnCache::evictLeastRecent() {
  const Entry& oldest = byRecency_.back();
  bytes_ -= sizeOf(oldest.turn);
  const TurnPosition position = oldest.position;
  byRequest_.erase(oldest.turn.request);
  byRecency_.pop_back();
  onEvicted_(position);
}

}  // namespace gorsetrail::ledger
