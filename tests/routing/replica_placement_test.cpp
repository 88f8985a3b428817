// Placement of requests: rules, admission control, overflow and reported reasons.
#include "routing/replica_placement.h"

#include <algorithm>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/random.h"
// CppUTest redefines `new`: it comes after the standard headers.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::routing;

namespace {

/// Excludes the replicas of one zone.
class ZoneRule final : public PlacementRule {
 public:
  ZoneRule(std::string zone, ExclusionReason reason, Duration retryAfter)
      : zone_(std::move(zone)), reason_(reason), retryAfter_(retryAfter) {}
  std::optional<ExclusionReason> exclusionOf(const Replica& replica,
                                             const PlacementSubject& /*subject*/,
                                             Instant /*now*/) const override {
    ++asked[replica.entry.id];
    return replica.entry.zone == zone_ ? std::optional(reason_) : std::nullopt;
  }
  void onSent(const Replica& /*replica*/, Instant /*now*/) override { ++sent; }
  Duration retryAfter(ExclusionReason /*reason*/) const override { return retryAfter_; }

  int sent = 0;
  mutable std::map<std::string, int> asked;  ///< Number of calls, by replica id.

 private:
  std::string zone_;
  ExclusionReason reason_;
  Duration retryAfter_;
};

}  // namespace

TEST_GROUP(ReplicaPlacement) {
  ReplicaTable table;
  ReplicaSelector selector{"a", {}};
  AdmissionPolicy admission{{}};
  ZoneRule first{"a", ExclusionReason::ZoneEvacuated, milliseconds(700)};
  ZoneRule second{"b", ExclusionReason::ColdRateExhausted, milliseconds(90)};
  ReplicaPlacement placement{table, selector, admission, {&first, &second}};
  ReplicaPlacement withoutRules{table, selector, admission, {}};
  Instant now{seconds(100)};

  ReplicaPtr add(const std::string& id, const std::string& zone) {
    ReplicaEntry entry;
    entry.id = id;
    entry.service = "s";
    entry.zone = zone;
    entry.slots = 4;
    table.upsert(entry);
    return table.ofService("s").back();
  }
  static PlacementQuery query() {
    PlacementQuery made;
    made.replica.service = "s";
    return made;
  }
};

TEST(ReplicaPlacement, choosesOnlyReplicasAllowedByAllRules) {
  add("near", "a");
  add("cold", "b");
  const ReplicaPtr far = add("far", "c");
  const Placement found = placement.place(query(), now);
  POINTERS_EQUAL(far.get(), std::get<Placed>(found).replica.get());
}

TEST(ReplicaPlacement, reportsTheRuleThatExcludedMostReplicasAndItsRetryDelay) {
  add("a1", "a");
  add("a2", "a");
  add("b1", "b");
  const auto none = std::get<NoReplica>(placement.place(query(), now));
  CHECK(ExclusionReason::ZoneEvacuated == none.reason.value());
  CHECK(milliseconds(700) == none.retryAfter);
}

TEST(ReplicaPlacement, reportsNoRuleIfReplicasAreOnlyDraining) {
  add("a1", "c")->entry.draining = true;
  const auto none = std::get<NoReplica>(placement.place(query(), now));
  CHECK_FALSE(none.reason.has_value());
}

TEST(ReplicaPlacement, appliesTheSameRulesToResumedStreams) {
  const ReplicaPtr evacuated = add("a1", "a");
  const ReplicaPtr leaving = add("c1", "c");
  const ReplicaPtr free = add("c2", "c");
  leaving->gone = true;
  CHECK(ExclusionReason::ZoneEvacuated == placement.exclusionOf(*evacuated, {}, now).value());
  CHECK(ExclusionReason::Leaving == placement.exclusionOf(*leaving, {}, now).value());
  CHECK_FALSE(placement.exclusionOf(*free, {}, now).has_value());
}

TEST(ReplicaPlacement, notifiesAllRulesOfSentRequests) {
  const ReplicaPtr free = add("c1", "c");
  placement.onSent(*free, now);
  LONGS_EQUAL(1, first.sent);
  LONGS_EQUAL(1, second.sent);
}

