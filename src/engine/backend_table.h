/// \file What a node believes about the back ends of the bundle in force.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "engine/circuit_breaker.h"
#include "engine/observation_interface.h"
#include "scheduling/scheduling_policy.h"

namespace gorsetrail::engine {

/// A back end as the bundle describes it.
struct BackendDescription {
  std::string name;
  std::string zone;
  std::string address;
  std::string model;
  bool leaving = false;
};

/// \return the hash under which notices and digests name a back end.
std::uint32_t backendHashOf(std::string_view name);

/// Where a program's last call ran, and how much of its prefix may be cached there.
struct PreviousReplica {
  std::uint32_t backendHash = 0;
  std::uint32_t prefixTokens = 0;
};

/// Last replica of each program: bounded; the programs that were not asked for longest go first.
class PreviousReplicas {
 public:
  explicit PreviousReplicas(std::size_t capacity) : generationSize_(capacity / 2) {}
  void remember(const ProgramId& program, const PreviousReplica& replica);
  [[nodiscard]] std::optional<PreviousReplica> find(const ProgramId& program);
  void forget(const ProgramId& program);
  [[nodiscard]] std::size_t size() const { return recent_.size() + older_.size(); }

 private:
  using Generation = std::unordered_map<ProgramId, PreviousReplica>;
  std::size_t generationSize_;
  Generation recent_;
  Generation older_;
};

/// Load of a back end with the moment it was true.
struct LoadReport {
  std::uint32_t runningStreams = 0;
  std::uint32_t queuedRequests = 0;
  std::uint32_t cacheUsedPerMille = 0;
  Instant at{};
};

/// Candidates of one call, and when more may come.
struct CandidateSet {
  std::vector<scheduling::ReplicaIndex> usable;
  /// When the first of the others may become usable; nothing when all of them are leaving.
  std::optional<Instant> usableAt;
};

/// Back ends with circuit, leaving marks, own calls under way and reported load. Single-threaded.
class BackendTable {
 public:
  explicit BackendTable(const CircuitKnobs& knobs = {}) : circuitKnobs_(knobs) {}

  /// Takes the back ends of a bundle; what is known of those that stay is kept.
  void update(const std::vector<BackendDescription>& backends, Instant now);

  /// \name What happened at a back end (unknown names are ignored: it left the bundle)
  /// @{
  void onDispatched(const std::string& name, Instant now);
  void onSucceeded(const std::string& name);
  /// The connection failed or broke.
  void onFailed(const std::string& name, Instant now);
  /// It refused the request; \param full it has no room: it is left alone for a moment.
  void onRefused(const std::string& name, bool full, Instant now);
  /// The attempt was cancelled by this node.
  void onCancelled(const std::string& name);
  /// A refusal or a report said that it is leaving (or serves again).
  void setLeaving(const std::string& name, bool leaving, Instant now);
  /// Membership says so, by hash. It is also kept for back ends of a later bundle.
  void setLeavingByNotice(std::uint32_t backendHash, bool leaving, Instant now);
  /// Its observer could not reach it.
  void onUnreachable(const std::string& name, Instant now);
  void onReport(const std::string& name, const LoadReport& report);
  /// Merges a peer's digest: for each replica the younger report stays.
  void onDigest(const LoadDigest& digest, Instant now);
  /// @}

  /// \return which of `names` take new work now, without those in `excluded`.
  [[nodiscard]] CandidateSet candidates(const std::vector<std::string>& names,
                                        const std::vector<std::string>& excluded,
                                        Instant now) const;
  /// \return the view for a policy; the figures of `refreshed` are brought up to `now`.
  const std::vector<scheduling::ReplicaView>& view(
      const std::vector<scheduling::ReplicaIndex>& refreshed,
      const std::optional<PreviousReplica>& previous, Instant now);
  /// \return the loads for a node of `zone`: the youngest first, most of them of its own zone.
  [[nodiscard]] LoadDigest digestFor(const std::string& zone, Instant now) const;
  /// \return the loads of the named back ends (at most a digest's worth) that were reported.
  [[nodiscard]] LoadDigest digestOf(const std::vector<std::string>& names, Instant now) const;

  [[nodiscard]] std::optional<scheduling::ReplicaIndex> indexOf(const std::string& name) const;
  [[nodiscard]] std::optional<scheduling::ReplicaIndex> indexOfHash(std::uint32_t hash) const;
  [[nodiscard]] const BackendDescription& description(scheduling::ReplicaIndex index) const;
  [[nodiscard]] bool isLeaving(const std::string& name) const;
  /// \return whether a report that it is not leaving may lift a mark: reports lag, so only one
  /// that comes well after the mark does. The bundle's own mark is never lifted.
  [[nodiscard]] bool mayServeAgain(const std::string& name, Instant now) const;
  [[nodiscard]] std::uint32_t ownOutstanding(const std::string& name) const;
  [[nodiscard]] std::optional<Instant> reportedAt(const std::string& name) const;
  [[nodiscard]] std::size_t size() const { return rows_.size(); }

 private:
  struct Row {
    BackendDescription description;
    std::uint32_t hash = 0;
    CircuitBreaker circuit;
    std::uint32_t ownOutstanding = 0;
    Instant fullUntil{};
    std::optional<LoadReport> load;
  };

  /// That a back end is leaving, and since when this node knows.
  struct LeavingMark {
    bool leaving = false;
    Instant since{};
  };

  [[nodiscard]] Row* find(const std::string& name);
  [[nodiscard]] const Row* find(const std::string& name) const;
  [[nodiscard]] bool isLeaving(const Row& row) const;
  [[nodiscard]] static ReplicaLoad loadOf(const Row& row, Instant now);
  [[nodiscard]] static Instant usableAt(const Row& row, Instant now);
  void endAttempt(Row& row);
  void forgetOldMarks();
  void rebuildView();
  void refreshView(scheduling::ReplicaIndex index, Instant now);

  CircuitKnobs circuitKnobs_;
  std::vector<Row> rows_;
  std::vector<scheduling::ReplicaView> view_;
  std::unordered_map<std::string, std::uint32_t> indexByName_;
  std::unordered_map<std::uint32_t, std::uint32_t> indexByHash_;
  std::unordered_map<std::uint32_t, LeavingMark> leavingMarks_;  ///< By hash of the back end.
};

}  // namespace gorsetrail::engine
