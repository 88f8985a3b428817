// Which requests give way where the memory for requests is taken.
#include "http/request_memory.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::http;

namespace {

constexpr std::size_t kKilobyte = 1024;
constexpr std::size_t kMegabyte = 1024 * kKilobyte;

}  // namespace

TEST_GROUP(RequestMemory) {
  std::shared_ptr<RequestMemory> memory;
  Instant now{seconds(100)};
  std::vector<std::string> evicted;

  void setup() override {
    RequestMemoryLimits limits;
    limits.maximumBytes = 8 * kMegabyte;
    memory = std::make_shared<RequestMemory>(limits);
  }
  RequestMemorySharePtr open(const std::string& name = "") {
    return memory->open([this, name] { evicted.push_back(name); }, now);
  }
  bool take(const RequestMemorySharePtr& share, std::size_t bytes) {
    return share->resize(bytes, now);
  }
  /// \return an unfinished request that holds so much.
  RequestMemorySharePtr holding(std::size_t bytes, const std::string& name) {
    RequestMemorySharePtr share = open(name);
    CHECK_TRUE(take(share, bytes));
    return share;
  }
  std::size_t taken() const { return memory->counters().bytes; }
};

TEST(RequestMemory, largeRequestsLeaveTheReserve) {
  const auto first = holding(4 * kMegabyte, "first");
  const auto second = open("second");
  CHECK_FALSE(take(second, 4 * kMegabyte));
  CHECK_TRUE(take(second, 2 * kMegabyte));
  LONGS_EQUAL(6 * kMegabyte, taken());
  LONGS_EQUAL(1, memory->counters().refused);
  const auto small = open("small");
  CHECK_TRUE(take(small, 64 * kKilobyte));
  CHECK_TRUE(evicted.empty());
}

TEST(RequestMemory, isGivenBackWithTheRequest) {
  {
    const auto share = holding(5 * kMegabyte, "gone");
    CHECK_TRUE(take(share, kMegabyte));
    LONGS_EQUAL(kMegabyte, taken());
  }
  LONGS_EQUAL(0, taken());
}

TEST(RequestMemory, aRefusedGrowthKeepsWhatIsHeld) {
  const auto share = holding(5 * kMegabyte, "share");
  CHECK_FALSE(take(share, 7 * kMegabyte));
  LONGS_EQUAL(5 * kMegabyte, taken());
}

TEST(RequestMemory, stalledRequestsGiveWayAndThoseThatProgressDoNot) {
  const auto stalled = holding(2 * kMegabyte, "stalled");
  const auto moving = holding(3 * kMegabyte, "moving");
  for (int second = 0; second < 3; ++second) {
    now += seconds(1);
    moving->noteReceived(kMegabyte, now);
  }
  const auto next = open("next");
  CHECK_TRUE(take(next, 2 * kMegabyte));
  LONGS_EQUAL(1, evicted.size());
  STRCMP_EQUAL("stalled", evicted.front().c_str());
  CHECK_FALSE(take(next, 4 * kMegabyte));
  LONGS_EQUAL(1, memory->counters().evicted);
}

TEST(RequestMemory, theLeastProgressForWhatIsHeldGivesWayFirst) {
  const auto slow = holding(3 * kMegabyte, "slow");
  const auto slower = holding(3 * kMegabyte, "slower");
  now += seconds(1);
  slow->noteReceived(0, now);
  slower->noteReceived(0, now);
  slow->noteReceived(20 * kKilobyte, now);
  slower->noteReceived(10 * kKilobyte, now);
  now += seconds(1);
  const auto next = open("next");
  CHECK_TRUE(take(next, kMegabyte));
  LONGS_EQUAL(1, evicted.size());
  STRCMP_EQUAL("slower", evicted.front().c_str());
}

TEST(RequestMemory, aYoungRequestIsNotTakenForStalled) {
  const auto held = holding(6 * kMegabyte, "held");
  now += milliseconds(999);
  const auto next = open("next");
  CHECK_FALSE(take(next, kMegabyte));
  now += milliseconds(1);
  CHECK_TRUE(take(next, kMegabyte));
}

TEST(RequestMemory, aSmallRequestDisplacesTheLargestUnfinishedOne) {
  const auto large = holding(4 * kMegabyte, "large");
  const auto larger = holding(2 * kMegabyte, "medium");
  std::vector<RequestMemorySharePtr> small;
  for (std::size_t filled = 6 * kMegabyte; filled < 8 * kMegabyte; filled += 64 * kKilobyte) {
    small.push_back(holding(64 * kKilobyte, "small"));
  }
  LONGS_EQUAL(8 * kMegabyte, taken());
  CHECK_TRUE(evicted.empty());
  const auto next = open("next");
  CHECK_TRUE(take(next, 4 * kKilobyte));
  LONGS_EQUAL(1, evicted.size());
  STRCMP_EQUAL("large", evicted.front().c_str());
}

TEST(RequestMemory, requestsThatHaveBeenReadAreNeverDisplaced) {
  std::vector<RequestMemorySharePtr> read;
  for (std::size_t filled = 0; filled < 8 * kMegabyte; filled += 64 * kKilobyte) {
    read.push_back(holding(64 * kKilobyte, "read"));
    read.back()->finish();
  }
  now += seconds(100);
  const auto next = open("next");
  CHECK_FALSE(take(next, kKilobyte));
  CHECK_TRUE(evicted.empty());
  read.pop_back();
  CHECK_TRUE(take(next, kKilobyte));
}

TEST(RequestMemory, smallRequestsOfOneSizeDoNotDisplaceEachOther) {
  std::vector<RequestMemorySharePtr> small;
  for (std::size_t filled = 0; filled < 8 * kMegabyte; filled += 32 * kKilobyte) {
    small.push_back(holding(32 * kKilobyte, "small"));
  }
  const auto next = open("next");
  CHECK_FALSE(take(next, 32 * kKilobyte));
  CHECK_TRUE(evicted.empty());
}
