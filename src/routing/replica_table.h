/// \file What this node believes about the replicas of all services.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "routing/outcome_tally.h"
#include "routing/replica_life.h"

namespace gorsetrail::routing {

/// A replica as it registers itself. A restarted replica may have its earlier `id`.
struct ReplicaEntry {
  std::string id;
  std::optional<ReplicaStart> startedAt{};  ///< Unset: the replica does not tell it.
  std::string service;
  std::string address;  ///< `ip:port`.
  std::string zone;
  std::uint32_t slots = 1;
  bool draining = false;
  /// How much longer it said it is cold, as of its newest registration; zero: it is warm; unset: it
  /// says nothing of it.
  std::optional<Duration> coldFor = Duration::zero();
};

/// One failure may be chance.
inline constexpr double kFewestFailures = 1.5;

/// One life of a replica, with what this node has seen of it. Shared with the requests under way at
/// it. Nothing of it passes to a later life.
struct Replica {
  ReplicaEntry entry;
  bool gone = false;               ///< Its registration was removed: it gets nothing new.
  std::optional<LifeEnd> lifeEnd;  ///< Set: its process has started again, and it is gone.
  /// It told its start, and registers without it now.
  bool startUntold = false;
  std::uint32_t inFlight = 0;  ///< Requests of this node that run or wait there.
  double othersInFlight = 0;   ///< Those of other nodes, as far as they told a moment ago.
  Instant heardAt;             ///< When any byte of an answer came from it.
  std::uint32_t failures = 0;  ///< In a row: no connection, cut answers, silence.
  OutcomeTally outcomes;       ///< Of this node's latest requests there.
  double othersFailed = 0;     ///< Of other nodes' latest requests, where any failed.
  double othersEnded = 0;      ///< The latest requests of those nodes.
  Instant suspectUntil;        ///< Avoided until then while others are there.
  Instant fullUntil;           ///< It refused for want of room a moment ago.
  /// Its registration lapsed while the store was out of order, which proves nothing: it is used
  /// until then if there is no other.
  std::optional<Instant> doubtfulUntil;
  /// Requests a second that it bears while it is cold, from all nodes; 0: it is never cold.
  double coldRequestsPerSecond = 0;
  Instant coldUntil;       ///< By its registration; see `ColdReplicaRule`.
  bool isTrusted = false;  ///< It has answered all the time, also while the store was silent.
  double answerMilliseconds = 0;  ///< Smoothed time to the first byte; 0 before the first answer.

  /// \return whether nothing speaks against it: its small load may come from being out of reach.
  [[nodiscard]] bool isSound(Instant now) const {
    return suspectUntil <= now && fullUntil <= now && !doubtfulUntil;
  }
  [[nodiscard]] bool takesWork() const { return !gone && !entry.draining; }
  /// \return whether all that ran in this life is over.
  [[nodiscard]] bool hasEnded() const { return lifeEnd.has_value(); }
  /// \return the share of the latest requests, of all nodes, that failed there; 0 while fewer than
  /// `kFewestFailures` did.
  [[nodiscard]] double failureShare(Instant now) const {
    const double failed = outcomes.failed(now) + othersFailed;
    const double ended = outcomes.ended(now) + othersEnded;
    return failed < kFewestFailures ? 0.0 : failed / std::max(ended, failed);
  }
  [[nodiscard]] double load() const { return static_cast<double>(inFlight) + othersInFlight; }
  /// \return the load as a share of what the replica works on at once.
  [[nodiscard]] double loadPerSlot() const { return load() / std::max(1U, entry.slots); }
};
using ReplicaPtr = std::shared_ptr<Replica>;

/// How a change of a registration turned out.
enum class ReplicaChange : std::uint8_t {
  None,
  Added,
  Draining,
  Ready,
  Moved,
  Doubted,
  Removed,
  Restarted,  ///< The id has a new life: the `Replica` of before is gone.
  Outdated,   ///< The entry is of a life that has ended: nothing was taken from it.
};

/// The registered replicas.
class ReplicaTable {
 public:
  /// Takes over one registration.
  /// \param beganAt where it starts a new life: see `lifeBeganAt`. At its default, everything that
  /// was sent before ran at the earlier life.
  ReplicaChange upsert(ReplicaEntry entry, Instant beganAt = Instant::max());
  /// Forgets a registration; requests under way keep their `Replica`.
  ReplicaChange remove(std::string_view id);
  /// Keeps a lapsed registration for a while; one that was leaving is removed at once.
  ReplicaChange doubt(std::string_view id, Instant until);
  /// Removes what was doubted until now. \return the removed ids.
  std::vector<std::string> dropDoubtful(Instant now);
  /// \return the registered ids that are not listed.
  [[nodiscard]] std::vector<std::string> missingFrom(const std::vector<std::string>& ids) const;

  [[nodiscard]] const std::vector<ReplicaPtr>& ofService(std::string_view service) const;
  /// \return the replica of that id; null: none is registered.
  [[nodiscard]] ReplicaPtr find(std::string_view id) const;
  /// \return every registered replica.
  [[nodiscard]] std::vector<ReplicaPtr> all() const;
  [[nodiscard]] std::size_t size() const { return byId_.size(); }
  /// \return how many entries were ignored since their life had ended.
  [[nodiscard]] std::uint64_t outdatedEntries() const { return outdatedEntries_; }

 private:
  /// \return the start that is known of the id, registered or not.
  [[nodiscard]] std::optional<ReplicaStart> knownStartOf(const std::string& id) const;
  ReplicaPtr add(ReplicaEntry entry);
  ReplicaChange startAgain(ReplicaEntry entry, Instant beganAt);
  ReplicaChange update(const ReplicaPtr& replica, ReplicaEntry entry);
  void dropFromService(const ReplicaPtr& replica);

  std::map<std::string, ReplicaPtr, std::less<>> byId_;
  std::map<std::string, std::vector<ReplicaPtr>, std::less<>> byService_;
  DepartedReplicas departed_;
  std::uint64_t outdatedEntries_ = 0;
};

}  // namespace gorsetrail::routing
