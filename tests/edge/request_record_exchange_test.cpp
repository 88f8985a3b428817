// Guards against streams whose origin is lost with the node that served them, over loopback.
#include "edge/request_record_exchange.h"

#include <unistd.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/steady_clock.h"
// Include after the standard headers, because CppUTest redefines `new`.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::edge;

namespace {

constexpr std::uint16_t kRelayPort = 1;  // Not opened: it only names a node.
const routing::RequestKey kStream{1, 2};
const routing::StreamOrigin kOrigin{"model", "v1"};

/// The same on all nodes; derived from the process id, because two runs of these tests at a time
/// on one machine would take each other's addresses.
std::uint16_t originPort() {
  constexpr int kFirstPort = 20000;
  constexpr int kPorts = 10000;
  return static_cast<std::uint16_t>(kFirstPort + getpid() % kPorts);
}

}  // namespace

TEST_GROUP(RequestRecordExchange) {
  struct Node {
    std::string ip;
    std::vector<ledger::NodeCandidate> known;  ///< Nodes that it believes alive.
    services::TimerServicePtr timers;          ///< Its pending work ends with the node.
    std::unique_ptr<RequestRecordExchange> exchange;
  };
  boost::asio::io_context context{1};
  routing::ZoneTable zones{{{"a", "r"}, {"b", "r"}, {"c", "r"}}};
  std::vector<std::unique_ptr<Node>> nodes;

  void setup() override {
    constexpr int kNodes = 9;
    for (int number = 0; number < kNodes; ++number) {
      nodes.push_back(std::make_unique<Node>());
      Node& node = *nodes.back();
      node.ip = "127.0.3." + std::to_string(number + 1);
      const std::string zone(1, static_cast<char>('a' + number % 3));
      node.timers = services::makeTimerService(context);
      node.exchange = std::make_unique<RequestRecordExchange>(
          context, *node.timers, steadyNow,
          RequestRecordSources{
              [&node]() -> const std::vector<ledger::NodeCandidate>& { return node.known; },
              [&node] {
                std::vector<std::string> addresses;
                for (const ledger::NodeCandidate& other : node.known) {
                  addresses.push_back(other.address);
                }
                return addresses;
              },
              &zones},
          zone, [] { return routing::RegistrationView{}; }, RequestRecordExchangeKnobs{},
          std::uint64_t{1000} * number);
      CHECK_TRUE(succeeded(node.exchange->listen(node.ip, originPort())));
    }
    connectAll();
  }
  void teardown() override {
    nodes.clear();
    context.restart();
    context.poll();
  }
  /// Each node knows all nodes that live.
  void connectAll() {
    std::vector<ledger::NodeCandidate> live;
    for (std::size_t number = 0; number < nodes.size(); ++number) {
      if (nodes[number]) {
        const std::string zone(1, static_cast<char>('a' + number % 3));
        live.push_back({nodes[number]->ip + ":" + std::to_string(kRelayPort), zone});
      }
    }
    for (const auto& node : nodes) {
      if (node) {
        node->known = live;
      }
    }
  }
  void run(Duration time = milliseconds(20)) {
    context.restart();
    context.run_for(std::chrono::microseconds(time.count()));
  }
  /// \return the result, and the time that it took.
  OriginLookup find(std::size_t node, Duration* took = nullptr) {
    std::optional<OriginLookup> found;
    const Instant begin = steadyNow();
    nodes[node]->exchange->find(kStream, [&found](const OriginLookup& lookup) { found = lookup; });
    while (!found && steadyNow() - begin < seconds(2)) {
      run(milliseconds(1));
    }
    CHECK(found.has_value());
    if (took != nullptr) {
      *took = steadyNow() - begin;
    }
    return *found;
  }
  static bool knows(const OriginLookup& lookup) {
    const auto* const origin = std::get_if<routing::StreamOrigin>(&lookup.state);
    return origin != nullptr && *origin == kOrigin;
  }
};

