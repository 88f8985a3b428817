// The one step by which a request comes to a replica: rules, admission, and why there is none.
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

/// Keeps requests from the replicas of one zone.
class ZoneRule final : public PlacementRule {
 public:
  ZoneRule(std::string zone, ExclusionReason bar, Duration retryAfter)
      : zone_(std::move(zone)), bar_(bar), retryAfter_(retryAfter) {}
  std::optional<ExclusionReason> barOf(const Replica& replica, const PlacementSubject& /*subject*/,
                                       Instant /*now*/) const override {
    ++asked[replica.entry.id];
    return replica.entry.zone == zone_ ? std::optional(bar_) : std::nullopt;
  }
  void onSent(const Replica& /*replica*/, Instant /*now*/) override { ++sent; }
  Duration retryAfter(ExclusionReason /*bar*/) const override { return retryAfter_; }

  int sent = 0;
  mutable std::map<std::string, int> asked;  ///< By the replica's id.

 private:
  std::string zone_;
  ExclusionReason bar_;
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

TEST(ReplicaPlacement, choosesOnlyReplicasThatAllRulesAllow) {
  add("near", "a");
  add("cold", "b");
  const ReplicaPtr far = add("far", "c");
  const Placement found = placement.place(query(), now);
  POINTERS_EQUAL(far.get(), std::get<Placed>(found).replica.get());
}

TEST(ReplicaPlacement, namesTheRuleThatKeptMostReplicasBackAndWhenToComeAgain) {
  add("a1", "a");
  add("a2", "a");
  add("b1", "b");
  const auto none = std::get<NoReplica>(placement.place(query(), now));
  CHECK(ExclusionReason::ZoneEvacuated == none.bar.value());
  CHECK(milliseconds(700) == none.retryAfter);
}

TEST(ReplicaPlacement, namesNoRuleWhereReplicasOnlyLeave) {
  add("a1", "c")->entry.draining = true;
  const auto none = std::get<NoReplica>(placement.place(query(), now));
  CHECK_FALSE(none.bar.has_value());
}

TEST(ReplicaPlacement, bindsTheReplicaWhereAStreamWouldGoOnByTheSameRules) {
  const ReplicaPtr evacuated = add("a1", "a");
  const ReplicaPtr leaving = add("c1", "c");
  const ReplicaPtr free = add("c2", "c");
  leaving->gone = true;
  CHECK(ExclusionReason::ZoneEvacuated == placement.barOf(*evacuated, {}, now).value());
  CHECK(ExclusionReason::Leaving == placement.barOf(*leaving, {}, now).value());
  CHECK_FALSE(placement.barOf(*free, {}, now).has_value());
}

TEST(ReplicaPlacement, tellsAllRulesOfWhatWasSent) {
  const ReplicaPtr free = add("c1", "c");
  placement.onSent(*free, now);
  LONGS_EQUAL(1, first.sent);
  LONGS_EQUAL(1, second.sent);
}

TEST(ReplicaPlacement, asksAdmissionOnlyForWorkThatMayBeTurnedAway) {
  const ReplicaPtr busy = add("c1", "c");
  busy->inFlight = 40;
  PlacementQuery beginning = query();
  beginning.admission = AdmissionRequest{WorkStage::FirstTurn, 5};
  CHECK(std::holds_alternative<PlacesTaken>(withoutRules.place(beginning, now)));
  CHECK(std::holds_alternative<Placed>(withoutRules.place(query(), now)));
}

// Evacuated replicas are passed over in every placement, and where nothing is left the reason is
// wanted too: rules that count or draw must not be asked more often for that.
TEST(ReplicaPlacement, asksEachRuleOnceForEachReplica) {
  add("a1", "a");
  add("b1", "b");
  PlacementQuery kept = query();
  kept.replica.affinityKey = "p1";
  CHECK(std::holds_alternative<NoReplica>(placement.place(kept, now)));
  LONGS_EQUAL(1, first.asked["a1"]);
  LONGS_EQUAL(1, first.asked["b1"]);
  LONGS_EQUAL(1, second.asked["b1"]);
  add("c1", "c");
  CHECK(std::holds_alternative<Placed>(placement.place(kept, now)));
  LONGS_EQUAL(2, first.asked["a1"]);
  LONGS_EQUAL(1, second.asked["c1"]);
}

// After a loss of all power, turns that go on from earlier ones were refused as often as they
// asked, within 3 ms, while shorter requests were served. Admission was asked about one replica
// alone, the cheapest one. Reading a long prompt elsewhere costs more than any queue, so for a
// prompt of some thousand tokens that stayed the replica that its program prefers, also when it had
// twice as much to do as it works on at once and others had nothing. In a day's log all 701
// refusals named a replica with room, such as
//   placement_refused stage=continuing prompt_tokens=6611 replica=i-bd1b119e9f load_percent=212
//   least_load_percent=0
TEST(ReplicaPlacement, aLongTurnGoesWhereThereIsRoomWhenTheReplicaOfItsProgramIsFull) {
  const ReplicaPtr one = add("r1", "a");
  const ReplicaPtr other = add("r2", "a");
  PlacementQuery turn = query();
  turn.replica.affinityKey = "program";
  turn.replica.promptTokens = 6611;
  turn.admission = AdmissionRequest{WorkStage::Continuing, 1};
  const ReplicaPtr preferred = std::get<Placed>(withoutRules.place(turn, now)).replica;
  const ReplicaPtr idle = preferred == one ? other : one;
  preferred->inFlight = 9;  // Slots: 4.
  const Placement found = withoutRules.place(turn, now);
  CHECK_TRUE(std::holds_alternative<Placed>(found));
  POINTERS_EQUAL(idle.get(), std::get<Placed>(found).replica.get());
}

namespace {

/// \return a try of a turn that goes on with a long prompt. The names outlive it.
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

// The load of the seconds after a loss of all power, in 300 draws: prompts of some thousand tokens,
// and replicas between idle and three times full, none of them with spare room for all. A program
// asks 24 times at nodes that know nothing of each other, and is placed at one of the tries while
// any replica admits first turns.
TEST(ReplicaPlacement, noProgramIsRefusedAtAllItsTriesWhileFirstTurnsHaveRoom) {
  constexpr int kDraws = 300;
  constexpr int kTries = 24;
  constexpr AdmissionKnobs kKnobs;
  std::vector<ReplicaPtr> replicas;
  for (int number = 0; number < 11; ++number) {
    replicas.push_back(add("r" + std::to_string(number), "a"));
  }
  RandomSource random(1);
  int refusedOnce = 0;
  int refusedAtAll = 0;
  int withoutRoom = 0;
  for (int draw = 0; draw < kDraws; ++draw) {
    bool hasRoom = false;
    for (const ReplicaPtr& replica : replicas) {
      const bool isFull = random.below(10) < 7 || draw % 5 == 0;
      replica->inFlight = static_cast<std::uint32_t>(isFull ? 8 + random.below(5) : 3);
      hasRoom = hasRoom || replica->loadPerSlot() < kKnobs.firstTurn;
    }
    const std::string program = "program" + std::to_string(draw);
    int refused = 0;
    for (int number = 0; number < kTries; ++number) {
      const std::string attempt = program + "/" + std::to_string(number);
      refused += isPlaced(withoutRules.place(longTurn(program, attempt), now)) ? 0 : 1;
    }
    LONGS_EQUAL(hasRoom ? 0 : 1, refused == kTries ? 1 : 0);
    refusedOnce += refused > 0 ? 1 : 0;
    refusedAtAll += refused == kTries ? 1 : 0;
    withoutRoom += hasRoom ? 0 : 1;
  }
  LONGS_EQUAL(withoutRoom, refusedAtAll);
  CHECK_TRUE(refusedOnce > 2 * withoutRoom && withoutRoom > 20);  // Each case was drawn.
}

// A burst of programs beyond what the engines can do: every replica has more to do than half of its
// slots. Prompts that are read anew elsewhere would take from all what the burst leaves, so three
// of four tries wait for the replica that holds the prompt, and first turns do not fill the others.
TEST(ReplicaPlacement, aBurstBeyondTheEnginesKeepsPromptsWhereTheyAre) {
  const ReplicaPtr one = add("r1", "a");
  const ReplicaPtr other = add("r2", "a");
  const ReplicaPtr preferred =
      std::get<Placed>(withoutRules.place(longTurn("program", "q"), now)).replica;
  const ReplicaPtr dearer = preferred == one ? other : one;
  preferred->inFlight = 9;
  dearer->inFlight = 3;  // Of 4 slots.
  constexpr int kTries = 400;
  int refused = 0;
  for (int number = 0; number < kTries; ++number) {
    const std::string attempt = "q" + std::to_string(number);
    PlacementQuery turn = longTurn("program", attempt);
    refused += isPlaced(withoutRules.place(turn, now)) ? 0 : 1;
    turn.admission->stage = WorkStage::FirstTurn;
    CHECK_FALSE(isPlaced(withoutRules.place(turn, now)));
  }
  CHECK_TRUE(refused > kTries * 7 / 10 && refused < kTries * 8 / 10);
  PlacementQuery turn = longTurn("program", "q0");
  turn.admission->stage = WorkStage::FirstTurn;
  const auto taken = std::get<PlacesTaken>(withoutRules.place(turn, now));
  POINTERS_EQUAL(preferred.get(), taken.judged.get());
  DOUBLES_EQUAL(0.75, taken.leastLoadPerSlot, 1e-9);
}

// Of 701 refusals of a day 349 were of first turns and 342 of programs near the end of their
// budgets, beside replicas without work.
TEST(ReplicaPlacement, noWorkIsRefusedWhileThereIsSpareRoom) {
  for (int number = 0; number < 10; ++number) {
    add("r" + std::to_string(number), "a");
  }
  PlacementQuery query = longTurn("program", "q");
  const ReplicaPtr preferred = std::get<Placed>(withoutRules.place(query, now)).replica;
  preferred->inFlight = 10;
  for (const WorkStage stage : {WorkStage::FirstTurn, WorkStage::Runaway, WorkStage::Continuing}) {
    query.admission->stage = stage;
    CHECK_TRUE(isPlaced(withoutRules.place(query, now)));
  }
}

// One that is out of reach has little to do, too: a turn sent there would wait for its time limit
// instead of being told at once to come back.
TEST(ReplicaPlacement, aTurnWhoseReplicaIsFullDoesNotGoToOneThatLooksDeadOrRefused) {
  std::vector<ReplicaPtr> replicas;
  for (int number = 0; number < 10; ++number) {
    replicas.push_back(add("r" + std::to_string(number), "a"));
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

// Nodes share their loads some times a second only: with one second choice for all, the programs of
// a full replica would crowd onto the next one.
TEST(ReplicaPlacement, programsOfAFullReplicaSpreadAndEachKeepsItsSecondChoice) {
  std::vector<ReplicaPtr> replicas;
  for (int number = 0; number < 12; ++number) {
    replicas.push_back(add("r" + std::to_string(number), "a"));
  }
  std::map<const Replica*, int> chosen;
  int moved = 0;
  for (int number = 0; number < 300; ++number) {
    const std::string program = "program" + std::to_string(number);
    const PlacementQuery turn = longTurn(program, "q");
    const ReplicaPtr preferred = std::get<Placed>(withoutRules.place(turn, now)).replica;
    preferred->inFlight = 9;
    const ReplicaPtr second = std::get<Placed>(withoutRules.place(turn, now)).replica;
    CHECK(second != preferred);
    second->inFlight = 1;  // Its own turn a moment ago: the prompt is there now.
    CHECK(std::get<Placed>(withoutRules.place(turn, now)).replica == second);
    ++chosen[second.get()];
    ++moved;
    preferred->inFlight = 0;
    second->inFlight = 0;
  }
  LONGS_EQUAL(12, chosen.size());
  for (const auto& [replica, count] : chosen) {
    CHECK_TRUE(count < moved / 6);  // Twice an even share.
  }
}

// Rules are asked once, also where the cheapest replica is full; one that a rule keeps back is no
// way out, and neither is one that was tried.
TEST(ReplicaPlacement, aTurnWhoseReplicaIsFullGoesOnlyWhereTheRulesAllow) {
  const ReplicaPtr full = add("c1", "c");
  add("a1", "a");  // Idle, and kept back by a rule.
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
