#include <malloc.h>

#include <algorithm>

#include "membership/backend_notices.h"
#include "membership/update_queue.h"
#include "membership_network.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::membership;

namespace {

bool allReceived(MembershipNetwork& network, bool leaving) {
  for (std::uint32_t number = 1; number <= network.size(); ++number) {
    const auto& notices = network.at(number).notices;
    if (notices.empty() || notices.back().leaving != leaving) {
      return false;
    }
  }
  return true;
}

}  // namespace

TEST_GROUP(Dissemination){};

TEST(Dissemination, BackendNoticeReachesFourHundredNodesWithinThreeSeconds) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    MembershipNetwork network(400, seed);
    network.run(seconds(5));
    network.service(17).announceBackend(0xabcd, true, network.now());
    const auto elapsed = network.runUntil([&] { return allReceived(network, true); }, seconds(3));
    CHECK(elapsed.has_value());
  }
}

TEST(Dissemination, ConcurrentNoticesConverge) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    MembershipNetwork network(30, seed);
    network.run(seconds(2));
    network.service(1).announceBackend(5, true, network.now());
    network.run(seconds(3));
    network.service(2).announceBackend(5, false, network.now());
    network.service(9).announceBackend(5, true, network.now());
    network.run(milliseconds(seed * 30));
    network.service(20).announceBackend(5, true, network.now());
    network.service(21).announceBackend(5, false, network.now());
    network.run(seconds(10));
    const BackendNotice& last = network.at(1).notices.back();
    for (std::uint32_t number = 1; number <= network.size(); ++number) {
      const BackendNotice& other = network.at(number).notices.back();
      CHECK_EQUAL(last.leaving, other.leaving);
      CHECK_EQUAL(last.version, other.version);
    }
  }
}

TEST(Dissemination, SameAnnouncementByManyNodesIsOneVersion) {
  MembershipNetwork network(10);
  network.run(seconds(2));
  for (std::uint32_t number = 1; number <= 10; ++number) {
    network.service(number).announceBackend(3, true, network.now());
  }
  network.run(seconds(5));
  for (std::uint32_t number = 1; number <= 10; ++number) {
    CHECK_EQUAL(1U, network.at(number).notices.back().version);
    CHECK_EQUAL(1U, network.at(number).notices.size());
  }
}

TEST(Dissemination, RestartedNodeLearnsOlderNotices) {
  MembershipNetwork network(10);
  network.run(seconds(2));
  network.service(1).announceBackend(3, true, network.now());
  network.run(seconds(60));
  network.start(4, 2);
  network.run(seconds(5));
  CHECK_FALSE(network.at(4).notices.empty());
}

TEST(Dissemination, LeavingWinsBetweenNoticesOfOneVersion) {
  CHECK(supersedes(BackendNotice{1, true, 4}, BackendNotice{1, false, 4}));
  CHECK_FALSE(supersedes(BackendNotice{1, false, 4}, BackendNotice{1, true, 4}));
  CHECK(supersedes(BackendNotice{1, false, 5}, BackendNotice{1, true, 4}));
}

TEST(Dissemination, NewerBundleIsReportedOncePerPeerAndVersion) {
  MembershipNetwork network(5);
  network.service(1).setActiveBundleVersion(BundleVersion(4));
  network.run(seconds(4));
  const auto& reports = network.at(2).newerBundles;
  CHECK_EQUAL(1U, reports.size());
  CHECK_EQUAL(1U, reports.front().peer.value());
  CHECK_EQUAL(4U, reports.front().version.value());
  network.service(2).setActiveBundleVersion(BundleVersion(4));
  network.run(seconds(20));
  CHECK_EQUAL(1U, network.at(2).newerBundles.size());
}

TEST(Dissemination, NewerBundleIsReportedAgainWhenItIsStillMissing) {
  MembershipNetwork network(3);
  network.service(1).setActiveBundleVersion(BundleVersion(4));
  network.run(seconds(20));
  CHECK(network.at(2).newerBundles.size() >= 2);
  CHECK(network.at(2).newerBundles.size() <= 4);
}

TEST(Dissemination, MessagesAreBounded) {
  MembershipNetwork network(400);
  for (std::uint32_t hash = 1; hash <= 100; ++hash) {
    network.service(1).announceBackend(hash, true, network.now());
  }
  network.service(1).onMembershipMessage(NodeId(2), ProbeRequest{1, Piggyback{}}, network.now());
  for (const MembershipCommand& command : network.service(1).takeCommands()) {
    if (const auto* sent = std::get_if<SendMembershipMessage>(&command)) {
      const Piggyback& piggyback = std::get<ProbeReply>(sent->message).piggyback;
      CHECK(piggyback.updates.size() <= kMaximumUpdates);
      CHECK_EQUAL(kMaximumNotices, piggyback.notices.size());
    }
  }
}

TEST(Dissemination, QueueSendsLeastOftenSentFirst) {
  UpdateQueue queue(2);
  queue.add(1, UpdatePriority::Change);
  CHECK_EQUAL(1U, queue.takeNext(1).front());
  queue.add(2, UpdatePriority::Change);
  CHECK_EQUAL(2U, queue.takeNext(1).front());
  CHECK_EQUAL(2U, queue.takeNext(2).size());
  CHECK(queue.empty());
}

TEST(Dissemination, ChangesPrecedeFirstContacts) {
  UpdateQueue queue(3);
  queue.add(1, UpdatePriority::Change);
  for (std::uint32_t item = 2; item <= 50; ++item) {
    queue.add(item, UpdatePriority::FirstContact);
  }
  for (int times = 0; times < 3; ++times) {
    const std::vector<std::uint32_t> taken = queue.takeNext(8);
    CHECK_EQUAL(1U, taken.front());
  }
  CHECK(queue.takeNext(8).front() != 1);
}

TEST(Dissemination, FourHundredMembersTakeLessThan32KilobytesBesideAddresses) {
  std::vector<Member> members;
  for (std::uint32_t number = 1; number <= 400; ++number) {
    members.push_back({NodeId(number), "hall-1", "", ""});
  }
  const std::size_t before = mallinfo2().uordblks;
  MembershipServicePtr service =
      makeMembershipService(NodeId(1), Incarnation(1), members, MembershipKnobs{}, 1);
  // First contact with every member fills the queues.
  for (std::uint32_t number = 2; number <= 400; ++number) {
    service->onMembershipMessage(
        NodeId(number), ProbeReply{1, {Incarnation(1), BundleVersion(0), {}, {}}}, Instant{});
  }
  CHECK_FALSE(service->takeCommands().empty());
  const std::size_t used = mallinfo2().uordblks - before;
  const std::size_t addresses = members.size() * sizeof(Member);
  CHECK(used - addresses < 32 * 1024);
}
