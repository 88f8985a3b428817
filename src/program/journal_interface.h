/// \file Messages between the owner of a program and the replicas of its journal.
///
/// One owner (any node) writes; a fixed group of replicas in the program's home zone promises and
/// stores. A replica refuses every epoch lower than the highest it promised, so a paused owner
/// that wakes up after a takeover is fenced without any clock. A record stands once a quorum of
/// the group stored it; a seal reads a quorum, so the two always intersect.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/ids.h"

namespace gorsetrail::program {

/// Number of a replica group's member list; replicas refuse any other than the one they are in.
using GroupVersion = StrongId<struct GroupVersionTag, std::uint32_t>;
/// A sub-agent's line of calls within a program tree; 0 is the root program itself.
using BranchId = StrongId<struct BranchIdTag, std::uint64_t>;

/// What a journal says of one call before it is dispatched.
struct IntentEntry {
  CallNumber call;
  BranchId branch;
  RequestDigest request;
  ContentDigest
      content;  ///< Of the whole request: the same request id must carry the same content.
  bool repeatable = true;
  std::uint32_t reservedTokens = 0;
  std::string messages;  ///< JSON array: the messages this call adds to the branch's history.
};

/// How a dispatched call ended.
enum class CallStatus : std::uint8_t { Completed, Failed, NotRun, Unknown };

/// What a journal says of one call after it ended.
struct OutcomeEntry {
  CallNumber call;
  CallStatus status = CallStatus::Unknown;
  std::uint32_t usedTokens = 0;
  std::uint32_t usedMilliseconds = 0;
  std::string answer;  ///< The caller's answer, replayed for the same request id.
};

/// The program was closed by its caller or by its lease; nothing follows.
struct CloseEntry {};

using EntryBody = std::variant<IntentEntry, OutcomeEntry, CloseEntry>;

/// One record of a program's journal.
struct JournalEntry {
  SequenceNumber sequence;
  Epoch epoch;  ///< Epoch of the owner that wrote it.
  EntryBody body;
};

/// What a program may use over its whole life, sub-agents included.
struct BudgetLimits {
  std::uint32_t calls = 0;
  std::uint64_t tokens = 0;
  std::uint32_t seconds = 0;
};

/// All that a replica holds of one program.
struct ProgramRecord {
  ProgramKey key;
  BudgetLimits limits;
  std::vector<JournalEntry> entries;
  bool closed = false;
};

/// Asks a replica to promise `epoch` and to tell what it holds; opens the program if nobody has it.
struct SealRequest {
  ProgramId program;
  GroupVersion group;
  Epoch epoch;
  NodeId candidate;
  Incarnation candidateIncarnation;
};

/// The replica promised; no lower epoch is stored by it from now on.
struct SealGranted {
  Epoch lastWritten;  ///< Highest epoch of which it stored an entry; 0 when it has none.
  std::optional<ProgramRecord> record;
};
/// A higher or equal epoch was promised before to `owner`.
struct SealRefused {
  Epoch promised;
  NodeId owner;
  Incarnation ownerIncarnation;
};
/// The replica is in another version of the group.
struct GroupChanged {
  GroupVersion current;
  std::vector<NodeId> members;
};

struct SealReply {
  ProgramId program;
  Epoch epoch;  ///< Of the request.
  std::variant<SealGranted, SealRefused, GroupChanged> verdict;
};

/// Stores entries at a replica. Entries up to `first - 1` must be there already, or come as
/// `base` (the whole record, first write of an epoch after a takeover).
struct AppendRequest {
  ProgramId program;
  GroupVersion group;
  Epoch epoch;
  NodeId owner;
  std::optional<ProgramRecord> base;
  std::vector<JournalEntry> entries;
};

/// Verdict of a replica on an append.
enum class AppendVerdict : std::uint8_t {
  Stored,
  StaleEpoch,     ///< A higher epoch was promised; the sender is no longer the owner.
  MissingPrefix,  ///< The replica lacks earlier entries (restarted, or a lost message): send
                  ///< `base`.
  WrongGroup,
};

struct AppendReply {
  ProgramId program;
  Epoch epoch;  ///< Of the request.
  AppendVerdict verdict = AppendVerdict::Stored;
  SequenceNumber storedThrough;  ///< Every entry up to here stands at this replica.
  Epoch promised;
};

/// The owner gives the program up (planned stop, idle): a seal by anybody may follow at once.
struct ReleaseNotice {
  ProgramId program;
  Epoch epoch;
};

using JournalMessage =
    std::variant<SealRequest, SealReply, AppendRequest, AppendReply, ReleaseNotice>;

}  // namespace gorsetrail::program
