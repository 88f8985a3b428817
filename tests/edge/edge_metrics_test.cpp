// Metrics by service.
#include "edge/edge_metrics.h"

#include <string>
// CppUTest redefines `new`: it comes after the standard headers.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail::edge;

TEST_GROUP(EdgeMetrics){};

// Operators tell by it whether a service's load is even in requests or in time.
TEST(EdgeMetrics, tellsWhichServicesAreSelectedByExpectedTime) {
  EdgeSnapshot snapshot;
  snapshot.speedSelections = {{"summaries", true}, {"tools", false}};
  const std::string text = EdgeMetrics().render(snapshot);
  CHECK_TRUE(text.find("speed_selection_active{service=\"summaries\"} 1") != std::string::npos);
  CHECK_TRUE(text.find("speed_selection_active{service=\"tools\"} 0") != std::string::npos);
}
