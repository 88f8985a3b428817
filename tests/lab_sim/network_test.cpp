#include "lab/sim/network.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::sim;

TEST_GROUP(SimNetwork) {
  EventQueue events;
  RandomSource random{7};
  SimNetwork network{events, random, DelaySpec{}};
  std::vector<int> arrived;

  void send(int number, const char* from, const char* to) {
    network.sendPeer(NodeId(1), from, NodeId(2), to, [this, number] { arrived.push_back(number); });
  }
  void settle() { events.runUntil(events.now() + seconds(1)); }
};

TEST(SimNetwork, MessagesOfOnePairKeepTheirOrder) {
  for (int number = 0; number < 100; ++number) {
    send(number, "a", "b");
  }
  settle();
  CHECK_EQUAL(100U, arrived.size());
  for (int number = 0; number < 100; ++number) {
    CHECK_EQUAL(number, arrived[static_cast<std::size_t>(number)]);
  }
}

TEST(SimNetwork, PartitionStopsWhatIsOnItsWay) {
  send(1, "a", "b");
  network.setPartitioned("a", true);
  send(2, "a", "b");
  send(3, "a", "a");
  settle();
  CHECK_EQUAL(1U, arrived.size());
  CHECK_EQUAL(3, arrived.front());
  network.setPartitioned("a", false);
  send(4, "a", "b");
  settle();
  CHECK_EQUAL(2U, arrived.size());
}

TEST(SimNetwork, LossAndDuplicationFollowTheirRates) {
  network.setConditions({500, 0, 0});
  for (int number = 0; number < 1000; ++number) {
    send(number, "a", "b");
  }
  settle();
  CHECK(arrived.size() > 400 && arrived.size() < 600);
  arrived.clear();
  network.setConditions({0, 1000, 0});
  send(1, "a", "b");
  settle();
  CHECK_EQUAL(2U, arrived.size());
}

TEST(SimNetwork, ReorderedMessagesAreOvertaken) {
  network.setConditions({0, 0, 500});
  for (int number = 0; number < 100; ++number) {
    send(number, "a", "b");
  }
  settle();
  CHECK_EQUAL(100U, arrived.size());
  bool overtaken = false;
  for (std::size_t place = 1; place < arrived.size(); ++place) {
    overtaken = overtaken || arrived[place] < arrived[place - 1];
  }
  CHECK(overtaken);
}
