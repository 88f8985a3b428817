#include "routing/replica_incarnation.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "routing/replica_table.h"

namespace gorsetrail::routing {

IncarnationOrder compareIncarnations(std::optional<ReplicaStart> known,
                                     std::optional<ReplicaStart> reported) {
  if (!known || !reported || *known == *reported) {
    return IncarnationOrder::Same;
  }
  return *known < *reported ? IncarnationOrder::Later : IncarnationOrder::Earlier;
}

bool isPlausible(ReplicaStart start, std::uint64_t unixMilliseconds) {
  constexpr auto kMaxLeadMs = std::chrono::duration_cast<std::chrono::milliseconds>(kMaxClockLead);
  return start.value() <= unixMilliseconds + static_cast<std::uint64_t>(kMaxLeadMs.count());
}

Instant incarnationStartedAt(ReplicaStart start, std::uint64_t unixMilliseconds, Instant now) {
  // A start in the future means that the replica's clock is ahead; its age is then zero.
  const std::uint64_t ageMs = unixMilliseconds - std::min(unixMilliseconds, start.value());
  return now - milliseconds(static_cast<Duration::rep>(ageMs)) - kMaxClockSkew;
}

ReplicaPtr incarnationAt(ReplicaPtr replica, Instant sentAt) {
  while (replica->incarnationEnd && sentAt >= replica->incarnationEnd->nextBeganAt) {
    replica = ReplicaPtr(replica->incarnationEnd->next);
  }
  return replica;
}

void DepartedReplicas::insert(const std::string& id, Departed entry) {
  remove(id);
  byId_.emplace(id, std::move(entry));
  oldestFirst_.push_back(id);
  if (oldestFirst_.size() > kMaxDeparted) {
    byId_.erase(oldestFirst_.front());
    oldestFirst_.pop_front();
  }
}

void DepartedReplicas::remove(std::string_view id) {
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
