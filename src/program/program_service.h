/// \file What the node asks of the program subsystem, and what it answers: no I/O, no clock.
#pragma once

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "base/time.h"
#include "program/journal_interface.h"

namespace gorsetrail::program {

/// Where an acknowledged turn stands.
enum class Durability : std::uint8_t {
  ZoneQuorum,  ///< On a quorum in the home zone only: the zone is cut off and the log down.
  ZoneQuorumAndRemote,  ///< And on a node of another zone, or in the log.
};

/// A call as the front hands it over, already checked against the bundle.
struct CallAdmission {
  CallHandle handle;
  ProgramKey key;
  std::string branchPath;  ///< Path of the sub-agent under the root program; empty for the root.
  std::string idempotencyKey;  ///< Never empty; the front makes one for a repeatable call without.
  bool repeatable = true;
  std::string messages;  ///< JSON array of the request's messages, whole.
  ContentDigest content;
  std::uint32_t maximumTokens = 0;
  Instant deadline;
  BudgetLimits limits;  ///< From the bundle in force; used when the call opens the program.
};

/// How a dispatched call ended, as the call's state machine saw it.
struct CallOutcome {
  CallStatus status = CallStatus::Unknown;
  std::uint32_t usedTokens = 0;
  Duration used{};
  std::string answer;
};

/// The call may be dispatched now, under this id. For a non-repeatable call the intent stands.
struct CallAdmitted {
  CallHandle handle;
  DispatchId dispatch;
  std::uint64_t programAttainedTokens = 0;  ///< Tokens the program has used, for its priority.
};
/// The request ran before; this is its stored answer.
struct CallReplayed {
  CallHandle handle;
  std::string answer;
};
/// The call is refused; nothing of it was dispatched unless `error.outcome` says otherwise.
struct CallRefused {
  CallHandle handle;
  Error error;
};
/// The outcome stands on a quorum; the caller may be answered.
struct OutcomeRecorded {
  CallHandle handle;
  Durability durability = Durability::ZoneQuorum;
};
/// The program was closed; its holds on engines may be freed.
struct ProgramEnded {
  ProgramId program;
};
/// A message for another node (or for this one: the node loops it back).
struct SendJournalMessage {
  NodeId to;
  JournalMessage message;
};
/// Entries that should be appended to the platform's log when it can take them.
struct AppendToLog {
  ProgramId program;
  ProgramKey key;
  std::vector<JournalEntry> entries;
};

using ProgramCommand = std::variant<CallAdmitted, CallReplayed, CallRefused, OutcomeRecorded,
                                    ProgramEnded, SendJournalMessage, AppendToLog>;

/// Answers of membership that ownership needs; implemented by the node from membership's view.
class PeerLiveness {
 public:
  virtual ~PeerLiveness() = default;
  /// \return whether that life of the node is believed to run (suspected counts as not).
  [[nodiscard]] virtual bool isAlive(NodeId node, Incarnation incarnation) const = 0;
  /// \return `http://host:port` of the node's caller side, for redirects; empty when unknown.
  [[nodiscard]] virtual std::string callerAddressOf(NodeId node) const = 0;
};

/// Replica groups by program; fixed for a group version.
class ReplicaGroups {
 public:
  virtual ~ReplicaGroups() = default;
  struct Group {
    GroupVersion version;
    std::vector<NodeId> members;
  };
  /// \return the group of a program in its home zone; no members when the zone is unknown.
  [[nodiscard]] virtual Group groupOf(const std::string& homeZone, ProgramId program) const = 0;
};

/// Summary of a program for `/v1/programs/{id}` and the operators.
struct ProgramSummary {
  ProgramKey key;
  Epoch epoch;
  std::uint32_t callsMade = 0;
  std::uint64_t tokensUsed = 0;
  bool closed = false;
  std::string history;  ///< JSON array of messages and answers of the root branch, in order.
};

/// Owner and replica sides of one node. Single-threaded; not owned by any I/O.
class ProgramService {
 public:
  virtual ~ProgramService() = default;
  /// Takes a call; ends in exactly one of CallAdmitted, CallReplayed, CallRefused.
  virtual void admitCall(const CallAdmission& admission, Instant now) = 0;
  /// Records how an admitted call ended; ends in OutcomeRecorded or CallRefused (stale epoch).
  virtual void recordOutcome(CallHandle handle, const CallOutcome& outcome, Instant now) = 0;
  /// Closes a program; ends in ProgramEnded, or CallRefused under `handle`.
  virtual void closeProgram(CallHandle handle, const ProgramKey& key, Instant now) = 0;
  virtual void onJournalMessage(NodeId from, const JournalMessage& message, Instant now) = 0;
  /// Called every 10 ms to 100 ms: timeouts, resends, leases.
  virtual void onTick(Instant now) = 0;
  /// Planned stop: admits nothing more; releases each program once its calls have ended.
  virtual void beginStop(Instant now) = 0;
  /// \return whether nothing is under way any more, and no other replica is known to lack what
  /// this node holds (for the latter it waits `handoverTimeout` at most).
  [[nodiscard]] virtual bool isDrained() const = 0;
  /// \return a summary if this node owns or replicates the program.
  [[nodiscard]] virtual std::optional<ProgramSummary> summaryOf(const ProgramKey& key) const = 0;
  /// \return and clears what has to be done, in order.
  [[nodiscard]] virtual std::vector<ProgramCommand> takeCommands() = 0;
};
using ProgramServicePtr = std::unique_ptr<ProgramService>;

/// Limits and timings of the subsystem (FoundationDB calls such a set knobs).
struct ProgramKnobs {
  Duration resendInterval = milliseconds(50);
  Duration quorumTimeout = milliseconds(1500);
  Duration idleLease = seconds(900);
  std::size_t maximumQueuedCallsPerBranch = 16;
  /// Answers above it are kept whole all the same (a cut answer is not the answer); the program
  /// then takes no further call once its journal exceeds `maximumProgramBytes`.
  std::size_t maximumAnswerBytesKept = std::size_t{64} * 1024;
  std::size_t maximumProgramBytes = std::size_t{2} * 1024 * 1024;
  Duration closedRetention = seconds(300);  ///< Closed programs still replay answers that long.
  /// A replica that has run that long trusts that it never held a program it does not know.
  Duration replicaSeasoning = seconds(1800);
  /// Time in which a restarted replica is told of the programs it forgot, if anybody knows them.
  Duration catchUpTime = seconds(15);
  /// Programs a second for which this node helps to refill restarted replicas, so that the repair
  /// of a whole node's copies does not crowd out calls.
  std::uint32_t repairsPerSecond = 200;
  /// How long a planned stop waits for copies that other members of the groups still lack.
  Duration handoverTimeout = seconds(5);
};

/// \param liveness, groups outlive the service.
ProgramServicePtr makeProgramService(NodeId self, Incarnation incarnation, ProgramKnobs knobs,
                                     const PeerLiveness& liveness, const ReplicaGroups& groups);

}  // namespace gorsetrail::program
