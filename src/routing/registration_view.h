/// \file What the replicas' registrations tell about runs of requests. No I/O, no clock.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "base/time.h"
#include "routing/replica_table.h"

namespace gorsetrail::routing {

/// What the registrations tell about one incarnation of a replica.
enum class Registration : std::uint8_t {
  Unknown,  ///< The registrations are not known, or it lapsed while the store was unavailable.
  Present,
  Absent,  ///< Removed, or another process has taken over the id.
};

/// A node's view of the registrations at one moment.
struct RegistrationView {
  /// \param startedAt start of the incarnation; unset: unknown, so that a replica that restarted
  /// under its id is taken for the same.
  std::function<Registration(const std::string& replicaId, std::optional<ReplicaStart> startedAt)>
      find;
  Instant readAt{};  ///< When the last successful read was requested.
};

/// \param replicas outlives the view. \param readAt unset: the registrations are not listed yet.
[[nodiscard]] RegistrationView registrationViewOf(const ReplicaTable& replicas,
                                                  std::optional<Instant> readAt);

}  // namespace gorsetrail::routing
