// Overlapping faults leave a replica down until the last cause is over: a fault of the network that
// ends must not bring back a process that has ended.
#include "lab/faultsoak/replica_way.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::lab;

TEST_GROUP(ReplicaWay) {
  boost::asio::io_context context;
  ReplicaWay way{context, "127.0.0.1:9"};
};

TEST(ReplicaWay, theEndOfANetworkFaultDoesNotBringAProcessBack) {
  way.setFault(ProxyFault::Silence);
  way.takeDown(ProxyFault::Reset);
  way.setFault(ProxyFault::None);
  CHECK(way.fault() == ProxyFault::Reset);
  CHECK(way.bringUp());
  CHECK(way.fault() == ProxyFault::None);
}

TEST(ReplicaWay, aNetworkFaultOutlastsTheTimeForWhichTheProcessIsDown) {
  way.takeDown(ProxyFault::Reset);
  way.setFault(ProxyFault::Silence);
  CHECK(way.fault() == ProxyFault::Reset);
  CHECK(way.bringUp());
  CHECK(way.fault() == ProxyFault::Silence);
}

TEST(ReplicaWay, theProcessIsBackWhenTheLastOfSeveralCausesIsOver) {
  way.takeDown(ProxyFault::Reset);
  way.takeDown(ProxyFault::Silence);
  CHECK(!way.bringUp());
  CHECK(way.isDown());
  CHECK(way.bringUp());
  CHECK(!way.isDown());
}