TEST(ReplicaPlacement, appliesAdmissionControlOnlyIfRequested) {
  const ReplicaPtr busy = add("c1", "c");
  busy->inFlight = 40;
  PlacementQuery firstTurnQuery = query();
  firstTurnQuery.admission = AdmissionRequest{WorkStage::FirstTurn, 5};
  CHECK(std::holds_alternative<RefusedByAdmission>(withoutRules.place(firstTurnQuery, now)));
  CHECK(std::holds_alternative<Placed>(withoutRules.place(query(), now)));
}

// Guards against evaluating a rule twice per replica, which would distort rules that count
// requests.
TEST(ReplicaPlacement, evaluatesEachRuleOncePerReplica) {
  add("a1", "a");
  add("b1", "b");
  PlacementQuery keyedQuery = query();
  keyedQuery.replica.affinityKey = "p1";
  CHECK(std::holds_alternative<NoReplica>(placement.place(keyedQuery, now)));
  LONGS_EQUAL(1, first.asked["a1"]);
  LONGS_EQUAL(1, first.asked["b1"]);
  LONGS_EQUAL(1, second.asked["b1"]);
  add("c1", "c");
  CHECK(std::holds_alternative<Placed>(placement.place(keyedQuery, now)));
  LONGS_EQUAL(2, first.asked["a1"]);
  LONGS_EQUAL(1, second.asked["c1"]);
}

// Guards against refusing a long turn because its cheapest replica, which caches the prompt, is
// overloaded while other replicas are idle.
TEST(ReplicaPlacement, aLongTurnGoesWhereThereIsRoomWhenTheReplicaOfItsProgramIsFull) {
  const ReplicaPtr one = add("r1", "a");
  const ReplicaPtr other = add("r2", "a");
  PlacementQuery turn = query();
  turn.replica.affinityKey = "program";
  turn.replica.promptTokens = 6611;
  turn.admission = AdmissionRequest{WorkStage::Continuing, 1};
  const ReplicaPtr preferred = std::get<Placed>(withoutRules.place(turn, now)).replica;
  const ReplicaPtr idle = preferred == one ? other : one;
  preferred->inFlight = 9;  // It has 4 slots.
  const Placement found = withoutRules.place(turn, now);
  CHECK_TRUE(std::holds_alternative<Placed>(found));
  POINTERS_EQUAL(idle.get(), std::get<Placed>(found).replica.get());
}

// Guards against overdue programs that take free slots beyond their share of a service that has
// slowed down.
TEST(ReplicaPlacement, anOverdueTurnOverflowsOnlyWithinItsShareOfTheLearnedLimit) {
  const ReplicaPtr one = add("r1", "a");
  const ReplicaPtr other = add("r2", "a");
  PlacementQuery turn = query();
  turn.replica.affinityKey = "program";
  turn.replica.promptTokens = 6611;
  turn.admission = AdmissionRequest{WorkStage::Overdue, 1, {}, 1.2};
  const ReplicaPtr preferred = std::get<Placed>(withoutRules.place(turn, now)).replica;
  const ReplicaPtr idle = preferred == one ? other : one;
  preferred->inFlight = 9;  // It has 4 slots.
  idle->inFlight = 1;
  CHECK_TRUE(std::holds_alternative<Placed>(withoutRules.place(turn, now)));
  turn.admission->programLimit = 0.5;
  CHECK_TRUE(std::holds_alternative<RefusedByAdmission>(withoutRules.place(turn, now)));
}

namespace {

/// \return an attempt of a continuing program with a long prompt. The arguments must outlive it.
PlacementQuery longTurn(std::string_view program, std::string_view attempt) {
  PlacementQuery turn;
  turn.replica.service = "s";
  turn.replica.affinityKey = program;
  turn.replica.promptTokens = 6611;
  turn.admission = AdmissionRequest{WorkStage::Continuing, 1, attempt};
  return turn;
}

bool isPlaced(const Placement& placement) { return std::holds_alternative<Placed>(placement); }

}  // namespace

