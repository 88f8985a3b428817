// The one step by which a request comes to a replica: rules, admission, and why there is none.
#include "routing/replica_placement.h"

#include <map>
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
