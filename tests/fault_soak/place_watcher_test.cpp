// What reaches an evacuated zone, and its cold replicas afterwards.
#include "lab/faultsoak/place_watcher.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::lab;

TEST_GROUP(PlaceWatcher) {
  static constexpr std::size_t kMost = 3;

  PromiseWatcher violations{10};
  PlaceWatcher places{violations, ColdLimit{seconds(3), kMost}};
  Instant start{seconds(100)};

  void arriveAt(Duration after) { places.onArrival("a", "i-0", start + after); }
};

TEST(PlaceWatcher, tellsARequestThatReachesAnEvacuatedZoneAfterItsLimit) {
  places.onEvacuated("a", start + seconds(5));
  arriveAt(seconds(5));
  LONGS_EQUAL(0, violations.violations().size());
  places.onArrival("b", "i-1", start + seconds(6));
  LONGS_EQUAL(0, violations.violations().size());
  arriveAt(seconds(6));
  LONGS_EQUAL(1, violations.violations().size());
  STRCMP_EQUAL("an_evacuated_zone_gets_nothing", violations.violations()[0].promise.c_str());
}

TEST(PlaceWatcher, tellsNothingOfAnEvacuationWithoutALimit) {
  places.onEvacuated("a", std::nullopt);
  arriveAt(seconds(60));
  LONGS_EQUAL(0, violations.violations().size());
}

TEST(PlaceWatcher, tellsOneRequestTooManyAtAColdReplica) {
  places.onTakenBack("a", start);
  for (std::size_t number = 0; number < kMost; ++number) {
    arriveAt(milliseconds(100));
  }
  places.onArrival("a", "i-2", start + milliseconds(100));  // Another replica of the zone.
  LONGS_EQUAL(0, violations.violations().size());
  arriveAt(milliseconds(1099));
  LONGS_EQUAL(1, violations.violations().size());
  STRCMP_EQUAL("a_cold_replica_gets_few_requests", violations.violations()[0].promise.c_str());
  STRCMP_EQUAL("4 requests in a second, 1099 ms after its zone was taken back",
               violations.violations()[0].detail.c_str());
}

TEST(PlaceWatcher, countsOnlyTheLastSecondAndOnlyWhileCold) {
  places.onTakenBack("a", start);
  for (int step = 0; step < 10; ++step) {
    arriveAt(milliseconds(350) * step);  // Three in any second.
  }
  for (std::size_t number = 0; number < 3 * kMost; ++number) {
    arriveAt(milliseconds(3500));
  }
  LONGS_EQUAL(0, violations.violations().size());
}

TEST(PlaceWatcher, aZoneIsEmptyLaterWhereSomebodyStoodStill) {
  places.onEvacuated("a", start + seconds(5));
  places.onUnrest(start + seconds(8));
  arriveAt(seconds(8));
  LONGS_EQUAL(0, violations.violations().size());
  arriveAt(milliseconds(8001));
  LONGS_EQUAL(1, violations.violations().size());
}

TEST(PlaceWatcher, unrestBringsNoLimitForwardAndMakesNone) {
  places.onEvacuated("a", start + seconds(5));
  places.onUnrest(start + seconds(3));
  arriveAt(seconds(5));
  places.onEvacuated("a", std::nullopt);
  places.onUnrest(start + seconds(3));
  arriveAt(seconds(60));
  LONGS_EQUAL(0, violations.violations().size());
}

TEST(PlaceWatcher, whatWaitedForTheWatcherTellsNoRate) {
  places.onTakenBack("a", start);
  places.onOwnStall(start + milliseconds(500));
  for (std::size_t number = 0; number < 3 * kMost; ++number) {
    arriveAt(milliseconds(600));
  }
  LONGS_EQUAL(0, violations.violations().size());
  for (std::size_t number = 0; number <= kMost; ++number) {
    arriveAt(milliseconds(1500));
  }
  LONGS_EQUAL(1, violations.violations().size());
}
