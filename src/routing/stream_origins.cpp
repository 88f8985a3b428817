#include "routing/stream_origins.h"

#include <xxhash.h>

#include <algorithm>

namespace gorsetrail::routing {

RequestKey streamIdOf(std::string_view requestName) {
  const XXH128_hash_t hash = XXH3_128bits(requestName.data(), requestName.size());
  return {hash.high64, hash.low64};
}

void StreamOrigins::record(const RequestKey& stream, const StreamOrigin& origin, Instant keepUntil,
                           Instant now) {
  trim(now);
  const auto [found, isNew] = records_.try_emplace(stream, Record{origin, keepUntil});
  if (isNew) {
    oldestFirst_.emplace_back(keepUntil, stream);
    return;
  }
  Record& known = found->second;
  known.keepUntil = std::max(known.keepUntil, keepUntil);
  if (std::holds_alternative<StreamOrigin>(known.state) &&
      !(std::get<StreamOrigin>(known.state) == origin)) {
    known.state = ConflictingOrigin{};
  }
}

OriginState StreamOrigins::find(const RequestKey& stream, Instant now) const {
  const auto found = records_.find(stream);
  return found == records_.end() || found->second.keepUntil <= now ? OriginState(UnknownOrigin{})
                                                                   : found->second.state;
}

void StreamOrigins::trim(Instant now) {
  while (!oldestFirst_.empty()) {
    const auto [queuedUntil, stream] = oldestFirst_.front();
    const bool isFull = records_.size() >= knobs_.maximumRecords;
    if (queuedUntil > now && !isFull) {
      return;
    }
    oldestFirst_.pop_front();
    const auto found = records_.find(stream);
    const bool isExtended = found->second.keepUntil > now;
    if (isExtended && !isFull) {
      oldestFirst_.emplace_back(found->second.keepUntil, stream);
      continue;
    }
    droppedRecords_ += isExtended ? 1 : 0;
    records_.erase(found);
  }
}

}  // namespace gorsetrail::routing
