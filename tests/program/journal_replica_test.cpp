// The receiver side alone: what one replica answers to each kind of message.
#include "program/journal_replica.h"

#include "program/epochs.h"

// CppUTest last: it replaces operator new.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::program;

namespace {

struct OneGroup final : ReplicaGroups {
  [[nodiscard]] Group groupOf(const std::string& zone, ProgramId) const override {
    return zone == "zone-1" ? Group{GroupVersion(3), {NodeId(1), NodeId(2), NodeId(3)}} : Group{};
  }
};

const ProgramKey kKey{"zone-1", "tenant", "program"};
const ProgramId kProgram = programIdOf(kKey);

ProgramKnobs trustingKnobs() {
  ProgramKnobs knobs;
  knobs.replicaSeasoning = Duration{};  // A life that is long enough to trust its ignorance.
  return knobs;
}

JournalEntry intentAt(std::uint64_t sequence) {
  return {SequenceNumber(sequence), Epoch(1), IntentEntry{}};
}

}  // namespace

TEST_GROUP(JournalReplica) {
  OneGroup groups;
  CommandQueue commands;
  JournalReplica replica{NodeId(1), Incarnation(1), trustingKnobs(), groups, commands};
  Instant now{};

  void seal(Epoch epoch, std::uint32_t node, std::uint64_t incarnation = 1) {
    replica.onSealRequest(
        NodeId(node), {kProgram, GroupVersion(3), epoch, NodeId(node), Incarnation(incarnation)},
        now);
  }
  void append(Epoch epoch, std::uint32_t node, std::vector<JournalEntry> entries, bool withBase,
              GroupVersion group = GroupVersion(3)) {
    AppendRequest request{kProgram, group, epoch, NodeId(node), std::nullopt, std::move(entries)};
    if (withBase) {
      request.base = ProgramRecord{kKey, {}, {}, false};
    }
    replica.onAppendRequest(NodeId(node), request, now);
  }
  template <class Message>
  Message only() {
    const auto taken = commands.take();
    LONGS_EQUAL(1, taken.size());
    return std::get<Message>(std::get<SendJournalMessage>(taken.front()).message);
  }
  AppendReply reply() { return only<AppendReply>(); }
};

TEST(JournalReplica, itRefusesLowerEpochsAndNamesTheOwner) {
  seal(epochAbove(Epoch{}, NodeId(5)), 5);
  CHECK(std::holds_alternative<SealGranted>(only<SealReply>().verdict));
  seal(epochAbove(Epoch{}, NodeId(4)), 4);
  const auto refused = std::get<SealRefused>(only<SealReply>().verdict);
  CHECK(refused.owner == NodeId(5));
  CHECK(refused.ownerIncarnation == Incarnation(1));
  append(epochAbove(Epoch{}, NodeId(4)), 4, {intentAt(1)}, true);
  CHECK(reply().verdict == AppendVerdict::StaleEpoch);
}

TEST(JournalReplica, anotherCandidateOfTheSameRoundIsRefusedWhileAnOwnerIsNamed) {
  seal(firstEpoch(NodeId(4)), 4);
  commands.take();
  CHECK(firstEpoch(NodeId(4)) < firstEpoch(NodeId(5)));
  seal(firstEpoch(NodeId(5)), 5);
  CHECK(std::get<SealRefused>(only<SealReply>().verdict).owner == NodeId(4));
  seal(epochAbove(firstEpoch(NodeId(4)), NodeId(5)), 5);
  CHECK(std::holds_alternative<SealGranted>(only<SealReply>().verdict));
}

TEST(JournalReplica, theSameEpochIsGrantedAgainToTheSameLifeOnly) {
  seal(firstEpoch(NodeId(5)), 5, 1);
  commands.take();
  seal(firstEpoch(NodeId(5)), 5, 1);
  CHECK(std::holds_alternative<SealGranted>(only<SealReply>().verdict));
  seal(firstEpoch(NodeId(5)), 5, 2);
  CHECK(std::holds_alternative<SealRefused>(only<SealReply>().verdict));
}

TEST(JournalReplica, itStoresNothingBeforeItPromised) {
  append(firstEpoch(NodeId(5)), 5, {intentAt(1)}, true);
  CHECK(reply().verdict == AppendVerdict::MissingPrefix);
  POINTERS_EQUAL(nullptr, replica.recordOf(kProgram));
}

TEST(JournalReplica, itStoresWithoutGapsAndConfirmsThePrefix) {
  const Epoch epoch = firstEpoch(NodeId(5));
  seal(epoch, 5);
  commands.take();
  append(epoch, 5, {intentAt(1)}, false);
  CHECK(reply().verdict == AppendVerdict::MissingPrefix);
  append(epoch, 5, {intentAt(1)}, true);
  LONGS_EQUAL(1, reply().storedThrough.value());
  append(epoch, 5, {intentAt(3)}, false);
  const AppendReply gap = reply();
  CHECK(gap.verdict == AppendVerdict::MissingPrefix);
  LONGS_EQUAL(1, gap.storedThrough.value());
  append(epoch, 5, {intentAt(1), intentAt(2)}, false);
  LONGS_EQUAL(2, reply().storedThrough.value());
  append(epoch, 5, {}, true);  // An old, shorter base that comes late takes nothing away.
  LONGS_EQUAL(2, reply().storedThrough.value());
}

TEST(JournalReplica, anotherGroupVersionIsRefusedAndToldTheMembers) {
  replica.learnZone("zone-1", kProgram);
  replica.onSealRequest(
      NodeId(5), {kProgram, GroupVersion(2), firstEpoch(NodeId(5)), NodeId(5), Incarnation(1)},
      now);
  const auto changed = std::get<GroupChanged>(only<SealReply>().verdict);
  CHECK(changed.current == GroupVersion(3));
  LONGS_EQUAL(3, changed.members.size());
  append(firstEpoch(NodeId(5)), 5, {intentAt(1)}, true, GroupVersion(2));
  CHECK(reply().verdict == AppendVerdict::WrongGroup);
}

TEST(JournalReplica, aBarrierFencesOnceForEachLifeOfTheAsker) {
  const Epoch epoch = firstEpoch(NodeId(5));
  seal(epoch, 5);
  commands.take();
  const auto ask = [&](std::uint64_t incarnation) {
    seal(barrierRequestEpoch(Incarnation(incarnation)), 2, incarnation);
  };
  ask(7);
  const auto first = std::get<SealGranted>(only<SealReply>().verdict);
  CHECK(epoch < first.lastWritten);
  ask(7);
  CHECK(std::get<SealGranted>(only<SealReply>().verdict).lastWritten == first.lastWritten);
  ask(8);
  const auto later = std::get<SealGranted>(only<SealReply>().verdict);
  CHECK(first.lastWritten < later.lastWritten);
  CHECK((later.lastWritten.value() & kEarlierLifeBit) != 0);
  ask(7);  // A late message of the life before: not answered, fences nothing.
  CHECK(commands.take().empty());
  append(epoch, 5, {intentAt(1)}, true);
  CHECK(reply().verdict == AppendVerdict::StaleEpoch);
}

TEST(JournalReplica, aReleasedProgramNamesNoOwner) {
  const Epoch epoch = firstEpoch(NodeId(5));
  seal(epoch, 5);
  commands.take();
  replica.onRelease({kProgram, epoch});
  seal(firstEpoch(NodeId(4)), 4);
  CHECK(std::get<SealRefused>(only<SealReply>().verdict).owner == NodeId{});
}
