#include "routing/software_version_history.h"

#include <algorithm>

namespace gorsetrail::routing {

void SoftwareVersionHistory::onSeen(const ReplicaEntry& entry, Instant now) {
  auto& versions = lastSeen_[entry.service];
  std::erase_if(versions,
                [&](const auto& seen) { return seen.second + knobs_.maximumLookback < now; });
  versions[entry.softwareVersion] = now;
}

void SoftwareVersionHistory::onFresh(Instant readAt) {
  if (!knownSince_ || readAt - freshAt_ > knobs_.maximumGap) {
    knownSince_ = readAt;
  }
  freshAt_ = readAt;
}

std::optional<std::string> SoftwareVersionHistory::onlyVersionOf(std::string_view service,
                                                                 const ReplicaTable& replicas,
                                                                 Duration streamLifetime,
                                                                 Instant now) const {
  const Instant begin = now - std::max(streamLifetime, knobs_.minimumLookback);
  if (streamLifetime > knobs_.maximumLookback || !knownSince_ || *knownSince_ > begin ||
      now - freshAt_ > knobs_.maximumGap) {
    return std::nullopt;
  }
  std::optional<std::string> only;
  const auto isOnly = [&only](const std::string& version) {
    only = only.value_or(version);
    return *only == version;
  };
  for (const ReplicaPtr& replica : replicas.ofService(service)) {
    if (!isOnly(replica->entry.softwareVersion)) {
      return std::nullopt;
    }
  }
  if (const auto seen = lastSeen_.find(service); seen != lastSeen_.end()) {
    for (const auto& [version, lastSeenAt] : seen->second) {
      if (lastSeenAt >= begin && !isOnly(version)) {
        return std::nullopt;
      }
    }
  }
  return only;
}

}  // namespace gorsetrail::routing
