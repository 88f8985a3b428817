#include <algorithm>

#include "membership_network.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::membership;

TEST_GROUP(FailureDetection){};

TEST(FailureDetection, FleetWithoutFailuresSuspectsNobody) {
  MembershipNetwork network(50);
  network.run(seconds(30));
  CHECK(network.allAlive());
  for (std::uint32_t number = 1; number <= network.size(); ++number) {
    const auto& changes = network.at(number).changes;
    CHECK(std::none_of(changes.begin(), changes.end(), [](const MemberUpdate& update) {
      return update.state != MemberState::Alive;
    }));
  }
}

TEST(FailureDetection, EveryIncarnationIsLearnt) {
  MembershipNetwork network(50);
  network.run(seconds(30));
  for (std::uint32_t number = 1; number <= network.size(); ++number) {
    for (std::uint32_t other = 1; other <= network.size(); ++other) {
      CHECK_EQUAL(1U, network.service(number).incarnationOf(NodeId(other)).value());
    }
  }
}

TEST(FailureDetection, KilledNodeIsDeadEverywhereWithinSixSeconds) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    MembershipNetwork network(100, seed);
    network.run(seconds(10));
    network.at(7).running = false;
    const auto elapsed =
        network.runUntil([&] { return network.allSee(7, MemberState::Dead); }, seconds(6));
    CHECK(elapsed.has_value());
  }
}

// Guards against first contacts delaying the dissemination of a failure.
TEST(FailureDetection, DeathSpreadsInAFleetThatHasJustStarted) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    MembershipNetwork network(400, seed);
    network.run(seconds(20));
    network.at(3).running = false;
    const auto elapsed =
        network.runUntil([&] { return network.allSee(3, MemberState::Dead); }, seconds(6));
    CHECK(elapsed.has_value());
  }
}

TEST(FailureDetection, LossOfOneMessageInFiveDeclaresNobodyDead) {
  MembershipNetwork network(20);
  RandomSource random(3);
  network.isLost = [&](std::uint32_t, std::uint32_t) { return random.below(5) == 0; };
  network.run(seconds(60));
  for (std::uint32_t number = 1; number <= network.size(); ++number) {
    for (const MemberUpdate& update : network.at(number).changes) {
      CHECK(update.state != MemberState::Dead);
    }
  }
}

TEST(FailureDetection, FalseSuspicionIsRefuted) {
  MembershipNetwork network(10);
  network.run(seconds(5));
  const MemberUpdate falseUpdate{NodeId(4), Incarnation(1), MemberState::Suspected, 0};
  Piggyback piggyback{Incarnation(1), BundleVersion(0), {falseUpdate}, {}};
  network.service(2).onMembershipMessage(NodeId(3), ProbeRequest{99, piggyback}, network.now());
  CHECK(network.service(2).stateOf(NodeId(4)) == MemberState::Suspected);
  const auto elapsed = network.runUntil([&] { return network.allAlive(); }, seconds(3));
  CHECK(elapsed.has_value());
  network.run(seconds(5));
  CHECK(network.allAlive());
}

TEST(FailureDetection, SuspendedNodeSuspectsNobodyAndRefutesItsDeath) {
  MembershipNetwork network(20);
  network.run(seconds(5));
  network.at(5).running = false;
  network.run(seconds(30));
  CHECK(network.allSee(5, MemberState::Dead));
  network.at(5).changes.clear();
  network.at(5).running = true;
  const auto elapsed = network.runUntil([&] { return network.allAlive(); }, seconds(10));
  CHECK(elapsed.has_value());
  CHECK(network.at(5).changes.empty());
}

TEST(FailureDetection, PartitionOfHoursHealsWithinTwentySeconds) {
  MembershipNetwork network(40);
  network.run(seconds(5));
  network.isLost = [](std::uint32_t from, std::uint32_t to) { return from % 2 != to % 2; };
  network.run(std::chrono::hours(4));
  CHECK(network.service(1).stateOf(NodeId(2)) == MemberState::Dead);
  CHECK(network.service(2).stateOf(NodeId(1)) == MemberState::Dead);
  CHECK(network.service(1).stateOf(NodeId(3)) == MemberState::Alive);
  network.isLost = [](std::uint32_t, std::uint32_t) { return false; };
  const auto elapsed = network.runUntil([&] { return network.allAlive(); }, seconds(20));
  CHECK(elapsed.has_value());
}

TEST(FailureDetection, RatePerNodeDoesNotGrowWithTheFleet) {
  for (const std::size_t size : {8U, 50U, 200U, 400U}) {
    MembershipNetwork network(size);
    network.run(seconds(60));
    std::uint64_t before = 0;
    std::uint64_t after = 0;
    for (std::uint32_t number = 1; number <= size; ++number) {
      before += network.at(number).messagesSent;
    }
    network.run(seconds(20));
    for (std::uint32_t number = 1; number <= size; ++number) {
      after += network.at(number).messagesSent;
    }
    const double perSecond = static_cast<double>(after - before) / 20.0 / static_cast<double>(size);
    CHECK(perSecond > 3.9);
    CHECK(perSecond < 4.2);
  }
}

TEST(FailureDetection, FailureOfHalfTheNodesKeepsTheMessageRateBounded) {
  MembershipNetwork network(100);
  network.run(seconds(20));
  const std::uint64_t before = network.at(1).messagesSent;
  for (std::uint32_t number = 2; number <= 100; number += 2) {
    network.at(number).running = false;
  }
  network.run(seconds(10));
  CHECK(network.at(1).messagesSent - before < 500);
  CHECK(network.allSee(2, MemberState::Dead));
}
