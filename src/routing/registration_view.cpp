#include "routing/registration_view.h"

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

}  // namespace

RegistrationView registrationViewOf(const ReplicaTable& replicas, std::optional<Instant> readAt) {
  if (!readAt) {
    return {[](const std::string& /*replicaId*/, std::optional<ReplicaStart> /*startedAt*/) {
              return Registration::Unknown;
            },
            {}};
  }
  return {[&replicas](const std::string& replicaId, std::optional<ReplicaStart> startedAt) {
            return registrationOf(replicas, replicaId, startedAt);
          },
          *readAt};
}

}  // namespace gorsetrail::routing
