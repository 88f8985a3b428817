/// \file Remembers the replicas at which single requests ran without being answered, and decides
/// whether a request may run again. No I/O, no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/time.h"
#include "routing/registration_view.h"
#include "routing/replica_incarnation.h"
#include "routing/request_key.h"

namespace gorsetrail::routing {

/// What became of a run. Nodes that disagree take the state with the higher `verdictRank`.
enum class RunState : std::uint8_t {
  Uncertain,    ///< In progress, or interrupted: the replica may have ended.
  NotExecuted,  ///< The replica did not execute the request.
  Survived,     ///< The replica is known to have outlived the run, or the run was cleared.
  Ended,        ///< The replica ended.
};

/// One dispatch of a request to one incarnation of a replica. Each dispatch counts: a process that
/// took over a replica's id may be reached before its registration is read.
struct ReplicaRun {
  std::uint64_t number = 0;  ///< Random; identifies the run.
  std::string replicaId;
  std::optional<ReplicaStart> startedAt{};  ///< Unset: unknown.
  /// Of the program's lines of turns, the one whose request this is; a hash.
  std::uint32_t session = 0;
  /// The dispatch; of an interrupted run the interruption.
  Instant at{};
  /// Until then the replica may work on the run: the deadline that it was given.
  Instant mayRunUntil{};
  bool isInterrupted = false;  ///< It is not in progress any more, as its node sees it.
  RunState state = RunState::Uncertain;
  /// Incremented by the node that dispatched the run, with each interruption; the highest one is
  /// the newest. A verdict belongs to one revision.
  std::uint32_t revision = 0;
  /// The replica had broken off an earlier run without a sign of life since: it may have ended
  /// before this run reached it.
  bool atFailingReplica = false;
  /// When the replica was sent the request, over an open connection; unset: unknown.
  std::optional<Instant> sentAt{};
  /// When the replica last sent data of its answer to this run; unset: it sent none, or another
  /// node dispatched the run.
  std::optional<Instant> lastDataAt{};

  [[nodiscard]] bool isAtSameIncarnation(const ReplicaRun& other) const {
    return replicaId == other.replicaId && startedAt == other.startedAt;
  }
  /// \return whether the run counts against the limit of ended replicas.
  [[nodiscard]] bool counts() const {
    return state == RunState::Uncertain || state == RunState::Ended;
  }
};

/// The unanswered runs of one request, over all attempts of its client at all nodes.
struct RunHistory {
  std::vector<ReplicaRun> runs;
  Instant keepUntil{};

  /// \return the number of runs under which a replica ended, or may have ended.
  [[nodiscard]] std::size_t countedRuns() const;
};

/// Counted runs of one request that met the same process, if they met any.
using ProcessRuns = std::vector<const ReplicaRun*>;

/// Groups the counted runs by the processes that they may have ended. Two runs at one replica met
/// the same process if the later one was sent before the next process could have started: the
/// earlier one shows that its process lived until its last data, or that it had ended by the run
/// itself at the earliest when it was sent. A run of which that is not known has a group of its
/// own.
/// \param restartTime a process starts at least so long after the end of the one before it.
[[nodiscard]] std::vector<ProcessRuns> groupByProcess(const std::vector<ReplicaRun>& runs,
                                                      Duration restartTime);

/// What settled a run.
enum class RunEvidence : std::uint8_t {
  Replica,        ///< It says that it did not execute the request, or received no byte of it.
  Registrations,  ///< The registration of the incarnation is gone, by a read after the run.
  /// The replica answered a later request on a connection that was opened before the run.
  EarlierConnection,
  Answer,  ///< The replica answered this run whole.
  /// The session got a success of the request that was dispatched after the interruption.
  LaterSuccess,
  Operator,   ///< An operator let the request pass.
  OtherNode,  ///< Another node settled it.
};
/// \return a stable snake_case name for log lines.
[[nodiscard]] std::string_view runStateName(RunState state);
[[nodiscard]] std::string_view runEvidenceName(RunEvidence evidence);

/// Settings of `RunHistories`.
struct RunHistoryKnobs {
  /// Called when a run that was uncertain is settled, or a counted one is cleared.
  std::function<void(const RequestKey& request, const ReplicaRun& run, RunEvidence evidence)>
      onSettled{};
  /// A request is not dispatched again once so many replicas ended under it.
  std::size_t maximumEndedReplicas = 3;
  /// See `groupByProcess`. A process takes 200 ms to start; times from other nodes are late by up
  /// to 50 ms and 20 ms of rounding.
  Duration restartTime = milliseconds(130);
  /// Registrations of ended replicas are gone after this time, if the store answers.
  Duration registrationLapseTime = seconds(8);
  /// A run is settled about so long after it ended, if its replica lives. For the time that a
  /// refusal names; nothing is decided by it.
  Duration usualProofTime = milliseconds(500);
  /// Beyond this number, the history with the fewest counted runs that expires first is dropped.
  std::size_t maximumHistories = 4096;
  /// Of one request. The oldest that does not count is dropped first.
  std::size_t maximumRuns = 8;
};

/// Whether a request may be dispatched.
struct QuarantineDecision {
  bool isQuarantined = false;
  std::size_t endedReplicas = 0;      ///< Shown by the registrations.
  std::size_t uncertainReplicas = 0;  ///< Processes of which it is not known yet.
  /// Those of both that may be the same process as another one under their id.
  std::size_t repeatedReplicas = 0;
  /// No run is in progress, and the registrations of the uncertain replicas stand though they would
  /// be gone if these had ended, and none had started again under its id.
  bool mayLive = false;
  /// Set if the request is quarantined and may be dispatched again after about this time, should
  /// the uncertain replicas turn out to be alive.
  std::optional<Duration> retryAfter;
};

/// The histories of all requests that this node knows of. Merging is commutative and idempotent, so
/// that nodes agree in whatever order they learn of runs.
class RunHistories {
 public:
  explicit RunHistories(RunHistoryKnobs knobs) : knobs_(std::move(knobs)) {}

