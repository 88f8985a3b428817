/// \file The one step by which a request comes to a replica. Policy only: no I/O, no clock.
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

namespace gorsetrail::routing {

/// What a placement depends on besides the tables.
struct PlacementQuery {
  ReplicaQuery replica;
  PlacementSubject subject;
  /// Unset: the request is placed however full the replicas are, since it has begun somewhere.
  std::optional<AdmissionRequest> admission;
};

/// The request goes to this replica.
struct Placed {
  ReplicaPtr replica;
};

/// Replicas are there, but admission keeps this work away from them.
struct PlacesTaken {
  ReplicaPtr judged;            ///< The replica that admission was asked about.
  double leastLoadPerSlot = 0;  ///< Of all replicas that the rules allow.
};

/// No replica may get the request.
struct NoReplica {
  /// The rule that kept most replicas back, where a rule did.
  std::optional<PlacementBar> bar;
  /// As that rule says; zero: no rule kept it back.
  Duration retryAfter = Duration::zero();
};

using Placement = std::variant<Placed, PlacesTaken, NoReplica>;

/// Chooses replicas under the placement rules. Ownership: rules, table, selector and admission
/// outlive this object.
class ReplicaPlacement {
 public:
  ReplicaPlacement(const ReplicaTable& replicas, const ReplicaSelector& selector,
                   const AdmissionPolicy& admission, std::vector<PlacementRule*> rules);

  /// Asks the rules once for each replica, and tells the rule that keeps one back.
  [[nodiscard]] Placement place(const PlacementQuery& query, Instant now) const;
  /// \return why the request must not go to this very replica; for streams that go on where they
  /// ran.
  [[nodiscard]] std::optional<PlacementBar> barOf(const Replica& replica,
                                                  const PlacementSubject& subject,
                                                  Instant now) const;
  /// \return the replica, of whatever service, that this node heard last, this one left out; null:
  /// there is no other. Whether it can be reached tells of this node's own link.
  [[nodiscard]] ReplicaPtr witnessFor(const Replica& replica) const;
  /// To be told of each request that is sent to a replica, whatever way it came there.
  /// \return by what a rule allowed it that counts requests, for a log line; empty: none does.
  std::string_view onSent(const Replica& replica, Instant now);

 private:
  /// A rule and the reason it gives.
  struct Barred {
    PlacementBar bar = PlacementBar::Leaving;
    PlacementRule* rule = nullptr;  ///< Null: the replica's own state.
  };
  [[nodiscard]] std::optional<Barred> barred(const Replica& replica,
                                             const PlacementSubject& subject, Instant now) const;
  /// \param allowed by the rules. \return where work goes that the cheapest replica does not admit;
  /// null: nowhere.
  [[nodiscard]] ReplicaPtr placeElsewhere(const PlacementQuery& query,
                                          const std::vector<const Replica*>& allowed,
                                          Instant now) const;
  [[nodiscard]] static NoReplica whyNone(const std::vector<Barred>& passedOver);

  const ReplicaTable& replicas_;
  const ReplicaSelector& selector_;
  const AdmissionPolicy& admission_;
  std::vector<PlacementRule*> rules_;
};

}  // namespace gorsetrail::routing