// Guards against refusing all attempts of a program under overload: one of 24 independent attempts
// must be placed while any replica admits first turns.
TEST(ReplicaPlacement, someAttemptOfAProgramIsPlacedWhileFirstTurnsAreAdmitted) {
  constexpr int kDraws = 300;
  constexpr int kAttempts = 24;
  constexpr AdmissionKnobs kKnobs;
  std::vector<ReplicaPtr> replicas;
  for (int index = 0; index < 11; ++index) {
    replicas.push_back(add("r" + std::to_string(index), "a"));
  }
  RandomSource random(1);
  int refusedOnce = 0;
  int refusedAlways = 0;
  int drawsWithoutCapacity = 0;
  for (int draw = 0; draw < kDraws; ++draw) {
    bool admitsFirstTurns = false;
    for (const ReplicaPtr& replica : replicas) {
      const bool isFull = random.below(10) < 7 || draw % 5 == 0;
      replica->inFlight = static_cast<std::uint32_t>(isFull ? 8 + random.below(5) : 3);
      admitsFirstTurns = admitsFirstTurns || replica->loadPerSlot() < kKnobs.firstTurn;
    }
    const std::string program = "program" + std::to_string(draw);
    int refused = 0;
    for (int index = 0; index < kAttempts; ++index) {
      const std::string attempt = program + "/" + std::to_string(index);
      refused += isPlaced(withoutRules.place(longTurn(program, attempt), now)) ? 0 : 1;
    }
    LONGS_EQUAL(admitsFirstTurns ? 0 : 1, refused == kAttempts ? 1 : 0);
    refusedOnce += refused > 0 ? 1 : 0;
    refusedAlways += refused == kAttempts ? 1 : 0;
    drawsWithoutCapacity += admitsFirstTurns ? 0 : 1;
  }
  LONGS_EQUAL(drawsWithoutCapacity, refusedAlways);
  CHECK_TRUE(refusedOnce > 2 * drawsWithoutCapacity &&
             drawsWithoutCapacity > 20);  // All cases occurred.
}

// Guards against reprocessing cached prompts during a burst without spare capacity: three of four
// attempts are refused until their replica has room, and first turns do not overflow.
TEST(ReplicaPlacement, aBurstWithoutSpareCapacityKeepsPromptsAtTheirReplica) {
  const ReplicaPtr one = add("r1", "a");
  const ReplicaPtr other = add("r2", "a");
  const ReplicaPtr preferred =
      std::get<Placed>(withoutRules.place(longTurn("program", "q"), now)).replica;
  const ReplicaPtr otherReplica = preferred == one ? other : one;
  preferred->inFlight = 9;
  otherReplica->inFlight = 3;  // It has 4 slots too.
  constexpr int kAttempts = 400;
  int refused = 0;
  for (int index = 0; index < kAttempts; ++index) {
    const std::string attempt = "q" + std::to_string(index);
    PlacementQuery turn = longTurn("program", attempt);
    refused += isPlaced(withoutRules.place(turn, now)) ? 0 : 1;
    turn.admission->stage = WorkStage::FirstTurn;
    CHECK_FALSE(isPlaced(withoutRules.place(turn, now)));
  }
  CHECK_TRUE(refused > kAttempts * 7 / 10 && refused < kAttempts * 8 / 10);
  PlacementQuery turn = longTurn("program", "q0");
  turn.admission->stage = WorkStage::FirstTurn;
  const auto taken = std::get<RefusedByAdmission>(withoutRules.place(turn, now));
  POINTERS_EQUAL(preferred.get(), taken.cheapestReplica.get());
  DOUBLES_EQUAL(0.75, taken.leastLoadPerSlot, 1e-9);
}

// Guards against refusing any program stage beside idle replicas.
TEST(ReplicaPlacement, refusesNoRequestWhileThereIsSpareCapacity) {
  for (int index = 0; index < 10; ++index) {
    add("r" + std::to_string(index), "a");
  }
  PlacementQuery query = longTurn("program", "q");
  const ReplicaPtr preferred = std::get<Placed>(withoutRules.place(query, now)).replica;
  preferred->inFlight = 10;
  for (const WorkStage stage : {WorkStage::FirstTurn, WorkStage::Runaway, WorkStage::Continuing}) {
    query.admission->stage = stage;
    CHECK_TRUE(isPlaced(withoutRules.place(query, now)));
  }
}

