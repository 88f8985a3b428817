// Guards against ends of replicas that are forgotten with the node that saw them, over loopback.
#include "edge/request_record_exchange.h"

#include <unistd.h>

#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/steady_clock.h"
#include "edge/generated/request_record_generated.h"
// Include after the standard headers, because CppUTest redefines `new`.
#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::edge;

namespace {

constexpr std::uint16_t kRelayPort = 1;  // Not opened: it only names a node.
const routing::RequestKey kRequest{1, 2};
constexpr Duration kLifetime = seconds(600);

/// The same on all nodes; derived from the process id, because two runs of these tests at a time
/// on one machine would take each other's addresses.
std::uint16_t recordPort() {
  constexpr int kFirstPort = 30000;
  constexpr int kPorts = 2000;
  return static_cast<std::uint16_t>(kFirstPort + getpid() % kPorts);
}

}  // namespace

TEST_GROUP(RunHistorySharing) {
  struct Node {
    std::string ip;
    std::vector<ledger::NodeCandidate> known;  ///< Nodes that it believes alive and that stay.
    std::vector<std::string> listed;           ///< With those that leave.
    services::TimerServicePtr timers;          ///< Its pending work ends with the node.
    std::unique_ptr<RequestRecordExchange> exchange;
  };
  boost::asio::io_context context{1};
  routing::ZoneTable zones{{{"a", "r"}, {"b", "r"}, {"c", "r"}}};
  RequestRecordExchangeKnobs knobs;
  std::vector<std::unique_ptr<Node>> nodes;

  void teardown() override {
    nodes.clear();
    context.restart();
    context.poll();
  }
  void startNodes(int count) {
    for (int number = 0; number < count; ++number) {
      nodes.push_back(startNode(number));
    }
    connect({});
  }
  std::unique_ptr<Node> startNode(int number) {
    auto node = std::make_unique<Node>();
    node->ip = "127.0.4." + std::to_string(number + 1);
    node->timers = services::makeTimerService(context);
    const std::string zone(1, static_cast<char>('a' + number % 3));
    node->exchange = std::make_unique<RequestRecordExchange>(
        context, *node->timers, steadyNow,
        RequestRecordSources{[raw = node.get()]() -> const std::vector<ledger::NodeCandidate>& {
                               return raw->known;
                             },
                             [raw = node.get()] { return raw->listed; }, &zones},
        zone,
        [] {
          return routing::RegistrationView{
              [](const std::string&, std::optional<routing::ReplicaStart>) {
                return routing::Registration::Unknown;
              },
              {}};
        },
        knobs, std::uint64_t{1000} * number);
    CHECK_TRUE(succeeded(node->exchange->listen(node->ip, recordPort())));
    return node;
  }
  /// All live nodes know one another, except across the cut.
  void connect(const std::set<std::size_t>& cutOff) {
    for (std::size_t one = 0; one < nodes.size(); ++one) {
      if (!nodes[one]) {
        continue;
      }
      nodes[one]->known.clear();
      nodes[one]->listed.clear();
      for (std::size_t two = 0; two < nodes.size(); ++two) {
        if (nodes[two] && cutOff.contains(one) == cutOff.contains(two)) {
          const std::string zone(1, static_cast<char>('a' + two % 3));
          nodes[one]->listed.push_back(nodes[two]->ip + ":" + std::to_string(kRelayPort));
          nodes[one]->known.push_back({nodes[one]->listed.back(), zone});
        }
      }
    }
  }
  void run(Duration time = milliseconds(30)) {
    context.restart();
    context.run_for(std::chrono::microseconds(time.count()));
  }
  void record(std::size_t node, const std::string& replica,
              routing::RequestKey request = kRequest) {
    RunHistorySharing& sharing = nodes[node]->exchange->runHistories();
    routing::ReplicaRun run{sharing.nextRunNumber(), replica};
    run.isInterrupted = true;
    sharing.record(request, run, kLifetime);
  }
  std::size_t countedAt(std::size_t node) {
    return nodes[node]->exchange->runHistories().decide(kRequest).uncertainReplicas;
  }
  bool isQuarantinedAt(std::size_t node) {
    return nodes[node]->exchange->runHistories().decide(kRequest).isQuarantined;
  }
};

