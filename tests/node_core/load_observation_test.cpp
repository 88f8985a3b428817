#include "node/core/load_observation.h"

#include <set>

#include "engine/backend_table.h"
#include "test_fleet.h"

// Last, since it redefines operator new.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::node;

TEST_GROUP(LoadObservation) {
  TestFleet fleet{6, {"hall-1", "hall-2"}};

  std::size_t observersOf(const std::string& name) {
    std::size_t found = 0;
    for (std::uint32_t node = 1; node <= 12; ++node) {
      if (!fleet.core(node).bundleInForce()) {
        continue;
      }
      for (const bundle::Backend& backend : fleet.core(node).observedBackends()) {
        found += backend.name == name ? 1 : 0;
        CHECK(backend.kind == bundle::BackendKind::Engine);
      }
    }
    return found;
  }
};

TEST(LoadObservation, EachEngineHasAnObserverAndAStandbyInItsZone) {
  fleet.publishSample();
  fleet.run(seconds(2));
  CHECK_EQUAL(2U, observersOf("lm-1"));
  CHECK_EQUAL(2U, observersOf("lm-2"));
  for (std::uint32_t node = 7; node <= 12; ++node) {
    for (const bundle::Backend& backend : fleet.core(node).observedBackends()) {
      STRCMP_EQUAL("lm-2", backend.name.c_str());
    }
  }
}

TEST(LoadObservation, ReportOfALeavingBackendReachesEveryNodeWithinThreeSeconds) {
  fleet.publishSample();
  fleet.run(seconds(2));
  fleet.backend = [this](const SeenDispatch& dispatch) { fleet.finish(dispatch, "fine"); };
  for (std::uint32_t node = 1; node <= 12; ++node) {
    for (const bundle::Backend& backend : fleet.core(node).observedBackends()) {
      fleet.core(node).onBackendReport({backend.name, true, backend.name == "lm-1", 1, 0, 0},
                                       fleet.now);
    }
  }
  fleet.run(seconds(3));
  for (std::uint64_t handle = 1; handle <= 12; ++handle) {
    engine::CallRequest request = TestFleet::proof(handle, "r");
    request.key.name = "order-" + std::to_string(handle);
    fleet.call(static_cast<std::uint32_t>(handle), request);
  }
  fleet.run(seconds(1));
  CHECK_EQUAL(0U, fleet.dispatchesTo("lm-1").size());
  CHECK_EQUAL(12U, fleet.dispatchesTo("lm-2").size());
}
