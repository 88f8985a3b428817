/// \file Which replica serves a call: pure choice over a view, no I/O, no clock.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"

namespace gorsetrail::scheduling {

/// Index of a replica in the view; dense, so that policies use plain vectors.
using ReplicaIndex = StrongId<struct ReplicaIndexTag, std::uint32_t>;

/// What a node believes about one replica now.
struct ReplicaView {
  std::string name;
  std::string zone;
  std::string model;
  bool usable = true;                ///< False: leaving, circuit open, or refused.
  std::uint32_t ownOutstanding = 0;  ///< Calls of this node under way there.
  std::uint32_t reportedRunning = 0;
  std::uint32_t reportedQueued = 0;
  std::uint32_t cachedProgramTokens = 0;  ///< Set per call: tokens of its prefix believed there.
  Duration reportAge{};
  double observedStepMilliseconds = 3.0;
};

/// One call to place.
struct CallDescription {
  ProgramId program;
  std::string_view zone;  ///< Of this node.
  std::uint32_t promptTokens = 0;
  std::uint32_t maximumTokens = 0;
  std::uint32_t priorityLevel = 0;
  std::uint64_t programAttainedTokens = 0;
  double latencyWeight = 0.5;
  std::vector<ReplicaIndex> candidates;  ///< Those that the bundle allows and that are usable.
  std::optional<ReplicaIndex> previous;  ///< Where the program's last call ran.
};

/// A policy's choice, with the reason kept for `explain`.
struct PlacementChoice {
  ReplicaIndex replica;
  std::string_view reason;  ///< A constant text.
};

/// Chooses a replica. Implementations are plain classes; state only from the calls below.
class SchedulingPolicy {
 public:
  virtual ~SchedulingPolicy() = default;
  /// \return the choice; nothing when `call.candidates` is empty.
  virtual std::optional<PlacementChoice> choose(const CallDescription& call,
                                                const std::vector<ReplicaView>& replicas,
                                                RandomSource& random) = 0;
  [[nodiscard]] virtual std::string_view name() const = 0;
};
using SchedulingPolicyPtr = std::unique_ptr<SchedulingPolicy>;

/// \return the policy of that name (`round-robin`, `least-outstanding`, `session-sticky`,
/// `sticky-lru`, `prefix-affinity`); null when there is none.
SchedulingPolicyPtr makePolicy(std::string_view name);
/// \return the names that `makePolicy` takes.
const std::vector<std::string_view>& policyNames();

}  // namespace gorsetrail::scheduling