TEST(RequestRecordExchange, anOriginOutlivesTheNodeThatRecordedIt) {
  nodes[0]->exchange->record(kStream, kOrigin, seconds(20));
  nodes[0].reset();
  connectAll();
  for (std::size_t node = 1; node < nodes.size(); ++node) {
    CHECK_TRUE(knows(find(node)));
  }
}

TEST(RequestRecordExchange, anOriginOutlivesAZoneAndNodesThatAreStillListed) {
  nodes[0]->exchange->record(kStream, kOrigin, seconds(20));
  for (const std::size_t node : {0, 3, 6}) {
    nodes[node].reset();
  }
  for (const std::size_t node : {1, 2, 4, 5, 7, 8}) {
    CHECK_TRUE(knows(find(node)));
  }
}

TEST(RequestRecordExchange, nobodyKnowsAStreamOnceAllNodesHaveReplied) {
  Duration took{};
  const OriginLookup lookup = find(4, &took);
  CHECK(std::holds_alternative<routing::UnknownOrigin>(lookup.state));
  LONGS_EQUAL(8, lookup.asked);
  LONGS_EQUAL(8, lookup.answered);
  CHECK(took < RequestRecordExchangeKnobs{}.lookupTimeLimit);
}

TEST(RequestRecordExchange, aNodeThatIsCutOffKnowsOnlyWhatItRecorded) {
  nodes[0]->exchange->record(kStream, kOrigin, seconds(20));
  run();
  for (std::size_t node = 0; node < nodes.size(); ++node) {
    nodes[node]->known.clear();
  }
  CHECK_TRUE(knows(find(0)));
  CHECK_TRUE(nodes[1]->exchange->originCount() + nodes[2]->exchange->originCount() > 0);
  nodes[0]->exchange->record({3, 4}, kOrigin, seconds(20));
  run();
  std::size_t holders = 0;
  for (const auto& node : nodes) {
    holders += node->exchange->originCount() == 2 ? 1 : 0;
  }
  LONGS_EQUAL(1, holders);
}

// A node of an earlier build has no listener for these messages.
TEST(RequestRecordExchange, aLookupEndsInTimeWithoutRepliesOfSomeNodes) {
  nodes[1].reset();
  Duration took{};
  const OriginLookup lookup = find(4, &took);
  CHECK(std::holds_alternative<routing::UnknownOrigin>(lookup.state));
  CHECK(took >= RequestRecordExchangeKnobs{}.lookupTimeLimit);
  LONGS_EQUAL(7, lookup.answered);
}

TEST(RequestRecordExchange, recordsThatDisagreeAreReportedAsConflicting) {
  nodes[0]->exchange->record(kStream, kOrigin, seconds(20));
  nodes[0]->exchange->record(kStream, {"model", "v2"}, seconds(20));
  for (std::size_t node = 0; node < nodes.size(); ++node) {
    CHECK(std::holds_alternative<routing::ConflictingOrigin>(find(node).state));
  }
}

TEST(RequestRecordExchange, bytesThatAreNoMessageAreCounted) {
  DatagramSocket socket(context, [](const DatagramSocket::Endpoint&, std::string_view) {});
  CHECK_TRUE(succeeded(socket.listen("127.0.3.99:" + std::to_string(originPort()))));
  socket.send(nodes[0]->ip + ":" + std::to_string(originPort()), "no message");
  run();
  LONGS_EQUAL(1, nodes[0]->exchange->unreadableMessages());
}

// The note on capacity counts with this size (docs/design/0027).
TEST(RequestRecordExchange, aRecordIsSmall) {
  constexpr std::size_t kMaximumBytes = 200;
  const std::string bytes = encodeRequestRecord(
      OriginRecord{kStream, {"agent-models", "v1.2.3"}, seconds(20)}, Instant{});
  CHECK(bytes.size() <= kMaximumBytes);
  const auto read = decodeRequestRecord(bytes, Instant{});
  const auto& record = std::get<OriginRecord>(valueOf(read));
  CHECK(record.stream == kStream);
  STRCMP_EQUAL("v1.2.3", record.origin.softwareVersion.c_str());
  CHECK(record.keepFor == seconds(20));
}
