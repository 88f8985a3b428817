#include "node/metrics.h"

#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::node;

namespace {

constexpr const char* kLinksPage = "docs/operators/network.md";  // From the sources' root.

bool hasLine(const std::string& text, const std::string& line) {
  return ("\n" + text).find("\n" + line + "\n") != std::string::npos;
}

/// \return the families that a metrics page declares, as `# TYPE` says.
std::set<std::string> familiesOf(const std::string& text) {
  const std::regex kType("# TYPE (gorsetrail_[a-z_]+) ");
  std::set<std::string> names;
  for (std::sregex_iterator found(text.begin(), text.end(), kType), end; found != end; ++found) {
    names.insert((*found)[1]);
  }
  return names;
}

std::set<std::string> namesInLinksPage() {
  std::ifstream file(kLinksPage);
  const std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  const std::regex kName("`(gorsetrail_[a-z_]+)`");
  std::set<std::string> names;
  for (std::sregex_iterator found(text.begin(), text.end(), kName), end; found != end; ++found) {
    names.insert((*found)[1]);
  }
  return names;
}

}  // namespace

TEST_GROUP(NodeMetrics) {
  NodeMetrics metrics;
  MetricsSnapshot snapshot;
};

TEST(NodeMetrics, EachOwnerHasItsFigures) {
  snapshot.node.callsArrived = 11;
  snapshot.node.callsUnderWay = 12;
  snapshot.peers.sent[static_cast<std::size_t>(wire::Subsystem::Membership)] = {13, 14};
  snapshot.peers.framesLost = 15;
  snapshot.dispatches.notSent = 16;
  snapshot.callers.bytesWritten = 17;
  const std::string text = metrics.render(snapshot);
  CHECK_TRUE(hasLine(text, "# TYPE gorsetrail_calls_arrived_total counter"));
  CHECK_TRUE(hasLine(text, "gorsetrail_calls_arrived_total 11"));
  CHECK_TRUE(hasLine(text, "# TYPE gorsetrail_calls_under_way gauge"));
  CHECK_TRUE(hasLine(text, "gorsetrail_calls_under_way 12"));
  CHECK_TRUE(hasLine(text, R"(gorsetrail_peer_frames_sent_total{subsystem="membership"} 13)"));
  CHECK_TRUE(hasLine(text, R"(gorsetrail_peer_bytes_sent_total{subsystem="membership"} 14)"));
  CHECK_TRUE(hasLine(text, "gorsetrail_peer_frames_lost_total 15"));
  CHECK_TRUE(hasLine(text, R"(gorsetrail_dispatch_ends_total{end="not_sent"} 16)"));
  CHECK_TRUE(hasLine(text, "gorsetrail_http_bytes_written_total 17"));
}

TEST(NodeMetrics, SpansFallIntoBuckets) {
  metrics.observeCallSeconds(0.02);
  metrics.observeCallSeconds(2000);
  metrics.observeDispatchSeconds(0.0002);
  const std::string text = metrics.render(snapshot);
  CHECK_TRUE(hasLine(text, "gorsetrail_call_seconds_count 2"));
  CHECK_TRUE(hasLine(text, R"(gorsetrail_call_seconds_bucket{le="0.01"} 0)"));
  CHECK_TRUE(hasLine(text, R"(gorsetrail_call_seconds_bucket{le="0.03"} 1)"));
  CHECK_TRUE(hasLine(text, R"(gorsetrail_call_seconds_bucket{le="+Inf"} 2)"));
  CHECK_TRUE(hasLine(text, "gorsetrail_dispatch_delay_seconds_count 1"));
}

// An operator looks a name of the page up on `/metrics`, and the other way round.
TEST(NodeMetrics, TheLinksPageNamesEveryPeerFamilyAndNoOther) {
  std::set<std::string> peerFamilies;
  for (const std::string& name : familiesOf(metrics.render(snapshot))) {
    if (name.starts_with("gorsetrail_peer_")) {
      peerFamilies.insert(name);
    }
  }
  const std::set<std::string> named = namesInLinksPage();
  CHECK_FALSE(peerFamilies.empty());
  for (const std::string& name : peerFamilies) {
    CHECK_TRUE_TEXT(named.contains(name), name.c_str());
  }
  for (const std::string& name : named) {
    CHECK_TRUE_TEXT(peerFamilies.contains(name), name.c_str());
  }
}
