#include "wire/send_queue.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using wire::QueuedFrame;
using wire::SendQueue;
using wire::Subsystem;

namespace {

QueuedFrame frame(Subsystem subsystem, std::size_t bytes = 10, int queuedAtSecond = 0) {
  return {subsystem, Instant(seconds(queuedAtSecond)), std::vector<std::uint8_t>(bytes)};
}

std::size_t indexOf(Subsystem subsystem) { return static_cast<std::size_t>(subsystem); }

}  // namespace

TEST_GROUP(SendQueue){};

TEST(SendQueue, DropsMembershipThenDigestsThenTheOldest) {
  SendQueue queue({.frames = 3, .bytes = 1000});
  queue.push(frame(Subsystem::Journal, 1));
  queue.push(frame(Subsystem::Observation, 2));
  queue.push(frame(Subsystem::Membership, 3));
  LONGS_EQUAL(1, queue.push(frame(Subsystem::Journal, 4))[indexOf(Subsystem::Membership)]);
  LONGS_EQUAL(1, queue.push(frame(Subsystem::Journal, 5))[indexOf(Subsystem::Observation)]);
  LONGS_EQUAL(1, queue.push(frame(Subsystem::Journal, 6))[indexOf(Subsystem::Journal)]);
  const auto left = queue.takeBatch(10, 1000);
  LONGS_EQUAL(3, left.size());
  LONGS_EQUAL(4, left[0].bytes.size());
  LONGS_EQUAL(6, left[2].bytes.size());
  LONGS_EQUAL(0, queue.bytes());
}

TEST(SendQueue, LimitsBytesButAcceptsOneLongFrame) {
  SendQueue queue({.frames = 100, .bytes = 50});
  queue.push(frame(Subsystem::Journal, 40));
  const auto dropped = queue.push(frame(Subsystem::Journal, 400));
  LONGS_EQUAL(1, dropped[indexOf(Subsystem::Journal)]);
  LONGS_EQUAL(1, queue.size());
  LONGS_EQUAL(400, queue.bytes());
}

TEST(SendQueue, DropsFramesQueuedBeforeAGivenTime) {
  SendQueue queue({});
  queue.push(frame(Subsystem::Journal, 1, 1));
  queue.push(frame(Subsystem::Journal, 2, 2));
  queue.push(frame(Subsystem::Journal, 3, 3));
  LONGS_EQUAL(2, queue.dropQueuedBefore(Instant(seconds(3))));
  LONGS_EQUAL(3, queue.bytes());
}

TEST(SendQueue, TakesBatchesWithinTheBounds) {
  SendQueue queue({});
  for (int count = 0; count < 5; ++count) {
    queue.push(frame(Subsystem::Journal, 10));
  }
  LONGS_EQUAL(2, queue.takeBatch(2, 1000).size());
  LONGS_EQUAL(2, queue.takeBatch(9, 25).size());
  LONGS_EQUAL(1, queue.takeBatch(9, 1).size());
  CHECK(queue.empty());
}
