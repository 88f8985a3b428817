/// \file One deciding node of an emulation: its late beliefs about the replicas, and its policy.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "lab/emulator/workload.h"
#include "lab/enginemodel/engine_model.h"
#include "scheduling/prefix_index.h"
#include "scheduling/scheduling_policy.h"

namespace gorsetrail::emulator {

/// Load of one replica as read at a moment.
struct LoadReport {
  enginemodel::EngineLoad load;
  Duration step{};  ///< Length of the step under way, 0 when idle.
  Instant takenAt{};
};

/// What the node knows about a call when it places it.
struct CallToPlace {
  ProgramId program;
  std::uint32_t promptTokens = 0;
  std::uint32_t priorityLevel = 0;
  std::uint64_t attainedTokens = 0;
  std::optional<scheduling::ReplicaIndex> previous;
  std::vector<scheduling::PrefixMark> marks;  ///< Of the prompt, shortest first.
};

class DecisionNode {
 public:
  DecisionNode(const Workload& workload, std::string_view policy, std::uint64_t seed);

  /// Chooses a replica and counts the call as under way there.
  scheduling::ReplicaIndex place(const CallToPlace& call, Instant now);
  /// A call ended; its prompt and answer are believed to be cached there.
  void callEnded(scheduling::ReplicaIndex replica,
                 const std::vector<scheduling::PrefixMark>& marks);
  void callDropped(scheduling::ReplicaIndex replica);

  void takeReport(scheduling::ReplicaIndex replica, const LoadReport& report);
  void takeEvents(scheduling::ReplicaIndex replica,
                  const std::vector<enginemodel::CacheEvent>& events);
  void eventsLost(scheduling::ReplicaIndex replica) { index_.eventsLost(replica); }
  void takeInventory(scheduling::ReplicaIndex replica,
                     const std::vector<enginemodel::CachedPrefix>& inventory);

  /// Overrides the beliefs for the next call only (clairvoyant bounds).
  void overrideViews(const std::vector<std::uint32_t>& cachedTokens,
                     const std::vector<enginemodel::EngineLoad>& loads);

  /// \return processor time of each decision, in microseconds of wall time.
  [[nodiscard]] const std::vector<double>& decisionMicroseconds() const {
    return decisionMicroseconds_;
  }

 private:
  std::uint32_t blockTokens_;
  double latencyWeight_;
  scheduling::SchedulingPolicyPtr policy_;
  scheduling::PrefixIndex index_;
  RandomSource random_;
  std::vector<scheduling::ReplicaView> replicas_;
  std::vector<Instant> reportTakenAt_;
  bool overridden_ = false;
  std::vector<double> decisionMicroseconds_;
};

}  // namespace gorsetrail::emulator