  /// \return the history of the request; null if there is none.
  [[nodiscard]] const RunHistory* find(const RequestKey& key) const;
  /// \return the number of a counted run at the same incarnation that was recorded since then;
  /// empty if there is none.
  [[nodiscard]] std::optional<std::uint64_t> runSince(const RequestKey& key, const ReplicaRun& run,
                                                      Instant since) const;
  /// Adds an uncertain run of this node, or a further interruption of it.
  void record(const RequestKey& key, ReplicaRun run, Instant keepUntil, Instant now);
  /// Settles a run.
  /// \return whether that is news.
  bool settle(const RequestKey& key, std::uint64_t number, RunState state, RunEvidence evidence);
  /// Clears the runs that were interrupted until then.
  /// \param session whose runs; unset: those of all.
  /// \return whether any counted.
  bool clear(const RequestKey& key, std::optional<std::uint32_t> session, Instant until,
             RunEvidence evidence);
  /// Adds what another node knows.
  /// \return whether anything was new.
  bool merge(const RequestKey& key, const RunHistory& other, Instant now);
  /// Settles uncertain runs of all requests by the registrations, and removes expired histories.
  void update(const RegistrationView& view, Instant now);
  [[nodiscard]] QuarantineDecision decide(const RequestKey& key, const RegistrationView& view,
                                          Instant now) const;

  /// \return a digest that is equal at nodes with the same histories, whatever their clocks.
  [[nodiscard]] std::uint64_t digest() const;
  [[nodiscard]] const std::unordered_map<RequestKey, RunHistory, RequestKeyHash>& all() const {
    return histories_;
  }
  [[nodiscard]] bool isEmpty() const { return histories_.empty(); }
  /// \return the number of requests that are not dispatched any more.
  [[nodiscard]] std::size_t quarantinedRequests() const;
  /// \return the number of histories dropped before their expiry.
  [[nodiscard]] std::uint64_t droppedHistories() const { return droppedHistories_; }

 private:
  /// \return the state of the run, considering the registrations.
  [[nodiscard]] RunState stateBy(const ReplicaRun& run, const RegistrationView& view) const;
  [[nodiscard]] Instant usuallySettledAt(const ReplicaRun& run, Instant now) const;
  RunHistory& historyFor(const RequestKey& key);
  void reportSettled(const RequestKey& key, const ReplicaRun& run, RunEvidence evidence) const;
  void dropLeastImportant();
  void dropLeastImportantRun(std::vector<ReplicaRun>& runs) const;
  /// Adds the run, or replaces an older revision of it.
  /// \return whether it was new.
  bool mergeRun(RunHistory& history, const ReplicaRun& run) const;

  RunHistoryKnobs knobs_;
  std::unordered_map<RequestKey, RunHistory, RequestKeyHash> histories_;
  std::uint64_t droppedHistories_ = 0;
};

}  // namespace gorsetrail::routing