// An unreachable replica also has a low load: a turn sent there would time out instead of being
// refused at once.
TEST(ReplicaPlacement, doesNotOverflowToASuspectOrFullReplica) {
  std::vector<ReplicaPtr> replicas;
  for (int index = 0; index < 10; ++index) {
    replicas.push_back(add("r" + std::to_string(index), "a"));
  }
  const PlacementQuery turn = longTurn("program", "q1");
  const ReplicaPtr preferred = std::get<Placed>(withoutRules.place(turn, now)).replica;
  preferred->inFlight = 9;
  for (const ReplicaPtr& replica : replicas) {
    replica->suspectUntil = replica == preferred ? Instant{} : now + seconds(1);
  }
  CHECK_FALSE(isPlaced(withoutRules.place(turn, now)));
  for (const ReplicaPtr& replica : replicas) {
    replica->suspectUntil = {};
    if (replica != preferred) {
      replica->graceUntil = now + seconds(1);
    }
  }
  CHECK_FALSE(isPlaced(withoutRules.place(turn, now)));
  for (const ReplicaPtr& replica : replicas) {
    replica->graceUntil.reset();
    replica->fullUntil = replica == preferred ? Instant{} : now + milliseconds(60);
  }
  CHECK_FALSE(isPlaced(withoutRules.place(turn, now)));
  replicas.back()->fullUntil = now;
  replicas.front()->fullUntil = now;
  CHECK_TRUE(isPlaced(withoutRules.place(turn, now)));
}

// Guards against all programs of a full replica overflowing to the same replica, since nodes
// exchange their loads only a few times per second.
TEST(ReplicaPlacement, overflowSpreadsProgramsAndEachKeepsItsReplica) {
  std::vector<ReplicaPtr> replicas;
  for (int index = 0; index < 12; ++index) {
    replicas.push_back(add("r" + std::to_string(index), "a"));
  }
  std::map<const Replica*, int> chosen;
  int moved = 0;
  for (int index = 0; index < 300; ++index) {
    const std::string program = "program" + std::to_string(index);
    const PlacementQuery turn = longTurn(program, "q");
    const ReplicaPtr preferred = std::get<Placed>(withoutRules.place(turn, now)).replica;
    preferred->inFlight = 9;
    const ReplicaPtr second = std::get<Placed>(withoutRules.place(turn, now)).replica;
    CHECK(second != preferred);
    second->inFlight = 1;  // The overflowed turn, whose prompt is now cached there.
    CHECK(std::get<Placed>(withoutRules.place(turn, now)).replica == second);
    ++chosen[second.get()];
    ++moved;
    preferred->inFlight = 0;
    second->inFlight = 0;
  }
  LONGS_EQUAL(12, chosen.size());
  for (const auto& [replica, count] : chosen) {
    CHECK_TRUE(count < moved / 6);  // At most twice the mean.
  }
}

// Overflow must not use replicas that a rule excludes or that were tried, nor evaluate rules twice.
TEST(ReplicaPlacement, overflowsOnlyToReplicasAllowedByTheRules) {
  const ReplicaPtr full = add("c1", "c");
  add("a1", "a");  // Idle, but excluded by a rule.
  full->inFlight = 9;
  PlacementQuery turn = longTurn("program", "q1");
  CHECK_FALSE(isPlaced(placement.place(turn, now)));
  LONGS_EQUAL(1, first.asked["a1"]);
  LONGS_EQUAL(1, first.asked["c1"]);
  const ReplicaPtr idle = add("c2", "c");
  CHECK_TRUE(isPlaced(placement.place(turn, now)));
  const std::vector<ReplicaPtr> tried{idle};
  turn.replica.tried = &tried;
  CHECK_FALSE(isPlaced(placement.place(turn, now)));
}
