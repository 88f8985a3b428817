// Guards against zones without a topic reader, or with too many, while no member is known.
#include "edge/reader_election.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>
#include <vector>

using namespace gorsetrail;
using namespace gorsetrail::edge;

namespace {

constexpr double kWide = 0.3;     // Half a core, 600 Mbit/s.
constexpr double kNarrow = 0.01;  // 0.12 of a core, 30 Mbit/s.
constexpr Duration kCallTime = milliseconds(10);

/// Nodes of one zone that share one claim; each call takes `kCallTime`.
struct Zone {
  struct Node {
    std::string address;
    std::unique_ptr<ReaderElection> election;
    Instant busyUntil;
  };
  std::vector<Node> nodes;
  std::string claim;
  int listings = 0;
  int claims = 0;
  Instant now{seconds(100)};

  void add(int count, double capacity, std::uint64_t seed) {
    for (int index = 0; index < count; ++index) {
      const std::string address = "n" + std::to_string(nodes.size());
      nodes.push_back({address,
                       std::make_unique<ReaderElection>(address, capacity, ReaderElectionKnobs{},
                                                        seed * 1000 + nodes.size()),
                       {}});
    }
  }
  void runNextStep(Node& node) {
    if (now < node.busyUntil) {
      return;
    }
    const auto step = node.election->next(now);
    if (step == ReaderElection::Step::None) {
      return;
    }
    node.busyUntil = now + kCallTime;
    if (step == ReaderElection::Step::List) {
      ++listings;
      node.election->onListed(claim, now);
    } else {
      ++claims;
      claim = node.address;
      node.election->onClaimed(now);
    }
  }
  void run(Duration span) {
    for (const Instant end = now + span; now < end; now += milliseconds(5)) {
      for (Node& node : nodes) {
        runNextStep(node);
      }
    }
  }
  int readers() const {
    int count = 0;
    for (const Node& node : nodes) {
      count += node.election->isReader() ? 1 : 0;
    }
    return count;
  }
};

}  // namespace

TEST_GROUP(ReaderElection){};

TEST(ReaderElection, electsACapableNodeWhenAllNodesStartTogether) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    Zone zone;
    zone.add(135, kNarrow, seed);
    zone.add(30, kWide, seed);
    zone.run(seconds(2));
    CHECK(zone.claims >= 1 && zone.claims <= 6);
    const int reader = std::stoi(zone.claim.substr(1));
    CHECK(reader >= 135);
    for (const Zone::Node& node : zone.nodes) {
      CHECK_FALSE(node.election->reader(zone.now).empty());
    }
    zone.run(seconds(5));
    LONGS_EQUAL(1, zone.readers());  // Nodes whose claim was replaced have noticed it.
    CHECK(zone.listings < 4 * 165);  // Two listings per node, and the reviews of the readers.
  }
}

TEST(ReaderElection, electsAReaderAmongWeakNodesWithinTwoSeconds) {
  Zone zone;
  zone.add(40, kNarrow, 7);
  zone.run(seconds(2));
  LONGS_EQUAL(40, static_cast<int>(zone.nodes.size()));
  CHECK(zone.claims >= 1 && zone.claims <= 6);
}

TEST(ReaderElection, aRestartedReaderResumesItsClaimImmediately) {
  ReaderElection restarted("n1", kWide, {}, 1);
  const Instant now(seconds(5));
  CHECK(restarted.next(now) == ReaderElection::Step::List);
  restarted.onListed("n1", now);
  CHECK_TRUE(restarted.isReader());
  CHECK(restarted.next(now) == ReaderElection::Step::None);
}

TEST(ReaderElection, replacesAnUnreachableReader) {
  Zone zone;
  zone.claim = "gone";
  zone.add(20, kWide, 3);
  zone.run(milliseconds(100));
  LONGS_EQUAL(0, zone.claims);
  for (Zone::Node& node : zone.nodes) {
    STRCMP_EQUAL("gone", node.election->reader(zone.now).c_str());
    node.election->onUnreachable("gone", zone.now);
    node.election->onNoReader(zone.now);
    STRCMP_EQUAL("", node.election->reader(zone.now).c_str());
  }
  zone.run(seconds(2));
  CHECK(zone.claims >= 1 && zone.claims <= 4);
  CHECK(zone.claim != "gone");
}

TEST(ReaderElection, usesAReaderAgainAfterTheSuspicionTime) {
  ReaderElection election("own", kNarrow, {}, 1);
  Instant now(seconds(5));
  election.onListed("reader", now);
  election.onUnreachable("reader", now);
  STRCMP_EQUAL("", election.reader(now).c_str());
  now += seconds(4);
  STRCMP_EQUAL("reader", election.reader(now).c_str());
}

TEST(ReaderElection, replacesAReaderThatCannotAnswerAfterATimeout) {
  Zone zone;
  zone.claim = "cut-off";
  zone.add(20, kWide, 3);
  zone.run(milliseconds(100));
  const Instant from = zone.now;
  const auto allGetNoAnswer = [&zone] {
    for (Zone::Node& node : zone.nodes) {
      node.election->onNoAnswer("cut-off", zone.now);
    }
  };
  while (zone.now < from + seconds(4)) {
    allGetNoAnswer();
    zone.run(milliseconds(200));
  }
  LONGS_EQUAL(0, zone.claims);  // The reader may still be listing.
  while (zone.now < from + seconds(7)) {
    allGetNoAnswer();
    zone.run(milliseconds(200));
  }
  CHECK(zone.claims >= 1 && zone.claims <= 4);
  CHECK(zone.claim != "cut-off");
}

TEST(ReaderElection, keepsAReaderThatAnswersOccasionally) {
  ReaderElection election("own", kNarrow, {}, 1);
  Instant now(seconds(5));
  election.onListed("reader", now);
  for (int second = 0; second < 20; ++second, now += seconds(1)) {
    election.onNoAnswer("reader", now);
    if (second % 4 == 3) {
      election.onAnswered("reader");
    }
    STRCMP_EQUAL("reader", election.reader(now).c_str());
  }
}

// Guards against endless replacement of readers at a slow store, each of which would start its
// listing again.
TEST(ReaderElection, doublesTheTimeoutWithEachReplacedReader) {
  ReaderElection election("own", kNarrow, {}, 1);
  const Instant begin(seconds(5));
  std::vector<std::int64_t> replacedAtSeconds;
  election.onListed("reader-0", begin);
  for (Instant now = begin; now < begin + seconds(100); now += milliseconds(500)) {
    const std::string reader = "reader-" + std::to_string(replacedAtSeconds.size());
    election.onNoAnswer(reader, now);
    if (election.reader(now).empty()) {
      replacedAtSeconds.push_back((now - begin) / seconds(1));
      election.onListed("reader-" + std::to_string(replacedAtSeconds.size()), now);
    }
  }
  LONGS_EQUAL(4, replacedAtSeconds.size());
  LONGS_EQUAL(5, replacedAtSeconds[0]);
  LONGS_EQUAL(15, replacedAtSeconds[1]);
  LONGS_EQUAL(36, replacedAtSeconds[2]);
  LONGS_EQUAL(76, replacedAtSeconds[3]);
}