TEST(RunHistorySharing, endsOfAttemptsAtOtherNodesCountAlsoWhenTheirNodesEnded) {
  startNodes(5);
  record(0, "a");
  nodes[0].reset();
  connect({});
  run();
  record(1, "b");
  nodes[1].reset();
  connect({});
  run();
  LONGS_EQUAL(2, countedAt(2));
  record(2, "c");
  run();
  for (const std::size_t node : {2, 3, 4}) {
    CHECK_TRUE(isQuarantinedAt(node));
  }
}

// A node that leaves still takes requests of clients with open connections.
TEST(RunHistorySharing, nodesThatLeaveAreToldOfEnds) {
  startNodes(3);
  nodes[0]->known.pop_back();
  nodes[1]->known.pop_back();
  record(0, "a");
  run();
  LONGS_EQUAL(1, countedAt(2));
}

TEST(RunHistorySharing, aNodeThatStartsLaterLearnsOfEarlierEnds) {
  startNodes(4);
  for (const char* replica : {"a", "b", "c"}) {
    record(0, replica);
  }
  run();
  nodes.push_back(startNode(4));
  connect({});
  CHECK_FALSE(isQuarantinedAt(4));
  run(RunHistorySharingKnobs{}.startComparisonPeriod * 2);
  CHECK_TRUE(isQuarantinedAt(4));
}

TEST(RunHistorySharing, nodesCutFromOneAnotherCountEachSideAndAgreeAfterTheCut) {
  startNodes(4);
  record(0, "a");
  run();
  connect({2, 3});
  record(0, "b");
  record(2, "c");
  run();
  LONGS_EQUAL(2, countedAt(1));
  LONGS_EQUAL(2, countedAt(3));
  connect({});
  run(RunHistorySharingKnobs{}.startComparisonPeriod * 8);
  for (std::size_t node = 0; node < nodes.size(); ++node) {
    LONGS_EQUAL(3, countedAt(node));
  }
}

TEST(RunHistorySharing, runsThatAreClearedAtANodeAreClearedEverywhere) {
  startNodes(3);
  record(0, "a");
  record(0, "b");
  run();
  nodes[2]->exchange->runHistories().clear(kRequest, std::nullopt, steadyNow(),
                                           routing::RunEvidence::Operator);
  run(milliseconds(200));  // With comparisons, and the first change's second message.
  for (std::size_t node = 0; node < nodes.size(); ++node) {
    LONGS_EQUAL(0, countedAt(node));
  }
}

TEST(RunHistorySharing, changesBeyondTheRateReachAllNodesByComparisons) {
  knobs.runHistories.datagramBurst = 0;
  knobs.runHistories.datagramsPerSecond = 0;
  knobs.runHistories.holders = {1, 0};
  startNodes(6);
  record(0, "a");
  run();
  std::size_t knowing = 0;
  for (std::size_t node = 1; node < nodes.size(); ++node) {
    knowing += countedAt(node);
  }
  CHECK(knowing >= 1);
  CHECK(nodes[0]->exchange->runHistories().limitedBroadcasts() >= 1);
  run(RunHistorySharingKnobs{}.startComparisonPeriod * 12);
  for (std::size_t node = 1; node < nodes.size(); ++node) {
    LONGS_EQUAL(1, countedAt(node));
  }
}

TEST(RunHistorySharing, aListOfManyRequestsArrives) {
  startNodes(2);
  constexpr std::uint64_t kRequests = 300;
  nodes[0]->listed.clear();
  for (std::uint64_t request = 0; request < kRequests; ++request) {
    record(0, "a", {request, request});
  }
  connect({});
  run(seconds(2));
  LONGS_EQUAL(kRequests, nodes[1]->exchange->runHistories().histories().all().size());
}

