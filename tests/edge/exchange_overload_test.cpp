// Guards against engines that work for programs past their deadline while programs that can still
// end in time are refused.
#include <memory>
#include <string>

#include "edge/edge_knobs.h"
#include "edge/exchange_world.h"
// CppUTest redefines `new`: it comes after the standard headers.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::edge;
using namespace gorsetrail::edge::testing;

TEST_GROUP(ExchangeOverload) {
  ExchangeWorld world;

  /// Sets the load of every replica, in percent of its slots.
  void setLoad(double percent) {
    for (const routing::ReplicaPtr& replica : world.replicas.all()) {
      replica->othersInFlight = replica->entry.slots * percent / 100;
    }
  }
  std::shared_ptr<ClientView> startTurn(Duration programTimeLeft) {
    CallRequest turn = ExchangeWorld::turn("again");
    turn.previousTurnId = "q0";
    turn.programTimeLeft = programTimeLeft;
    return world.start(std::move(turn));
  }
};

TEST(ExchangeOverload, aTurnOfAnOverdueProgramIsRefusedWhereOthersAreServed) {
  world.context.knobs.limitsOverduePrograms = true;
  setLoad(75);
  const auto late = startTurn(Duration::zero());
  LONGS_EQUAL(503, late->status);
  LONGS_EQUAL(0, world.dispatches());
  const auto inTime = startTurn(milliseconds(800));
  LONGS_EQUAL(1, world.dispatches());
}

TEST(ExchangeOverload, aTurnOfAnOverdueProgramRunsAtAReplicaWithFreeSlots) {
  world.context.knobs.limitsOverduePrograms = true;
  setLoad(50);
  const auto late = startTurn(Duration::zero());
  LONGS_EQUAL(1, world.dispatches());
}

// Deployments without overload control are served as before.
TEST(ExchangeOverload, overdueProgramsAreNotLimitedByDefault) {
  setLoad(75);
  const auto late = startTurn(Duration::zero());
  LONGS_EQUAL(1, world.dispatches());
}

// A service without spare capacity, whose programs all return to the replica that has their prompt.
// Overflow doubled the prompt tokens that engines process, and fewer programs ended in time.
TEST(ExchangeOverload, turnsOverflowToOtherReplicasOnlyWithoutOverloadControl) {
  const auto overflows = [this](bool overloadControl) {
    EdgeSettings settings;
    settings.overloadControl = overloadControl;
    const routing::AdmissionPolicy admission(admissionKnobsOf(settings));
    const routing::ReplicaSelector selector("", {});  // The zone of the fixture's replicas.
    const routing::ReplicaPlacement placement(world.replicas, selector, admission, {});
    setLoad(100);
    int placedElsewhere = 0;
    for (int program = 0; program < 200; ++program) {
      const std::string name = "program-" + std::to_string(program);
      routing::PlacementQuery query;
      query.replica.service = "model";
      query.replica.affinityKey = name;
      query.replica.promptTokens = 2000;
      query.admission = routing::AdmissionRequest{routing::WorkStage::Continuing, 1, name};
      const auto preferred = placement.place(query, world.timers.now);
      const routing::ReplicaPtr home = std::get<routing::Placed>(preferred).replica;
      home->othersInFlight = 2.2 * home->entry.slots;
      const auto placed = placement.place(query, world.timers.now);
      placedElsewhere += std::holds_alternative<routing::Placed>(placed) ? 1 : 0;
      setLoad(100);
    }
    return placedElsewhere;
  };
  LONGS_EQUAL(0, overflows(true));
  CHECK(overflows(false) > 20);
}
