#include "routing/registration_view.h"

#include <algorithm>

namespace gorsetrail::routing {
namespace {

Registration registrationOf(const ReplicaTable& replicas, const std::string& replicaId,
                            std::optional<ReplicaStart> startedAt) {
  const ReplicaPtr replica = replicas.find(replicaId);
  if (!replica) {
    return Registration::Absent;
  }
  if (replica->graceUntil) {
    return Registration::Unknown;
  }
  switch (compareIncarnations(startedAt, replica->entry.startedAt)) {
    case IncarnationOrder::Same:
      return Registration::Present;
    case IncarnationOrder::Later:
      return Registration::Absent;
    case IncarnationOrder::Earlier:
      break;  // This node does not know the incarnation yet.
  }
  return Registration::Unknown;
}

std::optional<Instant> nextBeganAt(const ReplicaTable& replicas, const std::string& replicaId,
                                   std::optional<ReplicaStart> startedAt) {
  const ReplicaPtr replica = replicas.find(replicaId);
  if (!replica || !startedAt) {
    return std::nullopt;
  }
  const std::vector<EarlierIncarnation>& earlier = replica->earlierIncarnations;
  const auto found = std::find_if(
      earlier.begin(), earlier.end(),
      [&](const EarlierIncarnation& incarnation) { return incarnation.startedAt == startedAt; });
  const bool isKnown = found != earlier.end() && found->nextBeganAt != Instant::max();
  return isKnown ? std::optional(found->nextBeganAt) : std::nullopt;
}

}  // namespace

RegistrationView registrationViewOf(const ReplicaTable& replicas, std::optional<Instant> readAt) {
  if (!readAt) {
    return {[](const std::string& /*replicaId*/, std::optional<ReplicaStart> /*startedAt*/) {
              return Registration::Unknown;
            },
            {},
            {}};
  }
  return {[&replicas](const std::string& replicaId, std::optional<ReplicaStart> startedAt) {
            return registrationOf(replicas, replicaId, startedAt);
          },
          *readAt,
          [&replicas](const std::string& replicaId, std::optional<ReplicaStart> startedAt) {
            return nextBeganAt(replicas, replicaId, startedAt);
          }};
}

}  // namespace gorsetrail::routing
