// The one step by which a request comes to a replica: rules, admission, and why there is none.
#include "routing/replica_placement.h"

#include <algorithm>
#include <map>
#include <string>
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
  ZoneRule(std::string zone, PlacementBar bar, Duration retryAfter)
      : zone_(std::move(zone)), bar_(bar), retryAfter_(retryAfter) {}
  std::optional<PlacementBar> barOf(const Replica& replica, const PlacementSubject& /*subject*/,
                                    Instant /*now*/) const override {
    ++asked[replica.entry.id];
    return replica.entry.zone == zone_ ? std::optional(bar_) : std::nullopt;
  }
  void onSent(const Replica& /*replica*/, Instant /*now*/) override { ++sent; }
  Duration retryAfter(PlacementBar /*bar*/) const override { return retryAfter_; }

  int sent = 0;
  mutable std::map<std::string, int> asked;  ///< By the replica's id.

 private:
  std::string zone_;
  PlacementBar bar_;
  Duration retryAfter_;
};

}  // namespace

TEST_GROUP(ReplicaPlacement) {
  ReplicaTable table;
  ReplicaSelector selector{"a", {}};
  AdmissionPolicy admission{{}};
  ZoneRule first{"a", PlacementBar::ZoneEvacuated, milliseconds(700)};
  ZoneRule second{"b", PlacementBar::ColdRateSpent, milliseconds(90)};
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
  CHECK(PlacementBar::ZoneEvacuated == none.bar.value());
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
  CHECK(PlacementBar::ZoneEvacuated == placement.barOf(*evacuated, {}, now).value());
  CHECK(PlacementBar::Leaving == placement.barOf(*leaving, {}, now).value());
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

// The load of the seconds after a loss of all power, in 300 draws: prompts of some thousand tokens,
// and replicas between idle and three times full. A turn that goes on is refused only where fewer
// than half of the replicas are spare, and a program that was refused only where no replica has
// room for first turns.
TEST(ReplicaPlacement, noProgramIsRefusedAgainWhileFirstTurnsHaveRoom) {
  constexpr int kDraws = 300;
  constexpr AdmissionKnobs kKnobs;
  std::vector<ReplicaPtr> replicas;
  for (int number = 0; number < 11; ++number) {
    replicas.push_back(add("r" + std::to_string(number), "a"));
  }
  const auto below = [&](double limit) {
    return std::count_if(replicas.begin(), replicas.end(), [limit](const ReplicaPtr& replica) {
      return replica->loadPerSlot() < limit;
    });
  };
  RandomSource random(1);
  int refusedOnce = 0;
  int refusedAgain = 0;
  for (int draw = 0; draw < kDraws; ++draw) {
    const std::uint64_t full = random.below(10);
    for (const ReplicaPtr& replica : replicas) {
      const bool isFull = random.below(10) < full || draw % 5 == 0;
      replica->inFlight =
          static_cast<std::uint32_t>(isFull ? 8 + random.below(5) : random.below(8));
    }
    PlacementQuery turn = query();
    const std::string program = "program" + std::to_string(draw);
    turn.replica.affinityKey = program;
    turn.replica.promptTokens = 4000 + random.below(16000);
    turn.admission = AdmissionRequest{WorkStage::Continuing, 1};
    const bool isRefused = std::holds_alternative<PlacesTaken>(withoutRules.place(turn, now));
    CHECK_FALSE(isRefused && 2 * below(kKnobs.spare) >= 11);
    turn.admission->wasRefused = true;
    const bool isRefusedAgain = std::holds_alternative<PlacesTaken>(withoutRules.place(turn, now));
    CHECK_FALSE(isRefusedAgain && below(kKnobs.firstTurn) > 0);
    refusedOnce += isRefused ? 1 : 0;
    refusedAgain += isRefusedAgain ? 1 : 0;
  }
  CHECK_TRUE(refusedOnce > refusedAgain && refusedAgain > 20);  // Each case was drawn.
}

// A burst of programs beyond what the engines can do: every replica has more to do than half of its
// slots. Prompts that are read anew elsewhere would take from all what the burst leaves, so a turn
// waits for the replica that holds its prompt, and first turns do not fill the others.
TEST(ReplicaPlacement, aBurstBeyondTheEnginesKeepsPromptsWhereTheyAre) {
  const ReplicaPtr one = add("r1", "a");
  const ReplicaPtr other = add("r2", "a");
  PlacementQuery turn = query();
  turn.replica.affinityKey = "program";
  turn.replica.promptTokens = 6611;
  const ReplicaPtr preferred = std::get<Placed>(withoutRules.place(turn, now)).replica;
  const ReplicaPtr dearer = preferred == one ? other : one;
  preferred->inFlight = 9;
  dearer->inFlight = 3;  // Of 4 slots.
  turn.admission = AdmissionRequest{WorkStage::Continuing, 1};
  const auto taken = std::get<PlacesTaken>(withoutRules.place(turn, now));
  POINTERS_EQUAL(preferred.get(), taken.judged.get());
  DOUBLES_EQUAL(0.75, taken.leastLoadPerSlot, 1e-9);
  turn.admission = AdmissionRequest{WorkStage::FirstTurn, 1};
  CHECK_TRUE(std::holds_alternative<PlacesTaken>(withoutRules.place(turn, now)));
}

// Rules are asked once, also where the cheapest replica is full; one that a rule keeps back is no
// way out.
TEST(ReplicaPlacement, aTurnWhoseReplicaIsFullGoesOnlyWhereTheRulesAllow) {
  const ReplicaPtr full = add("c1", "c");
  add("a1", "a");  // Idle, and kept back by a rule.
  full->inFlight = 9;
  PlacementQuery turn = query();
  turn.replica.affinityKey = "program";
  turn.admission = AdmissionRequest{WorkStage::Continuing, 1, true};
  CHECK_TRUE(std::holds_alternative<PlacesTaken>(placement.place(turn, now)));
  LONGS_EQUAL(1, first.asked["a1"]);
  LONGS_EQUAL(1, first.asked["c1"]);
}
