// Guards against engines that work for programs past their deadline while programs that can still
// end in time are refused.
#include <memory>
#include <string>

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
