#include "routing/replica_life.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "routing/replica_table.h"

namespace gorsetrail::routing {

LifeOrder lifeOrderOf(std::optional<ReplicaStart> known, std::optional<ReplicaStart> told) {
  if (!known || !told || *known == *told) {
    return LifeOrder::Same;
  }
  return *known < *told ? LifeOrder::Later : LifeOrder::Earlier;
}

bool isPlausible(ReplicaStart start, std::uint64_t unixMilliseconds) {
  constexpr auto kLead = std::chrono::duration_cast<std::chrono::milliseconds>(kLongestClockLead);
  return start.value() <= unixMilliseconds + static_cast<std::uint64_t>(kLead.count());
}

Instant lifeBeganAt(ReplicaStart start, std::uint64_t unixMilliseconds, Instant now) {
  // A start in the future is a clock that runs ahead.
  const std::uint64_t age = unixMilliseconds - std::min(unixMilliseconds, start.value());
  return now - milliseconds(static_cast<Duration::rep>(age)) - kClockTolerance;
}

ReplicaPtr lifeAt(ReplicaPtr replica, Instant sentAt) {
  while (replica->lifeEnd && sentAt >= replica->lifeEnd->nextBeganAt) {
    replica = ReplicaPtr(replica->lifeEnd->next);
  }
  return replica;
}

void DepartedReplicas::remember(const std::string& id, Departed departed) {
  forget(id);
  byId_.emplace(id, std::move(departed));
  oldestFirst_.push_back(id);
  if (oldestFirst_.size() > kMostDeparted) {
    byId_.erase(oldestFirst_.front());
    oldestFirst_.pop_front();
  }
}

void DepartedReplicas::forget(std::string_view id) {
  const auto found = byId_.find(id);
  if (found != byId_.end()) {
    std::erase(oldestFirst_, found->first);
    byId_.erase(found);
  }
}

const DepartedReplicas::Departed* DepartedReplicas::find(std::string_view id) const {
  const auto found = byId_.find(id);
  return found == byId_.end() ? nullptr : &found->second;
}

}  // namespace gorsetrail::routing