// Limits of the note on capacity (docs/design/0028).
TEST(RunHistorySharing, messagesAreSmallAndKeepTimesAsAges) {
  const Instant sentAt{seconds(100)};
  const Instant receivedAt{seconds(5000)};
  RequestRuns runs{kRequest, {}};
  for (const char* replica : {"i-7f3a91c2d0", "i-7f3a91c2d1", "i-7f3a91c2d2"}) {
    routing::ReplicaRun sent{0xfedcba9876543210, replica, routing::ReplicaStart(1'800'000'000'000)};
    sent.at = sentAt - seconds(2);
    sent.mayRunUntil = sentAt + seconds(3);
    sent.isInterrupted = true;
    sent.state = routing::RunState::Ended;
    sent.revision = 3;
    sent.session = 0xfedcba98;
    sent.atFailingReplica = true;
    sent.sentAt = sentAt - seconds(3);
    runs.history.runs.push_back(sent);
  }
  runs.history.keepUntil = sentAt + seconds(60);
  const std::string one = encodeRequestRecord(RunHistoriesMessage{{runs}}, sentAt);
  RequestRuns oneRun = runs;
  oneRun.history.runs.resize(1);
  CHECK_COMPARE(encodeRequestRecord(RunHistoriesMessage{{oneRun}}, sentAt).size(), <=, 200);
  CHECK(encodeRequestRecord(RunHistoriesQuery{7}, sentAt).size() <= 64);
  const std::size_t most = RunHistorySharingKnobs{}.maximumHistoriesInMessage;
  const RunHistoriesMessage many{std::vector<RequestRuns>(most, runs)};
  // A datagram that is not fragmented.
  CHECK_COMPARE(encodeRequestRecord(many, sentAt).size(), <=, 1400);

  const auto read = decodeRequestRecord(one, receivedAt);
  CHECK_TRUE(succeeded(read));
  const RequestRuns& decoded = std::get<RunHistoriesMessage>(valueOf(read)).histories.front();
  CHECK(decoded.request == kRequest);
  LONGS_EQUAL(3, decoded.history.runs.size());
  CHECK(decoded.history.runs[0].at == receivedAt - seconds(2));
  CHECK(decoded.history.runs[0].state == routing::RunState::Ended);
  CHECK_TRUE(decoded.history.runs[0].atFailingReplica);
  CHECK_TRUE(decoded.history.runs[0].isInterrupted);
  CHECK(decoded.history.runs[0].session == 0xfedcba98);
  CHECK(decoded.history.runs[0].mayRunUntil == receivedAt + seconds(3));
  CHECK(decoded.history.runs[0].sentAt == receivedAt - seconds(3));
  CHECK(decoded.history.keepUntil == receivedAt + seconds(60));
}

// Earlier builds take a replica for a survivor that is registered some time later.
TEST(RunHistorySharing, aSurvivalWithoutProofOfAnEarlierBuildIsUncertain) {
  flatbuffers::FlatBufferBuilder builder;
  const fbs::RequestKey key(kRequest.high, kRequest.low);
  const std::vector<flatbuffers::Offset<fbs::ReplicaRun>> runs = {
      fbs::CreateReplicaRun(builder, builder.CreateString("a"), 0, 0, fbs::RunState::Survived, 2,
                            1),
      fbs::CreateReplicaRun(builder, builder.CreateString("b"), 0, 0, fbs::RunState::ProvedSurvived,
                            2, 2)};
  const std::vector<flatbuffers::Offset<fbs::RunHistory>> histories = {
      fbs::CreateRunHistory(builder, &key, builder.CreateVector(runs), 60'000)};
  const auto message = fbs::CreateRunHistories(builder, builder.CreateVector(histories));
  fbs::FinishRequestRecordEnvelopeBuffer(
      builder, fbs::CreateRequestRecordEnvelope(builder, fbs::RequestRecordMessage::RunHistories,
                                                message.Union()));
  const auto read = decodeRequestRecord(
      {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()}, steadyNow());
  CHECK_TRUE(succeeded(read));
  const auto& decoded = std::get<RunHistoriesMessage>(valueOf(read)).histories.front().history.runs;
  CHECK(decoded[0].state == routing::RunState::Uncertain);
  CHECK(decoded[1].state == routing::RunState::Survived);
}
