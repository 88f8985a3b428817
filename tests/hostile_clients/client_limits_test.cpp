// The limits of the configuration, at a node process.
#include "hostile_group.h"

using namespace gorsetrail;
using namespace gorsetrail::lab;
using namespace gorsetrail::lab::testing;

TEST_GROUP_BASE(ClientLimits, HostileGroup) {
  WorldLimits limits;

  void publish() { world->publish(limits); }
  void untilAnswered(unsigned status) {
    CHECK_TRUE(world->runUntil([&] { return crowd->counts().answers.count(status) > 0; }));
  }
  void untilCutOff() {
    CHECK_TRUE(world->runUntil([&] { return crowd->counts().cutOff > 0; }));
  }
  /// \return the status of a request of that size, once it is `expected` or nothing changes.
  unsigned statusOf(std::size_t headBytes, std::size_t bodyBytes, unsigned expected) {
    constexpr int kTries = 100;
    unsigned status = 0;
    for (int attempt = 0; attempt < kTries && status != expected; ++attempt) {
      http::Request request = world->ordinaryRequest("/unsafe/1", bodyBytes);
      request.headers.push_back({"X-Long", std::string(headBytes, 'x')});
      status = world->send(std::move(request)).status;
    }
    return status;
  }
};

TEST(ClientLimits, headsUpToMaxHeaderBytesAreServed) {
  LONGS_EQUAL(431, statusOf(20 * 1024, 10, 431));
  limits.maximumHeadBytes = 32 * 1024;
  publish();
  LONGS_EQUAL(200, statusOf(20 * 1024, 10, 200));
  LONGS_EQUAL(431, statusOf(40 * 1024, 10, 431));
  limits.maximumHeadBytes = 2 * 1024;
  publish();
  LONGS_EQUAL(431, statusOf(4 * 1024, 10, 431));
  LONGS_EQUAL(200, statusOf(1024, 10, 200));
}

TEST(ClientLimits, bodiesUpToMaxBodyBytesAreServed) {
  LONGS_EQUAL(413, statusOf(10, 5 * kMegabyte, 413));
  limits.maximumBodyBytes = 8 * kMegabyte;
  publish();
  LONGS_EQUAL(200, statusOf(10, 5 * kMegabyte, 200));
  limits.maximumBodyBytes = 100 * 1024;
  publish();
  LONGS_EQUAL(413, statusOf(10, 101 * 1024, 413));
  LONGS_EQUAL(200, statusOf(10, 100 * 1024, 200));
  checkMemory();
}

TEST(ClientLimits, aHeadIsRefusedAfterHeaderTimeoutMs) {
  limits.headTimeoutMs = 1000;
  publish();
  HostileScript script;
  script.head = "POST /unsafe/1 HTTP/1.1\r\nHost: h\r\nX-Slow: ";
  crowd->join(3, script);
  untilAnswered(408);
  untilCutOff();
  LONGS_EQUAL(0, world->runsOf("hostile"));
  LONGS_EQUAL(200, world->askOrdinarily().status);
}

TEST(ClientLimits, aConnectionThatRestsIsClosedAfterIdleTimeoutMs) {
  limits.idleTimeoutMs = 1000;
  publish();
  LONGS_EQUAL(200, world->askOrdinarily().status);
  crowd->join(3, HostileScript{});
  untilCutOff();
  CHECK_TRUE(crowd->counts().answers.empty());
}

TEST(ClientLimits, aRefusedBodyWasNotRunAndIsNotContinued) {
  limits.maximumBodyBytes = 1024;
  publish();
  LONGS_EQUAL(413, statusOf(10, 2048, 413));
  HostileScript script;
  script.head = announcedHead("/unsafe/1", "hostile", 4096);
  script.head.insert(script.head.size() - 2, "Expect: 100-continue\r\n");
  crowd->join(1, script);
  untilAnswered(413);
  LONGS_EQUAL(0, world->runsOf("hostile"));
}
