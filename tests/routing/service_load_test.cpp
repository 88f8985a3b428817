// Guards against slots that serve nobody in the capacity of a service. With them, a service whose
// zone was evacuated never seemed short of capacity, and one tenant could hold the rest.
#include "routing/service_load.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::routing;

TEST_GROUP(ServiceLoad) {
  ReplicaTable replicas;
  EvacuationTable evacuations;

  void add(const char* id, const char* zone, double load) {
    ReplicaEntry entry;
    entry.id = id;
    entry.service = "model";
    entry.zone = zone;
    entry.slots = 4;
    replicas.upsert(entry);
    replicas.find(id)->othersInFlight = load;
  }
};

TEST(ServiceLoad, replicasOfEvacuatedZonesCountNeitherSlotsNorLoad) {
  add("a", "west", 3);
  add("b", "east", 1);
  DOUBLES_EQUAL(0.5, serviceLoadOf(replicas, "model", &evacuations).perSlot(), 1e-9);
  evacuations.onEvacuated("east", Instant(seconds(100)));
  const ServiceLoad load = serviceLoadOf(replicas, "model", &evacuations);
  DOUBLES_EQUAL(4, load.slots, 1e-9);
  DOUBLES_EQUAL(3, load.requests, 1e-9);
}
