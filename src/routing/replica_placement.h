/// \file Placement of a request on a replica. Policy only: no I/O, no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

#include "base/time.h"
#include "routing/admission_policy.h"
#include "routing/placement_rule.h"
#include "routing/replica_selector.h"
#include "routing/replica_table.h"
#include "routing/service_load.h"

namespace gorsetrail::routing {

/// Inputs of a placement besides the replica table.
struct PlacementQuery {
  ReplicaQuery replica;
  PlacementSubject subject;
  /// Unset: admission control is skipped, since the request has already started somewhere.
  std::optional<AdmissionRequest> admission;
};

/// A replica was chosen.
struct Placed {
  ReplicaPtr replica;
};

/// Replicas are available, but admission control refused the request.
struct RefusedByAdmission {
  ReplicaPtr cheapestReplica;   ///< The cheapest replica, which did not admit the request.
  double leastLoadPerSlot = 0;  ///< Minimum over all replicas that the rules allow.
};

/// The rules exclude all replicas, or there are none.
struct NoReplica {
  /// The reason that excluded most replicas; unset if no rule excluded any.
  std::optional<ExclusionReason> reason;
  /// Retry delay of that rule; zero if no rule excluded a replica.
  Duration retryAfter = Duration::zero();
};

using Placement = std::variant<Placed, RefusedByAdmission, NoReplica>;

/// Chooses replicas subject to placement rules and admission control. The constructor's arguments
/// must outlive this object.
class ReplicaPlacement {
 public:
  ReplicaPlacement(const ReplicaTable& replicas, const ReplicaSelector& selector,
                   const AdmissionPolicy& admission, std::vector<PlacementRule*> rules);

  /// Evaluates the rules once per replica and notifies each rule that excludes one.
  [[nodiscard]] Placement place(const PlacementQuery& query, Instant now) const;
  /// \return why the request must not go to this replica; empty if it may. Used to resume a stream
  /// at the replica where it ran.
  [[nodiscard]] std::optional<ExclusionReason> exclusionOf(const Replica& replica,
                                                           const PlacementSubject& subject,
                                                           Instant now) const;
  /// \return whether a replica of the service with this software version accepts requests.
  [[nodiscard]] bool hasReplicaOf(std::string_view service, const std::string& version) const;
  /// \return another replica, of any service: the one that most recently responded to this node;
  /// null if there is none. If it cannot be reached either, this node's own network link has
  /// failed.
  [[nodiscard]] ReplicaPtr witnessFor(const Replica& replica) const;
  /// \return the present load of the service's replicas that accept requests.
  [[nodiscard]] ServiceLoad loadOf(std::string_view service) const {
    return serviceLoadOf(replicas_, service);
  }
  /// Must be called for each request that is sent to a replica, including retries and resumed
  /// streams.
  /// \return the name of the rate limit that admitted it, for a log line; empty: none.
  std::string_view onSent(const Replica& replica, Instant now);

 private:
  /// An exclusion and the rule that caused it.
  struct Exclusion {
    ExclusionReason reason = ExclusionReason::Leaving;
    PlacementRule* rule = nullptr;  ///< Null: the replica itself is draining or was removed.
  };
  [[nodiscard]] std::optional<Exclusion> findExclusion(const Replica& replica,
                                                       const PlacementSubject& subject,
                                                       Instant now) const;
  /// \param allowed replicas that the rules allow.
  /// \return a replica for a request that the
  /// cheapest replica did not admit; null if there is none.
  [[nodiscard]] ReplicaPtr chooseOverflowReplica(const PlacementQuery& query,
                                                 const std::vector<const Replica*>& allowed,
                                                 Instant now) const;
  [[nodiscard]] static NoReplica noReplicaFor(const std::vector<Exclusion>& exclusions);

  const ReplicaTable& replicas_;
  const ReplicaSelector& selector_;
  const AdmissionPolicy& admission_;
  std::vector<PlacementRule*> rules_;
};

}  // namespace gorsetrail::routing
