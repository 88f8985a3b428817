// Guards against announcements that overload the store or depend on a single aggregator.
#include "edge/member_announcer.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <set>

#include "logstore/fake_log_store.h"

using namespace gorsetrail;
using namespace gorsetrail::edge;
using logstore::FakeFault;

TEST_GROUP(MemberAnnouncer) {
  static constexpr int kNodes = 40;
  logstore::FakeTimers timers;
  logstore::FakeLogStore log{timers};
  logstore::PartitionAddress partition{"keyed.nodes", 0};
  std::vector<ledger::NodeCandidate> nodes;
  std::vector<std::unique_ptr<MemberAnnouncer>> announcers;
  std::set<std::string> dead;

  void setup() override {
    for (int number = 0; number < kNodes; ++number) {
      nodes.push_back({std::to_string(number), "a", 1.0});
      announcers.push_back(std::make_unique<MemberAnnouncer>(
          log, timers, [this] { return timers.now; }, partition,
          [this](const std::string& address, logstore::AppendRequest request,
                 logstore::StoreCallback<logstore::AppendReply> callback) {
            forward(address, std::move(request), std::move(callback));
          },
          MemberAnnouncerKnobs{}));
    }
  }
  void forward(const std::string& address, logstore::AppendRequest request,
               logstore::StoreCallback<logstore::AppendReply> callback) {
    timers.runAfter(milliseconds(1), [this, address, request, callback] {
      if (dead.count(address) > 0) {
        callback(logstore::StoreError{logstore::StoreFault::NoAnswer, "refused", 0});
      } else {
        announcers[static_cast<std::size_t>(std::stoi(address))]->aggregate(request, callback);
      }
    });
  }
  void announceAll(bool urgent = false) {
    for (std::size_t number = 0; number < kNodes; ++number) {
      MemberRecord record;
      record.nodeName = "n" + std::to_string(number);
      record.zone = "a";
      announcers[number]->announce(std::to_string(number), record.nodeName, record, nodes, urgent);
    }
  }
  std::size_t announced() {
    std::set<std::string> keys;
    for (const std::string& record : log.logs[partition]) {
      keys.insert(logstore::decodeKeyedRecord(record).first);
    }
    return keys.size();
  }
};

TEST(MemberAnnouncer, batchesTheAnnouncementsOfAZoneIntoOneAppend) {
  announceAll();
  timers.advance(seconds(1));
  LONGS_EQUAL(kNodes, announced());
  LONGS_EQUAL(1, log.appends);
}

TEST(MemberAnnouncer, doesNotQueueAppendsAtASlowStore) {
  log.latency = milliseconds(1400);
  for (int heartbeat = 0; heartbeat < 10; ++heartbeat) {
    announceAll();
    timers.advance(seconds(1));
  }
  timers.advance(seconds(3));
  LONGS_EQUAL(kNodes, announced());
  CHECK(log.appends <= 10);
}

TEST(MemberAnnouncer, bypassesADeadAggregatorWithoutDelay) {
  announceAll();
  timers.advance(seconds(1));
  ledger::RendezvousSelector selector{{}};
  dead.insert(selector.selectNodes(partition, "a", nodes, timers.now).front());
  log.logs[partition].clear();
  announceAll();
  timers.advance(seconds(1));
  LONGS_EQUAL(kNodes, announced());
  log.appends = 0;
  announceAll();
  timers.advance(seconds(1));
  // One append by the next aggregator, and one by the dead node, which still aggregates for itself.
  LONGS_EQUAL(2, log.appends);
}

TEST(MemberAnnouncer, sendsAnUrgentAnnouncementImmediately) {
  announceAll();
  announceAll(true);
  timers.advance(milliseconds(10));
  LONGS_EQUAL(kNodes, announced());
}

TEST(MemberAnnouncer, resumesAfterTheStoreDidNotAnswer) {
  log.fault = FakeFault::Silent;
  announceAll();
  timers.advance(seconds(4));
  log.fault = FakeFault::None;
  announceAll();
  timers.advance(seconds(1));
  LONGS_EQUAL(kNodes, announced());
}
